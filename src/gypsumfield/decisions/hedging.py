"""Whether and when a repeatable call is sent a second time, to another server.

Load: a plain service with few servers, of which one is slow in spells, for example 19
reads a second over three servers with six slots each. A few slow answers dominate the
tail of the latencies. A second attempt after most answers have arrived cuts it, at the
price of some work that is done twice; the operator limits its share. When servers are
short of slots, second attempts would lengthen the queues that make answers slow.
"""

import math
from collections import deque
from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

# Share of the answers that arrive within the delay.
DELAY_PERCENTILE = 0.95
# With fewer answers, the percentile is the slowest of them.
MIN_SAMPLE_COUNT = 20
# One host of a large fleet gets some two answers a second from a service. A window of
# minutes keeps the answers of a slow spell of seconds a small part of it, so that the
# delay does not rise to the latency of the slow server.
MAX_SAMPLE_COUNT = 400
SAMPLE_LIFETIME_MS = 180_000.0
# Below this time, a delay is within the variation of a busy host's own timers.
MIN_DELAY_MS = 5.0
# Later, a second attempt has too little time to answer within the target.
MAX_TARGET_SHARE = 0.5
# Half of the slots stay free for first attempts that arrive in bursts.
MAX_BUSY_SHARE = 0.5
# A server that refused a request had no free slot; its queue needs about this time.
REFUSAL_MEMORY_MS = 2_000.0
# Hedges that a host may save up while none is needed, for a slow spell.
MAX_SAVED_HEDGES = 10.0
# Sums of a ratio such as 0.05 miss whole numbers by rounding.
_ROUNDING = 1e-9


class Decline(Enum):
    """Reason against a hedge when the hedge delay has passed without an answer.

    Attributes:
        FEW_SAMPLES: Too few latencies are known for a delay.
        STOPPING: The host is stopping.
        DEADLINE: The caller's time is nearly over.
        BUSY: Too many slots are busy at the servers, or all at the second one.
        REFUSED: A server has refused a request for lack of slots.
        PAUSED: A server has requested a pause.
        LIMITED: A server has named a limit on its requests.
        BRITTLE: A server falls over if it has to refuse many requests.
        RATIO: The operator's share is used up.
        NO_SERVER: No other server is usable.
        RETRY_BUDGET: The retry budget of the fleet is used up.
    """

    FEW_SAMPLES = "few_samples"
    STOPPING = "stopping"
    DEADLINE = "deadline"
    BUSY = "busy"
    REFUSED = "refused"
    PAUSED = "paused"
    LIMITED = "limited"
    BRITTLE = "brittle"
    RATIO = "ratio"
    NO_SERVER = "no_server"
    RETRY_BUDGET = "retry_budget"


class ServerState(NamedTuple):
    """What a host knows of one server of a service.

    Attributes:
        slot_count: Requests that it runs at a time.
        busy_count: Requests in flight on it, of all hosts.
        is_pausing: Whether it has requested a pause that is not over.
        is_limited: Whether it has named a limit on its requests.
        is_brittle: Whether it falls over if it has to refuse many requests.
    """

    slot_count: int
    busy_count: int
    is_pausing: bool = False
    is_limited: bool = False
    is_brittle: bool = False


class HedgeQuery(NamedTuple):
    """A call without an answer after the hedge delay, and the state of its service.

    Attributes:
        sample_count: Latencies of the service that the host knows.
        delay_ms: Time since the first attempt was sent.
        remaining_ms: Time until the call's deadline.
        refused_ms_ago: Time since a server of the service last refused a request.
        is_stopping: Whether the host is stopping.
        has_share: Whether the operator's share permits one more hedge.
        servers: Servers of the service that are not leaving.
    """

    sample_count: int
    delay_ms: float
    remaining_ms: float
    refused_ms_ago: float
    is_stopping: bool
    has_share: bool
    servers: Sequence[ServerState]


def may_hedge(is_repeatable: bool, max_attempts: int, ratio: float) -> bool:
    """Return whether a call may be sent a second time while the first is pending.

    Args:
        is_repeatable: Whether the call may run more than once.
        max_attempts: Servers on which the call may run.
        ratio: The operator's share; 0 for no hedges.
    """
    return is_repeatable and max_attempts > 1 and ratio > 0.0


def decline_reason(query: HedgeQuery) -> Decline | None:
    """Return why a call must not be hedged now, or None."""
    servers = query.servers
    slot_count = sum(server.slot_count for server in servers)
    busy_count = sum(server.busy_count for server in servers)
    reasons = (
        (query.sample_count < MIN_SAMPLE_COUNT, Decline.FEW_SAMPLES),
        (query.is_stopping, Decline.STOPPING),
        (query.remaining_ms <= query.delay_ms, Decline.DEADLINE),
        (query.refused_ms_ago < REFUSAL_MEMORY_MS, Decline.REFUSED),
        (any(server.is_pausing for server in servers), Decline.PAUSED),
        (any(server.is_limited for server in servers), Decline.LIMITED),
        (any(server.is_brittle for server in servers), Decline.BRITTLE),
        (busy_count > MAX_BUSY_SHARE * slot_count, Decline.BUSY),
        (not query.has_share, Decline.RATIO),
    )
    return next((reason for applies, reason in reasons if applies), None)


class LatencyWindow:
    """Latest latencies of a service, from which its hedge delay follows."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLE_COUNT)

    def record(self, latency_ms: float, now_ms: float) -> None:
        """Record the latency of an answer, or the time that a lost one took at least.

        Without the latter, the slowest answers would be missing from the window
        whenever a hedge has won.
        """
        self._samples.append((now_ms, latency_ms))

    def sample_count(self, now_ms: float) -> int:
        """Return the number of latencies that have not expired."""
        while self._samples and self._samples[0][0] < now_ms - SAMPLE_LIFETIME_MS:
            self._samples.popleft()
        return len(self._samples)

    def delay_ms(self, target_latency_ms: float, now_ms: float) -> float:
        """Return the time without an answer after which a call may be hedged.

        Args:
            target_latency_ms: Target latency of the route.
            now_ms: Monotonic time.
        """
        limit_ms = MAX_TARGET_SHARE * target_latency_ms
        count = self.sample_count(now_ms)
        if count < MIN_SAMPLE_COUNT:
            return limit_ms
        latencies = sorted(latency_ms for _, latency_ms in self._samples)
        percentile_ms = latencies[math.ceil(DELAY_PERCENTILE * count) - 1]
        return min(limit_ms, max(MIN_DELAY_MS, percentile_ms))


class HedgeShare:
    """Hedges within the operator's share of the first attempts.

    At any time, the hedges are at most the share of all first attempts so far.

    Args:
        ratio: Hedges for each first attempt of a call that may be hedged.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._saved = 0.0

    def record_first(self) -> None:
        """Record the first attempt of a call that may be hedged."""
        self._saved = min(MAX_SAVED_HEDGES, self._saved + self._ratio)

    @property
    def has_hedge(self) -> bool:
        """Whether one more hedge is permitted."""
        return self._saved >= 1.0 - _ROUNDING

    def take(self) -> None:
        """Record a hedge."""
        self._saved -= 1.0
