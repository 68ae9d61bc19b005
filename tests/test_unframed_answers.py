"""Answers with neither a length nor chunks, which end with their connection."""

import json
import socket
import struct

import pytest

from edge_fleet import EdgeFleet
from fake_platform import publication
from fake_platform import SEAL_HEADER
from fake_platform import unframed_head
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.model import BackendServer
from gypsumfield.held_memory import HeldMemory
from gypsumfield.platform.engines import EngineClient
from gypsumfield.platform.store import StoreClient

PROMPT = "X-Token-Counts: 1000,8\r\nX-Length-Hint: 8\r\nX-Model: m\r\n"
EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
RESET = struct.pack("ii", 1, 0)


@pytest.fixture
def fleet():
    edge_fleet = EdgeFleet({"plain": "idempotent", "engine": "streaming"})
    edge_fleet.publish()
    yield edge_fleet
    edge_fleet.stop()


def close_after(fleet, body, is_reset=False):
    """Return a responder that sends an unframed answer and ends its connection."""

    def respond(request, sock):
        if "x-attempt-id" not in request["headers"]:
            fleet.answer_own_call("s1", sock)
            return None
        sock.sendall(unframed_head(request) + body)
        if is_reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return "close"

    return respond


def call_one_server(fleet, service, respond):
    fleet.add_server(service, "s1", respond)
    fleet.start()
    return fleet.call(f"/{service}/", headers=PROMPT)


def test_a_stream_without_length_and_chunks_is_complete(fleet):
    answer = call_one_server(fleet, "engine", close_after(fleet, EVENTS))
    assert (answer[0], answer[2]) == (200, EVENTS)


@pytest.mark.parametrize("cut", [3, 16, 20, len(EVENTS) - 1])
def test_a_stream_that_ends_inside_an_event_is_not_complete(fleet, cut):
    status, _, body = call_one_server(fleet, "engine", close_after(fleet, EVENTS[:cut]))
    assert status == 502 or body is None


def test_a_stream_that_ends_before_its_first_event_is_not_complete(fleet):
    status, _, body = call_one_server(fleet, "engine", close_after(fleet, b""))
    assert status == 502 or body is None


def test_a_stream_that_is_reset_between_events_is_not_complete(fleet):
    status, _, body = call_one_server(fleet, "engine", close_after(fleet, EVENTS, True))
    assert status == 502 or body is None


def test_a_stream_whose_engine_ends_between_events_is_not_complete(fleet):
    def crash(request, sock):
        if "x-attempt-id" not in request["headers"]:
            return "close"
        sock.sendall(unframed_head(request) + EVENTS)
        fleet.servers["s1"].crash()
        return "close"

    status, _, body = call_one_server(fleet, "engine", crash)
    assert status == 502 or body is None


def test_chunks_that_end_inside_an_event_are_not_a_complete_stream(fleet):
    def respond(request, sock):
        if "x-attempt-id" not in request["headers"]:
            return "close"
        request_id = request["headers"]["x-attempt-id"]
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n{SEAL_HEADER}"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        body = EVENTS[:20]
        sock.sendall(head.encode() + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))
        return None

    status, _, body = call_one_server(fleet, "engine", respond)
    assert status == 502 or body is None


@pytest.mark.parametrize(("is_reset", "status"), [(False, 200), (True, 502)])
def test_a_plain_answer_is_complete_unless_it_is_reset(fleet, is_reset, status):
    answer = call_one_server(fleet, "plain", close_after(fleet, b"done", is_reset))
    assert answer[0] == status


# Guards against a cut answer that looks whole because its server is back under its id.
@pytest.mark.parametrize("is_in_health_check", [True, False])
def test_a_plain_answer_is_not_complete_if_another_start_answers(
    fleet, is_in_health_check
):
    document = publication(fleet.services, version=2)
    for service in document["services"]:
        service["health_path"] = "/healthz"
    fleet.store.put("op/config", document)

    def respond(request, sock):
        if "x-attempt-id" in request["headers"]:
            sock.sendall(unframed_head(request) + b"half of it")
            return "close"
        if request["target"] == "/healthz" and not is_in_health_check:
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nX-Instance-Id: s1\r\nContent-Length: 0\r\n\r\n"
            )
            return None
        # The store still has the start before this one.
        fleet.answer_own_call("s1", sock, born=1_000_000)
        return None

    status, _, _ = call_one_server(fleet, "plain", respond)
    assert status == 502


def engine_client():
    return EngineClient(
        lambda *_arguments: None, lambda _server: True, HeldMemory(1_000_000)
    )


def engine_record(server):
    return BackendServer("s1", "engine", server.address, "z1", 8, False, 0.0, 1, 1)


def json_responder(document, cut=None):
    body = json.dumps(document).encode()[:cut]

    def respond(request, sock):
        sock.sendall(unframed_head(request) + body)
        return "close"

    return respond


def test_a_report_without_a_length_is_read(fleet):
    report = {"state": "ready", "queued": 3, "kv_used": 70}
    server = fleet.add_server("engine", "s1", json_responder(report))
    state = engine_client().read_state(engine_record(server))
    assert (state.waiting_count, state.used_tokens) == (3, 70)


def test_a_report_without_a_length_that_is_cut_is_an_error(fleet):
    server = fleet.add_server("engine", "s1", json_responder({"queued": 3}, 7))
    with pytest.raises(BackendError):
        engine_client().read_state(engine_record(server))


def test_a_copy_is_complete_only_with_a_whole_answer(fleet):
    move = {"handle": "h1", "created": 4}
    whole = fleet.add_server("engine", "s1", json_responder(move))
    cut = fleet.add_server("engine", "s2", json_responder(move, 20))
    client = engine_client()
    result = client.copy_run(engine_record(whole), "a1", "10.0.0.1:80", 500.0)
    assert (result.is_complete, result.copy_name) == (True, "h1")
    result = client.copy_run(engine_record(cut), "a1", "10.0.0.1:80", 500.0)
    assert not result.is_complete


def test_a_listing_without_a_length_is_read(fleet):
    item = {"key": "k", "value": "YQ==", "revision": 4}
    page = {"entries": [item], "at": 9}
    server = fleet.add_server("engine", "s1", json_responder(page))
    listing = StoreClient(server.address).list_items("")
    assert (listing.revision, listing.items[0].value) == (9, b"a")
