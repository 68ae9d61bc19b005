"""Bounds the open connections of callers, over all listening addresses of a host."""

import socket
from collections import Counter
from typing import Any

import gevent

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.clock import system_clock
from gypsumfield.connection_events import ConnectionsClosed
from gypsumfield.connection_events import ConnectionsRefused
from gypsumfield.decisions.connection_eviction import ConnectionPhase
from gypsumfield.decisions.connection_eviction import ConnectionState
from gypsumfield.decisions.connection_eviction import select_eviction
from gypsumfield.interfaces import EmitEvent

# A crowd would otherwise fill the log with a line for each connection.
LOG_INTERVAL_MS = 1_000.0
# Reasons for which connections are closed or refused.
CONNECTION_LIMIT = "connection_limit"
DESCRIPTORS_USED_UP = "descriptors_used_up"
MEMORY_FULL = "memory_full"
ANSWER_NOT_READ = "answer_not_read"
REFUSAL_NOT_READ = "refusal_not_read"

_CountedEvent = type[ConnectionsClosed] | type[ConnectionsRefused]


class CallerConnection:
    """One open connection.

    Attributes:
        state: Its phase.
        is_receiving: Whether a body is on its way.
        is_cut: Whether it was closed to keep a limit; its greenlet ends it soon.
    """

    def __init__(self, sock: Any, connections: "CallerConnections") -> None:
        self.is_receiving = False
        self.is_cut = False
        self._sock = sock
        self._connections = connections
        self._progressed_ms: float | None = None
        now_ms = connections.clock.monotonic_ms()
        self.state = ConnectionState(ConnectionPhase.RECEIVING, now_ms)

    def begin_phase(self, phase: ConnectionPhase) -> None:
        """Record that a phase begins, unless it has begun already."""
        if self.state.phase is not phase:
            now_ms = self._connections.clock.monotonic_ms()
            self.state = ConnectionState(phase, now_ms)

    def begin_transfer(self, is_receiving: bool) -> None:
        """Record that bytes of a body are waited for, or that an answer is sent."""
        self.is_receiving = is_receiving
        self._progressed_ms = self._connections.clock.monotonic_ms()

    def record_progress(self) -> None:
        """Record that bytes have passed, if a transfer has begun."""
        if self._progressed_ms is not None:
            self._progressed_ms = self._connections.clock.monotonic_ms()

    def end_transfer(self) -> None:
        """Record that no bytes are waited for."""
        self.is_receiving = False
        self._progressed_ms = None

    @property
    def stalled_ms(self) -> float:
        """Time for which no byte of a transfer has passed, 0 without a transfer."""
        if self._progressed_ms is None or self.is_cut:
            return 0.0
        return self._connections.clock.monotonic_ms() - self._progressed_ms

    def cut(self, reason: str) -> None:
        """Close the connection in both directions.

        The descriptor is closed by the greenlet that serves the connection, because
        another one may wait on it.
        """
        if self.is_cut:
            return
        self.is_cut = True
        self._connections.record_closed(reason)
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The caller has closed it already.
            return

    def drop(self) -> None:
        """Close the connection, because the host has no memory for its bytes."""
        self.cut(MEMORY_FULL)


class CallerConnections:
    """Open connections of all servers of a host.

    Args:
        limit_count: Connections that may be open.
        clock: Clock of the host.
        emit: Writes an event to the log.
    """

    def __init__(
        self,
        limit_count: int | None = None,
        clock: Clock | None = None,
        emit: EmitEvent | None = None,
    ) -> None:
        self.clock = clock or system_clock()
        self._limit_count = limit_count
        self._emit = emit
        self._open: dict[Any, CallerConnection] = {}
        self._counts: Counter[tuple[_CountedEvent, str]] = Counter()
        self._report: gevent.Greenlet | None = None

    @property
    def open_count(self) -> int:
        """Connections that are open and were not cut."""
        return sum(not connection.is_cut for connection in self._open.values())

    def admit(self, sock: Any) -> bool:
        """Add a new connection; close another one if there are too many.

        Returns:
            Whether the connection may be served.
        """
        limit = self._limit_count
        is_full = limit is not None and self.open_count >= limit
        if is_full and not self.evict(CONNECTION_LIMIT):
            self.record_refused(CONNECTION_LIMIT)
            return False
        self._open[sock] = CallerConnection(sock, self)
        return True

    def find(self, sock: Any) -> CallerConnection:
        """Return the connection of a socket that was admitted."""
        connection = self._open.get(sock)
        return connection or CallerConnection(sock, self)

    def release(self, sock: Any) -> None:
        """Forget a connection whose descriptor is being closed."""
        self._open.pop(sock, None)

    def evict(self, reason: str) -> bool:
        """Close the connection that is needed least; return whether there is one."""
        connection = select_eviction(
            (connection, connection.state)
            for connection in self._open.values()
            if not connection.is_cut
        )
        if connection is None:
            return False
        connection.cut(reason)
        return True

    def record_closed(self, reason: str) -> None:
        """Count a connection that is closed to keep a limit."""
        self._record(ConnectionsClosed, reason)

    def record_refused(self, reason: str) -> None:
        """Count a connection that is not served."""
        self._record(ConnectionsRefused, reason)

    def _record(self, event_type: _CountedEvent, reason: str) -> None:
        self._counts[event_type, reason] += 1
        if self._emit is not None and self._report is None:
            self._report = gevent.spawn_later(LOG_INTERVAL_MS / MS_PER_S, self._log)

    def _log(self) -> None:
        self._report = None
        counts, self._counts = self._counts, Counter()
        if self._emit is None:
            return
        for (event_type, reason), count in counts.items():
            self._emit(
                event_type(count=count, open_count=self.open_count, reason=reason)
            )
