"""Reference model that decides which requests were within their account's rate.

It counts the requests to all entry hosts, whereas one entry host receives only a
part of them.
"""

from gypsumfield.clock import MS_PER_S


class RateOracle:
    """Token bucket of one account, over the requests to all entry hosts.

    A request that the system refuses takes a token here as well: the oracle would
    have served it, and checks the next requests of the account on that basis.
    Otherwise every request of a flood would count as a wrongful refusal.

    Args:
        rate_per_s: Rate of the account in requests per second.
        burst: Capacity of the bucket in tokens; it starts full.
        now_ms: Start time on the clock of the later calls.
    """

    def __init__(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_ms = now_ms

    def take_token(self, now_ms: float) -> bool:
        """Take a token for a request; return False if the request exceeds the rate."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        added_tokens = self._rate_per_s * elapsed_ms / MS_PER_S
        self._tokens = min(self._burst, self._tokens + added_tokens)


class BoundMeter:
    """Measures by how much admitted requests exceed an account's burst and rate.

    A leaky bucket: the level falls with the rate and grows by one for each admitted
    request. `largest_excess` is the largest amount by which the level exceeded the
    burst.
    """

    def __init__(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = 0.0
        self._updated_ms = now_ms
        self.largest_excess = 0.0

    def admit(self, now_ms: float) -> None:
        """Add a request that was admitted at ``now_ms``."""
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        drained_tokens = self._rate_per_s * elapsed_ms / MS_PER_S
        self._level = max(0.0, self._level - drained_tokens) + 1.0
        self.largest_excess = max(self.largest_excess, self._level - self._burst)
