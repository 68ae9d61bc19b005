"""Permits for requests to a server that limits those of all hosts together.

They serve short calls and streams to servers in need, whose limit may be a few requests
a second while hundreds of hosts want to send. Each zone has a fixed part of the limit,
and one host of the zone grants it request by request. The parts add up to the limit
whatever the zones have recorded about each other. A host that has lost contact with a
part of its zone grants only its share of the zone's part.
"""

from collections.abc import Iterable
from typing import NamedTuple

from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.ownership import rank_hosts

# What a server tolerates in any window beyond its limit.
WINDOW_MS = 4_000.0
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5
# A server that names a lower limit still gets requests at this rate: only their answers
# show when the limit ends.
MIN_RATE_PER_S = 0.2
# Share of its target latency that a request may wait for a permit; the server needs the
# rest for the answer.
WAIT_SHARE = 0.5
# The schedule of a server that has got no permit for this time is discarded.
SCHEDULE_LIFETIME_MS = 600_000.0


class PermitSlot(NamedTuple):
    """Decision on one permit.

    Attributes:
        is_granted: Whether the request may be sent after the wait.
        wait_ms: Time until its slot; without a grant, the time until the next free one.
    """

    is_granted: bool
    wait_ms: float


def granting_zones(
    server_id: str, limit_per_s: float, zones: Iterable[str]
) -> list[str]:
    """Return the zones that have a part of a server's limit, the first one first.

    Every zone may have saved up one permit when a window begins. There are only so many
    zones that these permits, beside the limit itself, stay within the tolerance.
    """
    window_s = WINDOW_MS / MS_PER_S
    tolerated = TOLERANCE_REQUESTS + (TOLERANCE_FACTOR - 1.0) * limit_per_s * window_s
    return rank_hosts(server_id, zones)[: max(1, int(tolerated))]


def zone_rate_per_s(
    limit_per_s: float, zone_count: int, live_hosts: int, known_hosts: int
) -> float:
    """Return the permits a second that a host may grant for its zone.

    Args:
        limit_per_s: Limit of the server.
        zone_count: Zones that have a part of it.
        live_hosts: Hosts of the zone that the granting host receives messages from,
            itself included.
        known_hosts: Hosts that the zone has had recently. After a partition, each part
            of the zone grants in proportion to its hosts.
    """
    zone_rate = max(limit_per_s, MIN_RATE_PER_S) / zone_count
    return zone_rate * live_hosts / max(live_hosts, known_hosts)


def wait_limit_ms(target_latency_ms: float, waited_ms: float) -> float:
    """Return how long a request may wait for a permit and still be answered in time."""
    return max(0.0, WAIT_SHARE * target_latency_ms - waited_ms)


class _Schedule(NamedTuple):
    started_wall_ms: int
    last_slot_ms: float


class PermitSchedule:
    """Evenly spaced slots for requests, by server."""

    def __init__(self) -> None:
        self._schedules: dict[str, _Schedule] = {}

    def take(
        self,
        server_id: str,
        started_wall_ms: int,
        rate_per_s: float,
        max_wait_ms: float,
        now_ms: float,
    ) -> PermitSlot:
        """Return the next slot, and reserve it if its request can wait for it.

        The first slot is one interval away: another host may have granted until now.

        Args:
            server_id: Id of the server.
            started_wall_ms: Wall-clock time of the server's start, which identifies it.
            rate_per_s: Slots a second, above 0.
            max_wait_ms: Longest wait for the slot.
            now_ms: Monotonic time.
        """
        schedule = self._schedules.get(server_id)
        if schedule is None or schedule.started_wall_ms != started_wall_ms:
            self._expire(now_ms)
            schedule = _Schedule(started_wall_ms, now_ms)
            self._schedules[server_id] = schedule
        slot_ms = max(now_ms, schedule.last_slot_ms + MS_PER_S / rate_per_s)
        is_granted = slot_ms - now_ms <= max_wait_ms
        if is_granted:
            self._schedules[server_id] = schedule._replace(last_slot_ms=slot_ms)
        return PermitSlot(is_granted, slot_ms - now_ms)

    def _expire(self, now_ms: float) -> None:
        oldest_ms = now_ms - SCHEDULE_LIFETIME_MS
        for server_id, schedule in list(self._schedules.items()):
            if schedule.last_slot_ms < oldest_ms:
                del self._schedules[server_id]
