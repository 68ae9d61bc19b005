"""Calls to plain services: the answer is read whole before it is sent to the caller."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from gypsumfield.decisions.fleet_shares import RetryShare
from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.events import RequestRetried
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.attempt import AttemptDependencies
from gypsumfield.gateway.attempt import log_placement
from gypsumfield.gateway.attempt import open_answer
from gypsumfield.gateway.attempt import read_whole_body
from gypsumfield.gateway.attempt import record_failure
from gypsumfield.gateway.attempt import refusal_after_failure
from gypsumfield.gateway.attempt import SUCCESS_STATUSES
from gypsumfield.gateway.calls import SendOptions
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import CallKind
from gypsumfield.gateway.scheduling import HedgedCalls
from gypsumfield.gateway.scheduling import PlannedAttempt
from gypsumfield.gateway.server_placement import ServerPlacement
from gypsumfield.verdicts import RunVerdict

SERVER_ERROR_STATUS = 500
# Attempts that a server refused before it ran them do not count as runs, but each one
# costs time and a part of the retry budget that all hosts share.
REFUSED_ATTEMPT_LIMIT = 3
# An idempotent call is retried when its answer takes longer than this multiple of the
# route's target latency.
RETRY_LATENCY_FACTOR = 2.0


class BufferedAnswer(NamedTuple):
    """Answer of a server whose body was read to its end."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class PlainCallDependencies(NamedTuple):
    """Dependencies of plain calls.

    Attributes:
        attempts: Dependencies for sending one attempt.
        ledger: Counts runs in flight.
        retry_share: Returns this host's share of the retries of a service.
        host_count: Returns how many hosts may exist, or None while too little is known.
        hedges: Sends the first attempt, and a second one if its answer is late.
    """

    attempts: AttemptDependencies
    ledger: Ledger
    retry_share: Callable[[str], RetryShare]
    host_count: Callable[[], int | None]
    hedges: HedgedCalls


class _CallProgress:
    """Attempts of one call so far.

    Attributes:
        server_ids: Servers that the call was sent to, in order.
        run_count: Attempts that have run or may have run.
        failure: Answer of a server with a server error status; the caller gets it
            when no other server answers.
    """

    def __init__(self) -> None:
        self.server_ids: list[str] = []
        self.run_count = 0
        self.failure: BufferedAnswer | None = None


def call_plain_service(deps: PlainCallDependencies, job: Job) -> BufferedAnswer:
    """Send a call to one server after the other and return the first usable answer.

    Raises:
        RefusedError: No server answered; the refusal's verdict says whether the call
            may have run.
    """
    clock = deps.attempts.clock
    share = deps.retry_share(job.service)
    progress = _CallProgress()
    last_error = BackendError("no server is known", RunVerdict.NOT_RUN, "no_server")
    deps.attempts.part_guard.refuse_condemned(job)
    while True:
        placement = deps.attempts.placer.place_plain(job.service, progress.server_ids)
        if placement is None:
            break
        if not deps.attempts.permits.acquire_for_job(
            job, placement.server, placement.candidate_count
        ):
            if job.abort.reason:
                break
            continue
        if progress.server_ids and not share.take(
            clock.monotonic_ms(), deps.host_count()
        ):
            break
        is_first = not progress.server_ids
        attempt = _begin_attempt(deps, job, progress, placement)
        try:
            if not is_first:
                return attempt.send(job)
            return _send_first(deps, job, progress, attempt)
        except BackendError as error:
            last_error = _error_to_report(last_error, error.without_traceback())
            if not _may_retry(deps, job, progress, error, clock.monotonic_ms()):
                break
    if progress.failure is not None:
        return progress.failure
    if not progress.run_count:
        deps.attempts.part_guard.refuse_condemned(job)
    pause_ms = deps.attempts.placer.pause_ms(job.service)
    raise refusal_after_failure(last_error, job.remaining_ms(clock) <= 0.0, pause_ms)


def _send_first(
    deps: PlainCallDependencies,
    job: Job,
    progress: _CallProgress,
    attempt: PlannedAttempt[BufferedAnswer],
) -> BufferedAnswer:
    """Send the first attempt, and a second one if its answer is late.

    Raises:
        BackendError: The attempts failed, or the call may run again after an answer
            with a server error status: it came while the other attempt still counted
            as a run, and that one was refused.
    """
    answer = deps.hedges.send(
        job,
        attempt,
        partial(deps.attempts.placer.place_plain, job.service, progress.server_ids),
        partial(_begin_attempt, deps, job, progress),
    )
    if answer.status >= SERVER_ERROR_STATUS and _may_run_again(job, progress):
        raise _server_failure(progress, answer)
    return answer


def _server_failure(progress: _CallProgress, answer: BufferedAnswer) -> BackendError:
    """Return the error for an answer that is kept while the call may run again."""
    progress.failure = answer
    return BackendError(
        f"the server failed with {answer.status}", RunVerdict.RAN, "failed"
    )


def _begin_attempt(
    deps: PlainCallDependencies,
    job: Job,
    progress: _CallProgress,
    placement: ServerPlacement,
) -> PlannedAttempt[BufferedAnswer]:
    """Count and log an attempt, which the caller of this function then sends.

    Its run counts from now on, before another greenlet can place a call by the loads.
    """
    server = placement.server
    run = Run(server.server_id, 0, 0)
    deps.ledger.begin(run)
    _log_attempt(deps, job, progress, placement)
    progress.server_ids.append(server.server_id)
    number = len(progress.server_ids)

    def send(own_job: Job) -> BufferedAnswer:
        sent_ms = deps.attempts.clock.monotonic_ms()
        try:
            return _send_to(deps, own_job, server, progress)
        except BackendError as error:
            record_failure(deps.attempts, job, server, number, error, sent_ms)
            deps.hedges.record_failure(job.service, error)
            raise
        finally:
            deps.ledger.end(run)

    return PlannedAttempt(server, send)


def _send_to(
    deps: PlainCallDependencies,
    job: Job,
    server: BackendServer,
    progress: _CallProgress,
) -> BufferedAnswer:
    attempts = deps.attempts
    limit_ms = _attempt_limit_ms(deps, job, progress)
    options = SendOptions(server.server_id, ANY_VERSION, limit_ms, job.account_name)
    sent_ms = attempts.clock.monotonic_ms()
    progress.run_count += 1
    try:
        opened = open_answer(attempts, job, server, options)
        try:
            body = read_whole_body(attempts, job, server, opened)
        except BackendError:
            opened.exchange.close()
            raise
        opened.exchange.finish()
    except BackendError as error:
        if error.verdict is RunVerdict.NOT_RUN:
            progress.run_count -= 1
        raise
    headers = attempts.wire.answer_headers(opened.headers)
    buffered = BufferedAnswer(opened.status, headers, body)
    if opened.status >= SERVER_ERROR_STATUS and _may_run_again(job, progress):
        raise _server_failure(progress, buffered)
    if opened.status in SUCCESS_STATUSES:
        attempts.part_guard.record_answer(job, sent_ms, is_complete=True)
    latency_ms = attempts.clock.monotonic_ms() - sent_ms
    attempts.placer.record_success(server, latency_ms)
    if opened.status < SERVER_ERROR_STATUS:
        deps.hedges.record_latency(job.service, latency_ms)
    return buffered


def _attempt_limit_ms(
    deps: PlainCallDependencies, job: Job, progress: _CallProgress
) -> float:
    remaining_ms = max(1.0, job.remaining_ms(deps.attempts.clock))
    may_run_again = (
        job.route.kind is CallKind.IDEMPOTENT
        and progress.run_count + 1 < job.route.max_attempts
    )
    if not may_run_again:
        return remaining_ms
    return min(remaining_ms, RETRY_LATENCY_FACTOR * job.route.target_latency_ms)


def _may_run_again(job: Job, progress: _CallProgress) -> bool:
    return (
        job.route.kind is CallKind.IDEMPOTENT
        and progress.run_count < job.route.max_attempts
    )


def _may_retry(
    deps: PlainCallDependencies,
    job: Job,
    progress: _CallProgress,
    error: BackendError,
    now_ms: float,
) -> bool:
    if job.abort.reason or now_ms >= job.deadline_ms:
        return False
    if deps.attempts.part_guard.is_condemned(job):
        return False
    if deps.attempts.placer.should_forward(job):
        return False
    if error.verdict is RunVerdict.NOT_RUN:
        return len(progress.server_ids) < progress.run_count + REFUSED_ATTEMPT_LIMIT
    return _may_run_again(job, progress)


def _error_to_report(earlier: BackendError, later: BackendError) -> BackendError:
    """Return the later error, unless only the earlier attempt may have run."""
    may_have_run = earlier.verdict is not RunVerdict.NOT_RUN
    if may_have_run and later.verdict is RunVerdict.NOT_RUN:
        return earlier
    return later


def _log_attempt(
    deps: PlainCallDependencies,
    job: Job,
    progress: _CallProgress,
    placement: ServerPlacement,
) -> None:
    attempts = deps.attempts
    log_placement(attempts, job, placement, len(progress.server_ids) + 1)
    if progress.server_ids:
        attempts.emit(
            RequestRetried(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                backend_server=placement.server.server_id,
                attempt=len(progress.server_ids) + 1,
            )
        )
