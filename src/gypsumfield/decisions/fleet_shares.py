"""Fixed shares of bounds that hold over all hosts together.

Load answered: a burst of repeats, or of requests at servers that have just
started, while hosts cannot agree on anything. Every host takes one part of the
bound for each host that may exist, so the sum holds whatever they believe of
each other.
"""

from collections import deque

# Parts a bound is cut into before a host has heard of its peers; the larger of
# this and the known hosts counts.
MIN_PART_COUNT = 12
MS_PER_S = 1_000.0


class RetryShare:
    """Repeats that this host may send to one service in a sliding window.

    Args:
        ratio: Repeats earned by each request.
        extra: Repeats beyond the ratio, over all hosts.
        window_ms: Length of the window.
    """

    def __init__(self, ratio: float, extra: float, window_ms: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def set_bounds(self, ratio: float, extra: float, window_ms: float) -> None:
        """Take over bounds that were changed; what was counted stays."""
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms

    def note_request(self, now_ms: float) -> None:
        """Note a first try."""
        self._requests.append(now_ms)
        self._forget(now_ms)

    def take(self, now_ms: float, host_count: int | None) -> bool:
        """Take one repeat out of the share, if there is one left.

        Args:
            now_ms: Monotonic time.
            host_count: Hosts that may exist; None while this host knows too little
                of its fleet to take a part beyond its own requests.
        """
        self._forget(now_ms)
        allowed = self._ratio * len(self._requests)
        if host_count is not None:
            allowed += self._extra / max(host_count, MIN_PART_COUNT)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_ms)
        return True

    def _forget(self, now_ms: float) -> None:
        since_ms = now_ms - self._window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] < since_ms:
                times.popleft()


class ColdShare:
    """Requests that this host may send to one cold server within one second."""

    def __init__(self) -> None:
        self._sent: deque[float] = deque()

    def is_open(self, now_ms: float, allowed_per_s: int) -> bool:
        """Return whether one more request stays inside the share."""
        while self._sent and self._sent[0] <= now_ms - MS_PER_S:
            self._sent.popleft()
        return len(self._sent) < allowed_per_s

    def note_sent(self, now_ms: float) -> None:
        """Note a request that leaves for the server."""
        self._sent.append(now_ms)


def cold_bound_per_s(rate_per_s: float, factor: float, extra: float) -> int:
    """Return how many requests a second a cold server may get from all hosts.

    Args:
        rate_per_s: Requests a second that a cold server bears.
        factor: Multiple of it that is still borne.
        extra: Requests beyond that.
    """
    return int(rate_per_s * factor + extra)


def cold_share_per_s(bound_per_s: int, host_count: int, host_rank: int) -> int:
    """Return how many requests a second one host may send to a cold server.

    Args:
        bound_per_s: What the server may get from all hosts.
        host_count: Hosts that may exist.
        host_rank: Rank of this host for this server among the hosts it knows;
            with more hosts than requests only the first ones may send.
    """
    parts = max(host_count, MIN_PART_COUNT)
    if bound_per_s >= parts:
        return bound_per_s // parts
    return 1 if host_rank < bound_per_s // 2 else 0
