"""Attempts of one request against backend servers, until one bears it."""

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
from gypsumfield.dispatch import UNUSED
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
    """One try against one backend server."""

    number: int
    placement: Placement

    @property
    def backend(self) -> Member:
        """The backend server."""
        return self.placement.backend


class AttemptDependencies(NamedTuple):
    """What attempts need from outside.

    Attributes:
        clock: Time.
        configuration: Returns the configuration in force.
        dispatcher: Places requests on backend servers.
        find_exclusion_reason: Says why a placement must not be used any more, or
            returns an empty text.
        budgets: Returns the retry budget of a service.
        mark_leaving: Called with a backend server that says it is leaving.
        emit: Event log.
    """

    clock: Clock
    configuration: Callable[[], Configuration]
    dispatcher: Dispatcher
    find_exclusion_reason: Callable[[Job, Placement], str]
    budgets: Callable[[str], RetryBudget]
    mark_leaving: Callable[[Member], None]
    emit: EmitEvent


def run_attempts(
    ports: AttemptDependencies, job: Job, perform: Callable[[Attempt], ResultT]
) -> ResultT:
    """Try backend servers until one attempt succeeds or no retry is allowed.

    Args:
        ports: What is needed from outside.
        job: The request.
        perform: Makes one attempt. It raises `BackendError` while nothing has
            been delivered to the caller; on success it owns the placement.

    Raises:
        RefusedError: With the verdict over all attempts.
        CallerGoneError: The caller left while its request waited.
    """
    budget = ports.budgets(job.service_name)
    budget.note_first_try(job.profile.retry_budget_ratio)
    tried: set[str] = set()
    worst = RunVerdict.NOT_RUN
    number = 0
    while True:
        number += 1
        attempt = Attempt(number, _place(ports, job, tried, worst))
        tried.add(attempt.backend.host_id)
        try:
            return _perform(ports, job, attempt, perform)
        except BackendError as error:
            worst = _worse(worst, error.verdict)
            decision = _decide(ports, job, error, number, tried, budget)
            if decision is not RetryDecision.RETRY:
                raise RefusedError(_refusal(error, decision, worst)) from error
            budget.spend()
            _note_retry(ports, job, number + 1)


def _place(
    ports: AttemptDependencies, job: Job, tried: set[str], worst: RunVerdict
) -> Placement:
    try:
        return ports.dispatcher.place(job, frozenset(tried))
    except RefusedError as error:
        # An earlier attempt may have run even when this one cannot start.
        error.refusal = error.refusal._replace(
            verdict=_worse(worst, error.refusal.verdict)
        )
        raise


def _perform(
    ports: AttemptDependencies,
    job: Job,
    attempt: Attempt,
    perform: Callable[[Attempt], ResultT],
) -> ResultT:
    ports.emit(
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
            ports.mark_leaving(attempt.backend)
        use = SlotUse(outcome_of(error))
        ports.dispatcher.release(job, attempt.placement, use)
        ports.emit(
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
        ports.dispatcher.release(job, attempt.placement, UNUSED)
        raise


def _decide(
    ports: AttemptDependencies,
    job: Job,
    error: BackendError,
    number: int,
    tried: set[str],
    budget: RetryBudget,
) -> RetryDecision:
    if error.code == ABORTED_CODE:
        return RetryDecision.CALLER_GONE
    untried = ports.dispatcher.rank(job, frozenset(tried))
    return decide_retry(
        FailedAttempt(
            verdict=error.verdict,
            is_idempotent=job.is_idempotent,
            delivered_bytes=0,
            remaining_ms=job.deadline_ms - ports.clock.monotonic_ms(),
            attempt_count=number,
            untried_count=len(untried),
            has_budget=budget.has_retry(),
        )
    )


def _note_retry(ports: AttemptDependencies, job: Job, number: int) -> None:
    ports.emit(
        RequestRetried(
            request_id=job.request_id,
            account=job.account,
            service=job.service_name,
            attempt=number,
        )
    )


def _refusal(
    error: BackendError, decision: RetryDecision, worst: RunVerdict
) -> Refusal:
    status = 503 if worst is RunVerdict.NOT_RUN else 502
    if error.code == STALLED_CODE or decision is RetryDecision.DEADLINE:
        status = 504
    retry_after_ms = error.retry_after_ms
    if status == 503 and retry_after_ms is None:
        retry_after_ms = DEFAULT_RETRY_AFTER_MS
    message = f"{error}; not tried again: {decision.value}"
    return Refusal(status, error.code, message, worst, retry_after_ms)


def _worse(one: RunVerdict, other: RunVerdict) -> RunVerdict:
    if RunVerdict.NOT_RUN not in (one, other):
        return RunVerdict.MAY_HAVE_RUN if one is not other else one
    return other if one is RunVerdict.NOT_RUN else one


def outcome_of(error: BackendError) -> SlotOutcome:
    """Return what a failed exchange is evidence of."""
    if error.code in (NOT_SENT_CODE, ABORTED_CODE):
        return SlotOutcome.NOT_SENT
    is_refused = error.verdict is RunVerdict.NOT_RUN and error.code != "unreachable"
    return SlotOutcome.REFUSED if is_refused else SlotOutcome.FAILED
