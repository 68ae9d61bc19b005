"""Calls to an engine about its own state and the memory of its runs."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import gevent.socket
import msgspec

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.backends import OutgoingRequest
from gypsumfield.clock import MS_PER_S
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.calls import AnswerMetadata
from gypsumfield.gateway.calls import CopyResult
from gypsumfield.gateway.calls import EngineState
from gypsumfield.gateway.model import BackendServer
from gypsumfield.platform.headers import decode_answer
from gypsumfield.verdicts import RunVerdict

CONNECT_TIMEOUT_MS = 300.0
ANSWER_MS = 500.0
# An answer of a few hundred bytes is over by then, or never.
TOTAL_MS = 1_000.0
ANSWER_LIMIT_BYTES = 1_048_576
OK_STATUS = 200
UNAVAILABLE_STATUS = 503
_ID_HEADER = "X-Call-Id"


class _WireReport(msgspec.Struct):
    state: str = ""
    # Time until the engine is gone, where it knows.
    leaves_ms: float | None = None
    # Requests that wait for a slot.
    queued: int = 0
    # Memory that cannot be freed for others; cached parts are left out.
    kv_used: int = 0


class _WireMove(msgspec.Struct):
    handle: Any = ""
    # Events generated so far, not a time.
    created: int = 0


class _WireHold(msgspec.Struct):
    hold: Any


class _Answer(NamedTuple):
    status: int
    body: bytes


class EngineClient:
    """Calls to engines beside the callers' own requests.

    Args:
        note_marks: Called with the engine, the status and what the answer says of
            its server, as soon as the head of an answer is read.
    """

    def __init__(
        self, note_marks: Callable[[BackendServer, int, AnswerMetadata], None]
    ) -> None:
        self._note_marks = note_marks

    def read_state(self, server: BackendServer) -> EngineState:
        """Ask an engine for its load and whether it leaves.

        Raises:
            BackendError: It did not answer, or not in its proper form.
        """
        timeouts = _bounded(ANSWER_MS, TOTAL_MS)
        answer = self._call(server, "GET", "/-/report", b"", timeouts)
        try:
            report = msgspec.json.decode(answer.body, type=_WireReport)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise BackendError(f"report: {error}", RunVerdict.NOT_RUN) from error
        return EngineState(
            is_leaving=report.state == "draining" or report.leaves_ms is not None,
            waiting_count=report.queued,
            used_tokens=report.kv_used,
        )

    def copy_run(
        self, server: BackendServer, request_id: str, target: str, timeout_ms: float
    ) -> CopyResult:
        """Copy a run's memory to another engine; the run goes on meanwhile.

        A second call copies only what is new. Blocks until the copy is complete.

        Args:
            server: Engine that runs the request.
            request_id: The run.
            target: ``IP:PORT`` of the engine that is to hold the copy.
            timeout_ms: Bound on the whole call.

        Raises:
            BackendError: The engine did not answer.
        """
        body = msgspec.json.encode({"id": request_id, "to": target, "final": False})
        timeouts = _bounded(timeout_ms, timeout_ms)
        answer = self._call(server, "POST", "/-/kv-move", body, timeouts)
        try:
            move = msgspec.json.decode(answer.body, type=_WireMove)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            # Refusals may come without a body.
            move = _WireMove()
        handle = "" if move.handle is None else str(move.handle)
        is_complete = answer.status == OK_STATUS
        return CopyResult(is_complete, handle, move.created, answer.status)

    def reserve(
        self, server: BackendServer, tokens: int, lifetime_ms: float
    ) -> str | None:
        """Reserve a slot and memory at an engine for one request.

        Returns:
            The name of the reservation, or None when the engine has no room.

        Raises:
            BackendError: It did not answer, or not in its proper form.
        """
        body = msgspec.json.encode({"tokens": tokens, "ttl_ms": int(lifetime_ms)})
        timeouts = _bounded(ANSWER_MS, TOTAL_MS)
        answer = self._call(server, "POST", "/-/hold-take", body, timeouts)
        if answer.status == UNAVAILABLE_STATUS:
            return None
        if answer.status != OK_STATUS:
            raise BackendError(
                f"a reservation was answered with {answer.status}", RunVerdict.NOT_RUN
            )
        try:
            return str(msgspec.json.decode(answer.body, type=_WireHold).hold)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise BackendError(f"reservation: {error}", RunVerdict.NOT_RUN) from error

    def _call(
        self,
        server: BackendServer,
        method: str,
        target: str,
        body: bytes,
        timeouts: ExchangeTimeouts,
    ) -> _Answer:
        headers = {"Content-Type": "application/json"} if body else {}
        request = OutgoingRequest(
            server.address,
            method,
            target,
            headers,
            body,
            "",
            _ID_HEADER,
            must_echo_id=False,
        )
        exchange = Exchange(request, timeouts, AbortHandle())
        try:
            status = exchange.open(lambda: "")
            self._note_marks(server, status, decode_answer(exchange.header_items()))
            return _Answer(status, exchange.read_body(ANSWER_LIMIT_BYTES))
        finally:
            exchange.close()


def _bounded(silence_ms: float, total_ms: float) -> ExchangeTimeouts:
    return ExchangeTimeouts(
        CONNECT_TIMEOUT_MS, silence_ms, silence_ms, total_ms=total_ms
    )


def can_connect(address: str) -> bool:
    """Return whether a server accepts a connection within a few round trips."""
    ip, _, port = address.rpartition(":")
    try:
        connection = gevent.socket.create_connection(
            (ip, int(port)), CONNECT_TIMEOUT_MS / MS_PER_S
        )
    except OSError:
        return False
    connection.close()
    return True
