"""Headers of calls: what a caller asks, what a server is told, what it answers."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from gypsumfield.clock import MS_PER_S
from gypsumfield.gateway.calls import AnswerMetadata
from gypsumfield.gateway.calls import CallHeaders
from gypsumfield.gateway.calls import ResumePoint
from gypsumfield.gateway.calls import SendOptions

REQUEST_ID = "X-Attempt-Id"
DEADLINE = "X-Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
SEAL = "X-Response-Seal"
ACCOUNT = "X-Tenant"
EXPECTED_SERVER = "X-Expect-Instance"
NOT_RUN = "X-Not-Executed"
# Prompt tokens and the most output tokens, with a comma between.
TOKEN_COUNTS = "X-Token-Counts"
LENGTH_HINT = "X-Length-Hint"
# Never set: an engine lets a more urgent request preempt a running one, which then
# reads its prompt again. The hosts' queues decide who goes first.
URGENCY = "X-Request-Urgency"
COPY_SOURCE = "Kv-From"
BACKUP_TARGET = "X-Kv-Backup"
RESERVATION = "X-Hold"
LEAVING = "Server-Leaving"
LEAVING_VALUE = "1"
RETRY_AFTER = "Retry-After"
AUTHORIZATION = "Authorization"
# Longest part of a header's value that goes to the log.
ODD_TEXT_LIMIT = 60
KEY_SCHEME = "Token "

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
# Headers that a caller must not set for the server.
_OURS = frozenset(
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

    A malformed number counts as not given: the server judges its own headers.
    """
    values = {name.lower(): value.strip() for name, value in items}
    prompt_tokens, max_tokens = _token_counts(values.get(TOKEN_COUNTS.lower(), ""))
    key = values.get(AUTHORIZATION.lower(), "")
    return CallHeaders(
        request_id=values.get(REQUEST_ID.lower(), ""),
        host=values.get("host", "").partition(":")[0].lower(),
        key=key.removeprefix(KEY_SCHEME).strip() if key.startswith(KEY_SCHEME) else "",
        time_limit_ms=_number(values.get(DEADLINE.lower(), "")),
        last_event_id=values.get(LAST_EVENT_ID.lower(), ""),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        expected_tokens=int(_number(values.get(LENGTH_HINT.lower(), "")) or 0),
    )


def encode_request(
    items: Sequence[tuple[str, str]], host: str, order: SendOptions
) -> dict[str, str]:
    """Return the headers for a backend server: the caller's and our own."""
    headers: dict[str, str] = {"Host": host}
    for name, value in items:
        lowered = name.lower()
        if lowered in _HOP_BY_HOP or lowered in _OURS:
            continue
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    headers[DEADLINE] = str(max(1, int(order.time_limit_ms)))
    headers[EXPECTED_SERVER] = order.server_id
    if order.account:
        headers[ACCOUNT] = order.account
    if order.backup_address:
        headers[BACKUP_TARGET] = order.backup_address
    if order.reservation:
        headers[RESERVATION] = order.reservation
    headers.update(_resume_headers(order.resume))
    return headers


def decode_answer(items: Iterable[tuple[str, str]]) -> AnswerMetadata:
    """Decode what a server's answer says about itself."""
    values = {name.lower(): value.strip() for name, value in items}
    leaving = values.get(LEAVING.lower())
    retry_after = values.get(RETRY_AFTER.lower())
    retry_after_s = None if retry_after is None else _number(retry_after)
    invalid_header = ""
    if leaving not in (None, LEAVING_VALUE):
        invalid_header = f"{LEAVING}: {leaving}"
    elif retry_after is not None and retry_after_s is None:
        invalid_header = f"{RETRY_AFTER}: {retry_after}"
    return AnswerMetadata(
        request_id=values.get(REQUEST_ID.lower(), ""),
        is_sealed=SEAL.lower() in values,
        is_not_run=NOT_RUN.lower() in values,
        is_encoded=bool(values.get("content-encoding", "")),
        is_leaving=leaving == LEAVING_VALUE,
        quiet_ms=None if retry_after_s is None else retry_after_s * MS_PER_S,
        invalid_header=invalid_header[:ODD_TEXT_LIMIT],
    )


def answer_headers(items: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers of a server's answer that go on to the caller."""
    return [item for item in items if item[0].lower() not in _HOP_BY_HOP]


def error_headers(request_id: str) -> list[tuple[str, str]]:
    """Return the headers of an answer of our own that name the request."""
    return [(REQUEST_ID, request_id)] if request_id else []


def _resume_headers(resume: ResumePoint | None) -> Mapping[str, str]:
    if resume is None:
        return {}
    headers = {}
    if resume.last_event_id:
        headers[LAST_EVENT_ID] = resume.last_event_id
    if resume.copy_name:
        headers[COPY_SOURCE] = f"{resume.copy_address}/{resume.copy_name}"
    return headers


def _token_counts(text: str) -> tuple[int, int]:
    prompt, _, most = text.partition(",")
    return int(_number(prompt) or 0), int(_number(most) or 0)


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < 1e12 else None
