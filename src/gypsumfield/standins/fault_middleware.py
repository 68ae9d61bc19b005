"""WSGI middleware that injects the armed faults into requests and responses."""

import errno
import socket
import struct
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from io import BytesIO
from itertools import pairwise
from typing import Any

from gypsumfield.standins.faults import ArmedFaults
from gypsumfield.standins.faults import Fault
from gypsumfield.standins.faults import FaultStep
from gypsumfield.standins.faults import STANDIN_PREFIX

CONNECTION_KEY = "gypsumfield.connection"
_IS_DROPPED_KEY = "gypsumfield.is_dropped"
_MID_STREAM_CHUNK_NUMBER = 3
_FINAL_EVENT_FIELD = b'"finish_reason"'
_ZERO_LINGER = struct.pack("ii", 1, 0)

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class Connection:
    """Client connection that a fault can reset.

    Args:
        client_socket: Socket of the connection.
    """

    def __init__(self, client_socket: socket.socket) -> None:
        self._socket = client_socket

    def reset_on_close(self) -> None:
        """Make the next close send a TCP reset."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)


class FaultMiddleware:
    """WSGI application that injects faults around another one.

    Args:
        app: Application of the stand-in.
        armed_faults: The armed faults, shared with the server.
        on_fatal: Called when a crash also loses the state of the process.
    """

    def __init__(
        self, app: Application, armed_faults: ArmedFaults, on_fatal: Callable[[], None]
    ) -> None:
        self._app = app
        self._armed_faults = armed_faults
        self._on_fatal = on_fatal

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request and inject the faults armed for it.

        Raises:
            BrokenPipeError: A fault drops the connection.
        """
        connection: Connection = environ[CONNECTION_KEY]
        path: str = environ["PATH_INFO"]
        self._wait_while_unreachable(path)
        self.apply_fault_at("headers-sent", path, connection)
        # Reads the whole body first: at `body-sent` it has arrived completely.
        environ["wsgi.input"] = BytesIO(environ["wsgi.input"].read())
        fault = self._armed_faults.consume("body-sent", path)
        if fault is not None and not fault.has_run:
            self.apply_fault(fault, connection)
        chunks = self._app(environ, start_response)
        if _IS_DROPPED_KEY in environ:
            raise BrokenPipeError(errno.EPIPE, "dropped by the stand-in")
        if fault is not None and fault.has_run:
            self.apply_fault(fault, connection)
        return self._send_chunks(chunks, path, connection)

    def _wait_while_unreachable(self, path: str) -> None:
        fault = self._armed_faults.peek("before-connect")
        if fault is not None and not path.startswith(STANDIN_PREFIX):
            self._armed_faults.wait_until_replaced(None)

    def _send_chunks(
        self, chunks: Iterable[bytes], path: str, connection: Connection
    ) -> Iterator[bytes]:
        try:
            for chunk_number, (chunk, is_last) in enumerate(
                _flag_last_chunk(chunks), 1
            ):
                if is_last:
                    self.apply_fault_at("end-marker", path, connection)
                yield chunk
                if chunk_number == 1:
                    self.apply_fault_at("first-byte", path, connection)
                elif chunk_number == _MID_STREAM_CHUNK_NUMBER:
                    self.apply_fault_at("mid-stream", path, connection)
        finally:
            close = getattr(chunks, "close", None)
            if close is not None:
                close()

    def apply_fault_at(
        self, step: FaultStep, path: str, connection: Connection
    ) -> None:
        """Consume and inject the fault armed for this step, if there is one.

        Raises:
            BrokenPipeError: The fault drops the connection.
        """
        fault = self._armed_faults.consume(step, path)
        if fault is not None:
            self.apply_fault(fault, connection)

    def apply_fault(self, fault: Fault, connection: Connection) -> None:
        """Inject a fault; return when the request can continue.

        Raises:
            BrokenPipeError: The fault drops the connection.
        """
        if fault.kind == "stall":
            self._armed_faults.wait_until_replaced(fault.duration_ms)
            return
        if fault.kind == "partition":
            self._armed_faults.wait_until_replaced(None)
        elif fault.is_fatal:
            self._on_fatal()
        if fault.has_reset and fault.step != "pool-return":
            # At `pool-return` the response is complete; a reset would discard what
            # the client has not read yet.
            connection.reset_on_close()
        raise BrokenPipeError(errno.EPIPE, f"{fault.kind} at {fault.step}")


def _flag_last_chunk(chunks: Iterable[bytes]) -> Iterator[tuple[bytes, bool]]:
    """Yield each chunk with whether it completes the response.

    A response given as a list is joined and split again, so that there are chunks
    for `mid-stream` and `end-marker`. In a stream, the chunk with the finish reason
    is the last.
    """
    if isinstance(chunks, list):
        body_chunks = _split_into_chunks(b"".join(chunks))
        for chunk_number, body_chunk in enumerate(body_chunks, 1):
            yield body_chunk, chunk_number == len(body_chunks)
        return
    for chunk in chunks:
        yield chunk, _FINAL_EVENT_FIELD in chunk


def _split_into_chunks(body: bytes) -> list[bytes]:
    offsets = sorted({0, 1, 2, len(body) // 2, len(body) - 1, len(body)})
    return [body[start:end] for start, end in pairwise(offsets) if start >= 0]


def drop_connection(environ: dict[str, Any]) -> None:
    """Reset the connection of the request that is being served.

    Raises:
        BrokenPipeError: Always; the server treats it as a disconnected client.
    """
    environ[CONNECTION_KEY].reset_on_close()
    environ[_IS_DROPPED_KEY] = True
    raise BrokenPipeError(errno.EPIPE, "dropped by the stand-in")
