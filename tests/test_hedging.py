"""Decisions on hedges: when to send a second attempt, and when not to."""

import heapq
import itertools
import math
import random
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumfield.decisions.hedging import Decline
from gypsumfield.decisions.hedging import decline_reason
from gypsumfield.decisions.hedging import HedgeQuery
from gypsumfield.decisions.hedging import HedgeShare
from gypsumfield.decisions.hedging import LatencyWindow
from gypsumfield.decisions.hedging import MAX_SAMPLE_COUNT
from gypsumfield.decisions.hedging import MAX_SAVED_HEDGES
from gypsumfield.decisions.hedging import may_hedge
from gypsumfield.decisions.hedging import MIN_DELAY_MS
from gypsumfield.decisions.hedging import MIN_SAMPLE_COUNT
from gypsumfield.decisions.hedging import SAMPLE_LIFETIME_MS
from gypsumfield.decisions.hedging import ServerState

TARGET_MS = 128.0
WORK_MS = 22.5
SLOT_COUNT = 6
PERMITTED = HedgeQuery(
    sample_count=MIN_SAMPLE_COUNT,
    delay_ms=30.0,
    remaining_ms=500.0,
    refused_ms_ago=math.inf,
    is_stopping=False,
    has_share=True,
    servers=[ServerState(SLOT_COUNT, 1)] * 3,
)


class Load(NamedTuple):
    """Reads over three servers, the first of which is slow in spells.

    Attributes:
        reads_per_s: Rate of the reads.
        slow_factor: Multiple of the work in a spell.
        ratio: The operator's share of hedges.
        duration_s: Length of the replay.
    """

    reads_per_s: float = 19.0
    slow_factor: float = 8.0
    ratio: float = 0.05
    duration_s: float = 600.0


class Replay(NamedTuple):
    """Latencies of the reads, number of hedges, and reasons against others."""

    latencies_ms: list[float]
    hedge_count: int
    declined: list[Decline]

    def slowest_ms(self, share: float) -> float:
        """Mean of the slowest share of the answers."""
        slowest = sorted(self.latencies_ms)[-int(share * len(self.latencies_ms)) :]
        return sum(slowest) / len(slowest)


class Servers:
    """Servers with six slots; requests wait in the order in which they come."""

    def __init__(self, load, rng):
        self.load = load
        self.rng = rng
        self.free_ms = [[0.0] * SLOT_COUNT for _ in range(3)]

    def busy_count(self, server, now_ms):
        return sum(free_ms > now_ms for free_ms in self.free_ms[server])

    def run(self, server, now_ms):
        """Return when the answer to a request sent now arrives."""
        # Two seconds in every 40.
        is_slow = server == 0 and now_ms % 40_000.0 < 2_000.0
        work_ms = WORK_MS * self.rng.uniform(0.8, 1.2)
        work_ms *= self.load.slow_factor if is_slow else 1.0
        start_ms = max(now_ms, heapq.heappop(self.free_ms[server]))
        heapq.heappush(self.free_ms[server], start_ms + work_ms)
        return start_ms + work_ms


def replay(load, seed=1):
    """Play reads and hedges in the order of time, without a network."""
    rng = random.Random(seed)
    servers = Servers(load, rng)
    window, share = LatencyWindow(), HedgeShare(load.ratio)
    numbers = itertools.count()
    events = []
    latencies, declined = [], []
    hedge_count = 0

    def push(at_ms, kind, *details):
        heapq.heappush(events, (at_ms, next(numbers), kind, details))

    now_ms = 0.0
    while now_ms < load.duration_s * 1_000.0:
        now_ms += rng.expovariate(load.reads_per_s) * 1_000.0
        push(now_ms, "read")
    while events:
        now_ms, _, kind, details = heapq.heappop(events)
        if kind == "read":
            server = rng.randrange(3)
            ends_ms = servers.run(server, now_ms)
            share.record_first()
            delay_ms = window.delay_ms(TARGET_MS, now_ms)
            is_late = may_hedge(True, 2, load.ratio) and ends_ms > now_ms + delay_ms
            if is_late:
                push(now_ms + delay_ms, "late", now_ms, ends_ms, server, delay_ms)
            else:
                push(ends_ms, "answer", now_ms)
        elif kind == "late":
            started_ms, ends_ms, server, delay_ms = details
            states = [
                ServerState(SLOT_COUNT, servers.busy_count(number, now_ms))
                for number in range(3)
            ]
            query = PERMITTED._replace(
                sample_count=window.sample_count(now_ms),
                delay_ms=delay_ms,
                has_share=share.has_hedge,
                servers=states,
            )
            reason = decline_reason(query)
            if reason is None:
                share.take()
                hedge_count += 1
                other = rng.choice([number for number in range(3) if number != server])
                ends_ms = min(ends_ms, servers.run(other, now_ms))
            else:
                declined.append(reason)
            push(ends_ms, "answer", started_ms)
        else:
            latencies.append(now_ms - details[0])
            window.record(latencies[-1], now_ms)
    return Replay(latencies, hedge_count, declined)


# Guards against hedges that cost work without a gain for callers.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_slowest_answers_fall_and_the_extra_work_stays_within_the_ratio(seed):
    without = replay(Load(ratio=0.0), seed)
    hedged = replay(Load(), seed)
    assert hedged.hedge_count > 0
    assert hedged.hedge_count <= 0.05 * len(hedged.latencies_ms)
    late_before = sum(ms > TARGET_MS for ms in without.latencies_ms)
    late_after = sum(ms > TARGET_MS for ms in hedged.latencies_ms)
    assert late_after < 0.5 * late_before
    assert hedged.slowest_ms(0.01) < without.slowest_ms(0.01)


def test_the_ratio_bounds_hedges_if_all_servers_are_slow_for_long():
    """Guards against a second attempt for every call when nothing is fast."""
    hedged = replay(Load(slow_factor=40.0, ratio=0.01))
    assert 0 < hedged.hedge_count <= 0.01 * len(hedged.latencies_ms)
    assert Decline.RATIO in hedged.declined


def test_there_is_no_hedge_while_servers_are_short_of_slots():
    """Guards against hedges that lengthen the queues they should avoid."""
    # 18 slots of 22.5 ms serve 800 reads a second.
    hedged = replay(Load(reads_per_s=750.0, duration_s=30.0))
    assert Decline.BUSY in hedged.declined
    assert hedged.hedge_count <= 0.2 * len(hedged.declined)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({}, None),
        ({"sample_count": MIN_SAMPLE_COUNT - 1}, Decline.FEW_SAMPLES),
        ({"is_stopping": True}, Decline.STOPPING),
        ({"remaining_ms": 30.0}, Decline.DEADLINE),
        ({"refused_ms_ago": 100.0}, Decline.REFUSED),
        ({"servers": [ServerState(6, 0, is_pausing=True)] * 2}, Decline.PAUSED),
        ({"servers": [ServerState(6, 0, is_limited=True)] * 2}, Decline.LIMITED),
        ({"servers": [ServerState(6, 0, is_brittle=True)] * 2}, Decline.BRITTLE),
        ({"servers": [ServerState(6, 6), ServerState(6, 1)]}, Decline.BUSY),
        ({"has_share": False}, Decline.RATIO),
    ],
)
def test_the_reason_against_a_hedge(change, reason):
    assert decline_reason(PERMITTED._replace(**change)) is reason


@pytest.mark.parametrize(
    ("is_repeatable", "max_attempts", "ratio", "may"),
    [
        (True, 2, 0.05, True),
        (False, 2, 0.05, False),
        (True, 1, 0.05, False),
        (True, 2, 0.0, False),
    ],
)
def test_only_calls_that_may_run_twice_are_hedged(
    is_repeatable, max_attempts, ratio, may
):
    assert may_hedge(is_repeatable, max_attempts, ratio) is may


def window_of(latencies_ms, now_ms=0.0):
    window = LatencyWindow()
    for latency_ms in latencies_ms:
        window.record(latency_ms, now_ms)
    return window


def test_the_delay_is_a_high_percentile_within_bounds():
    assert window_of(range(1, 101)).delay_ms(1_000.0, 0.0) == 95.0
    assert window_of(range(1, 101)).delay_ms(100.0, 0.0) == 50.0
    assert window_of([0.5] * 100).delay_ms(1_000.0, 0.0) == MIN_DELAY_MS
    few = window_of([5.0] * (MIN_SAMPLE_COUNT - 1))
    assert few.delay_ms(1_000.0, 0.0) == 500.0


def test_old_latencies_and_those_beyond_the_window_do_not_count():
    window = window_of([100.0] * MAX_SAMPLE_COUNT)
    for _ in range(MAX_SAMPLE_COUNT):
        window.record(10.0, 1_000.0)
    assert window.delay_ms(1_000.0, 1_000.0) == 10.0
    assert window.sample_count(1_000.0) == MAX_SAMPLE_COUNT
    assert window.sample_count(1_001.0 + SAMPLE_LIFETIME_MS) == 0


@given(
    ratio=st.floats(0.0, 1.0),
    calls=st.lists(st.booleans(), max_size=300),
)
def test_hedges_never_exceed_the_share_of_the_first_attempts(ratio, calls):
    share = HedgeShare(ratio)
    first_count = hedge_count = 0
    for is_first in calls:
        if is_first:
            share.record_first()
            first_count += 1
        elif share.has_hedge:
            share.take()
            hedge_count += 1
        assert hedge_count <= ratio * first_count + 1e-6
    while share.has_hedge:
        share.take()
        hedge_count += 1
    assert hedge_count <= ratio * first_count + 1e-6


@given(
    latencies_ms=st.lists(st.floats(0.0, 10_000.0), max_size=60),
    target_ms=st.floats(1.0, 10_000.0),
)
def test_the_delay_is_at_most_half_of_the_target(latencies_ms, target_ms):
    delay_ms = window_of(latencies_ms).delay_ms(target_ms, 0.0)
    assert 0.0 < delay_ms <= 0.5 * target_ms


def test_hedges_saved_in_quiet_times_are_bounded():
    share = HedgeShare(0.05)
    for _ in range(100_000):
        share.record_first()
    count = 0
    while share.has_hedge:
        share.take()
        count += 1
    assert count == MAX_SAVED_HEDGES
