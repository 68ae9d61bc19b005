"""Slots of one backend server, granted by its owner as leases.

A backend server starts cold with a single slot. The limit grows by one with
each answer that was completed in time, while the server itself does not call
itself cold, and falls at once on trouble. The bound counts everything that may
run there: leases, leases that ran out without being returned, and what the
server reports.
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
from gypsumfield.ports import SlotOutcome
from gypsumfield.ports import SlotRefusal
from gypsumfield.ports import SlotUse

COLD_LIMIT = 1
WARM_LIMIT = 256
LEASE_MS = 3_000.0
LOST_LEASE_LIMIT_MS = 600_000.0
REPORT_LIFETIME_MS = 3_000.0
FIRST_TOKEN_JUMP_RATIO = 4.0
FIRST_TOKEN_WEIGHT = 0.2
RETRY_AFTER_COLD_MS = 500.0
RETRY_AFTER_FULL_MS = 100.0
CLOSED_LEASE_MEMORY_MS = 2 * LEASE_MS

ReadTarget = Callable[[str], float]
CanAdmit = Callable[[Sequence[RunningGeneration], GenerationDemand, int], bool]


def no_inter_token_target(_profile: str) -> float:
    """Set no target between tokens."""
    return math.inf


def admit_always(
    _running: Sequence[RunningGeneration],
    _candidate: GenerationDemand,
    _memory_limit_tokens: int,
) -> bool:
    """Admit by slots alone, for backend servers without token memory."""
    return True


class LoadObservation(NamedTuple):
    """What a backend server said about itself.

    Attributes:
        boot_id: Boot of the server.
        is_cold: Whether it bears only a little load.
        running_count: Requests that run there.
        waiting_count: Requests that wait there for memory.
        memory_limit_tokens: Its key-value memory; 0 when it has none.
        taken_at_ms: When it was so, on this host's monotonic clock.
        memory_used_tokens: Key-value memory in use.
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
        """Requests that run or wait there."""
        return self.running_count + self.waiting_count


class HeldLease(NamedTuple):
    """A lease as its holder reports it.

    Attributes:
        lease_id: Unique name, chosen by the holder.
        holder: Entry host that carries the request.
        boot_id: Boot of the backend server that it was granted for.
        demand: What the request asks for.
        generated_tokens: Tokens that its answer has so far.
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

    def is_lost(self, now_ms: float) -> bool:
        """Return whether the holder has let the lease run out."""
        return self.expires_at_ms <= now_ms


class BackendSlots:
    """Grants slots of one backend server, on the host that owns it.

    Args:
        can_admit: Judges a candidate by predicted memory.
        is_reporting: Whether the server reports its load. While it is cold, a
            reporting server gets nothing without a recent report.
        warm_limit: Largest number of requests in flight.
        lease_ms: How long a lease lasts unless it is renewed.
        read_target_ms: Returns the target between tokens of a profile.
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
        self._may_admit = can_admit
        self._is_reporting = is_reporting
        self._warm_limit = warm_limit
        self._lease_ms = lease_ms
        self._grants: dict[str, _Grant] = {}
        self._closed_until_ms: dict[str, float] = {}
        self._forget_closed_ms = 0.0
        self._load: LoadObservation | None = None
        self._usual_first_token_ms: float | None = None
        self._trouble_at_ms = -math.inf

    def request(self, lease: HeldLease, now_ms: float) -> HeldLease | SlotRefusal:
        """Grant the lease, with this boot of the server filled in, or refuse.

        A repeated request gets the same answer and no second slot.
        """
        self._forget_old(now_ms)
        known = self._grants.get(lease.lease_id)
        if known is not None and not known.is_lost(now_ms):
            return known.lease
        if known is not None or lease.lease_id in self._closed_until_ms:
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
        known = self._grants.get(lease.lease_id)
        # Nobody here saw when an adopted lease began: it is no evidence that
        # the server has recovered from a trouble.
        granted_at_ms = -math.inf if known is None else known.granted_at_ms
        expires_at_ms = now_ms + self._lease_ms
        self._grants[lease.lease_id] = _Grant(lease, granted_at_ms, expires_at_ms)

    def close_lease(
        self, lease_id: str, use: SlotUse, now_ms: float
    ) -> HeldLease | None:
        """Close a lease and learn from its evidence, once.

        Returns:
            The lease, or None when it was not known any more.
        """
        self._closed_until_ms[lease_id] = now_ms + CLOSED_LEASE_MEMORY_MS
        grant = self._grants.pop(lease_id, None)
        if grant is not None and grant.lease.boot_id == self.boot_id:
            self._learn(use, grant, now_ms)
        return None if grant is None else grant.lease

    def observe_boot(self, boot_id: str, now_ms: float) -> None:
        """Take in the boot of the server; another one than before is cold."""
        if boot_id == self.boot_id:
            return
        self._turn_cold("its boot id changed", now_ms)
        self.boot_id = boot_id

    def observe(self, load: LoadObservation, now_ms: float) -> None:
        """Take in what the server said; an older statement is dropped."""
        if self._load is not None and load.taken_at_ms < self._load.taken_at_ms:
            return
        self._load = load
        self._learn_limits(load, now_ms)
        self.observe_boot(load.boot_id, now_ms)
        if load.is_cold and not self.is_cold:
            self._turn_cold("it says that it is cold", now_ms)
        elif not load.is_cold and load.taken_at_ms > self._trouble_at_ms:
            self.is_cold = False
            if load.waiting_count == 0:
                # It bears what it runs, so a new owner need not ramp up to it.
                borne_count = min(load.running_count, self._warm_limit)
                self.limit = max(self.limit, borne_count)

    def _learn_limits(self, load: LoadObservation, now_ms: float) -> None:
        self._step_times.observe(load.running_count, load.step_time_ms)
        memory_report = EngineMemoryReport(
            load.memory_limit_tokens,
            load.memory_used_tokens,
            load.preemption_count,
            load.boot_id,
        )
        # Leases tell their progress late. Memory is somebody else's only when
        # the server runs more than the leases.
        accounted_tokens = load.memory_used_tokens
        if load.request_count > len(self._grants):
            accounted_tokens = sum(
                grant.lease.demand.prompt_tokens + grant.lease.generated_tokens
                for grant in self._grants.values()
            )
        self._budget.observe(memory_report, accounted_tokens, now_ms)

    def observe_no_answer(self, now_ms: float) -> None:
        """Take in that the server did not answer: it may be restarting."""
        self._turn_cold("it did not answer", now_ms)

    @property
    def granted_count(self) -> int:
        """Leases that are known and were not returned."""
        return len(self._grants)

    def in_flight_count(self, now_ms: float) -> int:
        """Return the most requests that may run on the server now."""
        own_count = sum(
            self.is_cold or not grant.is_lost(now_ms) for grant in self._grants.values()
        )
        return max(own_count, self._reported_count(now_ms))

    def free_count(self, now_ms: float) -> int:
        """Return how many slots could be granted now, memory aside."""
        return max(0, self._limit_now(now_ms) - self.in_flight_count(now_ms))

    def _limit_now(self, now_ms: float) -> int:
        # Without reports a restart would go unnoticed.
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
        if in_flight_count >= self._limit_now(now_ms):
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

    def _learn(self, use: SlotUse, grant: _Grant, now_ms: float) -> None:
        if use.outcome is SlotOutcome.FAILED:
            self._turn_cold("a request failed", now_ms)
        elif use.outcome is SlotOutcome.REFUSED:
            self._turn_cold("it refused a request", now_ms)
        elif use.outcome is SlotOutcome.SLOW:
            self.limit = max(COLD_LIMIT, self.limit // 2)
            self._trouble_at_ms = now_ms
        elif use.outcome is SlotOutcome.COMPLETED:
            self._learn_completed(use, grant, now_ms)

    def _learn_completed(self, use: SlotUse, grant: _Grant, now_ms: float) -> None:
        if grant.granted_at_ms < self._trouble_at_ms:
            return
        if use.first_token_ms is not None and self._is_jump(use.first_token_ms):
            self._turn_cold("its first token took much longer than usual", now_ms)
            return
        if self._load is not None and self._load.is_cold:
            return
        self.is_cold = False
        self.limit = min(self._warm_limit, self.limit + 1)

    def _is_jump(self, first_token_ms: float) -> bool:
        usual_ms = self._usual_first_token_ms
        if usual_ms is None:
            self._usual_first_token_ms = first_token_ms
            return False
        if first_token_ms > FIRST_TOKEN_JUMP_RATIO * usual_ms:
            return True
        change_ms = FIRST_TOKEN_WEIGHT * (first_token_ms - usual_ms)
        self._usual_first_token_ms = usual_ms + change_ms
        return False

    def _turn_cold(self, reason: str, now_ms: float) -> None:
        self.limit = COLD_LIMIT
        self.is_cold = True
        self.cold_reason = reason
        self._trouble_at_ms = now_ms
        self._usual_first_token_ms = None

    def _has_memory_for(self, demand: GenerationDemand, now_ms: float) -> bool:
        if self._load is None or self._load.memory_limit_tokens <= 0:
            return True
        limit_tokens = self._budget.limit_tokens(now_ms)
        return self._may_admit(self._running(now_ms), demand, limit_tokens)

    def _running(self, now_ms: float) -> list[RunningGeneration]:
        return [
            RunningGeneration(grant.lease.demand, grant.lease.generated_tokens)
            for grant in self._grants.values()
            if not grant.is_lost(now_ms)
        ]

    def _has_report(self, now_ms: float) -> bool:
        load = self._load
        return load is not None and now_ms - load.taken_at_ms <= REPORT_LIFETIME_MS

    def _reported_count(self, now_ms: float) -> int:
        if self._load is None or not self._has_report(now_ms):
            return 0
        # Requests granted after the report was taken are not in it yet.
        taken_at_ms = self._load.taken_at_ms
        later_count = sum(
            grant.granted_at_ms >= taken_at_ms for grant in self._grants.values()
        )
        return self._load.request_count + later_count

    def _forget_old(self, now_ms: float) -> None:
        self._grants = {
            lease_id: grant
            for lease_id, grant in self._grants.items()
            if not self._is_surely_over(grant, now_ms)
        }
        if now_ms < self._forget_closed_ms:
            return
        self._forget_closed_ms = now_ms + CLOSED_LEASE_MEMORY_MS
        self._closed_until_ms = {
            lease_id: until_ms
            for lease_id, until_ms in self._closed_until_ms.items()
            if until_ms > now_ms
        }

    def _is_surely_over(self, grant: _Grant, now_ms: float) -> bool:
        """Return whether a lost lease's request can run no longer.

        A holder sends within the lease, so a report taken after its end that
        shows an empty server proves that the request has ended.
        """
        if not grant.is_lost(now_ms):
            return False
        if now_ms - grant.expires_at_ms >= LOST_LEASE_LIMIT_MS:
            return True
        load = self._load
        if load is None or load.request_count > 0:
            return False
        return load.taken_at_ms >= grant.expires_at_ms
