"""Relays the events of one generation, resuming a broken stream."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

import gevent

from gypsumfield.access import is_key_in_force
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.engines import cancel_generation
from gypsumfield.adapters.engines import EngineStream
from gypsumfield.adapters.engines import resume_generation
from gypsumfield.clock import Clock
from gypsumfield.configuration import Configuration
from gypsumfield.cursors import CursorWriter
from gypsumfield.decisions.sequences import EventOrder
from gypsumfield.decisions.sequences import SequenceGuard
from gypsumfield.engine_api import FinishReason
from gypsumfield.engine_api import TokenEvent
from gypsumfield.events import GenerationCancelled
from gypsumfield.events import StreamResumed
from gypsumfield.events import StreamStalled
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.interfaces import EmitEvent
from gypsumfield.jobs import Job
from gypsumfield.platform_api import Member
from gypsumfield.verdicts import RunVerdict

MAX_RESUMES_WITHOUT_PROGRESS = 3
RETRY_PAUSE_MS = 50.0
MAX_CANCEL_ATTEMPTS = 3
NOT_RESUMABLE_CODES = frozenset({"aborted", "unknown_generation"})


class Delivery(NamedTuple):
    """One event for the caller.

    Attributes:
        sequence: Sequence number in the generation.
        text: Text of the token, empty in the last event.
        finish_reason: Set in the last event only.
        cursor: Cursor that resumes the stream after this event; empty when no
            cursor key is published.
    """

    sequence: int
    text: str
    finish_reason: FinishReason | None
    cursor: str


class RelayDependencies(NamedTuple):
    """Dependencies of a `Relay`.

    Attributes:
        clock: Clock of the host.
        configuration: Returns the configuration in force.
        connect_timeout_ms: Timeout for connecting to an engine.
        record_between_tokens: Records the time between two tokens in ms under
            a profile's name.
        emit: Writes an event to the log.
    """

    clock: Clock
    configuration: Callable[[], Configuration]
    connect_timeout_ms: float
    record_between_tokens: Callable[[str, float], None]
    emit: EmitEvent


class RelayedGeneration(NamedTuple):
    """A generation whose events are relayed to the caller.

    Attributes:
        generation_id: Id of the generation on the engine.
        backend: Engine that runs the generation.
        write_cursor: Returns the resume cursor for a sequence number.
        after_sequence: Sequence number of the last event that the caller has
            received; 0 for none.
    """

    generation_id: str
    backend: Member
    write_cursor: CursorWriter
    after_sequence: int = 0


class Relay:
    """Relays one generation to the caller and resumes it when its stream breaks."""

    def __init__(
        self, deps: RelayDependencies, job: Job, generation: RelayedGeneration
    ) -> None:
        self._deps = deps
        self._job = job
        self._generation = generation
        self._sequence_guard = SequenceGuard(generation.after_sequence)
        self._is_finished = False
        self._resume_count = 0
        self._configuration = deps.configuration()
        self._last_token_ms = deps.clock.monotonic_ms()

    @property
    def generated_tokens(self) -> int:
        """Number of tokens read so far."""
        return max(0, self._sequence_guard.last - (1 if self._is_finished else 0))

    @property
    def is_finished(self) -> bool:
        """Whether the last event was read."""
        return self._is_finished

    def deliveries(self, stream: EngineStream) -> Iterator[Delivery]:
        """Yield each event once and in order, resuming a broken stream.

        Raises:
            BackendError: The generation cannot be resumed.
            RefusedError: The deadline passed or the key was withdrawn.
        """
        while True:
            try:
                yield from self._read(stream)
                return
            except BackendError as error:
                stream.close()
                stream = self._resume(error)
            except BaseException:
                stream.close()
                raise

    def cancel_if_unfinished(self) -> None:
        """Cancel an unfinished generation on its engine, in the background."""
        if not self._is_finished:
            gevent.spawn(_cancel, self._deps, self._job, self._generation)

    def _read(self, stream: EngineStream) -> Iterator[Delivery]:
        for event in stream.events():
            order = self._sequence_guard.classify(event.sequence)
            if order is EventOrder.DUPLICATE:
                continue
            if order is EventOrder.GAP:
                raise BackendError(
                    f"token events {self._sequence_guard.last + 1} to "
                    f"{event.sequence - 1} are missing",
                    RunVerdict.MAY_HAVE_RUN,
                    "stream_gap",
                )
            self._resume_count = 0
            self._record_token_interval()
            yield self._delivery(event)
        stream.close()

    def _delivery(self, event: TokenEvent) -> Delivery:
        self._check_deadline_and_key()
        if event.finish_reason == "cancelled":
            raise RefusedError(
                broken_refusal("generation_cancelled", "the generation was cancelled")
            )
        self._is_finished = event.finish_reason is not None
        cursor = self._generation.write_cursor(event.sequence)
        return Delivery(event.sequence, event.text, event.finish_reason, cursor)

    def _record_token_interval(self) -> None:
        now_ms = self._deps.clock.monotonic_ms()
        if self._sequence_guard.last > self._generation.after_sequence + 1:
            self._deps.record_between_tokens(
                self._job.service.profile, now_ms - self._last_token_ms
            )
        self._last_token_ms = now_ms

    def _check_deadline_and_key(self) -> None:
        if self._deps.clock.monotonic_ms() > self._job.deadline_ms:
            raise RefusedError(
                broken_refusal(
                    "deadline_passed",
                    "the answer took too long",
                    504,
                )
            )
        configuration = self._deps.configuration()
        if configuration is self._configuration:
            return
        self._configuration = configuration
        should_cut = self._job.profile.on_key_withdrawn == "cut"
        identity = self._job.identity
        if should_cut and identity and not is_key_in_force(configuration, identity):
            raise RefusedError(
                broken_refusal("key_withdrawn", "the key was withdrawn", 401)
            )

    def _resume(self, error: BackendError) -> EngineStream:
        # Before the first event the request can be retried on another engine,
        # which is faster than waiting for this one.
        has_read_nothing = self._sequence_guard.last == self._generation.after_sequence
        if has_read_nothing or error.code in NOT_RESUMABLE_CODES:
            raise error.without_traceback()
        self._log_resume(error)
        while self._resume_count < MAX_RESUMES_WITHOUT_PROGRESS:
            self._resume_count += 1
            self._deps.clock.sleep_ms(RETRY_PAUSE_MS * (self._resume_count - 1))
            try:
                return self._open_resumed()
            except BackendError as resume_error:
                if resume_error.code in NOT_RESUMABLE_CODES:
                    raise
                error = resume_error.without_traceback()
        raise error.without_traceback()

    def _open_resumed(self) -> EngineStream:
        self._check_deadline_and_key()
        return open_resumed(
            self._deps, self._job, self._generation, self._sequence_guard.last
        )

    def _log_resume(self, error: BackendError) -> None:
        host_id = self._generation.backend.host_id
        if error.code == "backend_stalled":
            self._deps.emit(
                StreamStalled(
                    request_id=self._job.request_id,
                    account=self._job.account,
                    service=self._job.service_name,
                    backend_server=host_id,
                    silent_ms=self._job.profile.stall_timeout_ms,
                )
            )
        self._deps.emit(
            StreamResumed(
                request_id=self._job.request_id,
                account=self._job.account,
                service=self._job.service_name,
                backend_server=host_id,
                after_sequence=self._sequence_guard.last,
            )
        )


def open_resumed(
    deps: RelayDependencies,
    job: Job,
    generation: RelayedGeneration,
    after_sequence: int,
) -> EngineStream:
    """Continue a generation on its engine after a sequence number.

    Raises:
        BackendError: The engine is unreachable or no longer has the generation.
    """
    return resume_generation(
        generation.backend.address,
        generation.generation_id,
        after_sequence,
        job.request_id,
        exchange_timeouts(deps, job),
        job.abort,
    )


def exchange_timeouts(deps: RelayDependencies, job: Job) -> ExchangeTimeouts:
    """Return the timeouts of one exchange.

    The timeouts for the first byte and between bytes are at most the time that
    remains until the job's deadline, and at least 1 ms.
    """
    remaining_ms = job.deadline_ms - deps.clock.monotonic_ms()
    read_timeout_ms = max(1.0, min(job.profile.stall_timeout_ms, remaining_ms))
    return ExchangeTimeouts(deps.connect_timeout_ms, read_timeout_ms, read_timeout_ms)


def broken_refusal(code: str, message: str, status: int = 502) -> Refusal:
    """Return the refusal for a generation that broke before its last event."""
    return Refusal(status, code, message, RunVerdict.MAY_HAVE_RUN)


def _cancel(deps: RelayDependencies, job: Job, generation: RelayedGeneration) -> None:
    backend = generation.backend
    read_timeout_ms = job.profile.stall_timeout_ms
    timeouts = ExchangeTimeouts(
        deps.connect_timeout_ms, read_timeout_ms, read_timeout_ms
    )
    for _ in range(MAX_CANCEL_ATTEMPTS):
        try:
            cancel_generation(
                backend.address, generation.generation_id, job.request_id, timeouts
            )
        except BackendError:
            deps.clock.sleep_ms(RETRY_PAUSE_MS)
            continue
        deps.emit(
            GenerationCancelled(
                request_id=job.request_id,
                account=job.account,
                service=job.service_name,
                backend_server=backend.host_id,
                generation_id=generation.generation_id,
            )
        )
        return
