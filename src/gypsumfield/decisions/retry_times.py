"""Times at which refused callers should return, over all hosts of a fleet.

They serve a crowd on engines that are short of memory. Hosts that refuse streams at
the same moment without regard to each other would all state the same short time: their
callers come back together, find the engines full again and are refused for good, since
a caller retries once. Capacity is released at a known rate over the whole fleet. Each
host promises its part of that rate, one caller after the other.
"""

from collections import deque
from typing import NamedTuple

from gypsumfield.decisions.queue_waits import MIN_RETRY_AFTER_MS

# Callers honour a time of up to this share of what they have left.
CALLER_WAIT_SHARE = 1.0 / 3.0
# Callers that cannot be told their turn, because it is too early or too late, return at
# random times in a range of this size, so that they do not return together.
JITTER_SHARE = 0.5
# Longest time that is stated. The estimate is good for the runs that exist now, and
# these end within about two durations of a run.
MAX_PROMISE_MS = 12_000.0
# A stream is refused at once when its expected wait exceeds what it can wait by this
# factor: the wait is an estimate, and a stream that can be served must not be lost.
HOPELESS_WAIT_FACTOR = 1.5
# Fewer streams for each engine wait for a moment also without a shortage: until an
# engine's next report, or for something else than memory.
HOPELESS_STREAMS_PER_ENGINE = 2
# Promises of one host that are remembered; each expires with the time that it stated.
MAX_PROMISES = 1_024


class FleetSupply(NamedTuple):
    """Rate at which the engines of a service release capacity, and who shares it.

    Attributes:
        run_count: Runs on all engines of the service.
        run_ms: Time for which a typical run occupies its engine.
        host_count: Hosts that may exist; each promises an equal part.
    """

    run_count: int
    run_ms: float
    host_count: int

    @property
    def fleet_interval_ms(self) -> float:
        """Mean time between two ends of runs on all engines."""
        return self.run_ms / max(1, self.run_count)

    @property
    def host_interval_ms(self) -> float:
        """Mean time between two ends of runs in this host's part."""
        return self.fleet_interval_ms * max(1, self.host_count)


def can_start_in_time(
    supply: FleetSupply, engine_count: int, ahead_count: int, wait_ms: float
) -> bool:
    """Return whether a stream may get memory while it can still start in time.

    Args:
        supply: Release of capacity by the engines of its service.
        engine_count: Number of these engines.
        ahead_count: Streams on all hosts that get memory before it.
        wait_ms: Longest time that it can wait.
    """
    has_idle_engine = supply.run_count < engine_count
    if has_idle_engine or ahead_count < HOPELESS_STREAMS_PER_ENGINE * engine_count:
        return True
    expected_ms = ahead_count * supply.fleet_interval_ms
    return expected_ms <= HOPELESS_WAIT_FACTOR * wait_ms


class RefusedCaller(NamedTuple):
    """Caller of a stream that is refused for lack of memory.

    Attributes:
        remaining_ms: Time until its deadline.
        start_ms: Time that its stream needs from its placement to the first event.
    """

    remaining_ms: float
    start_ms: float


class RetryPromises:
    """Times that this host has stated to refused callers of one service."""

    def __init__(self) -> None:
        self._promised_ms: deque[float] = deque(maxlen=MAX_PROMISES)

    def pending_count(self, now_ms: float) -> int:
        """Return the callers sent away whose stated time lies ahead."""
        pending = [time_ms for time_ms in self._promised_ms if time_ms > now_ms]
        self._promised_ms = deque(pending, maxlen=MAX_PROMISES)
        return len(pending)

    def promise(
        self,
        supply: FleetSupply,
        waiting_count: int,
        caller: RefusedCaller,
        now_ms: float,
        draw: float,
    ) -> float:
        """Return the time after which a refused caller should retry, in ms.

        Args:
            supply: Release of capacity by the engines of the service.
            waiting_count: Streams that wait on this host.
            caller: The refused caller.
            now_ms: Monotonic time.
            draw: Random number from 0 to 1. It places the caller within its own
                interval: the hosts' intervals begin at the same moment when a crowd
                fills the engines for all of them.
        """
        ahead_count = waiting_count + self.pending_count(now_ms)
        turn_ms = (ahead_count + draw) * supply.host_interval_ms
        # A caller that returns sooner than `MIN_RETRY_AFTER_MS` finds the same engines
        # full.
        earliest_ms = MIN_RETRY_AFTER_MS * (1.0 + JITTER_SHARE * draw)
        retry_ms = _within_rule(max(earliest_ms, turn_ms), caller, draw)
        self._promised_ms.append(now_ms + retry_ms)
        return retry_ms


def _within_rule(turn_ms: float, caller: RefusedCaller, draw: float) -> float:
    """Return a time that the caller honours, if it can still be served then."""
    limit_ms = CALLER_WAIT_SHARE * caller.remaining_ms
    if caller.remaining_ms - limit_ms < caller.start_ms:
        # It cannot be served at any time that it would honour.
        return min(MAX_PROMISE_MS, turn_ms)
    limit_ms = min(MAX_PROMISE_MS, limit_ms)
    if turn_ms <= limit_ms:
        return turn_ms
    return limit_ms * (1.0 - JITTER_SHARE * draw)
