"""Sends one request to one backend server and classifies its answer."""

import math
from enum import Enum
from typing import NamedTuple

from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.adapters.connections import FRESH_LIMIT_S
from gypsumfield.adapters.connections import UNREACHABLE_LIMIT_MS
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.clock import Clock
from gypsumfield.events import AttemptFailed
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.answer_ends import AnswerEnds
from gypsumfield.gateway.calls import AnswerMetadata
from gypsumfield.gateway.calls import SendOptions
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.engine_starts import EngineStarts
from gypsumfield.gateway.engine_starts import OTHER_START_CODE
from gypsumfield.gateway.events import RequestPlaced
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import CallKind
from gypsumfield.gateway.part_guard import PartGuard
from gypsumfield.gateway.permits import NO_PERMIT_REASON
from gypsumfield.gateway.permits import Permits
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.routes import permit_call
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.gateway.server_placement import ServerPlacement
from gypsumfield.gateway.wire_format import WireFormat
from gypsumfield.interfaces import EmitEvent
from gypsumfield.verdicts import RunVerdict

# A reachable server accepts a connection within a few milliseconds. TCP resends a
# lost SYN only after a second, so a slightly longer timeout would not help.
CONNECT_TIMEOUT_MS = 250.0
# Callers wait about seven seconds for a stream without events. If a partition heals
# within that time, the stream continues.
STREAM_UNREACHABLE_LIMIT_MS = 8_000.0
# Callers abandon a stream that pauses for two seconds.
RESCUE_PERMIT_WAIT_MS = 1_500.0
# Servers that refuse requests or are unreachable are replaced in the store within a
# few hundred milliseconds.
RETRY_AFTER_FAILURE_MS = 500.0
# Answers are held in memory, and the smallest hosts have 128 MB for all their calls.
ANSWER_LIMIT_BYTES = 8 * 1_048_576
MISDIRECTED_STATUS = 421
NO_PATH_CODE = "no_path"
SUCCESS_STATUSES = range(200, 300)


class AttemptDependencies(NamedTuple):
    """Dependencies of the functions that send requests and report their results.

    Attributes:
        wire: Reads and writes HTTP headers.
        catalogue: Configuration in force and records of servers.
        placer: Selects servers and records the results of requests.
        notices: Stores what servers announce in their answers.
        permits: Permits for requests to servers that have named a limit.
        part_guard: Refuses requests with a part that crashes servers.
        answer_ends: Checks the ends of answers that nothing marks.
        engine_starts: Checks the start of an engine at which a stream goes on.
        pool: Idle connections to servers.
        clock: Monotonic clock.
        emit: Writes an event to the log.
    """

    wire: WireFormat
    catalogue: Catalogue
    placer: Placer
    notices: ServerNotices
    permits: Permits
    part_guard: PartGuard
    answer_ends: AnswerEnds
    engine_starts: EngineStarts
    pool: ConnectionPool
    clock: Clock
    emit: EmitEvent


class Outcome(Enum):
    """Classification of an answer by its status and headers.

    Attributes:
        ANSWERED: The answer belongs to the request and can be forwarded.
        NOT_RUN: The server did not run the request.
        SPOILED: The answer cannot be trusted; the request may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not run"
    SPOILED = "spoiled"


class OpenAnswer(NamedTuple):
    """Status and headers of an answer whose body has not been read yet.

    Attributes:
        exchange: The exchange; its body can be read.
        status: HTTP status.
        headers: Headers of the answer, in order.
        metadata: What they say.
        connected_ms: Monotonic time at which the connection was open.
    """

    exchange: Exchange
    status: int
    headers: list[tuple[str, str]]
    metadata: AnswerMetadata
    connected_ms: float = 0.0


def open_answer(
    deps: AttemptDependencies, job: Job, server: BackendServer, options: SendOptions
) -> OpenAnswer:
    """Send a call to a server and read the status and headers of its answer.

    Raises:
        BackendError: The exchange failed; the verdict follows from the stage that
            it reached. Also raised if the answer belongs to another request or
            states that the call did not run.
    """
    is_rescue = options.resume is not None and bool(options.resume.copy_name)
    is_stream = job.route.kind is CallKind.STREAM
    request = OutgoingRequest(
        address=server.address,
        method=job.method,
        target=job.target,
        headers=deps.wire.encode_request(job.headers, job.call.host, options),
        body=job.body,
        request_id=job.request_id,
        request_id_header=deps.wire.request_id_header,
        must_echo_id=False,
    )
    timeouts = ExchangeTimeouts(
        min(CONNECT_TIMEOUT_MS, options.time_limit_ms),
        options.time_limit_ms,
        options.time_limit_ms,
        STREAM_UNREACHABLE_LIMIT_MS if is_stream else UNREACHABLE_LIMIT_MS,
    )
    max_idle_s = _max_idle_s(deps, job, server, options)
    exchange = Exchange(request, timeouts, job.abort, deps.pool, job.hold, max_idle_s)
    sent_ms = connected_ms = deps.clock.monotonic_ms()

    def check_before_send() -> str:
        nonlocal connected_ms
        connected_ms = deps.clock.monotonic_ms()
        if options.requirement.has_begun:
            # After the connection was opened, which no other start can take over.
            deps.engine_starts.check(job, server, connected_ms)
        if is_rescue:
            _acquire_rescue_permit(deps, job, server)
        reason = (
            deps.placer.exclusion_reason(server, options.requirement, is_rescue)
            or _revocation_reason(deps, job)
            or deps.part_guard.exclusion_reason(job)
        )
        if not reason and not deps.permits.consume(server):
            reason = NO_PERMIT_REASON
        if not reason:
            deps.placer.record_sent(server)
        return reason

    status = exchange.open(check_before_send)
    if not exchange.is_connection_reused:
        # An old connection may outlive the path for new ones.
        deps.placer.record_contact(server)
    answer = OpenAnswer(
        exchange,
        status,
        exchange.header_items(),
        deps.wire.decode_answer(exchange.header_items()),
        connected_ms,
    )
    deps.notices.record_answer(server, status, answer.metadata, sent_ms)
    if not answer.metadata.request_id:
        deps.pool.record_anonymous_answer(server.address)
    outcome = classify_answer(
        status, answer.metadata, job.request_id, exchange.is_connection_reused
    )
    if outcome is Outcome.NOT_RUN:
        exchange.close()
        raise BackendError(
            f"the server refused with {status}",
            RunVerdict.NOT_RUN,
            "refused",
        )
    if outcome is Outcome.SPOILED:
        exchange.close()
        raise BackendError(
            f"the answer with {status} is not to this request or not sealed",
            RunVerdict.MAY_HAVE_RUN,
            "answer_spoiled",
        )
    return answer


def _max_idle_s(
    deps: AttemptDependencies, job: Job, server: BackendServer, options: SendOptions
) -> float:
    """Return the idle time up to which a call may use an idle connection; 0 for none.

    A request that must not be sent twice is lost if its connection turns out to be
    closed or silent. A call to a plain service takes a connection that has just worked.
    A stream that cannot be resumed is worth more than a connection, and one that has
    begun needs a connection that was opened after its engine's start was known.
    """
    if job.route.kind is CallKind.IDEMPOTENT:
        return math.inf
    is_begun = options.resume is not None or options.requirement.has_begun
    if job.route.kind is CallKind.STREAM:
        return FRESH_LIMIT_S if job.route.is_resumable and not is_begun else 0.0
    return 0.0 if deps.pool.answers_anonymously(server.address) else FRESH_LIMIT_S


def read_whole_body(
    deps: AttemptDependencies, job: Job, server: BackendServer, answer: OpenAnswer
) -> bytes:
    """Return the body of an answer that is no stream.

    Raises:
        BackendError: The body is too long, or nothing shows that it is complete.
    """
    body = answer.exchange.read_body(ANSWER_LIMIT_BYTES, True)
    if not answer.exchange.has_end_marker:
        deps.answer_ends.check(job, server)
    return body


def classify_answer(
    status: int,
    metadata: AnswerMetadata,
    request_id: str,
    is_connection_reused: bool = False,
) -> Outcome:
    """Classify an answer by its status and headers.

    Args:
        status: HTTP status.
        metadata: Decoded headers.
        request_id: Id of the request.
        is_connection_reused: Whether the answer may be a late or repeated one to an
            earlier request on its connection.
    """
    if metadata.request_id and metadata.request_id != request_id:
        return Outcome.SPOILED
    if status == MISDIRECTED_STATUS or metadata.is_not_run:
        is_own = bool(metadata.request_id) or not is_connection_reused
        return Outcome.NOT_RUN if is_own else Outcome.SPOILED
    if metadata.is_encoded:
        return Outcome.SPOILED
    if status in SUCCESS_STATUSES and not (metadata.is_sealed and metadata.request_id):
        return Outcome.SPOILED
    return Outcome.ANSWERED


def log_placement(
    deps: AttemptDependencies,
    job: Job,
    placement: ServerPlacement,
    attempt: int,
    is_resumed: bool = False,
) -> None:
    """Log the selection of a server and the loads that it was based on."""
    is_stream = job.route.kind is CallKind.STREAM
    rate = deps.placer.pace(job.service).prompt_tokens_per_ms if is_stream else 0.0
    deps.emit(
        RequestPlaced(
            request_id=job.request_id,
            account=job.account_name,
            route=job.route.name,
            service=job.service,
            backend_server=placement.server.server_id,
            attempt=attempt,
            waited_ms=deps.clock.monotonic_ms() - job.started_ms,
            catalogue_revision=deps.catalogue.revision,
            candidate_count=placement.candidate_count,
            committed_tokens=placement.committed_tokens,
            stream_count=placement.stream_count,
            is_resumed=is_resumed,
            is_advised=placement.is_advised,
            prompt_tokens_per_ms=rate,
            prompt_parts=job.shared_parts,
            content_id=f"{job.content_id:x}",
            software_version=placement.server.software_version,
            predicted_gap_ms=placement.predicted_gap_ms,
            avoided_count=placement.avoided_count,
        )
    )


def record_failure(
    deps: AttemptDependencies,
    job: Job,
    server: BackendServer,
    attempt: int,
    error: BackendError,
    sent_ms: float,
    event_count: int = 0,
) -> None:
    """Log a failed attempt and count it as a failure of its server.

    Attempts that were aborted or never sent are logged only.

    Args:
        deps: The log, the health of servers and the evidence are updated.
        job: The call.
        server: The server of the attempt.
        attempt: Number of the attempt, from 1.
        error: The failure.
        sent_ms: Monotonic time at which the attempt began.
        event_count: Complete events that were received in it.
    """
    deps.emit(
        AttemptFailed(
            request_id=job.request_id,
            account=job.account_name,
            service=job.service,
            backend_server=server.server_id,
            attempt=attempt,
            stage=error.code,
            verdict=error.verdict.value,
            reason=str(error),
            event_count=event_count,
            prompt_parts=job.shared_parts,
            content_id=f"{job.content_id:x}",
        )
    )
    deps.part_guard.record_failure(job, server, error, sent_ms, event_count)
    is_unreachable = error.code == "unreachable"
    if is_unreachable and isinstance(error.__cause__, TimeoutError):
        deps.placer.record_connect_timeout(server)
    elif error.code not in ("aborted", "not_sent", "no_permit", OTHER_START_CODE):
        deps.placer.record_failure(server, is_unreachable)


def refusal_after_failure(
    error: BackendError, is_late: bool, pause_ms: float = 0.0
) -> RefusedError:
    """Return the final answer to a call whose attempts have failed.

    Args:
        error: The failure that says most about whether the call may have run.
        is_late: Whether the call's deadline has passed.
        pause_ms: Time until the first server accepts requests again if all have
            requested a pause, else 0.
    """
    if error.verdict is RunVerdict.NOT_RUN:
        is_path_lost = error.code == "unreachable"
        return RefusedError(
            Refusal(
                503,
                NO_PATH_CODE if is_path_lost else "no_capacity",
                "no server is reachable"
                if is_path_lost
                else "no server took the request",
                RunVerdict.NOT_RUN,
                retry_after_ms=pause_ms or RETRY_AFTER_FAILURE_MS,
            )
        )
    status = 504 if is_late else 502
    return RefusedError(Refusal(status, error.code, str(error), error.verdict))


def _acquire_rescue_permit(
    deps: AttemptDependencies, job: Job, server: BackendServer
) -> None:
    """Wait for a permit to resume a run that can continue only on this engine."""
    permits = deps.permits
    if not permits.acquire(server, RESCUE_PERMIT_WAIT_MS, job.abort, job.request_id):
        raise BackendError(NO_PERMIT_REASON, RunVerdict.NOT_RUN, "no_permit")


def _revocation_reason(deps: AttemptDependencies, job: Job) -> str:
    """Return why a waiting call is no longer permitted, or an empty string."""
    publication = deps.catalogue.publication
    path = job.target.partition("?")[0]
    try:
        permit = permit_call(publication, job.call, path)
    except RefusedError as error:
        return str(error)
    if all(share.service != job.service for share in permit.route.shares):
        return "the route goes to another service now"
    if permit.account != job.account:
        return "the key belongs to another account now"
    return ""
