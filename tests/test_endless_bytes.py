"""Servers that send endless bytes in any part of an answer.

Every exchange must end with an error and a closed connection, and must not buffer
the bytes without limit.
"""

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
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import PlatformError
from gypsumfield.held_memory import HeldMemory
from gypsumfield.platform.documents import decode_server
from gypsumfield.platform.engines import EngineClient
from gypsumfield.platform.store import StoreClient
from gypsumfield.verdicts import RunVerdict

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
JUNK = b"x" * 8_192
# For each part of an answer: the bytes before it, and the bytes that are repeated.
ANSWER_PARTS = {
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
# Half a second of data over loopback is far more than this.
MEMORY_LIMIT_BYTES = 16 * 1_048_576
TIMEOUTS = ExchangeTimeouts(500, 2_000, 2_000, total_ms=10_000)


class EndlessServer:
    """Answers every request with a prefix and then with endlessly repeated bytes.

    Attributes:
        closed_count: Connections that the client has closed.
    """

    def __init__(self, prefix, repeated, pause_s=0.0):
        self.prefix = prefix
        self.repeated = repeated
        self.pause_s = pause_s
        self.closed_count = 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)

    def serve(self, sock, _address):
        try:
            read_request(sock)
            sock.sendall(self.prefix)
            while True:
                sock.sendall(self.repeated)
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


@pytest.mark.parametrize("part", ANSWER_PARTS)
def test_an_exchange_closes_with_a_correct_verdict_and_bounded_memory(part):
    with EndlessServer(*ANSWER_PARTS[part]) as server:
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


def test_bytes_after_a_complete_answer_are_dropped_and_close_the_connection():
    complete_answer = HEAD + b"Content-Length: 4\r\n\r\ndone"
    with EndlessServer(complete_answer, JUNK) as server:
        exchange = exchange_with(server)
        exchange.open(lambda: "")
        assert exchange.read_body(BODY_LIMIT_BYTES) == b"done"
        exchange.finish()
        wait_closed(server)


def test_endless_slow_bytes_end_at_the_total_timeout():
    with EndlessServer(HEAD + b"X-Long: ", b"x", pause_s=0.02) as server:
        exchange = exchange_with(server, TIMEOUTS._replace(total_ms=200))
        with pytest.raises(BackendError):
            exchange.open(lambda: "")
        wait_closed(server)


@pytest.mark.parametrize("part", ANSWER_PARTS)
@pytest.mark.parametrize("call", ["report", "copy", "reservation", "listing", "watch"])
def test_every_call_that_the_host_makes_ends(part, call):
    with EndlessServer(*ANSWER_PARTS[part]) as server:
        registration_data = json.dumps(registration("engine", server)).encode()
        engine = decode_server("servers/e1", registration_data, 1)
        client = EngineClient(
            lambda *metadata: None, lambda server: True, HeldMemory(MEMORY_LIMIT_BYTES)
        )
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


@pytest.mark.parametrize("part", [*ANSWER_PARTS, "event without end"])
@pytest.mark.parametrize("service", ["plain", "once", "engine"])
def test_a_caller_gets_an_error_or_an_incomplete_stream(part, service):
    endless_chunks = (b"2000\r\n" + JUNK + b"\r\n") * 16
    prefix, repeated = ANSWER_PARTS.get(part, (CHUNKED, endless_chunks))
    fleet = EdgeFleet(
        {
            service: {"plain": "idempotent", "once": "non_idempotent"}.get(
                service, "streaming"
            )
        }
    )
    with EndlessServer(prefix, repeated) as server:
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
