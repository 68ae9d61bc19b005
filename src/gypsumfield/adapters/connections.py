"""Connections to backend servers: kept idle ones, and peers that vanish."""

import select
import socket
import time
from collections import deque
from typing import Any

from gypsumfield.clock import MS_PER_S

IDLE_CONNECTIONS_PER_SERVER = 8
# Servers commonly keep idle connections for 5 s or more; a used one may be
# closed under way, so a pooled one is taken well before that.
IDLE_LIMIT_S = 2.0
# Idle connections are probed at this interval, so that a peer that vanished is
# noticed.
KEEP_ALIVE_INTERVAL_S = 1
UNREACHABLE_LIMIT_MS = 3_000


class ConnectionPool:
    """Idle connections by address, only ever used for repeatable requests."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[tuple[Any, float]]] = {}

    def take(self, address: str) -> Any:
        """Return a connection that is not known to be closed, or None."""
        idle = self._idle.get(address)
        while idle:
            sock, since_s = idle.pop()
            if time.monotonic() - since_s < IDLE_LIMIT_S and _is_quiet(sock):
                return sock
            sock.close()
        return None

    def give_back(self, address: str, sock: Any) -> None:
        """Keep a connection whose answer was read to the end."""
        idle = self._idle.setdefault(address, deque())
        if len(idle) >= IDLE_CONNECTIONS_PER_SERVER:
            idle.popleft()[0].close()
        idle.append((sock, time.monotonic()))

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                idle.pop()[0].close()


def watch_for_silence(sock: Any, limit_ms: int) -> None:
    """Let a connection fail once its peer was out of reach for ``limit_ms``."""
    probes = max(1, int(limit_ms / MS_PER_S / KEEP_ALIVE_INTERVAL_S) - 1)
    for level, name, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    ):
        sock.setsockopt(level, name, value)


def _is_quiet(sock: Any) -> bool:
    # An idle connection that is readable was closed or holds stray bytes.
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return not poller.poll(0)
