"""Open connections of callers are bounded, without closing one that is served."""

import contextlib

import gevent
import pytest
from gevent import socket

from gypsumfield.adapters.caller_connections import CallerConnections
from gypsumfield.adapters.caller_server import CallerServer
from gypsumfield.adapters.caller_server import RequestTracker
from gypsumfield.connection_events import ConnectionsClosed
from gypsumfield.connection_events import ConnectionsRefused
from gypsumfield.decisions.connection_eviction import ConnectionPhase
from gypsumfield.held_memory import HeldMemory
from gypsumfield.held_memory import HeldPart
from gypsumfield.held_memory import STALL_LIMIT_MS


class ManualClock:
    def __init__(self):
        self.now_ms = 1_000.0

    def monotonic_ms(self):
        return self.now_ms


class FakeSocket:
    def __init__(self):
        self.is_shut_down = False

    def shutdown(self, how):
        self.is_shut_down = True


def test_a_new_connection_takes_the_place_of_an_idle_one():
    connections = CallerConnections(2, ManualClock())
    idle, served, new = FakeSocket(), FakeSocket(), FakeSocket()
    assert connections.admit(idle) and connections.admit(served)
    connections.find(idle).begin_phase(ConnectionPhase.IDLE)
    connections.find(served).begin_phase(ConnectionPhase.SERVING)
    assert connections.admit(new)
    assert idle.is_shut_down and not served.is_shut_down
    assert connections.open_count == 2


def test_a_new_connection_is_refused_while_all_others_are_served():
    connections = CallerConnections(1, ManualClock())
    served, new = FakeSocket(), FakeSocket()
    connections.admit(served)
    connections.find(served).begin_phase(ConnectionPhase.SERVING)
    assert not connections.admit(new)
    assert not served.is_shut_down
    connections.release(served)
    assert connections.admit(new)


# Guards against a log that a crowd fills with a line for each connection.
def test_many_refusals_are_logged_as_one_line_with_a_count():
    events = []
    connections = CallerConnections(0, ManualClock(), events.append)
    for _ in range(500):
        assert not connections.admit(FakeSocket())
    connections.record_closed("memory_full")
    connections._report.kill()
    connections._log()
    assert [(type(event), event.count) for event in events] == [
        (ConnectionsRefused, 500),
        (ConnectionsClosed, 1),
    ]


def open_hold(connections, memory, is_receiving, size_bytes):
    sock = FakeSocket()
    connections.admit(sock)
    connection = connections.find(sock)
    connection.begin_transfer(is_receiving)
    hold = memory.open(connection)
    hold.resize(HeldPart.REQUEST, size_bytes)
    return sock, hold


def test_stalled_bodies_are_dropped_before_unread_answers():
    clock = ManualClock()
    connections, memory = CallerConnections(None, clock), HeldMemory(1_000)
    unread, _ = open_hold(connections, memory, False, 400)
    clock.now_ms += 10.0
    short, _ = open_hold(connections, memory, True, 400)
    clock.now_ms += STALL_LIMIT_MS
    moving, _ = open_hold(connections, memory, True, 100)
    memory.open().resize(HeldPart.REQUEST, 500)
    assert short.is_shut_down
    assert not unread.is_shut_down and not moving.is_shut_down
    memory.open().resize(HeldPart.REQUEST, 300)
    assert unread.is_shut_down and not moving.is_shut_down
    assert memory.held_bytes <= 1_000


# Guards against a request that was passed on and whose caller is cut off.
def test_a_request_that_is_served_is_not_dropped_however_long_it_takes():
    clock = ManualClock()
    connections, memory = CallerConnections(None, clock), HeldMemory(1_000)
    sock, hold = open_hold(connections, memory, True, 900)
    connections.find(sock).end_transfer()
    connections.find(sock).record_progress()
    clock.now_ms += 60_000.0
    assert not memory.make_room(200)
    assert not sock.is_shut_down and not hold.is_dropped


# Guards against a request that runs although its connection was closed before.
@pytest.mark.parametrize("length", [0, 4])
def test_a_request_that_completes_after_its_connection_was_cut_does_not_run(length):
    run_bodies = []

    def application(environ, start_response):
        body = b""
        while piece := environ["wsgi.input"].read(100):
            body += piece
        run_bodies.append(body)
        start_response("200 OK", [])
        return [b"done"]

    server = CallerServer(("127.0.0.1", 0), RequestTracker(application))
    server.start()
    head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
    request = head.encode() + b"body"[:length]
    try:
        address = ("127.0.0.1", server.server_port)
        with contextlib.closing(socket.create_connection(address)) as client:
            client.sendall(request[:-2])
            gevent.sleep(0.1)
            client.sendall(request[-2:])
            assert server.connections.evict("test")
            gevent.sleep(0.1)
        assert run_bodies == []
        assert server.connections.open_count == 0
        with contextlib.closing(socket.create_connection(address)) as client:
            client.sendall(request)
            assert client.recv(100).startswith(b"HTTP/1.1 200")
    finally:
        server.stop(timeout=0)
