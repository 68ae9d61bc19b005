"""Starts, relays and resumes generations on model engines."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from gypsumfield.adapters.engines import EngineStream
from gypsumfield.adapters.engines import start_generation
from gypsumfield.attempts import Attempt
from gypsumfield.attempts import AttemptDependencies
from gypsumfield.attempts import run_attempts
from gypsumfield.attempts import slot_outcome_of
from gypsumfield.cursors import make_cursor_writer_if_possible
from gypsumfield.cursors import StreamOrigin
from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.lengths import LengthProgress
from gypsumfield.dispatch import UNUSED_SLOT
from gypsumfield.engine_api import StartGeneration
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.interfaces import SlotOutcome
from gypsumfield.interfaces import SlotUse
from gypsumfield.jobs import Job
from gypsumfield.platform_api import Member
from gypsumfield.prompt_guard import PromptGuard
from gypsumfield.relay import broken_refusal
from gypsumfield.relay import Delivery
from gypsumfield.relay import exchange_timeouts
from gypsumfield.relay import open_resumed
from gypsumfield.relay import Relay
from gypsumfield.relay import RelayDependencies
from gypsumfield.relay import RelayedGeneration
from gypsumfield.verdicts import RunVerdict

PROGRESS_REPORT_TOKENS = 32


class GenerationJob(NamedTuple):
    """A validated request for a generation on a model engine."""

    job: Job
    prompt: str
    is_chat: bool


class GenerationDependencies(NamedTuple):
    """Dependencies of the functions of this module.

    Attributes:
        attempts: Dependencies of the attempts.
        relay: Dependencies of the relays.
        find_backend: Returns a backend server by host id, or None.
        record_length: Records the length of a generation that ended, or that
            was interrupted before its end.
        record_progress: Records the length so far of a running generation.
        guard: Refuses prompts with paragraphs that crash engines.
    """

    attempts: AttemptDependencies
    relay: RelayDependencies
    find_backend: Callable[[str], Member | None]
    record_length: Callable[[FinishedLength], None]
    record_progress: Callable[[LengthProgress], None]
    guard: PromptGuard


def stream_generation(
    deps: GenerationDependencies, generation_job: GenerationJob
) -> Iterator[Delivery]:
    """Yield the events of a new generation.

    Until the first event is read, a failed attempt may be retried on another
    engine. After that, all events come from this one generation.

    Raises:
        RefusedError: The request is refused, or the generation broke and can't
            be resumed.
    """

    def perform(attempt: Attempt) -> _StartedGeneration:
        return _start_generation(deps, generation_job, attempt)

    started = run_attempts(deps.attempts, generation_job.job, perform)
    return _deliver(deps, generation_job, started)


def collect_generation(
    deps: GenerationDependencies, generation_job: GenerationJob
) -> list[Delivery]:
    """Return all events of a new generation.

    Nothing is sent to the caller before the end. Until then a failed attempt
    may be retried as a new generation on another engine.

    Raises:
        RefusedError: The request is refused.
    """

    def perform(attempt: Attempt) -> list[Delivery]:
        started = _start_generation(deps, generation_job, attempt)
        try:
            deliveries = _read_all(deps, generation_job, started)
        except BaseException:
            _abandon(deps, generation_job, started)
            raise
        _finish(deps, generation_job, started)
        return deliveries

    return run_attempts(deps.attempts, generation_job.job, perform)


def resume_stream(
    deps: GenerationDependencies, job: Job, origin: StreamOrigin, after_sequence: int
) -> Iterator[Delivery]:
    """Yield the events of an existing generation after a sequence number.

    Raises:
        RefusedError: The generation no longer exists, or its engine does not
            answer.
    """
    backend = deps.find_backend(origin.backend_server)
    if backend is None:
        raise RefusedError(_generation_gone_refusal())
    keys = deps.attempts.configuration().cursor_keys
    writer = make_cursor_writer_if_possible(origin, keys)
    generation = RelayedGeneration(
        origin.generation_id, backend, writer, after_sequence
    )
    try:
        stream = open_resumed(deps.relay, job, generation, after_sequence)
    except BackendError as error:
        if error.code == "unknown_generation":
            raise RefusedError(_generation_gone_refusal()) from error
        raise RefusedError(broken_refusal(error.code, str(error))) from error
    return _deliver_resumed(Relay(deps.relay, job, generation), stream)


class _StartedGeneration(NamedTuple):
    """A generation whose first event has been read.

    `first_token_ms` is the time from sending the request to that event.
    """

    attempt: Attempt
    relay: Relay
    first_delivery: Delivery
    deliveries: Iterator[Delivery]
    first_token_ms: float


def _read_all(
    deps: GenerationDependencies,
    generation_job: GenerationJob,
    started: _StartedGeneration,
) -> list[Delivery]:
    deliveries = [started.first_delivery]
    for delivery in started.deliveries:
        if delivery.sequence % PROGRESS_REPORT_TOKENS == 0:
            _report_progress(deps, generation_job, started, delivery)
        deliveries.append(delivery)
    return deliveries


def _start_generation(
    deps: GenerationDependencies, generation_job: GenerationJob, attempt: Attempt
) -> _StartedGeneration:
    clock = deps.attempts.clock
    prompt = generation_job.prompt
    deps.guard.refuse_condemned(prompt, attempt.number)
    generation = _new_generation(deps, generation_job, attempt)
    relay = Relay(deps.relay, generation_job.job, generation)
    sent_ms = clock.monotonic_ms()
    try:
        stream = _send_start(deps, generation_job, attempt, generation.generation_id)
        deliveries = relay.deliveries(stream)
        first_delivery = next(deliveries)
    except BackendError as error:
        if error.verdict is not RunVerdict.NOT_RUN:
            relay.cancel_if_unfinished()
        boot_id = attempt.placement.lease.boot_id
        deps.guard.record_failure(prompt, attempt.backend, boot_id, error, sent_ms)
        raise
    except BaseException:
        relay.cancel_if_unfinished()
        raise
    first_token_ms = clock.monotonic_ms() - sent_ms
    deps.guard.record_answer(prompt, sent_ms)
    return _StartedGeneration(
        attempt, relay, first_delivery, deliveries, first_token_ms
    )


def _new_generation(
    deps: GenerationDependencies, generation_job: GenerationJob, attempt: Attempt
) -> RelayedGeneration:
    job = generation_job.job
    origin = StreamOrigin(
        account=job.account,
        service=job.service_name,
        generation_id=f"{job.request_id}-{attempt.number}",
        backend_server=attempt.backend.host_id,
        request_id=job.request_id,
        is_chat=generation_job.is_chat,
    )
    keys = deps.attempts.configuration().cursor_keys
    writer = make_cursor_writer_if_possible(origin, keys)
    return RelayedGeneration(origin.generation_id, attempt.backend, writer)


def _send_start(
    deps: GenerationDependencies,
    generation_job: GenerationJob,
    attempt: Attempt,
    generation_id: str,
) -> EngineStream:
    job = generation_job.job
    start = StartGeneration(
        generation_id=generation_id,
        model=job.service.model or job.service_name,
        prompt=generation_job.prompt,
        max_tokens=job.demand.max_tokens,
        priority=job.profile.priority,
    )
    return start_generation(
        attempt.backend.address,
        start,
        job.request_id,
        exchange_timeouts(deps.relay, job),
        job.abort,
        lambda: deps.attempts.find_exclusion_reason(job, attempt.placement),
    )


def _deliver(
    deps: GenerationDependencies,
    generation_job: GenerationJob,
    started: _StartedGeneration,
) -> Iterator[Delivery]:
    try:
        yield started.first_delivery
        for delivery in started.deliveries:
            if delivery.sequence % PROGRESS_REPORT_TOKENS == 0:
                _report_progress(deps, generation_job, started, delivery)
            yield delivery
    except BackendError as error:
        _abandon(deps, generation_job, started)
        _release(deps, generation_job, started, slot_outcome_of(error))
        raise RefusedError(broken_refusal(error.code, str(error))) from error
    except BaseException:
        # The caller disconnected, the deadline passed or the key was withdrawn.
        # None of these says anything about the health of the engine.
        _abandon(deps, generation_job, started)
        _release(deps, generation_job, started, UNUSED_SLOT.outcome)
        raise
    _finish(deps, generation_job, started)


def _deliver_resumed(relay: Relay, stream: EngineStream) -> Iterator[Delivery]:
    try:
        yield from relay.deliveries(stream)
    except BackendError as error:
        raise RefusedError(broken_refusal(error.code, str(error))) from error
    finally:
        relay.cancel_if_unfinished()


def _finish(
    deps: GenerationDependencies,
    generation_job: GenerationJob,
    started: _StartedGeneration,
) -> None:
    is_slow = started.first_token_ms > generation_job.job.profile.first_token_target_ms
    outcome = SlotOutcome.SLOW if is_slow else SlotOutcome.COMPLETED
    _record_length(deps, generation_job, started, is_complete=True)
    _release(deps, generation_job, started, outcome)


def _abandon(
    deps: GenerationDependencies,
    generation_job: GenerationJob,
    started: _StartedGeneration,
) -> None:
    started.relay.cancel_if_unfinished()
    is_complete = started.relay.is_finished
    _record_length(deps, generation_job, started, is_complete)


def _report_progress(
    deps: GenerationDependencies,
    generation_job: GenerationJob,
    started: _StartedGeneration,
    delivery: Delivery,
) -> None:
    if delivery.finish_reason is not None:
        # The last event carries no token.
        return
    placement = started.attempt.placement
    deps.attempts.dispatcher.report_progress(placement, delivery.sequence)
    before_tokens = delivery.sequence - PROGRESS_REPORT_TOKENS
    deps.record_progress(
        LengthProgress(generation_job.job.demand, before_tokens, delivery.sequence)
    )


def _record_length(
    deps: GenerationDependencies,
    generation_job: GenerationJob,
    started: _StartedGeneration,
    is_complete: bool,
) -> None:
    tokens = started.relay.generated_tokens
    is_at_limit = tokens >= generation_job.job.demand.max_tokens
    deps.record_length(
        FinishedLength(
            generation_job.job.demand,
            tokens,
            is_complete=is_complete and not is_at_limit,
            known_tokens=tokens - tokens % PROGRESS_REPORT_TOKENS,
        )
    )


def _release(
    deps: GenerationDependencies,
    generation_job: GenerationJob,
    started: _StartedGeneration,
    outcome: SlotOutcome,
) -> None:
    first_token_ms = started.first_token_ms
    use = SlotUse(outcome, started.relay.generated_tokens, first_token_ms)
    deps.attempts.dispatcher.release(generation_job.job, started.attempt.placement, use)


def _generation_gone_refusal() -> Refusal:
    return Refusal(
        410,
        "generation_gone",
        "the generation is not known any more; what was delivered of it stands",
        RunVerdict.MAY_HAVE_RUN,
    )
