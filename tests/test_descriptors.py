"""Descriptors of a host: many open at once, and closed while a loop watches them."""

import contextlib
import os
import resource

import gevent
import gevent.socket
import pytest
from gevent.server import StreamServer

from fake_platform import complete_answer
from fake_platform import read_request
from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.caller_server import DisconnectWatcher
from gypsumfield.adapters.outgoing_requests import OutgoingRequest

# The size of an ``fd_set``: `select` refuses descriptors from this number on.
SELECT_LIMIT = 1_024
TIMEOUTS = ExchangeTimeouts(2_000, 5_000, 5_000)


@contextlib.contextmanager
def many_descriptors_open():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = 2 * SELECT_LIMIT
    if hard != resource.RLIM_INFINITY and hard < needed:
        pytest.fail(f"{needed} descriptors are needed, {hard} are allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, needed), hard))
    opened = []
    try:
        while not opened or opened[-1] < SELECT_LIMIT:
            opened.append(os.open(os.devnull, os.O_RDONLY))
        yield
    finally:
        for number in opened:
            os.close(number)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


# Guards against calls with a body that fail once a host has many connections.
def test_a_call_with_a_body_is_sent_when_1024_descriptors_are_open():
    received = []

    def serve(sock, _address):
        request = read_request(sock)
        received.append(request["body"])
        sock.sendall(complete_answer(request))

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    body = b"x" * 5_000
    request = OutgoingRequest(
        f"127.0.0.1:{server.server_port}",
        "POST",
        "/",
        {"X-Attempt-Id": "a1"},
        body,
        "a1",
        "X-Attempt-Id",
        must_echo_id=False,
    )
    exchange = Exchange(request, TIMEOUTS, AbortHandle())
    try:
        with many_descriptors_open():
            assert exchange.open(lambda: "") == 200
            assert exchange.read_body(1_000) == b"done"
        assert received == [body]
    finally:
        exchange.close()
        server.stop(timeout=0)


# Guards against a host that the event loop aborts for a watch on a closed descriptor.
def test_a_stopped_watch_does_not_outlive_its_connection():
    sock, peer = gevent.socket.socketpair()
    watch = DisconnectWatcher(sock, AbortHandle())
    gevent.sleep(0)
    watch.stop()
    number = sock.fileno()
    sock.close()
    # While a watch is left, the socket is closed later, by the loop.
    with pytest.raises(OSError):
        os.fstat(number)
    peer.close()


def test_a_watch_aborts_the_request_of_a_caller_that_leaves_and_of_no_other():
    sock, peer = gevent.socket.socketpair()
    abort = AbortHandle()
    watch = DisconnectWatcher(sock, abort)
    peer.sendall(b"the next request")
    gevent.sleep(0.01)
    assert not watch.has_disconnected
    watch.stop()
    sock.recv(100)
    watch = DisconnectWatcher(sock, abort)
    peer.close()
    gevent.sleep(0.01)
    assert watch.has_disconnected
    assert abort.reason
    watch.stop()
    sock.close()
