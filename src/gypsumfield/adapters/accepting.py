"""Accepts callers' connections within the limits of the host."""

import errno
import socket
from typing import Any

from gevent.pywsgi import WSGIServer

from gypsumfield.adapters.caller_connections import CallerConnections
from gypsumfield.adapters.caller_connections import DESCRIPTORS_USED_UP
from gypsumfield.clock import MS_PER_S

# Connections that wait in the backlog are accepted after the pause.
ACCEPT_PAUSE_MS = 100.0
# Between two batches, the greenlets of closed connections free their descriptors.
ACCEPT_BATCH_COUNT = 16
# The kernel keeps twice as much for each direction of a connection that is not read,
# or several MB without a bound. Enough for 100 Mbit/s over 2 ms.
SOCKET_BUFFER_BYTES = 16_384
EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# The caller left before its connection was accepted.
ABORTED_ERRORS = (errno.ECONNABORTED, errno.EPROTO)


class AcceptingServer(WSGIServer):  # type: ignore[misc]
    """HTTP server that pauses or closes connections at the limits of the host.

    Attributes:
        connections: Open connections of all servers of the host.
    """

    max_accept = ACCEPT_BATCH_COUNT

    def __init__(
        self,
        address: tuple[str, int],
        connections: CallerConnections,
        application: Any,
        **options: Any,
    ) -> None:
        self.connections = connections
        super().__init__(address, application, **options)

    def init_socket(self) -> None:
        """Open the listening socket, with buffers that its connections inherit."""
        super().init_socket()
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)

    def do_read(self) -> tuple[Any, Any] | None:
        """Accept a connection; return None if there is none that may be served."""
        try:
            accepted: tuple[Any, Any] | None = super().do_read()
        except OSError as error:
            if error.errno in ABORTED_ERRORS:
                return None
            if error.errno not in EXHAUSTION_ERRORS:
                raise
            self.connections.record_refused(DESCRIPTORS_USED_UP)
            self.connections.evict(DESCRIPTORS_USED_UP)
            self._pause_accepting()
            return None
        if accepted is None or self.connections.admit(accepted[0]):
            return accepted
        accepted[0].close()
        return None

    def do_close(self, sock: Any, *args: Any) -> None:
        """Forget a connection and close its descriptor."""
        self.connections.release(sock)
        super().do_close(sock, *args)

    def _pause_accepting(self) -> None:
        self.stop_accepting()
        self._timer = self.loop.timer(ACCEPT_PAUSE_MS / MS_PER_S)
        self._timer.start(self._start_accepting_if_started)
