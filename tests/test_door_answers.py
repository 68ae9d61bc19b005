"""Callers that do not read their answers do not use up an edge host."""

import contextlib

import gevent
import pytest
from gevent import socket

from door_host import EdgeProcess
from door_host import request_head
from door_host import send_crowd

pytestmark = pytest.mark.exclusive

MEMORY_MB = 64.0
SECONDS = 4.0
GET = b"GET /%s HTTP/1.1\r\nHost: h.example\r\n\r\n"
LIMITS = {"idle_timeout_ms": 2_000}


@pytest.fixture
def host(tmp_path):
    process = EdgeProcess(tmp_path, MEMORY_MB, limits=LIMITS)
    yield process
    process.end()


def check(host):
    assert host.is_alive()
    assert host.peak_mb <= MEMORY_MB
    assert host.serves_soon()


def without_reading(data, times=1):
    def send(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        for _ in range(times):
            sock.sendall(data)
        gevent.sleep(SECONDS)

    return send


# Guards against answers that wait in a send and count for nobody.
def test_unread_answers_stay_within_the_memory(host):
    host.answer_bytes = 3_000_000
    data = request_head("/plain/a", 2) + b"ok"
    send_crowd(host, "front", 100, without_reading(data), SECONDS)
    host.answer_bytes = 4
    check(host)


def test_answers_read_very_slowly_stay_within_the_memory(host):
    def send(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.sendall(request_head("/plain/a", 2) + b"ok")
        while sock.recv(16):
            gevent.sleep(0.2)

    host.answer_bytes = 3_000_000
    send_crowd(host, "front", 100, send, SECONDS)
    host.answer_bytes = 4
    check(host)


# Guards against connections whose unread answers keep them open for good.
@pytest.mark.parametrize("address", ["front", "ready", "metrics"])
def test_connections_without_read_answers_are_closed(tmp_path, address):
    check_unread_answers(tmp_path, address, client_count=20, extra_descriptors=5)


# The same with so few clients that their answers fill the buffers of the kernel within
# seconds.
@pytest.mark.parametrize("address", ["front", "ready", "metrics"])
def test_three_connections_without_read_answers_are_closed(tmp_path, address):
    check_unread_answers(tmp_path, address, client_count=3, extra_descriptors=1)


def check_unread_answers(tmp_path, address, client_count, extra_descriptors):
    host = EdgeProcess(tmp_path, MEMORY_MB, limits={"idle_timeout_ms": 1_000})
    try:
        before = host.descriptor_count
        path = b"metrics" if address == "metrics" else b"nowhere"
        socks = []

        def send(sock):
            socks.append(sock)
            without_reading(GET % path * 2_000, 50)(sock)

        clients = []
        for _ in range(client_count):
            sock = host.connect(address)
            clients.append(gevent.spawn(suppress_errors, send, sock))
        with gevent.Timeout(7.0, False):
            while host.descriptor_count > before + extra_descriptors:
                gevent.sleep(0.1)
        assert host.descriptor_count <= before + extra_descriptors
        gevent.killall(clients)
        check(host)
    finally:
        host.end()


def suppress_errors(send, sock):
    with contextlib.suppress(OSError):
        send(sock)


# Guards against a connection whose requests are served one after the other without a
# turn for the others: an ordinary call had no answer for 10 s.
@pytest.mark.parametrize(
    ("address", "path"), [("front", b"nowhere"), ("ready", b""), ("metrics", b"x")]
)
def test_an_ordinary_call_is_answered_beside_pipelined_requests(host, address, path):
    def send(sock):
        reader = gevent.spawn(read_all, sock)
        try:
            while True:
                sock.sendall(GET % path * 1_000)
        finally:
            reader.kill()

    clients = [
        gevent.spawn(suppress_errors, send, host.connect(address)) for _ in range(40)
    ]
    gevent.sleep(1.0)
    assert host.serves_soon()
    gevent.killall(clients)
    check(host)


def read_all(sock):
    with contextlib.suppress(OSError):
        while sock.recv(65_536):
            pass
