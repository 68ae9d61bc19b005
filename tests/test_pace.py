"""Engines of another kind than the figures in the code, in virtual time.

Each play compares what a host decides by the pace that it has learned with what it
would decide by the start values.
"""

import random

import pytest

from gypsumfield.decisions.draining import accepts_stream
from gypsumfield.decisions.draining import expected_stream_ms
from gypsumfield.decisions.pace import LARGEST_FACTOR
from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.pace import PaceEstimator
from gypsumfield.decisions.pace import PROMPT_TOKENS_PER_MS
from gypsumfield.decisions.pace import RUN_MS
from gypsumfield.decisions.pace import START_MS
from gypsumfield.decisions.pace import START_PACE
from gypsumfield.decisions.pace import STEP_MS
from gypsumfield.decisions.protection import ExposedRun
from gypsumfield.decisions.protection import order_copies
from gypsumfield.decisions.queue_waits import estimated_retry_after_ms
from gypsumfield.decisions.queue_waits import QueuedStream
from gypsumfield.decisions.queue_waits import remaining_wait_ms

PROMPT_TOKENS = 3_079
AIM_MS = 1_800.0
STOP_LIMIT_MS = 8_000.0
# One host's streams of a minute.
STREAMS = 40


def learned(pace, streams=STREAMS, seed=1):
    """Return what a host knows after some streams on engines of a pace."""
    rng = random.Random(seed)
    learner = PaceEstimator()
    for _ in range(streams):
        tokens = rng.randint(190, 1_300)
        reading_ms = PROMPT_TOKENS / pace.prompt_tokens_per_ms
        noise = rng.uniform(0.8, 1.2)
        learner.note_first_event(PROMPT_TOKENS, START_MS + reading_ms * noise)
        learner.note_end(tokens, tokens * pace.step_ms * noise)
    return learner.pace


def test_the_start_values_hold_before_anything_is_seen():
    assert PaceEstimator().pace == START_PACE == Pace()


@pytest.mark.parametrize("factor", [1 / 3, 1.0, 3.0])
def test_a_minute_of_streams_shows_the_pace_within_a_fifth(factor):
    pace = Pace(STEP_MS * factor, PROMPT_TOKENS_PER_MS / factor, RUN_MS)
    known = learned(pace)
    assert known.step_ms == pytest.approx(pace.step_ms, rel=0.2)
    assert known.prompt_tokens_per_ms == pytest.approx(
        pace.prompt_tokens_per_ms, rel=0.2
    )


def test_one_odd_stream_changes_little_and_nothing_leaves_the_bounds():
    learner = PaceEstimator()
    learner.note_end(100, 1e9)
    assert learner.pace.step_ms < 2 * STEP_MS
    for _ in range(1_000):
        learner.note_end(100, 1e9)
        learner.note_first_event(1_000, 1e9)
    assert learner.pace.step_ms <= STEP_MS * LARGEST_FACTOR
    slowest = PROMPT_TOKENS_PER_MS / LARGEST_FACTOR
    assert learner.pace.prompt_tokens_per_ms >= slowest * 0.999


def test_short_streams_say_nothing_of_steps():
    learner = PaceEstimator()
    learner.note_end(12, 5_000.0)
    assert learner.pace == START_PACE


def late_ratio(reading, planned, seed=1):
    """Return the share of held streams that start late.

    Streams wait for a place that comes free at some moment of 2 s. One that is held
    beyond the last moment at which it could be in time keeps the place from another;
    here it counts as late.
    """
    rng = random.Random(seed)
    late = 0
    count = 200
    for _ in range(count):
        free_ms = rng.uniform(0.0, 2_000.0)
        held_ms = remaining_wait_ms(
            QueuedStream(0.0, AIM_MS, 39_000.0, PROMPT_TOKENS, planned)
        )
        if free_ms <= held_ms:
            first_ms = free_ms + START_MS + PROMPT_TOKENS / reading
            late += first_ms > AIM_MS
    return late / count


def test_streams_are_not_held_too_long_for_engines_that_read_slowly():
    slow = Pace(prompt_tokens_per_ms=PROMPT_TOKENS_PER_MS / 3)
    assert late_ratio(slow.prompt_tokens_per_ms, learned(slow)) <= 0.1
    assert late_ratio(slow.prompt_tokens_per_ms, START_PACE) >= 0.2


def cut_ratio(step_ms, planned):
    """Return the share of the streams a stopping host takes that it has to cut."""
    rng = random.Random(1)
    taken = cut = 0
    for _ in range(400):
        tokens = rng.randint(100, 700)
        expected_ms = expected_stream_ms(tokens, planned.step_ms)
        if accepts_stream(0.0, STOP_LIMIT_MS, expected_ms):
            taken += 1
            cut += 600.0 + tokens * step_ms > STOP_LIMIT_MS
    assert taken
    return cut / taken


def test_a_stopping_host_takes_what_slow_engines_can_end():
    slow = Pace(step_ms=2.5 * STEP_MS)
    assert cut_ratio(slow.step_ms, learned(slow)) <= 0.05
    assert cut_ratio(slow.step_ms, START_PACE) >= 0.2


def test_runs_of_slow_engines_are_copied_that_would_end_elsewhere():
    run = ExposedRun("a", 900, 1_000, None)
    slow = learned(Pace(step_ms=2 * STEP_MS))
    assert order_copies([run], step_ms=slow.step_ms) == ["a"]
    assert order_copies([run]) == []


def test_callers_come_back_later_to_engines_with_long_runs():
    long_runs = learned(Pace(step_ms=3 * STEP_MS))
    assert estimated_retry_after_ms(
        8, 2, long_runs.run_ms
    ) > 1.5 * estimated_retry_after_ms(8, 2)
