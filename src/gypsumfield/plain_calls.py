"""Forwards calls to plain services; retries only calls declared idempotent."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple
from urllib.parse import parse_qsl
from urllib.parse import quote
from urllib.parse import urlencode

from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.attempts import Attempt
from gypsumfield.attempts import AttemptDependencies
from gypsumfield.attempts import run_attempts
from gypsumfield.exceptions import Refusal
from gypsumfield.interfaces import SlotOutcome
from gypsumfield.interfaces import SlotUse
from gypsumfield.jobs import Job
from gypsumfield.relay import exchange_timeouts
from gypsumfield.relay import RelayDependencies

ANSWER_LIMIT_BYTES = 16_777_216
INTERNAL_PREFIX = "x-gypsumfield-"
ACCOUNT_HEADER = "X-Gypsumfield-Account"

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
CREDENTIAL_HEADERS = frozenset(
    {"authorization", "proxy-authorization", "x-api-key", "api-key", "cookie"}
)
REPLACED_HEADERS = frozenset({"host", "content-length", "expect", "x-request-id"})
CREDENTIAL_PARAMETERS = frozenset(
    {"access_token", "api-key", "api_key", "apikey", "authorization", "key", "token"}
)
PATH_SAFE_CHARACTERS = "/!$&'()*+,;=:@-._~"


class PlainCall(NamedTuple):
    """A job for a plain service.

    Attributes:
        job: The validated request.
        method: HTTP method.
        path: Decoded path below the service's prefix; begins with a slash.
        query: Raw query string.
        headers: Headers as the caller sent them.
        body: Complete request body.
        key: Key that the caller sent; it is removed from what is forwarded.
    """

    job: Job
    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    key: str


class PlainAnswer(NamedTuple):
    """Buffered answer of a plain service."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class PlainCallDependencies(NamedTuple):
    """Dependencies of `call_plain_service`.

    `pool` holds idle connections to backend servers.
    """

    attempts: AttemptDependencies
    relay: RelayDependencies
    pool: ConnectionPool


def call_plain_service(deps: PlainCallDependencies, call: PlainCall) -> PlainAnswer:
    """Forward a call and return the buffered answer of the plain service.

    Raises:
        RefusedError: The call is refused.
    """

    def perform(attempt: Attempt) -> PlainAnswer:
        return _perform(deps, call, attempt)

    return run_attempts(deps.attempts, call.job, perform)


def check_call(path: str, raw_path: str, key: str, body: bytes) -> Refusal | None:
    """Return the refusal of a path or body that must not be forwarded, or None.

    A path is refused when a backend server could read it as another one; a path
    or a body is refused when it contains the caller's key.
    """
    segments = path.split("/")[1:]
    is_ambiguous = (
        ".." in segments
        or "." in segments
        or "" in segments[:-1]
        or "\\" in path
        or "%2f" in raw_path.lower()
        or any(ord(character) < 0x20 for character in path)
    )
    if is_ambiguous:
        return Refusal(400, "bad_path", "the path is ambiguous and is not passed on")
    if key and (key in path or key.encode() in body):
        return Refusal(400, "key_in_request", "the key stands in the path or the body")
    return None


def clean_headers(headers: Mapping[str, str], key: str) -> dict[str, str]:
    """Return the headers that are forwarded to a backend server.

    Left out are credentials, hop-by-hop headers, those that the ``Connection``
    header names, internal headers, headers that this host sets itself, and any
    header whose value contains the key.
    """
    connection_options = {
        name.strip().lower()
        for field, value in headers.items()
        if field.lower() == "connection"
        for name in value.split(",")
    }
    dropped = (
        HOP_BY_HOP_HEADERS | CREDENTIAL_HEADERS | REPLACED_HEADERS | connection_options
    )
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in dropped
        and not name.lower().startswith(INTERNAL_PREFIX)
        and not (key and key in value)
    }


def clean_query(query: str, key: str) -> str:
    """Return the query string without credential parameters and without the key."""
    pairs = parse_qsl(query, keep_blank_values=True)
    retained = [
        (name, value)
        for name, value in pairs
        if name.lower() not in CREDENTIAL_PARAMETERS
        and not (key and (key in value or key in name))
    ]
    return urlencode(retained)


def clean_answer_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the answer headers that are forwarded to the caller."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in REPLACED_HEADERS
        and not name.lower().startswith(INTERNAL_PREFIX)
    ]


def _perform(
    deps: PlainCallDependencies, call: PlainCall, attempt: Attempt
) -> PlainAnswer:
    job = call.job
    # A call that is not idempotent is never sent on a reused connection. The
    # server may close such a connection after reading the call, and then it is
    # unknown whether the call has run.
    pool = deps.pool if job.is_idempotent else None
    exchange = Exchange(
        _build_request(call, attempt),
        exchange_timeouts(deps.relay, job),
        job.abort,
        pool,
    )
    status = exchange.open(
        lambda: deps.attempts.find_exclusion_reason(job, attempt.placement)
    )
    try:
        body = exchange.read_body(ANSWER_LIMIT_BYTES)
        headers = clean_answer_headers(exchange.header_items())
    except BaseException:
        exchange.close()
        raise
    exchange.finish()
    use = SlotUse(SlotOutcome.COMPLETED)
    deps.attempts.dispatcher.release(job, attempt.placement, use)
    return PlainAnswer(status, headers, body)


def _build_request(call: PlainCall, attempt: Attempt) -> OutgoingRequest:
    query = clean_query(call.query, call.key)
    target = quote(call.path, safe=PATH_SAFE_CHARACTERS)
    headers = clean_headers(call.headers, call.key)
    if call.job.account:
        headers[ACCOUNT_HEADER] = call.job.account
    return OutgoingRequest(
        address=attempt.backend.address,
        method=call.method,
        target=f"{target}?{query}" if query else target,
        headers=headers,
        body=call.body,
        request_id=call.job.request_id,
    )
