"""HTTP exchanges with backend servers that send each request at most once.

The HTTP library's own request method sends a request again when a reused connection
turns out to be closed. An exchange here never does. Each failure reports the stage
that the exchange reached, and the caller of this module decides whether to retry.
"""

import math
import time
from collections.abc import Callable
from functools import partial
from typing import Any
from typing import NamedTuple

import gevent
import gevent.select
import gevent.socket
from geventhttpclient.response import HTTPParseError

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.adapters.connections import detect_unreachable_peer
from gypsumfield.adapters.connections import idle_limit_s
from gypsumfield.adapters.connections import UNREACHABLE_LIMIT_MS
from gypsumfield.adapters.outgoing_requests import OutgoingRequest
from gypsumfield.adapters.outgoing_requests import serialize_request
from gypsumfield.adapters.responses import Response
from gypsumfield.clock import MS_PER_S
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import HeldMemoryError
from gypsumfield.held_memory import HeldPart
from gypsumfield.held_memory import Hold
from gypsumfield.verdicts import RunVerdict
from gypsumfield.verdicts import Stage
from gypsumfield.verdicts import verdict_of_stage

DROPPED_CODE = "answer_dropped"
TOO_LARGE_CODE = "answer_too_large"
# The kernel keeps twice as much, or several MB without a bound. Enough for 200 Mbit/s
# over 2 ms.
RECEIVE_BUFFER_BYTES = 32_768
# With half of it, a body of 4 MB took 2.2 s on the loopback interface: one of its long
# segments fills the buffer, and is acknowledged after 40 ms.
SEND_BUFFER_BYTES = 65_536


class ExchangeTimeouts(NamedTuple):
    """Time limits of one exchange, in milliseconds.

    ``connect_ms`` limits the connect, ``answer_ms`` each wait for the headers,
    ``body_idle_ms`` each wait for the body, ``total_ms`` everything after the connect.
    A peer that is unreachable for ``unreachable_ms`` fails the exchange even earlier.
    """

    connect_ms: float
    answer_ms: float
    body_idle_ms: float
    unreachable_ms: float = UNREACHABLE_LIMIT_MS
    total_ms: float = math.inf


class Exchange:
    """One request and its answer; the request is sent at most once.

    Args:
        request: The request.
        timeouts: Time limits.
        abort: Ends the exchange when the caller has left.
        pool: Idle connections; the connection is added to them after the answer.
        hold: Counts the bytes that the answer holds; None for small calls whose number
            is limited.
        max_idle_s: Time after its last answer from which an idle connection is not
            used; 0 for a new connection.

    Attributes:
        stage: Stage that the exchange has reached.
        is_connection_reused: Whether the connection carried an earlier exchange.
    """

    def __init__(
        self,
        request: OutgoingRequest,
        timeouts: ExchangeTimeouts,
        abort: AbortHandle,
        pool: ConnectionPool | None = None,
        hold: Hold | None = None,
        max_idle_s: float = math.inf,
    ) -> None:
        self.stage = Stage.BEFORE_CONNECT
        self.is_connection_reused = False
        self._request = request
        self._timeouts = timeouts
        self._abort = abort
        self._pool = pool
        self._hold = hold
        self._max_idle_s = max_idle_s
        self._body = bytearray()
        self._response: Response | None = None
        self._sock: Any = None
        self._is_request_sent = False
        self._is_shut_down = False
        self._timer: gevent.Greenlet | None = None
        self._ends_s = math.inf

    def open(self, check_before_send: Callable[[], str]) -> int:
        """Connect, send and read the answer's headers.

        Args:
            check_before_send: Called when the connection is open, right before the
                first byte is sent. Returns a reason not to send, or an empty string.

        Returns:
            The status code.

        Raises:
            BackendError: With the verdict of the stage that was reached.
        """
        try:
            if self._hold:
                self._hold.begin_answer(self._drop_answer)
            self._sock = self._connect()
            self.stage = Stage.CONNECTED
            if self._timeouts.total_ms < math.inf:
                total_s = self._timeouts.total_ms / MS_PER_S
                self._timer = gevent.spawn_later(total_s, self.abandon)
                self._ends_s = time.monotonic() + total_s
            reason = check_before_send()
            # The check may have waited under the same handle.
            self._abort.attach(self._shut_down)
            if reason or self._abort.reason:
                raise self._error(reason, "not_sent")
            self._send()
            self._read_headers()
        except (OSError, HTTPParseError) as error:
            self.close()
            raise self._error(_error_text(error), self._error_code(error)) from error
        except HeldMemoryError as error:
            self.close()
            raise self._error(str(error), DROPPED_CODE) from error
        except BaseException:
            self.close()
            raise
        return self.status

    @property
    def status(self) -> int:
        """Status code of the answer."""
        return self._require_response().final_status

    def header_items(self) -> list[tuple[str, str]]:
        """Return the names and values of the answer's headers, in order."""
        return list(self._require_response().items())

    def read_chunk(self) -> bytes:
        """Return body bytes as they arrive; empty at the end of a complete answer.

        Raises:
            BackendError: The connection failed, sent no data within the timeout or
                was closed before the end of the answer.
        """
        response = self._require_response()
        try:
            chunk = response.read_available()
        except TimeoutError as error:
            raise self._error("silent", "backend_stalled") from error
        except (OSError, HTTPParseError, AttributeError) as error:
            raise self._error(_error_text(error), "answer_truncated") from error
        except HeldMemoryError as error:
            raise self._error(str(error), DROPPED_CODE) from error
        if self._hold and self._hold.is_dropped:
            raise self._error("the answer was dropped", DROPPED_CODE)
        if chunk and time.monotonic() > self._ends_s:
            # The timer may be late, and after it buffered data still arrive.
            raise self._error("the answer took too long", "backend_stalled")
        if not chunk:
            if self._is_shut_down and not self.has_end_marker:
                # The end of the data is this host's own shutdown.
                raise self._error("the connection was shut down", "answer_truncated")
            self.stage = Stage.ANSWERED
        return chunk

    def read_body(self, limit_bytes: int, may_end_with_close: bool = False) -> bytes:
        """Return the whole body.

        Args:
            limit_bytes: Length above which the body is an error.
            may_end_with_close: Whether a close, but no reset, may end the body.

        Raises:
            BackendError: As for `read_chunk`, or a body too long or of unmarked end.
        """
        if not may_end_with_close and not self.has_end_marker:
            raise self._error("the answer has no end marker", "answer_truncated")
        response = self._require_response()
        # An answer to HEAD states a length, but has no body.
        has_body = not response.message_complete
        try:
            if has_body and (response.content_length or 0) > limit_bytes:
                raise self._too_large(limit_bytes)
            while chunk := self.read_chunk():
                self._body += chunk
                if len(self._body) > limit_bytes:
                    raise self._too_large(limit_bytes)
                self.record_held(HeldPart.ANSWER, len(self._body))
            return self._take_body()
        except BackendError:
            self._body.clear()
            self.record_held(HeldPart.ANSWER, 0)
            raise

    def record_held(self, part: HeldPart, size_bytes: int) -> None:
        """Record how many bytes a part of the answer holds.

        Raises:
            BackendError: The host may not hold so many.
        """
        if self._hold is None:
            return
        try:
            self._hold.resize(part, size_bytes)
        except HeldMemoryError as error:
            raise self._error(str(error), DROPPED_CODE) from error

    def _too_large(self, limit_bytes: int) -> BackendError:
        return self._error(f"the answer is above {limit_bytes} bytes", TOO_LARGE_CODE)

    def _take_body(self) -> bytes:
        body = bytes(self._body)
        self._body.clear()
        if self._hold:
            self._hold.end_reading()
        return body

    def _drop_answer(self) -> None:
        """Free the body that was read and end the exchange."""
        self._body.clear()
        self._shut_down()

    def finish(self) -> None:
        """Pool the connection if its answer was read to the end, else close it."""
        self._detach()
        response = self._response
        is_reusable = (
            response is not None
            and response.idle_sock is not None
            and not response.has_trailing_bytes
            and self._is_request_sent
        )
        if response is None or not is_reusable or self._pool is None:
            self.close()
            return
        sock = response.idle_sock
        response.idle_sock = None
        self._sock = None
        limit_s = idle_limit_s(_joined(response.get("keep-alive")))
        self._pool.release(self._request.address, sock, limit_s)

    def close(self) -> None:
        """Close the connection, even if the answer is incomplete."""
        self._detach()
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _detach(self) -> None:
        """Detach from the abort handle and stop the timer of the total time."""
        self._abort.attach(None)
        if self._hold:
            self._hold.end_reading()
        if self._timer is not None:
            self._timer.kill(block=False)
            self._timer = None

    def abandon(self) -> None:
        """Shut down the connection to a dead or slow server; its pending I/O fails."""
        self._shut_down()

    def _shut_down(self) -> None:
        if self._sock is None:
            return
        self._is_shut_down = True
        try:
            self._sock.shutdown(gevent.socket.SHUT_RDWR)
        except OSError:
            # The peer has already closed; the waiting greenlet wakes up anyway.
            return

    def _connect(self) -> Any:
        if self._pool is None:
            return self._open_connection()
        sock = self._pool.acquire(self._request.address, self._max_idle_s)
        self.is_connection_reused = sock is not None
        if sock is None:
            sock = self._open_connection()
        self._pool.record_connection(self.is_connection_reused)
        return sock

    def _open_connection(self) -> Any:
        ip, _, port = self._request.address.rpartition(":")
        sock = gevent.socket.create_connection(
            (ip, int(port)), self._timeouts.connect_ms / MS_PER_S
        )
        detect_unreachable_peer(sock, int(self._timeouts.unreachable_ms))
        level = gevent.socket.SOL_SOCKET
        sock.setsockopt(level, gevent.socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(level, gevent.socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        return sock

    def _send(self) -> None:
        try:
            parts = serialize_request(self._request)
        except ValueError as error:
            raise self._error(str(error), "not_sent") from error
        self._sock.settimeout(self._timeouts.answer_ms / MS_PER_S)
        self.stage = Stage.SENDING
        # A server may answer before it has read the whole body. The rest is then not
        # sent, and the connection is not reused.
        for part in parts:
            data = memoryview(part)
            while data and not self._has_answer_arrived():
                data = data[self._sock.send(data) :]
            self._is_request_sent = not data
            if data:
                break
        self.stage = Stage.SENT

    def _has_answer_arrived(self) -> bool:
        # Unlike `select`, `poll` takes descriptors above 1,023.
        poller = gevent.select.poll()
        poller.register(self._sock, gevent.select.POLLIN | gevent.select.POLLOUT)
        ready = poller.poll(self._timeouts.answer_ms)
        if not ready:
            raise TimeoutError("the request could not be sent in time")
        return any(events & ~gevent.select.POLLOUT for _, events in ready)

    def _read_headers(self) -> None:
        self._response = Response(
            self._sock, self._request.method, _framing_counter(self._hold)
        )
        self.stage = Stage.ANSWERING
        if self._hold and "content-length" in self._response:
            self._hold.record_length()
        self._sock.settimeout(self._timeouts.body_idle_ms / MS_PER_S)
        echoed = self._response.get(self._request.request_id_header)
        if self._request.must_echo_id and echoed != self._request.request_id:
            raise self._error("the answer is to another request", "answer_crossed")

    @property
    def has_end_marker(self) -> bool:
        """Whether the end of the answer is marked, not just by a close."""
        return self._require_response().has_end_marker

    def _error_code(self, error: Exception) -> str:
        if self.stage is Stage.BEFORE_CONNECT:
            return "unreachable"
        is_timeout = isinstance(error, TimeoutError)
        return "backend_stalled" if is_timeout else "backend_failed"

    def _require_response(self) -> Response:
        if self._response is None:
            raise self._error("no answer was read", "backend_failed")
        return self._response

    def _error(self, reason: str, code: str) -> BackendError:
        if self._abort.reason:
            code = "aborted"
            reason = self._abort.reason
        return BackendError(
            f"backend server failed at stage {self.stage.value}: {reason}",
            verdict_of_stage(self.stage),
            code,
        )


def _framing_counter(hold: Hold | None) -> Callable[[int], None]:
    """Return a function that records the bytes of framing of an answer.

    A method of the exchange would form a cycle with the answer, which would keep the
    body of the request until the next run of the garbage collector.
    """
    if hold is None:
        return lambda _size_bytes: None
    return partial(hold.resize, HeldPart.HEAD)


def refusal_error(
    message: str, code: str, retry_after_ms: float | None
) -> BackendError:
    """Return the error for an answer that states that the request did not run."""
    return BackendError(message, RunVerdict.NOT_RUN, code, retry_after_ms)


def _joined(value: str | list[str] | None) -> str:
    """Return the values of a header that may be absent or repeated."""
    return ", ".join(value) if isinstance(value, list) else value or ""


def _error_text(error: BaseException) -> str:
    return str(error) or type(error).__name__
