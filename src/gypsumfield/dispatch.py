"""Places requests on backend servers, in fair order while all are full."""

from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.event import AsyncResult
from gevent.event import Event

from gypsumfield.backend_selection import BackendSelector
from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.configuration import Configuration
from gypsumfield.decisions.fairness import FairQueue
from gypsumfield.decisions.fairness import QueueEntry
from gypsumfield.decisions.fairness import QueueRefusal
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.events import RequestQueued
from gypsumfield.exceptions import CallerGoneError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.interfaces import EmitEvent
from gypsumfield.interfaces import SlotAllocator
from gypsumfield.interfaces import SlotLease
from gypsumfield.interfaces import SlotOutcome
from gypsumfield.interfaces import SlotRefusal
from gypsumfield.interfaces import SlotUse
from gypsumfield.jobs import Job
from gypsumfield.platform_api import Member

QUEUE_RETRY_INTERVAL_MS = 20.0
MAX_SERVERS_QUERIED = 4
DEFAULT_RETRY_AFTER_MS = 1_000.0
NO_SERVER_QUERIED = "no backend server may get it"
UNUSED_SLOT = SlotUse(SlotOutcome.NOT_SENT)

_REFUSAL_MESSAGES = {
    "queue_full": "too many requests wait for this service",
    "wait_too_long": "the wait for this service would be too long",
    "wait_expired": "no backend server had room in time",
}


class Placement(NamedTuple):
    """A backend server that admitted a request, and the lease of the slot."""

    backend: Member
    lease: SlotLease


class DispatchDependencies(NamedTuple):
    """Dependencies of a `Dispatcher`.

    Attributes:
        clock: Monotonic clock.
        configuration: Returns the configuration in force.
        selector: Ranks backend servers by suitability for a request.
        slots: Admits requests to backend servers.
        expected_tokens: Returns the predicted key-value cache memory of a
            demand, in tokens.
        record_queue_wait: Records a queue wait in ms under a profile's name.
        emit: Writes an event to the log.
    """

    clock: Clock
    configuration: Callable[[], Configuration]
    selector: BackendSelector
    slots: SlotAllocator
    expected_tokens: Callable[[GenerationDemand], float]
    record_queue_wait: Callable[[str, float], None]
    emit: EmitEvent


class Dispatcher:
    """Places the requests of all services on one entry host.

    Each service has a queue of its own.
    """

    def __init__(self, deps: DispatchDependencies) -> None:
        self._deps = deps
        self._service_queues: dict[str, _ServiceQueue] = {}

    @property
    def queue_length(self) -> int:
        """Number of queued requests of all services."""
        return sum(len(queue) for queue in self._service_queues.values())

    def place(self, job: Job, tried: frozenset[str]) -> Placement:
        """Acquire a slot for a request, queueing it while no slot is free.

        Args:
            job: Request to place. Its profile limits the queue and the wait.
            tried: Host ids of the backend servers that are not considered.

        Raises:
            RefusedError: No backend server is eligible, the queue is full, or
                the queue wait is estimated to exceed or has exceeded its limit.
            CallerGoneError: The caller disconnected while its request was queued.
        """
        service_queue = self._service_queues.get(job.service_name)
        if service_queue is None:
            service_queue = _ServiceQueue(self._deps)
            self._service_queues[job.service_name] = service_queue
        placement = service_queue.place(job, tried)
        self._deps.selector.record_sent(
            job.demand, placement.backend.host_id, job.prefix_digests
        )
        return placement

    def rank(self, job: Job, tried: frozenset[str]) -> list[Member]:
        """Return the eligible backend servers that are not in `tried`, best first."""
        return self._deps.selector.rank(job.demand, tried, job.prefix_digests)

    def report_progress(self, placement: Placement, generated_tokens: int) -> None:
        """Report to the slot's owner how many tokens were generated so far."""
        self._deps.slots.report_progress(placement.lease, generated_tokens)

    def release(self, job: Job, placement: Placement, use: SlotUse) -> None:
        """Release a placement and record how its request ended.

        Must be called exactly once for each placement.
        """
        host_id = placement.backend.host_id
        selector = self._deps.selector
        self._deps.slots.release(placement.lease, use)
        selector.record_ended(host_id)
        if use.outcome is SlotOutcome.FAILED:
            selector.record_failure(job.demand, host_id)
        elif use.first_token_ms is not None:
            selector.record_success(job.demand, host_id, use.first_token_ms)
        self._service_queues[job.service_name].charge_account(job, use.generated_tokens)


class _QueuedRequest(NamedTuple):
    """A request that waits for a slot.

    Attributes:
        job: The request.
        tried: Servers that it was sent to.
        result: A placement, a refusal, or None if the caller has left.
    """

    job: Job
    tried: frozenset[str]
    result: AsyncResult


class _ServiceQueue:
    """Queue of one service, and the greenlet that places the queued requests."""

    def __init__(self, deps: DispatchDependencies) -> None:
        self._deps = deps
        self._queue = FairQueue(0)
        self._queued_requests: dict[str, _QueuedRequest] = {}
        self._slot_may_be_free = Event()
        self._greenlet: gevent.Greenlet | None = None
        self._last_slot_refusal = ""

    def __len__(self) -> int:
        return len(self._queue)

    def place(self, job: Job, tried: frozenset[str]) -> Placement:
        """Acquire a slot at once, or wait for one in the queue.

        Raises:
            RefusedError: The request is refused, as `Dispatcher.place` says.
            CallerGoneError: The caller disconnected.
        """
        self._queue.queue_limit = job.profile.queue_limit
        if len(self._queue) == 0:
            slot_result = self._acquire_slot(job, tried)
            if isinstance(slot_result, Placement):
                return slot_result
            if not self._rank(job, tried):
                raise RefusedError(_no_server_refusal(job))
        return self._wait_for_slot(job, tried)

    def charge_account(self, job: Job, generated_tokens: int) -> None:
        """Charge the account for tokens beyond the expected number.

        The charge is negative when the answer was shorter than expected. Also wakes
        the queue, because a slot may have become free.
        """
        served_tokens = job.demand.prompt_tokens + generated_tokens
        difference = served_tokens - self._deps.expected_tokens(job.demand)
        self._queue.charge(job.account, difference, self._weight(job))
        self._slot_may_be_free.set()

    def _wait_for_slot(self, job: Job, tried: frozenset[str]) -> Placement:
        now_ms = self._deps.clock.monotonic_ms()
        queued = _QueuedRequest(job, tried, AsyncResult())
        self._queued_requests[job.request_id] = queued
        try:
            offer_outcome = self._queue.offer(
                now_ms, self._build_queue_entry(job, now_ms)
            )
            self._send_refusals(offer_outcome.refused)
            if offer_outcome.is_accepted:
                self._log_queued(job)
                self._ensure_greenlet()
            placement = self._await_result(queued)
        finally:
            self._queued_requests.pop(job.request_id, None)
            self._queue.cancel(job.request_id)
        waited_ms = self._deps.clock.monotonic_ms() - now_ms
        self._deps.record_queue_wait(job.service.profile, waited_ms)
        return placement

    def _await_result(self, queued: _QueuedRequest) -> Placement:
        abort = queued.job.abort
        abort.attach(lambda: queued.result.set(None))
        try:
            outcome: Placement | Refusal | None = queued.result.get()
        finally:
            abort.attach(None)
        if outcome is None:
            raise CallerGoneError(
                "the caller disconnected while its request was queued"
            )
        if isinstance(outcome, Refusal):
            raise RefusedError(outcome)
        return outcome

    def _build_queue_entry(self, job: Job, now_ms: float) -> QueueEntry:
        start_deadline_ms = min(
            now_ms + job.profile.queue_wait_limit_ms, job.deadline_ms
        )
        return QueueEntry(
            demand=job.demand,
            expected_tokens=self._deps.expected_tokens(job.demand),
            arrived_ms=now_ms,
            start_deadline_ms=start_deadline_ms,
            weight=self._weight(job),
        )

    def _weight(self, job: Job) -> float:
        account = self._deps.configuration().accounts.get(job.account)
        return account.weight if account else 1.0

    def _log_queued(self, job: Job) -> None:
        self._deps.emit(
            RequestQueued(
                request_id=job.request_id,
                account=job.account,
                service=job.service_name,
                queue_length=len(self._queue),
            )
        )

    def _ensure_greenlet(self) -> None:
        if self._greenlet is None or self._greenlet.ready():
            self._greenlet = gevent.spawn(self._serve_queue)

    def _serve_queue(self) -> None:
        while len(self._queue):
            self._slot_may_be_free.clear()
            now_ms = self._deps.clock.monotonic_ms()
            self._send_refusals(tuple(self._queue.expire(now_ms)))
            if not self._place_next(now_ms):
                self._slot_may_be_free.wait(QUEUE_RETRY_INTERVAL_MS / MS_PER_S)

    def _place_next(self, now_ms: float) -> bool:
        excluded_accounts: set[str] = set()
        while (entry := self._queue.peek(now_ms, excluded_accounts)) is not None:
            queued = self._queued_requests[entry.demand.request_id]
            slot_result = self._acquire_slot(queued.job, queued.tried)
            if isinstance(slot_result, Placement):
                return self._deliver_placement(entry, queued, slot_result)
            if not slot_result.is_account_held_back:
                return False
            excluded_accounts.add(entry.demand.account)
        return False

    def _deliver_placement(
        self, entry: QueueEntry, queued: _QueuedRequest, placement: Placement
    ) -> bool:
        if queued.result.ready():
            # The caller disconnected or the entry expired during the slot request.
            self._deps.slots.release(placement.lease, UNUSED_SLOT)
            return True
        self._queue.take(entry, self._deps.clock.monotonic_ms())
        queued.result.set(placement)
        return True

    def _acquire_slot(self, job: Job, tried: frozenset[str]) -> Placement | SlotRefusal:
        refusal = SlotRefusal(NO_SERVER_QUERIED, DEFAULT_RETRY_AFTER_MS)
        for backend in self._rank(job, tried)[:MAX_SERVERS_QUERIED]:
            lease = self._deps.slots.acquire(backend.host_id, job.demand)
            if isinstance(lease, SlotLease):
                return Placement(backend, lease)
            # The request of another account may overtake this one only if all queried
            # servers refused because of the limits of this account.
            is_first_refusal = refusal.reason == NO_SERVER_QUERIED
            is_held_back = lease.is_account_held_back and (
                is_first_refusal or refusal.is_account_held_back
            )
            refusal = lease._replace(is_account_held_back=is_held_back)
        self._last_slot_refusal = refusal.reason
        return refusal

    def _rank(self, job: Job, tried: frozenset[str]) -> list[Member]:
        return self._deps.selector.rank(job.demand, tried, job.prefix_digests)

    def _send_refusals(self, refused: tuple[QueueRefusal, ...]) -> None:
        for queue_refusal in refused:
            queued = self._queued_requests.get(queue_refusal.entry.demand.request_id)
            if queued is not None and not queued.result.ready():
                refusal = _refusal_from_queue(queue_refusal, self._last_slot_refusal)
                queued.result.set(refusal)


def _refusal_from_queue(refused: QueueRefusal, slot_reason: str) -> Refusal:
    return Refusal(
        503,
        refused.code,
        f"{_REFUSAL_MESSAGES[refused.code]}; last answer: {slot_reason}",
        retry_after_ms=refused.retry_after_ms,
    )


def _no_server_refusal(job: Job) -> Refusal:
    return Refusal(
        503,
        "no_backend_server",
        f"service {job.service_name!r} has no backend server that may get new work",
        retry_after_ms=DEFAULT_RETRY_AFTER_MS,
    )
