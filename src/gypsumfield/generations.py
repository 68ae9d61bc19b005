"""Generations: placed, started, relayed, and continued by their cursor."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from gypsumfield.adapters.engines import EngineStream
from gypsumfield.adapters.engines import start_generation
from gypsumfield.attempts import Attempt
from gypsumfield.attempts import AttemptDependencies
from gypsumfield.attempts import outcome_of
from gypsumfield.attempts import run_attempts
from gypsumfield.cursors import open_writer_if_any
from gypsumfield.cursors import StreamOrigin
from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.lengths import LengthProgress
from gypsumfield.dispatch import UNUSED
from gypsumfield.engine_api import StartGeneration
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.interfaces import SlotOutcome
from gypsumfield.interfaces import SlotUse
from gypsumfield.jobs import Job
from gypsumfield.platform_api import Member
from gypsumfield.relay import broken_refusal
from gypsumfield.relay import Delivery
from gypsumfield.relay import exchange_timeouts
from gypsumfield.relay import open_resumed
from gypsumfield.relay import Relay
from gypsumfield.relay import RelayDependencies
from gypsumfield.relay import RelayedGeneration
from gypsumfield.verdicts import RunVerdict

PROGRESS_REPORT_TOKENS = 32


class GenerationRequest(NamedTuple):
    """A job for a model engine."""

    job: Job
    prompt: str
    is_chat: bool


class GenerationDependencies(NamedTuple):
    """What generations need from outside.

    Attributes:
        attempts: What the attempts need.
        relay: What the relays need.
        find_backend: Returns a member by host id, or None.
        record_length: Learns from a generation that ended or was cut.
        record_progress: Learns from a generation that still runs.
    """

    attempts: AttemptDependencies
    relay: RelayDependencies
    find_backend: Callable[[str], Member | None]
    record_length: Callable[[FinishedLength], None]
    record_progress: Callable[[LengthProgress], None]


def stream_generation(
    ports: GenerationDependencies, request: GenerationRequest
) -> Iterator[Delivery]:
    """Yield the events of a new generation.

    Until the first event is yielded the request moves between engines; after
    it, all events come from that one generation.

    Raises:
        RefusedError: With a final answer for the caller.
    """

    def perform(attempt: Attempt) -> _Primed:
        return _prime(ports, request, attempt)

    primed = run_attempts(ports.attempts, request.job, perform)
    return _deliver(ports, request, primed)


def collect_generation(
    ports: GenerationDependencies, request: GenerationRequest
) -> list[Delivery]:
    """Return all events of a new generation.

    Nothing leaves for the caller before the end, so that the request may move
    to another engine, with a new generation, until then.

    Raises:
        RefusedError: With a final answer for the caller.
    """

    def perform(attempt: Attempt) -> list[Delivery]:
        primed = _prime(ports, request, attempt)
        try:
            deliveries = _read_all(ports, request, primed)
        except BaseException:
            _abandon(ports, request, primed)
            raise
        _settle(ports, request, primed)
        return deliveries

    return run_attempts(ports.attempts, request.job, perform)


def resume_stream(
    ports: GenerationDependencies, job: Job, origin: StreamOrigin, after_sequence: int
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
    writer = open_writer_if_any(origin, keys)
    generation = RelayedGeneration(
        origin.generation_id, backend, writer, after_sequence
    )
    try:
        stream = open_resumed(ports.relay, job, generation, after_sequence)
    except BackendError as error:
        if error.code == "unknown_generation":
            raise RefusedError(_gone_refusal()) from error
        raise RefusedError(broken_refusal(error.code, str(error))) from error
    return _deliver_resumed(Relay(ports.relay, job, generation), stream)


class _Primed(NamedTuple):
    """A generation whose first event was read."""

    attempt: Attempt
    relay: Relay
    first: Delivery
    rest: Iterator[Delivery]
    first_token_ms: float


def _read_all(
    ports: GenerationDependencies, request: GenerationRequest, primed: _Primed
) -> list[Delivery]:
    deliveries = [primed.first]
    for delivery in primed.rest:
        if delivery.sequence % PROGRESS_REPORT_TOKENS == 0:
            _report_progress(ports, request, primed, delivery)
        deliveries.append(delivery)
    return deliveries


def _prime(
    ports: GenerationDependencies, request: GenerationRequest, attempt: Attempt
) -> _Primed:
    clock = ports.attempts.clock
    generation = _new_generation(ports, request, attempt)
    relay = Relay(ports.relay, request.job, generation)
    sent_ms = clock.monotonic_ms()
    try:
        stream = _start(ports, request, attempt, generation.generation_id)
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
    return _Primed(attempt, relay, first, rest, first_token_ms)


def _new_generation(
    ports: GenerationDependencies, request: GenerationRequest, attempt: Attempt
) -> RelayedGeneration:
    job = request.job
    origin = StreamOrigin(
        account=job.account,
        service=job.service_name,
        generation_id=f"{job.request_id}-{attempt.number}",
        backend_server=attempt.backend.host_id,
        request_id=job.request_id,
        is_chat=request.is_chat,
    )
    keys = ports.attempts.configuration().cursor_keys
    writer = open_writer_if_any(origin, keys)
    return RelayedGeneration(origin.generation_id, attempt.backend, writer)


def _start(
    ports: GenerationDependencies,
    request: GenerationRequest,
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
        exchange_timeouts(ports.relay, job),
        job.abort,
        lambda: ports.attempts.find_exclusion_reason(job, attempt.placement),
    )


def _deliver(
    ports: GenerationDependencies, request: GenerationRequest, primed: _Primed
) -> Iterator[Delivery]:
    try:
        yield primed.first
        for delivery in primed.rest:
            if delivery.sequence % PROGRESS_REPORT_TOKENS == 0:
                _report_progress(ports, request, primed, delivery)
            yield delivery
    except BackendError as error:
        _abandon(ports, request, primed)
        _release(ports, request, primed, outcome_of(error))
        raise RefusedError(broken_refusal(error.code, str(error))) from error
    except BaseException:
        # The caller left, the deadline passed or the key was withdrawn: no
        # evidence about the engine.
        _abandon(ports, request, primed)
        _release(ports, request, primed, UNUSED.outcome)
        raise
    _settle(ports, request, primed)


def _deliver_resumed(relay: Relay, stream: EngineStream) -> Iterator[Delivery]:
    try:
        yield from relay.deliveries(stream)
    except BackendError as error:
        raise RefusedError(broken_refusal(error.code, str(error))) from error
    finally:
        relay.cancel_if_unfinished()


def _settle(
    ports: GenerationDependencies, request: GenerationRequest, primed: _Primed
) -> None:
    is_slow = primed.first_token_ms > request.job.profile.first_token_target_ms
    outcome = SlotOutcome.SLOW if is_slow else SlotOutcome.COMPLETED
    _record_length(ports, request, primed, is_complete=True)
    _release(ports, request, primed, outcome)


def _abandon(
    ports: GenerationDependencies, request: GenerationRequest, primed: _Primed
) -> None:
    primed.relay.cancel_if_unfinished()
    is_complete = primed.relay.is_finished
    _record_length(ports, request, primed, is_complete)


def _report_progress(
    ports: GenerationDependencies,
    request: GenerationRequest,
    primed: _Primed,
    delivery: Delivery,
) -> None:
    if delivery.finish_reason is not None:
        # The final event is no token.
        return
    placement = primed.attempt.placement
    ports.attempts.dispatcher.report_progress(placement, delivery.sequence)
    before_tokens = delivery.sequence - PROGRESS_REPORT_TOKENS
    ports.record_progress(
        LengthProgress(request.job.demand, before_tokens, delivery.sequence)
    )


def _record_length(
    ports: GenerationDependencies,
    request: GenerationRequest,
    primed: _Primed,
    is_complete: bool,
) -> None:
    tokens = primed.relay.generated_tokens
    is_at_limit = tokens >= request.job.demand.max_tokens
    ports.record_length(
        FinishedLength(
            request.job.demand,
            tokens,
            is_complete=is_complete and not is_at_limit,
            known_tokens=tokens - tokens % PROGRESS_REPORT_TOKENS,
        )
    )


def _release(
    ports: GenerationDependencies,
    request: GenerationRequest,
    primed: _Primed,
    outcome: SlotOutcome,
) -> None:
    first_token_ms = primed.first_token_ms
    use = SlotUse(outcome, primed.relay.generated_tokens, first_token_ms)
    ports.attempts.dispatcher.release(request.job, primed.attempt.placement, use)


def _gone_refusal() -> Refusal:
    return Refusal(
        410,
        "generation_gone",
        "the generation is not known any more; what was delivered of it stands",
        RunVerdict.MAY_HAVE_RUN,
    )
