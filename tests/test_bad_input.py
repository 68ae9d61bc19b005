"""Ambiguous, truncated and oversized requests.

Two HTTP parsers could interpret an ambiguous request differently, which allows request
smuggling. Each such request must get an error body and a closed connection, must not
run on a backend server, and must not affect other callers.
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
SMUGGLED_REQUEST = (
    b"POST /services/ledger/sales HTTP/1.1\r\nHost: x\r\n"
    b"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s"
) % (KEY.encode(), len(SALE), SALE)
CORRECT_LENGTH = b"Content-Length: %d\r\n" % len(SALE)
CHUNKED = b"Transfer-Encoding: chunked\r\n"


class RequestCase(NamedTuple):
    status: int
    headers: bytes
    body: bytes = SALE


REQUEST_CASES = {
    "two lengths": RequestCase(400, CORRECT_LENGTH + b"Content-Length: 1\r\n"),
    "equal lengths": RequestCase(400, CORRECT_LENGTH + CORRECT_LENGTH),
    "length and chunks": RequestCase(
        400, CORRECT_LENGTH + CHUNKED, b"0\r\n\r\n" + SMUGGLED_REQUEST
    ),
    "listed lengths": RequestCase(400, b"Content-Length: 24, 24\r\n"),
    "signed length": RequestCase(400, b"Content-Length: +24\r\n"),
    "negative length": RequestCase(400, b"Content-Length: -1\r\n"),
    "hexadecimal length": RequestCase(400, b"Content-Length: 0x18\r\n"),
    "chunks twice": RequestCase(400, CHUNKED + CHUNKED, b"0\r\n\r\n"),
    "unknown encoding": RequestCase(
        400, b"Transfer-Encoding: xchunked\r\n", b"0\r\n\r\n"
    ),
    "encoding list": RequestCase(
        400, b"Transfer-Encoding: gzip, chunked\r\n", b"0\r\n\r\n"
    ),
    "obsolete folding": RequestCase(400, b"X-Note: a\r\n b: c\r\n" + CORRECT_LENGTH),
    "folded encoding": RequestCase(
        400, b"Transfer-Encoding:\r\n chunked\r\n", b"0\r\n\r\n"
    ),
    "space before colon": RequestCase(400, b"Content-Length : 24\r\n"),
    "no colon": RequestCase(400, b"nonsense\r\n" + CORRECT_LENGTH),
    "control character": RequestCase(400, b"X-Note: a\x00b\r\n" + CORRECT_LENGTH),
    "bare carriage return": RequestCase(
        400, b"X-Note: a\rContent-Length: 3\r\n" + CORRECT_LENGTH
    ),
    "chunk size no number": RequestCase(
        400, CHUNKED, b"zz\r\n" + SALE + b"\r\n0\r\n\r\n"
    ),
    "chunk size signed": RequestCase(
        400, CHUNKED, b"+18\r\n" + SALE + b"\r\n0\r\n\r\n"
    ),
    "chunk too long": RequestCase(400, CHUNKED, b"10\r\n" + SALE + b"\r\n0\r\n\r\n"),
    "header block too large": RequestCase(
        431, b"X-Note: " + b"a" * 70_000 + b"\r\n" + CORRECT_LENGTH
    ),
    "too many headers": RequestCase(431, b"X-Note: a\r\n" * 3_000 + CORRECT_LENGTH),
    "stated body too large": RequestCase(413, b"Content-Length: 99999999\r\n", b""),
    "chunked body too large": RequestCase(
        413, CHUNKED, b"200000\r\n" + b"a" * 0x200000 + b"\r\n0\r\n\r\n"
    ),
}


@pytest.fixture(scope="module")
def fleet():
    with small_fleet() as running:
        yield running


def send_raw(url: str, data: bytes) -> bytes:
    """Send raw bytes and return everything received until the server closes."""
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


def encode_case(request_case: RequestCase) -> bytes:
    return (
        b"POST /services/ledger/sales HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer "
        + KEY.encode()
        + b"\r\n"
        + request_case.headers
        + b"\r\n"
    ) + request_case.body


def ledger_run_count(fleet) -> int:
    return sum(sum(ledger.runs.values()) for ledger in fleet.ledgers)


@pytest.mark.parametrize("name", REQUEST_CASES)
def test_ambiguous_and_oversized_requests_are_refused_and_run_nothing(fleet, name):
    request_case = REQUEST_CASES[name]
    run_count_before = ledger_run_count(fleet)
    # The second request is the one that would be smuggled.
    answer = send_raw(fleet.urls[0], encode_case(request_case) + SMUGGLED_REQUEST)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % request_case.status), answer[:300]
    assert head.count(b"HTTP/1.1") == body.count(b"HTTP/1.1") + 1 == 1
    assert json.loads(body)["error"]["run"] == "not-run"
    assert KEY.encode() not in answer
    assert ledger_run_count(fleet) == run_count_before
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
    run_count_before = ledger_run_count(fleet)
    answer = send_raw(
        fleet.urls[0], line + b"Host: x\r\n" + CORRECT_LENGTH + b"\r\n" + SALE
    )
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert ledger_run_count(fleet) == run_count_before


def test_a_truncated_body_runs_nothing(fleet):
    run_count_before = ledger_run_count(fleet)
    host, _, port = fleet.urls[0].removeprefix("http://").partition(":")
    with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
        sock.sendall(encode_case(RequestCase(400, CORRECT_LENGTH, SALE[:5])))
        sock.shutdown(socket.SHUT_WR)
        answer = sock.recv(65_536)
    assert not answer or answer.startswith(b"HTTP/1.1 400 ")
    wait_for(lambda: fleet.hosts[0].in_flight_count == 0)
    assert ledger_run_count(fleet) == run_count_before


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
def test_ambiguous_paths_are_not_forwarded(fleet, path):
    run_count_before = ledger_run_count(fleet)
    answer = call("GET", f"{fleet.urls[0]}{path}", headers=bearer())
    assert (answer.status, answer.json["error"]["run"]) == (400, "not-run")
    assert ledger_run_count(fleet) == run_count_before


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
def test_unknown_routes_and_services_get_an_error_body(
    fleet, method, path, status, code
):
    answer = call(method, f"{fleet.urls[0]}{path}", headers=bearer())
    assert answer.status == status
    error = answer.json["error"]
    assert (error["code"], error["run"]) == (code, "not-run")


def test_a_valid_chunked_body_is_accepted(fleet):
    run_count_before = ledger_run_count(fleet)
    body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(SALE), SALE)
    request_case = RequestCase(201, CHUNKED + b"Connection: close\r\n", body)
    answer = send_raw(fleet.urls[0], encode_case(request_case))
    assert answer.startswith(b"HTTP/1.1 201 ")
    assert ledger_run_count(fleet) == run_count_before + 1
