"""Whole calls through one edge host, before stand-ins of the platform."""

import contextlib

import gevent
import pytest

from edge_fleet import EdgeFleet
from edge_fleet import read_answer
from fake_platform import event
from fake_platform import refusal
from fake_platform import registration
from fake_platform import STREAM_END
from fake_platform import stream_head
from fake_platform import wait_until
from fake_platform import whole
from gypsumfield.clock import system_clock
from gypsumfield.decisions.fleet_shares import MIN_PART_COUNT
from gypsumfield.gateway.settings import EdgeBounds

PROMPT = "X-Token-Counts: 1000,800\r\nX-Length-Hint: 800\r\nX-Model: m\r\n"


@pytest.fixture
def fleet():
    made = EdgeFleet(
        {"plain": "idempotent", "once": "non_idempotent", "engine": "streaming"}
    )
    made.publish()
    yield made
    made.stop()


def answer_with(data):
    return lambda request, sock: sock.sendall(data(request) if callable(data) else data)


def test_a_plain_call_passes_unchanged_and_hides_the_key(fleet):
    runner = fleet.add_runner("plain", "s1", answer_with(whole))
    fleet.start()
    status, headers, body = fleet.call(
        "/plain/a%2Fb?x=1",
        method="PUT",
        body=b"abc",
        headers="X-Tenant: other\r\nX-Hold: h\r\nX-Own: 7\r\n",
    )
    assert (status, body, headers["x-response-seal"]) == (200, b"done", "s")
    (seen,) = runner.requests
    assert (seen["method"], seen["target"], seen["body"]) == (
        "PUT",
        "/plain/a%2Fb?x=1",
        b"abc",
    )
    assert seen["headers"]["x-tenant"] == "account-a"
    assert seen["headers"]["x-expect-instance"] == "s1"
    assert seen["headers"]["x-own"] == "7"
    assert "authorization" not in seen["headers"]
    assert "x-hold" not in seen["headers"]
    assert 0 < int(seen["headers"]["x-deadline-ms"]) <= 3000


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/nowhere/", "key-a", 404), ("/plain/", "key-b", 401), ("/plainly/", "", 404)],
)
def test_unknown_routes_and_keys_run_nothing(fleet, path, key, status):
    runner = fleet.add_runner("plain", "s1", answer_with(whole))
    fleet.start()
    assert fleet.call(path, key=key)[0] == status
    assert runner.requests == []


def test_a_withdrawn_key_stops_on_an_open_connection(fleet):
    runner = fleet.add_runner("plain", "s1", answer_with(whole))
    fleet.start()
    assert fleet.call("/plain/")[0] == 200
    fleet.publish(version=2, keys=("key-c",))
    wait_until(lambda: fleet.host.components.catalogue.publication.version == 2)
    assert fleet.call("/plain/")[0] == 401
    assert len(runner.requests) == 1


def test_an_older_version_never_replaces_a_newer_one(fleet):
    fleet.add_runner("plain", "s1", answer_with(whole))
    fleet.publish(version=5)
    fleet.start()
    fleet.publish(version=4, keys=())
    wait_until(lambda: fleet.events_named("publication_rejected"))
    assert fleet.call("/plain/")[0] == 200


def test_a_damaged_configuration_leaves_the_last_good_one(fleet):
    fleet.add_runner("plain", "s1", answer_with(whole))
    fleet.start()
    fleet.store.put("op/config", b"{nonsense")
    wait_until(lambda: fleet.events_named("publication_rejected"))
    assert fleet.call("/plain/")[0] == 200


def test_an_idempotent_call_is_repeated_after_a_broken_answer(fleet):
    def cut(request, sock):
        sock.sendall(whole(request, b"x" * 50)[:-20])
        return "close"

    first = fleet.add_runner("plain", "s1", cut)
    second = fleet.add_runner("plain", "s2", cut)
    fleet.start()
    assert fleet.call("/plain/")[0] == 502
    assert len(first.requests) + len(second.requests) == 2


def test_a_call_that_must_run_once_is_sent_once_after_a_broken_answer(fleet):
    runners = [
        fleet.add_runner("once", server_id, lambda request, sock: "close")
        for server_id in ("s1", "s2")
    ]
    fleet.start()
    assert fleet.call("/once/")[0] == 502
    assert sum(len(runner.requests) for runner in runners) == 1


def test_a_call_that_a_server_did_not_run_goes_to_another(fleet):
    refusing = fleet.add_runner("once", "s1", answer_with(refusal()))
    fleet.add_runner("once", "s2", answer_with(whole))
    fleet.start()
    # As many as the host's share of the repeats allows, were each refused first.
    calls = int(EdgeBounds().retry_extra // MIN_PART_COUNT)
    for number in range(calls):
        assert fleet.call("/once/", attempt=f"a{number}")[0] == 200
    assert len(refusing.requests) <= calls


def test_a_refusal_by_all_servers_says_when_to_come_back(fleet):
    fleet.add_runner("once", "s1", answer_with(refusal()))
    fleet.start()
    status, headers, _ = fleet.call("/once/")
    assert status == 503
    assert float(headers["retry-after"]) > 0


def test_an_answer_to_another_request_is_never_passed_on(fleet):
    def crossed(request, sock):
        request["headers"]["x-attempt-id"] = "other"
        sock.sendall(whole(request))

    fleet.add_runner("once", "s1", crossed)
    fleet.start()
    assert fleet.call("/once/")[0] == 502


def test_a_success_without_a_seal_is_never_passed_on(fleet):
    def unsealed(request, sock):
        sock.sendall(whole(request).replace(b"X-Response-Seal: s\r\n", b""))

    fleet.add_runner("once", "s1", unsealed)
    fleet.start()
    assert fleet.call("/once/")[0] == 502


def test_an_answer_that_ends_with_its_connection_is_whole(fleet):
    def unframed(request, sock):
        sock.sendall(whole(request).replace(b"Content-Length: 4\r\n", b""))
        return "close"

    fleet.add_runner("once", "s1", unframed)
    fleet.start()
    status, _, body = fleet.call("/once/")
    assert (status, body) == (200, b"done")


def test_a_second_answer_behind_the_first_reaches_nobody(fleet):
    fleet.add_runner(
        "plain", "s1", answer_with(lambda request: whole(request) + whole(request))
    )
    fleet.start()
    for number in range(4):
        status, headers, body = fleet.call("/plain/", attempt=f"b{number}")
        assert (status, body, headers["x-attempt-id"]) == (200, b"done", f"b{number}")


def test_an_evacuated_zone_and_a_leaving_server_get_nothing(fleet):
    runner = fleet.add_runner("plain", "s1", answer_with(whole))
    fleet.start()
    fleet.store.put("op/evacuate/z1", {})
    wait_until(lambda: fleet.host.components.catalogue.evacuated_zones)
    assert fleet.call("/plain/")[0] == 503
    fleet.store.delete("op/evacuate/z1")
    wait_until(lambda: not fleet.host.components.catalogue.evacuated_zones)
    assert fleet.call("/plain/")[0] == 200
    fleet.store.put("servers/s1", registration("plain", runner, state="draining"))
    wait_until(lambda: fleet.events_named("backend_seen")[-1].state == "leaving")
    assert fleet.call("/plain/")[0] == 503
    assert len(runner.requests) == 1


def test_foreign_registrations_name_no_server_and_the_others_hold(fleet):
    fleet.add_runner("plain", "s1", answer_with(whole))
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


def test_history_that_is_gone_is_listed_anew(fleet):
    fleet.add_runner("plain", "s1", answer_with(whole))
    fleet.start()
    fleet.store.is_down = True
    fleet.store.drop_history()
    wait_until(lambda: fleet.events_named("platform_unreachable"))
    fleet.publish(version=9)
    fleet.store.oldest = fleet.store.revision
    fleet.store.is_down = False
    wait_until(lambda: fleet.host.components.catalogue.publication.version == 9)


def test_a_stream_is_relayed_as_it_comes(fleet):
    go_on = gevent.event.Event()

    def stream(request, sock):
        sock.sendall(stream_head(request) + event(1))
        go_on.wait(20)
        sock.sendall(event(2) + STREAM_END)

    fleet.add_runner("engine", "e1", stream)
    fleet.start()
    with contextlib.closing(fleet.ask("/engine/", headers=PROMPT)) as sock:
        first = b""
        while b"piece 1" not in first:
            first += sock.recv(4096)
        go_on.set()
        rest = b""
        while not rest.endswith(STREAM_END):
            rest += sock.recv(4096)
    assert b"piece 2" in rest


def test_a_stream_whose_engine_dies_goes_on_at_its_copy(fleet):
    engines = {}

    def dying(request, sock):
        if "kv-from" in request["headers"]:
            return going_on(request, sock)
        sock.sendall(stream_head(request) + event(1) + event(2) + event(3)[:-9])
        gevent.sleep(0.05)
        return "close"

    def going_on(request, sock):
        assert request["headers"]["last-event-id"] == "2"
        sock.sendall(stream_head(request) + event(3) + event(4) + STREAM_END)
        return

    for server_id in ("e1", "e2"):
        engines[server_id] = fleet.add_runner("engine", server_id, dying)
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
        for server_id, runner in engines.items()
        for request in runner.requests
        if "kv-from" in request["headers"]
    ]
    ((holder, request),) = resumed
    assert request["headers"]["kv-from"] == f"{engines[holder].address}/run-7"
    assert request["headers"]["x-attempt-id"] == "run-7"


def test_a_stream_that_cannot_go_on_does_not_look_complete(fleet):
    def dying(request, sock):
        sock.sendall(stream_head(request) + event(1))
        return "close"

    fleet.add_runner("engine", "e1", dying)
    fleet.start()
    status, _, body = fleet.call("/engine/", headers=PROMPT)
    assert (status, body) == (200, None)
    assert fleet.events_named("request_failed")


def test_a_run_on_a_leaving_engine_is_copied_and_goes_on_there(fleet):
    leave = gevent.event.Event()

    def respond(request, sock):
        if "kv-move" in request["target"]:
            body = b'{"handle": "m1", "created": 1}'
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode() + body)
        elif "kv-from" in request["headers"]:
            sock.sendall(stream_head(request) + event(2) + STREAM_END)
        else:
            sock.sendall(stream_head(request) + event(1))
            leave.wait(20)
            return "close"
        return None

    first = fleet.add_runner("engine", "e1", respond)
    fleet.start()
    with contextlib.closing(fleet.ask("/engine/", headers=PROMPT)) as sock:
        wait_until(lambda: fleet.events_named("first_token"))
        second = fleet.add_runner("engine", "e2", respond)
        wait_until(lambda: fleet.knows(2))
        leaving = registration("engine", first, state="draining")
        fleet.store.put("servers/e1", leaving)
        wait_until(lambda: any(not e.reason for e in fleet.events_named("run_copied")))
        wait_until(lambda: fleet.host.components.protector.is_idle)
        leave.set()
        status, _, body = read_answer(sock)
    assert status == 200
    assert b"piece 1" in body and b"piece 2" in body
    (request,) = [each for each in second.requests if "kv-from" in each["headers"]]
    assert request["headers"]["kv-from"] == f"{first.address}/m1"


def test_a_stream_ends_at_its_engine_when_the_caller_leaves(fleet):
    gone = gevent.event.Event()

    def endless(request, sock):
        sock.sendall(stream_head(request) + event(1))
        if not sock.recv(1):
            gone.set()
        return "close"

    fleet.add_runner("engine", "e1", endless)
    fleet.start()
    sock = fleet.ask("/engine/", headers=PROMPT)
    while b"piece 1" not in sock.recv(4096):
        pass
    sock.close()
    assert gone.wait(20)


def test_a_waiting_call_ends_at_its_server_when_the_caller_leaves(fleet):
    gone = gevent.event.Event()

    def silent(_request, sock):
        if not sock.recv(1):
            gone.set()
        return "close"

    runner = fleet.add_runner("once", "s1", silent)
    fleet.start()
    sock = fleet.ask("/once/")
    wait_until(lambda: runner.requests)
    sock.close()
    assert gone.wait(20)


def test_a_call_without_an_answer_ends_at_its_time_limit(fleet):
    fleet.add_runner("once", "s1", lambda _request, sock: sock.recv(1) and None)
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
def test_requests_that_could_be_read_in_two_ways_are_refused_and_closed(fleet, head):
    runner = fleet.add_runner("plain", "s1", answer_with(whole))
    fleet.start()
    with contextlib.closing(fleet.connect()) as sock:
        sock.sendall(head.encode())
        assert read_answer(sock)[0] == 400
        assert sock.recv(1) == b""
    assert runner.requests == []


def test_oversized_bodies_and_heads_are_refused(fleet):
    runner = fleet.add_runner("plain", "s1", answer_with(whole))
    fleet.start()
    assert fleet.call("/plain/", body=b"x" * 100_001)[0] == 413
    assert fleet.call("/plain/", headers="X-A: " + "x" * 20_000 + "\r\n")[0] == 431
    assert runner.requests == []


def test_a_draining_host_refuses_long_calls_late_and_serves_short_ones(fleet):
    fleet.add_runner("plain", "s1", answer_with(whole))
    engine = fleet.add_runner("engine", "e1", answer_with(refusal()))
    fleet.start()
    gate = fleet.host.components.gate
    gate.begin_drain(system_clock().monotonic_ms() - 4_000)
    status, headers, _ = fleet.call("/engine/", headers=PROMPT)
    assert (status, headers["connection"]) == (503, "close")
    assert engine.requests == []
    status, headers, _ = fleet.call("/plain/")
    assert (status, headers["connection"]) == (200, "close")


def test_a_server_that_says_it_leaves_gets_no_further_call(fleet):
    def leave(request, sock):
        sock.sendall(whole(request, extra="Server-Leaving: 1\r\n"))

    fleet.add_runner("plain", "l1", leave)
    fleet.publish()
    fleet.start()
    assert fleet.call("/plain/a", attempt="a1")[0] == 200
    # The store goes on calling it ready.
    runner = fleet.runners["l1"]
    value = registration("plain", runner)
    born = fleet.host.components.catalogue.find_server("l1").server.started_wall_ms
    fleet.store.put("servers/l1", {**value, "born": born})
    status, headers, _ = fleet.call("/plain/a", attempt="a2")
    assert status == 503
    assert float(headers["retry-after"]) > 0.0
    assert len(runner.calls("/plain/")) == 1


def test_servers_that_are_all_full_are_not_asked_again_within_their_time(fleet):
    def refuse(request, sock):
        sock.sendall(refusal().replace(b"\r\n\r\n", b"\r\nRetry-After: 7\r\n\r\n"))

    for server_id in ("l1", "l2"):
        fleet.add_runner("plain", server_id, refuse)
    fleet.publish()
    fleet.start()
    answers = [fleet.call("/plain/a", attempt=f"a{number}") for number in range(4)]
    assert [status for status, _, _ in answers] == [503] * 4
    asked = [len(fleet.runners[name].calls("/plain/")) for name in ("l1", "l2")]
    assert asked == [1, 1]
    assert 5.0 < float(answers[-1][1]["retry-after"]) <= 7.0
