"""Steps of one request that takes a rate token and borrows what is missing.

The steps are a generator, so that the same code runs on greenlets and in
virtual time: it yields what to wait for and is sent the answers of peers.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Generator
from typing import NamedTuple

from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.token_pools import AccountLimit
from gypsumfield.decisions.token_pools import AccountPool
from gypsumfield.decisions.token_pools import BorrowingPlan
from gypsumfield.decisions.token_pools import Loan
from gypsumfield.decisions.token_pools import LoanRequest
from gypsumfield.interfaces import QuotaDecision

WAIT_LIMIT_MS = 60.0
LOAN_REQUEST_TIMEOUT_MS = 40.0
MIN_WAIT_MS = 1.0
LOAN_POLL_MS = 2.0


class RequestLoans(NamedTuple):
    """Send all requests at once and wait until each is answered or timed out."""

    loan_requests: tuple[LoanRequest, ...]
    timeout_ms: float


class Sleep(NamedTuple):
    """Wait for tokens to be minted."""

    duration_ms: float


class LoanAnswer(NamedTuple):
    """Answer of one peer; ``loan`` is None when it did not answer in time."""

    peer: str
    loan: Loan | None


BorrowingStep = RequestLoans | Sleep
Borrowing = Generator[BorrowingStep, tuple[LoanAnswer, ...], QuotaDecision]
RefreshPool = Callable[[], AccountPool]


def take_token(
    refresh_pool: RefreshPool,
    limit: AccountLimit,
    peers: Collection[str],
    clock_ms: Callable[[], float],
) -> Borrowing:
    """Take one token from this host's pool, borrow it from peers, or refuse.

    Args:
        refresh_pool: Returns the account's pool, with all tokens minted up to now.
        limit: Rate and burst of the account.
        peers: Hosts that may hold tokens of the account.
        clock_ms: Returns the monotonic time.

    Yields:
        What to wait for; expects to be sent the answers of the peers.

    Returns:
        Whether the token was granted; if not, the time until a retry and the reason.
    """
    pool = refresh_pool()
    if not pool.has_waiting_requests() and pool.take():
        return QuotaDecision(is_granted=True, token_epoch=pool.epoch)
    ticket = pool.join_queue()
    try:
        return (yield from _borrow(refresh_pool, limit, peers, clock_ms, ticket))
    finally:
        pool.leave_queue(ticket)


def _borrow(
    refresh_pool: RefreshPool,
    limit: AccountLimit,
    peers: Collection[str],
    clock_ms: Callable[[], float],
    ticket: int,
) -> Borrowing:
    deadline_ms = clock_ms() + WAIT_LIMIT_MS
    while True:
        now_ms = clock_ms()
        pool = refresh_pool()
        if pool.take():
            return QuotaDecision(is_granted=True, token_epoch=pool.epoch)
        missing_tokens = pool.missing_tokens(ticket)
        plan = pool.plan(missing_tokens, peers, limit, now_ms)
        remaining_ms = deadline_ms - now_ms
        is_too_late = plan.retry_after_ms > remaining_ms
        if remaining_ms <= 0.0 or (is_too_late and not pool.can_expect(missing_tokens)):
            pool.back_off(MS_PER_S / limit.rate_per_s, now_ms)
            return _refuse(missing_tokens, limit, plan)
        if is_too_late:
            # A loan that another request waits for may serve this one too.
            yield Sleep(min(LOAN_POLL_MS, remaining_ms))
            continue
        if not plan.loan_requests:
            wait_ms = max(plan.retry_after_ms, MIN_WAIT_MS)
            yield Sleep(min(wait_ms, remaining_ms))
            continue
        for request in plan.loan_requests:
            pool.record_request(request)
        answers = yield RequestLoans(
            plan.loan_requests, min(LOAN_REQUEST_TIMEOUT_MS, remaining_ms)
        )
        _apply_answers(refresh_pool(), plan, answers, now_ms, clock_ms())


def _apply_answers(
    pool: AccountPool,
    plan: BorrowingPlan,
    answers: tuple[LoanAnswer, ...],
    requested_at_ms: float,
    now_ms: float,
) -> None:
    for request in plan.loan_requests:
        pool.record_answer(request)
    for answer in answers:
        if answer.loan is None:
            pool.record_timeout(answer.peer, now_ms)
        else:
            pool.borrow(answer.peer, answer.loan, requested_at_ms, now_ms)


def _refuse(
    missing_tokens: float, limit: AccountLimit, plan: BorrowingPlan
) -> QuotaDecision:
    missing_ms = max(0.0, missing_tokens) / limit.rate_per_s * MS_PER_S
    retry_after_ms = max(plan.retry_after_ms, missing_ms, MIN_WAIT_MS)
    return QuotaDecision(
        is_granted=False,
        retry_after_ms=retry_after_ms,
        reason="the account is above its rate and burst",
    )
