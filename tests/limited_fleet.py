"""A virtual fleet that sends calls to servers that name a limit."""

import random
from collections import Counter

from gypsumfield.gateway.calls import AnswerMetadata
from gypsumfield.gateway.model import BackendServer
from limit_audit import LimitAudit
from virtual_fleet import VirtualFleet

NETWORK_MS = 1.0
WORK_MS = 20.0
MAX_WAIT_MS = 60.0
# Shortest time of all installations after which a limit that was named counts.
CONTACT_MS = 3_000.0


class LimitedServer:
    """A plain server with the limit that it names now; None names none."""

    def __init__(self, number, limit_per_s, zone):
        self.limit_per_s = limit_per_s
        self.audit = LimitAudit(CONTACT_MS)
        self.arrival_count = 0
        self.record = BackendServer(
            f"s{number}", "plain", f"10.9.0.{number}:80", zone, 6, False, 0.0, 7, 1
        )


class LimitedFleet(VirtualFleet):
    """Hosts that call limited servers at random times.

    Every call takes a random server and is refused when it gets no permit.

    Attributes:
        servers: The servers.
        outcomes: Numbers of calls sent and refused.
        rate_per_s: Calls a second over all hosts.
    """

    def __init__(self, host_count, limits_per_s, rate_per_s, zone_count=6, seed=1):
        super().__init__(host_count, zone_count, seed)
        self.servers = [
            LimitedServer(number, limit_per_s, f"z{number % zone_count}")
            for number, limit_per_s in enumerate(limits_per_s)
        ]
        self.outcomes = Counter()
        self.rate_per_s = rate_per_s
        self.call_rng = random.Random(seed)
        self.callable_hosts = lambda: self.running_hosts()

    def start_calls(self):
        self.schedule(0.0, self.call_one)

    def call_one(self):
        pause_ms = self.call_rng.expovariate(self.rate_per_s) * 1_000.0
        self.schedule(pause_ms, self.call_one)
        hosts = self.callable_hosts()
        if hosts:
            host = self.call_rng.choice(hosts)
            self.call(host, self.call_rng.choice(self.servers))

    def call(self, host, server):
        permits = host.link.permits
        if host.notices.limit_per_s(server.record) is None:
            self.send(host, server, host.boot)
        elif permits.wait_ms(server.record):
            self.outcomes["refused"] += 1
        else:
            permits.request(
                server.record,
                MAX_WAIT_MS,
                lambda reply: self.receive_reply(host, server, host.boot, reply),
            )

    def receive_reply(self, host, server, boot, reply):
        if reply.is_granted:
            self.schedule(reply.wait_ms, self.send, host, server, boot)
        else:
            self.outcomes["refused"] += 1

    def send(self, host, server, boot):
        if host.is_up and host.boot == boot:
            self.outcomes["sent"] += 1
            self.schedule(NETWORK_MS, self.arrive, host, server, boot, self.now_ms)

    def arrive(self, host, server, boot, sent_ms):
        server.arrival_count += 1
        name = f"{host.name}/{boot}"
        server.audit.record_arrival(self.now_ms, name, server.limit_per_s)
        self.schedule(WORK_MS + NETWORK_MS, self.answer, host, server, boot, sent_ms)

    def answer(self, host, server, boot, sent_ms):
        if not host.is_up or host.boot != boot:
            return
        limit_per_s = server.limit_per_s
        metadata = AnswerMetadata(
            "a",
            True,
            False,
            False,
            has_limit=limit_per_s is not None,
            limit_per_s=limit_per_s,
        )
        host.notices.record_answer(server.record, 200, metadata, sent_ms)
        if limit_per_s is not None:
            server.audit.record_told(self.now_ms, f"{host.name}/{boot}")

    def worst_excess(self):
        return max(server.audit.excess() for server in self.servers)
