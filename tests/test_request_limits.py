"""Requests to servers that name a limit, through edge hosts with their own network."""

import contextlib

import gevent
import pytest

from edge_fleet import EdgeFleet
from edge_fleet import read_answer
from fake_platform import complete_answer
from fake_platform import wait_until
from gypsumfield.clock import system_clock
from gypsumfield.gateway.composition import build_edge_host
from limit_audit import LimitAudit

LIMIT_PER_S = 2.0
CALL_INTERVAL_S = 0.125
RUN_S = 8.0


class LimitedFleet(EdgeFleet):
    """Two hosts in z1, one in z2; `s1` in z1 names a limit, `s2` in z2 names none."""

    def __init__(self, kind="non_idempotent"):
        super().__init__({"plain": kind})
        self.audit = LimitAudit()
        self.limit_per_s = LIMIT_PER_S
        self.hosts = {}
        self.statuses = []
        self.publish()
        self.add_server("plain", "s1", self.answer_with_limit)
        self.add_server("plain", "s2", self.answer, zone="z2")

    def start_hosts(self):
        for number, zone in enumerate(["z1", "z1", "z2"], 1):
            ip = f"127.0.0.{number}"
            seeds = [] if number == 1 else ["127.0.0.1"]
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
        extra = f"Server-Limit: {self.limit_per_s}\r\n"
        sock.sendall(complete_answer(request, extra=extra))
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
