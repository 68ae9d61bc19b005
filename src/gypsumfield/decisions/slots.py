"""Slots of one backend server, granted as leases by the host that owns it.

A backend server starts cold with a single slot. The limit grows by one with
each answer that completed in time, unless the server reports itself as cold. It
falls at once when a request fails, is refused or is slow, and when the server
restarts or does not answer. The count of requests in flight covers everything
that may run on the server: leases, leases that expired without being returned,
and what the server reports.
"""

import math
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from gypsumfield.decisions.admission import is_heavy_account
from gypsumfield.decisions.engine_limits import EngineMemoryReport
from gypsumfield.decisions.engine_limits import MemoryBudget
from gypsumfield.decisions.engine_limits import StepTimeModel
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.decisions.workload import RunningGeneration
from gypsumfield.interfaces import SlotOutcome
from gypsumfield.interfaces import SlotRefusal
from gypsumfield.interfaces import SlotUse

COLD_LIMIT = 1
WARM_LIMIT = 256
LEASE_MS = 3_000.0
EXPIRED_LEASE_LIMIT_MS = 600_000.0
REPORT_LIFETIME_MS = 3_000.0
SLOW_FIRST_TOKEN_RATIO = 4.0
FIRST_TOKEN_WEIGHT = 0.2
RETRY_AFTER_COLD_MS = 500.0
RETRY_AFTER_FULL_MS = 100.0
CLOSED_LEASE_RETENTION_MS = 2 * LEASE_MS

ReadTarget = Callable[[str], float]
CanAdmit = Callable[[Sequence[RunningGeneration], GenerationDemand, int], bool]


def no_inter_token_target(_profile: str) -> float:
    """Return an infinite target time between tokens, for every profile."""
    return math.inf


def admit_always(
    _running: Sequence[RunningGeneration],
    _candidate: GenerationDemand,
    _memory_limit_tokens: int,
) -> bool:
    """Admit without a check of memory, for servers without a key-value cache."""
    return True


class LoadObservation(NamedTuple):
    """Load that a backend server reported.

    Attributes:
        boot_id: Boot of the server.
        is_cold: Whether the server is in its cold start and can serve only a low load.
        running_count: Requests that run there.
        waiting_count: Requests that wait there for memory.
        memory_limit_tokens: Size of its key-value cache; 0 when it has none.
        taken_at_ms: When the report was taken, on this host's monotonic clock.
        memory_used_tokens: Part of the key-value cache in use.
        preemption_count: Preemptions since its boot.
        step_time_ms: Duration of its latest decode step.
    """

    boot_id: str
    is_cold: bool
    running_count: int
    waiting_count: int
    memory_limit_tokens: int
    taken_at_ms: float
    memory_used_tokens: int = 0
    preemption_count: int = 0
    step_time_ms: float = 0.0

    @property
    def request_count(self) -> int:
        """Number of requests that run or wait on the server."""
        return self.running_count + self.waiting_count


class HeldLease(NamedTuple):
    """A lease as its holder reports it.

    Attributes:
        lease_id: Unique name, assigned by the holder.
        holder: Entry host that handles the request.
        boot_id: Boot of the backend server that the lease was granted for.
        demand: Size and account of the request.
        generated_tokens: Tokens generated for its answer so far.
    """

    lease_id: str
    holder: str
    boot_id: str
    demand: GenerationDemand
    generated_tokens: int = 0


class _Grant(NamedTuple):
    lease: HeldLease
    granted_at_ms: float
    expires_at_ms: float

    def has_expired(self, now_ms: float) -> bool:
        """Return whether the lease ended without being renewed or returned."""
        return self.expires_at_ms <= now_ms


class BackendSlots:
    """Grants slots of one backend server, on the host that owns it.

    Args:
        can_admit: Returns whether a candidate fits into the predicted memory.
        is_reporting: Whether the server reports its load. A reporting server
            that is cold gets no request without a recent report.
        warm_limit: Largest number of requests in flight.
        lease_ms: How long a lease lasts unless it is renewed.
        read_target_ms: Returns the target time between tokens of a profile.
    """

    def __init__(
        self,
        can_admit: CanAdmit = admit_always,
        is_reporting: bool = False,
        warm_limit: int = WARM_LIMIT,
        lease_ms: float = LEASE_MS,
        read_target_ms: ReadTarget = no_inter_token_target,
    ) -> None:
        self._read_target_ms = read_target_ms
        self._budget = MemoryBudget()
        self._step_times = StepTimeModel()
        self.limit = COLD_LIMIT
        self.boot_id = ""
        self.is_cold = True
        self.cold_reason = "its owner is new"
        self._can_admit = can_admit
        self._is_reporting = is_reporting
        self._warm_limit = warm_limit
        self._lease_ms = lease_ms
        self._grants: dict[str, _Grant] = {}
        self._closed_until_ms: dict[str, float] = {}
        self._next_closed_cleanup_ms = 0.0
        self._load: LoadObservation | None = None
        self._usual_first_token_ms: float | None = None
        self._degraded_at_ms = -math.inf

    def request(self, lease: HeldLease, now_ms: float) -> HeldLease | SlotRefusal:
        """Grant the lease, with this boot of the server filled in, or refuse.

        A request that is sent again gets the same answer and no second slot.
        """
        self._remove_expired(now_ms)
        existing = self._grants.get(lease.lease_id)
        if existing is not None and not existing.has_expired(now_ms):
            return existing.lease
        if existing is not None or lease.lease_id in self._closed_until_ms:
            return SlotRefusal("the lease is over", RETRY_AFTER_FULL_MS)
        refusal = self._find_refusal(lease.demand, now_ms)
        if refusal is not None:
            return refusal
        granted = lease._replace(boot_id=self.boot_id)
        expires_at_ms = now_ms + self._lease_ms
        self._grants[lease.lease_id] = _Grant(granted, now_ms, expires_at_ms)
        return granted

    def renew(self, lease: HeldLease, now_ms: float) -> None:
        """Renew a lease, or adopt one that an earlier owner granted."""
        if lease.lease_id in self._closed_until_ms:
            return
        existing = self._grants.get(lease.lease_id)
        # This host does not know when an adopted lease began, so its completion
        # is no evidence that the server has recovered.
        granted_at_ms = -math.inf if existing is None else existing.granted_at_ms
        expires_at_ms = now_ms + self._lease_ms
        self._grants[lease.lease_id] = _Grant(lease, granted_at_ms, expires_at_ms)

    def close_lease(
        self, lease_id: str, use: SlotUse, now_ms: float
    ) -> HeldLease | None:
        """Close a lease and adjust the limit by how its request ended.

        Only the first call for a lease has an effect on the limit.

        Returns:
            The lease, or None when it was no longer recorded.
        """
        self._closed_until_ms[lease_id] = now_ms + CLOSED_LEASE_RETENTION_MS
        grant = self._grants.pop(lease_id, None)
        if grant is not None and grant.lease.boot_id == self.boot_id:
            self._apply_use(use, grant, now_ms)
        return None if grant is None else grant.lease

    def observe_boot(self, boot_id: str, now_ms: float) -> None:
        """Record the boot of the server; a changed boot makes it cold."""
        if boot_id == self.boot_id:
            return
        self._turn_cold("its boot id changed", now_ms)
        self.boot_id = boot_id

    def observe(self, load: LoadObservation, now_ms: float) -> None:
        """Record a load report; one older than the latest is ignored."""
        if self._load is not None and load.taken_at_ms < self._load.taken_at_ms:
            return
        self._load = load
        self._update_limits(load, now_ms)
        self.observe_boot(load.boot_id, now_ms)
        if load.is_cold and not self.is_cold:
            self._turn_cold("it says that it is cold", now_ms)
        elif not load.is_cold and load.taken_at_ms > self._degraded_at_ms:
            self.is_cold = False
            if load.waiting_count == 0:
                # The server sustains what it runs without queueing, so a new
                # owner starts at that limit instead of ramping up to it.
                sustained_count = min(load.running_count, self._warm_limit)
                self.limit = max(self.limit, sustained_count)

    def _update_limits(self, load: LoadObservation, now_ms: float) -> None:
        self._step_times.observe(load.running_count, load.step_time_ms)
        report = EngineMemoryReport(
            load.memory_limit_tokens,
            load.memory_used_tokens,
            load.preemption_count,
            load.boot_id,
        )
        # The progress of leases is reported late, so their token counts lag
        # behind the reported memory. The difference belongs to requests of
        # others only when the server runs more requests than there are leases.
        accounted_tokens = load.memory_used_tokens
        if load.request_count > len(self._grants):
            accounted_tokens = sum(
                grant.lease.demand.prompt_tokens + grant.lease.generated_tokens
                for grant in self._grants.values()
            )
        self._budget.observe(report, accounted_tokens, now_ms)

    def observe_no_answer(self, now_ms: float) -> None:
        """Record that the server did not answer; it may be restarting."""
        self._turn_cold("it did not answer", now_ms)

    @property
    def granted_count(self) -> int:
        """Number of recorded leases that were not returned."""
        return len(self._grants)

    def in_flight_count(self, now_ms: float) -> int:
        """Return an upper bound of the requests that run on the server now."""
        leased_count = sum(
            self.is_cold or not grant.has_expired(now_ms)
            for grant in self._grants.values()
        )
        return max(leased_count, self._reported_count(now_ms))

    def free_count(self, now_ms: float) -> int:
        """Return how many slots could be granted now, without regard to memory."""
        return max(0, self._current_limit(now_ms) - self.in_flight_count(now_ms))

    def _current_limit(self, now_ms: float) -> int:
        # Without reports a restart would not be noticed.
        if self._is_reporting and not self._has_report(now_ms):
            return COLD_LIMIT
        return self.limit

    def _find_refusal(
        self, demand: GenerationDemand, now_ms: float
    ) -> SlotRefusal | None:
        if self.is_cold and self._is_reporting and not self._has_report(now_ms):
            return SlotRefusal(
                "the backend server has not reported its load", RETRY_AFTER_COLD_MS
            )
        in_flight_count = self.in_flight_count(now_ms)
        if in_flight_count >= self._current_limit(now_ms):
            return self._refuse_full()
        batch_limit = self._step_times.batch_limit(self._read_target_ms(demand.profile))
        if batch_limit is not None and in_flight_count >= batch_limit:
            return SlotRefusal(
                "one more would pass the target between tokens", RETRY_AFTER_FULL_MS
            )
        if not self._has_memory_for(demand, now_ms):
            return SlotRefusal(
                "the memory of the backend server is full",
                RETRY_AFTER_FULL_MS,
                is_heavy_account(self._running(now_ms), demand.account),
            )
        return None

    def _refuse_full(self) -> SlotRefusal:
        if self.is_cold:
            return SlotRefusal(
                f"the backend server is cold: {self.cold_reason}", RETRY_AFTER_COLD_MS
            )
        return SlotRefusal(
            "all slots of the backend server are in use", RETRY_AFTER_FULL_MS
        )

    def _apply_use(self, use: SlotUse, grant: _Grant, now_ms: float) -> None:
        if use.outcome is SlotOutcome.FAILED:
            self._turn_cold("a request failed", now_ms)
        elif use.outcome is SlotOutcome.REFUSED:
            self._turn_cold("it refused a request", now_ms)
        elif use.outcome is SlotOutcome.SLOW:
            self.limit = max(COLD_LIMIT, self.limit // 2)
            self._degraded_at_ms = now_ms
        elif use.outcome is SlotOutcome.COMPLETED:
            self._apply_completion(use, grant, now_ms)

    def _apply_completion(self, use: SlotUse, grant: _Grant, now_ms: float) -> None:
        if grant.granted_at_ms < self._degraded_at_ms:
            return
        if use.first_token_ms is not None and self._is_first_token_slow(
            use.first_token_ms
        ):
            self._turn_cold("its first token took much longer than usual", now_ms)
            return
        if self._load is not None and self._load.is_cold:
            return
        self.is_cold = False
        self.limit = min(self._warm_limit, self.limit + 1)

    def _is_first_token_slow(self, first_token_ms: float) -> bool:
        usual_ms = self._usual_first_token_ms
        if usual_ms is None:
            self._usual_first_token_ms = first_token_ms
            return False
        if first_token_ms > SLOW_FIRST_TOKEN_RATIO * usual_ms:
            return True
        change_ms = FIRST_TOKEN_WEIGHT * (first_token_ms - usual_ms)
        self._usual_first_token_ms = usual_ms + change_ms
        return False

    def _turn_cold(self, reason: str, now_ms: float) -> None:
        self.limit = COLD_LIMIT
        self.is_cold = True
        self.cold_reason = reason
        self._degraded_at_ms = now_ms
        self._usual_first_token_ms = None

    def _has_memory_for(self, demand: GenerationDemand, now_ms: float) -> bool:
        if self._load is None or self._load.memory_limit_tokens <= 0:
            return True
        limit_tokens = self._budget.limit_tokens(now_ms)
        return self._can_admit(self._running(now_ms), demand, limit_tokens)

    def _running(self, now_ms: float) -> list[RunningGeneration]:
        return [
            RunningGeneration(grant.lease.demand, grant.lease.generated_tokens)
            for grant in self._grants.values()
            if not grant.has_expired(now_ms)
        ]

    def _has_report(self, now_ms: float) -> bool:
        load = self._load
        return load is not None and now_ms - load.taken_at_ms <= REPORT_LIFETIME_MS

    def _reported_count(self, now_ms: float) -> int:
        if self._load is None or not self._has_report(now_ms):
            return 0
        # The report does not contain requests granted after it was taken.
        taken_at_ms = self._load.taken_at_ms
        later_count = sum(
            grant.granted_at_ms >= taken_at_ms for grant in self._grants.values()
        )
        return self._load.request_count + later_count

    def _remove_expired(self, now_ms: float) -> None:
        self._grants = {
            lease_id: grant
            for lease_id, grant in self._grants.items()
            if not self._has_surely_ended(grant, now_ms)
        }
        if now_ms < self._next_closed_cleanup_ms:
            return
        self._next_closed_cleanup_ms = now_ms + CLOSED_LEASE_RETENTION_MS
        self._closed_until_ms = {
            lease_id: until_ms
            for lease_id, until_ms in self._closed_until_ms.items()
            if until_ms > now_ms
        }

    def _has_surely_ended(self, grant: _Grant, now_ms: float) -> bool:
        """Return whether the request of an expired lease can no longer run.

        A holder sends its request before the lease expires. A report that was taken
        after the expiry and shows an empty server proves that the request has ended.
        """
        if not grant.has_expired(now_ms):
            return False
        if now_ms - grant.expires_at_ms >= EXPIRED_LEASE_LIMIT_MS:
            return True
        load = self._load
        if load is None or load.request_count > 0:
            return False
        return load.taken_at_ms >= grant.expires_at_ms
