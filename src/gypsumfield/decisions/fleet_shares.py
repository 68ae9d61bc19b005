"""Fixed shares of limits that hold for all hosts together.

They bound bursts of retries, and of requests to recently started servers, while hosts
cannot agree with each other. Each host uses the limit divided by the number of hosts
that may exist, so the sum stays within the limit whatever hosts have recorded about
each other.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

# Smallest number of parts of a limit, used before a host has received messages from
# its peers; a larger number of known hosts takes precedence.
MIN_PART_COUNT = 12
MS_PER_S = 1_000.0


class RetryShare:
    """Retries that this host may send to one service within a sliding window.

    Args:
        ratio: Retries allowed for each first attempt.
        extra: Retries beyond the ratio in each window, over all hosts.
        window_ms: Length of the window.
    """

    def __init__(self, ratio: float, extra: float, window_ms: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_bounds(self, ratio: float, extra: float, window_ms: float) -> None:
        """Adopt changed limits; the requests and retries counted so far remain."""
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms

    def record_request(self, now_ms: float) -> None:
        """Record a first attempt at ``now_ms``."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def take(self, now_ms: float, host_count: int | None) -> bool:
        """Record one retry and return True, or return False when none is left.

        Args:
            now_ms: Monotonic time.
            host_count: Hosts that may exist; None while this host has too few records
                of its fleet to use a part of ``extra``.
        """
        self._expire(now_ms)
        allowed = self._ratio * len(self._requests)
        if host_count is not None:
            allowed += self._extra / max(host_count, MIN_PART_COUNT)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_ms)
        return True

    def _expire(self, now_ms: float) -> None:
        window_start_ms = now_ms - self._window_ms
        for times in (self._requests, self._retries):
            while times and times[0] < window_start_ms:
                times.popleft()


class RetryBounds(NamedTuple):
    """Bounds on the retries of a service; see `RetryShare`."""

    ratio: float
    extra: float
    window_ms: float


def retry_shares_by_service(
    read_bounds: Callable[[], RetryBounds],
) -> Callable[[str], RetryShare]:
    """Return a function that returns this host's share of a service's retries.

    The bounds are read for each request, because settings may be reloaded.
    """
    shares: dict[str, RetryShare] = {}

    def share_of(service: str) -> RetryShare:
        bounds = read_bounds()
        share = shares.setdefault(service, RetryShare(*bounds))
        share.set_bounds(*bounds)
        return share

    return share_of


class ColdShare:
    """Requests of this host to one cold server within the last second."""

    def __init__(self) -> None:
        self._sent: deque[float] = deque()

    def is_open(self, now_ms: float, allowed_per_s: int) -> bool:
        """Return whether one more request stays within ``allowed_per_s``."""
        while self._sent and self._sent[0] <= now_ms - MS_PER_S:
            self._sent.popleft()
        return len(self._sent) < allowed_per_s

    def record_sent(self, now_ms: float) -> None:
        """Record a request that is sent to the server."""
        self._sent.append(now_ms)


def cold_bound_per_s(rate_per_s: float, factor: float, extra: float) -> int:
    """Return the requests per second that all hosts may send to a cold server.

    Args:
        rate_per_s: Requests per second that a cold server accepts.
        factor: Multiple of that rate which the server still tolerates.
        extra: Requests per second beyond that.
    """
    return int(rate_per_s * factor + extra)


def cold_share_per_s(bound_per_s: int, host_count: int, host_rank: int) -> int:
    """Return the requests per second that one host may send to a cold server.

    Args:
        bound_per_s: Requests per second that all hosts may send to the server.
        host_count: Hosts that may exist.
        host_rank: Rank of this host for this server among the hosts that it has
            recorded. With fewer requests than hosts, only the first
            ``bound_per_s // 2`` hosts may send, one request per second each.
    """
    parts = max(host_count, MIN_PART_COUNT)
    if bound_per_s >= parts:
        return bound_per_s // parts
    return 1 if host_rank < bound_per_s // 2 else 0
