import random

import pytest

from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.queue_waits import MIN_RETRY_AFTER_MS
from gypsumfield.decisions.queue_waits import QueuedStream
from gypsumfield.decisions.queue_waits import start_ms
from gypsumfield.decisions.retry_times import CALLER_WAIT_SHARE
from gypsumfield.decisions.retry_times import can_start_in_time
from gypsumfield.decisions.retry_times import FleetSupply
from gypsumfield.decisions.retry_times import MAX_PROMISE_MS
from gypsumfield.decisions.retry_times import RefusedCaller
from gypsumfield.decisions.retry_times import RetryPromises
from shortage_load import HOSTS
from shortage_load import Load
from shortage_load import promised_times
from shortage_load import same_time_for_all
from shortage_load import SUMMARY
from shortage_load import VERDICT

PATIENT = RefusedCaller(remaining_ms=36_000.0, start_ms=300.0)
SUPPLY = FleetSupply(run_count=150, run_ms=7_500.0, host_count=HOSTS)
SEEDS = range(4)


def test_a_crowd_is_refused_a_second_time_less_often():
    # Guards against one time for all: hosts that refused at the same moment all
    # stated 0.5 s, and their callers came back together.
    refused_twice, served = [0, 0], [0, 0]
    for seed in SEEDS:
        same = Load(same_time_for_all, None, seed).play()
        spread = Load(promised_times(), None, seed).play()
        assert max(spread.told) <= CALLER_WAIT_SHARE + 1e-9
        for index, load in enumerate((same, spread)):
            for kind in (SUMMARY, VERDICT):
                refused_twice[index] += load.counts["refused twice", kind]
                served[index] += load.counts["served", kind]
    assert refused_twice[1] < refused_twice[0]
    assert served[1] > served[0]


def test_the_hosts_promise_no_more_than_the_fleet_releases():
    # Guards against promises of the same capacity by every host.
    rng = random.Random(1)
    times = []
    for _ in range(HOSTS):
        promises = RetryPromises()
        times += [
            promises.promise(SUPPLY, 0, PATIENT, 0.0, rng.random()) for _ in range(2)
        ]
    per_second = SUPPLY.run_count / SUPPLY.run_ms * 1_000.0
    for first_ms in range(1_000, 7_000, 1_000):
        count = sum(first_ms <= time_ms < first_ms + 1_000 for time_ms in times)
        assert count <= 1.6 * per_second


def test_a_small_fleet_states_short_times_one_after_the_other():
    promises = RetryPromises()
    supply = FleetSupply(run_count=40, run_ms=6_000.0, host_count=3)
    times = [promises.promise(supply, 0, PATIENT, 0.0, 0.5) for _ in range(5)]
    assert times == sorted(times)
    assert MIN_RETRY_AFTER_MS <= times[0] <= 1.5 * MIN_RETRY_AFTER_MS
    assert times[-1] == pytest.approx(4.5 * 450.0)


@pytest.mark.parametrize("draw", [0.0, 0.25, 0.5, 1.0])
def test_no_patient_caller_returns_while_the_same_engines_are_full(draw):
    # Guards against callers that are told 250 ms and are refused for good.
    supply = FleetSupply(run_count=400, run_ms=6_000.0, host_count=3)
    retry_ms = RetryPromises().promise(supply, 0, PATIENT, 0.0, draw)
    assert retry_ms == pytest.approx(MIN_RETRY_AFTER_MS * (1.0 + 0.5 * draw))


def test_a_promise_expires_with_its_time():
    promises = RetryPromises()
    promises.promise(SUPPLY, 0, PATIENT, 0.0, 0.5)
    assert promises.pending_count(0.0) == 1
    assert promises.pending_count(SUPPLY.host_interval_ms) == 0


def test_waiting_streams_come_before_a_refused_one():
    first = RetryPromises().promise(SUPPLY, 0, PATIENT, 0.0, 0.5)
    later = RetryPromises().promise(SUPPLY, 1, PATIENT, 0.0, 0.5)
    assert later == pytest.approx(first + SUPPLY.host_interval_ms)


@pytest.mark.parametrize("remaining_ms", [600.0, 1_500.0, 6_037.0, 39_126.0])
@pytest.mark.parametrize("draw", [0.0, 0.5, 1.0])
def test_no_caller_is_told_more_than_it_honours(remaining_ms, draw):
    caller = RefusedCaller(remaining_ms, 300.0)
    promises = RetryPromises()
    for _ in range(50):
        retry_ms = promises.promise(SUPPLY, 3, caller, 0.0, draw)
        assert 0.0 < retry_ms <= CALLER_WAIT_SHARE * remaining_ms
        assert retry_ms <= MAX_PROMISE_MS


def test_a_caller_that_cannot_be_served_in_time_is_told_its_turn():
    caller = RefusedCaller(remaining_ms=400.0, start_ms=300.0)
    assert RetryPromises().promise(SUPPLY, 0, caller, 0.0, 0.5) > 400.0


def test_callers_without_a_turn_in_time_do_not_return_together():
    rng = random.Random(1)
    caller = RefusedCaller(remaining_ms=4_500.0, start_ms=300.0)
    times = [
        RetryPromises().promise(SUPPLY, 9, caller, 0.0, rng.random()) for _ in range(40)
    ]
    assert max(times) - min(times) > 500.0


def test_an_engine_service_without_runs_is_promised_at_the_longest_time():
    supply = SUPPLY._replace(run_count=0)
    assert RetryPromises().promise(supply, 0, PATIENT, 0.0, 1.0) <= MAX_PROMISE_MS


def test_the_start_of_a_stream_includes_reading_its_prompt():
    stream = QueuedStream(0.0, 1_500.0, 6_000.0, VERDICT.prompt_tokens, Pace())
    assert start_ms(stream) > VERDICT.prompt_tokens / Pace().prompt_tokens_per_ms


@pytest.mark.parametrize(
    ("ahead_count", "wait_ms", "expected"),
    [
        (30, 200.0, True),
        (60, 1_250.0, False),
        (60, 3_700.0, True),
        (300, 3_700.0, False),
    ],
)
def test_a_stream_is_hopeless_behind_all_that_becomes_free(
    ahead_count, wait_ms, expected
):
    assert can_start_in_time(SUPPLY, 23, ahead_count, wait_ms) == expected


def test_no_stream_is_hopeless_while_an_engine_is_idle():
    assert can_start_in_time(SUPPLY._replace(run_count=20), 23, 300, 1_000.0)
