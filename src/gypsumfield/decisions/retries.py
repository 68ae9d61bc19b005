"""Decisions on whether to retry a request and to refund its rate token."""

from enum import Enum
from typing import NamedTuple

from gypsumfield.verdicts import RunVerdict

MAX_BUDGET_RETRIES = 10.0
INITIAL_BUDGET_RETRIES = 2.0
ATTEMPT_LIMIT = 4


class FailedAttempt(NamedTuple):
    """Inputs of the decision whether to retry after a failed attempt.

    Attributes:
        verdict: Whether the failed attempt may have run.
        is_idempotent: Whether the service declares the call idempotent.
        delivered_bytes: Bytes of the answer already sent to the caller.
        remaining_ms: Time until the request's deadline.
        attempt_count: Attempts so far.
        untried_count: Eligible backend servers that were not tried.
        has_budget: Whether the retry budget of the service allows another retry.
    """

    verdict: RunVerdict
    is_idempotent: bool
    delivered_bytes: int
    remaining_ms: float
    attempt_count: int
    untried_count: int
    has_budget: bool


class RetryDecision(Enum):
    """Decision to retry, or the reason against it."""

    RETRY = "retry"
    ALREADY_DELIVERED = "part of the answer has left for the caller"
    MAY_HAVE_RUN = "the call may have run and must not be repeated"
    DEADLINE = "its deadline has passed"
    CALLER_GONE = "its caller has left"
    ATTEMPT_LIMIT = "it was tried often enough"
    NO_BACKEND_LEFT = "no other backend server is left to try"
    NO_BUDGET = "the retry budget of the service is spent"


def decide_retry(attempt: FailedAttempt) -> RetryDecision:
    """Decide whether to retry on another backend server after a failed attempt."""
    if attempt.delivered_bytes > 0:
        return RetryDecision.ALREADY_DELIVERED
    if attempt.verdict is not RunVerdict.NOT_RUN and not attempt.is_idempotent:
        return RetryDecision.MAY_HAVE_RUN
    if attempt.remaining_ms <= 0:
        return RetryDecision.DEADLINE
    if attempt.attempt_count >= ATTEMPT_LIMIT:
        return RetryDecision.ATTEMPT_LIMIT
    if attempt.untried_count <= 0:
        return RetryDecision.NO_BACKEND_LEFT
    if not attempt.has_budget:
        return RetryDecision.NO_BUDGET
    return RetryDecision.RETRY


def should_refund_token(verdict: RunVerdict) -> bool:
    """Return whether the rate token of a refused request is refunded."""
    return verdict is RunVerdict.NOT_RUN


class RetryBudget:
    """Retry budget of one service, a ratio of its first attempts.

    During an outage the number of attempts stays below ``1 + ratio`` times the number
    of requests, plus a small constant.
    """

    def __init__(self) -> None:
        self._retries = INITIAL_BUDGET_RETRIES

    def record_first_attempt(self, ratio: float) -> None:
        """Add ``ratio`` retries to the budget for a first attempt."""
        self._retries = min(MAX_BUDGET_RETRIES, self._retries + ratio)

    def has_retry(self) -> bool:
        """Return whether one more retry is allowed."""
        return self._retries >= 1.0

    def spend(self) -> None:
        """Remove one retry from the budget."""
        self._retries -= 1.0
