"""Requests to servers that name a limit, through edge hosts with their own network."""

import contextlib
import functools
import itertools

import gevent
import pytest

from edge_fleet import EdgeFleet
from edge_fleet import read_answer
from edge_fleet import worker_ip
from fake_platform import complete_answer
from fake_platform import event
from fake_platform import limit_header
from fake_platform import no_such_run
from fake_platform import registration
from fake_platform import STREAM_END
from fake_platform import stream_head
from fake_platform import wait_until
from gypsumfield.clock import system_clock
from gypsumfield.gateway.composition import build_edge_host
from limit_audit import LimitAudit

LIMIT_PER_S = 2.0
CALL_INTERVAL_S = 0.125
RUN_S = 8.0
# Of two zones, each grants a permit every eight seconds.
LOW_LIMIT_PER_S = 0.25
PROMPT = "X-Token-Counts: 1000,800\r\nX-Length-Hint: 800\r\nX-Model: m\r\n"


class LimitedFleet(EdgeFleet):
    """Two hosts in z1, one in z2; `s1` in z1 names a limit, `s2` in z2 names none."""

    def __init__(self):
        super().__init__({"plain": "non_idempotent"})
        self.audit = LimitAudit(contact_ms=3_000.0)
        self.limit_per_s = LIMIT_PER_S
        self.hosts = {}
        self.statuses = []
        self.publish()
        self.add_server("plain", "s1", self.answer_with_limit)
        self.add_server("plain", "s2", self.answer, zone="z2")

    def start_hosts(self):
        for number, zone in enumerate(["z1", "z1", "z2"], 1):
            ip = worker_ip(number)
            seeds = [] if number == 1 else [worker_ip(1)]
            settings = self.host_settings(f"edge-{number}", ip, zone, seeds)
            host = build_edge_host(settings, system_clock(), self.events.append)
            host.start()
            self.hosts[f"edge-{number}"] = (settings, host)
        for _, host in self.hosts.values():
            wait_until(lambda host=host: host.components.peers.live_count == 3)
            wait_until(
                lambda host=host: (
                    len(host.components.catalogue.servers_of("plain")) == 2
                )
            )

    def answer_with_limit(self, request, sock):
        now_ms = system_clock().monotonic_ms()
        host_id = request["headers"]["x-attempt-id"].partition("/")[0]
        self.audit.record_arrival(now_ms, host_id, self.limit_per_s)
        sock.sendall(complete_answer(request, limit_per_s=self.limit_per_s))
        self.audit.record_told(now_ms, host_id)

    @staticmethod
    def answer(request, sock):
        sock.sendall(complete_answer(request))

    def call_regularly(self, host_id, duration_s):
        """Send calls to one host at a fixed interval and collect their statuses."""
        settings, _ = self.hosts[host_id]
        calls = []
        for number in range(int(duration_s / CALL_INTERVAL_S)):
            calls.append(gevent.spawn(self.call_host, settings, f"{host_id}/{number}"))
            gevent.sleep(CALL_INTERVAL_S)
        self.statuses += [call.get() for call in calls]

    def call_host(self, settings, attempt):
        self.settings = settings
        with contextlib.closing(self.send_request("/plain/", attempt=attempt)) as sock:
            return read_answer(sock)[0]

    def stop(self):
        for _, host in self.hosts.values():
            host.stop()
        super().stop()


@pytest.fixture
def single_host():
    kinds = {"plain": "idempotent", "once": "non_idempotent", "engine": "streaming"}
    edge_fleet = EdgeFleet(kinds)
    edge_fleet.publish()
    yield edge_fleet
    edge_fleet.stop()


def answer_stream(request, sock):
    sock.sendall(stream_head(request, LOW_LIMIT_PER_S) + event(1) + STREAM_END)


def answer_call(request, sock):
    sock.sendall(complete_answer(request, limit_per_s=LOW_LIMIT_PER_S))


@pytest.mark.parametrize("service", ["plain", "once", "engine"])
def test_calls_above_a_limit_are_refused_at_once_with_a_time_to_return(
    single_host, service
):
    answer = answer_stream if service == "engine" else answer_call
    server = single_host.add_server(service, "s1", answer)
    single_host.start()
    assert single_host.call(f"/{service}/", headers=PROMPT)[0] == 200
    calls = [
        gevent.spawn(
            single_host.call, f"/{service}/", attempt=f"a{number}", headers=PROMPT
        )
        for number in range(10)
    ]
    started_ms = system_clock().monotonic_ms()
    answers = [call.get() for call in calls]
    assert system_clock().monotonic_ms() - started_ms < 1_500.0
    assert {status for status, _, _ in answers} == {503}
    assert all(float(headers["retry-after"]) > 0.0 for _, headers, _ in answers)
    assert len(server.requests) == 1
    assert single_host.events_named("server_limit")
    assert single_host.events_named("permit_refused")


@pytest.mark.parametrize("service", ["plain", "once", "engine"])
def test_calls_above_a_limit_go_to_a_server_without_one(single_host, service):
    answer = answer_stream if service == "engine" else answer_call
    limited = single_host.add_server(service, "s1", answer)
    single_host.start()
    assert single_host.call(f"/{service}/", headers=PROMPT)[0] == 200

    def answer_without_limit(request, sock):
        if service == "engine":
            sock.sendall(stream_head(request) + event(1) + STREAM_END)
        else:
            sock.sendall(complete_answer(request))

    free = single_host.add_server(service, "s2", answer_without_limit)
    wait_until(lambda: single_host.has_servers(2))
    for number in range(5):
        answer = single_host.call(f"/{service}/", attempt=f"a{number}", headers=PROMPT)
        assert answer[0] == 200
    assert len(limited.requests) == 1
    # The host also asks engines without a limit for their start.
    assert len(free.calls(f"/{service}/")) == 5


@pytest.mark.parametrize("service", ["plain", "once", "engine"])
def test_calls_do_not_wait_for_a_permit_while_another_server_is_free(
    single_host, service
):
    # A zone grants a permit every 400 ms, and calls may wait for half a second.
    limit_per_s = 5.0

    def respond(request, sock):
        limit = limit_per_s if request["headers"]["x-expect-instance"] == "s1" else None
        if service == "engine":
            sock.sendall(stream_head(request, limit) + event(1) + STREAM_END)
        else:
            sock.sendall(complete_answer(request, limit_per_s=limit))

    single_host.add_server(service, "s1", respond)
    single_host.start()
    assert single_host.call(f"/{service}/", headers=PROMPT)[0] == 200
    single_host.add_server(service, "s2", respond)
    wait_until(lambda: single_host.has_servers(2))
    for number in range(6):
        started_ms = system_clock().monotonic_ms()
        answer = single_host.call(f"/{service}/", attempt=f"a{number}", headers=PROMPT)
        assert answer[0] == 200
        assert system_clock().monotonic_ms() - started_ms < 250.0


@pytest.fixture
def fleet():
    limited_fleet = LimitedFleet()
    limited_fleet.start_hosts()
    yield limited_fleet
    limited_fleet.stop()


def test_hosts_told_a_limit_do_not_exceed_it_together(fleet):
    senders = [
        gevent.spawn(fleet.call_regularly, host_id, RUN_S) for host_id in fleet.hosts
    ]
    gevent.joinall(senders, raise_error=True)
    assert fleet.audit.excess() <= 0.0
    assert set(fleet.statuses) == {200}


def test_polls_and_copies_of_a_stream_do_not_exceed_its_engines_limit(single_host):
    may_end = gevent.event.Event()

    def respond(request, sock):
        if request["target"].startswith("/-/"):
            body = b'{"state": "ready", "handle": "m1", "created": 1}'
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode() + body)
            return
        sock.sendall(stream_head(request, LOW_LIMIT_PER_S) + event(1))
        may_end.wait(20)
        sock.sendall(STREAM_END)

    limited = single_host.add_server("engine", "e1", respond)
    registered = registration("engine", limited)
    single_host.store.put("servers/e1", registered)
    single_host.start()
    with contextlib.closing(single_host.send_request("/engine/", headers=PROMPT)):
        wait_until(lambda: single_host.events_named("server_limit"))
        sent_before = len(limited.requests)
        gevent.sleep(1.2)
        single_host.add_server("engine", "e2", respond)
        wait_until(lambda: single_host.has_servers(2))
        single_host.store.put("servers/e1", {**registered, "state": "draining"})
        wait_until(lambda: single_host.events_named("engine_leaves"))
        gevent.sleep(0.5)
        assert len(limited.requests) == sent_before
        may_end.set()


def test_a_run_resumes_at_a_limited_engine_with_a_permit(single_host):
    arrivals_ms = {"e1": [], "e2": []}

    def respond(server_id, request, sock):
        arrivals_ms[server_id].append(system_clock().monotonic_ms())
        if request["target"] == "/-/report":
            limit = limit_header(4.0)
            single_host.answer_own_call(server_id, sock, limit)
            return None
        if request["target"] == "/-/kv-move":
            sock.sendall(no_such_run())
            return None
        if "kv-from" in request["headers"]:
            sock.sendall(stream_head(request, 4.0) + event(2) + STREAM_END)
            return None
        sock.sendall(stream_head(request, 4.0) + event(1))
        if request["headers"]["x-attempt-id"] == "run-2":
            return "close"
        sock.sendall(STREAM_END)
        return None

    for server_id in arrivals_ms:
        single_host.add_server(
            "engine", server_id, functools.partial(respond, server_id)
        )
    single_host.start()
    with gevent.Timeout(20, AssertionError("no stream reached the second engine")):
        while len(single_host.events_named("server_limit")) < 2:
            single_host.call("/engine/", headers=PROMPT, attempt="run-1")
    for _ in range(3):
        status, _, body = single_host.call("/engine/", headers=PROMPT, attempt="run-2")
        assert (status, body.count(b"id: ")) == (200, 2)
    # Of two zones, each grants a permit every half second.
    for times_ms in arrivals_ms.values():
        pauses_ms = [later - time for time, later in itertools.pairwise(times_ms)]
        assert min(pauses_ms) >= 400.0
