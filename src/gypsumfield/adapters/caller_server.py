"""HTTP server for callers: rejects ambiguous requests, counts those in flight."""

import errno
import socket
import struct
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from io import BytesIO
from typing import Any
from typing import NamedTuple

import gevent
from gevent.pywsgi import WSGIHandler

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.accepting import AcceptingServer
from gypsumfield.adapters.caller_connections import ANSWER_NOT_READ
from gypsumfield.adapters.caller_connections import CallerConnection
from gypsumfield.adapters.caller_connections import CallerConnections
from gypsumfield.adapters.caller_connections import REFUSAL_NOT_READ
from gypsumfield.adapters.caller_input import CallerInput
from gypsumfield.adapters.fair_reads import open_fair_file
from gypsumfield.adapters.fair_reads import ReadTurn
from gypsumfield.adapters.fair_reads import TURN_BYTES
from gypsumfield.adapters.request_heads import BadRequestError
from gypsumfield.adapters.request_heads import check_header_block
from gypsumfield.adapters.request_heads import encode_error_response
from gypsumfield.adapters.request_heads import HeadTooLargeError
from gypsumfield.adapters.request_heads import read_header_block
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.connection_eviction import ConnectionPhase

HEADER_BLOCK_LIMIT_BYTES = 32_768
CALLER_IDLE_TIMEOUT_MS = 60_000.0
CALLER_SOCKET_KEY = "gypsumfield.socket"
RAW_PATH_KEY = "gypsumfield.raw_path"
RAW_HEADERS_KEY = "gypsumfield.raw_headers"
ABANDON_BODY_KEY = "gypsumfield.abandon_body"
CONNECTION_KEY = "gypsumfield.connection"
LINGER_LIMIT_S = 1.0
# Twice the largest body that callers are told they may send.
LINGER_LIMIT_BYTES = 8_388_608
SEND_BYTES = 65_536
PEEK_SIZE_BYTES = 1
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class ConnectionLimits(NamedTuple):
    """Limits of a caller's connection.

    Attributes:
        header_bytes: Largest accepted header block.
        header_timeout_ms: Longest time from the request line to the end of the
            header block.
        idle_timeout_ms: Longest time without data from the caller, also between
            two requests.
    """

    header_bytes: int = HEADER_BLOCK_LIMIT_BYTES
    header_timeout_ms: float = CALLER_IDLE_TIMEOUT_MS
    idle_timeout_ms: float = CALLER_IDLE_TIMEOUT_MS


class CallerHandler(WSGIHandler):  # type: ignore[misc]
    """Rejects request headers that two HTTP parsers could interpret differently.

    This prevents request smuggling through the entry host.
    """

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        super().__init__(sock, address, server, open_fair_file(sock))
        self.wsgi_input: Any = None
        self.connection: CallerConnection = server.connections.find(sock)

    def handle(self) -> None:
        """Serve the requests of the connection."""
        try:
            super().handle()
        except OSError:
            # The refusal of a malformed request could not be sent.
            self.server.connections.record_closed(REFUSAL_NOT_READ)

    def handle_one_response(self) -> None:
        """Answer one request; discard the rest of its body within a time limit."""
        try:
            super().handle_one_response()
        finally:
            # It refers to the handler: the cycle would keep both until the next run of
            # the garbage collector.
            self.environ = None
        self.connection.end_transfer()
        if not self.wsgi_input.is_complete:
            # The rest of the body would be parsed as the next request.
            self.close_connection = True

    def handle_one_request(self) -> Any:
        """Serve one request, then let other connections have their turn."""
        result = super().handle_one_request()
        if result is True:
            self.connection.begin_phase(ConnectionPhase.IDLE)
            gevent.sleep(0)
        return result

    def read_requestline(self) -> str:
        """Read the next request line, within the idle and the header timeout."""
        limits = self.server.read_limits()
        self.socket.settimeout(limits.idle_timeout_ms / MS_PER_S)
        self.rfile.peek(1)
        if self.connection.is_cut:
            return ""
        self.connection.begin_phase(ConnectionPhase.RECEIVING)
        with gevent.Timeout(
            limits.header_timeout_ms / MS_PER_S,
            TimeoutError("the request line took too long"),
        ):
            return str(super().read_requestline())

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Read the header block within its size and time limits and parse it."""
        limits = self.server.read_limits()
        with gevent.Timeout(
            limits.header_timeout_ms / MS_PER_S,
            TimeoutError("the header block took too long"),
        ):
            block = read_header_block(args[0], limits.header_bytes)
        check_header_block(block)
        return super().MessageClass(BytesIO(block), 0)

    def read_request(self, raw_requestline: str) -> bool:
        """Parse the request; HTTP/0.9 and unknown versions are rejected."""
        words = raw_requestline.split(" ")
        if not raw_requestline.endswith("\r\n") or len(words) != 3:
            raise BadRequestError("the request line is malformed")
        words[2] = words[2].strip()
        if words[2] not in ("HTTP/1.0", "HTTP/1.1"):
            raise BadRequestError("the request line is malformed")
        return bool(super().read_request(raw_requestline))

    def get_environ(self) -> dict[str, Any]:
        """Add the socket, the undecoded path, the headers and `_abandon_body`."""
        environ: dict[str, Any] = super().get_environ()
        self.wsgi_input = environ["wsgi.input"] = CallerInput(
            self.wsgi_input, self.connection.record_progress, self._end_body
        )
        environ[CONNECTION_KEY] = self.connection
        environ[CALLER_SOCKET_KEY] = self.socket
        environ[RAW_PATH_KEY] = self.path
        environ[RAW_HEADERS_KEY] = list(self.headers.items())
        environ[ABANDON_BODY_KEY] = self._abandon_body
        if self.server.request_tracker.is_draining:
            self.close_connection = True
        return environ

    def finalize_headers(self) -> None:
        """Send ``Connection: close`` with the last answer on the connection."""
        if not self.wsgi_input.can_discard:
            self._abandon_body()
        is_abandoned = isinstance(self.wsgi_input, _AbandonedBody)
        if self.server.request_tracker.is_draining or is_abandoned:
            self.response_headers.append((b"Connection", b"close"))
            self.close_connection = True
        super().finalize_headers()

    def run_application(self) -> None:
        """Answer the request; a broken answer whose end is a close is reset instead."""
        self._check_not_cut()
        if self.wsgi_input.is_complete:
            self.connection.begin_phase(ConnectionPhase.SERVING)
        else:
            self.connection.begin_transfer(is_receiving=True)
        try:
            super().run_application()
        except BaseException:
            if self.headers_sent and not self.response_use_chunked:
                self.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            raise

    def _check_not_cut(self) -> None:
        """Raise an error for a request whose caller could not get the answer."""
        if self.connection.is_cut:
            raise ConnectionResetError(errno.ECONNRESET, "the connection was closed")

    def _end_body(self) -> None:
        # Bytes that arrived before the connection was cut are still read.
        self._check_not_cut()
        self.connection.end_transfer()
        self.connection.begin_phase(ConnectionPhase.SERVING)

    def _sendall(self, data: Any) -> None:
        """Send data; close the connection if the caller reads nothing for too long."""
        self.connection.begin_transfer(is_receiving=False)
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[self.socket.send(rest[:SEND_BYTES]) :]
                self.connection.record_progress()
        except TimeoutError as error:
            self.connection.cut(ANSWER_NOT_READ)
            reason = "the caller does not read the answer"
            raise ConnectionResetError(errno.ECONNRESET, reason) from error
        finally:
            self.connection.end_transfer()
        self.response_length += len(data)

    def _write(self, data: bytes) -> None:
        """Send a part of the answer; a long one is not copied into its chunk."""
        if not self.response_use_chunked or len(data) <= SEND_BYTES:
            super()._write(data)
            return
        self._sendall(b"%x\r\n" % len(data))
        self._sendall(data)
        self._sendall(b"\r\n")

    def _abandon_body(self) -> None:
        """Ignore the rest of the body; close the connection after the answer."""
        self.wsgi_input = _AbandonedBody(self.socket, self._discard_late)

    def _discard_late(self) -> None:
        self.connection.end_transfer()
        self.connection.begin_phase(ConnectionPhase.RECEIVING)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        reason = str(ex) if isinstance(ex, BadRequestError) else "malformed request"
        status = "400 Bad Request"
        if isinstance(ex, HeadTooLargeError):
            status = "431 Request Header Fields Too Large"
        elif isinstance(ex, TimeoutError):
            status, reason = "408 Request Timeout", str(ex)
        return status, encode_error_response(status, reason)


class _AbandonedBody:
    """Unread rest of a body whose end is unknown or too far away.

    The bytes after it must not be parsed as the next request.
    """

    can_discard = True
    is_complete = False

    def __init__(self, sock: Any, begin_discard: Callable[[], None]) -> None:
        self._sock = sock
        self._begin_discard = begin_discard

    def _discard(self) -> None:
        """Discard input for a while (lingering close).

        Closing at once would reset the connection, and the caller might not receive
        the answer.
        """
        self._begin_discard()
        discarded_bytes = 0
        with gevent.Timeout(LINGER_LIMIT_S, exception=False):
            self._sock.shutdown(socket.SHUT_WR)
            turn = ReadTurn()
            while data := self._sock.recv(TURN_BYTES):
                turn.record(len(data))
                discarded_bytes += len(data)
                if discarded_bytes > LINGER_LIMIT_BYTES:
                    break


class RequestTracker:
    """WSGI middleware that counts requests and holds the drain state of the host.

    Attributes:
        is_draining: Whether connections are closed after their current answer.
        draining_since_ms: Monotonic time at which `begin_drain` was called, or None.
        in_flight_count: Requests whose answer is not complete.
        served_count: Requests whose answer is complete or was aborted.
    """

    def __init__(self, application: WsgiApplication) -> None:
        self.is_draining = False
        self.draining_since_ms: float | None = None
        self.in_flight_count = 0
        self.served_count = 0
        self._application = application

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Run the application; the request is in flight until its answer is closed."""
        self.in_flight_count += 1
        try:
            answer = self._application(environ, start_response)
        except BaseException:
            self._end_request()
            raise
        return _CountedAnswer(answer, self._end_request)

    def begin_drain(self, now_ms: float) -> None:
        """Start to drain: from now on, connections are closed after their answers."""
        self.is_draining = True
        self.draining_since_ms = now_ms

    def draining_ms(self, now_ms: float) -> float | None:
        """Return the milliseconds since `begin_drain`; None if it was not called."""
        since_ms = self.draining_since_ms
        return None if since_ms is None else now_ms - since_ms

    def _end_request(self) -> None:
        self.in_flight_count -= 1
        self.served_count += 1


class _CountedAnswer:
    def __init__(self, answer: Iterable[bytes], end: Callable[[], None]) -> None:
        self._answer = answer
        self._end_request = end

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._answer)

    def close(self) -> None:
        """Close the application's answer; the request is then no longer in flight."""
        try:
            close = getattr(self._answer, "close", None)
            if close is not None:
                close()
        finally:
            self._end_request()


class CallerServer(AcceptingServer):
    """HTTP server for callers on one address.

    Attributes:
        request_tracker: Counter of the requests in flight.
        read_limits: Returns the limits of callers' connections that apply now.
    """

    def __init__(
        self,
        address: tuple[str, int],
        request_tracker: RequestTracker,
        read_limits: Callable[[], ConnectionLimits] = ConnectionLimits,
        connections: CallerConnections | None = None,
    ) -> None:
        self.request_tracker = request_tracker
        self.read_limits = read_limits
        super().__init__(
            address,
            connections or CallerConnections(),
            request_tracker,
            handler_class=CallerHandler,
            log=None,
            error_log=None,
        )


class DisconnectWatcher:
    """Aborts a request when its caller closes the connection.

    The event loop aborts the process for a watch on a descriptor that has been closed.
    So nothing but `stop` may come between a watch and the close of its connection.

    Attributes:
        has_disconnected: Whether the caller has closed the connection.
    """

    def __init__(self, sock: Any, abort: AbortHandle) -> None:
        self.has_disconnected = False
        self._sock = sock
        self._abort = abort
        self._is_stopped = False
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), 1)
        self._watcher.start(self._handle_input)

    def stop(self) -> None:
        """Stop watching at once; the connection may be used or closed afterwards."""
        self._is_stopped = True
        self._watcher.close()

    def _handle_input(self) -> None:
        """Check once for the end; runs in the event loop and must not wait."""
        self._watcher.stop()
        if _is_closed_by_peer(self._sock):
            self.has_disconnected = True
            gevent.spawn(self._abort_request)

    def _abort_request(self) -> None:
        if not self._is_stopped:
            self._abort.abort("the caller has left")


def _is_closed_by_peer(sock: Any) -> bool:
    # The socket of gevent would wait where there is no input.
    try:
        return not sock._sock.recv(PEEK_SIZE_BYTES, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
