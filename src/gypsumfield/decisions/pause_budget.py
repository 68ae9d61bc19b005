"""Longest gap between two events that the streams of an engine will have.

Load: 14 long and 15 short streams a second, with prompts of 3,079 and 2,550 tokens, on
29 engines of which a third are slower by a factor of 1.3. Each engine is slower by a
factor of 2.5 during spells that last seconds. While an engine reads a prompt, the
events of its running streams take twice as long. One of the three never makes a stream
late by a gap, a naturally slow engine that reads a prompt in a spell always does.

An engine that reads several prompts reads them one after the other: a second prompt
makes the slow phase longer, not the gaps in it.
"""

import math
from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from statistics import median
from statistics import median_high
from typing import NamedTuple
from typing import TypeVar

ItemT = TypeVar("ItemT")

# Events made while the engine reads a prompt take this many times as long.
PROMPT_FACTOR = 2.0
# The median of three gaps: a spell shows after two, and one may be the network's.
GAP_SAMPLE_COUNT = 3
# Age up to which gaps describe a spell that lasts seconds.
GAP_LIFETIME_MS = 700.0
# Reports are polled every 500 ms, from engines that renew them twice a second.
POLLED_LIFETIME_MS = 1_500.0
# The usual time of an engine is a low quantile of samples of two minutes. With the
# median, an engine that often read prompts seemed slow, was avoided by long streams,
# got more short ones and read even more prompts. It is used after 2.4 s, because some
# starts of engines live for half a minute only.
USUAL_QUANTILE = 0.2
USUAL_SAMPLE_INTERVAL_MS = 400.0
USUAL_SAMPLE_COUNT = 300
MIN_USUAL_SAMPLE_COUNT = 6
# Engines go first whose predicted gap leaves this margin for errors of the prediction.
# With 0.8, ordinary servers in a spell (0.85) were avoided too, and more streams were
# late on naturally slow ones.
PREFERRED_GAP_RATIO = 0.95
# Cost of an engine that is usually slower than others, in shares of its memory for a
# factor of 2: a spell makes its long streams late, an ordinary engine's not. In
# `tests/pause_load.py` 10 of 100 were late with 0, 5 with 2 and 3 with 3.
SLOW_ENGINE_COST = 3.0
# Beyond this factor the cost stays the same, below that of an engine in another zone.
MAX_COSTLY_FACTOR = 1.3
# Two polls further apart than this say little about the current pace.
MAX_POLL_INTERVAL_MS = 1_600.0
# Longer times are stalls, not pace.
MAX_EVENT_MS = 2_000.0
# Peers tell an engine's host about their gaps, at most this many hosts count.
MAX_PEER_COUNT = 64


def predicted_gap_ms(event_ms: float) -> float:
    """Return the longest gap of an engine's streams while a prompt is read beside them.

    Args:
        event_ms: Current time per event of the engine; 0 if unknown.
    """
    return event_ms * PROMPT_FACTOR


def within_gap_limit(
    items: Sequence[ItemT], gap_ms: Callable[[ItemT], float], limit_ms: float
) -> Sequence[ItemT]:
    """Return the engines on which no stream is expected to exceed the limit.

    Those with a margin go first. There may be none.

    Args:
        items: Engines that can take the stream.
        gap_ms: Returns the predicted longest gap of an engine; 0 if unknown.
        limit_ms: Longest gap that streams may have.
    """
    for ratio in (PREFERRED_GAP_RATIO, 1.0):
        preferred = [item for item in items if gap_ms(item) <= limit_ms * ratio]
        if preferred:
            return preferred
    return []


def slow_engine_cost(factor: float) -> float:
    """Return the cost of a long stream on an engine that is usually slow."""
    return SLOW_ENGINE_COST * (min(factor, MAX_COSTLY_FACTOR) - 1.0)


class _Sample(NamedTuple):
    """A time per event and when it was observed."""

    at_ms: float
    event_ms: float


class EventTimes:
    """Time per event of one start of an engine, now and usually.

    The current time follows a spell within a few events; the usual time, from minutes,
    shows the speed of the server without spells and prompts.
    """

    def __init__(self, started_wall_ms: int) -> None:
        self.started_wall_ms = started_wall_ms
        self._gaps: deque[_Sample] = deque(maxlen=GAP_SAMPLE_COUNT)
        self._peers: dict[str, _Sample] = {}
        self._polled: _Sample | None = None
        self._shared: _Sample | None = None
        self._shared_usual_ms = 0.0
        self._usual_samples: deque[float] = deque(maxlen=USUAL_SAMPLE_COUNT)
        self._last_sampled_ms = -math.inf
        self._usual_ms = 0.0

    def record_gap(self, event_ms: float, now_ms: float) -> None:
        """Record the time per event between two reads of a stream of this host."""
        if 0.0 < event_ms <= MAX_EVENT_MS:
            self._gaps.append(_Sample(now_ms, event_ms))
            self._sample_usual(now_ms)

    def record_peer(self, host_id: str, event_ms: float, now_ms: float) -> None:
        """Record the time per event that another host observes on its streams."""
        if len(self._peers) >= MAX_PEER_COUNT and host_id not in self._peers:
            del self._peers[next(iter(self._peers))]
        self._peers.pop(host_id, None)
        if 0.0 < event_ms <= MAX_EVENT_MS:
            self._peers[host_id] = _Sample(now_ms, event_ms)
            self._sample_usual(now_ms)

    def record_polled(self, event_ms: float, now_ms: float) -> None:
        """Record the time per event between two reports of the engine."""
        if 0.0 < event_ms <= MAX_EVENT_MS:
            self._polled = _Sample(now_ms, event_ms)
            self._sample_usual(now_ms)

    def record_shared(self, event_ms: float, usual_ms: float, at_ms: float) -> None:
        """Record what the host says that polls the engine.

        Args:
            event_ms: Current time per event, or 0 if unknown.
            usual_ms: Usual time per event, or 0 if unknown.
            at_ms: Monotonic time for which it holds.
        """
        self._shared_usual_ms = usual_ms if 0.0 < usual_ms <= MAX_EVENT_MS else 0.0
        if self._shared is not None and at_ms < self._shared.at_ms:
            return
        # An unknown time replaces an earlier one, which must not outlive its source.
        is_known = 0.0 < event_ms <= MAX_EVENT_MS
        self._shared = _Sample(at_ms, event_ms) if is_known else None

    def own_ms(self, now_ms: float) -> float:
        """Return the time per event of this host's own streams now; 0 if unknown."""
        gaps = self._gaps
        if len(gaps) < GAP_SAMPLE_COUNT or gaps[0].at_ms < now_ms - GAP_LIFETIME_MS:
            return 0.0
        return median(gap.event_ms for gap in gaps)

    def current_ms(self, now_ms: float) -> float:
        """Return the time per event now; 0 if unknown.

        Streams show a spell sooner than reports, and the host that polls the engine
        knows the streams of all hosts. Of two different times the longer one counts.
        """
        oldest_ms = now_ms - GAP_LIFETIME_MS
        observed = [p.event_ms for p in self._peers.values() if p.at_ms >= oldest_ms]
        if own_ms := self.own_ms(now_ms):
            observed.append(own_ms)
        if observed:
            return median_high(observed)
        reported = [
            sample.event_ms
            for sample in (self._polled, self._shared)
            if sample is not None and now_ms - sample.at_ms <= POLLED_LIFETIME_MS
        ]
        return max(reported, default=0.0)

    @property
    def usual_ms(self) -> float:
        """Usual time per event; 0 if unknown."""
        if len(self._usual_samples) >= MIN_USUAL_SAMPLE_COUNT:
            return self._usual_ms
        return self._shared_usual_ms

    def _sample_usual(self, at_ms: float) -> None:
        if at_ms - self._last_sampled_ms < USUAL_SAMPLE_INTERVAL_MS:
            return
        event_ms = self.current_ms(at_ms)
        if event_ms:
            self._last_sampled_ms = at_ms
            self._usual_samples.append(event_ms)
            position = int(USUAL_QUANTILE * len(self._usual_samples))
            self._usual_ms = sorted(self._usual_samples)[position]


class PolledEvents:
    """Computes the time per event from two reports of one engine start."""

    def __init__(self) -> None:
        self._counts: Mapping[str, int] = {}
        self._at_ms = -math.inf

    def record(self, event_counts: Mapping[str, int], at_ms: float) -> float:
        """Record a report and return the time per event since the last; 0 if unknown.

        Runs whose count has not grown, or has decreased, show nothing: they wait for
        their prompt to be read, or were replaced. If no count has grown, the engine has
        not renewed its report, and the next one is compared with the earlier one.

        Args:
            event_counts: Events that each run has made, by request id.
            at_ms: Monotonic time of the report.
        """
        elapsed_ms = at_ms - self._at_ms
        growth = [
            count - self._counts[run_id]
            for run_id, count in event_counts.items()
            if count > self._counts.get(run_id, count)
        ]
        is_unchanged = not growth and _has_common(event_counts, self._counts)
        if is_unchanged and elapsed_ms <= MAX_POLL_INTERVAL_MS:
            return 0.0
        self._counts = event_counts
        self._at_ms = at_ms
        if not growth or not 0.0 < elapsed_ms <= MAX_POLL_INTERVAL_MS:
            return 0.0
        return elapsed_ms / median(growth)


def _has_common(counts: Mapping[str, int], previous: Mapping[str, int]) -> bool:
    return any(previous.get(run_id) == count for run_id, count in counts.items())


def service_usual_ms(usual_times_ms: Iterable[float]) -> float:
    """Return the usual time per event of a service; 0 if it is unknown.

    Args:
        usual_times_ms: Usual times of its engines; 0 for an unknown one.
    """
    known = [time_ms for time_ms in usual_times_ms if time_ms > 0.0]
    return median(known) if known else 0.0


def slow_factor(usual_ms: float, service_ms: float) -> float:
    """Return how much slower than others of its service an engine usually is.

    Args:
        usual_ms: Its usual time per event, or 0 if unknown.
        service_ms: Usual time per event of the service, or 0 if unknown.

    Returns:
        At least 1; 1 if too little is known.
    """
    if usual_ms <= 0.0 or service_ms <= 0.0:
        return 1.0
    return max(1.0, usual_ms / service_ms)
