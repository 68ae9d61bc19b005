"""Encodes and decodes the headers of requests to servers and of their answers."""

import re
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from gypsumfield.clock import MS_PER_S
from gypsumfield.gateway.calls import AnswerMetadata
from gypsumfield.gateway.calls import CallHeaders
from gypsumfield.gateway.calls import ResumePoint
from gypsumfield.gateway.calls import SendOptions
from gypsumfield.gateway.calls import TakeUp
from gypsumfield.gateway.wire_format import WireFormat

REQUEST_ID = "X-Attempt-Id"
DEADLINE = "X-Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
# Id of the attempt that brought the first event of the stream that is taken up again.
RESUMED_ID = "Resumes"
SEAL = "X-Response-Seal"
ACCOUNT = "X-Tenant"
EXPECTED_SERVER = "X-Expect-Instance"
# In answers to health checks.
SERVER_ID = "X-Instance-Id"
NOT_RUN = "X-Not-Executed"
# Prompt tokens and the maximum number of output tokens, separated by a comma.
TOKEN_COUNTS = "X-Token-Counts"
LENGTH_HINT = "X-Length-Hint"
# Parts of the prompt in order, as ID:TOKENS, separated by commas.
PROMPT_PARTS = "X-Prompt-Prefix"
# Never sent: an engine preempts a running request for a more urgent one, and the
# preempted request processes its prompt again. The hosts' queues set the order.
URGENCY = "X-Request-Urgency"
COPY_SOURCE = "Kv-From"
BACKUP_TARGET = "X-Kv-Backup"
RESERVATION = "X-Hold"
LEAVING = "Server-Leaving"
LEAVING_VALUE = "1"
RETRY_AFTER = "Retry-After"
# Requests a second that the server accepts from all hosts together.
LIMIT = "Server-Limit"
# Requests a second that the server can refuse before it falls over.
BRITTLE = "Server-Brittle"
AUTHORIZATION = "Authorization"
ID_LIMIT_CHARACTERS = 200
# Characters of an invalid header that are logged.
INVALID_HEADER_LOG_LIMIT = 60
KEY_SCHEME = "Token "

_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers of a caller that are removed, because only this host may set them.
_RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        DEADLINE,
        LAST_EVENT_ID,
        ACCOUNT,
        EXPECTED_SERVER,
        "X-Expect-Version",
        URGENCY,
        "X-Pin-Ms",
        RESERVATION,
        COPY_SOURCE,
        "Kv-Fetch",
        BACKUP_TARGET,
        AUTHORIZATION,
    )
)


def decode_request(items: Iterable[tuple[str, str]]) -> CallHeaders:
    """Decode the headers of a caller's request.

    A malformed number is treated as missing, because the server validates these
    headers itself.
    """
    values = {name.lower(): value.strip() for name, value in items}
    prompt_tokens, max_tokens = _parse_token_counts(
        values.get(TOKEN_COUNTS.lower(), "")
    )
    key = values.get(AUTHORIZATION.lower(), "")
    return CallHeaders(
        request_id=values.get(REQUEST_ID.lower(), ""),
        host=values.get("host", "").partition(":")[0].lower(),
        key=key.removeprefix(KEY_SCHEME).strip() if key.startswith(KEY_SCHEME) else "",
        time_limit_ms=_parse_number(values.get(DEADLINE.lower(), "")),
        last_event_id=values.get(LAST_EVENT_ID.lower(), ""),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        expected_tokens=int(_parse_number(values.get(LENGTH_HINT.lower(), "")) or 0),
        prompt_parts=_parse_prompt_parts(values.get(PROMPT_PARTS.lower(), "")),
        resumed_id=values.get(RESUMED_ID.lower(), "")[:ID_LIMIT_CHARACTERS],
    )


def encode_request(
    items: Sequence[tuple[str, str]], host: str, options: SendOptions
) -> dict[str, str]:
    """Return the headers of a request to a backend server.

    Args:
        items: The caller's headers. Hop-by-hop headers and headers that only this
            host may set are removed.
        host: Value of the ``Host`` header.
        options: Values of the headers that this host adds.
    """
    headers: dict[str, str] = {"Host": host}
    for name, value in items:
        lowered = name.lower()
        if lowered in _HOP_BY_HOP or lowered in _RESERVED_HEADERS:
            continue
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    headers[DEADLINE] = str(max(1, int(options.time_limit_ms)))
    headers[EXPECTED_SERVER] = options.server_id
    if options.account:
        headers[ACCOUNT] = options.account
    if options.backup_address:
        headers[BACKUP_TARGET] = options.backup_address
    if options.reservation:
        headers[RESERVATION] = options.reservation
    headers.update(_encode_resume(options.resume))
    return headers


def forwarded_headers(
    items: Sequence[tuple[str, str]], take_up: TakeUp | None = None
) -> dict[str, str]:
    """Return a caller's headers for another host: all but those of its connection.

    Args:
        items: The caller's headers.
        take_up: Position from which the other host goes on with the stream, or None.
    """
    own = {LAST_EVENT_ID: take_up[0], RESUMED_ID: take_up[1]} if take_up else {}
    replaced = {name.lower() for name in (REQUEST_ID, *own)}
    headers: dict[str, str] = {}
    for name, value in items:
        if name.lower() not in _HOP_BY_HOP | replaced:
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return {**headers, **own}


def decode_answer(items: Iterable[tuple[str, str]]) -> AnswerMetadata:
    """Decode the headers of an answer that describe the answer and its server."""
    values = {name.lower(): value.strip() for name, value in items}
    leaving = values.get(LEAVING.lower())
    retry_after = values.get(RETRY_AFTER.lower())
    retry_after_s = None if retry_after is None else _parse_number(retry_after)
    limit = values.get(LIMIT.lower())
    limit_per_s = None if limit is None else _parse_number(limit)
    brittle = values.get(BRITTLE.lower())
    invalid_header = ""
    if leaving not in (None, LEAVING_VALUE):
        invalid_header = f"{LEAVING}: {leaving}"
    elif retry_after is not None and retry_after_s is None:
        invalid_header = f"{RETRY_AFTER}: {retry_after}"
    elif limit is not None and limit_per_s is None:
        invalid_header = f"{LIMIT}: {limit}"
    return AnswerMetadata(
        request_id=values.get(REQUEST_ID.lower(), ""),
        is_sealed=SEAL.lower() in values,
        is_not_run=NOT_RUN.lower() in values,
        is_encoded=bool(values.get("content-encoding", "")),
        is_leaving=leaving == LEAVING_VALUE,
        pause_ms=None if retry_after_s is None else retry_after_s * MS_PER_S,
        has_limit=limit is not None,
        limit_per_s=limit_per_s,
        is_brittle=brittle is not None,
        refusals_per_s=None if brittle is None else _parse_number(brittle),
        invalid_header=invalid_header[:INVALID_HEADER_LOG_LIMIT],
    )


def answered_server_id(items: Iterable[tuple[str, str]]) -> str:
    """Return the id that a server gives itself in an answer, or an empty string."""
    values = {name.lower(): value.strip() for name, value in items}
    return values.get(SERVER_ID.lower(), "")


def answer_headers(items: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers of a server's answer that are forwarded to the caller."""
    return [item for item in items if item[0].lower() not in _HOP_BY_HOP]


def error_headers(request_id: str) -> list[tuple[str, str]]:
    """Return the request id header for an answer that this host generates."""
    return [(REQUEST_ID, request_id)] if request_id else []


def _encode_resume(resume: ResumePoint | None) -> Mapping[str, str]:
    if resume is None:
        return {}
    headers = {}
    if resume.last_event_id:
        headers[LAST_EVENT_ID] = resume.last_event_id
    if resume.copy_name:
        headers[COPY_SOURCE] = f"{resume.copy_address}/{resume.copy_name}"
    return headers


def _parse_token_counts(text: str) -> tuple[int, int]:
    prompt, _, max_output = text.partition(",")
    return int(_parse_number(prompt) or 0), int(_parse_number(max_output) or 0)


def _parse_prompt_parts(text: str) -> tuple[str, ...]:
    parts = (part.partition(":")[0].strip() for part in text.split(","))
    return tuple(part for part in parts if part)


def _parse_number(text: str) -> float | None:
    return float(text) if _NUMBER.fullmatch(text) else None


WIRE_FORMAT = WireFormat(
    request_id_header=REQUEST_ID,
    decode_request=decode_request,
    encode_request=encode_request,
    forwarded_headers=forwarded_headers,
    decode_answer=decode_answer,
    answer_headers=answer_headers,
    error_headers=error_headers,
)
