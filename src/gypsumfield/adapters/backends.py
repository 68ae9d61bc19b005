"""HTTP exchanges with backend servers that send each request at most once.

The HTTP library's own request method sends a request again when a reused connection
turns out to be closed. An exchange here never does. Each failure reports the stage
that the exchange reached, and the caller of this module decides whether to retry.
"""

import math
import time
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import gevent
import gevent.select
import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.adapters.connections import detect_unreachable_peer
from gypsumfield.adapters.connections import UNREACHABLE_LIMIT_MS
from gypsumfield.adapters.responses import Response
from gypsumfield.clock import MS_PER_S
from gypsumfield.engine_api import REQUEST_ID_HEADER
from gypsumfield.exceptions import BackendError
from gypsumfield.verdicts import RunVerdict
from gypsumfield.verdicts import Stage
from gypsumfield.verdicts import verdict_of_stage


class OutgoingRequest(NamedTuple):
    """One request to a backend server.

    Attributes:
        address: ``IP:PORT`` of the backend server.
        method: HTTP method.
        target: Path and query, percent-encoded.
        headers: Headers to send, without the request id, which is added.
        body: Complete body, empty for none.
        request_id: Id that the answer must echo.
        request_id_header: Header of the request that carries the id.
        must_echo_id: Whether an answer without the id is rejected.
    """

    address: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    request_id_header: str = REQUEST_ID_HEADER
    must_echo_id: bool = True


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
    ) -> None:
        self.stage = Stage.BEFORE_CONNECT
        self.is_connection_reused = False
        self._request = request
        self._timeouts = timeouts
        self._abort = abort
        self._pool = pool
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
            self._sock = self._connect()
            self.stage = Stage.CONNECTED
            if self._timeouts.total_ms < math.inf:
                total_s = self._timeouts.total_ms / MS_PER_S
                self._timer = gevent.spawn_later(total_s, self.abandon)
                self._ends_s = time.monotonic() + total_s
            self._abort.attach(self._shut_down)
            reason = check_before_send()
            if reason:
                raise self._error(reason, "not_sent")
            self._send()
            self._read_headers()
        except (OSError, HTTPParseError) as error:
            self.close()
            raise self._error(_error_text(error), self._error_code(error)) from error
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
        body = bytearray()
        while chunk := self.read_chunk():
            body += chunk
            if len(body) > limit_bytes:
                raise self._error(
                    f"the answer is above {limit_bytes} bytes", "answer_too_large"
                )
        return bytes(body)

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
        self._pool.release(self._request.address, sock)

    def close(self) -> None:
        """Close the connection, even if the answer is incomplete."""
        self._detach()
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _detach(self) -> None:
        """Detach from the abort handle and stop the timer of the total time."""
        self._abort.attach(None)
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
        pooled = self._pool.acquire(self._request.address) if self._pool else None
        if pooled is not None:
            self.is_connection_reused = True
            return pooled
        ip, _, port = self._request.address.rpartition(":")
        sock = gevent.socket.create_connection(
            (ip, int(port)), self._timeouts.connect_ms / MS_PER_S
        )
        detect_unreachable_peer(sock, int(self._timeouts.unreachable_ms))
        return sock

    def _send(self) -> None:
        try:
            data = memoryview(_serialize_request(self._request))
        except ValueError as error:
            raise self._error(str(error), "not_sent") from error
        self._sock.settimeout(self._timeouts.answer_ms / MS_PER_S)
        self.stage = Stage.SENDING
        # A server may answer before it has read the whole body. The rest is then not
        # sent, and the connection is not reused.
        while data and not self._has_answer_arrived():
            data = data[self._sock.send(data) :]
        self._is_request_sent = not data
        self.stage = Stage.SENT

    def _has_answer_arrived(self) -> bool:
        timeout_s = self._timeouts.answer_ms / MS_PER_S
        readable, writable, _ = gevent.select.select(
            [self._sock], [self._sock], [], timeout_s
        )
        if not readable and not writable:
            raise TimeoutError("the request could not be sent in time")
        return bool(readable)

    def _read_headers(self) -> None:
        self._response = Response(self._sock, method=self._request.method)
        self.stage = Stage.ANSWERING
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


def refusal_error(
    message: str, code: str, retry_after_ms: float | None
) -> BackendError:
    """Return the error for an answer that states that the request did not run."""
    return BackendError(message, RunVerdict.NOT_RUN, code, retry_after_ms)


# Used only to serialize requests: it rejects bytes in the method, the target and the
# headers that a server could interpret as a second request.
_SERIALIZER = HTTPClient("127.0.0.1", port=0)


def _serialize_request(request: OutgoingRequest) -> bytes:
    headers = {
        "Host": request.address,
        **request.headers,
        request.request_id_header: request.request_id,
    }
    head = _SERIALIZER._build_request(
        request.method, request.target, body=request.body, headers=headers
    )
    return bytes(head.encode("latin-1")) + request.body


def _error_text(error: BaseException) -> str:
    return str(error) or type(error).__name__
