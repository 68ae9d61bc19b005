"""Answers that break off, whose end must not look like that of a whole answer."""

import contextlib

import gevent
import pytest

from edge_fleet import EdgeFleet
from edge_fleet import read_answer
from fake_platform import unframed_head
from fake_platform import wait_until
from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.backends import OutgoingRequest
from gypsumfield.exceptions import BackendError

PROMPT = "X-Token-Counts: 1000,800\r\nX-Length-Hint: 800\r\nX-Model: m\r\n"
KINDS = {"plain": "idempotent", "once": "non_idempotent", "engine": "streaming"}


@pytest.fixture
def fleet():
    edge_fleet = EdgeFleet(KINDS)
    edge_fleet.publish()
    yield edge_fleet
    edge_fleet.stop()


def is_whole(answer):
    return answer[0] == 200 and answer[2] is not None


def send_slowly(request, sock):
    """Answer without an end, so that each wait for data is shorter than the limit."""
    sock.sendall(unframed_head(request))
    for number in range(1, 100):
        sock.sendall(b"id: %d\ndata: piece\n\n" % number)
        gevent.sleep(0.1)
    return "close"


@pytest.mark.parametrize("service", ["plain", "once", "engine"])
def test_an_answer_that_ends_at_its_time_limit_does_not_look_complete(fleet, service):
    fleet.add_server(service, "s1", send_slowly)
    fleet.start()
    assert not is_whole(fleet.call(f"/{service}/", headers=PROMPT, limit_ms=550))


def test_a_stream_that_the_host_takes_off_an_unreachable_engine_is_not_complete(fleet):
    def respond(request, sock):
        if "kv-from" in request["headers"]:
            refusal = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
            sock.sendall(refusal + b"Content-Length: 0\r\n\r\n")
            return "close"
        return send_slowly(request, sock)

    for server_id in ("e1", "e2"):
        fleet.add_server("engine", server_id, respond)
    fleet.start()
    with contextlib.closing(fleet.send_request("/engine/", headers=PROMPT)) as sock:
        wait_until(lambda: fleet.events_named("first_token"))
        (stream,) = fleet.host.components.protector._deps.registry.streams()
        assert stream.copies.resume_points()
        stream.abandon_engine()
        assert not is_whole(read_answer(sock))


@pytest.mark.parametrize("coding", ["identity", "chunked, identity", "gzip"])
def test_a_transfer_coding_other_than_chunks_marks_no_end(fleet, coding):
    def respond(request, sock):
        line = f"\r\nTransfer-Encoding: {coding}\r\n\r\n".encode()
        sock.sendall(unframed_head(request).replace(b"\r\n\r\n", line))
        sock.sendall(b"id: 1\ndata: piece\n\n")
        fleet.servers["s1"].crash()
        return "close"

    fleet.add_server("engine", "s1", respond)
    fleet.start()
    assert not is_whole(fleet.call("/engine/", headers=PROMPT))


@pytest.mark.parametrize("is_aborted", [False, True])
def test_a_shutdown_by_the_host_between_two_reads_does_not_look_complete(
    fleet, is_aborted
):
    server = fleet.add_server("plain", "s1", send_slowly)
    abort = AbortHandle()
    request = OutgoingRequest(
        server.address, "GET", "/", {}, b"", "a1", "X-Attempt-Id", must_echo_id=False
    )
    exchange = Exchange(request, ExchangeTimeouts(1_000.0, 1_000.0, 1_000.0), abort)
    exchange.open(lambda: "")
    assert exchange.read_chunk()
    if is_aborted:
        abort.abort("its time is over")
    else:
        exchange.abandon()
    with pytest.raises(BackendError):
        while exchange.read_chunk():
            continue
