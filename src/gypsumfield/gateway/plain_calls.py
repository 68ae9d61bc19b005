"""Calls whose answer is read whole before it goes to the caller."""

from collections.abc import Callable
from typing import NamedTuple

from gypsumfield.decisions.fleet_shares import RetryShare
from gypsumfield.events import RequestRetried
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.attempt import AttemptDependencies
from gypsumfield.gateway.attempt import log_placement
from gypsumfield.gateway.attempt import note_failure
from gypsumfield.gateway.attempt import open_answer
from gypsumfield.gateway.attempt import refusal_after_failure
from gypsumfield.gateway.calls import SendOptions
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import CallKind
from gypsumfield.gateway.placing import ServerPlacement
from gypsumfield.verdicts import RunVerdict

# An answer is read whole; the smallest hosts have 128 MB for all their calls.
ANSWER_LIMIT_BYTES = 8 * 1_048_576
SERVER_ERROR_STATUS = 500
# Tries that were refused before they ran do not count as runs, but each costs
# time and a part of the shared budget.
REFUSED_TRIES = 3
# An idempotent call is repeated when its answer takes this multiple of the
# time that earns full credit.
PATIENCE_FACTOR = 2.0


class BufferedAnswer(NamedTuple):
    """Answer of a server, read to its end."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class PlainCallDependencies(NamedTuple):
    """What plain calls use.

    Attributes:
        attempts: Sending.
        ledger: Runs in flight.
        retry_share: This host's part of the repeats of a service.
        host_count: Hosts that may exist; None while too little is known of them.
    """

    attempts: AttemptDependencies
    ledger: Ledger
    retry_share: Callable[[str], RetryShare]
    host_count: Callable[[], int | None]


class _Tries:
    """Servers that a call has been sent to.

    Attributes:
        server_ids: The servers, in order.
        run_count: Tries that have run or may have run.
        failure: Whole answer of a server that failed, in case no other
            server does better.
    """

    def __init__(self) -> None:
        self.server_ids: list[str] = []
        self.run_count = 0
        self.failure: BufferedAnswer | None = None


def call_plain(ports: PlainCallDependencies, job: Job) -> BufferedAnswer:
    """Return a server's whole answer to a call.

    Raises:
        RefusedError: No server answered; the answer says whether it may have run.
    """
    clock = ports.attempts.clock
    share = ports.retry_share(job.service)
    share.note_request(clock.monotonic_ms())
    tries = _Tries()
    last = BackendError("no server is known", RunVerdict.NOT_RUN, "no_server")
    while True:
        place = ports.attempts.placer.place_plain(job.service, tries.server_ids)
        if place is None:
            break
        if tries.server_ids and not share.take(
            clock.monotonic_ms(), ports.host_count()
        ):
            break
        _log_placed(ports, job, tries, place)
        tries.server_ids.append(place.server.server_id)
        try:
            answer = _call_one(ports, job, place.server, tries)
        except BackendError as error:
            note_failure(
                ports.attempts, job, place.server, len(tries.server_ids), error
            )
            last = _worse(last, error)
            if not _may_repeat(job, tries, error, clock.monotonic_ms()):
                break
            continue
        return answer
    if tries.failure is not None:
        return tries.failure
    quiet_ms = ports.attempts.placer.quiet_ms(job.service)
    raise refusal_after_failure(last, job.remaining_ms(clock) <= 0.0, quiet_ms)


def _call_one(
    ports: PlainCallDependencies, job: Job, server: BackendServer, tries: _Tries
) -> BufferedAnswer:
    attempts = ports.attempts
    limit_ms = _time_limit_ms(ports, job, tries)
    order = SendOptions(server.server_id, limit_ms, job.account_name)
    run = Run(server.server_id, 0, 0)
    ports.ledger.begin(run)
    sent_ms = attempts.clock.monotonic_ms()
    tries.run_count += 1
    try:
        answer = open_answer(attempts, job, server, order)
        try:
            body = answer.exchange.read_body(ANSWER_LIMIT_BYTES, True)
        except BackendError:
            answer.exchange.close()
            raise
        answer.exchange.finish()
    except BackendError as error:
        if error.verdict is RunVerdict.NOT_RUN:
            tries.run_count -= 1
        raise
    finally:
        ports.ledger.end(run)
    headers = attempts.wire.answer_headers(answer.headers)
    whole = BufferedAnswer(answer.status, headers, body)
    if answer.status >= SERVER_ERROR_STATUS and _may_run_again(job, tries):
        tries.failure = whole
        raise BackendError(
            f"the server failed with {answer.status}", RunVerdict.RAN, "failed"
        )
    attempts.placer.note_success(server, attempts.clock.monotonic_ms() - sent_ms)
    return whole


def _time_limit_ms(ports: PlainCallDependencies, job: Job, tries: _Tries) -> float:
    remaining_ms = max(1.0, job.remaining_ms(ports.attempts.clock))
    may_run_again = (
        job.route.kind is CallKind.IDEMPOTENT
        and tries.run_count + 1 < job.route.max_attempts
    )
    if not may_run_again:
        return remaining_ms
    return min(remaining_ms, PATIENCE_FACTOR * job.route.target_latency_ms)


def _may_run_again(job: Job, tries: _Tries) -> bool:
    return (
        job.route.kind is CallKind.IDEMPOTENT
        and tries.run_count < job.route.max_attempts
    )


def _may_repeat(job: Job, tries: _Tries, error: BackendError, now_ms: float) -> bool:
    if job.abort.reason or now_ms >= job.deadline_ms:
        return False
    if error.verdict is RunVerdict.NOT_RUN:
        return len(tries.server_ids) < tries.run_count + REFUSED_TRIES
    return _may_run_again(job, tries)


def _worse(known: BackendError, new: BackendError) -> BackendError:
    """Return the error that says more about whether the call may have run."""
    is_run_known = known.verdict is not RunVerdict.NOT_RUN
    if is_run_known and new.verdict is RunVerdict.NOT_RUN:
        return known
    return new


def _log_placed(
    ports: PlainCallDependencies, job: Job, tries: _Tries, place: ServerPlacement
) -> None:
    attempts = ports.attempts
    log_placement(attempts, job, place, len(tries.server_ids) + 1)
    if tries.server_ids:
        attempts.emit(
            RequestRetried(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                backend_server=place.server.server_id,
                attempt=len(tries.server_ids) + 1,
            )
        )
