"""Makes sure that a run has ended at one engine before its stream goes on at another.

Most engines drop a run when its connection closes, but some work on. The close proves
nothing, so the engine is told to stop the run, or asked whether it still has it. What
it says counts, or that its process has ended. An engine that is not reached cannot be
asked; its streams go on elsewhere without an answer.
"""

import itertools
from collections.abc import Callable
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

import gevent

from gypsumfield.clock import Clock
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.calls import CopyResult
from gypsumfield.gateway.calls import EngineRuns
from gypsumfield.gateway.calls import ResumePoint
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.events import RunEnd
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.permits import Permits
from gypsumfield.interfaces import EmitEvent
from gypsumfield.verdicts import RunVerdict

# Callers abandon a stream that pauses for two seconds.
PATIENCE_MS = 1_200.0
RETRY_INTERVAL_MS = 100.0
# A report shows the runs of some hundred milliseconds ago.
REPORT_AGE_MS = 500.0
# After a crash many streams ask the same engine.
GONE_LIFETIME_MS = 500.0
NOT_ENDED_CODE = "run_not_ended"
OK_STATUS = 200
NO_SUCH_RUN_STATUS = 404
MISDIRECTED_STATUS = 421


class RunEndDependencies(NamedTuple):
    """Dependencies of `RunEnds`.

    Attributes:
        catalogue: Records of servers.
        permits: Permits for calls to servers that have named a limit.
        stop_run: Stops a run and copies it to another engine; takes the engine, the
            request id, the target's address and the timeout in milliseconds.
        read_runs: Asks an engine for its start and its runs.
        can_move: Returns whether the engines of a service can stop and copy runs.
        clock: Monotonic clock.
        emit: Writes an event to the log.
    """

    catalogue: Catalogue
    permits: Permits
    stop_run: Callable[[BackendServer, str, str, float], CopyResult]
    read_runs: Callable[[BackendServer], EngineRuns]
    can_move: Callable[[str], bool]
    clock: Clock
    emit: EmitEvent


class _Question(Enum):
    """What an engine is asked, in this order.

    Attributes:
        STOP: To stop the run, if it has it.
        REPORT: For its runs.
    """

    STOP = "stop"
    REPORT = "report"


class _Answer(NamedTuple):
    """What one question has shown.

    Attributes:
        proof: What shows that the run has ended, or empty.
        copy: Copy of the run at the target, if the question made one.
        reason: Why there is no proof.
    """

    proof: str
    copy: ResumePoint | None = None
    reason: str = ""


class RunEnds:
    """Stops runs, or asks engines whether they have ended."""

    def __init__(self, deps: RunEndDependencies) -> None:
        self._deps = deps
        self._gone_ms: dict[tuple[str, int], float] = {}

    def confirm(
        self, job: Job, server: BackendServer, target: BackendServer, begun_ms: float
    ) -> ResumePoint | None:
        """Wait until a run has ended; stop it if its engine can do so.

        Args:
            job: The call.
            server: Engine of the run.
            target: Engine at which the stream is to go on.
            begun_ms: Monotonic time at which the run was sent to its engine.

        Returns:
            A copy of the run at the target that was made while it was stopped, or None.

        Raises:
            BackendError: Nothing shows within `PATIENCE_MS` that the run has ended.
        """
        asked_ms = self._deps.clock.monotonic_ms()
        for question in self._questions(job.service):
            answer = self._ask(question, job, server, target, begun_ms)
            waited_ms = self._deps.clock.monotonic_ms() - asked_ms
            is_over = waited_ms >= PATIENCE_MS or bool(job.abort.reason)
            if answer.proof or is_over:
                break
            if question is _Question.REPORT:
                self._deps.clock.sleep_ms(RETRY_INTERVAL_MS)
        self._log(job, server, target, answer, waited_ms)
        if not answer.proof:
            raise BackendError(
                f"the run before may still go on: {answer.reason}",
                RunVerdict.MAY_HAVE_RUN,
                NOT_ENDED_CODE,
            )
        return answer.copy

    def stop_in_background(
        self, job: Job, server: BackendServer, target: BackendServer
    ) -> None:
        """Stop a run at an engine that does not answer now, as soon as it does."""
        gevent.spawn(self._stop, job, server, target)

    def _questions(self, service: str) -> Iterator[_Question]:
        """Yield what to ask an engine, again and again."""
        can_move = self._deps.can_move(service)
        return itertools.cycle(_Question if can_move else [_Question.REPORT])

    def _stop(self, job: Job, server: BackendServer, target: BackendServer) -> None:
        asked_ms = self._deps.clock.monotonic_ms()
        question = next(self._questions(job.service))
        answer = self._ask(question, job, server, target, asked_ms)
        waited_ms = self._deps.clock.monotonic_ms() - asked_ms
        self._log(job, server, target, answer, waited_ms)

    def _ask(
        self,
        question: _Question,
        job: Job,
        server: BackendServer,
        target: BackendServer,
        begun_ms: float,
    ) -> _Answer:
        deps = self._deps
        record = deps.catalogue.find_server(server.server_id)
        if record and record.server.started_wall_ms != server.started_wall_ms:
            return _Answer("the engine has started again")
        start = (server.server_id, server.started_wall_ms)
        now_ms = deps.clock.monotonic_ms()
        if now_ms - self._gone_ms.get(start, -GONE_LIFETIME_MS) < GONE_LIFETIME_MS:
            return _Answer("the engine refuses connections")
        if not deps.permits.acquire(
            server, RETRY_INTERVAL_MS, job.abort, job.request_id
        ):
            return _Answer("", reason="no permit for a question")
        try:
            if question is _Question.STOP:
                return self._stop_run(job, server, target)
            runs = deps.read_runs(server)
            return _read_proof(runs, server, job.request_id, now_ms - begun_ms)
        except BackendError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                self._record_gone(start, now_ms)
                return _Answer("the engine refuses connections")
            is_unreachable = error.code == "unreachable"
            return _Answer("unreachable" if is_unreachable else "", reason=str(error))

    def _stop_run(
        self, job: Job, server: BackendServer, target: BackendServer
    ) -> _Answer:
        result = self._deps.stop_run(
            server, job.request_id, target.address, PATIENCE_MS
        )
        if result.status == NO_SUCH_RUN_STATUS:
            return _Answer("no such run")
        if result.status == MISDIRECTED_STATUS:
            return _Answer("another server has the address")
        if result.is_complete and result.copy_name:
            copy = ResumePoint("", server.address, result.copy_name)
            return _Answer("stopped", copy)
        # An engine that could not copy the run has stopped it too, and keeps it.
        if result.status == OK_STATUS or result.copy_name:
            return _Answer("stopped")
        return _Answer("", reason=f"the engine answered with {result.status}")

    def _record_gone(self, start: tuple[str, int], now_ms: float) -> None:
        self._gone_ms = {
            other: gone_ms
            for other, gone_ms in self._gone_ms.items()
            if now_ms - gone_ms < GONE_LIFETIME_MS
        }
        self._gone_ms[start] = now_ms

    def _log(
        self,
        job: Job,
        server: BackendServer,
        target: BackendServer,
        answer: _Answer,
        waited_ms: float,
    ) -> None:
        self._deps.emit(
            RunEnd(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                backend_server=server.server_id,
                target=target.server_id,
                proof=answer.proof,
                reason=answer.reason,
                waited_ms=waited_ms,
            )
        )


class PreviousRun:
    """The last run of one stream, which may go on although its answer has ended."""

    def __init__(self, ends: RunEnds, job: Job) -> None:
        self._ends = ends
        self._job = job
        self._server: BackendServer | None = None
        self._begun_ms = 0.0
        self._is_engine_unreachable = False

    def begin(self, server: BackendServer, begun_ms: float) -> None:
        """Record that the stream is sent to an engine."""
        self._server = server
        self._begun_ms = begun_ms
        self._is_engine_unreachable = False

    def discard(self) -> None:
        """Record that the engine did not begin the run."""
        self._server = None

    def record_unreachable(self) -> None:
        """Record that the engine accepts no connections for now."""
        self._is_engine_unreachable = True

    def end(self, target: BackendServer) -> ResumePoint | None:
        """Make sure that the run has ended before the stream goes on at an engine.

        Returns:
            A copy of the run at that engine, or None.

        Raises:
            BackendError: The run may still go on.
        """
        server = self._server
        if server is None or server.server_id == target.server_id:
            return None
        copy = None
        if self._is_engine_unreachable:
            self._ends.stop_in_background(self._job, server, target)
        else:
            copy = self._ends.confirm(self._job, server, target, self._begun_ms)
        self._server = None
        return copy


def _read_proof(
    runs: EngineRuns, server: BackendServer, request_id: str, age_ms: float
) -> _Answer:
    """Return what a report shows of a run that began so long ago."""
    if runs.started_wall_ms not in (0, server.started_wall_ms):
        return _Answer("another start of the engine answers")
    if not runs.lists_runs:
        return _Answer("", reason="the engine does not list its runs")
    if request_id in runs.event_counts:
        return _Answer("", reason="the engine lists the run")
    if age_ms < REPORT_AGE_MS:
        return _Answer("", reason="the report may be older than the run")
    return _Answer("not in the engine's report")
