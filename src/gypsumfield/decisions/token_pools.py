"""Rate tokens of one account on one host, minted, lent and borrowed."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from gypsumfield.clock import MS_PER_S

LOAN_LIFETIME_MS = 100.0
PEER_LEVEL_LIFETIME_MS = 5_000.0
UNRESPONSIVE_PEER_MS = 1_000.0
MIN_LOAN_TOKENS = 0.01
MAX_BACK_OFF_DOUBLINGS = 6
OVERLOAD_REQUEST_LIMIT = 2
# Sums of token fractions differ from whole tokens by rounding errors.
ROUNDING_TOKENS = 1e-6


class AccountLimit(NamedTuple):
    """Rate and burst of an account, in tokens, over all hosts together."""

    rate_per_s: float
    burst: float


class Loan(NamedTuple):
    """Answer of a lender to a loan request.

    Attributes:
        tokens: Tokens that now belong to the borrower.
        level_tokens: Tokens that the lender has left.
        capacity_tokens: Tokens that the lender can hold at most.
        mint_per_s: Tokens per second that the lender mints.
    """

    tokens: float
    level_tokens: float
    capacity_tokens: float
    mint_per_s: float


class LoanRequest(NamedTuple):
    """Tokens that a host requests from a peer.

    Attributes:
        peer: Host id of the peer.
        tokens: Tokens that this host lacks.
        held_tokens: Tokens that this host has.
        spare_tokens: Further tokens that this host could hold, if the peer has more
            than this host lacks.
    """

    peer: str
    tokens: float
    held_tokens: float = 0.0
    spare_tokens: float = 0.0


class BorrowingPlan(NamedTuple):
    """Requests that obtain missing tokens, or the time until a retry.

    Attributes:
        loan_requests: Loan requests to send; empty when the peers cannot lend enough.
        retry_after_ms: Estimated time until the tokens are available.
    """

    loan_requests: tuple[LoanRequest, ...]
    retry_after_ms: float


class _OutstandingLoan(NamedTuple):
    expires_at_ms: float
    tokens: float


class _PeerLevel(NamedTuple):
    loan: Loan
    received_at_ms: float


class AccountPool:
    """Tokens of one account on one host. It starts empty.

    A token can be refunded only as long as the pool could not have become full
    without the request that took it. After that the tokens minted since replace
    the taken one, and a refund on top would exceed the bound of a window.
    ``epoch`` counts the times at which the pool could have been full.
    """

    def __init__(self, now_ms: float) -> None:
        self.tokens = 0.0
        self.capacity_tokens = 0.0
        self.epoch = 0
        self.mint_per_s = 0.0
        self._waiting: set[int] = set()
        self._last_ticket = 0
        self._requested_tokens: dict[str, float] = {}
        self._taken_in_epoch = 0
        self._next_request_ms = 0.0
        self._back_off_doublings = 0
        self._minted_at_ms = now_ms
        self._lent: list[_OutstandingLoan] = []
        self._borrowed: list[_OutstandingLoan] = []
        self._peer_levels: dict[str, _PeerLevel] = {}
        self._skip_peer_until_ms: dict[str, float] = {}

    def refresh(
        self,
        mint_per_s: float,
        capacity_tokens: float,
        since_ms: float,
        now_ms: float,
    ) -> None:
        """Mint up to ``now_ms`` and continue with a new rate and capacity.

        Args:
            mint_per_s: Rate of this host's share, in tokens per second.
            capacity_tokens: Part of the burst that this host's share allows.
            since_ms: Since when the share has been unchanged. The time before
                is credited with the smaller of the old and the new rate.
            now_ms: Monotonic time.
        """
        old_s = max(0.0, since_ms - self._minted_at_ms) / MS_PER_S
        new_s = max(0.0, now_ms - max(since_ms, self._minted_at_ms)) / MS_PER_S
        minted = min(self.mint_per_s, mint_per_s) * old_s + mint_per_s * new_s
        self._minted_at_ms = now_ms
        self.mint_per_s = mint_per_s
        self.capacity_tokens = capacity_tokens
        self._lent = [loan for loan in self._lent if loan.expires_at_ms > now_ms]
        self._borrowed = [
            loan for loan in self._borrowed if loan.expires_at_ms > now_ms
        ]
        self.tokens = min(self.tokens + minted, self._unlent_capacity())
        self._end_epoch_if_full()

    def available_tokens(self) -> float:
        """Return the number of own and borrowed tokens together."""
        return self.tokens + sum(loan.tokens for loan in self._borrowed)

    def take(self) -> bool:
        """Take one token, borrowed ones first; False when there is no whole token."""
        if self.available_tokens() < 1.0 - ROUNDING_TOKENS:
            return False
        missing = 1.0
        while missing > 0.0 and self._borrowed:
            loan = self._borrowed.pop(0)
            used = min(missing, loan.tokens)
            missing -= used
            if loan.tokens > used:
                self._borrowed.insert(0, loan._replace(tokens=loan.tokens - used))
        self.tokens = max(0.0, self.tokens - missing)
        self._taken_in_epoch += 1
        self._back_off_doublings = max(0, self._back_off_doublings - 1)
        self._end_epoch_if_full()
        return True

    def refund(self, epoch: int) -> None:
        """Return a token that was taken in ``epoch``, unless that epoch is over."""
        if epoch == self.epoch and self._taken_in_epoch > 0:
            self._taken_in_epoch -= 1
            self.tokens += 1.0

    def lend(self, request: LoanRequest, now_ms: float) -> Loan:
        """Subtract the tokens that a peer requests, as far as they are available.

        A host whose own requests wait lends only to a peer that has more tokens,
        so that fractions are collected where they add up to a whole token first.
        Beyond the tokens that the peer lacks it gets up to half of the rest,
        because a full pool mints no more tokens.
        """
        is_withheld = self._waiting and self.available_tokens() >= request.held_tokens
        lent = 0.0
        if not is_withheld:
            lent = max(0.0, min(request.tokens, self.tokens))
            lent += max(0.0, min(request.spare_tokens, (self.tokens - lent) / 2))
        if lent < MIN_LOAN_TOKENS:
            lent = 0.0
        if lent:
            self.tokens -= lent
            self._lent.append(_OutstandingLoan(now_ms + LOAN_LIFETIME_MS, lent))
        level_tokens = 0.0 if is_withheld else self.tokens
        return Loan(lent, level_tokens, self.capacity_tokens, self.mint_per_s)

    def borrow(
        self, peer: str, loan: Loan, requested_at_ms: float, now_ms: float
    ) -> bool:
        """Add the loan of a peer; False when it expired before it arrived.

        Args:
            peer: Host id of the lender.
            loan: Answer of the lender.
            requested_at_ms: When this host sent the request.
            now_ms: Monotonic time.
        """
        self._peer_levels[peer] = _PeerLevel(loan, now_ms)
        self._skip_peer_until_ms.pop(peer, None)
        expires_at_ms = requested_at_ms + LOAN_LIFETIME_MS
        if expires_at_ms <= now_ms:
            return False
        # Tokens that fit into this host's own capacity need not expire.
        retained = max(0.0, min(loan.tokens, self._unlent_capacity() - self.tokens))
        self.tokens += retained
        if loan.tokens > retained:
            self._borrowed.append(
                _OutstandingLoan(expires_at_ms, loan.tokens - retained)
            )
        self._end_epoch_if_full()
        return True

    def record_request(self, request: LoanRequest) -> None:
        """Count the tokens of a request that the peer has not answered yet."""
        requested_tokens = self._requested_tokens.get(request.peer, 0.0)
        self._requested_tokens[request.peer] = requested_tokens + request.tokens

    def record_answer(self, request: LoanRequest) -> None:
        """Remove a request that was answered or timed out from the count."""
        requested_tokens = (
            self._requested_tokens.pop(request.peer, 0.0) - request.tokens
        )
        if requested_tokens > ROUNDING_TOKENS:
            self._requested_tokens[request.peer] = requested_tokens

    def back_off(self, min_ms: float, now_ms: float) -> None:
        """Send no requests for a while: the account has no tokens on any host.

        Each back-off that follows without enough tokens in between is twice as
        long, so that an account far above its rate causes few messages.
        """
        if now_ms < self._next_request_ms:
            return
        self._next_request_ms = now_ms + min_ms * 2**self._back_off_doublings
        self._back_off_doublings = min(
            self._back_off_doublings + 1, MAX_BACK_OFF_DOUBLINGS
        )

    def can_expect(self, tokens: float) -> bool:
        """Return whether loan requests in flight may yield ``tokens``."""
        return (
            bool(self._requested_tokens)
            and sum(self._requested_tokens.values()) >= tokens
        )

    def record_timeout(self, peer: str, now_ms: float) -> None:
        """Send no requests to ``peer`` for a while: it did not answer in time."""
        self._skip_peer_until_ms[peer] = now_ms + UNRESPONSIVE_PEER_MS

    def missing_tokens(self, ticket: int) -> float:
        """Return how many tokens are missing to serve the queue up to ``ticket``."""
        position = 1 + sum(other < ticket for other in self._waiting)
        return position - self.available_tokens()

    def join_queue(self) -> int:
        """Return the ticket of a request that begins to wait."""
        self._last_ticket += 1
        self._waiting.add(self._last_ticket)
        return self._last_ticket

    def leave_queue(self, ticket: int) -> None:
        """Remove a request that no longer waits."""
        self._waiting.discard(ticket)

    def has_waiting_requests(self) -> bool:
        """Return whether a request waits for tokens."""
        return bool(self._waiting)

    def reset(self, now_ms: float) -> None:
        """Drop all tokens, because the host was paused, partitioned or is retiring."""
        self.tokens = 0.0
        self.mint_per_s = 0.0
        self._end_epoch()
        self._minted_at_ms = now_ms
        self._borrowed.clear()

    def plan(
        self,
        missing_tokens: float,
        peers: Iterable[str],
        limit: AccountLimit,
        now_ms: float,
    ) -> BorrowingPlan:
        """Select peers to request ``missing_tokens`` from, the fullest first.

        A peer's last answer bounds the tokens that it can have now; a peer that
        has not answered yet may have the whole burst.
        """
        held_tokens = self.available_tokens()
        spare_tokens = max(0.0, self._unlent_capacity() - self.tokens)
        levels = sorted(
            ((self._estimate_level(peer, now_ms), peer) for peer in peers),
            key=lambda entry: (-entry[0], self._requested_tokens.get(entry[1], 0.0)),
        )
        if now_ms < self._next_request_ms:
            return BorrowingPlan((), self._next_request_ms - now_ms)
        # An account far above its rate gets whole tokens from this host's own
        # share soon enough; collecting fractions would only cost messages.
        is_overloaded = self._back_off_doublings > 1
        max_requests = OVERLOAD_REQUEST_LIMIT if is_overloaded else len(levels)
        loan_requests: list[LoanRequest] = []
        missing = missing_tokens
        for level_tokens, peer in levels:
            if missing <= ROUNDING_TOKENS or level_tokens < MIN_LOAN_TOKENS:
                break
            if len(loan_requests) >= max_requests:
                break
            loan_requests.append(LoanRequest(peer, missing, held_tokens, spare_tokens))
            missing -= level_tokens
        if missing <= ROUNDING_TOKENS:
            return BorrowingPlan(tuple(loan_requests), 0.0)
        return BorrowingPlan((), missing / limit.rate_per_s * MS_PER_S)

    def _estimate_level(self, peer: str, now_ms: float) -> float:
        if self._skip_peer_until_ms.get(peer, 0.0) > now_ms:
            return 0.0
        recorded = self._peer_levels.get(peer)
        if (
            recorded is None
            or now_ms - recorded.received_at_ms > PEER_LEVEL_LIFETIME_MS
        ):
            return math.inf
        elapsed_s = (now_ms - recorded.received_at_ms) / MS_PER_S
        estimated_tokens = (
            recorded.loan.level_tokens + recorded.loan.mint_per_s * elapsed_s
        )
        level_tokens = min(estimated_tokens, recorded.loan.capacity_tokens)
        return level_tokens - self._requested_tokens.get(peer, 0.0)

    def _unlent_capacity(self) -> float:
        lent = sum(loan.tokens for loan in self._lent)
        return max(0.0, self.capacity_tokens - lent)

    def _end_epoch_if_full(self) -> None:
        if self.tokens + self._taken_in_epoch > self._unlent_capacity():
            self._end_epoch()

    def _end_epoch(self) -> None:
        self.epoch += 1
        self._taken_in_epoch = 0
