"""HTTP server for callers: rejects ambiguous requests, counts those in flight."""

import socket
import struct
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from io import BytesIO
from typing import Any
from typing import NamedTuple

import gevent
import msgspec
from gevent.pywsgi import WSGIHandler
from gevent.pywsgi import WSGIServer

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.fair_reads import open_fair_file
from gypsumfield.adapters.fair_reads import ReadTurn
from gypsumfield.adapters.fair_reads import TURN_BYTES
from gypsumfield.clock import MS_PER_S

HEADER_BLOCK_LIMIT_BYTES = 32_768
HEADER_COUNT_LIMIT = 100
CALLER_IDLE_TIMEOUT_MS = 60_000.0
CALLER_SOCKET_KEY = "gypsumfield.socket"
RAW_PATH_KEY = "gypsumfield.raw_path"
RAW_HEADERS_KEY = "gypsumfield.raw_headers"
ABANDON_BODY_KEY = "gypsumfield.abandon_body"
LINGER_LIMIT_S = 1.0
PEEK_SIZE_BYTES = 1
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_TOKEN_CHARACTERS = frozenset(
    b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class BadRequestError(ValueError):
    """The request line or the header block is malformed or ambiguous."""


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


class _HeadTooLargeError(BadRequestError):
    """The header block exceeds its limit in bytes or in headers."""


class CallerHandler(WSGIHandler):  # type: ignore[misc]
    """Rejects request headers that two HTTP parsers could interpret differently.

    This prevents request smuggling through the entry host.
    """

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        super().__init__(sock, address, server, open_fair_file(sock))

    def read_requestline(self) -> str:
        """Read the next request line, within the idle timeout."""
        idle_ms = self.server.read_limits().idle_timeout_ms
        self.socket.settimeout(idle_ms / MS_PER_S)
        return str(super().read_requestline())

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Read the header block within its size and time limits and parse it."""
        limits = self.server.read_limits()
        with gevent.Timeout(
            limits.header_timeout_ms / MS_PER_S,
            TimeoutError("the header block took too long"),
        ):
            block = _read_header_block(args[0], limits.header_bytes)
        _check_header_block(block)
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
        environ[CALLER_SOCKET_KEY] = self.socket
        environ[RAW_PATH_KEY] = self.path
        environ[RAW_HEADERS_KEY] = list(self.headers.items())
        environ[ABANDON_BODY_KEY] = self._abandon_body
        if self.server.request_tracker.is_draining:
            self.close_connection = True
        return environ

    def finalize_headers(self) -> None:
        """Send ``Connection: close`` with the last answer on the connection."""
        is_abandoned = isinstance(self.wsgi_input, _AbandonedBody)
        if self.server.request_tracker.is_draining or is_abandoned:
            self.response_headers.append((b"Connection", b"close"))
            self.close_connection = True
        super().finalize_headers()

    def run_application(self) -> None:
        """Answer the request; a broken answer whose end is a close is reset instead."""
        try:
            super().run_application()
        except BaseException:
            if self.headers_sent and not self.response_use_chunked:
                self.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            raise

    def _abandon_body(self) -> None:
        """Ignore the rest of the body; close the connection after the answer."""
        self.wsgi_input = _AbandonedBody(self.socket)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        reason = str(ex) if isinstance(ex, BadRequestError) else "malformed request"
        status = "400 Bad Request"
        if isinstance(ex, _HeadTooLargeError):
            status = "431 Request Header Fields Too Large"
        elif isinstance(ex, TimeoutError):
            status, reason = "408 Request Timeout", str(ex)
        return status, _encode_error_response(status, reason)


class _AbandonedBody:
    """Unread rest of a body whose end is unknown or too far away.

    The bytes after it must not be parsed as the next request.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock

    def _discard(self) -> None:
        """Discard input for a while (lingering close).

        Closing at once would reset the connection, and the caller might not receive
        the answer.
        """
        with gevent.Timeout(LINGER_LIMIT_S, exception=False):
            self._sock.shutdown(socket.SHUT_WR)
            turn = ReadTurn()
            while data := self._sock.recv(TURN_BYTES):
                turn.record(len(data))


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


class CallerServer(WSGIServer):  # type: ignore[misc]
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
    ) -> None:
        self.request_tracker = request_tracker
        self.read_limits = read_limits
        super().__init__(
            address,
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


def _read_header_block(stream: Any, limit_bytes: int) -> bytes:
    block = bytearray()
    while True:
        line = stream.readline(limit_bytes + 1)
        block += line
        if len(block) > limit_bytes:
            raise _HeadTooLargeError("the header block is too large")
        if not line:
            raise BadRequestError("the header block is incomplete")
        if not line.endswith(b"\r\n"):
            raise BadRequestError("a header line does not end in CR LF")
        if line == b"\r\n":
            return bytes(block)


def _check_header_block(block: bytes) -> None:
    header_lines = block.split(b"\n")[:-2]
    if len(header_lines) > HEADER_COUNT_LIMIT:
        raise _HeadTooLargeError("the header block is too large")
    length_count = 0
    encodings = []
    for line in header_lines:
        name, value = _split_header(line)
        if name == b"content-length":
            length_count += 1
            _check_content_length(value)
        elif name == b"transfer-encoding":
            encodings.append(value.lower())
    if length_count > 1 or (length_count and encodings):
        raise BadRequestError("the body's length is stated twice")
    if encodings not in ([], [b"chunked"]):
        raise BadRequestError("the transfer encoding is not supported")


def _split_header(line: bytes) -> tuple[bytes, bytes]:
    line = line.removesuffix(b"\r")
    name, colon, value = line.partition(b":")
    if not colon or not name or not _TOKEN_CHARACTERS.issuperset(name):
        raise BadRequestError("a header line is malformed")
    if any(byte < 0x20 and byte != 0x09 for byte in value):
        raise BadRequestError("a header value holds control characters")
    return name.lower(), value.strip(b" \t")


def _check_content_length(value: bytes) -> None:
    if not value.isdigit():
        raise BadRequestError("the content length is no number")


def _encode_error_response(status: str, reason: str) -> bytes:
    body = msgspec.json.encode(
        {
            "error": {
                "code": "bad_request",
                "message": reason,
                "run": "not-run",
                "request_id": "",
            }
        }
    )
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
