"""Places requests on backend servers: at once, or in fair order after a wait."""

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
BACKENDS_ASKED_LIMIT = 4
DEFAULT_RETRY_AFTER_MS = 1_000.0
NOBODY_ASKED = "no backend server may get it"
UNUSED = SlotUse(SlotOutcome.NOT_SENT)

_MESSAGES = {
    "queue_full": "too many requests wait for this service",
    "wait_too_long": "the wait for this service would be too long",
    "wait_expired": "no backend server had room in time",
}


class Placement(NamedTuple):
    """A backend server that bears a request, and the lease for it."""

    backend: Member
    lease: SlotLease


class DispatchDependencies(NamedTuple):
    """What dispatching needs from outside.

    Attributes:
        clock: Time.
        configuration: Returns the configuration in force.
        selector: Ranks backend servers.
        slots: Admission to backend servers.
        expected_tokens: Returns the predicted memory of a demand.
        record_queue_wait: Takes the profile's name and a wait in ms.
        emit: Takes events.
    """

    clock: Clock
    configuration: Callable[[], Configuration]
    selector: BackendSelector
    slots: SlotAllocator
    expected_tokens: Callable[[GenerationDemand], float]
    record_queue_wait: Callable[[str, float], None]
    emit: EmitEvent


class Dispatcher:
    """Places the requests of all services of one entry host."""

    def __init__(self, ports: DispatchDependencies) -> None:
        self._ports = ports
        self._lines: dict[str, _ServiceLine] = {}

    @property
    def queue_length(self) -> int:
        """Requests that wait."""
        return sum(len(line) for line in self._lines.values())

    def place(self, job: Job, tried: frozenset[str]) -> Placement:
        """Return a placement on a backend server that was not tried.

        Raises:
            RefusedError: No backend server may get the request, the queue is
                full, or the wait would be or was too long.
            CallerGoneError: The caller left while its request waited.
        """
        line = self._lines.get(job.service_name)
        if line is None:
            line = _ServiceLine(self._ports)
            self._lines[job.service_name] = line
        placement = line.place(job, tried)
        self._ports.selector.note_sent(
            job.demand, placement.backend.host_id, job.prefix_digests
        )
        return placement

    def rank(self, job: Job, tried: frozenset[str]) -> list[Member]:
        """Return the backend servers that may get the request, best first."""
        return self._ports.selector.rank(job.demand, tried, job.prefix_digests)

    def report_progress(self, placement: Placement, generated_tokens: int) -> None:
        """Tell how many tokens an answer has so far."""
        self._ports.slots.report_progress(placement.lease, generated_tokens)

    def release(self, job: Job, placement: Placement, use: SlotUse) -> None:
        """Return a placement with its evidence; must always be called once."""
        host_id = placement.backend.host_id
        selector = self._ports.selector
        self._ports.slots.release(placement.lease, use)
        selector.note_ended(host_id)
        if use.outcome is SlotOutcome.FAILED:
            selector.note_failure(job.demand, host_id)
        elif use.first_token_ms is not None:
            selector.note_success(job.demand, host_id, use.first_token_ms)
        self._lines[job.service_name].settle(job, use.generated_tokens)


class _Waiting(NamedTuple):
    job: Job
    tried: frozenset[str]
    result: AsyncResult


class _ServiceLine:
    """Queue of one service and the greenlet that serves it."""

    def __init__(self, ports: DispatchDependencies) -> None:
        self._ports = ports
        self._queue = FairQueue(0)
        self._waiting: dict[str, _Waiting] = {}
        self._wake = Event()
        self._greenlet: gevent.Greenlet | None = None
        self._last_refusal = ""

    def __len__(self) -> int:
        return len(self._queue)

    def place(self, job: Job, tried: frozenset[str]) -> Placement:
        """Return a placement, waiting where none is free.

        Raises:
            RefusedError: With a final answer.
            CallerGoneError: The caller left.
        """
        self._queue.queue_limit = job.profile.queue_limit
        if len(self._queue) == 0:
            placed = self._try(job, tried)
            if isinstance(placed, Placement):
                return placed
            if not self._rank(job, tried):
                raise RefusedError(_nobody_refusal(job))
        return self._wait(job, tried)

    def settle(self, job: Job, generated_tokens: int) -> None:
        """Charge what an answer took beyond the expectation, and look again."""
        served_tokens = job.demand.prompt_tokens + generated_tokens
        difference = served_tokens - self._ports.expected_tokens(job.demand)
        self._queue.charge(job.account, difference, self._weight(job))
        self._wake.set()

    def _wait(self, job: Job, tried: frozenset[str]) -> Placement:
        now_ms = self._ports.clock.monotonic_ms()
        waiting = _Waiting(job, tried, AsyncResult())
        self._waiting[job.request_id] = waiting
        try:
            outcome = self._queue.offer(now_ms, self._entry(job, now_ms))
            self._answer_refused(outcome.refused)
            if outcome.is_accepted:
                self._note_queued(job)
                self._ensure_running()
            placement = self._await_result(waiting)
        finally:
            self._waiting.pop(job.request_id, None)
            self._queue.cancel(job.request_id)
        waited_ms = self._ports.clock.monotonic_ms() - now_ms
        self._ports.record_queue_wait(job.service.profile, waited_ms)
        return placement

    def _await_result(self, waiting: _Waiting) -> Placement:
        abort = waiting.job.abort
        gone = CallerGoneError("the caller left while its request waited")
        abort.attach(lambda: waiting.result.set_exception(gone))
        try:
            placement: Placement = waiting.result.get()
        finally:
            abort.attach(None)
        return placement

    def _entry(self, job: Job, now_ms: float) -> QueueEntry:
        limit_ms = min(now_ms + job.profile.queue_wait_limit_ms, job.deadline_ms)
        return QueueEntry(
            demand=job.demand,
            expected_tokens=self._ports.expected_tokens(job.demand),
            arrived_ms=now_ms,
            start_deadline_ms=limit_ms,
            weight=self._weight(job),
        )

    def _weight(self, job: Job) -> float:
        account = self._ports.configuration().accounts.get(job.account)
        return account.weight if account else 1.0

    def _note_queued(self, job: Job) -> None:
        self._ports.emit(
            RequestQueued(
                request_id=job.request_id,
                account=job.account,
                service=job.service_name,
                queue_length=len(self._queue),
            )
        )

    def _ensure_running(self) -> None:
        if self._greenlet is None or self._greenlet.ready():
            self._greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        while len(self._queue):
            self._wake.clear()
            now_ms = self._ports.clock.monotonic_ms()
            self._answer_refused(tuple(self._queue.expire(now_ms)))
            if not self._place_next(now_ms):
                self._wake.wait(QUEUE_RETRY_INTERVAL_MS / MS_PER_S)

    def _place_next(self, now_ms: float) -> bool:
        excluded_accounts: set[str] = set()
        while (entry := self._queue.peek(now_ms, excluded_accounts)) is not None:
            waiting = self._waiting[entry.demand.request_id]
            placed = self._try(waiting.job, waiting.tried)
            if isinstance(placed, Placement):
                return self._hand_over(entry, waiting, placed)
            if not placed.is_account_held_back:
                return False
            excluded_accounts.add(entry.demand.account)
        return False

    def _hand_over(
        self, entry: QueueEntry, waiting: _Waiting, placed: Placement
    ) -> bool:
        if waiting.result.ready():
            # It was answered otherwise while the owner was asked.
            self._ports.slots.release(placed.lease, UNUSED)
            return True
        self._queue.take(entry, self._ports.clock.monotonic_ms())
        waiting.result.set(placed)
        return True

    def _try(self, job: Job, tried: frozenset[str]) -> Placement | SlotRefusal:
        refusal = SlotRefusal(NOBODY_ASKED, DEFAULT_RETRY_AFTER_MS)
        for backend in self._rank(job, tried)[:BACKENDS_ASKED_LIMIT]:
            lease = self._ports.slots.acquire(backend.host_id, job.demand)
            if isinstance(lease, SlotLease):
                return Placement(backend, lease)
            # Held back everywhere is what lets others pass by.
            is_first = refusal.reason == NOBODY_ASKED
            is_held_back = lease.is_account_held_back and (
                is_first or refusal.is_account_held_back
            )
            refusal = lease._replace(is_account_held_back=is_held_back)
        self._last_refusal = refusal.reason
        return refusal

    def _rank(self, job: Job, tried: frozenset[str]) -> list[Member]:
        return self._ports.selector.rank(job.demand, tried, job.prefix_digests)

    def _answer_refused(self, refused: tuple[QueueRefusal, ...]) -> None:
        for each in refused:
            waiting = self._waiting.get(each.entry.demand.request_id)
            if waiting is not None and not waiting.result.ready():
                refusal = _queue_refusal(each, self._last_refusal)
                waiting.result.set_exception(RefusedError(refusal))


def _queue_refusal(refused: QueueRefusal, slot_reason: str) -> Refusal:
    return Refusal(
        503,
        refused.code,
        f"{_MESSAGES[refused.code]}; last answer: {slot_reason}",
        retry_after_ms=refused.retry_after_ms,
    )


def _nobody_refusal(job: Job) -> Refusal:
    return Refusal(
        503,
        "no_backend_server",
        f"service {job.service_name!r} has no backend server that may get new work",
        retry_after_ms=DEFAULT_RETRY_AFTER_MS,
    )
