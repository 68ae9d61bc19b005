"""Bytes that callers have sent and the host has not read stay within its memory."""

import contextlib

import gevent
import pytest

from door_host import EdgeProcess
from door_host import request_head
from door_host import send_crowd
from edge_fleet import read_answer

pytestmark = pytest.mark.exclusive

MEMORY_MB = 128.0
CLIENT_COUNT = 500
SECONDS = 6.0
BODY_BYTES = 4_000_000
# Shared by the crowd, whose copies would take several GB of the machine.
BODY = bytes(BODY_BYTES)
GET = b"GET /nowhere HTTP/1.1\r\nHost: h.example\r\n\r\n"


def sending_ahead(sock):
    while True:
        sock.sendall(GET * 1_000)


def stopping_short(sock):
    sock.sendall(request_head("/plain/a", BODY_BYTES))
    sock.sendall(memoryview(BODY)[:-1])
    gevent.sleep(SECONDS)


def sending_whole(sock):
    sock.sendall(request_head("/plain/a", BODY_BYTES))
    sock.sendall(BODY)
    gevent.sleep(SECONDS)


def sending_too_much(sock):
    sock.sendall(request_head("/nowhere", 10**11))
    while True:
        sock.sendall(bytes(65_536))


def without_reading(sock):
    sock.sendall((request_head("/plain/a", 2) + b"ok") * 20)
    gevent.sleep(SECONDS)


# Guards against a host that is killed for bytes which the kernel holds for it.
@pytest.mark.parametrize("address", ["front", "ready"])
@pytest.mark.parametrize(
    "send",
    [sending_ahead, sending_whole, stopping_short, sending_too_much, without_reading],
)
def test_buffers_of_the_kernel_count_towards_the_memory(tmp_path, send, address):
    host = EdgeProcess(tmp_path, MEMORY_MB)
    try:
        host.answer_bytes = 1_000_000
        watch = gevent.spawn(host.watch_memory)
        send_crowd(host, address, CLIENT_COUNT, send, SECONDS)
        watch.kill()
        host.answer_bytes = 4
        assert host.is_alive()
        assert host.peak_with_buffers_mb <= MEMORY_MB
        assert host.serves_soon()
    finally:
        host.end()


# The same with twice the crowd, which leaves less room beside the bodies; the smallest
# machines have 88 MB.
@pytest.mark.parametrize("memory_mb", [88.0, MEMORY_MB])
def test_a_thousand_whole_bodies_stay_within_the_memory(tmp_path, memory_mb):
    host = EdgeProcess(tmp_path, memory_mb)
    try:
        watch = gevent.spawn(host.watch_memory)
        send_crowd(host, "front", 2 * CLIENT_COUNT, sending_whole, 2 * SECONDS)
        watch.kill()
        assert host.is_alive()
        assert host.peak_with_buffers_mb <= memory_mb
        assert host.serves_soon()
    finally:
        host.end()


# Guards against bodies that a host keeps after their requests have ended.
def test_large_bodies_of_ordinary_callers_stay_within_the_memory(tmp_path):
    host = EdgeProcess(tmp_path, MEMORY_MB)

    def call_repeatedly():
        with contextlib.closing(host.connect()) as sock:
            for _ in range(25):
                sock.sendall(request_head("/plain/a", BODY_BYTES))
                sock.sendall(BODY)
                assert read_answer(sock)[0] == 200

    try:
        watch = gevent.spawn(host.watch_memory)
        gevent.joinall(
            [gevent.spawn(call_repeatedly) for _ in range(4)], raise_error=True
        )
        watch.kill()
        assert host.peak_with_buffers_mb <= MEMORY_MB
        assert host.serves_soon()
    finally:
        host.end()
