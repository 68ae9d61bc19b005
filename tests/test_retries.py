import itertools

import pytest

from gypsumfield.decisions.retries import decide_retry
from gypsumfield.decisions.retries import FailedAttempt
from gypsumfield.decisions.retries import MAX_BUDGET_RETRIES
from gypsumfield.decisions.retries import RetryBudget
from gypsumfield.decisions.retries import RetryDecision
from gypsumfield.decisions.retries import should_refund_token
from gypsumfield.verdicts import RunVerdict
from gypsumfield.verdicts import Stage
from gypsumfield.verdicts import verdict_of_stage

RETRYABLE = FailedAttempt(
    verdict=RunVerdict.NOT_RUN,
    is_idempotent=False,
    delivered_bytes=0,
    remaining_ms=1_000.0,
    attempt_count=1,
    untried_count=1,
    has_budget=True,
)


def test_every_retry_is_safe_over_all_combinations():
    combinations = itertools.product(
        RunVerdict, [False, True], [0, 1], [0.0, 5.0], [1, 4], [0, 1], [False, True]
    )
    retried = [
        attempt
        for attempt in itertools.starmap(FailedAttempt, combinations)
        if decide_retry(attempt) is RetryDecision.RETRY
    ]
    assert retried
    for attempt in retried:
        assert attempt.verdict is RunVerdict.NOT_RUN or attempt.is_idempotent
        assert attempt.delivered_bytes == 0
        assert attempt.remaining_ms > 0
        assert attempt.untried_count > 0
        assert attempt.has_budget


@pytest.mark.parametrize(
    ("change", "decision"),
    [
        ({}, RetryDecision.RETRY),
        ({"delivered_bytes": 1}, RetryDecision.ALREADY_DELIVERED),
        ({"verdict": RunVerdict.MAY_HAVE_RUN}, RetryDecision.MAY_HAVE_RUN),
        ({"remaining_ms": 0.0}, RetryDecision.DEADLINE),
        ({"attempt_count": 4}, RetryDecision.ATTEMPT_LIMIT),
        ({"untried_count": 0}, RetryDecision.NO_BACKEND_LEFT),
        ({"has_budget": False}, RetryDecision.NO_BUDGET),
    ],
)
def test_the_decision_names_the_reason_against_a_retry(change, decision):
    assert decide_retry(RETRYABLE._replace(**change)) is decision


def test_the_verdict_follows_the_stage():
    not_run = {stage for stage in Stage if verdict_of_stage(stage).value == "not-run"}
    assert not_run == {Stage.BEFORE_CONNECT, Stage.CONNECTED}
    assert verdict_of_stage(Stage.ANSWERED) is RunVerdict.RAN


def test_a_token_is_refunded_only_when_nothing_ran():
    assert [should_refund_token(verdict) for verdict in RunVerdict] == [
        True,
        False,
        False,
    ]


@pytest.mark.parametrize("ratio", [0.0, 0.1, 0.5])
def test_retries_in_an_outage_stay_within_the_budget(ratio):
    budget = RetryBudget()
    request_count, retry_count = 1_000, 0
    for _ in range(request_count):
        budget.record_first_attempt(ratio)
        while budget.has_retry():
            budget.spend()
            retry_count += 1
    assert retry_count <= ratio * request_count + MAX_BUDGET_RETRIES
