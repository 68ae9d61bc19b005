"""Servers that stop in the head of their answer, at each of its bytes, and close."""

import pytest

from edge_fleet import EdgeFleet
from fake_platform import event
from fake_platform import no_such_run
from fake_platform import publication
from fake_platform import STREAM_END
from fake_platform import wait_until

KINDS = {"plain": "idempotent", "once": "non_idempotent", "engine": "streaming"}
PROMPT = "X-Token-Counts: 100,40\r\nX-Length-Hint: 40\r\nX-Model: m\r\n"
BODY = b"hello"
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n"
PLAIN_HEAD = HEAD + b"Content-Length: 5\r\n\r\n"
ANSWERS = {
    "length": PLAIN_HEAD + BODY,
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "old": PLAIN_HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + BODY,
    "unframed": HEAD + b"\r\n" + BODY,
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + PLAIN_HEAD + BODY,
}
STREAM = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + event(1) + STREAM_END


class TruncatingFleet(EdgeFleet):
    """Two servers, of which the first cuts its answers off after some bytes."""

    def __init__(self):
        super().__init__(KINDS)
        routes = publication(KINDS)["routes"]
        for route in routes:
            route |= {"stream_resume": route["kind"] == "streaming", "max_attempts": 4}
        self.publish(routes=routes)
        self.answer = b""
        self.length = 0
        self.truncated_count = 0
        # The host checks the end of an unframed answer with a call.
        self.answers_reports = True
        for service in KINDS:
            self.add_server(service, f"{service}-1", self.truncate)
        self.start()

    def truncate(self, request, sock):
        if "x-attempt-id" not in request["headers"]:
            sock.sendall(no_such_run())
            return "close"
        self.truncated_count += 1
        answer = self.answer % request["headers"]["x-attempt-id"].encode()
        sock.sendall(answer[: self.length])
        return "close"

    def add_whole_servers(self):
        for service in KINDS:
            self.add_server(service, f"{service}-2", self.answer_whole)
        wait_until(lambda: self.has_servers(2 * len(KINDS)))

    def answer_whole(self, request, sock):
        if "x-attempt-id" not in request["headers"]:
            return "close"
        answer = STREAM if "engine" in request["target"] else ANSWERS["length"]
        sock.sendall(answer % request["headers"]["x-attempt-id"].encode())
        return None


@pytest.fixture
def fleet():
    truncating_fleet = TruncatingFleet()
    yield truncating_fleet
    truncating_fleet.stop()


@pytest.mark.parametrize("service", KINDS)
@pytest.mark.parametrize("framing", ANSWERS)
def test_a_truncated_answer_is_no_success_that_looks_whole(fleet, service, framing):
    fleet.answer = STREAM if service == "engine" else ANSWERS[framing]
    whole_length = len(fleet.answer % b"a000")
    unframed_from = whole_length - len(BODY) if framing == "unframed" else whole_length
    headers = PROMPT if service == "engine" else ""
    for fleet.length in range(min(whole_length, unframed_from)):
        attempt = f"a{fleet.length:03}"
        answer = fleet.call(f"/{service}/", attempt=attempt, headers=headers)
        status, answer_headers, body = answer
        is_broken_stream = status == 200 and body is None and service == "engine"
        assert is_broken_stream or status in (502, 504), (fleet.length, answer)
        if status != 200:
            assert "x-response-seal" not in answer_headers
            assert b"not-run" not in body
    assert fleet.truncated_count >= min(whole_length, unframed_from)


@pytest.mark.parametrize("service", ["plain", "engine"])
def test_a_safe_call_whose_answer_was_truncated_is_repeated(fleet, service):
    fleet.add_whole_servers()
    fleet.answer = STREAM if service == "engine" else ANSWERS["length"]
    head_length = len((fleet.answer % b"a000").partition(b"\r\n\r\n")[0]) + 4
    headers = PROMPT if service == "engine" else ""
    # The retry budget of a host with few requests allows few repeats.
    for fleet.length in (0, 12, 17, head_length - 2):
        attempt = f"a{fleet.length:03}"
        answer = fleet.call(f"/{service}/", attempt=attempt, headers=headers)
        assert answer[0] == 200, (fleet.length, answer)
        assert answer[2]
