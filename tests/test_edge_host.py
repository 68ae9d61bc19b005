"""Calls and streams through one edge host, with fakes of store and backend servers."""

import contextlib
import json

import gevent
import pytest

from edge_fleet import EdgeFleet
from edge_fleet import read_answer
from fake_platform import complete_answer
from fake_platform import event
from fake_platform import no_such_run
from fake_platform import publication
from fake_platform import refused_answer
from fake_platform import registration
from fake_platform import STREAM_END
from fake_platform import stream_head
from fake_platform import wait_until
from gypsumfield.clock import system_clock
from gypsumfield.decisions.fleet_shares import MIN_PART_COUNT
from gypsumfield.gateway.settings import EdgeBounds

PROMPT = "X-Token-Counts: 1000,800\r\nX-Length-Hint: 800\r\nX-Model: m\r\n"


@pytest.fixture
def fleet():
    edge_fleet = EdgeFleet(
        {"plain": "idempotent", "once": "non_idempotent", "engine": "streaming"}
    )
    edge_fleet.publish()
    yield edge_fleet
    edge_fleet.stop()


def answer_with(data):
    return lambda request, sock: sock.sendall(data(request) if callable(data) else data)


def test_a_plain_call_is_forwarded_unchanged_but_for_the_key(fleet):
    server = fleet.add_server("plain", "s1", answer_with(complete_answer))
    fleet.start()
    status, headers, body = fleet.call(
        "/plain/a%2Fb?x=1",
        method="PUT",
        body=b"abc",
        headers="X-Tenant: other\r\nX-Hold: h\r\nX-Own: 7\r\n",
    )
    assert (status, body, headers["x-response-seal"]) == (200, b"done", "s")
    (received,) = server.requests
    assert (received["method"], received["target"], received["body"]) == (
        "PUT",
        "/plain/a%2Fb?x=1",
        b"abc",
    )
    assert received["headers"]["x-tenant"] == "account-a"
    assert received["headers"]["x-expect-instance"] == "s1"
    assert received["headers"]["x-own"] == "7"
    assert "authorization" not in received["headers"]
    assert "x-hold" not in received["headers"]
    assert 0 < int(received["headers"]["x-deadline-ms"]) <= 3000


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/nowhere/", "key-a", 404), ("/plain/", "key-b", 401), ("/plainly/", "", 404)],
)
def test_calls_with_an_unknown_route_or_key_reach_no_server(fleet, path, key, status):
    server = fleet.add_server("plain", "s1", answer_with(complete_answer))
    fleet.start()
    assert fleet.call(path, key=key)[0] == status
    assert server.requests == []


def test_a_withdrawn_key_is_refused_on_an_open_connection(fleet):
    server = fleet.add_server("plain", "s1", answer_with(complete_answer))
    fleet.start()
    assert fleet.call("/plain/")[0] == 200
    fleet.publish(version=2, keys=("key-c",))
    wait_until(lambda: fleet.host.components.catalogue.publication.version == 2)
    assert fleet.call("/plain/")[0] == 401
    assert len(server.requests) == 1


def test_an_older_version_never_replaces_a_newer_one(fleet):
    fleet.add_server("plain", "s1", answer_with(complete_answer))
    fleet.publish(version=5)
    fleet.start()
    fleet.publish(version=4, keys=())
    wait_until(lambda: fleet.events_named("publication_rejected"))
    assert fleet.call("/plain/")[0] == 200


def test_an_invalid_configuration_leaves_the_last_valid_one_in_force(fleet):
    fleet.add_server("plain", "s1", answer_with(complete_answer))
    fleet.start()
    fleet.store.put("op/config", b"{nonsense")
    wait_until(lambda: fleet.events_named("publication_rejected"))
    assert fleet.call("/plain/")[0] == 200


def test_an_idempotent_call_is_retried_after_a_truncated_answer(fleet):
    def truncate_answer(request, sock):
        sock.sendall(complete_answer(request, b"x" * 50)[:-20])
        return "close"

    first = fleet.add_server("plain", "s1", truncate_answer)
    second = fleet.add_server("plain", "s2", truncate_answer)
    fleet.start()
    assert fleet.call("/plain/")[0] == 502
    assert len(first.requests) + len(second.requests) == 2


def test_a_non_idempotent_call_is_not_retried_after_a_broken_answer(fleet):
    servers = [
        fleet.add_server("once", server_id, lambda request, sock: "close")
        for server_id in ("s1", "s2")
    ]
    fleet.start()
    assert fleet.call("/once/")[0] == 502
    assert sum(len(server.requests) for server in servers) == 1


def test_a_call_that_a_server_refused_is_sent_to_another(fleet):
    refusing = fleet.add_server("once", "s1", answer_with(refused_answer()))
    fleet.add_server("once", "s2", answer_with(complete_answer))
    fleet.start()
    # As many as the host's share of the retries allows, if each is refused first.
    calls = int(EdgeBounds().retry_extra // MIN_PART_COUNT)
    for number in range(calls):
        assert fleet.call("/once/", attempt=f"a{number}")[0] == 200
    assert len(refusing.requests) <= calls


def test_a_refusal_by_all_servers_states_when_to_retry(fleet):
    fleet.add_server("once", "s1", answer_with(refused_answer()))
    fleet.start()
    status, headers, _ = fleet.call("/once/")
    assert status == 503
    assert float(headers["retry-after"]) > 0


def test_an_answer_to_another_request_is_not_forwarded(fleet):
    def answer_another_request(request, sock):
        request["headers"]["x-attempt-id"] = "other"
        sock.sendall(complete_answer(request))

    fleet.add_server("once", "s1", answer_another_request)
    fleet.start()
    assert fleet.call("/once/")[0] == 502


def test_a_success_without_a_seal_is_not_forwarded(fleet):
    def answer_without_seal(request, sock):
        sock.sendall(complete_answer(request).replace(b"X-Response-Seal: s\r\n", b""))

    fleet.add_server("once", "s1", answer_without_seal)
    fleet.start()
    assert fleet.call("/once/")[0] == 502


def test_an_answer_that_ends_with_its_connection_is_complete(fleet):
    def answer_without_length(request, sock):
        if "x-attempt-id" not in request["headers"]:
            fleet.answer_own_call("s1", sock)
            return "close"
        sock.sendall(complete_answer(request).replace(b"Content-Length: 4\r\n", b""))
        return "close"

    fleet.add_server("once", "s1", answer_without_length)
    fleet.start()
    status, _, body = fleet.call("/once/")
    assert (status, body) == (200, b"done")


def test_a_second_answer_on_a_connection_reaches_no_caller(fleet):
    fleet.add_server(
        "plain",
        "s1",
        answer_with(
            lambda request: complete_answer(request) + complete_answer(request)
        ),
    )
    fleet.start()
    for number in range(4):
        status, headers, body = fleet.call("/plain/", attempt=f"b{number}")
        assert (status, body, headers["x-attempt-id"]) == (200, b"done", f"b{number}")


def test_an_evacuated_zone_and_a_leaving_server_get_no_requests(fleet):
    server = fleet.add_server("plain", "s1", answer_with(complete_answer))
    fleet.start()
    fleet.store.put("op/evacuate/z1", {})
    wait_until(lambda: fleet.host.components.catalogue.evacuated_zones)
    assert fleet.call("/plain/")[0] == 503
    fleet.store.delete("op/evacuate/z1")
    wait_until(lambda: not fleet.host.components.catalogue.evacuated_zones)
    assert fleet.call("/plain/")[0] == 200
    fleet.store.put("servers/s1", registration("plain", server, state="draining"))
    wait_until(lambda: fleet.events_named("backend_seen")[-1].state == "leaving")
    assert fleet.call("/plain/")[0] == 503
    assert len(server.requests) == 1


def test_invalid_registrations_are_ignored_and_the_others_serve(fleet):
    fleet.add_server("plain", "s1", answer_with(complete_answer))
    fleet.store.put("servers/bad-1", b"\xff\x00")
    fleet.store.put("servers/bad-2", {"service": "plain", "address": 7})
    fleet.store.put("servers/bad-3", {"service": "plain", "state": "odd"})
    fleet.start()
    assert len(fleet.host.components.catalogue.servers_of("plain")) == 1
    assert fleet.call("/plain/")[0] == 200


def test_a_host_without_a_configuration_answers_503():
    fleet = EdgeFleet({"plain": "idempotent"})
    fleet.store.is_down = True
    try:
        with contextlib.suppress(AssertionError), gevent.Timeout(0.3, AssertionError):
            fleet.start()
        status, headers, _ = fleet.call("/plain/")
        assert status == 503
        assert "retry-after" in headers
    finally:
        fleet.stop()


def test_a_store_without_the_needed_history_is_listed_again(fleet):
    fleet.add_server("plain", "s1", answer_with(complete_answer))
    fleet.start()
    fleet.store.is_down = True
    fleet.store.drop_history()
    wait_until(lambda: fleet.events_named("platform_unreachable"))
    fleet.publish(version=9)
    fleet.store.oldest_revision = fleet.store.revision
    fleet.store.is_down = False
    wait_until(lambda: fleet.host.components.catalogue.publication.version == 9)


# Guards against a watch that waits for a lost answer while configurations change.
def test_a_configuration_comes_into_force_soon_after_answers_of_the_store_were_lost(
    fleet,
):
    # A machine is in touch 3 s after the store is sound, and has 2 s from then on.
    in_touch_s, apply_s = 3.0, 2.0
    fleet.start()
    store, components = fleet.store, fleet.host.components
    store.is_losing_answers = True
    fleet.publish(version=2)
    wait_until(lambda: store.lost_count)
    store.is_losing_answers = False
    gevent.sleep(in_touch_s)
    fleet.publish(version=3)
    wait_until(lambda: components.catalogue.publication.version == 3, apply_s)


def test_events_of_a_stream_are_forwarded_as_they_arrive(fleet):
    may_continue = gevent.event.Event()

    def stream(request, sock):
        sock.sendall(stream_head(request) + event(1))
        may_continue.wait(20)
        sock.sendall(event(2) + STREAM_END)

    fleet.add_server("engine", "e1", stream)
    fleet.start()
    with contextlib.closing(fleet.send_request("/engine/", headers=PROMPT)) as sock:
        first = b""
        while b"piece 1" not in first:
            first += sock.recv(4096)
        may_continue.set()
        rest = b""
        while not rest.endswith(STREAM_END):
            rest += sock.recv(4096)
    assert b"piece 2" in rest


def test_a_stream_whose_engine_crashes_is_resumed_at_its_copy(fleet):
    engines = {}

    def crash_in_stream(request, sock):
        if "x-attempt-id" not in request["headers"]:
            sock.sendall(no_such_run())
            return None
        if "kv-from" in request["headers"]:
            return respond_to_resume(request, sock)
        sock.sendall(stream_head(request) + event(1) + event(2) + event(3)[:-9])
        gevent.sleep(0.05)
        return "close"

    def respond_to_resume(request, sock):
        assert request["headers"]["last-event-id"] == "2"
        sock.sendall(stream_head(request) + event(3) + event(4) + STREAM_END)
        return

    for server_id in ("e1", "e2"):
        engines[server_id] = fleet.add_server("engine", server_id, crash_in_stream)
    fleet.answers_reports = True
    fleet.start()
    status, _, body = fleet.call("/engine/", headers=PROMPT, attempt="run-7")
    assert status == 200
    assert [line for line in body.splitlines() if line.startswith(b"id")] == [
        b"id: 1",
        b"id: 2",
        b"id: 3",
        b"id: 4",
    ]
    resumed = [
        (server_id, request)
        for server_id, server in engines.items()
        for request in server.requests
        if "kv-from" in request["headers"]
    ]
    ((holder, request),) = resumed
    assert request["headers"]["kv-from"] == f"{engines[holder].address}/run-7"
    assert request["headers"]["x-attempt-id"] == "run-7"


def test_a_stream_that_has_run_is_not_refused_as_not_run(fleet):
    def crash(_request, _sock):
        return "close"

    fleet.add_server("engine", "e1", crash)
    fleet.start()
    document = publication(fleet.services, version=2)
    engine_route = next(r for r in document["routes"] if r["service"] == "engine")
    engine_route |= {"stream_resume": True, "max_attempts": 2}
    fleet.store.put("op/config", document)
    wait_until(lambda: fleet.host.components.catalogue.publication.version == 2)
    status, _, body = fleet.call("/engine/", headers=PROMPT)
    assert status in (502, 504)
    assert b"may-have-run" in body


def test_a_stream_that_cannot_be_resumed_does_not_look_complete(fleet):
    def crash_in_stream(request, sock):
        sock.sendall(stream_head(request) + event(1))
        return "close"

    fleet.add_server("engine", "e1", crash_in_stream)
    fleet.start()
    status, _, body = fleet.call("/engine/", headers=PROMPT)
    assert (status, body) == (200, None)
    assert fleet.events_named("request_failed")


def test_a_run_on_a_leaving_engine_is_copied_and_resumed_elsewhere(fleet):
    may_leave = gevent.event.Event()

    def respond(request, sock):
        if "kv-move" in request["target"]:
            body = b'{"handle": "m1", "created": 1}'
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode() + body)
        elif "kv-from" in request["headers"]:
            sock.sendall(stream_head(request) + event(2) + STREAM_END)
        else:
            sock.sendall(stream_head(request) + event(1))
            may_leave.wait(20)
            return "close"
        return None

    first = fleet.add_server("engine", "e1", respond)
    fleet.answers_reports = True
    fleet.start()
    with contextlib.closing(fleet.send_request("/engine/", headers=PROMPT)) as sock:
        wait_until(lambda: fleet.events_named("first_token"))
        second = fleet.add_server("engine", "e2", respond)
        wait_until(lambda: fleet.has_servers(2))
        # An engine that leaves does not start again.
        registered = json.loads(fleet.store_value("servers/e1"))
        fleet.store.put("servers/e1", {**registered, "state": "draining"})
        wait_until(
            lambda: any(
                not copied.reason for copied in fleet.events_named("run_copied")
            )
        )
        wait_until(lambda: fleet.host.components.protector.is_idle)
        may_leave.set()
        status, _, body = read_answer(sock)
    assert status == 200
    assert b"piece 1" in body and b"piece 2" in body
    (request,) = [
        received for received in second.requests if "kv-from" in received["headers"]
    ]
    assert request["headers"]["kv-from"] == f"{first.address}/m1"


def test_a_stream_is_cancelled_at_its_engine_when_the_caller_leaves(fleet):
    caller_is_gone = gevent.event.Event()

    def never_end(request, sock):
        sock.sendall(stream_head(request) + event(1))
        if not sock.recv(1):
            caller_is_gone.set()
        return "close"

    fleet.add_server("engine", "e1", never_end)
    fleet.start()
    sock = fleet.send_request("/engine/", headers=PROMPT)
    while b"piece 1" not in sock.recv(4096):
        pass
    sock.close()
    assert caller_is_gone.wait(20)


def test_a_waiting_call_is_cancelled_at_its_server_when_the_caller_leaves(fleet):
    caller_is_gone = gevent.event.Event()

    def never_answer(_request, sock):
        if not sock.recv(1):
            caller_is_gone.set()
        return "close"

    server = fleet.add_server("once", "s1", never_answer)
    fleet.start()
    sock = fleet.send_request("/once/")
    wait_until(lambda: server.requests)
    sock.close()
    assert caller_is_gone.wait(20)


def test_a_call_without_an_answer_ends_at_its_time_limit(fleet):
    fleet.add_server("once", "s1", lambda _request, sock: sock.recv(1) and None)
    fleet.start()
    status, _, _ = fleet.call("/once/", limit_ms=300)
    assert status == 504


@pytest.mark.parametrize(
    "head",
    [
        "GET /plain/ HTTP/1.1\nHost: h.example\r\n\r\n",
        "GET /plain/ HTTP/1.1\r\nHost: h.example\nX-A: 1\r\n\r\n",
        "GET /plain/ HTTP/1.1\r\nHost: h.example\r\n folded: 1\r\n\r\n",
        "POST /plain/ HTTP/1.1\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\nabc",
        "POST /plain/ HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "POST /plain/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-a\r\n"
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "POST /plain/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-a\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
    ],
)
def test_ambiguous_requests_are_refused_and_their_connections_closed(fleet, head):
    server = fleet.add_server("plain", "s1", answer_with(complete_answer))
    fleet.start()
    with contextlib.closing(fleet.connect()) as sock:
        sock.sendall(head.encode())
        assert read_answer(sock)[0] == 400
        assert sock.recv(1) == b""
    assert server.requests == []


def test_oversized_bodies_and_heads_are_refused(fleet):
    server = fleet.add_server("plain", "s1", answer_with(complete_answer))
    fleet.start()
    assert fleet.call("/plain/", body=b"x" * 100_001)[0] == 413
    assert fleet.call("/plain/", headers="X-A: " + "x" * 20_000 + "\r\n")[0] == 431
    assert server.requests == []


def test_a_draining_host_refuses_long_streams_and_serves_short_calls(fleet):
    fleet.add_server("plain", "s1", answer_with(complete_answer))
    engine = fleet.add_server("engine", "e1", answer_with(refused_answer()))
    fleet.start()
    request_tracker = fleet.host.components.request_tracker
    request_tracker.begin_drain(system_clock().monotonic_ms() - 4_000)
    status, headers, _ = fleet.call("/engine/", headers=PROMPT)
    assert (status, headers["connection"]) == (503, "close")
    assert engine.requests == []
    status, headers, _ = fleet.call("/plain/")
    assert (status, headers["connection"]) == (200, "close")


def test_a_server_that_announces_to_leave_gets_no_further_call(fleet):
    def leave(request, sock):
        sock.sendall(complete_answer(request, extra="Server-Leaving: 1\r\n"))

    fleet.add_server("plain", "l1", leave)
    fleet.publish()
    fleet.start()
    assert fleet.call("/plain/a", attempt="a1")[0] == 200
    # The store still has the server as ready.
    server = fleet.servers["l1"]
    value = registration("plain", server)
    born = fleet.host.components.catalogue.find_server("l1").server.started_wall_ms
    fleet.store.put("servers/l1", {**value, "born": born})
    status, headers, _ = fleet.call("/plain/a", attempt="a2")
    assert status == 503
    assert float(headers["retry-after"]) > 0.0
    assert len(server.calls("/plain/")) == 1


def test_full_servers_get_no_requests_before_their_retry_after(fleet):
    def refuse(request, sock):
        sock.sendall(
            refused_answer().replace(b"\r\n\r\n", b"\r\nRetry-After: 7\r\n\r\n")
        )

    for server_id in ("l1", "l2"):
        fleet.add_server("plain", server_id, refuse)
    fleet.publish()
    fleet.start()
    answers = [fleet.call("/plain/a", attempt=f"a{number}") for number in range(4)]
    assert [status for status, _, _ in answers] == [503] * 4
    request_counts = [
        len(fleet.servers[name].calls("/plain/")) for name in ("l1", "l2")
    ]
    assert request_counts == [1, 1]
    assert 5.0 < float(answers[-1][1]["retry-after"]) <= 7.0


def test_a_stopping_host_refuses_what_could_be_cut_off_at_its_end(fleet):
    server = fleet.add_server(
        "once", "s1", lambda request, sock: sock.sendall(complete_answer(request))
    )
    fleet.start()
    tracker = fleet.host.components.request_tracker
    tracker.begin_drain(system_clock().monotonic_ms() - 5_500.0)
    status, headers, body = fleet.call("/once/", limit_ms=3_000)
    assert status == 503
    assert headers["connection"] == "close"
    assert b"not-run" in body
    assert not server.requests
    assert fleet.call("/once/", limit_ms=1_000)[0] == 200
