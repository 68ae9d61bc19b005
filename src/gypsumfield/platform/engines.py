"""Calls of this host itself to backend servers, most of them to engines.

Polled reports use idle connections. All other calls open a new one:
they find out which process accepts connections at an address now, or whether any does,
or stop and copy runs, which must not fail on a connection that has gone silent.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple
from typing import TypeVar

import gevent.socket
import msgspec

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.adapters.connections import FRESH_LIMIT_S
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.clock import MS_PER_S
from gypsumfield.decoding import Count
from gypsumfield.decoding import decode
from gypsumfield.decoding import Decoder
from gypsumfield.decoding import Name
from gypsumfield.decoding import Timestamp
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import InvalidDataError
from gypsumfield.gateway.calls import AnswerMetadata
from gypsumfield.gateway.calls import CopyResult
from gypsumfield.gateway.calls import EngineRuns
from gypsumfield.gateway.calls import EngineState
from gypsumfield.gateway.calls import ServerIdentity
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.permits import NO_PERMIT_REASON
from gypsumfield.held_memory import HeldMemory
from gypsumfield.platform.headers import answered_server_id
from gypsumfield.platform.headers import decode_answer
from gypsumfield.verdicts import RunVerdict

CONNECT_TIMEOUT_MS = 300.0
ANSWER_TIMEOUT_MS = 500.0
# Answers have a few hundred bytes; one that takes longer will not complete.
TOTAL_TIMEOUT_MS = 1_000.0
ANSWER_LIMIT_BYTES = 1_048_576
REPORT_TARGET = "/-/report"
# JSON numbers have no bound; no run makes more events than this.
MAX_EVENT_COUNT = 2**53
OK_STATUS = 200
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
_ID_HEADER = "X-Call-Id"
_ReportT = TypeVar("_ReportT")


class _WireReport(msgspec.Struct):
    state: str = ""
    # Time until the engine stops, if it knows.
    leaves_ms: float | None = None
    # Requests that wait for a slot at the engine.
    queued: Count = 0
    # Key-value cache memory that cannot be evicted; excludes reusable prefixes.
    kv_used: Count = 0
    born: Timestamp = 0
    # Lists of request id, tokens in memory, events made and priority.
    executions: Any = None


class _WireRuns(msgspec.Struct):
    born: Timestamp = 0
    # Lists of request id, tokens in memory, events made and priority.
    executions: Any = None


class _WireStart(msgspec.Struct):
    born: Timestamp = 0


class _WireMove(msgspec.Struct):
    handle: Name | Timestamp | None = ""
    # Number of events generated so far, not a timestamp.
    created: Count = 0


class _WireHold(msgspec.Struct):
    hold: Name | Timestamp


_REPORT_DECODER = msgspec.json.Decoder(_WireReport)
_START_DECODER = msgspec.json.Decoder(_WireStart)
_RUNS_DECODER = msgspec.json.Decoder(_WireRuns)
_MOVE_DECODER = msgspec.json.Decoder(_WireMove)
_HOLD_DECODER = msgspec.json.Decoder(_WireHold)


class _Answer(NamedTuple):
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class EngineClient:
    """Client for engine calls that are not requests of callers.

    Args:
        record_metadata: Called with the engine, the status and the metadata of each
            answer, as soon as its headers are read.
        consume_permit: Called right before a call is sent; returns whether the
            engine's limit on requests permits it.
        memory: Counts the bytes that answers hold.
        pool: Idle connections to servers, or None to use each connection once.
    """

    def __init__(
        self,
        record_metadata: Callable[[BackendServer, int, AnswerMetadata], None],
        consume_permit: Callable[[BackendServer], bool],
        memory: HeldMemory,
        pool: ConnectionPool | None = None,
    ) -> None:
        self._record_metadata = record_metadata
        self._consume_permit = consume_permit
        self._memory = memory
        self._pool = pool

    def read_state(self, server: BackendServer) -> EngineState:
        """Request an engine's load and whether it will leave.

        It may use an idle connection: a report that is lost on a silent one is made up
        for by the next, and a connection does not outlive the start that accepted it.

        Raises:
            BackendError: The engine did not answer, or its answer is invalid.
        """
        report = self._read_report(server, _REPORT_DECODER, FRESH_LIMIT_S)
        return EngineState(
            is_leaving=report.state == "draining" or report.leaves_ms is not None,
            waiting_count=report.queued,
            used_tokens=report.kv_used,
            started_wall_ms=report.born,
            event_counts=dict(_event_counts(report.executions)),
        )

    def read_runs(self, server: BackendServer) -> EngineRuns:
        """Request an engine's start and its runs.

        Raises:
            BackendError: The engine did not answer, or its answer is invalid.
        """
        report = self._read_report(server, _RUNS_DECODER)
        lists_runs = isinstance(report.executions, list)
        event_counts = dict(_event_counts(report.executions))
        return EngineRuns(report.born, event_counts, lists_runs)

    def read_server_id(self, server: BackendServer, target: str) -> str:
        """Return the id that the server at an address gives itself, or empty.

        Args:
            server: The server that is expected there.
            target: Path of the service's health checks, or empty.

        Raises:
            BackendError: The server did not answer, or is another one.
        """
        return self.read_identity(server, target).server_id

    def read_identity(self, server: BackendServer, target: str) -> ServerIdentity:
        """Return what the server at an address says of its id and its start.

        Args:
            server: The server that is expected there.
            target: Path of the service's health checks, or empty.

        Raises:
            BackendError: The server did not answer, or is another one.
        """
        timeouts = _timeouts(ANSWER_TIMEOUT_MS, TOTAL_TIMEOUT_MS)
        answer = self._call(server, "GET", target or REPORT_TARGET, b"", timeouts)
        if answer.status == MISDIRECTED_STATUS:
            raise BackendError("another server answered", RunVerdict.NOT_RUN)
        try:
            started_wall_ms = decode(_START_DECODER, answer.body).born
        except InvalidDataError:
            # Health checks need no body.
            started_wall_ms = 0
        return ServerIdentity(answered_server_id(answer.headers), started_wall_ms)

    def copy_run(
        self, server: BackendServer, request_id: str, target: str, timeout_ms: float
    ) -> CopyResult:
        """Copy a run's key-value cache to another engine while the run continues.

        A second call copies only what was added since. Blocks until the copy is
        complete.

        Args:
            server: Engine that runs the request.
            request_id: Id of the request whose run is copied.
            target: ``IP:PORT`` of the engine that receives the copy.
            timeout_ms: Time limit of the whole call.

        Raises:
            BackendError: The engine did not answer.
        """
        return self._move_run(server, request_id, target, timeout_ms, is_final=False)

    def stop_run(
        self, server: BackendServer, request_id: str, target: str, timeout_ms: float
    ) -> CopyResult:
        """Stop a run, then copy its key-value cache to another engine.

        The run is stopped even if its copy is refused; the source keeps it then.

        Args:
            server: Engine that runs the request.
            request_id: Id of the request whose run is stopped.
            target: ``IP:PORT`` of the engine that receives the copy.
            timeout_ms: Time limit of the whole call.

        Raises:
            BackendError: The engine did not answer.
        """
        return self._move_run(server, request_id, target, timeout_ms, is_final=True)

    def _move_run(
        self,
        server: BackendServer,
        request_id: str,
        target: str,
        timeout_ms: float,
        is_final: bool,
    ) -> CopyResult:
        body = msgspec.json.encode({"id": request_id, "to": target, "final": is_final})
        timeouts = _timeouts(timeout_ms, timeout_ms)
        answer = self._call(server, "POST", "/-/kv-move", body, timeouts)
        is_complete = answer.status == OK_STATUS
        try:
            move = decode(_MOVE_DECODER, answer.body)
        except InvalidDataError:
            # A refusal may have no body.
            move = _WireMove()
            is_complete = False
        handle = "" if move.handle is None else str(move.handle)
        return CopyResult(is_complete, handle, move.created, answer.status)

    def reserve(
        self, server: BackendServer, tokens: int, lifetime_ms: float
    ) -> str | None:
        """Reserve a slot and memory at an engine for one request.

        Returns:
            The name of the reservation, or None when the engine lacks free
            capacity.

        Raises:
            BackendError: The engine did not answer, or its answer is invalid.
        """
        body = msgspec.json.encode({"tokens": tokens, "ttl_ms": int(lifetime_ms)})
        timeouts = _timeouts(ANSWER_TIMEOUT_MS, TOTAL_TIMEOUT_MS)
        # On a new connection: a repeated answer to an earlier reservation would give
        # two streams the same one, and a silent connection would make a healthy engine
        # count as unreachable.
        answer = self._call(server, "POST", "/-/hold-take", body, timeouts)
        if answer.status == UNAVAILABLE_STATUS:
            return None
        if answer.status != OK_STATUS:
            raise BackendError(
                f"a reservation was answered with {answer.status}",
                RunVerdict.NOT_RUN,
            )
        try:
            return str(decode(_HOLD_DECODER, answer.body).hold)
        except InvalidDataError as error:
            raise BackendError(f"reservation: {error}", RunVerdict.NOT_RUN) from error

    def _read_report(
        self,
        server: BackendServer,
        decoder: Decoder[_ReportT],
        max_idle_s: float = 0.0,
    ) -> _ReportT:
        timeouts = _timeouts(ANSWER_TIMEOUT_MS, TOTAL_TIMEOUT_MS)
        answer = self._call(server, "GET", REPORT_TARGET, b"", timeouts, max_idle_s)
        try:
            return decode(decoder, answer.body)
        except InvalidDataError as error:
            raise BackendError(f"report: {error}", RunVerdict.NOT_RUN) from error

    def _call(
        self,
        server: BackendServer,
        method: str,
        target: str,
        body: bytes,
        timeouts: ExchangeTimeouts,
        max_idle_s: float = 0.0,
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
        hold = self._memory.open()
        exchange = Exchange(
            request, timeouts, AbortHandle(), self._pool, hold, max_idle_s
        )

        def check_before_send() -> str:
            return "" if self._consume_permit(server) else NO_PERMIT_REASON

        try:
            status = exchange.open(check_before_send)
            items = exchange.header_items()
            self._record_metadata(server, status, decode_answer(items))
            answer = _Answer(
                status, items, exchange.read_body(ANSWER_LIMIT_BYTES, True)
            )
            exchange.finish()
            return answer
        finally:
            exchange.close()
            hold.release()


def _timeouts(answer_ms: float, total_ms: float) -> ExchangeTimeouts:
    return ExchangeTimeouts(CONNECT_TIMEOUT_MS, answer_ms, answer_ms, total_ms=total_ms)


def _event_counts(entries: Any) -> Iterator[tuple[str, int]]:
    """Yield request id and number of events of each valid entry of a report."""
    for entry in entries if isinstance(entries, list) else []:
        match entry:
            case [str(request_id), _, int(event_count), *_] if (
                0 <= event_count <= MAX_EVENT_COUNT
            ):
                yield request_id, event_count


def can_connect(address: str) -> bool:
    """Return whether a server accepts a TCP connection within `CONNECT_TIMEOUT_MS`."""
    ip, _, port = address.rpartition(":")
    try:
        connection = gevent.socket.create_connection(
            (ip, int(port)), CONNECT_TIMEOUT_MS / MS_PER_S
        )
    except OSError:
        return False
    connection.close()
    return True
