"""Crowds of slow or greedy connections do not use up the resources of an edge host."""

import gevent
import pytest

from door_host import EdgeProcess
from door_host import request_head
from door_host import send_crowd

pytestmark = pytest.mark.exclusive

MEMORY_MB = 64.0
# 200 of these descriptors are kept for files and 60 for servers and peers.
MAX_FDS = 360
ANSWER_BYTES = 400_000
SECONDS = 3.0
GET = "GET {} HTTP/1.1\r\nHost: h.example\r\n{}\r\n"
FIELDS = "".join(f"a{number}: b\r\n" for number in range(99))


@pytest.fixture
def host(tmp_path):
    process = EdgeProcess(
        tmp_path, MEMORY_MB, MAX_FDS, limits={"idle_timeout_ms": 15_000}
    )
    yield process
    process.end()


def check(host):
    assert host.is_alive()
    assert host.peak_mb <= MEMORY_MB
    assert host.serves_soon()


def send_nothing(sock):
    gevent.sleep(SECONDS)


def send_part_of_a_head(sock):
    sock.sendall(b"POST /plain/a HTTP/1.1\r\nHost: h.exa")


def send_head_slowly(sock):
    for byte in request_head("/plain/a", 10):
        sock.sendall(bytes([byte]))
        gevent.sleep(0.05)


def send_part_of_a_body(sock):
    sock.sendall(request_head("/plain/a", 10) + b"half")


def stay_after_an_answer(sock):
    sock.sendall(request_head("/plain/a", 2) + b"ok")
    while sock.recv(65_536):
        pass


def stay_after_readiness(sock):
    sock.sendall(GET.format("/", "").encode())
    while sock.recv(65_536):
        pass


CROWDS = {
    "silent": ("front", send_nothing),
    "part of a head": ("front", send_part_of_a_head),
    "slow head": ("front", send_head_slowly),
    "part of a body": ("front", send_part_of_a_body),
    "idle between two requests": ("front", stay_after_an_answer),
    "silent at readiness": ("ready", send_nothing),
    "idle at readiness": ("ready", stay_after_readiness),
    "silent at metrics": ("metrics", send_nothing),
}


# Guards against a process that has no descriptor left for servers, files and callers.
@pytest.mark.parametrize("crowd", CROWDS)
def test_open_connections_stay_under_the_bound_of_descriptors(host, crowd):
    address, send = CROWDS[crowd]
    assert send_crowd(host, address, 600, send, SECONDS) <= MAX_FDS
    check(host)


# Guards against memory that grows with each connection, without a body.
def test_many_connections_stay_within_the_memory(tmp_path):
    host = EdgeProcess(tmp_path, MEMORY_MB, 8_192)
    try:
        send_crowd(host, "front", 1_500, send_part_of_a_body, SECONDS)
        check(host)
    finally:
        host.end()


# Guards against headers of many short fields whose parsed form is far larger.
@pytest.mark.parametrize("address", ["front", "ready"])
def test_many_short_header_fields_stay_within_the_memory(host, address):
    def send(sock):
        sock.sendall(request_head("/plain/a", 10, FIELDS[:-60]) + b"half")

    send_crowd(host, address, 300, send, SECONDS)
    check(host)


# Guards against a descriptor limit of the process below that of the settings: each
# failed accept must not print a traceback.
def test_exhausted_descriptors_are_logged_in_few_lines(tmp_path):
    import resource

    host = EdgeProcess(tmp_path, MEMORY_MB, 8_192)
    try:
        resource.prlimit(host.process.pid, resource.RLIMIT_NOFILE, (60, 60))
        send_crowd(host, "front", 150, send_nothing, SECONDS)
        check(host)
        assert b"Traceback" not in host.error_path.read_bytes()
        assert host.log_path.read_bytes().count(b"connections_refused") <= 10
    finally:
        host.end()
