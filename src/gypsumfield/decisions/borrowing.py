"""Steps of one request that takes a rate token, borrowing what is missing.

The steps are a generator, so that the same code runs on greenlets and in
virtual time: it yields what to wait for and is sent the time afterwards.
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
from gypsumfield.ports import QuotaDecision

WAIT_LIMIT_MS = 60.0
ASK_TIMEOUT_MS = 40.0
SHORTEST_WAIT_MS = 1.0
LOAN_POLL_MS = 2.0


class RequestLoans(NamedTuple):
    """Ask these peers at once and wait until all have answered or timed out."""

    loan_requests: tuple[LoanRequest, ...]
    timeout_ms: float


class Sleep(NamedTuple):
    """Wait for tokens to be minted."""

    duration_ms: float


class LoanAnswer(NamedTuple):
    """Answer of one peer; None when it was silent."""

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
    """Take one token, from here or from peers, or refuse.

    Args:
        refresh_pool: Returns the account's pool, minted up to now.
        limit: Rate and burst of the account.
        peers: Hosts that may hold tokens of the account.
        clock_ms: Monotonic time.

    Yields:
        What to wait for; expects the answers of the peers that were asked.

    Returns:
        The decision.
    """
    pool = refresh_pool()
    if not pool.is_anybody_waiting() and pool.take():
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
        left_ms = deadline_ms - now_ms
        is_hopeless = plan.retry_after_ms > left_ms
        if left_ms <= 0.0 or (is_hopeless and not pool.is_expecting(missing_tokens)):
            pool.back_off(MS_PER_S / limit.rate_per_s, now_ms)
            return _refuse(missing_tokens, limit, plan)
        if is_hopeless:
            # Another request's loan is on its way and may serve this one too.
            yield Sleep(min(LOAN_POLL_MS, left_ms))
            continue
        if not plan.loan_requests:
            wait_ms = max(plan.retry_after_ms, SHORTEST_WAIT_MS)
            yield Sleep(min(wait_ms, left_ms))
            continue
        for ask in plan.loan_requests:
            pool.note_ask(ask)
        answers = yield RequestLoans(plan.loan_requests, min(ASK_TIMEOUT_MS, left_ms))
        _settle(refresh_pool(), plan, answers, now_ms, clock_ms())


def _settle(
    pool: AccountPool,
    plan: BorrowingPlan,
    answers: tuple[LoanAnswer, ...],
    asked_at_ms: float,
    now_ms: float,
) -> None:
    for ask in plan.loan_requests:
        pool.note_answer(ask)
    for answer in answers:
        if answer.loan is None:
            pool.peer_was_silent(answer.peer, now_ms)
        else:
            pool.borrow(answer.peer, answer.loan, asked_at_ms, now_ms)


def _refuse(
    missing_tokens: float, limit: AccountLimit, plan: BorrowingPlan
) -> QuotaDecision:
    missing_ms = max(0.0, missing_tokens) / limit.rate_per_s * MS_PER_S
    retry_after_ms = max(plan.retry_after_ms, missing_ms, SHORTEST_WAIT_MS)
    return QuotaDecision(
        is_granted=False,
        retry_after_ms=retry_after_ms,
        reason="the account is above its rate and burst",
    )
