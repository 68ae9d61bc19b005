"""What the next engine sends after a stream has broken off."""

import gevent
import pytest

from edge_fleet import EdgeFleet
from fake_platform import event
from fake_platform import publication
from fake_platform import SEAL_HEADER
from fake_platform import STREAM_END
from fake_platform import stream_head
from fake_platform import unframed_head
from gypsumfield.adapters.backends import Exchange

KINDS = {"engine": "streaming"}
PROMPT = "X-Token-Counts: 1000,800\r\nX-Length-Hint: 800\r\nX-Model: m\r\n"
ERROR_TEXT = b"engine exploded"
SOUND = [b"id: %d\ndata: piece %d\n\n" % (number, number) for number in (1, 2)]


def build_fleet(is_resumable):
    edge_fleet = EdgeFleet(KINDS)
    edge_fleet.answers_reports = True
    document = publication(KINDS)
    if is_resumable:
        document["routes"][0] |= {"stream_resume": True, "max_attempts": 3}
    edge_fleet.publish(routes=document["routes"])
    return edge_fleet


@pytest.fixture(params=[False, True], ids=["copy", "resumable"])
def fleet(request):
    edge_fleet = build_fleet(request.param)
    yield edge_fleet
    edge_fleet.stop()


@pytest.fixture
def resumable_fleet():
    edge_fleet = build_fleet(is_resumable=True)
    yield edge_fleet
    edge_fleet.stop()


def is_resumption(request):
    return "last-event-id" in request["headers"]


def start(fleet, resume, engine_count=3):
    """Start engines that break each stream after two events and resume as given."""

    def respond(request, sock):
        if "x-attempt-id" not in request["headers"]:
            sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return None
        if is_resumption(request):
            fleet.resumptions.append(request)
            return resume(request, sock)
        sock.sendall(stream_head(request) + event(1) + event(2))
        gevent.sleep(0.02)
        return "close"

    fleet.resumptions = []
    for number in range(engine_count):
        fleet.add_server("engine", f"e{number}", respond)
    fleet.start()


def error_answer(_request):
    return b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: %d\r\n%s\r\n%s" % (
        len(ERROR_TEXT),
        SEAL_HEADER.encode(),
        ERROR_TEXT,
    )


def other_answer(request):
    other = {**request, "headers": {**request["headers"], "x-attempt-id": "other"}}
    return stream_head(other) + event(3) + STREAM_END


def refusal(request):
    request_id = request["headers"]["x-attempt-id"]
    return (
        f"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {request_id}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


ERROR_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
RESUMPTIONS = {
    "error": error_answer,
    "other-request": other_answer,
    "refusal": refusal,
    "empty": lambda request: stream_head(request) + STREAM_END,
    "begins-anew": lambda r: (
        stream_head(r) + event(1) + event(2) + event(3) + STREAM_END
    ),
    "repeats": lambda r: stream_head(r) + event(2) + event(3) + STREAM_END,
    "leaves-out": lambda request: stream_head(request) + event(4) + STREAM_END,
    "head-as-event": lambda request: unframed_head(request) + ERROR_HEAD + ERROR_TEXT,
    "text-as-event": lambda r: unframed_head(r) + b'{"error": "exploded"}\n\n',
    "blank": lambda request: unframed_head(request),
}


@pytest.mark.parametrize("answer_of", RESUMPTIONS.values(), ids=RESUMPTIONS)
def test_nothing_but_the_stream_reaches_the_caller_and_it_does_not_look_complete(
    fleet, answer_of
):
    def resume(request, sock):
        sock.sendall(answer_of(request))
        gevent.sleep(0.02)
        return "close"

    start(fleet, resume)
    status, headers, body, received = call(fleet)
    assert fleet.resumptions
    assert status == 200
    assert body is None
    assert received == b"".join(SOUND)
    assert headers["x-response-seal"] == "s"


def call(fleet):
    """Return status, headers, body (None if broken) and all events received."""
    sock = fleet.send_request("/engine/", headers=PROMPT)
    data = b""
    try:
        while chunk := sock.recv(65536):
            data += chunk
            if data.endswith(STREAM_END):
                break
    finally:
        sock.close()
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    received, is_whole = b"", False
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size, 16)
        is_whole = not length
        received += rest[:length]
        rest = rest[length + 2 :]
    status = int(lines[0].split(" ")[1])
    return status, headers, received if is_whole else None, received


@pytest.mark.parametrize("failure", [refusal, error_answer, other_answer])
def test_a_resumption_that_fails_is_tried_at_another_engine(resumable_fleet, failure):
    fleet = resumable_fleet

    def resume(request, sock):
        if len(fleet.resumptions) == 1:
            sock.sendall(failure(request))
            return "close"
        sock.sendall(stream_head(request) + event(3) + STREAM_END)
        return None

    start(fleet, resume)
    status, _, body, _ = call(fleet)
    assert status == 200
    assert body == b"".join([*SOUND, b"id: 3\ndata: piece 3\n\n"])
    assert len(fleet.resumptions) == 2


@pytest.mark.parametrize(
    "last_id", [20, "a&b+#%", "a b", "9" * 30], ids=["gap", "signs", "blank", "long"]
)
def test_a_stream_whose_ids_do_not_count_events_is_resumed(fleet, last_id):
    def respond(request, sock):
        if "x-attempt-id" not in request["headers"]:
            sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return None
        if is_resumption(request):
            assert request["headers"]["last-event-id"] == str(last_id)
            sock.sendall(stream_head(request) + event(30) + STREAM_END)
            return None
        sock.sendall(stream_head(request) + event(10) + event(last_id))
        gevent.sleep(0.02)
        return "close"

    for number in range(2):
        fleet.add_server("engine", f"e{number}", respond)
    fleet.start()
    _, _, body, _ = call(fleet)
    assert body and body.endswith(b"piece 30\n\n")


@pytest.mark.parametrize(
    "first", [ERROR_HEAD, b'{"error": "exploded"}\n\n', b"data without a colon\n\n"]
)
def test_bytes_that_are_no_event_do_not_begin_a_stream(fleet, first):
    def respond(request, sock):
        if "x-attempt-id" not in request["headers"]:
            return "close"
        sock.sendall(unframed_head(request) + first)
        return "close"

    fleet.add_server("engine", "e0", respond)
    fleet.start()
    status, _, body, received = call(fleet)
    assert status in (502, 504)
    assert b"exploded" not in received


def test_comments_and_version_lines_are_events(fleet):
    events = (
        b": kept alive\n\n",
        b"x-weight-versions: 3\nid: 1\ndata: one\n\n",
        b"id: 2\r\ndata: two\r\ndata\r\n\r\n",
    )

    def respond(request, sock):
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(data), data) for data in events)
        sock.sendall(stream_head(request) + chunks + STREAM_END)

    fleet.add_server("engine", "e0", respond)
    fleet.start()
    assert call(fleet)[2] == b"".join(events)


@pytest.mark.parametrize(("silence_s", "is_moved"), [(1.0, False), (3.0, True)])
def test_a_stream_is_moved_off_an_engine_only_after_a_long_silence(
    resumable_fleet, silence_s, is_moved
):
    fleet = resumable_fleet

    def respond(request, sock):
        if is_resumption(request):
            fleet.resumptions.append(request)
            sock.sendall(stream_head(request) + event(2) + STREAM_END)
            return
        sock.sendall(stream_head(request) + event(1))
        gevent.sleep(silence_s)
        sock.sendall(event(2) + STREAM_END)
        return

    fleet.resumptions = []
    for number in range(2):
        fleet.add_server("engine", f"e{number}", respond)
    fleet.start()
    protector = fleet.host.components.protector
    protector._deps = protector._deps._replace(
        can_connect=lambda _address: False, refuses_connections=lambda _address: False
    )
    assert call(fleet)[0] == 200
    assert bool(fleet.resumptions) == is_moved
    assert bool(fleet.events_named("engine_unreachable")) == is_moved
    assert not fleet.events_named("part_evidence")


# Guards against a time-out of the path that is counted as a failure of the engine.
def test_a_connect_timeout_of_a_resumption_is_recorded_as_one(
    resumable_fleet, monkeypatch
):
    open_connection = Exchange._open_connection

    def time_out(exchange):
        if exchange._request.target == "/engine/":
            raise TimeoutError
        return open_connection(exchange)

    def break_stream(request, sock):
        if "x-attempt-id" not in request["headers"]:
            sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return None
        sock.sendall(stream_head(request) + event(1))
        gevent.sleep(0.02)
        monkeypatch.setattr(Exchange, "_open_connection", time_out)
        return "close"

    for number in range(3):
        resumable_fleet.add_server("engine", f"e{number}", break_stream)
    resumable_fleet.start()
    placer = resumable_fleet.host.components.placer
    servers = []
    monkeypatch.setattr(placer, "record_connect_timeout", servers.append)
    resumable_fleet.call("/engine/", headers=PROMPT)
    assert servers
