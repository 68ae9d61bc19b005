"""Oracle of the load tool: which requests were within their account's rate.

It sees all requests of all accounts, which no entry host does.
"""

from gypsumfield.clock import MS_PER_S


class RateOracle:
    """Token bucket of one account, as a host that sees all requests has it.

    A request that the system refuses uses up its token here all the same: the
    oracle would have served it, and judges what the account sends next
    accordingly. So a flood is not one wrongful refusal for each of its requests.

    Args:
        rate_per_s: Rate of the account.
        burst: Largest number of tokens; the bucket starts full.
        now_ms: Time of the start.
    """

    def __init__(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_ms = now_ms

    def take(self, now_ms: float) -> bool:
        """Take a token for a request that is sent; False when it is over."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        gained = self._rate_per_s * elapsed_ms / MS_PER_S
        self._tokens = min(self._burst, self._tokens + gained)


class BoundMeter:
    """Strict check of one account's rate: admitted within burst and rate.

    The level falls with the rate and grows by one for each admitted request.
    The largest level above the burst is by how much the bound was broken.
    """

    def __init__(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = 0.0
        self._updated_ms = now_ms
        self.largest_excess = 0.0

    def admit(self, now_ms: float) -> None:
        """Count one admitted request."""
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(now_ms, self._updated_ms)
        drained = self._rate_per_s * elapsed_ms / MS_PER_S
        self._level = max(0.0, self._level - drained) + 1.0
        self.largest_excess = max(self.largest_excess, self._level - self._burst)
