import random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gypsumfield.decisions.length_estimates import BUCKET_COUNT
from gypsumfield.decisions.length_estimates import bucket_of
from gypsumfield.decisions.length_estimates import bucket_start
from gypsumfield.decisions.length_estimates import MAX_LENGTH_TOKENS
from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.lengths import LengthModel
from gypsumfield.decisions.lengths import LengthProgress
from gypsumfield.decisions.lengths import LengthSettings
from gypsumfield.decisions.workload import GenerationDemand


def demand(account="cart-7", max_tokens=32_768):
    return GenerationDemand("r", "assistant", "dawn", account, 50, max_tokens)


def record_lengths(model, lengths, account="cart-7", **fields):
    for now_ms, tokens in enumerate(lengths):
        model.record(FinishedLength(demand(account), tokens, **fields), now_ms)


@given(st.integers(0, MAX_LENGTH_TOKENS))
@settings(derandomize=True, deadline=None)
def test_buckets_hold_their_lengths(length):
    index = bucket_of(length)
    assert 0 <= index < BUCKET_COUNT
    assert bucket_start(index) <= length < bucket_start(index + 1)
    assert bucket_start(index + 1) - bucket_start(index) <= max(1, length / 4)


def test_first_request_has_a_spread_out_estimate():
    remaining = LengthModel().remaining(demand(), 0)
    assert 200 <= remaining.quantile(0.5) <= 320
    assert remaining.quantile(0.95) > 1_000
    # An answer that is already long is expected to grow longer still.
    assert LengthModel().remaining(demand(), 2_000).mean_tokens > 500


@pytest.mark.parametrize("chance", [0.1, 0.5, 0.9])
@pytest.mark.parametrize("generated", [0, 100, 400])
def test_learned_quantiles_match_the_sample(chance, generated):
    rng = random.Random(5)
    sample = [max(1, round(rng.lognormvariate(5.0, 0.8))) for _ in range(4_000)]
    model = LengthModel(LengthSettings(half_life_records=1e6))
    record_lengths(model, sample)
    rest = sorted(length - generated for length in sample if length > generated)
    expected = rest[int(chance * len(rest))]
    estimated = model.remaining(demand(), generated).quantile(chance)
    assert estimated == pytest.approx(expected, rel=0.2, abs=4)
    mean = model.remaining(demand(), generated).mean_tokens
    assert mean == pytest.approx(sum(rest) / len(rest), rel=0.15)


def test_truncated_answers_do_not_lower_the_estimate():
    truncated = LengthModel()
    counted_as_ends = LengthModel()
    complete = [1_000] * 200
    record_lengths(truncated, complete)
    record_lengths(counted_as_ends, complete)
    record_lengths(truncated, [20] * 200, is_complete=False)
    record_lengths(counted_as_ends, [20] * 200)
    assert truncated.remaining(demand(), 0).quantile(0.4) > 800
    assert counted_as_ends.remaining(demand(), 0).quantile(0.4) < 30


def test_progress_of_running_answers_counts_before_they_end():
    with_progress = LengthModel()
    ends_only = LengthModel()
    for model in (with_progress, ends_only):
        record_lengths(model, [20] * 50)
    for _ in range(50):
        for tokens in range(0, 800, 100):
            step = LengthProgress(demand(), tokens, tokens + 100)
            with_progress.record_progress(step)
    assert ends_only.remaining(demand(), 0).quantile(0.7) < 50
    assert with_progress.remaining(demand(), 0).quantile(0.7) > 800


def test_progress_recorded_before_the_end_is_not_counted_twice():
    recorded, unrecorded = LengthModel(), LengthModel()
    for length in range(100, 400):
        recorded.record_progress(LengthProgress(demand(), 0, 60))
        recorded.record_progress(LengthProgress(demand(), 60, 90))
        recorded.record(FinishedLength(demand(), length, known_tokens=90), 0.0)
        unrecorded.record(FinishedLength(demand(), length), 0.0)
    for chance in (0.2, 0.5, 0.9):
        expected = unrecorded.remaining(demand(), 0).quantile(chance)
        assert recorded.remaining(demand(), 0).quantile(chance) == pytest.approx(
            expected, 0.03
        )


def test_the_estimate_follows_a_drift():
    model = LengthModel()
    record_lengths(model, [50] * 2_000)
    assert model.remaining(demand("other"), 0).quantile(0.5) < 70
    record_lengths(model, [900] * 1_200)
    assert model.remaining(demand("other"), 0).quantile(0.5) > 700


def test_old_answers_decay_into_the_prior():
    model = LengthModel()
    record_lengths(model, [9] * 500)
    later_ms = 20 * model.settings.half_life_ms
    model.record(FinishedLength(demand(), 9), later_ms)
    assert model.remaining(demand("other"), 0).quantile(0.9) > 500


def test_an_account_beyond_its_rate_changes_only_its_own_estimate():
    model = LengthModel()
    record_lengths(model, [100] * 300)
    record_lengths(model, [5_000] * 300, account="flood", is_within_rate=False)
    assert model.remaining(demand("new"), 0).quantile(0.9) < 200
    assert model.remaining(demand("flood"), 0).quantile(0.5) > 4_000
    # Its estimate is combined with the prior, not with accounts that may be different.
    record_lengths(model, [5_000], account="late-flood", is_within_rate=False)
    assert model.remaining(demand("late-flood"), 0).quantile(0.9) > 500


def test_max_tokens_limits_the_remaining_tokens():
    remaining = LengthModel().remaining(demand(max_tokens=40), 30)
    assert remaining.quantile(0.999) <= 10
    assert remaining.longer_than(10) == 0.0
    assert 0.0 < remaining.mean_tokens <= 10.0


def test_estimates_of_single_accounts_are_bounded():
    model = LengthModel(LengthSettings(account_limit=3))
    for number in range(10):
        record_lengths(model, [50], account=f"account-{number}")
    assert len(model._accounts) == 3


@given(st.lists(st.integers(1, 70_000), max_size=60), st.integers(0, 40_000))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_chances_fall_and_stay_between_zero_and_one(lengths, generated):
    model = LengthModel(LengthSettings(half_life_records=0.3))
    record_lengths(model, lengths)
    remaining = model.remaining(demand(max_tokens=70_000), generated)
    chances = [remaining.longer_than(tokens) for tokens in range(0, 30_000, 997)]
    assert all(0.0 <= each <= 1.0 for each in chances)
    assert chances == sorted(chances, reverse=True)
