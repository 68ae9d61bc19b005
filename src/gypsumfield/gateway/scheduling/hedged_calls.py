"""Sends repeatable calls to plain services twice if the first answer is late."""

import math
from collections.abc import Callable
from typing import Generic
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

import gevent
from gevent.event import Event as Signal

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.loop_lag import name_greenlet
from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.fleet_shares import RetryShare
from gypsumfield.decisions.hedging import Decline
from gypsumfield.decisions.hedging import decline_reason
from gypsumfield.decisions.hedging import HedgeQuery
from gypsumfield.decisions.hedging import HedgeShare
from gypsumfield.decisions.hedging import LatencyWindow
from gypsumfield.decisions.hedging import may_hedge
from gypsumfield.decisions.hedging import ServerState
from gypsumfield.events import HedgeEnded
from gypsumfield.events import HedgeSent
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import CallKind
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.gateway.server_placement import ServerPlacement
from gypsumfield.held_memory import HeldMemory
from gypsumfield.held_memory import HeldPart
from gypsumfield.held_memory import Hold
from gypsumfield.interfaces import EmitEvent
from gypsumfield.verdicts import RunVerdict

SERVER_ERROR_STATUS = 500
REFUSED_CODE = "refused"
LOST_REASON = "another attempt answered first"
# From the failure that says least about whether the call may have run.
_VERDICT_ORDER = (RunVerdict.NOT_RUN, RunVerdict.MAY_HAVE_RUN, RunVerdict.RAN)


class Answer(Protocol):
    """Answer of a server whose body was read to its end."""

    @property
    def status(self) -> int:
        """HTTP status of the answer."""

    @property
    def body(self) -> bytes:
        """The whole body."""


AnswerT = TypeVar("AnswerT", bound=Answer)


class HedgeDependencies(NamedTuple):
    """Dependencies of `HedgedCalls`.

    Attributes:
        ratio: The operator's share of hedges in the first attempts; 0 for none.
        catalogue: Records of servers.
        ledger: Runs in flight.
        notices: Pauses, limits and brittleness that servers have named.
        retry_share: Returns this host's share of the retries of a service.
        host_count: Returns how many hosts may exist, or None while too little is known.
        is_stopping: Returns whether the host is stopping.
        memory: Counts the bytes that attempts hold.
        record_declined: Takes the reason against a hedge, for the metrics.
        clock: Monotonic clock.
        emit: Writes an event to the log.
    """

    ratio: float
    catalogue: Catalogue
    ledger: Ledger
    notices: ServerNotices
    retry_share: Callable[[str], RetryShare]
    host_count: Callable[[], int | None]
    is_stopping: Callable[[], bool]
    memory: HeldMemory
    record_declined: Callable[[str], None]
    clock: Clock
    emit: EmitEvent


class PlannedAttempt(NamedTuple, Generic[AnswerT]):
    """An attempt that is about to be sent.

    Attributes:
        server: Its server.
        send: Sends it, under the abort handle and the hold of the job that it gets, and
            returns the answer; raises `BackendError`.
    """

    server: BackendServer
    send: Callable[[Job], AnswerT]


class _Service:
    """What a host remembers of a service for its hedges."""

    def __init__(self, ratio: float) -> None:
        self.latencies = LatencyWindow()
        self.share = HedgeShare(ratio)
        self.refused_ms = -math.inf


class HedgedCalls:
    """Sends calls, and hedges those whose first attempt has no answer in time."""

    def __init__(self, deps: HedgeDependencies) -> None:
        self._deps = deps
        self._services: dict[str, _Service] = {}

    def record_latency(self, service: str, latency_ms: float) -> None:
        """Record the time that a server took for a usable answer."""
        now_ms = self._deps.clock.monotonic_ms()
        self._service(service).latencies.record(latency_ms, now_ms)

    def record_failure(self, service: str, error: BackendError) -> None:
        """Record a failed attempt; refusals show that servers are short of slots."""
        if error.code == REFUSED_CODE:
            self._service(service).refused_ms = self._deps.clock.monotonic_ms()

    def send(
        self,
        job: Job,
        first: PlannedAttempt[AnswerT],
        place_second: Callable[[], ServerPlacement | None],
        begin_second: Callable[[ServerPlacement], PlannedAttempt[AnswerT]],
    ) -> AnswerT:
        """Send the first attempt of a call, and a second one if its answer is late.

        Args:
            job: The call.
            first: The first attempt.
            place_second: Selects another server, or returns None.
            begin_second: Counts and logs the second attempt, on the selected server.

        Returns:
            The first usable answer; the other attempt has been cancelled. A failure
            status is returned only if no other answer comes.

        Raises:
            BackendError: All attempts failed; this failure says most about whether the
                call may have run.
        """
        is_repeatable = job.route.kind is CallKind.IDEMPOTENT
        if not may_hedge(is_repeatable, job.route.max_attempts, self._deps.ratio):
            return first.send(job)
        service = self._service(job.service)
        service.share.record_first()
        started_ms = self._deps.clock.monotonic_ms()
        delay_ms = service.latencies.delay_ms(job.route.target_latency_ms, started_ms)
        race: _Race[AnswerT] = _Race(job, self._deps.memory)
        try:
            race.start(first)
            if race.wait(delay_ms):
                return race.result()
            second = self._second_attempt(job, delay_ms, place_second, begin_second)
            if second is None:
                race.wait()
                return race.result()
            race.start(second)
            self._log_sent(job, first.server, second.server, delay_ms)
            race.wait()
            self._record_end(job, race, started_ms)
            return race.result()
        finally:
            race.close()

    def _second_attempt(
        self,
        job: Job,
        delay_ms: float,
        place_second: Callable[[], ServerPlacement | None],
        begin_second: Callable[[ServerPlacement], PlannedAttempt[AnswerT]],
    ) -> PlannedAttempt[AnswerT] | None:
        deps = self._deps
        service = self._service(job.service)
        now_ms = deps.clock.monotonic_ms()
        placement = None
        reason = decline_reason(
            HedgeQuery(
                sample_count=service.latencies.sample_count(now_ms),
                delay_ms=delay_ms,
                remaining_ms=job.remaining_ms(deps.clock),
                refused_ms_ago=now_ms - service.refused_ms,
                is_stopping=deps.is_stopping(),
                has_share=service.share.has_hedge,
                servers=[
                    self._state(record.server, now_ms)
                    for record in deps.catalogue.servers_of(job.service)
                    if not deps.catalogue.is_leaving(record)
                ],
            )
        )
        if reason is None:
            placement = place_second()
            if placement is None:
                reason = Decline.NO_SERVER
            else:
                state = self._state(placement.server, now_ms)
                if state.busy_count >= state.slot_count:
                    reason = Decline.BUSY
        if reason is None:
            retry_share = deps.retry_share(job.service)
            if not retry_share.take(now_ms, deps.host_count()):
                reason = Decline.RETRY_BUDGET
        if reason is not None or placement is None:
            deps.record_declined((reason or Decline.NO_SERVER).value)
            return None
        service.share.take()
        return begin_second(placement)

    def _state(self, server: BackendServer, now_ms: float) -> ServerState:
        notices = self._deps.notices
        return ServerState(
            slot_count=server.slot_count,
            busy_count=self._deps.ledger.load(server.server_id, now_ms).run_count,
            is_pausing=notices.pause_ms(server) > 0.0,
            is_limited=notices.limit_per_s(server) is not None,
            is_brittle=notices.is_brittle(server),
        )

    def _service(self, name: str) -> _Service:
        return self._services.setdefault(name, _Service(self._deps.ratio))

    def _log_sent(
        self, job: Job, first: BackendServer, second: BackendServer, delay_ms: float
    ) -> None:
        self._deps.emit(
            HedgeSent(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                backend_server=second.server_id,
                first_server=first.server_id,
                delay_ms=delay_ms,
            )
        )

    def _record_end(self, job: Job, race: "_Race[AnswerT]", started_ms: float) -> None:
        winner = race.winner
        names = ("first", "hedge")
        elapsed_ms = self._deps.clock.monotonic_ms() - started_ms
        self._deps.emit(
            HedgeEnded(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                backend_server=winner.server.server_id if winner else "",
                winner=names[race.attempts.index(winner)] if winner else "none",
                elapsed_ms=elapsed_ms,
            )
        )
        if winner is race.attempts[1] and not race.attempts[0].is_done:
            self.record_latency(job.service, elapsed_ms)


class _Attempt(Generic[AnswerT]):
    """An attempt that was sent, and its result."""

    def __init__(self, server: BackendServer, hold: Hold) -> None:
        self.server = server
        self.hold = hold
        self.abort = AbortHandle()
        self.answer: AnswerT | None = None
        self.error: BaseException | None = None
        self.is_done = False

    @property
    def is_usable(self) -> bool:
        """Whether it has an answer that may be returned while another is pending."""
        return self.answer is not None and self.answer.status < SERVER_ERROR_STATUS


class _Race(Generic[AnswerT]):
    """Attempts of one call that run at the same time, each in a greenlet of its own.

    Attributes:
        attempts: The attempts, in the order in which they were sent.
    """

    def __init__(self, job: Job, memory: HeldMemory) -> None:
        self.attempts: list[_Attempt[AnswerT]] = []
        self._job = job
        self._memory = memory
        self._changed = Signal()

    def start(self, planned: PlannedAttempt[AnswerT]) -> None:
        """Send an attempt."""
        attempt: _Attempt[AnswerT] = _Attempt(planned.server, self._memory.open())
        self.attempts.append(attempt)
        gevent.spawn(self._run, attempt, planned)

    def wait(self, timeout_ms: float | None = None) -> bool:
        """Wait for a usable answer or the end of all attempts; return whether it came.

        All attempts are cancelled if the call is aborted meanwhile.
        """
        abort = self._job.abort
        timeout_s = None if timeout_ms is None else timeout_ms / MS_PER_S
        abort.attach(lambda: self._cancel(abort.reason))
        try:
            with gevent.Timeout(timeout_s, False):
                while not self.is_over:
                    self._changed.clear()
                    self._changed.wait()
        finally:
            abort.attach(None)
        return self.is_over

    @property
    def is_over(self) -> bool:
        """Whether there is a usable answer, or no attempt is pending."""
        return any(attempt.is_usable for attempt in self.attempts) or all(
            attempt.is_done for attempt in self.attempts
        )

    @property
    def winner(self) -> _Attempt[AnswerT] | None:
        """The attempt whose answer the caller gets, or None if all have failed."""
        answered = [attempt for attempt in self.attempts if attempt.answer is not None]
        usable = [attempt for attempt in answered if attempt.is_usable]
        return next(iter(usable or answered), None)

    def result(self) -> AnswerT:
        """Return the answer of the winner, which now counts as held by the call.

        Raises:
            BackendError: All attempts have failed.
        """
        winner = self.winner
        if winner is None or winner.answer is None:
            raise self._failure()
        winner.hold.release()
        if self._job.hold is not None:
            self._job.hold.resize(HeldPart.ANSWER, len(winner.answer.body))
        return winner.answer

    def close(self) -> None:
        """End the attempts that are pending, and release what the others hold."""
        self._cancel(LOST_REASON)
        for attempt in self.attempts:
            if attempt.is_done:
                attempt.hold.release()
        # The error that was raised refers to this race.
        self.attempts = []

    def _cancel(self, reason: str) -> None:
        """End the attempts that are pending; each closes its connection."""
        for attempt in self.attempts:
            if not attempt.is_done:
                attempt.abort.abort(reason)

    def _run(
        self, attempt: _Attempt[AnswerT], planned: PlannedAttempt[AnswerT]
    ) -> None:
        name_greenlet(self._job.request_id)
        own_job = self._job._replace(abort=attempt.abort, hold=attempt.hold)
        try:
            attempt.answer = planned.send(own_job)
        except BackendError as error:
            # It is raised again in the greenlet of the call.
            attempt.error = error.without_traceback()
        except BaseException as error:
            attempt.error = error
        finally:
            attempt.is_done = True
            if attempt.abort.reason:
                attempt.hold.release()
            self._changed.set()

    def _failure(self) -> BaseException:
        """Return an unexpected error, or else the failure that says most."""
        errors = [attempt.error for attempt in self.attempts if attempt.error]
        failures = [error for error in errors if isinstance(error, BackendError)]
        unexpected = [error for error in errors if error not in failures]
        if unexpected or not failures:
            return next(iter(unexpected), RuntimeError("no attempt was sent"))
        return max(failures, key=lambda error: _VERDICT_ORDER.index(error.verdict))
