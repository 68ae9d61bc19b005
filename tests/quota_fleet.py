"""Entry hosts that share account rates over `FakeNetwork`, in virtual time."""

from collections.abc import Callable
from typing import NamedTuple

from fake_fleet import FakeFleet
from fake_fleet import FakeHost
from fake_fleet import PLATFORM
from fake_fleet import TICK_MS
from fake_fleet import zone_of
from gypsumfield.decisions.borrowing import LoanAnswer
from gypsumfield.decisions.borrowing import RequestLoans
from gypsumfield.decisions.borrowing import take_token
from gypsumfield.decisions.quotas import holders_of
from gypsumfield.decisions.quotas import QuotaLedger
from gypsumfield.decisions.quotas import QuotaView
from gypsumfield.decisions.token_pools import AccountLimit
from gypsumfield.decisions.token_pools import Loan
from gypsumfield.decisions.token_pools import LoanRequest
from gypsumfield.interfaces import QuotaDecision
from gypsumfield.messages import TokenRequest
from gypsumfield.messages import TokenTransfer

ACCOUNT = "vendors"


class Published(NamedTuple):
    """Zones and account limit that a host uses."""

    zones: frozenset[str]
    limit: AccountLimit


class QuotaHost(FakeHost):
    """One boot of one entry host with its quota ledger."""

    def __init__(self, fleet: "QuotaFleet", host_id: str, boot_id: str):
        super().__init__(fleet, host_id, boot_id)
        self.published = fleet.published
        self.ledger = QuotaLedger(host_id, fleet.network.now_ms, fleet.hold_down_ms)
        self._pending_requests: dict[str, Callable[[Loan | None], None]] = {}
        self._request_count = 0
        fleet.network.attach(host_id, self._deliver)
        self._tick()

    def pool(self):
        now_ms = self.network.now_ms
        return self.ledger.pool_of(ACCOUNT, self.published.limit, now_ms)

    def take(self, done: Callable[[QuotaDecision], None]) -> None:
        peers = set()
        for zone in self.fleet.zone_names:
            live = self.fleet.reachable_hosts(self, zone)
            peers |= holders_of(ACCOUNT, zone, live)
        steps = take_token(
            self.pool,
            self.published.limit,
            sorted(peers - {self.host_id}),
            lambda: self.network.now_ms,
        )
        self._step(steps, None, done)

    def _step(self, steps, answers, done) -> None:
        try:
            step = next(steps) if answers is None else steps.send(answers)
        except StopIteration as stop:
            done(stop.value)
            return
        if isinstance(step, RequestLoans):
            self._request_loans(step, lambda answers: self._step(steps, answers, done))
        else:
            self.later(step.duration_ms, lambda: self._step(steps, (), done))

    def _request_loans(self, step: RequestLoans, done) -> None:
        answers: dict[str, LoanAnswer] = {}

        def complete(request_id: str, peer: str, loan: Loan | None) -> None:
            if self._pending_requests.pop(request_id, None) is None:
                return
            answers[peer] = LoanAnswer(peer, loan)
            if len(answers) == len(step.loan_requests):
                done(tuple(answers.values()))

        for loan_request in step.loan_requests:
            self._request_count += 1
            name = f"{self.boot_id}/{self._request_count}"
            self._pending_requests[name] = lambda loan, n=name, p=loan_request.peer: (
                complete(n, p, loan)
            )
            request = TokenRequest(
                request_id=name,
                account=ACCOUNT,
                token_count=loan_request.tokens,
                held_tokens=loan_request.held_tokens,
                spare_tokens=loan_request.spare_tokens,
            )
            self.network.send(self.host_id, loan_request.peer, request)
            self.later(
                step.timeout_ms,
                lambda n=name, p=loan_request.peer: complete(n, p, None),
            )

    def _deliver(self, sender: str, message) -> None:
        self.run(lambda: self._handle(sender, message))

    def _handle(self, sender: str, message) -> None:
        if isinstance(message, TokenRequest):
            now_ms = self.network.now_ms
            loan_request = LoanRequest(
                sender, message.token_count, message.held_tokens, message.spare_tokens
            )
            loan = self.pool().lend(loan_request, now_ms)
            answer = TokenTransfer(
                transfer_id=message.request_id,
                token_count=loan.tokens,
                level_tokens=loan.level_tokens,
                capacity_tokens=loan.capacity_tokens,
                mint_per_s=loan.mint_per_s,
                availability_zone=self.zone,
                zone_share=self.ledger.zone_share,
            )
            self.network.send(self.host_id, sender, answer)
            return
        on_loan = self._pending_requests.get(message.transfer_id)
        if on_loan is not None:
            if message.availability_zone == self.zone:
                now_ms = self.network.now_ms
                self.ledger.receive_zone_share(message.zone_share, now_ms)
            on_loan(
                Loan(
                    message.token_count,
                    message.level_tokens,
                    message.capacity_tokens,
                    message.mint_per_s,
                )
            )

    def _tick(self) -> None:
        self.fleet.update_reachability(self)
        if self.network.is_connected(self.host_id, PLATFORM):
            self.published = self.fleet.published
        view = self.fleet.view_of(self)
        limits = {ACCOUNT: self.published.limit}
        self.ledger.update(view, limits, self.network.now_ms)
        self.later(TICK_MS, self._tick)


class QuotaFleet(FakeFleet):
    """Hosts that share one account's rate, with a record of their admissions."""

    host_type = QuotaHost

    def __init__(self, zones, limit, seed=0):
        super().__init__(seed)
        self.published = Published(frozenset(zones), limit)
        self.zone_names = sorted(zones)
        self.limits = [limit]
        self.admitted_ms: dict[int, float] = {}
        self.decisions: list[tuple[float, QuotaDecision]] = []

    def start_host(self, host_id: str) -> None:
        """Start a host, or replace it with a new boot of the same name."""
        boot_id = self.next_boot_id(host_id)
        if zone_of(host_id) not in self.zone_names:
            self.zone_names.append(zone_of(host_id))
        self.hosts[host_id] = self.host_type(self, host_id, boot_id)

    def retire_host(self, host_id: str) -> None:
        """Retire a host, and announce it to the hosts that it can reach."""
        retired = self.hosts[host_id]
        retired.ledger.retire(self.network.now_ms)
        for other in self.hosts.values():
            if other is not retired and self.network.is_connected(
                host_id, other.host_id
            ):
                other.run(
                    lambda o=other: o.ledger.record_release(
                        host_id, self.network.now_ms
                    )
                )

    def publish(self, published: Published) -> None:
        """Change the configuration; hosts adopt it when they reach the platform."""
        self.published = published
        self.limits.append(published.limit)

    def view_of(self, host: QuotaHost) -> QuotaView:
        return QuotaView(
            zone=host.zone,
            zones=host.published.zones,
            zone_view=self.zone_view(host),
            are_zones_agreed=self._are_zones_agreed(host),
        )

    def _are_zones_agreed(self, host: QuotaHost) -> bool:
        """Return whether all zones are reachable, and reachable hosts use one list."""
        for zone in host.published.zones:
            reachable = self.reachable_hosts(host, zone)
            if not reachable or any(
                name in self.hosts
                and self.hosts[name].published.zones != host.published.zones
                for name in reachable
            ):
                return False
        return True

    def request(self, host_id: str, count: int = 1, refund_after_ms=None) -> None:
        """Send ``count`` requests to a host, which may refund their tokens later."""
        host = self.hosts[host_id]

        def done(decision: QuotaDecision) -> None:
            now_ms = self.network.now_ms
            self.decisions.append((now_ms, decision))
            if not decision.is_granted:
                return
            number = len(self.decisions)
            self.admitted_ms[number] = now_ms
            if refund_after_ms is not None:
                host.later(refund_after_ms, lambda: refund(number, decision))

        def refund(number: int, decision: QuotaDecision) -> None:
            del self.admitted_ms[number]
            host.pool().refund(decision.token_epoch)

        for _ in range(count):
            host.run(lambda: host.take(done))

    def available_tokens(self) -> float:
        """Return how many requests all hosts that are not paused could admit now."""
        unpaused = [host for host in self.hosts.values() if host.backlog is None]
        return sum(host.pool().available_tokens() for host in unpaused)

    def excess_tokens(self) -> float:
        """Return by how much admissions exceeded the bound in the worst window.

        The bound is the highest limit that was ever published, because a
        partitioned host does not receive a later one.
        """
        burst = max(limit.burst for limit in self.limits)
        rate_per_s = max(limit.rate_per_s for limit in self.limits)
        return worst_excess(self.admitted_ms.values(), burst, rate_per_s)


def worst_excess(admitted_ms, burst: float, rate_per_s: float) -> float:
    """Return the largest count above ``burst + rate * window`` over all windows.

    It equals how far a bucket that starts full and never refuses falls below
    zero.
    """
    level = burst
    last_ms = 0.0
    worst = 0.0
    for at_ms in sorted(admitted_ms):
        level = min(burst, level + (at_ms - last_ms) / 1_000.0 * rate_per_s) - 1.0
        last_ms = at_ms
        worst = max(worst, -level)
    return worst
