"""Pool of idle connections to backend servers, and detection of dead peers."""

import math
import re
import select
import socket
import time
from collections import deque
from collections.abc import Callable
from collections.abc import Collection
from typing import Any
from typing import NamedTuple

import gevent.socket

from gypsumfield.clock import MS_PER_S

# 76 hosts share the 520 connections of the smallest server.
IDLE_CONNECTIONS_PER_SERVER = 4
# The smallest hosts have 4,100 descriptors for callers, servers and files.
IDLE_CONNECTIONS_TOTAL = 256
# Servers commonly close idle connections after 5 s or more. The limit for servers that
# name none is well below, so that a server does not close a connection while a request
# is sent on it.
DEFAULT_IDLE_LIMIT_S = 2.0
# Time by which a connection is given up before its server closes it.
IDLE_LIMIT_MARGIN_S = 1.0
# A connection may go silent for good without a reset. Requests that must not be sent
# twice take only connections that have just worked.
FRESH_LIMIT_S = 1.0
# Interval of the TCP keepalive probes, which detect a peer that is gone.
KEEP_ALIVE_INTERVAL_S = 1
UNREACHABLE_LIMIT_MS = 3_000
# An address refuses a connection within one round trip.
REFUSAL_TIMEOUT_MS = 100.0
_KEEP_ALIVE_TIMEOUT = re.compile(r"(?:^|[,;\s])timeout\s*=\s*\"?(\d{1,9})\b", re.I)


def refuses_connections(address: str) -> bool:
    """Return whether an address refuses connections: its process has ended.

    An address that does not answer may be behind a network partition.
    """
    ip, _, port = address.rpartition(":")
    try:
        connection = gevent.socket.create_connection(
            (ip, int(port)), REFUSAL_TIMEOUT_MS / MS_PER_S
        )
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    connection.close()
    return False


def idle_limit_s(keep_alive: str) -> float:
    """Return how long a connection may stay idle, in seconds; 0 if not at all.

    Args:
        keep_alive: Value of the server's ``Keep-Alive`` header, or empty.
    """
    timeouts = _KEEP_ALIVE_TIMEOUT.findall(keep_alive)
    if not timeouts:
        return DEFAULT_IDLE_LIMIT_S
    return max(0.0, min(map(float, timeouts)) - IDLE_LIMIT_MARGIN_S)


class _IdleConnection(NamedTuple):
    """A connection, and the monotonic times in seconds since and until it is idle."""

    sock: Any
    since_s: float
    until_s: float


class ConnectionPool:
    """Idle connections by address.

    Args:
        record_connection: Called for each request with whether its connection carried
            an earlier one; not called when no connection could be opened.
    """

    def __init__(
        self, record_connection: Callable[[bool], None] = lambda _is_reused: None
    ) -> None:
        self.record_connection = record_connection
        # The connection that was used last is at the end of its queue.
        self._idle: dict[str, deque[_IdleConnection]] = {}
        self._anonymous: set[str] = set()

    def acquire(self, address: str, max_idle_s: float = math.inf) -> Any:
        """Return an idle connection that the peer hasn't closed, or None.

        The caller closes the connection or passes it to `release`.

        Args:
            address: ``IP:PORT`` of the server.
            max_idle_s: Time after its last answer from which a connection is not used.
        """
        idle = self._idle.get(address)
        now_s = time.monotonic()
        while idle:
            if now_s - idle[-1].since_s >= max_idle_s:
                return None
            connection = idle.pop()
            if now_s < connection.until_s and _has_no_input(connection.sock):
                return connection.sock
            connection.sock.close()
        return None

    def release(
        self, address: str, sock: Any, limit_s: float = DEFAULT_IDLE_LIMIT_S
    ) -> None:
        """Add a connection whose answer was read to the end.

        Each address has at most `IDLE_CONNECTIONS_PER_SERVER` idle connections, and
        all together `IDLE_CONNECTIONS_TOTAL`; the oldest one is closed when a limit is
        exceeded.

        Args:
            address: ``IP:PORT`` of the server.
            sock: The connection.
            limit_s: How long it may stay idle, see `idle_limit_s`.
        """
        if limit_s <= 0.0:
            sock.close()
            return
        now_s = time.monotonic()
        idle = self._idle.setdefault(address, deque())
        idle.append(_IdleConnection(sock, now_s, now_s + limit_s))
        if len(idle) > IDLE_CONNECTIONS_PER_SERVER:
            idle.popleft().sock.close()
        if self.idle_count > IDLE_CONNECTIONS_TOTAL:
            queues = [queue for queue in self._idle.values() if queue]
            oldest = min(queues, key=lambda queue: queue[0].since_s)
            oldest.popleft().sock.close()

    @property
    def idle_count(self) -> int:
        """Number of idle connections to all servers."""
        return sum(map(len, self._idle.values()))

    def close_unused(self, addresses: Collection[str]) -> None:
        """Close connections that have expired or lead to no current server.

        Args:
            addresses: Addresses of the current servers.
        """
        now_s = time.monotonic()
        self._anonymous.intersection_update(addresses)
        for address, idle in list(self._idle.items()):
            is_current = address in addresses
            for connection in list(idle):
                if not is_current or now_s >= connection.until_s:
                    idle.remove(connection)
                    connection.sock.close()
            if not idle:
                del self._idle[address]

    def record_anonymous_answer(self, address: str) -> None:
        """Record that a server answers requests without naming them.

        On a reused connection, such an answer may be one to an earlier request, so
        that a refusal does not prove that the request has not run.
        """
        self._anonymous.add(address)

    def answers_anonymously(self, address: str) -> bool:
        """Return whether a server has answered a request without naming it."""
        return address in self._anonymous

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                idle.pop().sock.close()


def detect_unreachable_peer(sock: Any, limit_ms: int) -> None:
    """Make a connection fail when its peer is unreachable for ``limit_ms``."""
    probe_count = max(1, int(limit_ms / MS_PER_S / KEEP_ALIVE_INTERVAL_S) - 1)
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probe_count),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    ):
        sock.setsockopt(level, option, value)


def _has_no_input(sock: Any) -> bool:
    # A readable idle connection was closed by the peer or has unexpected bytes.
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return not poller.poll(0)
