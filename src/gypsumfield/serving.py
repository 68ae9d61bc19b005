"""The way of one request: taken in, limited, served, explained."""

import traceback
from collections.abc import Iterator
from typing import NamedTuple

from gypsumfield.cursors import StreamOrigin
from gypsumfield.decisions.retries import should_refund_token
from gypsumfield.events import CallerGone
from gypsumfield.events import FirstToken
from gypsumfield.events import InternalFault
from gypsumfield.events import RequestAdmitted
from gypsumfield.events import RequestCompleted
from gypsumfield.events import RequestFailed
from gypsumfield.events import RequestRefused
from gypsumfield.exceptions import CallerGoneError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.generations import collect_generation
from gypsumfield.generations import GenerationDependencies
from gypsumfield.generations import resume_stream
from gypsumfield.generations import stream_generation
from gypsumfield.interfaces import EmitEvent
from gypsumfield.interfaces import QuotaDecision
from gypsumfield.interfaces import QuotaLimiter
from gypsumfield.jobs import Job
from gypsumfield.plain_calls import call_plain_service
from gypsumfield.plain_calls import PlainAnswer
from gypsumfield.plain_calls import PlainCallDependencies
from gypsumfield.refusal_history import OVER_RATE_CODE
from gypsumfield.relay import Delivery
from gypsumfield.request_validation import GenerationAsk
from gypsumfield.request_validation import PlainRequest
from gypsumfield.request_validation import RequestValidator
from gypsumfield.request_validation import ResumeAsk


class ServingDependencies(NamedTuple):
    """What serving needs from outside.

    Attributes:
        intake: Turns what callers ask into jobs.
        generations: What generations need.
        plain: What plain calls need.
        quotas: Account limits over all entry hosts.
        emit: Takes events.
    """

    validator: RequestValidator
    generations: GenerationDependencies
    plain: PlainCallDependencies
    quotas: QuotaLimiter
    emit: EmitEvent


class Serving:
    """Serves requests of callers; raises `RefusedError` for final refusals."""

    def __init__(self, ports: ServingDependencies) -> None:
        self._ports = ports
        self._emit = ports.emit

    def check_key(self, key: str) -> None:
        """Check a key before anything else of its request is read.

        Raises:
            RefusedError: The key is missing, unknown or withdrawn.
        """
        self._ports.validator.identify(key)

    def stream(self, ask: GenerationAsk) -> Iterator[Delivery]:
        """Return the events of a new generation, the first one being there.

        Raises:
            RefusedError: Before the first event or in place of a further one.
            CallerGoneError: The caller left while its request waited.
        """
        request = self._ports.validator.generation_request(ask)
        with _Admission(self._ports, request.job):
            deliveries = stream_generation(self._ports.generations, request)
            first = next(deliveries)
        self._note_first_token(request.job)
        return self._finish_stream(request.job, first, deliveries)

    def collect(self, ask: GenerationAsk) -> tuple[int, list[Delivery]]:
        """Return the prompt's length and all events of a new generation.

        Raises:
            RefusedError: With a final answer.
            CallerGoneError: The caller left while its request waited.
        """
        request = self._ports.validator.generation_request(ask)
        with _Admission(self._ports, request.job):
            deliveries = collect_generation(self._ports.generations, request)
        self._note_completed(request.job, deliveries[-1].sequence - 1)
        return request.job.demand.prompt_tokens, deliveries

    def resume(self, ask: ResumeAsk) -> tuple[StreamOrigin, Iterator[Delivery]]:
        """Return the origin of a cursor and the events after it.

        A resume continues a request that took its rate token when it was
        admitted, so it takes none.

        Raises:
            RefusedError: The key or cursor is not valid, or the generation is
                not known any more.
        """
        request = self._ports.validator.resume_request(ask)
        rest = resume_stream(
            self._ports.generations, request.job, request.origin, request.after_sequence
        )
        return request.origin, rest

    def call(self, ask: PlainRequest) -> PlainAnswer:
        """Return the whole answer of a plain service.

        Raises:
            RefusedError: With a final answer.
            CallerGoneError: The caller left while its request waited.
        """
        call = self._ports.validator.plain_call(ask)
        with _Admission(self._ports, call.job):
            answer = call_plain_service(self._ports.plain, call)
        self._note_completed(call.job, 0)
        return answer

    def log_refusal(self, request_id: str, error: RefusedError) -> None:
        """Log the final refusal of a request."""
        refusal = error.refusal
        self._emit(
            RequestRefused(
                request_id=request_id,
                account=error.account,
                service=error.service,
                status=refusal.status,
                code=refusal.code,
                verdict=refusal.verdict.value,
                reason=refusal.message,
                retry_after_ms=refusal.retry_after_ms,
            )
        )

    def log_failed_answer(self, request_id: str, refusal: Refusal) -> None:
        """Log an answer that ended with an error after it had begun."""
        self._emit(
            RequestFailed(
                request_id=request_id,
                code=refusal.code,
                verdict=refusal.verdict.value,
                reason=refusal.message,
            )
        )

    def log_caller_gone(self, request_id: str) -> None:
        """Log that a caller left before its answer was complete."""
        self._emit(CallerGone(request_id=request_id))

    def log_internal_fault(self, request_id: str, error: Exception) -> None:
        """Log a failure that the program does not foresee."""
        trace = "".join(traceback.format_exception(error))
        self._emit(
            InternalFault(
                request_id=request_id, reason=type(error).__name__, trace=trace
            )
        )

    def _finish_stream(
        self, job: Job, first: Delivery, rest: Iterator[Delivery]
    ) -> Iterator[Delivery]:
        last = first.sequence
        try:
            yield first
            for delivery in rest:
                last = delivery.sequence
                yield delivery
        finally:
            rest.close()  # type: ignore[attr-defined]
        self._note_completed(job, last - 1)

    def _note_first_token(self, job: Job) -> None:
        self._emit(
            FirstToken(
                request_id=job.request_id,
                account=job.account,
                service=job.service_name,
                elapsed_ms=self._elapsed_ms(job),
            )
        )

    def _note_completed(self, job: Job, token_count: int) -> None:
        self._emit(
            RequestCompleted(
                request_id=job.request_id,
                account=job.account,
                service=job.service_name,
                elapsed_ms=self._elapsed_ms(job),
                token_count=token_count,
            )
        )

    def _elapsed_ms(self, job: Job) -> float:
        now_ms = self._ports.generations.attempts.clock.monotonic_ms()
        return now_ms - job.started_ms


class _Admission:
    """Takes a rate token for a block and returns it if nothing has run."""

    def __init__(self, ports: ServingDependencies, job: Job) -> None:
        self._ports = ports
        self._job = job
        self._token: QuotaDecision | None = None

    def __enter__(self) -> None:
        job = self._job
        if job.identity is not None:
            self._token = self._take_token(job.account)
        admitted = RequestAdmitted(
            request_id=job.request_id, account=job.account, service=job.service_name
        )
        self._ports.emit(admitted)

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        # A caller that leaves while its request waits has had nothing run.
        is_refund = isinstance(error, CallerGoneError)
        if isinstance(error, RefusedError):
            self._name(error)
            is_refund = should_refund_token(error.refusal.verdict)
        if is_refund and self._token is not None:
            self._ports.quotas.refund(self._job.account, self._token)

    def _take_token(self, account: str) -> QuotaDecision:
        decision = self._ports.quotas.take(account)
        if decision.is_granted:
            return decision
        refusal = Refusal(
            429,
            OVER_RATE_CODE,
            decision.reason,
            retry_after_ms=decision.retry_after_ms,
        )
        raise self._name(RefusedError(refusal))

    def _name(self, error: RefusedError) -> RefusedError:
        error.account = self._job.account
        error.service = self._job.service_name
        return error
