"""Crowds of clients with bodies do not use up the memory of an edge host."""

import gevent
import pytest

from door_host import EdgeProcess
from door_host import request_head
from door_host import send_crowd

pytestmark = pytest.mark.exclusive

MEMORY_MB = 64.0
# Of the 64 MB, the process itself uses 38.
SECONDS = 3.0
PIECE = b"z" * 65_536
MB = 1_048_576
TARGETS = {
    "route": ("front", "/plain/a"),
    "no route": ("front", "/nowhere"),
    "readiness": ("ready", "/"),
}


@pytest.fixture
def host(tmp_path):
    process = EdgeProcess(tmp_path, MEMORY_MB)
    yield process
    process.end()


def send_whole(path):
    def send(sock):
        sock.sendall(request_head(path, 4 * MB))
        for _ in range(4 * MB // len(PIECE)):
            sock.sendall(PIECE)

    return send


def send_short_in_one_piece(path):
    def send(sock):
        sock.sendall(request_head(path, 100_001) + b"z" * 100_000)

    return send


def send_short_in_small_pieces(path):
    def send(sock):
        sock.sendall(request_head(path, 16_385))
        for _ in range(64):
            sock.sendall(b"z" * 256)
            gevent.sleep(0.01)

    return send


def send_short_in_chunks(path):
    def send(sock):
        sock.sendall(request_head(path) + b"2\r\nzz\r\n" * 8_191 + b"2\r\nz")

    return send


def send_without_end(path):
    def send(sock):
        sock.sendall(request_head(path, 10**12))
        while True:
            sock.sendall(PIECE)

    return send


def send_chunks_without_end(path):
    def send(sock):
        sock.sendall(request_head(path))
        while True:
            sock.sendall(b"1\r\nz\r\n" * 8_192)

    return send


def send_extensions(path):
    def send(sock):
        sock.sendall(request_head(path))
        while True:
            sock.sendall((b"2;" + b"a=b;" * 1_000 + b"\r\nzz\r\n") * 10)

    return send


def send_trailers(path):
    def send(sock):
        sock.sendall(request_head(path) + b"0\r\n")
        while True:
            sock.sendall(b"a: b\r\n" * 4_096)

    return send


CROWDS = {
    "whole": (60, send_whole),
    "one byte short in one piece": (400, send_short_in_one_piece),
    "one byte short in small pieces": (400, send_short_in_small_pieces),
    "one byte short in chunks": (150, send_short_in_chunks),
    "far over the limit": (60, send_without_end),
    "chunks without end": (20, send_chunks_without_end),
    "chunk extensions": (20, send_extensions),
    "trailers": (20, send_trailers),
}


# Guards against a process that ends because callers' bodies use up its memory, or
# that reads bodies without end and serves nobody else.
@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("crowd", CROWDS)
def test_a_crowd_of_bodies_stays_within_the_memory(host, crowd, target):
    count, make_send = CROWDS[crowd]
    address, path = TARGETS[target]
    send_crowd(host, address, count, make_send(path), SECONDS)
    assert host.is_alive()
    assert host.peak_mb <= MEMORY_MB
    assert host.serves_soon()
