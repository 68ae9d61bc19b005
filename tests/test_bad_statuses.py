"""Statuses that are no final status of HTTP are failures, not answers."""

import json

import pytest

from edge_fleet import EdgeFleet
from fake_platform import FakeBackendServer
from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.exceptions import BackendError
from gypsumfield.verdicts import RunVerdict

SEALED = "HTTP/1.1 {} Odd\r\nX-Attempt-Id: {}\r\nX-Response-Seal: s\r\n"
FRAMINGS = {
    "length": "Content-Length: 4\r\n\r\nodd.",
    "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nodd.\r\n0\r\n\r\n",
    "close": "Connection: close\r\n\r\nodd.",
    "no body": "\r\n",
}
PROMPT = "X-Token-Counts: 1000,800\r\nX-Length-Hint: 800\r\nX-Model: m\r\n"
BAD_STATUSES = ("000", "099", "600", "999")


def odd_answer(status, framing):
    def respond(request, sock):
        attempt = request["headers"].get("x-attempt-id")
        if attempt is None:
            return "close"
        sock.sendall((SEALED.format(status, attempt) + FRAMINGS[framing]).encode())
        return "close"

    return respond


# Guards against an answer with a status such as 000 that reaches the caller.
@pytest.mark.parametrize("status", BAD_STATUSES)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "streaming"])
def test_a_status_that_is_none_of_http_does_not_reach_the_caller(kind, status, framing):
    fleet = EdgeFleet({"odd": kind})
    fleet.publish()
    try:
        fleet.add_server("odd", "s1", odd_answer(status, framing))
        fleet.start()
        answered, _, body = fleet.call("/odd/a", headers=PROMPT, limit_ms=2_000)
        assert answered in (502, 504)
        assert json.loads(body)["error"]["run"] == "may-have-run"
    finally:
        fleet.stop()


# Guards against a status that the hop between two hosts, or `/v1`, passes on.
@pytest.mark.parametrize("status", BAD_STATUSES)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_no_exchange_returns_a_status_that_is_none_of_http(status, framing):
    server = FakeBackendServer(odd_answer(status, framing))
    server.start()
    request = OutgoingRequest(
        server.address,
        "GET",
        "/",
        {"X-Attempt-Id": "a1"},
        b"",
        "a1",
        "X-Attempt-Id",
        must_echo_id=False,
    )
    exchange = Exchange(request, ExchangeTimeouts(500, 1_000, 1_000), AbortHandle())
    try:
        with pytest.raises(BackendError) as caught:
            exchange.open(lambda: "")
        assert caught.value.verdict is RunVerdict.MAY_HAVE_RUN
    finally:
        exchange.close()
        server.crash()
