"""Attempts of one request on backend servers, with retries."""

from collections.abc import Callable
from typing import NamedTuple
from typing import TypeVar

from gypsumfield.clock import Clock
from gypsumfield.configuration import Configuration
from gypsumfield.decisions.retries import decide_retry
from gypsumfield.decisions.retries import FailedAttempt
from gypsumfield.decisions.retries import RetryBudget
from gypsumfield.decisions.retries import RetryDecision
from gypsumfield.dispatch import DEFAULT_RETRY_AFTER_MS
from gypsumfield.dispatch import Dispatcher
from gypsumfield.dispatch import Placement
from gypsumfield.dispatch import UNUSED_SLOT
from gypsumfield.engine_api import LEAVING_CODE
from gypsumfield.events import AttemptFailed
from gypsumfield.events import RequestRetried
from gypsumfield.events import RequestSent
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.interfaces import EmitEvent
from gypsumfield.interfaces import SlotOutcome
from gypsumfield.interfaces import SlotUse
from gypsumfield.jobs import Job
from gypsumfield.platform_api import Member
from gypsumfield.verdicts import RunVerdict

ABORTED_CODE = "aborted"
NOT_SENT_CODE = "not_sent"
STALLED_CODE = "backend_stalled"

ResultT = TypeVar("ResultT")


class Attempt(NamedTuple):
    """One attempt on one backend server; `number` counts from 1."""

    number: int
    placement: Placement

    @property
    def backend(self) -> Member:
        """Backend server that the attempt is sent to."""
        return self.placement.backend


class AttemptDependencies(NamedTuple):
    """Dependencies of `run_attempts`.

    Attributes:
        clock: Monotonic clock.
        configuration: Returns the configuration in force.
        dispatcher: Places requests on backend servers.
        find_exclusion_reason: Returns why a placement must no longer be used, or an
            empty string.
        budgets: Returns the retry budget of a service.
        mark_leaving: Called with a backend server that refused a request
            because it is leaving.
        emit: Writes an event to the log.
    """

    clock: Clock
    configuration: Callable[[], Configuration]
    dispatcher: Dispatcher
    find_exclusion_reason: Callable[[Job, Placement], str]
    budgets: Callable[[str], RetryBudget]
    mark_leaving: Callable[[Member], None]
    emit: EmitEvent


def run_attempts(
    deps: AttemptDependencies, job: Job, perform: Callable[[Attempt], ResultT]
) -> ResultT:
    """Perform attempts until one succeeds or no further retry is allowed.

    Args:
        deps: Functions and objects that the attempts use.
        job: Validated request, with its deadline and its retry budget ratio.
        perform: Performs one attempt. It may raise `BackendError` only while
            nothing has been delivered to the caller. When it returns, it is
            responsible for the release of the placement.

    Raises:
        RefusedError: The request was refused; the verdict covers all attempts.
        CallerGoneError: The caller disconnected while its request was queued.
    """
    budget = deps.budgets(job.service_name)
    budget.record_first_attempt(job.profile.retry_budget_ratio)
    tried_hosts: set[str] = set()
    combined_verdict = RunVerdict.NOT_RUN
    number = 0
    while True:
        number += 1
        attempt = Attempt(number, _place(deps, job, tried_hosts, combined_verdict))
        tried_hosts.add(attempt.backend.host_id)
        try:
            return _perform(deps, job, attempt, perform)
        except BackendError as error:
            combined_verdict = _combine_verdicts(combined_verdict, error.verdict)
            decision = _decide_retry(deps, job, error, number, tried_hosts, budget)
            if decision is not RetryDecision.RETRY:
                raise RefusedError(
                    _refusal_after_attempts(error, decision, combined_verdict)
                ) from error
            budget.spend()
            _log_retry(deps, job, number + 1)


def _place(
    deps: AttemptDependencies,
    job: Job,
    tried_hosts: set[str],
    combined_verdict: RunVerdict,
) -> Placement:
    try:
        return deps.dispatcher.place(job, frozenset(tried_hosts))
    except RefusedError as error:
        # An earlier attempt may have run even when this one cannot start.
        error.refusal = error.refusal._replace(
            verdict=_combine_verdicts(combined_verdict, error.refusal.verdict)
        )
        raise


def _perform(
    deps: AttemptDependencies,
    job: Job,
    attempt: Attempt,
    perform: Callable[[Attempt], ResultT],
) -> ResultT:
    deps.emit(
        RequestSent(
            request_id=job.request_id,
            account=job.account,
            service=job.service_name,
            backend_server=attempt.backend.host_id,
            attempt=attempt.number,
        )
    )
    try:
        return perform(attempt)
    except BackendError as error:
        if error.code == LEAVING_CODE:
            deps.mark_leaving(attempt.backend)
        use = SlotUse(slot_outcome_of(error))
        deps.dispatcher.release(job, attempt.placement, use)
        deps.emit(
            AttemptFailed(
                request_id=job.request_id,
                account=job.account,
                service=job.service_name,
                backend_server=attempt.backend.host_id,
                attempt=attempt.number,
                stage=error.code,
                verdict=error.verdict.value,
                reason=str(error),
            )
        )
        raise
    except BaseException:
        deps.dispatcher.release(job, attempt.placement, UNUSED_SLOT)
        raise


def _decide_retry(
    deps: AttemptDependencies,
    job: Job,
    error: BackendError,
    number: int,
    tried_hosts: set[str],
    budget: RetryBudget,
) -> RetryDecision:
    if error.code == ABORTED_CODE:
        return RetryDecision.CALLER_GONE
    untried = deps.dispatcher.rank(job, frozenset(tried_hosts))
    return decide_retry(
        FailedAttempt(
            verdict=error.verdict,
            is_idempotent=job.is_idempotent,
            delivered_bytes=0,
            remaining_ms=job.deadline_ms - deps.clock.monotonic_ms(),
            attempt_count=number,
            untried_count=len(untried),
            has_budget=budget.has_retry(),
        )
    )


def _log_retry(deps: AttemptDependencies, job: Job, number: int) -> None:
    deps.emit(
        RequestRetried(
            request_id=job.request_id,
            account=job.account,
            service=job.service_name,
            attempt=number,
        )
    )


def _refusal_after_attempts(
    error: BackendError, decision: RetryDecision, combined_verdict: RunVerdict
) -> Refusal:
    status = 503 if combined_verdict is RunVerdict.NOT_RUN else 502
    if error.code == STALLED_CODE or decision is RetryDecision.DEADLINE:
        status = 504
    retry_after_ms = error.retry_after_ms
    if status == 503 and retry_after_ms is None:
        retry_after_ms = DEFAULT_RETRY_AFTER_MS
    message = f"{error}; not tried again: {decision.value}"
    return Refusal(status, error.code, message, combined_verdict, retry_after_ms)


def _combine_verdicts(first: RunVerdict, second: RunVerdict) -> RunVerdict:
    if RunVerdict.NOT_RUN not in (first, second):
        return RunVerdict.MAY_HAVE_RUN if first is not second else first
    return second if first is RunVerdict.NOT_RUN else first


def slot_outcome_of(error: BackendError) -> SlotOutcome:
    """Return the slot outcome that a failed exchange is evidence of."""
    if error.code in (NOT_SENT_CODE, ABORTED_CODE):
        return SlotOutcome.NOT_SENT
    is_refused = error.verdict is RunVerdict.NOT_RUN and error.code != "unreachable"
    return SlotOutcome.REFUSED if is_refused else SlotOutcome.FAILED
