"""Counts requests to a limited server as its operators do, and the largest excess."""

from typing import NamedTuple

# A host is counted from this time after it has received an answer with the limit.
TOLD_MS = 500.0
WINDOW_MS = 4_000.0
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5


class Arrival(NamedTuple):
    """One request at the server, and the limit that the server named then."""

    at_ms: float
    host: str
    limit_per_s: float


class LimitAudit:
    """Requests to one server, and when each host was told its limit.

    Args:
        contact_ms: Time after the first naming of a limit from which it is counted.
    """

    def __init__(self, contact_ms):
        self.contact_ms = contact_ms
        self._worst = float("-inf")
        self._restart()

    def record_arrival(self, at_ms, host, limit_per_s):
        """Record a request; ``limit_per_s`` is what the server names now, or None."""
        if limit_per_s is None:
            self._worst = self.excess()
            self._restart()
        else:
            self._arrivals.append(Arrival(at_ms, host, limit_per_s))

    def record_told(self, at_ms, host):
        """Record that a host received an answer in which the server names a limit."""
        if self._named_ms is None:
            self._named_ms = at_ms
        self._told_ms.setdefault(host, at_ms)

    def excess(self):
        """Return the largest number of requests above what a window allows, or less."""
        worst = self._worst
        if self._named_ms is None:
            return worst
        counted = [
            arrival
            for arrival in self._arrivals
            if arrival.at_ms >= self._told_ms.get(arrival.host, float("inf")) + TOLD_MS
        ]
        for last, arrival in enumerate(counted):
            if arrival.at_ms < self._named_ms + self.contact_ms:
                continue
            window = [
                other
                for other in counted[: last + 1]
                if other.at_ms > arrival.at_ms - WINDOW_MS
            ]
            limit_per_s = max(other.limit_per_s for other in window)
            allowed = TOLERANCE_FACTOR * limit_per_s * WINDOW_MS / 1_000.0
            worst = max(worst, len(window) - allowed - TOLERANCE_REQUESTS)
        return worst

    def _restart(self):
        self._arrivals = []
        self._named_ms = None
        self._told_ms = {}
