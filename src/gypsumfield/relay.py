"""Relay of one generation: in order, resumed on a break, cancelled when left."""

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

RESUME_LIMIT = 3
RESUME_PAUSE_MS = 50.0
CANCEL_ATTEMPT_LIMIT = 3
FINAL_CODES = frozenset({"aborted", "unknown_generation"})


class Delivery(NamedTuple):
    """One event for the caller.

    Attributes:
        sequence: Sequence number in the generation.
        text: Text of the token, empty in the last event.
        finish_reason: Set in the last event only.
        cursor: Resume cursor after this event.
    """

    sequence: int
    text: str
    finish_reason: FinishReason | None
    cursor: str


class RelayDependencies(NamedTuple):
    """What a relay needs from outside.

    Attributes:
        clock: Time.
        configuration: Returns the configuration in force.
        connect_timeout_ms: Bound on connecting to an engine.
        record_between_tokens: Takes the profile's name and the ms between two
            tokens.
        emit: Takes events.
    """

    clock: Clock
    configuration: Callable[[], Configuration]
    connect_timeout_ms: float
    record_between_tokens: Callable[[str, float], None]
    emit: EmitEvent


class RelayedGeneration(NamedTuple):
    """A generation that is relayed.

    Attributes:
        generation_id: Its id on the engine.
        backend: The engine.
        write_cursor: Makes the resume cursor after an event.
        after_sequence: Last event that the caller has; 0 for none.
    """

    generation_id: str
    backend: Member
    write_cursor: CursorWriter
    after_sequence: int = 0


class Relay:
    """One generation on its way to the caller."""

    def __init__(
        self, ports: RelayDependencies, job: Job, generation: RelayedGeneration
    ) -> None:
        self._ports = ports
        self._job = job
        self._generation = generation
        self._guard = SequenceGuard(generation.after_sequence)
        self._is_finished = False
        self._resume_count = 0
        self._configuration = ports.configuration()
        self._latest_ms = ports.clock.monotonic_ms()

    @property
    def generated_tokens(self) -> int:
        """Tokens of the generation that were read so far."""
        return max(0, self._guard.last - (1 if self._is_finished else 0))

    @property
    def is_finished(self) -> bool:
        """Whether the last event was read."""
        return self._is_finished

    def deliveries(self, stream: EngineStream) -> Iterator[Delivery]:
        """Yield each event once and in order, resuming where needed.

        Raises:
            BackendError: The generation cannot be continued.
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
        """Tell the engine to stop, in the background, unless it has finished."""
        if not self._is_finished:
            gevent.spawn(_cancel, self._ports, self._job, self._generation)

    def _read(self, stream: EngineStream) -> Iterator[Delivery]:
        for event in stream.events():
            order = self._guard.classify(event.sequence)
            if order is EventOrder.DUPLICATE:
                continue
            if order is EventOrder.GAP:
                raise BackendError(
                    f"token events {self._guard.last + 1} to {event.sequence - 1} "
                    "are missing",
                    RunVerdict.MAY_HAVE_RUN,
                    "stream_gap",
                )
            self._resume_count = 0
            self._note_progress()
            yield self._delivery(event)
        stream.close()

    def _delivery(self, event: TokenEvent) -> Delivery:
        self._check_still_wanted()
        if event.finish_reason == "cancelled":
            raise RefusedError(
                broken_refusal("generation_cancelled", "the generation was cancelled")
            )
        self._is_finished = event.finish_reason is not None
        cursor = self._generation.write_cursor(event.sequence)
        return Delivery(event.sequence, event.text, event.finish_reason, cursor)

    def _note_progress(self) -> None:
        now_ms = self._ports.clock.monotonic_ms()
        if self._guard.last > self._generation.after_sequence + 1:
            self._ports.record_between_tokens(
                self._job.service.profile, now_ms - self._latest_ms
            )
        self._latest_ms = now_ms

    def _check_still_wanted(self) -> None:
        if self._ports.clock.monotonic_ms() > self._job.deadline_ms:
            raise RefusedError(
                broken_refusal("deadline_passed", "the answer took too long", 504)
            )
        configuration = self._ports.configuration()
        if configuration is self._configuration:
            return
        self._configuration = configuration
        is_cut = self._job.profile.on_key_withdrawn == "cut"
        identity = self._job.identity
        if is_cut and identity and not is_key_in_force(configuration, identity):
            raise RefusedError(
                broken_refusal("key_withdrawn", "the key was withdrawn", 401)
            )

    def _resume(self, error: BackendError) -> EngineStream:
        # Before the first event the request can move to another engine, which
        # is quicker than to wait for this one.
        is_nothing_read = self._guard.last == self._generation.after_sequence
        if is_nothing_read or error.code in FINAL_CODES:
            raise error
        self._note_break(error)
        while self._resume_count < RESUME_LIMIT:
            self._resume_count += 1
            self._ports.clock.sleep_ms(RESUME_PAUSE_MS * (self._resume_count - 1))
            try:
                return self._open_resumed()
            except BackendError as resume_error:
                if resume_error.code in FINAL_CODES:
                    raise
                error = resume_error
        raise error

    def _open_resumed(self) -> EngineStream:
        self._check_still_wanted()
        return open_resumed(self._ports, self._job, self._generation, self._guard.last)

    def _note_break(self, error: BackendError) -> None:
        host_id = self._generation.backend.host_id
        if error.code == "backend_stalled":
            self._ports.emit(
                StreamStalled(
                    request_id=self._job.request_id,
                    account=self._job.account,
                    service=self._job.service_name,
                    backend_server=host_id,
                    silent_ms=self._job.profile.stall_timeout_ms,
                )
            )
        self._ports.emit(
            StreamResumed(
                request_id=self._job.request_id,
                account=self._job.account,
                service=self._job.service_name,
                backend_server=host_id,
                after_sequence=self._guard.last,
            )
        )


def open_resumed(
    ports: RelayDependencies,
    job: Job,
    generation: RelayedGeneration,
    after_sequence: int,
) -> EngineStream:
    """Continue a generation on its engine after a sequence number.

    Raises:
        BackendError: The engine was not reached or does not know it any more.
    """
    return resume_generation(
        generation.backend.address,
        generation.generation_id,
        after_sequence,
        job.request_id,
        exchange_timeouts(ports, job),
        job.abort,
    )


def exchange_timeouts(ports: RelayDependencies, job: Job) -> ExchangeTimeouts:
    """Return the bounds of one exchange with a backend server."""
    remaining_ms = job.deadline_ms - ports.clock.monotonic_ms()
    silence_ms = max(1.0, min(job.profile.stall_timeout_ms, remaining_ms))
    return ExchangeTimeouts(ports.connect_timeout_ms, silence_ms, silence_ms)


def broken_refusal(code: str, message: str, status: int = 502) -> Refusal:
    """Return the refusal for a generation that ended before its end."""
    return Refusal(status, code, message, RunVerdict.MAY_HAVE_RUN)


def _cancel(ports: RelayDependencies, job: Job, generation: RelayedGeneration) -> None:
    backend = generation.backend
    silence_ms = job.profile.stall_timeout_ms
    timeouts = ExchangeTimeouts(ports.connect_timeout_ms, silence_ms, silence_ms)
    for _ in range(CANCEL_ATTEMPT_LIMIT):
        try:
            cancel_generation(
                backend.address, generation.generation_id, job.request_id, timeouts
            )
        except BackendError:
            ports.clock.sleep_ms(RESUME_PAUSE_MS)
            continue
        ports.emit(
            GenerationCancelled(
                request_id=job.request_id,
                account=job.account,
                service=job.service_name,
                backend_server=backend.host_id,
                generation_id=generation.generation_id,
            )
        )
        return
