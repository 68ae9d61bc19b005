"""Faulty servers that write an earlier refusal once more on a kept connection."""

import gevent
import pytest

from edge_fleet import EdgeFleet
from fake_platform import complete_answer
from fake_platform import event
from fake_platform import publication
from fake_platform import STREAM_END
from fake_platform import stream_head

KINDS = {"plain": "idempotent", "once": "non_idempotent", "engine": "streaming"}
PROMPT = "X-Token-Counts: 1000,8\r\nX-Length-Hint: 8\r\nX-Model: m\r\n"


@pytest.fixture
def fleet():
    edge_fleet = EdgeFleet(KINDS)
    document = publication(KINDS)
    for route in document["routes"]:
        if route["kind"] == "streaming":
            route |= {"stream_resume": True, "max_attempts": 2}
    edge_fleet.publish(routes=document["routes"])
    yield edge_fleet
    edge_fleet.stop()


def refusal(request_id=""):
    line = f"X-Attempt-Id: {request_id}\r\n" if request_id else ""
    return (
        f"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n{line}Content-Length: 0\r\n\r\n"
    ).encode()


def answer(request):
    if "x-token-counts" in request["headers"]:
        return stream_head(request) + event(1) + STREAM_END
    return complete_answer(request)


class RefusingServer:
    """Server that answers one request, then writes a refusal before each answer.

    Attributes:
        runs: Ids of the requests that it ran.
        write_refusal: Returns what it writes first for a request.
    """

    def __init__(self, fleet, service, write_refusal):
        self.runs = []
        self.write_refusal = write_refusal
        fleet.add_server(service, "s1", self.respond)

    def respond(self, request, sock):
        request_id = request["headers"].get("x-attempt-id")
        if request_id is None:
            sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        self.runs.append(request_id)
        if len(self.runs) > 1:
            sock.sendall(self.write_refusal(request_id))
            gevent.sleep(0.02)
        sock.sendall(answer(request))
        return


def was_not_run(status, body):
    return status in (429, 503) and b"not-run" in (body or b"")


@pytest.mark.parametrize("service", ["plain", "engine"])
@pytest.mark.parametrize("id_of", [lambda _id: "", lambda _id: "a1"])
def test_a_request_that_runs_is_not_said_not_to_have_run(fleet, service, id_of):
    server = RefusingServer(
        fleet, service, lambda request_id: refusal(id_of(request_id))
    )
    fleet.start()
    assert fleet.call(f"/{service}/", attempt="a1", headers=PROMPT)[0] == 200
    status, _, body = fleet.call(f"/{service}/", attempt="a2", headers=PROMPT)
    assert "a2" in server.runs
    assert not was_not_run(status, body)


@pytest.mark.parametrize("service", ["plain", "once", "engine"])
def test_a_refusal_with_the_id_of_its_request_is_true(fleet, service):
    def refuse(request, sock):
        sock.sendall(refusal(request["headers"].get("x-attempt-id", "")))

    fleet.add_server(service, "s1", refuse)
    fleet.start()
    status, _, body = fleet.call(f"/{service}/", headers=PROMPT)
    assert was_not_run(status, body)


def test_a_call_that_may_run_once_never_trusts_an_unnamed_refusal_on_a_kept_connection(
    fleet,
):
    """The refusal may be that of the earlier request, written once more."""
    server = RefusingServer(fleet, "once", lambda _id: refusal())
    fleet.start()
    assert fleet.call("/once/", attempt="a1")[0] == 200
    status, _, body = fleet.call("/once/", attempt="a2")
    assert server.runs == ["a1", "a2"]
    assert status == 502
    assert not was_not_run(status, body)


def test_a_server_with_unnamed_refusals_gets_calls_that_may_run_once_on_new_connections(
    fleet,
):
    """Such a refusal proves on a new connection only that the call has not run."""
    connections = []

    def respond(request, sock):
        connections.append(sock)
        is_refused = len(connections) in (1, 3)
        sock.sendall(refusal() if is_refused else complete_answer(request))

    fleet.add_server("once", "s1", respond)
    fleet.start()
    answers = [fleet.call("/once/", attempt=f"a{number}") for number in range(4)]
    assert [answer[0] for answer in answers] == [503, 200, 503, 200]
    assert was_not_run(answers[2][0], answers[2][2])
    assert len(set(connections)) == 4


def test_a_refusal_of_another_request_on_a_new_connection_is_not_believed(fleet):
    server = RefusingServer(fleet, "once", lambda _id: refusal("other"))
    server.runs.append("earlier")
    fleet.start()
    status, _, body = fleet.call("/once/", attempt="a1")
    assert server.runs[1:] == ["a1"]
    assert not was_not_run(status, body)


def test_a_refusal_that_came_before_the_request_answers_none(fleet):
    """The bytes wait on the kept connection when the next request takes it."""
    runs = []

    def respond(request, sock):
        request_id = request["headers"].get("x-attempt-id")
        runs.append(request_id)
        sock.sendall(answer(request))
        gevent.spawn_later(0.02, sock.sendall, refusal())

    fleet.add_server("plain", "s1", respond)
    fleet.start()
    assert fleet.call("/plain/", attempt="a1")[0] == 200
    gevent.sleep(0.1)
    status, _, body = fleet.call("/plain/", attempt="a2")
    assert status == 200
    assert runs == ["a1", "a2"]


def test_a_repeat_of_a_refused_request_uses_a_new_connection(fleet):
    """A server may write the refusal of the same request once more."""
    runs, sockets = [], []

    def respond(request, sock):
        request_id = request["headers"].get("x-attempt-id")
        sockets.append((request_id, sock))
        if request_id == "a2" and len(sockets) == 2:
            sock.sendall(refusal("a2"))
            return
        runs.append(request_id)
        sock.sendall(answer(request))
        return

    fleet.add_server("plain", "s1", respond)
    fleet.add_server("plain", "s2", respond)
    fleet.start()
    for attempt in ("a1", "a2"):
        fleet.call("/plain/", attempt=attempt)
    used = [sock for request_id, sock in sockets if request_id == "a2"]
    assert len(used) == 2
    assert used[0] is not used[1]
    assert runs == ["a1", "a2"]
