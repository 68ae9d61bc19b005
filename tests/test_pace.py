"""Engines with other speeds than the initial values, simulated in virtual time.

Each simulation compares the decisions that a host makes from the observed speed with
those that it would make from the initial values.
"""

import random

import pytest

from gypsumfield.decisions.draining import accepts_stream
from gypsumfield.decisions.draining import expected_stream_ms
from gypsumfield.decisions.pace import FIRST_EVENT_OVERHEAD_MS
from gypsumfield.decisions.pace import INITIAL_PACE
from gypsumfield.decisions.pace import MAX_DEVIATION_FACTOR
from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.pace import PaceEstimator
from gypsumfield.decisions.pace import PROMPT_TOKENS_PER_MS
from gypsumfield.decisions.pace import RUN_MS
from gypsumfield.decisions.pace import STEP_MS
from gypsumfield.decisions.protection import ExposedRun
from gypsumfield.decisions.protection import order_copies
from gypsumfield.decisions.queue_waits import estimated_retry_after_ms
from gypsumfield.decisions.queue_waits import QueuedStream
from gypsumfield.decisions.queue_waits import remaining_wait_ms

PROMPT_TOKENS = 3_079
TARGET_MS = 1_800.0
STOP_LIMIT_MS = 8_000.0
# Streams of one host in one minute.
STREAMS = 40


def estimate_pace(pace, streams=STREAMS, seed=1):
    """Return the speed that a host estimates from streams on engines of ``pace``."""
    rng = random.Random(seed)
    estimator = PaceEstimator()
    for _ in range(streams):
        tokens = rng.randint(190, 1_300)
        reading_ms = PROMPT_TOKENS / pace.prompt_tokens_per_ms
        noise = rng.uniform(0.8, 1.2)
        estimator.record_first_event(
            PROMPT_TOKENS, FIRST_EVENT_OVERHEAD_MS + reading_ms * noise
        )
        estimator.record_end(tokens, tokens * pace.step_ms * noise)
    return estimator.pace


def test_the_initial_values_hold_before_any_stream():
    assert PaceEstimator().pace == INITIAL_PACE == Pace()


@pytest.mark.parametrize("factor", [1 / 3, 1.0, 3.0])
def test_a_minute_of_streams_gives_the_speed_within_a_fifth(factor):
    pace = Pace(STEP_MS * factor, PROMPT_TOKENS_PER_MS / factor, RUN_MS)
    estimate = estimate_pace(pace)
    assert estimate.step_ms == pytest.approx(pace.step_ms, rel=0.2)
    assert estimate.prompt_tokens_per_ms == pytest.approx(
        pace.prompt_tokens_per_ms, rel=0.2
    )


def test_one_odd_stream_changes_little_and_estimates_stay_in_range():
    estimator = PaceEstimator()
    estimator.record_end(100, 1e9)
    assert estimator.pace.step_ms < 2 * STEP_MS
    for _ in range(1_000):
        estimator.record_end(100, 1e9)
        estimator.record_first_event(1_000, 1e9)
    assert estimator.pace.step_ms <= STEP_MS * MAX_DEVIATION_FACTOR
    slowest = PROMPT_TOKENS_PER_MS / MAX_DEVIATION_FACTOR
    assert estimator.pace.prompt_tokens_per_ms >= slowest * 0.999


def test_short_streams_do_not_change_the_step_time():
    estimator = PaceEstimator()
    estimator.record_end(12, 5_000.0)
    assert estimator.pace == INITIAL_PACE


def late_ratio(read_rate, planned, seed=1):
    """Return the share of queued streams that start late.

    A stream waits for capacity that becomes free at a random time within 2 s. A stream
    that waits beyond the last moment at which it could start in time keeps the capacity
    from another stream; it counts as late.
    """
    rng = random.Random(seed)
    late = 0
    count = 200
    for _ in range(count):
        free_ms = rng.uniform(0.0, 2_000.0)
        wait_limit_ms = remaining_wait_ms(
            QueuedStream(0.0, TARGET_MS, 39_000.0, PROMPT_TOKENS, planned)
        )
        if free_ms <= wait_limit_ms:
            first_ms = free_ms + FIRST_EVENT_OVERHEAD_MS + PROMPT_TOKENS / read_rate
            late += first_ms > TARGET_MS
    return late / count


def test_streams_do_not_wait_too_long_for_engines_that_read_slowly():
    slow = Pace(prompt_tokens_per_ms=PROMPT_TOKENS_PER_MS / 3)
    assert late_ratio(slow.prompt_tokens_per_ms, estimate_pace(slow)) <= 0.1
    assert late_ratio(slow.prompt_tokens_per_ms, INITIAL_PACE) >= 0.2


def cut_ratio(step_ms, planned):
    """Return the share of accepted streams that a stopping host has to cut off."""
    rng = random.Random(1)
    accepted = cut = 0
    for _ in range(400):
        tokens = rng.randint(100, 700)
        expected_ms = expected_stream_ms(tokens, planned.step_ms)
        if accepts_stream(0.0, STOP_LIMIT_MS, expected_ms):
            accepted += 1
            cut += 600.0 + tokens * step_ms > STOP_LIMIT_MS
    assert accepted
    return cut / accepted


def test_a_stopping_host_accepts_streams_that_slow_engines_can_end():
    slow = Pace(step_ms=2.5 * STEP_MS)
    assert cut_ratio(slow.step_ms, estimate_pace(slow)) <= 0.05
    assert cut_ratio(slow.step_ms, INITIAL_PACE) >= 0.2


def test_runs_of_slow_engines_are_copied_that_would_end_on_others():
    run = ExposedRun("a", 900, 1_000, None)
    slow = estimate_pace(Pace(step_ms=2 * STEP_MS))
    assert order_copies([run], step_ms=slow.step_ms) == ["a"]
    assert order_copies([run]) == []


def test_callers_retry_later_for_engines_with_long_runs():
    long_runs = estimate_pace(Pace(step_ms=3 * STEP_MS))
    assert estimated_retry_after_ms(
        8, 2, long_runs.run_ms
    ) > 1.5 * estimated_retry_after_ms(8, 2)
