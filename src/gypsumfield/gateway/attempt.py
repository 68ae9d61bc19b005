"""One request sent to one backend server, and what its answer is worth."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.backends import OutgoingRequest
from gypsumfield.adapters.connections import BackendPool
from gypsumfield.adapters.connections import UNREACHABLE_LIMIT_MS
from gypsumfield.clock import Clock
from gypsumfield.events import AttemptFailed
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.calls import AnswerMetadata
from gypsumfield.gateway.calls import CallHeaders
from gypsumfield.gateway.calls import SendOptions
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.events import RequestPlaced
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import CallKind
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.placing import ServerPlacement
from gypsumfield.gateway.routes import permit_call
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.ports import EmitEvent
from gypsumfield.verdicts import RunVerdict

# A server in reach accepts within a few ms; a lost opening packet is sent again
# only after a second, so that waiting longer gains nothing.
CONNECT_TIMEOUT_MS = 250.0
# Callers stay with a silent stream for about seven seconds; a partition that heals
# within that time lets it go on.
PARTITION_MS = 8_000.0
# Servers that refuse or cannot be reached are replaced in the store within a
# few hundred ms.
RETRY_AFTER_FAILURE_MS = 500.0
MISDIRECTED_STATUS = 421
SUCCESS_STATUSES = range(200, 300)

HeaderItems = Sequence[tuple[str, str]]


class WireFormat(NamedTuple):
    """Headers on the wire, from the platform's adapter.

    Attributes:
        request_id_header: Header that carries and echoes the request id.
        decode_request: Reads a caller's headers.
        encode_request: Makes the headers for a server.
        decode_answer: Reads what an answer says about itself.
        answer_headers: Headers of an answer that go on to the caller.
        error_headers: Headers of an answer of our own.
    """

    request_id_header: str
    decode_request: Callable[[Iterable[tuple[str, str]]], CallHeaders]
    encode_request: Callable[[HeaderItems, str, SendOptions], Mapping[str, str]]
    decode_answer: Callable[[Iterable[tuple[str, str]]], AnswerMetadata]
    answer_headers: Callable[[Iterable[tuple[str, str]]], list[tuple[str, str]]]
    error_headers: Callable[[str], list[tuple[str, str]]]


class AttemptDependencies(NamedTuple):
    """What sending uses."""

    wire: WireFormat
    catalogue: Catalogue
    placer: Placer
    notices: ServerNotices
    pool: BackendPool
    clock: Clock
    emit: EmitEvent


class Outcome(Enum):
    """What the head of an answer is worth."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    SPOILED = "spoiled"


class OpenAnswer(NamedTuple):
    """Head of an answer whose body has not been read."""

    exchange: Exchange
    status: int
    headers: list[tuple[str, str]]
    marks: AnswerMetadata


def open_answer(
    ports: AttemptDependencies, job: Job, server: BackendServer, order: SendOptions
) -> OpenAnswer:
    """Send a job to a server and read the answer's head.

    Raises:
        BackendError: With the verdict of the stage that was reached; also when
            the answer is to another request, or says that the job did not run.
    """
    may_reuse = job.route.is_resumable or job.route.kind is CallKind.IDEMPOTENT
    request = OutgoingRequest(
        address=server.address,
        method=job.method,
        target=job.target,
        headers=ports.wire.encode_request(job.headers, job.call.host, order),
        body=job.body,
        request_id=job.request_id,
        request_id_header=ports.wire.request_id_header,
        must_echo_id=False,
    )
    timeouts = ExchangeTimeouts(
        min(CONNECT_TIMEOUT_MS, order.time_limit_ms),
        order.time_limit_ms,
        order.time_limit_ms,
        PARTITION_MS if job.route.kind is CallKind.STREAM else UNREACHABLE_LIMIT_MS,
    )
    exchange = Exchange(request, timeouts, job.abort, ports.pool if may_reuse else None)

    def check_before_send() -> str:
        is_rescue = order.resume is not None and bool(order.resume.copy_name)
        exclusion_reason = ports.placer.exclusion_reason(
            server, is_rescue
        ) or _withdrawal(ports, job)
        if not exclusion_reason:
            ports.placer.note_sent(server)
        return exclusion_reason

    status = exchange.open(check_before_send)
    answer = OpenAnswer(
        exchange,
        status,
        exchange.header_items(),
        ports.wire.decode_answer(exchange.header_items()),
    )
    ports.notices.record_answer(server, status, answer.marks)
    outcome = judge_head(status, answer.marks, job.request_id)
    if outcome is Outcome.NOT_RUN:
        exchange.close()
        raise BackendError(
            f"the server refused with {status}", RunVerdict.NOT_RUN, "refused"
        )
    if outcome is Outcome.SPOILED:
        exchange.close()
        raise BackendError(
            f"the answer with {status} is not to this request or not sealed",
            RunVerdict.MAY_HAVE_RUN,
            "answer_spoiled",
        )
    return answer


def judge_head(status: int, marks: AnswerMetadata, request_id: str) -> Outcome:
    """Return what the head of an answer is worth."""
    if marks.request_id and marks.request_id != request_id:
        return Outcome.SPOILED
    if status == MISDIRECTED_STATUS or marks.is_not_run:
        return Outcome.NOT_RUN
    if marks.is_encoded:
        return Outcome.SPOILED
    if status in SUCCESS_STATUSES and not (marks.is_sealed and marks.request_id):
        return Outcome.SPOILED
    return Outcome.ANSWERED


def log_placement(
    ports: AttemptDependencies,
    job: Job,
    place: ServerPlacement,
    attempt: int,
    is_resumed: bool = False,
) -> None:
    """Log the choice of a server and what it rested on."""
    is_stream = job.route.kind is CallKind.STREAM
    rate = ports.placer.pace(job.service).prompt_tokens_per_ms if is_stream else 0.0
    ports.emit(
        RequestPlaced(
            request_id=job.request_id,
            account=job.account_name,
            route=job.route.name,
            service=job.service,
            backend_server=place.server.server_id,
            attempt=attempt,
            waited_ms=ports.clock.monotonic_ms() - job.started_ms,
            catalogue_revision=ports.catalogue.revision,
            candidate_count=place.candidate_count,
            committed_tokens=place.committed_tokens,
            stream_count=place.stream_count,
            is_resumed=is_resumed,
            is_advised=place.is_advised,
            prompt_tokens_per_ms=rate,
        )
    )


def note_failure(
    ports: AttemptDependencies,
    job: Job,
    server: BackendServer,
    attempt: int,
    error: BackendError,
) -> None:
    """Log a failed attempt and count it against its server."""
    ports.emit(
        AttemptFailed(
            request_id=job.request_id,
            account=job.account_name,
            service=job.service,
            backend_server=server.server_id,
            attempt=attempt,
            stage=error.code,
            verdict=error.verdict.value,
            reason=str(error),
        )
    )
    is_unreachable = error.code == "unreachable"
    if is_unreachable and isinstance(error.__cause__, TimeoutError):
        ports.placer.note_silence(server)
    elif error.code not in ("aborted", "not_sent"):
        ports.placer.note_failure(server, is_unreachable)


def refusal_after_failure(
    error: BackendError, is_late: bool, quiet_ms: float = 0.0
) -> RefusedError:
    """Return the final answer for a job whose attempts have failed.

    Args:
        error: The failure that says most about whether the job may have run.
        is_late: Whether the job's time is over.
        quiet_ms: When the first server takes requests again, if all want quiet.
    """
    if error.verdict is RunVerdict.NOT_RUN:
        return RefusedError(
            Refusal(
                503,
                "no_capacity",
                "no server took the request",
                RunVerdict.NOT_RUN,
                retry_after_ms=quiet_ms or RETRY_AFTER_FAILURE_MS,
            )
        )
    status = 504 if is_late else 502
    return RefusedError(Refusal(status, error.code, str(error), error.verdict))


def _withdrawal(ports: AttemptDependencies, job: Job) -> str:
    """Return why a job that has waited is no longer allowed, or an empty text."""
    publication = ports.catalogue.publication
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
