"""Calls to an engine about its own state and the memory of its runs."""

from typing import Any
from typing import NamedTuple

import msgspec

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.backends import OutgoingRequest
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.calls import EngineState
from gypsumfield.gateway.calls import MoveResult
from gypsumfield.verdicts import RunVerdict

REPORT_TIMEOUTS = ExchangeTimeouts(connect_ms=300, answer_ms=500, silence_ms=500)
ANSWER_LIMIT_BYTES = 1_048_576
OK_STATUS = 200
_ID_HEADER = "X-Call-Id"


class _WireReport(msgspec.Struct):
    state: str = ""
    # Time until the engine is gone, where it knows.
    leaves_ms: float | None = None
    # Requests that wait for a slot, and those in the batch.
    queued: int = 0
    active: int = 0
    # Memory that cannot be freed for others, cached parts left out.
    kv_used: int = 0
    kv_total: int = 0


class _WireMove(msgspec.Struct):
    handle: Any = ""
    # Events generated so far, not a time.
    created: int = 0


class _Answer(NamedTuple):
    status: int
    body: bytes


def read_state(address: str) -> EngineState:
    """Ask an engine for its load and for its end, if it knows one.

    Raises:
        BackendError: It did not answer, or not in its proper form.
    """
    answer = _call(address, "GET", "/-/report", b"", REPORT_TIMEOUTS)
    try:
        report = msgspec.json.decode(answer.body, type=_WireReport)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BackendError(f"report: {error}", RunVerdict.NOT_RUN) from error
    return EngineState(
        is_leaving=report.state == "draining" or report.leaves_ms is not None,
        leaves_in_ms=report.leaves_ms,
        waiting_count=report.queued,
        running_count=report.active,
        used_tokens=report.kv_used,
        memory_tokens=report.kv_total,
    )


def move_run(
    address: str, request_id: str, target: str, is_final: bool, timeout_ms: float
) -> MoveResult:
    """Copy a run's memory to another engine; blocks until the copy is complete.

    Args:
        address: Engine that runs the request.
        request_id: The run.
        target: ``IP:PORT`` of the engine that is to hold the copy.
        is_final: Whether the run stops first; its stream is closed then.
        timeout_ms: Bound on the whole call.

    Raises:
        BackendError: The engine did not answer.
    """
    body = msgspec.json.encode({"id": request_id, "to": target, "final": is_final})
    timeouts = ExchangeTimeouts(REPORT_TIMEOUTS.connect_ms, timeout_ms, timeout_ms)
    answer = _call(address, "POST", "/-/kv-move", body, timeouts)
    try:
        move = msgspec.json.decode(answer.body, type=_WireMove)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        # Refusals may come without a body.
        move = _WireMove()
    handle = "" if move.handle is None else str(move.handle)
    return MoveResult(answer.status == OK_STATUS, handle, move.created, answer.status)


def _call(
    address: str, method: str, target: str, body: bytes, timeouts: ExchangeTimeouts
) -> _Answer:
    headers = {"Content-Type": "application/json"} if body else {}
    request = OutgoingRequest(
        address, method, target, headers, body, "", _ID_HEADER, must_echo_id=False
    )
    exchange = Exchange(request, timeouts, AbortHandle())
    try:
        status = exchange.open(lambda: "")
        return _Answer(status, exchange.read_body(ANSWER_LIMIT_BYTES))
    finally:
        exchange.close()
