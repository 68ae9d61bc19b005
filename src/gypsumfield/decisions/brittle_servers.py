"""How much a host sends to servers that fall over when they refuse many requests.

Such a server names how many requests a second of all hosts it can refuse. A host uses
only its share of the places there. A refusal of one host keeps all of them away for a
time, and lowers the shares: the server may let fewer requests wait than it has said.
"""

from typing import NamedTuple

# Requests in flight end, and hosts hear of a refusal, within this time.
REFUSAL_PAUSE_MS = 500.0
# A refusal lowers the shares for this time.
LOWERED_MS = 5_000.0
MAX_RECORDED_REFUSALS = 16


class HostPosition(NamedTuple):
    """Rank of a host, from 0, among the hosts that may send to a server."""

    rank: int
    host_count: int


def place_share(place_count: int, position: HostPosition, refusal_count: int) -> int:
    """Return how many requests one host may have at a brittle server at a time.

    Args:
        place_count: Requests that the server runs at a time.
        position: Rank of the host at the server; the first ones share the rest.
        refusal_count: Recent refusals of the server.
    """
    total = max(1, place_count - refusal_count)
    host_count = max(1, position.host_count)
    return total // host_count + (position.rank < total % host_count)


class RefusalRecords:
    """Recent refusals of brittle servers, by their id and start.

    Attributes:
        version: Rises with each refusal that other hosts should hear of.
    """

    def __init__(self) -> None:
        self.version = 0
        self._refused_ms: dict[tuple[str, int], list[float]] = {}

    def record(
        self, server_id: str, started_wall_ms: int, at_ms: float, is_own: bool
    ) -> None:
        """Record a refusal that this host or another one has received."""
        times_ms = self._refused_ms.setdefault((server_id, started_wall_ms), [])
        if times_ms and not is_own and at_ms <= times_ms[-1] + REFUSAL_PAUSE_MS / 2:
            # Other hosts pass the same refusal on several times.
            return
        times_ms.append(at_ms)
        del times_ms[:-MAX_RECORDED_REFUSALS]
        self.version += is_own

    def pause_ms(self, server_id: str, started_wall_ms: int, now_ms: float) -> float:
        """Return the rest of the time for which a server gets no requests, or 0."""
        times_ms = self._refused_ms.get((server_id, started_wall_ms))
        return max(0.0, times_ms[-1] + REFUSAL_PAUSE_MS - now_ms) if times_ms else 0.0

    def count(self, server_id: str, started_wall_ms: int, now_ms: float) -> int:
        """Return the number of refusals that lower the shares of a server."""
        times_ms = self._refused_ms.get((server_id, started_wall_ms), [])
        return sum(now_ms - at_ms <= LOWERED_MS for at_ms in times_ms)

    def recent(self, now_ms: float) -> list[tuple[str, int, float]]:
        """Return id, start and time of the last refusals that other hosts need."""
        for start, times_ms in list(self._refused_ms.items()):
            if now_ms - times_ms[-1] > LOWERED_MS:
                del self._refused_ms[start]
        return [
            (*start, times_ms[-1])
            for start, times_ms in self._refused_ms.items()
            if now_ms - times_ms[-1] <= REFUSAL_PAUSE_MS
        ]
