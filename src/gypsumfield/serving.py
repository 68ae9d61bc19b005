"""Serves one request: validation, rate limit, execution and log events."""

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
from gypsumfield.request_validation import GenerationRequest
from gypsumfield.request_validation import PlainRequest
from gypsumfield.request_validation import RequestValidator
from gypsumfield.request_validation import ResumeRequest


class ServingDependencies(NamedTuple):
    """Dependencies of `Serving`.

    Attributes:
        validator: Validates requests and turns them into jobs.
        generations: Dependencies of generations.
        plain: Dependencies of calls to plain services.
        quotas: Rate limits of the accounts over all entry hosts.
        emit: Writes an event to the log.
    """

    validator: RequestValidator
    generations: GenerationDependencies
    plain: PlainCallDependencies
    quotas: QuotaLimiter
    emit: EmitEvent


class Serving:
    """Serves the requests of callers; raises `RefusedError` to refuse one."""

    def __init__(self, deps: ServingDependencies) -> None:
        self._deps = deps
        self._emit = deps.emit

    def check_key(self, key: str) -> None:
        """Check the key of a request before its body is read.

        Raises:
            RefusedError: The key is missing, unknown or withdrawn.
        """
        self._deps.validator.identify(key)

    def stream(self, request: GenerationRequest) -> Iterator[Delivery]:
        """Return the events of a new generation once the first one has arrived.

        Raises:
            RefusedError: The request is refused. The iterator raises it too,
                when the generation breaks after its first event.
            CallerGoneError: The caller disconnected while its request was queued.
        """
        generation_job = self._deps.validator.build_generation_job(request)
        with _Admission(self._deps, generation_job.job):
            deliveries = stream_generation(self._deps.generations, generation_job)
            first_delivery = next(deliveries)
        self._log_first_token(generation_job.job)
        return self._relay_stream(generation_job.job, first_delivery, deliveries)

    def collect(self, request: GenerationRequest) -> tuple[int, list[Delivery]]:
        """Return the prompt's length in tokens and all events of a new generation.

        Raises:
            RefusedError: The request is refused.
            CallerGoneError: The caller disconnected while its request was queued.
        """
        generation_job = self._deps.validator.build_generation_job(request)
        with _Admission(self._deps, generation_job.job):
            deliveries = collect_generation(self._deps.generations, generation_job)
        self._log_completed(generation_job.job, deliveries[-1].sequence - 1)
        return generation_job.job.demand.prompt_tokens, deliveries

    def resume(self, request: ResumeRequest) -> tuple[StreamOrigin, Iterator[Delivery]]:
        """Return the origin of a cursor and the events after it.

        No rate token is taken, because the request that is continued took one
        when it was admitted.

        Raises:
            RefusedError: The key or cursor is not valid, or the generation no
                longer exists.
        """
        resume_job = self._deps.validator.build_resume_job(request)
        deliveries = resume_stream(
            self._deps.generations,
            resume_job.job,
            resume_job.origin,
            resume_job.after_sequence,
        )
        return resume_job.origin, deliveries

    def call(self, request: PlainRequest) -> PlainAnswer:
        """Return the buffered answer of a plain service.

        Raises:
            RefusedError: The call is refused.
            CallerGoneError: The caller disconnected while its request was queued.
        """
        call = self._deps.validator.build_plain_call(request)
        with _Admission(self._deps, call.job):
            answer = call_plain_service(self._deps.plain, call)
        self._log_completed(call.job, 0)
        return answer

    def log_refusal(self, request_id: str, error: RefusedError) -> None:
        """Log that a request was refused."""
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
        """Log that an answer ended with an error after its first event was sent."""
        self._emit(
            RequestFailed(
                request_id=request_id,
                code=refusal.code,
                verdict=refusal.verdict.value,
                reason=refusal.message,
            )
        )

    def log_caller_gone(self, request_id: str) -> None:
        """Log that a caller disconnected before its answer was complete."""
        self._emit(CallerGone(request_id=request_id))

    def log_internal_fault(self, request_id: str, error: Exception) -> None:
        """Log an unexpected exception with its traceback."""
        trace = "".join(traceback.format_exception(error))
        self._emit(
            InternalFault(
                request_id=request_id, reason=type(error).__name__, trace=trace
            )
        )

    def _relay_stream(
        self, job: Job, first_delivery: Delivery, deliveries: Iterator[Delivery]
    ) -> Iterator[Delivery]:
        last_sequence = first_delivery.sequence
        try:
            yield first_delivery
            for delivery in deliveries:
                last_sequence = delivery.sequence
                yield delivery
        finally:
            deliveries.close()  # type: ignore[attr-defined]
        self._log_completed(job, last_sequence - 1)

    def _log_first_token(self, job: Job) -> None:
        self._emit(
            FirstToken(
                request_id=job.request_id,
                account=job.account,
                service=job.service_name,
                elapsed_ms=self._elapsed_ms(job),
            )
        )

    def _log_completed(self, job: Job, token_count: int) -> None:
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
        now_ms = self._deps.generations.attempts.clock.monotonic_ms()
        return now_ms - job.started_ms


class _Admission:
    """Context manager that takes a rate token and returns it if nothing has run."""

    def __init__(self, deps: ServingDependencies, job: Job) -> None:
        self._deps = deps
        self._job = job
        self._rate_token: QuotaDecision | None = None

    def __enter__(self) -> None:
        job = self._job
        if job.identity is not None:
            self._rate_token = self._take_rate_token(job.account)
        admitted = RequestAdmitted(
            request_id=job.request_id, account=job.account, service=job.service_name
        )
        self._deps.emit(admitted)

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        # A caller can only be gone here while its request is queued; nothing ran.
        should_refund = isinstance(error, CallerGoneError)
        if isinstance(error, RefusedError):
            self._add_request_context(error)
            should_refund = should_refund_token(error.refusal.verdict)
        if should_refund and self._rate_token is not None:
            self._deps.quotas.refund(self._job.account, self._rate_token)

    def _take_rate_token(self, account: str) -> QuotaDecision:
        decision = self._deps.quotas.take(account)
        if decision.is_granted:
            return decision
        refusal = Refusal(
            429,
            OVER_RATE_CODE,
            decision.reason,
            retry_after_ms=decision.retry_after_ms,
        )
        raise self._add_request_context(RefusedError(refusal))

    def _add_request_context(self, error: RefusedError) -> RefusedError:
        error.account = self._job.account
        error.service = self._job.service_name
        return error
