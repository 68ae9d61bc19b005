"""Selects the caller's connection that is closed when there are too many.

The load it addresses: many clients that connect and send nothing, or send very slowly,
beside ordinary callers.
"""

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple
from typing import TypeVar

# Settings, log, and files that the process opens while it runs.
RESERVED_DESCRIPTORS = 200
# A request in flight needs a connection to a server beside the one of its caller.
CALLER_DESCRIPTOR_SHARE = 0.5
# A connection with a started request takes 23 kB; 400 of them were measured with 40 kB.
CONNECTION_BYTES = 40_960
CONNECTION_MEMORY_SHARE = 0.15
# A host with tiny settings still serves a load balancer and a few callers.
MIN_CONNECTIONS = 16
BYTES_PER_MB = 1_048_576

KeyT = TypeVar("KeyT")


class ConnectionPhase(IntEnum):
    """What a connection is used for; the lowest is closed first.

    Attributes:
        IDLE: It waits for the next request after a complete answer.
        RECEIVING: A head or a body is on its way, or the rest of a body is discarded.
        SERVING: The request was read; its answer is not complete.
    """

    IDLE = 0
    RECEIVING = 1
    SERVING = 2


class ConnectionState(NamedTuple):
    """Phase of one connection and the monotonic time at which it began."""

    phase: ConnectionPhase
    since_ms: float


def connection_limit(max_fds: float, memory_mb: float) -> int:
    """Return how many connections of callers may be open at the same time."""
    by_descriptors = (max_fds - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE
    by_memory = memory_mb * BYTES_PER_MB * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES
    return max(MIN_CONNECTIONS, int(min(by_descriptors, by_memory)))


def select_eviction(
    connections: Iterable[tuple[KeyT, ConnectionState]],
) -> KeyT | None:
    """Return the connection to close, None if all of them serve a request."""
    candidates = [
        (state, key)
        for key, state in connections
        if state.phase is not ConnectionPhase.SERVING
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda candidate: candidate[0])[1]
