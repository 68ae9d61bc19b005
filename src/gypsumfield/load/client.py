"""Sends one request of the load tool over HTTP and classifies the outcome."""

import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import Literal
from typing import NamedTuple
from urllib.parse import urlsplit

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from sseclient import SSEClient

from gypsumfield.caller_api import ErrorBody
from gypsumfield.clock import MS_PER_S
from gypsumfield.load.arrivals import PlannedRequest

CONNECT_TIMEOUT_MS = 5_000.0
READ_TIMEOUT_MS = 120_000.0
CHARACTERS_PER_TOKEN = 4
END_OF_STREAM = "[DONE]"
EVENT_END = b"\n\n"

OutcomeKind = Literal[
    "whole", "refused", "ended_with_error", "truncated", "corrupt", "unreachable"
]


class RequestOutcome(NamedTuple):
    """Outcome of one request.

    Attributes:
        kind: ``whole``, a complete and correct answer; ``refused``, an error status;
            ``ended_with_error``, an error event in the stream; ``truncated``, a broken
            connection or an end without the end marker; ``corrupt``, tokens missing
            or out of order, or no finish reason; ``unreachable``, every entry host
            refused the connection.
        status: HTTP status; 0 without an answer.
        code: Code of the error, or empty.
        verdict: Run verdict of the error, or empty.
        token_count: Number of tokens received.
        first_token_ms: Time from sending to the first token; None without a token.
        gaps_ms: Times between successive tokens.
        elapsed_ms: Time from sending to the end of the answer.
    """

    kind: OutcomeKind
    status: int = 0
    code: str = ""
    verdict: str = ""
    token_count: int = 0
    first_token_ms: float | None = None
    gaps_ms: tuple[float, ...] = ()
    elapsed_ms: float = 0.0


class _Choice(msgspec.Struct):
    text: str = ""
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: tuple[_Choice, ...]


class _Error(NamedTuple):
    code: str
    verdict: str


_decode_chunk = msgspec.json.Decoder(_Chunk).decode
_decode_error = msgspec.json.Decoder(ErrorBody).decode


def send_request(
    request: PlannedRequest, number: int, key: str, urls: list[str]
) -> RequestOutcome:
    """Send one request to the first of ``urls`` that accepts a connection.

    Args:
        request: The request.
        number: Number of the request; it becomes part of the prompt.
        key: API key of the account.
        urls: URLs of entry hosts, in the order in which a load balancer would try
            them.
    """
    started_ms = _now_ms()
    for url in urls:
        parts = urlsplit(url)
        client = HTTPClient(
            parts.hostname,
            parts.port,
            connection_timeout=CONNECT_TIMEOUT_MS / MS_PER_S,
            network_timeout=READ_TIMEOUT_MS / MS_PER_S,
        )
        try:
            outcome = _exchange(client, request, number, key, started_ms)
        except ConnectionRefusedError:
            continue
        except (OSError, HTTPParseError):
            outcome = RequestOutcome("truncated")
        finally:
            client.close()
        return outcome._replace(elapsed_ms=_now_ms() - started_ms)
    return RequestOutcome("unreachable", elapsed_ms=_now_ms() - started_ms)


def build_prompt(request: PlannedRequest, number: int) -> str:
    """Return a prompt of ``request.prompt_tokens`` tokens.

    It contains the length of the answer that the stand-in engine generates.
    """
    prefix = f"request {number} [tokens={request.output_tokens}] "
    return prefix.ljust(request.prompt_tokens * CHARACTERS_PER_TOKEN, ".")


def _exchange(
    client: Any, request: PlannedRequest, number: int, key: str, started_ms: float
) -> RequestOutcome:
    traffic = request.traffic
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    if traffic.kind == "plain":
        path = f"/services/{traffic.service}{traffic.path}"
        body = b"" if traffic.body is None else msgspec.json.encode(traffic.body)
        response = client.request(traffic.method, path, body=body, headers=headers)
        return _read_plain_response(response)
    completion_request = {
        "model": traffic.service,
        "prompt": build_prompt(request, number),
        "max_tokens": traffic.max_tokens,
        "stream": True,
    }
    body = msgspec.json.encode(completion_request)
    response = client.request("POST", "/v1/completions", body=body, headers=headers)
    if response.status_code != 200:
        return _refused_outcome(response)
    expected_count = min(request.output_tokens, traffic.max_tokens)
    return _StreamReader(response, expected_count, started_ms).read_stream()


def _read_plain_response(response: Any) -> RequestOutcome:
    status = response.status_code
    if status >= 400:
        return _refused_outcome(response)
    response.read()
    kind: OutcomeKind = "whole" if response.message_complete else "truncated"
    return RequestOutcome(kind, status)


def _refused_outcome(response: Any) -> RequestOutcome:
    error = _decode_error_body(bytes(response.read()))
    return RequestOutcome("refused", response.status_code, error.code, error.verdict)


def _decode_error_body(body: bytes | str) -> _Error:
    try:
        detail = _decode_error(body).error
    except msgspec.MsgspecError:
        return _Error("unknown", "")
    return _Error(detail.code, detail.run)


class _StreamReader:
    """Reads a stream of server-sent events and records the times of its tokens."""

    def __init__(self, response: Any, expected_count: int, started_ms: float) -> None:
        self._response = response
        self._expected_count = expected_count
        self._started_ms = started_ms
        self._first_token_ms: float | None = None
        self._latest_token_ms = started_ms
        self._gaps_ms: list[float] = []
        self._token_count = 0
        self._is_in_order = True
        self._has_finished = False

    def read_stream(self) -> RequestOutcome:
        kind: OutcomeKind = "truncated"
        error = _Error("", "")
        try:
            for event in SSEClient(self._blocks()).events():
                if event.event == "error":
                    kind = "ended_with_error"
                    error = _decode_error_body(event.data)
                elif event.data == END_OF_STREAM:
                    kind = "whole" if self._is_answer_correct() else "corrupt"
                else:
                    self._process_chunk(event.data)
        except (OSError, HTTPParseError):
            pass
        return RequestOutcome(
            kind=kind,
            status=self._response.status_code,
            code=error.code,
            verdict=error.verdict,
            token_count=self._token_count,
            first_token_ms=self._first_token_ms,
            gaps_ms=tuple(self._gaps_ms),
        )

    def _blocks(self) -> Iterator[bytes]:
        readline: Callable[[bytes], bytes] = self._response.readline
        while block := readline(EVENT_END):
            yield bytes(block)

    def _process_chunk(self, data: str) -> None:
        choice = _decode_chunk(data).choices[0]
        self._has_finished = self._has_finished or choice.finish_reason is not None
        if not choice.text:
            return
        now_ms = _now_ms()
        if self._first_token_ms is None:
            self._first_token_ms = now_ms - self._started_ms
        else:
            self._gaps_ms.append(now_ms - self._latest_token_ms)
        self._latest_token_ms = now_ms
        self._token_count += 1
        if choice.text != f"w{self._token_count} ":
            self._is_in_order = False

    def _is_answer_correct(self) -> bool:
        is_complete = self._token_count == self._expected_count
        return self._is_in_order and self._has_finished and is_complete


def _now_ms() -> float:
    return time.monotonic() * MS_PER_S
