"""Answers that break off, whose end must not look like that of a whole answer."""

import contextlib
import json

import gevent
import pytest
from gevent.server import StreamServer

from edge_fleet import EdgeFleet
from edge_fleet import read_answer
from fake_platform import FakeBackendServer
from fake_platform import unframed_head
from fake_platform import wait_until
from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.exceptions import BackendError

PROMPT = "X-Token-Counts: 1000,800\r\nX-Length-Hint: 800\r\nX-Model: m\r\n"
EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
KINDS = {"plain": "idempotent", "once": "non_idempotent", "engine": "streaming"}


@pytest.fixture
def fleet():
    edge_fleet = EdgeFleet(KINDS)
    edge_fleet.publish()
    yield edge_fleet
    edge_fleet.stop()


def is_request(request):
    return "x-attempt-id" in request["headers"]


def send_json(sock, document):
    body = json.dumps(document).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    sock.sendall(head.encode() + body)


class UnmarkedServer:
    """Server whose answers have neither a length nor chunks.

    Attributes:
        body: Body of its answers to requests.
        report: What it says of itself, or None for nothing, without an end.
        before_end: Called before the connection of a request is closed.
        probe_count: Calls that were no requests.
    """

    def __init__(self, fleet, service, server_id="s1", body=EVENTS):
        self.fleet = fleet
        self.service = service
        self.server_id = server_id
        self.body = body
        self.report = {}
        self.before_end = lambda: None
        self.probe_count = 0
        self.head = unframed_head
        self.server = fleet.add_server(service, server_id, self.respond)
        self.registration = json.loads(fleet.store_value(f"servers/{server_id}"))

    def respond(self, request, sock):
        if is_request(request):
            sock.sendall(self.head(request) + self.body)
            gevent.sleep(0.02)
            self.before_end()
            return "close"
        self.probe_count += 1
        if self.report is None:
            gevent.sleep(20)
            return "close"
        self.fleet.answer_own_call(self.server_id, sock, **self.report)
        return None

    def crash(self):
        self.fleet.servers[self.server_id].crash()

    def restart(self, respond):
        """Crash, and let another process serve at the same address."""
        port = self.server.server.server_port
        self.crash()
        successor = FakeBackendServer(respond)
        successor.server = StreamServer(("127.0.0.1", port), successor.serve)
        successor.start()
        self.fleet.servers["successor"] = successor

    def leave(self):
        value = {**self.registration, "state": "draining"}
        self.fleet.store.put(f"servers/{self.server_id}", value)
        wait_until(
            lambda: any(
                seen.state == "leaving"
                for seen in self.fleet.events_named("backend_seen")
            )
        )


def is_whole(answer):
    return answer[0] == 200 and answer[2] is not None


def restart_with_other_start(server):
    report = {"state": "ready", "born": server.registration["born"] + 1_000}
    server.restart(lambda _request, sock: send_json(sock, report))


def replace_by_another_server(server):
    def respond(_request, sock):
        head = b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: s9\r\n"
        sock.sendall(head + b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")

    server.restart(respond)


def leave_and_crash(server):
    server.leave()
    server.crash()


def fall_silent(server):
    server.report = None


BREAKS = [
    UnmarkedServer.crash,
    leave_and_crash,
    fall_silent,
    replace_by_another_server,
]


@pytest.mark.parametrize("break_off", [*BREAKS, restart_with_other_start])
def test_a_stream_that_its_engine_breaks_off_between_events_does_not_look_complete(
    fleet, break_off
):
    server = UnmarkedServer(fleet, "engine")
    server.before_end = lambda: break_off(server)
    fleet.start()
    assert not is_whole(fleet.call("/engine/", headers=PROMPT))


@pytest.mark.parametrize("service", ["plain", "once"])
@pytest.mark.parametrize("break_off", BREAKS)
def test_a_plain_answer_that_its_server_breaks_off_does_not_look_complete(
    fleet, service, break_off
):
    server = UnmarkedServer(fleet, service)
    server.before_end = lambda: break_off(server)
    fleet.start()
    assert not is_whole(fleet.call(f"/{service}/"))


@pytest.mark.parametrize("service", ["plain", "once", "engine"])
def test_an_answer_whose_server_still_answers_is_complete(fleet, service):
    server = UnmarkedServer(fleet, service)
    fleet.start()
    assert is_whole(fleet.call(f"/{service}/", headers=PROMPT))
    assert server.probe_count == 1


def test_a_stream_at_a_leaving_engine_that_still_answers_is_complete(fleet):
    server = UnmarkedServer(fleet, "engine")
    server.before_end = server.leave
    fleet.start()
    assert is_whole(fleet.call("/engine/", headers=PROMPT))


def test_a_stream_of_which_its_engine_has_made_more_events_is_not_complete(fleet):
    server = UnmarkedServer(fleet, "engine")
    server.report = {"executions": [["a1", 1040, 7, 5]]}
    fleet.start()
    assert not is_whole(fleet.call("/engine/", headers=PROMPT, attempt="a1"))


@pytest.mark.parametrize(("made", "is_complete"), [(4, True), (5, False)])
def test_a_report_counts_events_that_the_caller_had_before_it_resumed(
    fleet, made, is_complete
):
    server = UnmarkedServer(fleet, "engine", body=b"id: 3\ndata\n\nid: 4\ndata\n\n")
    server.report = {"executions": [["a1", 1016, made, 5]]}
    fleet.start()
    fleet.call("/engine/", headers=PROMPT, attempt="a0")
    headers = f"{PROMPT}Last-Event-Id: 2\r\nResumes: a0\r\n"
    answer = fleet.call("/engine/", headers=headers, attempt="a1")
    assert is_whole(answer) == is_complete


def test_an_old_report_that_still_lists_a_run_does_not_break_its_stream_off(fleet):
    server = UnmarkedServer(fleet, "engine")
    server.report = {"executions": [["a1", 1004, 1, 5]]}
    fleet.start()
    assert is_whole(fleet.call("/engine/", headers=PROMPT, attempt="a1"))


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


def test_a_broken_stream_without_chunks_is_reset_at_its_caller(fleet):
    def respond(request, sock):
        sock.sendall(unframed_head(request) + EVENTS)
        gevent.sleep(0.05)
        fleet.servers["s1"].crash()
        return "close"

    fleet.add_server("engine", "s1", respond)
    fleet.start()
    request = (
        "POST /engine/ HTTP/1.0\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
        f"Authorization: Token key-a\r\n{PROMPT}Content-Length: 0\r\n\r\n"
    )
    with contextlib.closing(fleet.connect()) as sock:
        sock.sendall(request.encode())
        with pytest.raises(ConnectionResetError):
            while sock.recv(4096):
                continue


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
