"""Compares schemes for admission to cold backend servers, in virtual time.

Eight entry hosts of four zones send to four engines of one zone. Counts the
requests above the one that a cold engine can serve, the requests served, and the
time until service recovered. The one-owner scheme is the production code. Prints
one JSON object.
"""

import argparse
import json
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from gypsumfield.decisions.ownership import Ownership  # noqa: E402
from gypsumfield.interfaces import SlotLease  # noqa: E402
from gypsumfield.interfaces import SlotOutcome  # noqa: E402
from gypsumfield.interfaces import SlotRefusal  # noqa: E402
from gypsumfield.slot_service import SlotService  # noqa: E402
from slot_fleet import DEMAND  # noqa: E402
from slot_fleet import SlotFleet  # noqa: E402
from slot_fleet import SlotHost  # noqa: E402

HOSTS = tuple(f"{zone}-{number}" for zone in "abcd" for number in (1, 2))
ENGINES = ("a-m1", "a-m2", "a-m3", "a-m4")
OFFERED_PER_S = 40.0
ANSWER_MS = 500.0
WARM_UP_MS = 30_000.0
RUN_MS = 40_000.0
WINDOW_MS = 1_000.0
RECOVERED_SHARE = 0.9
ENGINE_LIMIT = 16


class _AlwaysOwner(Ownership):
    """Every host acts as the owner of every backend server."""

    def owns(self, resource: str, now_ms: float) -> bool:
        """Return True for every resource."""
        return True


class ProbePerHost(SlotService):
    """Ramps up after completed answers, but on every host separately."""

    def __init__(self, loop, clock, zone, sources, emit, hold_down_ms, lease_ms):
        super().__init__(loop, clock, "a", sources, emit, hold_down_ms, lease_ms)
        self._ownership = _AlwaysOwner(loop.host_id, clock.monotonic_ms())

    def _owner_of(self, backend_server: str) -> str | None:
        return self._loop.host_id


class StaticDivision(ProbePerHost):
    """Every host may send a fixed part of the limit of a warm engine."""

    def acquire(self, backend_server, demand) -> SlotLease | SlotRefusal:
        """Grant a slot while this host's part is not used up."""
        held = sum(
            holding.backend_server == backend_server
            for holding in self._local_leases.values()
        )
        if held >= ENGINE_LIMIT // len(HOSTS):
            return SlotRefusal("the part of this host is in use", 100.0)
        for slots in self._backends.values():
            slots.limit = ENGINE_LIMIT
            slots.is_cold = False
        return super().acquire(backend_server, demand)


SCHEMES = {
    "one_owner": SlotService,
    "probe_per_host": ProbePerHost,
    "static_division": StaticDivision,
}


def restart_zone(fleet: SlotFleet) -> None:
    """Restart all engines of the zone at once."""
    for engine in fleet.engines.values():
        engine.restart()


def kill_owner(fleet: SlotFleet) -> None:
    """Kill the entry host that owns the first engine."""
    owners = [
        name for name, host in fleet.hosts.items() if host.service.is_owner(ENGINES[0])
    ]
    fleet.kill_host(owners[0])


FAULTS: dict[str, Callable[[SlotFleet], None]] = {
    "zone_restarts": restart_zone,
    "owner_dies": kill_owner,
}


class Outcome(NamedTuple):
    """Counts of one run, from the fault on.

    Attributes:
        requests: Requests that callers sent.
        served: Requests that were answered.
        overload_count: Requests that arrived at cold engines above their limit.
        recovered_after_ms: Time until nine in ten requests of a second were
            admitted again.
        messages: Messages between hosts.
    """

    requests: int
    served: int
    overload_count: int
    recovered_after_ms: float
    messages: int


class Run:
    """Run of one scheme with one fault."""

    def __init__(self, scheme: str, fault: str, seed: int) -> None:
        self.fleet = SlotFleet(ENGINES, seed)
        self.fleet.service_type = SCHEMES[scheme]
        self.fleet.network.delay_limit_ms = 2.0
        self.fault = FAULTS[fault]
        self.random = Random(seed)
        self.served = 0
        self.windows: dict[int, list[bool]] = {}
        for host_id in HOSTS:
            self.fleet.start_host(host_id)

    def run(self) -> Outcome:
        """Warm up, inject the fault, and count from then on."""
        network = self.fleet.network
        self._offer(WARM_UP_MS)
        start_ms = network.now_ms
        self.fault(self.fleet)
        self.served = 0
        self.windows.clear()
        overloads, messages = self.fleet.overload_count(), network.sent_count
        self._offer(start_ms + RUN_MS)
        return Outcome(
            sum(len(window) for window in self.windows.values()),
            self.served,
            self.fleet.overload_count() - overloads,
            self._recovered_after_ms(start_ms),
            network.sent_count - messages,
        )

    def _offer(self, end_ms: float) -> None:
        network = self.fleet.network
        at_ms = network.now_ms
        while at_ms < end_ms:
            at_ms += self.random.expovariate(OFFERED_PER_S) * 1_000.0
            network.advance(max(0.0, at_ms - network.now_ms))
            host = self.fleet.hosts[self.random.choice(sorted(self.fleet.hosts))]
            lease = self._acquire_slot(host)
            window = self.windows.setdefault(int(at_ms // WINDOW_MS), [])
            window.append(lease is not None)
            if lease is not None:
                self._answer_later(host, lease)

    def _acquire_slot(self, host: SlotHost) -> SlotLease | None:
        for name in self.random.sample(ENGINES, len(ENGINES)):
            lease = host.send(name)
            if isinstance(lease, SlotLease):
                return lease
        return None

    def _answer_later(self, host: SlotHost, lease: SlotLease) -> None:
        def answer() -> None:
            engine = self.fleet.engines[lease.backend_server]
            if lease.lease_id in engine.running:
                self.served += 1
                host.finish(lease.lease_id, SlotOutcome.COMPLETED)

        host.later(ANSWER_MS, answer)

    def _recovered_after_ms(self, start_ms: float) -> float:
        last_degraded = max(
            (
                number
                for number, window in self.windows.items()
                if sum(window) < RECOVERED_SHARE * len(window)
            ),
            default=None,
        )
        if last_degraded is None:
            return 0.0
        return (last_degraded + 1) * WINDOW_MS - start_ms


def summarise(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the figures of several runs together."""
    requests = sum(outcome.requests for outcome in outcomes)
    return {
        "requests": requests,
        "served_share": round(sum(x.served for x in outcomes) / requests, 3),
        "overload_count": sum(outcome.overload_count for outcome in outcomes),
        "runs_with_overload": sum(x.overload_count > 0 for x in outcomes),
        "worst_back_after_s": round(
            max(x.recovered_after_ms for x in outcomes) / 1e3, 1
        ),
        "messages_per_request": round(sum(x.messages for x in outcomes) / requests, 2),
    }


def main() -> None:
    """Run everything and print the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    figures = {
        fault: {
            scheme: summarise([Run(scheme, fault, seed).run() for seed in seeds])
            for scheme in SCHEMES
        }
        for fault in FAULTS
    }
    report = {"service": DEMAND.service, "seeds": list(seeds), "figures": figures}
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
