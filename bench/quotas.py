"""Compares schemes for account rates over all entry hosts, in virtual time.

Counts wrongful refusals (the account was within rate and burst over all hosts
together when its request was refused) and by how much the bound was exceeded, for
several schemes and scenarios, over several seeds. The escrow scheme is the
production code. Prints one JSON object.
"""

import argparse
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

from fake_fleet import TICK_MS  # noqa: E402
from gypsumfield.decisions.borrowing import LOAN_REQUEST_TIMEOUT_MS  # noqa: E402
from gypsumfield.decisions.ownership import owner_of  # noqa: E402
from gypsumfield.decisions.ownership import Ownership  # noqa: E402
from gypsumfield.decisions.token_pools import AccountLimit  # noqa: E402
from gypsumfield.interfaces import QuotaDecision  # noqa: E402
from gypsumfield.messages import TokenRequest  # noqa: E402
from gypsumfield.messages import TokenTransfer  # noqa: E402
from quota_fleet import ACCOUNT  # noqa: E402
from quota_fleet import QuotaFleet  # noqa: E402
from quota_fleet import QuotaHost  # noqa: E402
from quota_fleet import worst_excess  # noqa: E402

ZONES = ("a", "b", "c", "d")
HOSTS = tuple(f"{zone}-{number}" for zone in ZONES for number in (1, 2))
SETTLE_MS = 60_000.0
RUN_MS = 120_000.0
FAULT_MS = 30_000.0
REPAIR_MS = 90_000.0
LINK_DELAY_LIMIT_MS = 2.0
SKEWED_SHARE = 0.6
FLOOD_FACTOR = 5.0
EXACT_TOKENS = 1e-3


class LocalHost(QuotaHost):
    """Decides from its own bucket; subclasses define its share of the rate."""

    def share(self) -> float:
        """Return the part of the account's rate that this host holds."""
        raise NotImplementedError

    def bucket(self):
        """Return this bucket, minted up to now."""
        now_ms = self.network.now_ms
        share = self.share()
        limit = self.published.limit
        if not hasattr(self, "tokens"):
            self.tokens, self.minted_at_ms = 0.0, now_ms
        elapsed_s = (now_ms - self.minted_at_ms) / 1_000.0
        minted = share * limit.rate_per_s * elapsed_s
        self.tokens = min(self.tokens + minted, share * limit.burst)
        self.minted_at_ms = now_ms
        return self

    def take_here(self) -> bool:
        """Take one token from this bucket; False when there is none."""
        bucket = self.bucket()
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def take(self, done: Callable[[QuotaDecision], None]) -> None:
        """Decide from the local bucket without messages."""
        done(QuotaDecision(self.take_here()))


class StaticHost(LocalHost):
    """Holds a constant equal share and refuses what exceeds it."""

    def share(self) -> float:
        """Return an equal part for each configured host."""
        return 1.0 / len(HOSTS)


class MembershipHost(LocalHost):
    """Holds an equal share among the hosts that it reaches now."""

    def share(self) -> float:
        """Return an equal part for each reachable host."""
        reachable = [self.fleet.reachable_hosts(self, zone) for zone in ZONES]
        return 1.0 / max(1, sum(len(hosts) for hosts in reachable))


class HomeHost(LocalHost):
    """Requests each token from the one home host of the account."""

    def __init__(self, fleet, host_id, boot_id):
        self.ownership = Ownership(host_id, fleet.network.now_ms, fleet.hold_down_ms)
        self.pending_requests = {}
        super().__init__(fleet, host_id, boot_id)

    def _tick(self):
        self.fleet.update_reachability(self)
        view = self.fleet.view_of_zones(self, ZONES)
        if self.ownership.update(view, self.network.now_ms):
            self.tokens, self.minted_at_ms = 0.0, self.network.now_ms
        self.later(TICK_MS, self._tick)

    def share(self) -> float:
        """Return 1 on the home host and 0 on every other host."""
        return float(self.ownership.owns(ACCOUNT, self.network.now_ms))

    def take(self, done) -> None:
        """Request a token from the home host; refuse if it does not answer in time."""
        reachable = [self.fleet.reachable_hosts(self, zone) for zone in ZONES]
        home = owner_of(ACCOUNT, frozenset().union(*reachable))
        if home == self.host_id:
            done(QuotaDecision(self.take_here()))
            return
        self._request_count += 1
        name = f"{self.boot_id}/{self._request_count}"
        self.pending_requests[name] = done
        self.network.send(self.host_id, home, TokenRequest(request_id=name))
        self.later(
            LOAN_REQUEST_TIMEOUT_MS, lambda: self._answer(name, is_granted=False)
        )

    def _answer(self, name: str, is_granted: bool) -> None:
        done = self.pending_requests.pop(name, None)
        if done is not None:
            done(QuotaDecision(is_granted))

    def _handle(self, sender, message) -> None:
        if isinstance(message, TokenRequest):
            granted = float(self.take_here())
            name = message.request_id
            answer = TokenTransfer(transfer_id=name, token_count=granted)
            self.network.send(self.host_id, sender, answer)
        else:
            self._answer(message.transfer_id, message.token_count > 0.0)


class ZoneEscrowHost(QuotaHost):
    """The escrow scheme with loans only within the zone."""

    def take(self, done) -> None:
        """Take a token with loans only from hosts of the same zone."""
        zone_names, self.fleet.zone_names = self.fleet.zone_names, [self.zone]
        super().take(done)
        self.fleet.zone_names = zone_names


SCHEMES = {
    "escrow": QuotaHost,
    "escrow_within_zone": ZoneEscrowHost,
    "home_host": HomeHost,
    "static_division": StaticHost,
    "membership_division": MembershipHost,
}


class Scenario(NamedTuple):
    """Load and faults of a run.

    Attributes:
        load: Offered requests as a share of the account's rate.
        first_host_share: Share of the requests that the balancer sends to the
            first host; the others get equal parts of the rest.
        fault: Applied to the fleet at `FAULT_MS`, if any.
        repair: Applied at `REPAIR_MS`, if any.
    """

    load: float
    first_host_share: float = 1.0 / len(HOSTS)
    fault: Callable[[QuotaFleet], None] | None = None
    repair: Callable[[QuotaFleet], None] | None = None


def partition_zone(fleet: QuotaFleet) -> None:
    """Partition zone a from the others and the platform; callers still reach it."""
    fleet.network.partition([[host for host in HOSTS if host.startswith("a")]])


def kill_zone(fleet: QuotaFleet) -> None:
    """Kill both hosts of zone a."""
    for host_id in HOSTS[:2]:
        fleet.kill_host(host_id)


SCENARIOS = {
    "even_balancer": Scenario(0.8),
    "skewed_balancer": Scenario(0.8, SKEWED_SHARE),
    "lost_host": Scenario(0.8, fault=lambda fleet: fleet.kill_host(HOSTS[0])),
    "lost_zone": Scenario(0.8, fault=kill_zone),
    "cut_off_zone": Scenario(
        0.8, fault=partition_zone, repair=lambda fleet: fleet.network.heal()
    ),
    "flood": Scenario(FLOOD_FACTOR),
    "flood_and_cut_off_zone": Scenario(FLOOD_FACTOR, fault=partition_zone),
}

LIMITS = {
    "5_per_s": AccountLimit(5.0, 10.0),
    "50_per_s": AccountLimit(50.0, 100.0),
}


class Outcome(NamedTuple):
    """Counts of one run.

    Attributes:
        requests: Requests sent.
        admitted: Requests admitted.
        shortfall: Requests that one bucket for the whole fleet would have
            admitted beyond those.
        wrongful: Requests refused while such a bucket, drained by the actual
            admissions, held a whole token.
        excess_tokens: Admissions above the bound in the worst window.
        messages: Messages between hosts.
        bytes: Total length of these messages.
    """

    requests: int
    admitted: int
    shortfall: int
    wrongful: int
    excess_tokens: float
    messages: int
    bytes: int


class ReferenceBucket:
    """One bucket for all hosts, filled by the rate and drained by admissions."""

    def __init__(self, limit: AccountLimit) -> None:
        self.limit = limit
        self.level = limit.burst
        self.at_ms = 0.0
        self.admitted_ms: list[float] = []
        self.wrongful = 0

    def record(self, now_ms: float, decision: QuotaDecision) -> None:
        """Record one decision, and count it if it is a wrongful refusal."""
        minted = (now_ms - self.at_ms) / 1_000.0 * self.limit.rate_per_s
        self.level = min(self.limit.burst, self.level + minted)
        self.at_ms = now_ms
        if decision.is_granted:
            self.level -= 1.0
            self.admitted_ms.append(now_ms)
            return
        self.wrongful += self.level >= 1.0


def count_ideal(arrivals_ms: list[float], limit: AccountLimit) -> int:
    """Return how many requests one bucket for the whole fleet would admit."""
    level, at_ms, count = limit.burst, 0.0, 0
    for now_ms in arrivals_ms:
        minted = (now_ms - at_ms) / 1_000.0 * limit.rate_per_s
        level, at_ms = min(limit.burst, level + minted), now_ms
        if level >= 1.0:
            level -= 1.0
            count += 1
    return count


def run(scheme: str, scenario: Scenario, limit: AccountLimit, seed: int) -> Outcome:
    """Run one scheme through one scenario."""
    fleet = QuotaFleet(ZONES, limit, seed)
    fleet.host_type = SCHEMES[scheme]
    network = fleet.network
    network.delay_limit_ms = LINK_DELAY_LIMIT_MS
    for host_id in HOSTS:
        fleet.start_host(host_id)
    network.advance(SETTLE_MS)
    random = Random(seed)
    reference = ReferenceBucket(limit)
    sent_count, sent_bytes = network.sent_count, network.sent_bytes
    faults = [(FAULT_MS, scenario.fault), (REPAIR_MS, scenario.repair)]
    pending = [(at_ms, change) for at_ms, change in faults if change]
    at_ms = 0.0
    arrivals_ms: list[float] = []
    while True:
        at_ms += random.expovariate(scenario.load * limit.rate_per_s) * 1_000.0
        while pending and pending[0][0] <= at_ms:
            network.advance(SETTLE_MS + pending[0][0] - network.now_ms)
            pending.pop(0)[1](fleet)
        if at_ms > RUN_MS:
            break
        network.advance(SETTLE_MS + at_ms - network.now_ms)
        host = choose_host(fleet, scenario, random)
        arrivals_ms.append(at_ms)
        host.take(lambda decision: reference.record(network.now_ms, decision))
    network.advance(1_000.0)
    ideal_count = count_ideal(arrivals_ms, limit)
    return Outcome(
        len(arrivals_ms),
        len(reference.admitted_ms),
        max(0, ideal_count - len(reference.admitted_ms)),
        reference.wrongful,
        worst_excess(reference.admitted_ms, limit.burst, limit.rate_per_s),
        network.sent_count - sent_count,
        network.sent_bytes - sent_bytes,
    )


def choose_host(fleet: QuotaFleet, scenario: Scenario, random: Random) -> QuotaHost:
    """Return the host that the balancer sends the next request to."""
    names = sorted(fleet.hosts)
    is_first = random.random() < scenario.first_host_share
    name = names[0] if is_first else random.choice(names[1:])
    return fleet.hosts[name]


def summarise(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the figures of several runs together."""
    requests = sum(outcome.requests for outcome in outcomes)
    return {
        "requests": requests,
        "admitted": sum(outcome.admitted for outcome in outcomes),
        "shortfall_per_thousand": round(
            1_000 * sum(outcome.shortfall for outcome in outcomes) / requests, 2
        ),
        "wrongful_per_thousand": round(
            1_000 * sum(outcome.wrongful for outcome in outcomes) / requests, 2
        ),
        "violated_runs": sum(
            outcome.excess_tokens > EXACT_TOKENS for outcome in outcomes
        ),
        "worst_excess_tokens": round(max(x.excess_tokens for x in outcomes), 2),
        "messages_per_request": round(sum(x.messages for x in outcomes) / requests, 2),
        "control_bytes_per_s_per_host": round(
            sum(x.bytes for x in outcomes)
            / (len(outcomes) * RUN_MS / 1_000.0 * len(HOSTS)),
            1,
        ),
    }


def main() -> None:
    """Run everything and print the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--schemes", nargs="+", default=list(SCHEMES))
    parser.add_argument("--scenarios", nargs="+", default=list(SCENARIOS))
    parser.add_argument("--limits", nargs="+", default=list(LIMITS))
    arguments = parser.parse_args()
    started_s = time.monotonic()
    seeds = range(1, arguments.seeds + 1)
    figures = {
        limit: {
            scenario: {
                scheme: summarise(
                    [
                        run(scheme, SCENARIOS[scenario], LIMITS[limit], seed)
                        for seed in seeds
                    ]
                )
                for scheme in arguments.schemes
            }
            for scenario in arguments.scenarios
        }
        for limit in arguments.limits
    }
    report = {
        "hosts": len(HOSTS),
        "zones": len(ZONES),
        "seeds": list(seeds),
        "run_s": RUN_MS / 1_000.0,
        "elapsed_s": round(time.monotonic() - started_s, 1),
        "figures": figures,
    }
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
