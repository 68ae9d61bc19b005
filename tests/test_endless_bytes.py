"""Bytes that are no answer and come without end, at every place where bytes come."""

import json
import tracemalloc

import gevent
import pytest
from gevent.server import StreamServer

from edge_fleet import EdgeFleet
from fake_platform import read_request
from fake_platform import registration
from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.backends import OutgoingRequest
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import PlatformError
from gypsumfield.platform.documents import decode_server
from gypsumfield.platform.engines import EngineClient
from gypsumfield.platform.store import StoreClient
from gypsumfield.verdicts import RunVerdict

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
JUNK = b"x" * 8_192
# What comes first, and what then comes again and again.
PLACES = {
    "status line": (b"HTTP/1.1 200 ", JUNK),
    "one header": (HEAD + b"X-Long: ", JUNK),
    "header lines": (HEAD, b"X-More: 1\r\n" * 500),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 300),
    "body without length": (HEAD + b"\r\n", JUNK),
    "chunk size": (CHUNKED, b"0" * 8_192),
    "chunk extension": (CHUNKED + b"4;", JUNK),
    "trailers": (CHUNKED + b"4\r\ndone\r\n0\r\n", b"X-More: 1\r\n" * 500),
}
BODY_LIMIT_BYTES = 1_048_576
# Half a second of loopback would bring far more than this.
MEMORY_LIMIT_BYTES = 16 * 1_048_576
TIMEOUTS = ExchangeTimeouts(500, 2_000, 2_000, total_ms=10_000)


class EndlessServer:
    """Answers every request with a beginning and then without end.

    Attributes:
        closed_count: Connections that their caller has closed.
    """

    def __init__(self, first, again, pause_s=0.0):
        self.first = first
        self.again = again
        self.pause_s = pause_s
        self.closed_count = 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)

    def serve(self, sock, _address):
        try:
            read_request(sock)
            sock.sendall(self.first)
            while True:
                sock.sendall(self.again)
                gevent.sleep(self.pause_s)
        except OSError:
            self.closed_count += 1
            sock.close()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def __enter__(self):
        self.server.start()
        return self

    def __exit__(self, *_):
        self.server.stop(timeout=0)


def exchange_with(server, timeouts=TIMEOUTS):
    request = OutgoingRequest(
        server.address, "GET", "/", {}, b"", "a1", "X-Attempt-Id", must_echo_id=False
    )
    return Exchange(request, timeouts, AbortHandle())


def wait_closed(server):
    with gevent.Timeout(20.0, AssertionError("the connection was not closed")):
        while not server.closed_count:
            gevent.sleep(0.01)


@pytest.mark.parametrize("place", PLACES)
def test_an_exchange_ends_by_closing_with_a_true_verdict_and_flat_memory(place):
    with EndlessServer(*PLACES[place]) as server:
        exchange = exchange_with(server)
        tracemalloc.start()
        try:
            with pytest.raises(BackendError) as caught:
                exchange.open(lambda: "")
                exchange.read_body(BODY_LIMIT_BYTES, may_end_with_close=True)
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            exchange.close()
        assert caught.value.verdict is RunVerdict.MAY_HAVE_RUN
        assert peak_bytes < MEMORY_LIMIT_BYTES
        wait_closed(server)


def test_bytes_after_a_whole_answer_reach_nobody_and_end_the_connection():
    whole = HEAD + b"Content-Length: 4\r\n\r\ndone"
    with EndlessServer(whole, JUNK) as server:
        exchange = exchange_with(server)
        exchange.open(lambda: "")
        assert exchange.read_body(BODY_LIMIT_BYTES) == b"done"
        exchange.finish()
        wait_closed(server)


def test_bytes_that_trickle_end_with_the_time_of_the_exchange():
    with EndlessServer(HEAD + b"X-Long: ", b"x", pause_s=0.02) as server:
        exchange = exchange_with(server, TIMEOUTS._replace(total_ms=200))
        with pytest.raises(BackendError):
            exchange.open(lambda: "")
        wait_closed(server)


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("call", ["report", "copy", "reservation", "listing", "watch"])
def test_every_call_of_our_own_ends(place, call):
    with EndlessServer(*PLACES[place]) as server:
        wire = json.dumps(registration("engine", server)).encode()
        engine = decode_server("servers/e1", wire, 1)
        client = EngineClient(lambda *noted: None)
        store = StoreClient(server.address)
        calls = {
            "report": lambda: client.read_state(engine),
            "copy": lambda: client.copy_run(engine, "a1", "127.0.0.1:1", 2_000.0),
            "reservation": lambda: client.reserve(engine, 10, 1_000.0),
            "listing": lambda: store.list_items(""),
            "watch": lambda: store.watch("", 1, 100),
        }
        with pytest.raises((BackendError, PlatformError)):
            calls[call]()
        wait_closed(server)


@pytest.mark.parametrize("place", [*PLACES, "event without end"])
@pytest.mark.parametrize("service", ["plain", "once", "engine"])
def test_a_caller_gets_a_final_answer_or_a_stream_that_is_not_complete(place, service):
    again = (b"2000\r\n" + JUNK + b"\r\n") * 16
    first, junk = PLACES.get(place, (CHUNKED, again))
    fleet = EdgeFleet(
        {
            service: {"plain": "idempotent", "once": "non_idempotent"}.get(
                service, "streaming"
            )
        }
    )
    with EndlessServer(first, junk) as server:
        fleet.store.put("servers/s1", registration(service, server))
        fleet.publish()
        fleet.start()
        try:
            status, _, body = fleet.call(f"/{service}/a", attempt="a1")
            assert status in (502, 504) or (status == 200 and body is None)
            wait_closed(server)
            assert fleet.events_named("attempt_failed")
        finally:
            fleet.stop()
