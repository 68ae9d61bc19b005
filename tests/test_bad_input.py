"""Requests that two programs could read differently, cut or oversized ones.

Each gets the error shape and a closed connection, runs nothing behind the
entry host, and leaves the other callers alone.
"""

import json
from typing import NamedTuple

import pytest
from gevent import socket

from httpcalls import call
from httpcalls import TIMEOUT_S
from small_fleet import bearer
from small_fleet import complete
from small_fleet import KEY
from small_fleet import small_fleet
from small_fleet import wait_for

SALE = b'{"cart":"c1","amount":1}'
HIDDEN = (
    b"POST /services/ledger/sales HTTP/1.1\r\nHost: x\r\n"
    b"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s"
) % (KEY.encode(), len(SALE), SALE)
FULL = b"Content-Length: %d\r\n" % len(SALE)
CHUNKED = b"Transfer-Encoding: chunked\r\n"


class Shape(NamedTuple):
    status: int
    headers: bytes
    body: bytes = SALE


SHAPES = {
    "two lengths": Shape(400, FULL + b"Content-Length: 1\r\n"),
    "equal lengths": Shape(400, FULL + FULL),
    "length and chunks": Shape(400, FULL + CHUNKED, b"0\r\n\r\n" + HIDDEN),
    "listed lengths": Shape(400, b"Content-Length: 24, 24\r\n"),
    "signed length": Shape(400, b"Content-Length: +24\r\n"),
    "negative length": Shape(400, b"Content-Length: -1\r\n"),
    "hexadecimal length": Shape(400, b"Content-Length: 0x18\r\n"),
    "chunks twice": Shape(400, CHUNKED + CHUNKED, b"0\r\n\r\n"),
    "unknown encoding": Shape(400, b"Transfer-Encoding: xchunked\r\n", b"0\r\n\r\n"),
    "encoding list": Shape(400, b"Transfer-Encoding: gzip, chunked\r\n", b"0\r\n\r\n"),
    "obsolete folding": Shape(400, b"X-Note: a\r\n b: c\r\n" + FULL),
    "folded encoding": Shape(400, b"Transfer-Encoding:\r\n chunked\r\n", b"0\r\n\r\n"),
    "space before colon": Shape(400, b"Content-Length : 24\r\n"),
    "no colon": Shape(400, b"nonsense\r\n" + FULL),
    "control character": Shape(400, b"X-Note: a\x00b\r\n" + FULL),
    "bare carriage return": Shape(400, b"X-Note: a\rContent-Length: 3\r\n" + FULL),
    "chunk size no number": Shape(400, CHUNKED, b"zz\r\n" + SALE + b"\r\n0\r\n\r\n"),
    "chunk size signed": Shape(400, CHUNKED, b"+18\r\n" + SALE + b"\r\n0\r\n\r\n"),
    "chunk too long": Shape(400, CHUNKED, b"10\r\n" + SALE + b"\r\n0\r\n\r\n"),
    "header block too large": Shape(431, b"X-Note: " + b"a" * 70_000 + b"\r\n" + FULL),
    "too many headers": Shape(431, b"X-Note: a\r\n" * 3_000 + FULL),
    "stated body too large": Shape(413, b"Content-Length: 99999999\r\n", b""),
    "chunked body too large": Shape(
        413, CHUNKED, b"200000\r\n" + b"a" * 0x200000 + b"\r\n0\r\n\r\n"
    ),
}


@pytest.fixture(scope="module")
def fleet():
    with small_fleet() as running:
        yield running


def exchange(url: str, data: bytes) -> bytes:
    """Send raw bytes and return all that comes until the server closes."""
    host, _, port = url.removeprefix("http://").partition(":")
    with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
        received = b""
        try:
            sock.sendall(data)
            while chunk := sock.recv(65_536):
                received += chunk
        except ConnectionError:
            pass
        return received


def request_of(shape: Shape) -> bytes:
    return (
        b"POST /services/ledger/sales HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer " + KEY.encode() + b"\r\n" + shape.headers + b"\r\n"
    ) + shape.body


def ledger_run_count(fleet) -> int:
    return sum(sum(ledger.runs.values()) for ledger in fleet.ledgers)


@pytest.mark.parametrize("name", SHAPES)
def test_ambiguous_and_oversized_requests_are_refused_and_run_nothing(fleet, name):
    shape = SHAPES[name]
    before = ledger_run_count(fleet)
    # A second request right behind would be the smuggled one.
    answer = exchange(fleet.urls[0], request_of(shape) + HIDDEN)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % shape.status), answer[:300]
    assert head.count(b"HTTP/1.1") == body.count(b"HTTP/1.1") + 1 == 1
    assert json.loads(body)["error"]["run"] == "not-run"
    assert KEY.encode() not in answer
    assert ledger_run_count(fleet) == before
    assert complete(fleet.urls[0], "x [tokens=1]").status == 200


@pytest.mark.parametrize(
    "line",
    [
        b"POST /services/ledger/sales\r\n",
        b"POST /services/ledger/sales HTTP/9.1\r\n",
        b"POST  /a b /sales HTTP/1.1\r\n",
        b"\x16\x03\x01\x02\x00\r\n",
    ],
)
def test_malformed_request_lines_are_refused(fleet, line):
    before = ledger_run_count(fleet)
    answer = exchange(fleet.urls[0], line + b"Host: x\r\n" + FULL + b"\r\n" + SALE)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert ledger_run_count(fleet) == before


def test_a_body_that_is_cut_runs_nothing(fleet):
    before = ledger_run_count(fleet)
    host, _, port = fleet.urls[0].removeprefix("http://").partition(":")
    with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
        sock.sendall(request_of(Shape(400, FULL, SALE[:5])))
        sock.shutdown(socket.SHUT_WR)
        answer = sock.recv(65_536)
    assert not answer or answer.startswith(b"HTTP/1.1 400 ")
    wait_for(lambda: fleet.hosts[0].in_flight_count == 0)
    assert ledger_run_count(fleet) == before


@pytest.mark.parametrize(
    "path",
    [
        "/services/ledger/../assistant/sales",
        "/services/ledger/%2e%2e/standin/runs",
        "/services/ledger/notes%2fa",
        "/services/ledger//standin/runs",
        "/services/ledger/./sales",
    ],
)
def test_ambiguous_paths_are_not_passed_on(fleet, path):
    before = ledger_run_count(fleet)
    answer = call("GET", f"{fleet.urls[0]}{path}", headers=bearer())
    assert (answer.status, answer.json["error"]["run"]) == (400, "not-run")
    assert ledger_run_count(fleet) == before


@pytest.mark.parametrize(
    ("method", "path", "status", "code"),
    [
        ("GET", "/services/none/x", 404, "unknown_service"),
        ("GET", "/services/assistant/x", 404, "unknown_service"),
        ("GET", "/nowhere", 404, "unknown_route"),
        ("PUT", "/v1/completions", 405, "bad_request"),
        ("GET", "/v1/generations/resume", 400, "bad_cursor"),
    ],
)
def test_unknown_routes_and_services_have_the_error_shape(
    fleet, method, path, status, code
):
    answer = call(method, f"{fleet.urls[0]}{path}", headers=bearer())
    assert answer.status == status
    error = answer.json["error"]
    assert (error["code"], error["run"]) == (code, "not-run")


def test_a_chunked_body_that_is_well_formed_passes(fleet):
    before = ledger_run_count(fleet)
    body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(SALE), SALE)
    shape = Shape(201, CHUNKED + b"Connection: close\r\n", body)
    answer = exchange(fleet.urls[0], request_of(shape))
    assert answer.startswith(b"HTTP/1.1 201 ")
    assert ledger_run_count(fleet) == before + 1
