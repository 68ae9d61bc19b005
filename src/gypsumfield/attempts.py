"""Attempts of one request against backend servers, until one bears it."""

from collections.abc import Callable
from typing import NamedTuple
from typing import TypeVar

from gypsumfield.access import Identity
from gypsumfield.clock import Clock
from gypsumfield.configuration import Configuration
from gypsumfield.configuration import Profile
from gypsumfield.configuration import Service
from gypsumfield.decisions.retries import decide_retry
from gypsumfield.decisions.retries import FailedAttempt
from gypsumfield.decisions.retries import RetryBudget
from gypsumfield.decisions.retries import RetryDecision
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.events import AttemptFailed
from gypsumfield.events import RequestRetried
from gypsumfield.events import RequestSent
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.platform_api import Member
from gypsumfield.ports import EmitEvent
from gypsumfield.ports import SlotLease
from gypsumfield.ports import SlotOutcome
from gypsumfield.ports import SlotPort
from gypsumfield.ports import SlotRefusal
from gypsumfield.ports import SlotUse
from gypsumfield.verdicts import RunVerdict

DEFAULT_RETRY_AFTER_MS = 1_000.0

ResultT = TypeVar("ResultT")


class Job(NamedTuple):
    """One admitted request.

    Attributes:
        request_id: Unique name.
        identity: Whose request it is; None on a route that is open to all.
        service_name: Name of the service.
        service: The service.
        profile: The profile it runs under.
        demand: What it asks of a backend server.
        is_idempotent: Whether it may be repeated, by the service's statement.
        started_ms: Monotonic time of its arrival.
    """

    request_id: str
    identity: Identity | None
    service_name: str
    service: Service
    profile: Profile
    demand: GenerationDemand
    is_idempotent: bool
    started_ms: float

    @property
    def account(self) -> str:
        """Name of the client account, empty on an open route."""
        return self.identity.account if self.identity else ""

    @property
    def deadline_ms(self) -> float:
        """Monotonic time at which the whole answer is due."""
        return self.started_ms + self.profile.deadline_ms


class Attempt(NamedTuple):
    """One try against one backend server, under a lease."""

    number: int
    backend: Member
    lease: SlotLease


class AttemptPorts(NamedTuple):
    """What attempts need from outside.

    Attributes:
        clock: Time.
        configuration: Returns the configuration in force.
        rank_backends: Returns eligible backend servers for a job, best first,
            without the named ones.
        find_hindrance: Says why a backend server must not get new work now,
            or returns an empty text.
        slots: Admission to backend servers.
        budgets: Returns the retry budget of a service.
        emit: Event log.
    """

    clock: Clock
    configuration: Callable[[], Configuration]
    rank_backends: Callable[[Job, frozenset[str]], list[Member]]
    find_hindrance: Callable[[Job, Member], str]
    slots: SlotPort
    budgets: Callable[[str], RetryBudget]
    emit: EmitEvent


def run_attempts(
    ports: AttemptPorts, job: Job, perform: Callable[[Attempt], ResultT]
) -> ResultT:
    """Try backend servers until one attempt succeeds or no retry is allowed.

    Args:
        ports: What is needed from outside.
        job: The request.
        perform: Makes one attempt. It raises `BackendError` while nothing has
            been delivered to the caller; on success it owns the lease.

    Raises:
        RefusedError: With the verdict over all attempts.
    """
    budget = ports.budgets(job.service_name)
    budget.note_first_try(job.profile.retry_budget_ratio)
    tried: set[str] = set()
    may_have_run = False
    number = 0
    while True:
        attempt = _acquire(ports, job, tried, number + 1, may_have_run)
        number = attempt.number
        tried.add(attempt.backend.host_id)
        try:
            return _perform(ports, job, attempt, perform)
        except BackendError as error:
            may_have_run = may_have_run or error.verdict is not RunVerdict.NOT_RUN
            decision = _decide(ports, job, error, number, tried, budget)
            if decision is not RetryDecision.RETRY:
                raise RefusedError(_refusal(error, decision, may_have_run)) from error
            budget.spend()
            ports.emit(
                RequestRetried(
                    request_id=job.request_id,
                    account=job.account,
                    service=job.service_name,
                    attempt=number + 1,
                )
            )


def _perform(
    ports: AttemptPorts,
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
        ports.slots.release(attempt.lease, SlotUse(_outcome_of(error)))
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
        ports.slots.release(attempt.lease, SlotUse(SlotOutcome.NOT_SENT))
        raise


def _acquire(
    ports: AttemptPorts, job: Job, tried: set[str], number: int, may_have_run: bool
) -> Attempt:
    refusal = SlotRefusal(
        f"service {job.service_name!r} has no backend server that takes new work",
        DEFAULT_RETRY_AFTER_MS,
    )
    for backend in ports.rank_backends(job, frozenset(tried)):
        lease = ports.slots.acquire(backend.host_id, job.demand)
        if isinstance(lease, SlotLease):
            return Attempt(number, backend, lease)
        refusal = lease
    verdict = RunVerdict.MAY_HAVE_RUN if may_have_run else RunVerdict.NOT_RUN
    raise RefusedError(
        Refusal(503, "no_capacity", refusal.reason, verdict, refusal.retry_after_ms)
    )


def _decide(
    ports: AttemptPorts,
    job: Job,
    error: BackendError,
    number: int,
    tried: set[str],
    budget: RetryBudget,
) -> RetryDecision:
    if error.code == "aborted":
        return RetryDecision.DEADLINE
    untried = ports.rank_backends(job, frozenset(tried))
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


def _refusal(
    error: BackendError, decision: RetryDecision, may_have_run: bool
) -> Refusal:
    verdict = error.verdict
    if may_have_run and verdict is RunVerdict.NOT_RUN:
        verdict = RunVerdict.MAY_HAVE_RUN
    status = 503 if verdict is RunVerdict.NOT_RUN else 502
    if error.code == "backend_stalled" or decision is RetryDecision.DEADLINE:
        status = 504
    retry_after_ms = error.retry_after_ms
    if status == 503 and retry_after_ms is None:
        retry_after_ms = DEFAULT_RETRY_AFTER_MS
    message = f"{error}; not tried again: {decision.value}"
    return Refusal(status, error.code, message, verdict, retry_after_ms)


def _outcome_of(error: BackendError) -> SlotOutcome:
    if error.code in ("not_sent", "aborted"):
        return SlotOutcome.NOT_SENT
    if error.verdict is RunVerdict.NOT_RUN:
        return SlotOutcome.REFUSED
    return SlotOutcome.FAILED
