"""Decisions on repeating a request and on returning its rate token."""

from enum import Enum
from typing import NamedTuple

from gypsumfield.verdicts import RunVerdict

BUDGET_LIMIT_RETRIES = 10.0
BUDGET_START_RETRIES = 2.0
ATTEMPT_LIMIT = 4


class FailedAttempt(NamedTuple):
    """Everything the decision to retry depends on.

    Attributes:
        verdict: Whether the failed attempt may have run.
        is_idempotent: The service's own statement on the call.
        delivered_bytes: Bytes of the answer that have left for the caller.
        remaining_ms: Time until the request's deadline.
        attempt_count: Attempts so far.
        untried_count: Eligible backend servers that were not tried.
        has_budget: Whether the service's retry budget allows one more.
    """

    verdict: RunVerdict
    is_idempotent: bool
    delivered_bytes: int
    remaining_ms: float
    attempt_count: int
    untried_count: int
    has_budget: bool


class RetryDecision(Enum):
    """Whether to try again, and if not, what stands against it."""

    RETRY = "retry"
    ALREADY_DELIVERED = "part of the answer has left for the caller"
    MAY_HAVE_RUN = "the call may have run and must not be repeated"
    DEADLINE = "its deadline has passed"
    CALLER_GONE = "its caller has left"
    ATTEMPT_LIMIT = "it was tried often enough"
    NO_BACKEND_LEFT = "no other backend server is left to try"
    NO_BUDGET = "the retry budget of the service is spent"


def decide_retry(attempt: FailedAttempt) -> RetryDecision:
    """Decide whether a failed attempt is repeated on another backend server."""
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
    """Return whether a refused request gets its rate token back."""
    return verdict is RunVerdict.NOT_RUN


class RetryBudget:
    """Retries of one service as a share of its first tries.

    Under an outage the number of tries stays below ``1 + ratio`` times the
    number of requests, plus a small constant.
    """

    def __init__(self) -> None:
        self._retries = BUDGET_START_RETRIES

    def note_first_try(self, ratio: float) -> None:
        """Earn a part of one retry for a first try."""
        self._retries = min(BUDGET_LIMIT_RETRIES, self._retries + ratio)

    def has_retry(self) -> bool:
        """Return whether one more retry is allowed."""
        return self._retries >= 1.0

    def spend(self) -> None:
        """Take one retry out of the budget."""
        self._retries -= 1.0
