"""Peers that send without a pause: others get their turn all the same."""

import collections
import contextlib
import socket
import subprocess
import sys
from typing import NamedTuple

import gevent
import gevent.socket
import pytest

from edge_fleet import EdgeFleet
from edge_fleet import HostGroup
from fake_platform import complete_answer
from fake_platform import registration
from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.fair_reads import MIN_READ_BYTES
from gypsumfield.adapters.fair_reads import TURN_BYTES
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.exceptions import BackendError

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TINY_CHUNKS = b"1\r\nx\r\n" * 2_000
# The bytes that a peer sends in all, so that each test ends.
SENT_BYTES = 3_000_000
TIMEOUTS = ExchangeTimeouts(2_000.0, 20_000.0, 20_000.0, total_ms=20_000.0)
EAGER_BODIES = {
    "tiny chunks": (CHUNKED, TINY_CHUNKS),
    "large chunks": (CHUNKED, b"4000\r\n%s\r\n" % (b"x" * 16_384)),
    "body without length": (HEAD + b"\r\n", b"x" * 16_384),
    "head": (HEAD, b"X-More: 1\r\n" * 1_000),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
}


# A process of its own, since a thread would wait for the reader to give way.
EAGER_PROGRAM = """
import socket, sys
size, address = int(sys.argv[1]), sys.argv[2]
prefix, repeated = sys.stdin.buffer.read().split(b"REPEATED:", 1)
data = prefix + repeated * (size // len(repeated))
if address:
    ip, _, port = address.rpartition(":")
    sock = socket.create_connection((ip, int(port)))
else:
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    sock, _ = listener.accept()
    sock.recv(65536)
try:
    sock.sendall(data)
    if address:
        sock.sendall(b"0\\r\\n\\r\\n")
        print(sock.recv(15).decode(), flush=True)
except OSError:
    print("closed", flush=True)
"""


class EagerPeer:
    """Sends bytes without a pause, as a server or to an address."""

    def __init__(self, prefix, repeated, size_bytes=SENT_BYTES, address=""):
        self._process = subprocess.Popen(
            [sys.executable, "-c", EAGER_PROGRAM, str(size_bytes), address],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self._process.stdin.write(prefix + b"REPEATED:" + repeated)
        self._process.stdin.close()

    def read_line(self):
        with gevent.Timeout(20.0):
            gevent.socket.wait_read(self._process.stdout.fileno())
        return self._process.stdout.readline().decode().strip()

    def close(self):
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


class EagerEngine(NamedTuple):
    """Where an eager peer serves, for its registration."""

    address: str


class Turns:
    """Counts how often the other greenlets get a turn, and what is read between."""

    def __init__(self):
        self.count = 0
        self.read_bytes = collections.Counter()

    def __enter__(self):
        self._greenlet = gevent.spawn(self._run)
        gevent.sleep(0)
        return self

    def __exit__(self, *_):
        self._greenlet.kill()

    def record(self, size_bytes):
        self.read_bytes[self.count] += max(MIN_READ_BYTES, size_bytes)

    @property
    def most_bytes(self):
        """Most bytes that were read between two turns of the others."""
        return max(self.read_bytes.values())

    def _run(self):
        while True:
            self.count += 1
            gevent.sleep(0)


def counted_read(read, size_of, turns):
    def read_and_count(sock, *args):
        result = read(sock, *args)
        turns.record(size_of(result))
        return result

    return read_and_count


@pytest.fixture
def turns(monkeypatch):
    """Count the turns, and the reads of all sockets of this process."""
    with Turns() as counted:
        kind = gevent.socket.socket
        for name, size_of in (
            ("recv", len),
            ("recv_into", int),
            ("recvfrom", lambda result: len(result[0])),
        ):
            monkeypatch.setattr(
                kind, name, counted_read(getattr(kind, name), size_of, counted)
            )
        yield counted


# Guards against one answer that keeps a host from all other callers.
@pytest.mark.parametrize("part", EAGER_BODIES)
def test_others_get_turns_while_an_answer_arrives_without_a_pause(part, turns):
    server = EagerPeer(*EAGER_BODIES[part])
    address = f"127.0.0.1:{server.read_line()}"
    request = OutgoingRequest(
        address, "GET", "/", {}, b"", "a1", "X-Attempt-Id", must_echo_id=False
    )
    exchange = Exchange(request, TIMEOUTS, AbortHandle())
    with contextlib.suppress(BackendError):
        exchange.open(lambda: "")
        while exchange.read_chunk():
            continue
    exchange.close()
    server.close()
    assert turns.most_bytes <= 2 * TURN_BYTES


# Guards against a caller whose body keeps a host from all other callers.
@pytest.mark.parametrize("is_refused", [False, True], ids=["served", "lingering"])
def test_others_get_turns_while_a_body_arrives_without_a_pause(is_refused, turns):
    fleet = EdgeFleet({"plain": "idempotent"})
    fleet.add_server(
        "plain", "s1", lambda request, sock: sock.sendall(complete_answer(request))
    )
    fleet.publish()
    fleet.start()
    head = (
        b"POST /plain/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
        b"Authorization: Token key-a\r\nX-Deadline-Ms: 20000\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    count = 200_000 if is_refused else 20_000
    try:
        address = fleet.settings.caller_address
        caller = EagerPeer(head, b"1\r\nx\r\n", 6 * count, address)
        answer = caller.read_line()
        caller.close()
        assert answer == ("HTTP/1.1 413 Re" if is_refused else "HTTP/1.1 200 OK")
        assert turns.most_bytes <= 2 * TURN_BYTES
    finally:
        fleet.stop()


# Guards against datagrams without a pause, which other programs may send too.
def test_others_get_turns_while_datagrams_arrive_without_a_pause(turns):
    group = HostGroup("plain", "idempotent", 1)
    group.publish()
    group.start_hosts()
    settings, _ = group.hosts[0]
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for _ in range(100):
                sock.sendto(b"x" * 60, (settings.ip, settings.news_port))
        gevent.sleep(0.05)
        assert turns.read_bytes.total() >= 100 * MIN_READ_BYTES
        assert turns.most_bytes <= 2 * TURN_BYTES
    finally:
        group.stop()


# Guards against bytes of a stream that hold up its host and count as its progress.
def test_line_feeds_without_end_end_a_stream_and_others_are_served():
    fleet = EdgeFleet({"engine": "streaming", "plain": "idempotent"})

    first = b"id: 1\ndata: a\n\n"
    prefix = CHUNKED + b"%x\r\n%s\r\n" % (len(first), first)
    engine = EagerPeer(prefix, b"4000\r\n%s\r\n" % (b"\n" * 16_384))
    fleet.store.put(
        "servers/e1",
        registration("engine", EagerEngine(f"127.0.0.1:{engine.read_line()}")),
    )
    fleet.add_server(
        "plain", "s1", lambda request, sock: sock.sendall(complete_answer(request))
    )
    fleet.publish()
    fleet.start()
    try:
        stream = gevent.spawn(fleet.call, "/engine/a", attempt="a1")
        assert fleet.call("/plain/a", attempt="a2")[0] == 200
        status, _, body = stream.get(timeout=20.0)
        assert (status, body) == (200, None)
        failed = fleet.events_named("attempt_failed")
        assert [event.stage for event in failed] == ["event_missing"]
    finally:
        fleet.stop()
        engine.close()
