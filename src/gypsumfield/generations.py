"""Generations: started, relayed in order, resumed, cancelled when abandoned."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

import gevent

from gypsumfield.access import is_key_in_force
from gypsumfield.adapters.backends import AbortHandle
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.engines import cancel_generation
from gypsumfield.adapters.engines import EngineStream
from gypsumfield.adapters.engines import resume_generation
from gypsumfield.adapters.engines import start_generation
from gypsumfield.attempts import Attempt
from gypsumfield.attempts import AttemptPorts
from gypsumfield.attempts import Job
from gypsumfield.attempts import run_attempts
from gypsumfield.cursors import CursorWriter
from gypsumfield.cursors import open_writer
from gypsumfield.cursors import StreamOrigin
from gypsumfield.decisions.sequences import EventOrder
from gypsumfield.decisions.sequences import SequenceGuard
from gypsumfield.engine_api import FinishReason
from gypsumfield.engine_api import StartGeneration
from gypsumfield.engine_api import TokenEvent
from gypsumfield.events import GenerationCancelled
from gypsumfield.events import StreamResumed
from gypsumfield.events import StreamStalled
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.platform_api import Member
from gypsumfield.ports import SlotOutcome
from gypsumfield.ports import SlotUse
from gypsumfield.verdicts import RunVerdict

RESUME_LIMIT = 3
RESUME_PAUSE_MS = 50.0
CANCEL_ATTEMPT_LIMIT = 3
PROGRESS_REPORT_TOKENS = 64


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


class GenerationRequest(NamedTuple):
    """A job for a model engine."""

    job: Job
    prompt: str
    is_chat: bool


class GenerationPorts(NamedTuple):
    """What generations need from outside.

    Attributes:
        attempts: What the attempts need.
        connect_timeout_ms: Bound on connecting to an engine.
        find_backend: Returns a member by host id, or None.
        record_between_tokens: Takes the profile's name and the ms between two
            tokens.
        record_length: Takes the demand and the finished answer's tokens.
    """

    attempts: AttemptPorts
    connect_timeout_ms: float
    find_backend: Callable[[str], Member | None]
    record_between_tokens: Callable[[str, float], None]
    record_length: Callable[[GenerationRequest, int], None]


class Relay:
    """One generation on its way to the caller.

    The relay owns the attempt's lease and cancels the generation when it ends
    before the last event.
    """

    def __init__(
        self,
        ports: GenerationPorts,
        job: Job,
        backend: Member,
        generation_id: str,
        abort: AbortHandle,
        write_cursor: CursorWriter,
        after_sequence: int = 0,
    ) -> None:
        self._ports = ports
        self._job = job
        self._backend = backend
        self._generation_id = generation_id
        self._abort = abort
        self._write_cursor = write_cursor
        self._guard = SequenceGuard(after_sequence)
        self._first_sequence = after_sequence
        self._is_finished = False
        self._resume_count = 0
        self._configuration = ports.attempts.configuration()
        self._latest_ms = ports.attempts.clock.monotonic_ms()

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

    def cancel_if_unfinished(self) -> None:
        """Tell the engine to stop, in the background, unless it has finished."""
        if not self._is_finished:
            gevent.spawn(_cancel, self._ports, self._job, self._backend, self)

    @property
    def generation_id(self) -> str:
        """Id of the generation on its engine."""
        return self._generation_id

    def _read(self, stream: EngineStream) -> Iterator[Delivery]:
        for event in stream.events():
            order = self._guard.judge(event.sequence)
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
                _broken_refusal("generation_cancelled", "the generation was cancelled")
            )
        self._is_finished = event.finish_reason is not None
        cursor = self._write_cursor(event.sequence)
        return Delivery(event.sequence, event.text, event.finish_reason, cursor)

    def _note_progress(self) -> None:
        now_ms = self._ports.attempts.clock.monotonic_ms()
        if self._guard.last > self._first_sequence + 1:
            self._ports.record_between_tokens(
                self._job.service.profile, now_ms - self._latest_ms
            )
        self._latest_ms = now_ms

    def _check_still_wanted(self) -> None:
        attempts = self._ports.attempts
        if attempts.clock.monotonic_ms() > self._job.deadline_ms:
            raise RefusedError(
                _broken_refusal("deadline_passed", "the answer took too long", 504)
            )
        configuration = attempts.configuration()
        if configuration is self._configuration:
            return
        self._configuration = configuration
        is_cut = self._job.profile.on_key_withdrawn == "cut"
        identity = self._job.identity
        if is_cut and identity and not is_key_in_force(configuration, identity):
            raise RefusedError(
                _broken_refusal("key_withdrawn", "the key was withdrawn", 401)
            )

    def _resume(self, error: BackendError) -> EngineStream:
        # Before the first event the request can move to another engine, which
        # is quicker than to wait for this one.
        is_pointless = error.code in ("aborted", "unknown_generation")
        if self._guard.last == self._first_sequence or is_pointless:
            raise error
        self._note_break(error)
        while self._resume_count < RESUME_LIMIT:
            self._resume_count += 1
            self._pause_before_resume()
            try:
                return self._open_resumed()
            except BackendError as resume_error:
                if resume_error.code in ("aborted", "unknown_generation"):
                    raise
                error = resume_error
        raise error

    def _pause_before_resume(self) -> None:
        pause_ms = RESUME_PAUSE_MS * (self._resume_count - 1)
        self._ports.attempts.clock.sleep_ms(pause_ms)

    def _open_resumed(self) -> EngineStream:
        self._check_still_wanted()
        return resume_generation(
            self._backend.address,
            self._generation_id,
            self._guard.last,
            self._job.request_id,
            exchange_timeouts(self._ports, self._job),
            self._abort,
        )

    def _note_break(self, error: BackendError) -> None:
        emit = self._ports.attempts.emit
        if error.code == "backend_stalled":
            emit(
                StreamStalled(
                    request_id=self._job.request_id,
                    account=self._job.account,
                    service=self._job.service_name,
                    backend_server=self._backend.host_id,
                    silent_ms=self._job.profile.stall_timeout_ms,
                )
            )
        emit(
            StreamResumed(
                request_id=self._job.request_id,
                account=self._job.account,
                service=self._job.service_name,
                backend_server=self._backend.host_id,
                after_sequence=self._guard.last,
            )
        )


def stream_generation(
    ports: GenerationPorts, request: GenerationRequest, abort: AbortHandle
) -> Iterator[Delivery]:
    """Yield the events of a new generation.

    Until the first event is yielded the request moves between engines; after
    it, all events come from that one generation.

    Raises:
        RefusedError: With a final answer for the caller.
    """

    def perform(attempt: Attempt) -> _Primed:
        return _prime(ports, request, abort, attempt)

    primed = run_attempts(ports.attempts, request.job, perform)
    return _deliver(ports, request, primed)


def collect_generation(
    ports: GenerationPorts, request: GenerationRequest, abort: AbortHandle
) -> list[Delivery]:
    """Return all events of a new generation.

    Nothing leaves for the caller before the end, so that the request may move
    to another engine, with a new generation, until then.

    Raises:
        RefusedError: With a final answer for the caller.
    """

    def perform(attempt: Attempt) -> list[Delivery]:
        primed = _prime(ports, request, abort, attempt)
        try:
            deliveries = [primed.first, *primed.rest]
        except BaseException:
            primed.relay.cancel_if_unfinished()
            raise
        _settle(ports, request, primed)
        return deliveries

    return run_attempts(ports.attempts, request.job, perform)


def resume_stream(
    ports: GenerationPorts,
    job: Job,
    origin: StreamOrigin,
    after_sequence: int,
    abort: AbortHandle,
) -> Iterator[Delivery]:
    """Yield the events of a running or finished generation after an offset.

    Raises:
        RefusedError: The generation is not known any more or its engine does
            not answer.
    """
    backend = ports.find_backend(origin.backend_server)
    if backend is None:
        raise RefusedError(_gone_refusal())
    keys = ports.attempts.configuration().cursor_keys
    relay = Relay(
        ports,
        job,
        backend,
        origin.generation_id,
        abort,
        open_writer(origin, keys),
        after_sequence,
    )
    try:
        stream = resume_generation(
            backend.address,
            origin.generation_id,
            after_sequence,
            job.request_id,
            exchange_timeouts(ports, job),
            abort,
        )
    except BackendError as error:
        if error.code == "unknown_generation":
            raise RefusedError(_gone_refusal()) from error
        raise RefusedError(_broken_refusal(error.code, str(error))) from error
    return _deliver_resumed(relay, stream)


def exchange_timeouts(ports: GenerationPorts, job: Job) -> ExchangeTimeouts:
    """Return the bounds of one exchange with an engine."""
    remaining_ms = job.deadline_ms - ports.attempts.clock.monotonic_ms()
    silence_ms = max(1.0, min(job.profile.stall_timeout_ms, remaining_ms))
    return ExchangeTimeouts(ports.connect_timeout_ms, silence_ms, silence_ms)


class _Primed(NamedTuple):
    """A generation whose first event was read."""

    attempt: Attempt
    relay: Relay
    first: Delivery
    rest: Iterator[Delivery]
    sent_ms: float
    first_token_ms: float


def _prime(
    ports: GenerationPorts,
    request: GenerationRequest,
    abort: AbortHandle,
    attempt: Attempt,
) -> _Primed:
    job = request.job
    clock = ports.attempts.clock
    generation_id = f"{job.request_id}-{attempt.number}"
    origin = StreamOrigin(
        account=job.account,
        service=job.service_name,
        generation_id=generation_id,
        backend_server=attempt.backend.host_id,
        request_id=job.request_id,
        is_chat=request.is_chat,
    )
    keys = ports.attempts.configuration().cursor_keys
    writer = open_writer(origin, keys)
    relay = Relay(ports, job, attempt.backend, generation_id, abort, writer)
    sent_ms = clock.monotonic_ms()
    try:
        stream = _start(ports, request, abort, attempt, generation_id)
        rest = relay.deliveries(stream)
        first = next(rest)
    except BackendError as error:
        if error.verdict is not RunVerdict.NOT_RUN:
            relay.cancel_if_unfinished()
        raise
    except BaseException:
        relay.cancel_if_unfinished()
        raise
    first_token_ms = clock.monotonic_ms() - sent_ms
    return _Primed(attempt, relay, first, rest, sent_ms, first_token_ms)


def _start(
    ports: GenerationPorts,
    request: GenerationRequest,
    abort: AbortHandle,
    attempt: Attempt,
    generation_id: str,
) -> EngineStream:
    job = request.job
    start = StartGeneration(
        generation_id=generation_id,
        model=job.service.model or job.service_name,
        prompt=request.prompt,
        max_tokens=job.demand.max_tokens,
        priority=job.profile.priority,
    )
    return start_generation(
        attempt.backend.address,
        start,
        job.request_id,
        exchange_timeouts(ports, job),
        abort,
        lambda: ports.attempts.find_hindrance(job, attempt.backend),
    )


def _deliver(
    ports: GenerationPorts, request: GenerationRequest, primed: _Primed
) -> Iterator[Delivery]:
    slots = ports.attempts.slots
    lease = primed.attempt.lease
    try:
        yield primed.first
        for delivery in primed.rest:
            if delivery.sequence % PROGRESS_REPORT_TOKENS == 0:
                slots.report_progress(lease, delivery.sequence)
            yield delivery
        _settle(ports, request, primed)
    except BackendError as error:
        slots.release(lease, SlotUse(SlotOutcome.FAILED, primed.relay.generated_tokens))
        primed.relay.cancel_if_unfinished()
        raise RefusedError(_broken_refusal(error.code, str(error))) from error
    except BaseException:
        # The caller left, the deadline passed or the key was withdrawn: no
        # evidence about the engine.
        if not primed.relay.is_finished:
            use = SlotUse(SlotOutcome.NOT_SENT, primed.relay.generated_tokens)
            slots.release(lease, use)
            primed.relay.cancel_if_unfinished()
        else:
            _settle(ports, request, primed)
        raise


def _deliver_resumed(relay: Relay, stream: EngineStream) -> Iterator[Delivery]:
    try:
        yield from relay.deliveries(stream)
    except BackendError as error:
        raise RefusedError(_broken_refusal(error.code, str(error))) from error
    finally:
        relay.cancel_if_unfinished()


def _settle(
    ports: GenerationPorts, request: GenerationRequest, primed: _Primed
) -> None:
    is_slow = primed.first_token_ms > request.job.profile.first_token_target_ms
    outcome = SlotOutcome.SLOW if is_slow else SlotOutcome.COMPLETED
    tokens = primed.relay.generated_tokens
    use = SlotUse(outcome, tokens, primed.first_token_ms)
    ports.attempts.slots.release(primed.attempt.lease, use)
    ports.record_length(request, tokens)


def _cancel(ports: GenerationPorts, job: Job, backend: Member, relay: Relay) -> None:
    timeouts = ExchangeTimeouts(
        ports.connect_timeout_ms,
        job.profile.stall_timeout_ms,
        job.profile.stall_timeout_ms,
    )
    for _ in range(CANCEL_ATTEMPT_LIMIT):
        try:
            cancel_generation(
                backend.address, relay.generation_id, job.request_id, timeouts
            )
        except BackendError:
            ports.attempts.clock.sleep_ms(RESUME_PAUSE_MS)
            continue
        ports.attempts.emit(
            GenerationCancelled(
                request_id=job.request_id,
                account=job.account,
                service=job.service_name,
                backend_server=backend.host_id,
                generation_id=relay.generation_id,
            )
        )
        return


def _broken_refusal(code: str, message: str, status: int = 502) -> Refusal:
    return Refusal(status, code, message, RunVerdict.MAY_HAVE_RUN)


def _gone_refusal() -> Refusal:
    return Refusal(
        410,
        "generation_gone",
        "the generation is not known any more; what was delivered of it stands",
        RunVerdict.MAY_HAVE_RUN,
    )
