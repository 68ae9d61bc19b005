"""Connections of the calls that a host itself makes to engines."""

import json

import gevent
import pytest
from gevent.server import StreamServer

from fake_platform import FakeBackendServer
from fake_platform import registration
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.exceptions import BackendError
from gypsumfield.held_memory import HeldMemory
from gypsumfield.platform.documents import decode_server
from gypsumfield.platform.engines import EngineClient
from gypsumfield.platform.engines import REPORT_TARGET

# Longer than the tests wait for an answer on a silent connection.
SILENT_S = 5.0


class OwnCalls:
    """Engine that answers the calls of a host itself, and the client for them.

    Attributes:
        used: Socket of each call, in order.
        is_silent: Whether calls are answered late.
        silent_sockets: Connections on which they are.
        reservation: Name of the next reservation.
        repeated_sockets: Connections on which the first reservation is answered again.
    """

    def __init__(self):
        self.used = []
        self.is_silent = False
        self.silent_sockets = set()
        self.reservation = "h1"
        self.repeated_sockets = set()
        self.server = FakeBackendServer(self.respond)
        self.server.start()
        value = json.dumps(registration("engine", self.server)).encode()
        self.record = decode_server("servers/e1", value, 1)
        self.pool = ConnectionPool()
        memory = HeldMemory(1_000_000)
        self.client = EngineClient(
            lambda *_: None, lambda _server: True, memory, self.pool
        )

    def respond(self, request, sock):
        self.used.append(sock)
        if self.is_silent or sock in self.silent_sockets:
            gevent.sleep(SILENT_S)
        is_report = request["target"] == REPORT_TARGET
        name = "h1" if sock in self.repeated_sockets else self.reservation
        hold = json.dumps({"hold": name}).encode()
        body = b'{"state": "ready", "born": 1}' if is_report else hold
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        )


@pytest.fixture
def own_calls():
    calls = OwnCalls()
    yield calls
    calls.pool.close()
    calls.server.crash()


def test_reports_reuse_connections(own_calls):
    own_calls.client.read_state(own_calls.record)
    own_calls.client.read_state(own_calls.record)
    assert len(set(own_calls.used)) == 1


def test_a_repeated_answer_gives_no_two_streams_the_same_reservation(own_calls):
    """The second answer would be read as that to the next request on a connection."""
    client, record = own_calls.client, own_calls.record
    names = [client.reserve(record, 100, 1_000.0)]
    own_calls.repeated_sockets = set(own_calls.used)
    own_calls.reservation = "h2"
    names.append(client.reserve(record, 100, 1_000.0))
    assert names == ["h1", "h2"]


def test_a_silent_kept_connection_does_not_fail_a_reservation(own_calls):
    """A healthy engine would count as unreachable."""
    client, record = own_calls.client, own_calls.record
    client.read_state(record)
    assert own_calls.pool.idle_count == 1
    own_calls.silent_sockets = set(own_calls.used)
    assert client.reserve(record, 100, 1_000.0) == "h1"


def test_checks_of_a_server_open_a_new_connection(own_calls):
    """An old connection may outlive the path, and the process, that new ones find."""
    client, record = own_calls.client, own_calls.record
    client.read_state(record)
    for check in (
        lambda: client.read_runs(record),
        lambda: client.read_identity(record, ""),
        lambda: client.copy_run(record, "a1", "10.0.0.1:1", 500.0),
        lambda: client.stop_run(record, "a1", "10.0.0.1:1", 500.0),
    ):
        before = set(own_calls.used)
        check()
        assert own_calls.used[-1] not in before


def test_a_report_lost_on_a_silent_connection_does_not_stop_the_next(own_calls):
    client, record = own_calls.client, own_calls.record
    client.read_state(record)
    own_calls.is_silent = True
    with pytest.raises(BackendError):
        client.read_state(record)
    own_calls.is_silent = False
    client.read_state(record)
    assert own_calls.used[1] is own_calls.used[0]
    assert own_calls.used[2] is not own_calls.used[0]


def test_an_unread_answer_leaves_no_connection_in_the_pool():
    """The rest of an answer would be read as that to the next request."""
    server = StreamServer(
        ("127.0.0.1", 0),
        lambda sock, _: (
            sock.recv(4096),
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nhalf"),
            gevent.sleep(SILENT_S),
        ),
    )
    server.start()
    pool = ConnectionPool()
    client = EngineClient(
        lambda *_: None, lambda _server: True, HeldMemory(1_000_000), pool
    )
    address = f"127.0.0.1:{server.server_port}"
    fake = type("Fake", (), {"address": address})
    value = json.dumps(registration("engine", fake)).encode()
    record = decode_server("servers/e1", value, 1)
    with pytest.raises(BackendError):
        client.read_state(record)
    assert not pool.idle_count
    server.stop(timeout=0)
