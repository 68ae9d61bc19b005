"""Builds what bounds the resources that callers use, from the settings of a host."""

from typing import NamedTuple

from gypsumfield.adapters.caller_connections import CallerConnections
from gypsumfield.clock import Clock
from gypsumfield.decisions.connection_eviction import connection_limit
from gypsumfield.held_memory import BYTES_PER_MB
from gypsumfield.held_memory import HELD_SHARE
from gypsumfield.held_memory import HeldMemory
from gypsumfield.interfaces import EmitEvent


class CallerLimits(NamedTuple):
    """Limits of one host, over all its listening addresses.

    Attributes:
        memory: Bounds the bytes of bodies and answers.
        connections: Bounds the open connections.
    """

    memory: HeldMemory
    connections: CallerConnections


def build_caller_limits(
    max_fds: float, memory_mb: float, clock: Clock, emit: EmitEvent
) -> CallerLimits:
    """Return the limits of a host with so many descriptors and so much memory."""
    limit_count = connection_limit(max_fds, memory_mb)
    return CallerLimits(
        HeldMemory(int(memory_mb * BYTES_PER_MB * HELD_SHARE)),
        CallerConnections(limit_count, clock, emit),
    )
