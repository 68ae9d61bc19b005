"""Calls to plain services: cleaned, sent at most once or repeated by statement."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple
from urllib.parse import parse_qsl
from urllib.parse import quote
from urllib.parse import urlencode

from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import OutgoingRequest
from gypsumfield.adapters.connections import ConnectionPool
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
        job: The admitted request.
        method: HTTP method.
        path: Decoded path below the service, beginning with a slash.
        query: Raw query string.
        headers: Headers as the caller sent them.
        body: Whole body.
        key: Key the caller sent, to keep it from the backend server.
    """

    job: Job
    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    key: str


class PlainAnswer(NamedTuple):
    """Whole answer of a plain service."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class PlainCallDependencies(NamedTuple):
    """What plain calls need from outside."""

    attempts: AttemptDependencies
    relay: RelayDependencies
    pool: ConnectionPool


def call_plain_service(ports: PlainCallDependencies, call: PlainCall) -> PlainAnswer:
    """Return the whole answer of a plain service.

    Raises:
        RefusedError: With a final answer for the caller.
    """

    def perform(attempt: Attempt) -> PlainAnswer:
        return _perform(ports, call, attempt)

    return run_attempts(ports.attempts, call.job, perform)


def check_call(path: str, raw_path: str, key: str, body: bytes) -> Refusal | None:
    """Return a refusal for a path or body that must not be passed on."""
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
    """Return the headers a backend server may see.

    Credentials, hop-by-hop headers and those a connection names, internal
    headers and any that carries the key are left out.
    """
    named = {
        name.strip().lower()
        for field, value in headers.items()
        if field.lower() == "connection"
        for name in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | CREDENTIAL_HEADERS | REPLACED_HEADERS | named
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in dropped
        and not name.lower().startswith(INTERNAL_PREFIX)
        and not (key and key in value)
    }


def clean_query(query: str, key: str) -> str:
    """Return the query string without parameters that are or hold a key."""
    pairs = parse_qsl(query, keep_blank_values=True)
    kept = [
        (name, value)
        for name, value in pairs
        if name.lower() not in CREDENTIAL_PARAMETERS
        and not (key and (key in value or key in name))
    ]
    return urlencode(kept)


def clean_answer_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the answer headers that are passed on to the caller."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in REPLACED_HEADERS
        and not name.lower().startswith(INTERNAL_PREFIX)
    ]


def _perform(
    ports: PlainCallDependencies, call: PlainCall, attempt: Attempt
) -> PlainAnswer:
    job = call.job
    # A call that must not be repeated never goes out on a used connection: the
    # server may close it after reading, and nobody could tell what ran.
    pool = ports.pool if job.is_idempotent else None
    exchange = Exchange(
        _outgoing(call, attempt), exchange_timeouts(ports.relay, job), job.abort, pool
    )
    status = exchange.open(
        lambda: ports.attempts.find_exclusion_reason(job, attempt.placement)
    )
    try:
        body = exchange.read_body(ANSWER_LIMIT_BYTES)
        headers = clean_answer_headers(exchange.header_items())
    except BaseException:
        exchange.close()
        raise
    exchange.finish()
    use = SlotUse(SlotOutcome.COMPLETED)
    ports.attempts.dispatcher.release(job, attempt.placement, use)
    return PlainAnswer(status, headers, body)


def _outgoing(call: PlainCall, attempt: Attempt) -> OutgoingRequest:
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
