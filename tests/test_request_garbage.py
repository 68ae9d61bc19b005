"""Requests that have ended leave nothing to the garbage collector.

What a cycle of references keeps counts towards the memory of the host, but no budget
counts it any more.
"""

import gevent
import pytest

from edge_fleet import EdgeFleet
from fake_platform import complete_answer
from fake_platform import event
from fake_platform import publication
from fake_platform import refused_answer
from fake_platform import STREAM_END
from fake_platform import stream_head
from fake_platform import wait_until
from request_garbage import collected_types

SERVICES = {"plain": "idempotent", "once": "non_idempotent", "engine": "streaming"}
PROMPT = "X-Token-Counts: 1000,800\r\nX-Length-Hint: 800\r\nX-Model: m\r\n"
BODY = b"x" * 100_000


def answer(request, sock):
    sock.sendall(complete_answer(request))


def fail(request, sock):
    sock.sendall(complete_answer(request, b"broken", "500 Broken"))


def truncate(request, sock):
    sock.sendall(complete_answer(request, BODY)[:-1])
    return "close"


def refuse(_request, sock):
    sock.sendall(refused_answer())


def wait(_request, sock):
    sock.recv(1)
    return "close"


def stream(request, sock):
    sock.sendall(stream_head(request) + event(1) + event(2) + STREAM_END)


def break_stream(request, sock):
    sock.sendall(stream_head(request) + event(1))
    return "close"


def break_and_refuse_resumption(request, sock):
    if "last-event-id" in request["headers"]:
        return refuse(request, sock)
    return break_stream(request, sock)


def send_invalid_event(request, sock):
    data = event(1) + b"3\r\n\xff\n\n\r\n"
    sock.sendall(stream_head(request) + data)


def call(fleet, path):
    fleet.call(path, body=BODY, headers=PROMPT, limit_ms=500)


def leave(fleet, path):
    sock = fleet.send_request(path, body=BODY, headers=PROMPT)
    gevent.sleep(0.2)
    sock.close()


def stop_short(fleet, path):
    sock = fleet.connect()
    sock.sendall(b"POST %s HTTP/1.1\r\nContent-Length: 9\r\n\r\n" % path.encode())
    gevent.sleep(0.1)
    sock.close()


CASES = {
    "complete": (answer, call, "/plain/"),
    "failed": (fail, call, "/plain/"),
    "truncated": (truncate, call, "/plain/"),
    "truncated_once": (truncate, call, "/once/"),
    "refused_by_servers": (refuse, call, "/plain/"),
    "late": (wait, call, "/plain/"),
    "late_once": (wait, call, "/once/"),
    "without_a_route": (answer, call, "/nowhere"),
    "caller_left": (wait, leave, "/plain/"),
    "caller_left_in_a_body": (answer, stop_short, "/plain/"),
    "stream": (stream, call, "/engine/"),
    "stream_refused": (refuse, call, "/engine/"),
    "stream_failed": (fail, call, "/engine/"),
    "stream_truncated": (truncate, call, "/engine/"),
    "stream_broken": (break_stream, call, "/engine/"),
    "stream_not_resumed": (break_and_refuse_resumption, call, "/engine/"),
    "stream_invalid": (send_invalid_event, call, "/engine/"),
    "stream_late": (wait, call, "/engine/"),
    "stream_left": (wait, leave, "/engine/"),
}


# Guards against bodies that an ended request keeps beside the budget of the host.
@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("is_resumable", [False, True])
def test_an_ended_request_leaves_no_garbage(case, is_resumable):
    respond, send, path = CASES[case]
    fleet = EdgeFleet(SERVICES)
    routes = publication(SERVICES)["routes"]
    for route in routes:
        if is_resumable and route["kind"] == "streaming":
            route |= {"stream_resume": True, "max_attempts": 3}
    fleet.publish(routes=routes)

    def respond_to_calls(request, sock):
        if request["headers"].get("x-attempt-id") != "a1":
            sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return None
        return respond(request, sock)

    try:
        for service in SERVICES:
            for number in range(3):
                fleet.add_server(service, f"{service}{number}", respond_to_calls)
        fleet.start()
        memory = fleet.host.components.held_memory
        with collected_types() as names:
            for _ in range(3):
                send(fleet, path)
            wait_until(lambda: not memory._holds)
            gevent.sleep(0.3)
        assert names == set()
    finally:
        fleet.stop()
