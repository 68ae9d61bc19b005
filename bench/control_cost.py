"""Measures the cost of the control plane per node by fleet size and change rate.

Every node runs the production control loop, membership and dissemination over
loopback sockets, all in one process. The platform runs in the same process. Byte
figures are the frames that the control loops count, sent plus received; a real
network adds its headers. Processor time is that of the whole process, divided by
the number of nodes; it includes the share of the platform.

Run: ``python bench/control_cost.py [--seconds S]``; prints JSON.
"""

import argparse
import json
import resource
import statistics
import time
from random import Random
from typing import Any
from typing import NamedTuple

import gevent

from gypsumfield.adapters.peers import PeerCredentials
from gypsumfield.adapters.peers import PeerTransport
from gypsumfield.clock import Clock
from gypsumfield.clock import system_clock
from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.configuration_spread import ConfigurationSpread
from gypsumfield.configuration_spread import MemberListSpread
from gypsumfield.control_loop import ControlLoop
from gypsumfield.decisions.membership import Membership
from gypsumfield.decisions.membership import SpreadPosition
from gypsumfield.interfaces import discard_event
from gypsumfield.membership_service import MembershipService
from gypsumfield.messages import MemberRecord
from gypsumfield.platform_api import Member
from gypsumfield.platform_api import MemberList

SETTLE_S = 25.0
LEASE_MS = 60_000.0
KIB = 1_024
ACCOUNT_SERVICES = 3


class Case(NamedTuple):
    """Size of one measurement.

    Attributes:
        nodes: Entry hosts, all in one zone.
        backend_servers: Backend servers on the platform's list.
        accounts: Client accounts.
        changes_per_s: Published changes of accounts per second.
    """

    nodes: int
    backend_servers: int
    accounts: int
    changes_per_s: float


CASES = (
    Case(8, 80, 100, 0.0),
    Case(16, 80, 100, 0.0),
    Case(31, 80, 100, 0.0),
    Case(62, 80, 100, 0.0),
    Case(16, 80, 100, 1.0),
    Case(16, 80, 100, 4.0),
    Case(16, 80, 1_100, 1.0),
    Case(16, 6_700, 100, 0.0),
    Case(62, 840, 1_100, 0.35),
)


class Platform:
    """In-process platform whose watch requests wait for a change."""

    def __init__(self, clock: Clock) -> None:
        self.revision = 0
        self.call_count = 0
        self.members = MemberList(0, ())
        self._clock = clock
        self._values: dict[str, tuple[int, Any]] = {}

    def put(self, key: str, value: Any) -> None:
        """Publish a value."""
        self.revision += 1
        self._values[key] = (self.revision, value)

    def fetch(self, after_revision: int, wait_ms: float) -> ConfigurationDelta:
        """Answer as ``GET /v1/values`` does."""
        self.call_count += 1
        deadline_ms = self._clock.monotonic_ms() + wait_ms
        while self.revision <= after_revision:
            if self._clock.monotonic_ms() >= deadline_ms:
                break
            gevent.sleep(0.02)
        values = {
            key: value
            for key, (revision, value) in self._values.items()
            if revision > after_revision
        }
        return ConfigurationDelta(self.revision, values)

    def fetch_members(self) -> MemberList:
        """Answer as ``GET /v1/members`` does."""
        self.call_count += 1
        return self.members


class Node:
    """The control plane of one entry host, built from production classes."""

    def __init__(self, number: int, platform: Platform, clock: Clock) -> None:
        self.host_id = f"entry-{number:03}"
        self.transport = PeerTransport("127.0.0.1", 0, PeerCredentials())
        self.loop = ControlLoop(
            self.host_id, "boot-1", self.transport, clock, discard_event, LEASE_MS
        )
        record = MemberRecord(
            self.host_id, "boot-1", "zone-a", 1, "live", self.transport.address
        )
        membership = Membership(record, clock.monotonic_ms())
        self.members = MembershipService(
            membership, self.loop, self.transport, Random(number)
        )
        self.store = ConfigurationStore()
        common = (self.loop, self.members, clock, discard_event)
        self.spreads = (
            ConfigurationSpread(self.store, platform.fetch, *common),
            MemberListSpread(platform.fetch_members, *common),
        )

    def as_member(self) -> Member:
        """Return this node as a member of the platform's list."""
        return Member(
            self.host_id,
            "entry",
            "zone-a",
            "127.0.0.1:1",
            boot_id="boot-1",
            control_address=self.transport.address,
        )

    def start(self) -> None:
        """Start the control loop and the dissemination."""
        self.loop.start()
        for spread in self.spreads:
            spread.start()

    def stop(self) -> None:
        """Stop the dissemination and the control loop."""
        for spread in self.spreads:
            spread.stop()
        self.loop.stop()


def account_value(number: int) -> dict[str, Any]:
    """Return a published account value of typical size."""
    return {
        "key_digests": [f"{number:064x}", f"{number + 1:064x}"],
        "rate_per_s": 1.0 + number,
        "burst": 20.0,
        "services": [f"service-{i}" for i in range(ACCOUNT_SERVICES)],
    }


def backend(number: int) -> Member:
    """Return a backend server for the platform's list."""
    return Member(
        f"engine-{number:05}",
        "backend",
        "zone-a",
        f"10.0.{number // 256}.{number % 256}:8000",
        boot_id=f"{number:032x}",
        services=(f"service-{number % 27}",),
    )


def run_case(case: Case, duration_s: float) -> dict[str, Any]:
    """Run one case and return its size and its figures per node."""
    clock = system_clock()
    platform = Platform(clock)
    for number in range(case.accounts):
        platform.put(f"client_accounts/account-{number}", account_value(number))
    memory_before_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    nodes = [Node(number, platform, clock) for number in range(case.nodes)]
    hosts = [node.as_member() for node in nodes]
    hosts += [backend(number) for number in range(case.backend_servers)]
    platform.members = MemberList(1, tuple(hosts))
    for node in nodes:
        node.start()
    gevent.sleep(SETTLE_S)
    figures = measure(case, platform, nodes, duration_s)
    memory_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - memory_before_kib
    for node in nodes:
        node.stop()
    return {
        **case._asdict(),
        **figures,
        "memory_growth_kib_per_node": round(memory_kib / case.nodes, 1),
    }


def measure(
    case: Case, platform: Platform, nodes: list[Node], duration_s: float
) -> dict[str, Any]:
    """Return the traffic and processor usage of the nodes in a time interval."""
    before = [node.loop.traffic for node in nodes]
    calls_before = platform.call_count
    processor_before_s = time.process_time()
    started_s = time.monotonic()
    publish_for(case, platform, duration_s)
    elapsed_s = time.monotonic() - started_s
    processor_s = time.process_time() - processor_before_s
    after = [node.loop.traffic for node in nodes]
    bytes_per_s = [
        (a.sent_bytes + a.received_bytes - b.sent_bytes - b.received_bytes) / elapsed_s
        for a, b in zip(after, before, strict=True)
    ]
    messages_per_s = [
        (a.sent_count + a.received_count - b.sent_count - b.received_count) / elapsed_s
        for a, b in zip(after, before, strict=True)
    ]
    behind_count = sum(node.store.revision < platform.revision for node in nodes)
    live_counts = [len(node.members.membership.live_hosts()) for node in nodes]
    return {
        "bytes_per_s_mean": round(statistics.mean(bytes_per_s), 1),
        "bytes_per_s_worst": round(max(bytes_per_s), 1),
        "messages_per_s_mean": round(statistics.mean(messages_per_s), 2),
        "processor_share_per_node": round(processor_s / elapsed_s / len(nodes), 5),
        "platform_calls_per_s": round(
            (platform.call_count - calls_before) / elapsed_s, 2
        ),
        "nodes_behind_at_end": behind_count,
        "live_hosts_seen_least": min(live_counts),
    }


def publish_for(case: Case, platform: Platform, duration_s: float) -> None:
    """Publish changes at the rate of the case, then wait until they can arrive."""
    if not case.changes_per_s:
        gevent.sleep(duration_s)
        return
    for number in range(int(duration_s * case.changes_per_s)):
        name = f"client_accounts/account-{number % case.accounts}"
        platform.put(name, account_value(number + 7))
        gevent.sleep(1.0 / case.changes_per_s)
    gevent.sleep(1.0)


def decision_cost() -> dict[str, float]:
    """Return the microseconds of a membership tick and of a received heartbeat.

    The view contains 500 entry hosts in 8 zones, the maximum of the design.
    """
    views = [
        Membership(
            MemberRecord(
                f"entry-{i:03}", "boot-1", f"zone-{i % 8}", 1, "live", "::1:1"
            ),
            0.0,
        )
        for i in (0, 8)
    ]
    listed = [
        Member(f"entry-{i:03}", "entry", f"zone-{i % 8}", "::1:2", boot_id="boot-1")
        for i in range(500)
    ]
    for view in views:
        view.merge_platform_list(listed, 0.0)
    rng = Random(1)
    outgoing = [views[1].tick(float(i), rng, SpreadPosition()) for i in range(100)]
    heartbeats = [o.message for messages in outgoing for o in messages]
    started_s = time.process_time()
    for i in range(100):
        views[0].tick(float(i), rng, SpreadPosition())
    tick_s = (time.process_time() - started_s) / 100
    started_s = time.process_time()
    for number, heartbeat in enumerate(heartbeats):
        # The interval is long enough that each heartbeat may cause a view request.
        views[0].receive_heartbeat(heartbeat, number * LEASE_MS)
    receive_s = (time.process_time() - started_s) / len(heartbeats)
    return {"tick_us": round(tick_s * 1e6), "heartbeat_us": round(receive_s * 1e6)}


def slope(
    low: dict[str, Any], high: dict[str, Any], parameter: str, figure: str
) -> float:
    """Return the growth of one figure per unit of another."""
    growth: float = (high[figure] - low[figure]) / (high[parameter] - low[parameter])
    return round(growth, 6)


def main() -> None:
    """Run all cases and print their figures and slopes as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    rows = [run_case(case, arguments.seconds) for case in CASES]
    measures = ("bytes_per_s_mean", "messages_per_s_mean", "processor_share_per_node")
    pairs = {"nodes": (0, 3), "changes_per_s": (4, 5), "accounts": (4, 6)}
    pairs["backend_servers"] = (1, 7)
    slopes = {
        parameter: {
            figure: slope(rows[low], rows[high], parameter, figure)
            for figure in measures
        }
        for parameter, (low, high) in pairs.items()
    }
    figures = {"cases": rows, "slopes": slopes, "at_500_hosts": decision_cost()}
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
