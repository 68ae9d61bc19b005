"""WSGI middleware that lets armed faults act on requests and answers."""

import errno
import socket
import struct
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from io import BytesIO
from itertools import pairwise
from typing import Any

from gypsumfield.standins.faults import Fault
from gypsumfield.standins.faults import FaultBoard
from gypsumfield.standins.faults import FaultStep
from gypsumfield.standins.faults import STANDIN_PREFIX

CONNECTION_KEY = "gypsumfield.connection"
_IS_DROPPED_KEY = "gypsumfield.is_dropped"
_MID_STREAM_CHUNK = 3
_FINAL_EVENT_MARK = b'"finish_reason"'
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class Connection:
    """Socket of one client, for faults to act on."""

    def __init__(self, client_socket: socket.socket) -> None:
        self._socket = client_socket

    def reset_on_close(self) -> None:
        """Make the coming close send a reset."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


class FaultGate:
    """Middleware around a stand-in's application.

    Args:
        app: The application.
        board: The armed faults.
        on_fatal: Called when a crash takes the whole process state with it.
    """

    def __init__(
        self, app: Application, board: FaultBoard, on_fatal: Callable[[], None]
    ) -> None:
        self._app = app
        self._board = board
        self._on_fatal = on_fatal

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request and let the armed faults act on it."""
        connection: Connection = environ[CONNECTION_KEY]
        path: str = environ["PATH_INFO"]
        self._wait_while_unreachable(path)
        self.meet("headers-sent", path, connection)
        # The whole body is read here, so that `body-sent` means what it says.
        environ["wsgi.input"] = BytesIO(environ["wsgi.input"].read())
        fault = self._board.take("body-sent", path)
        if fault is not None and not fault.has_run:
            self.suffer(fault, connection)
        chunks = self._app(environ, start_response)
        if _IS_DROPPED_KEY in environ:
            raise BrokenPipeError(errno.EPIPE, "dropped by the stand-in")
        if fault is not None and fault.has_run:
            self.suffer(fault, connection)
        return self._relay(chunks, path, connection)

    def _wait_while_unreachable(self, path: str) -> None:
        fault = self._board.peek("before-connect")
        if fault is not None and not path.startswith(STANDIN_PREFIX):
            self._board.hold(None)

    def _relay(
        self, chunks: Iterable[bytes], path: str, connection: Connection
    ) -> Iterator[bytes]:
        try:
            for number, (chunk, is_last) in enumerate(_mark_last(chunks), 1):
                if is_last:
                    self.meet("end-marker", path, connection)
                yield chunk
                if number == 1:
                    self.meet("first-byte", path, connection)
                elif number == _MID_STREAM_CHUNK:
                    self.meet("mid-stream", path, connection)
        finally:
            close = getattr(chunks, "close", None)
            if close is not None:
                close()

    def meet(self, step: FaultStep, path: str, connection: Connection) -> None:
        """Let the fault of this step, if one is armed, act.

        Raises:
            BrokenPipeError: The connection is to be dropped.
        """
        fault = self._board.take(step, path)
        if fault is not None:
            self.suffer(fault, connection)

    def suffer(self, fault: Fault, connection: Connection) -> None:
        """Let a fault act; return when the request goes on.

        Raises:
            BrokenPipeError: The connection is to be dropped.
        """
        if fault.kind == "stall":
            self._board.hold(fault.duration_ms)
            return
        if fault.kind == "partition":
            self._board.hold(None)
        elif fault.is_fatal:
            self._on_fatal()
        if fault.has_reset and fault.step != "pool-return":
            # A reset would also destroy what the reader has yet to read of an
            # answer that is complete.
            connection.reset_on_close()
        raise BrokenPipeError(errno.EPIPE, f"{fault.kind} at {fault.step}")


def _mark_last(chunks: Iterable[bytes]) -> Iterator[tuple[bytes, bool]]:
    """Yield each chunk with whether it ends the answer.

    An answer that is one chunk is cut, so that it has a middle and an end.
    """
    if isinstance(chunks, list):
        pieces = _cut(b"".join(chunks))
        for number, piece in enumerate(pieces, 1):
            yield piece, number == len(pieces)
        return
    for chunk in chunks:
        yield chunk, _FINAL_EVENT_MARK in chunk


def _cut(whole: bytes) -> list[bytes]:
    cuts = sorted({0, 1, 2, len(whole) // 2, len(whole) - 1, len(whole)})
    return [whole[start:end] for start, end in pairwise(cuts) if start >= 0]


def drop_connection(environ: dict[str, Any]) -> None:
    """Drop the connection of the request that is being served.

    Raises:
        BrokenPipeError: Always; the server takes it as a gone client.
    """
    environ[CONNECTION_KEY].reset_on_close()
    environ[_IS_DROPPED_KEY] = True
    raise BrokenPipeError(errno.EPIPE, "dropped by the stand-in")
