"""Static division of limits over entry hosts, the simplest baseline.

Every host takes an equal part of each account's rate and never hears of the
others' use. It holds the bound only while all hosts agree on their number.
"""

import itertools
from collections.abc import Callable

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.configuration import Configuration
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.ports import QuotaDecision
from gypsumfield.ports import QuotaPort
from gypsumfield.ports import SlotLease
from gypsumfield.ports import SlotPort
from gypsumfield.ports import SlotRefusal
from gypsumfield.ports import SlotUse


class _Bucket:
    def __init__(self, now_ms: float) -> None:
        self.tokens = 0.0
        self.updated_ms = now_ms

    def refill(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        elapsed_ms = now_ms - self.updated_ms
        self.updated_ms = now_ms
        self.tokens = min(burst, self.tokens + rate_per_s * elapsed_ms / MS_PER_S)


def static_quotas(
    configuration: Callable[[], Configuration],
    host_count: Callable[[], int],
    clock: Clock,
) -> QuotaPort:
    """Return account limits that divide rate and burst by the host count."""
    buckets: dict[str, _Bucket] = {}
    # A new host knows nothing of the past: it starts empty and fills from now.
    started_ms = clock.monotonic_ms()

    def take(account: str) -> QuotaDecision:
        limit = configuration().accounts.get(account)
        if limit is None:
            return QuotaDecision(False, 0.0, f"account {account!r} is not known")
        hosts = max(1, host_count())
        rate_per_s = limit.rate_per_s / hosts
        now_ms = clock.monotonic_ms()
        bucket = buckets.setdefault(account, _Bucket(started_ms))
        bucket.refill(rate_per_s, limit.burst / hosts, now_ms)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return QuotaDecision(True)
        wait_ms = (1.0 - bucket.tokens) / rate_per_s * MS_PER_S
        return QuotaDecision(False, wait_ms, f"account {account!r} is over its rate")

    def give_back(account: str, _decision: QuotaDecision) -> None:
        if account in buckets:
            buckets[account].tokens += 1.0

    return QuotaPort(take, give_back)


def static_slots(host_id: str, slot_limit: int) -> SlotPort:
    """Return admission that bounds this host's own requests a backend server."""
    in_use: dict[str, int] = {}
    numbers = itertools.count(1)

    def acquire(
        backend_server: str, _demand: GenerationDemand
    ) -> SlotLease | SlotRefusal:
        if in_use.get(backend_server, 0) >= slot_limit:
            return SlotRefusal(f"{backend_server} is full", MS_PER_S)
        in_use[backend_server] = in_use.get(backend_server, 0) + 1
        return SlotLease(f"{host_id}-{next(numbers)}", backend_server, "", host_id)

    def report_progress(_lease: SlotLease, _generated_tokens: int) -> None:
        return None

    def release(lease: SlotLease, _use: SlotUse) -> None:
        in_use[lease.backend_server] -= 1

    return SlotPort(acquire, report_progress, release)
