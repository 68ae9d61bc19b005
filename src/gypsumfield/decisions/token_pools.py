"""Rate tokens of one account on one host: minted, lent and borrowed."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from gypsumfield.clock import MS_PER_S

LOAN_LIFETIME_MS = 100.0
PEER_LEVEL_LIFETIME_MS = 5_000.0
SILENT_PEER_MS = 1_000.0
SMALLEST_LOAN_TOKENS = 0.01
MOST_BACK_OFF_DOUBLINGS = 6
FLOODED_ASKS = 2
# Sums of fractions of one token miss the whole by a rounding error.
ROUNDING_TOKENS = 1e-6


class AccountLimit(NamedTuple):
    """Rate and burst of an account over all hosts together."""

    rate_per_s: float
    burst: float


class Loan(NamedTuple):
    """Answer of a lender.

    Attributes:
        tokens: Tokens that now belong to the borrower.
        level_tokens: What the lender has left.
        capacity_tokens: What the lender can hold at most.
        mint_per_s: What the lender mints.
    """

    tokens: float
    level_tokens: float
    capacity_tokens: float
    mint_per_s: float


class LoanRequest(NamedTuple):
    """Tokens that a host wants from a peer.

    Attributes:
        peer: The peer.
        tokens: What this host lacks.
        held_tokens: What this host has.
        spare_tokens: What it could hold besides, if the peer has plenty.
    """

    peer: str
    tokens: float
    held_tokens: float = 0.0
    spare_tokens: float = 0.0


class BorrowingPlan(NamedTuple):
    """Whom to ask for missing tokens.

    Attributes:
        asks: Whom to ask for how much; empty when it would be in vain.
        retry_after_ms: When the tokens will be there, as far as is known.
    """

    loan_requests: tuple[LoanRequest, ...]
    retry_after_ms: float


class _Lapse(NamedTuple):
    lapses_at_ms: float
    tokens: float


class _PeerLevel(NamedTuple):
    loan: Loan
    known_at_ms: float


class AccountPool:
    """Tokens of one account on one host. It starts empty.

    A token can be given back only while the pool could not have been full
    without the request that took it: later, what the pool has minted since is
    the refund, and a second one would lift a window above its bound. ``epoch``
    counts the times at which the pool could have been full.
    """

    def __init__(self, now_ms: float) -> None:
        self.tokens = 0.0
        self.capacity_tokens = 0.0
        self.epoch = 0
        self.mint_per_s = 0.0
        self._waiting: set[int] = set()
        self._last_ticket = 0
        self._asked_tokens: dict[str, float] = {}
        self._taken_in_epoch = 0
        self._ask_again_ms = 0.0
        self._back_off_doublings = 0
        self._minted_at_ms = now_ms
        self._lent: list[_Lapse] = []
        self._borrowed: list[_Lapse] = []
        self._peer_levels: dict[str, _PeerLevel] = {}
        self._silent_until_ms: dict[str, float] = {}

    def refresh(
        self,
        mint_per_s: float,
        capacity_tokens: float,
        since_ms: float,
        now_ms: float,
    ) -> None:
        """Mint up to ``now_ms`` and go on with a new rate and capacity.

        Args:
            mint_per_s: Rate of this host's share.
            capacity_tokens: Part of the burst of this host's share.
            since_ms: Since when the share is what it is. Time before is
                credited with the smaller of the old and the new rate.
            now_ms: Monotonic time.
        """
        old_s = max(0.0, since_ms - self._minted_at_ms) / MS_PER_S
        new_s = max(0.0, now_ms - max(since_ms, self._minted_at_ms)) / MS_PER_S
        minted = min(self.mint_per_s, mint_per_s) * old_s + mint_per_s * new_s
        self._minted_at_ms = now_ms
        self.mint_per_s = mint_per_s
        self.capacity_tokens = capacity_tokens
        self._lent = [loan for loan in self._lent if loan.lapses_at_ms > now_ms]
        self._borrowed = [loan for loan in self._borrowed if loan.lapses_at_ms > now_ms]
        self.tokens = min(self.tokens + minted, self._room())
        self._end_epoch_if_full()

    def available_tokens(self) -> float:
        """Return own and borrowed tokens together."""
        return self.tokens + sum(loan.tokens for loan in self._borrowed)

    def take(self) -> bool:
        """Take one token, borrowed ones first; False when there is none."""
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
        """Return a token that was taken in ``epoch``, if that is not over."""
        if epoch == self.epoch and self._taken_in_epoch > 0:
            self._taken_in_epoch -= 1
            self.tokens += 1.0

    def lend(self, ask: LoanRequest, now_ms: float) -> Loan:
        """Subtract what a peer asks for, as far as it is here.

        A host whose own requests wait lends only to a peer that is richer, so
        that fractions gather where they make a whole token first. Beyond what
        the peer lacks it gets up to half of the rest, because a pool that is
        full mints nothing more.
        """
        is_withheld = self._waiting and self.available_tokens() >= ask.held_tokens
        lent = 0.0
        if not is_withheld:
            lent = max(0.0, min(ask.tokens, self.tokens))
            lent += max(0.0, min(ask.spare_tokens, (self.tokens - lent) / 2))
        if lent < SMALLEST_LOAN_TOKENS:
            lent = 0.0
        if lent:
            self.tokens -= lent
            self._lent.append(_Lapse(now_ms + LOAN_LIFETIME_MS, lent))
        level_tokens = 0.0 if is_withheld else self.tokens
        return Loan(lent, level_tokens, self.capacity_tokens, self.mint_per_s)

    def borrow(self, peer: str, loan: Loan, asked_at_ms: float, now_ms: float) -> bool:
        """Add the loan of a peer; False when it has lapsed on the way.

        Args:
            peer: The lender.
            loan: Its answer.
            asked_at_ms: When this host sent the ask that it answers.
            now_ms: Monotonic time.
        """
        self._peer_levels[peer] = _PeerLevel(loan, now_ms)
        self._silent_until_ms.pop(peer, None)
        lapses_at_ms = asked_at_ms + LOAN_LIFETIME_MS
        if lapses_at_ms <= now_ms:
            return False
        # What fits into this host's own part need not lapse.
        kept = max(0.0, min(loan.tokens, self._room() - self.tokens))
        self.tokens += kept
        if loan.tokens > kept:
            self._borrowed.append(_Lapse(lapses_at_ms, loan.tokens - kept))
        self._end_epoch_if_full()
        return True

    def note_ask(self, ask: LoanRequest) -> None:
        """Count tokens that a peer was asked for and has not answered yet."""
        asked_tokens = self._asked_tokens.get(ask.peer, 0.0)
        self._asked_tokens[ask.peer] = asked_tokens + ask.tokens

    def note_answer(self, ask: LoanRequest) -> None:
        """Take an ask that was answered, or has timed out, from the count."""
        asked_tokens = self._asked_tokens.pop(ask.peer, 0.0) - ask.tokens
        if asked_tokens > ROUNDING_TOKENS:
            self._asked_tokens[ask.peer] = asked_tokens

    def back_off(self, shortest_ms: float, now_ms: float) -> None:
        """Ask nobody for a while: the account's tokens are used up everywhere.

        Each back-off that follows without enough tokens in between is twice as
        long, so that an account far above its rate costs few messages.
        """
        if now_ms < self._ask_again_ms:
            return
        self._ask_again_ms = now_ms + shortest_ms * 2**self._back_off_doublings
        self._back_off_doublings = min(
            self._back_off_doublings + 1, MOST_BACK_OFF_DOUBLINGS
        )

    def is_expecting(self, tokens: float) -> bool:
        """Return whether asks that are on their way may bring ``tokens``."""
        return bool(self._asked_tokens) and sum(self._asked_tokens.values()) >= tokens

    def peer_was_silent(self, peer: str, now_ms: float) -> None:
        """Do not ask ``peer`` for a while: it has not answered in time."""
        self._silent_until_ms[peer] = now_ms + SILENT_PEER_MS

    def missing_tokens(self, ticket: int) -> float:
        """Return what a waiting request lacks, those before it being served."""
        place = 1 + sum(other < ticket for other in self._waiting)
        return place - self.available_tokens()

    def join_queue(self) -> int:
        """Return the ticket of a request that begins to wait."""
        self._last_ticket += 1
        self._waiting.add(self._last_ticket)
        return self._last_ticket

    def leave_queue(self, ticket: int) -> None:
        """Forget a request that waits no longer."""
        self._waiting.discard(ticket)

    def is_anybody_waiting(self) -> bool:
        """Return whether a request waits for tokens."""
        return bool(self._waiting)

    def start_anew(self, now_ms: float) -> None:
        """Drop all tokens: the host was paused or cut off."""
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
        """Choose whom to ask for ``missing_tokens``, the richest first.

        A peer's last answer bounds what it can have now; a peer that has not
        answered yet may have all of the burst.
        """
        held_tokens = self.available_tokens()
        spare_tokens = max(0.0, self._room() - self.tokens)
        levels = sorted(
            ((self._level_of(peer, now_ms), peer) for peer in peers),
            key=lambda entry: (-entry[0], self._asked_tokens.get(entry[1], 0.0)),
        )
        if now_ms < self._ask_again_ms:
            return BorrowingPlan((), self._ask_again_ms - now_ms)
        # In a flood the own part is soon whole again; fractions cost messages.
        is_flooded = self._back_off_doublings > 1
        most_asks = FLOODED_ASKS if is_flooded else len(levels)
        loan_requests: list[LoanRequest] = []
        missing = missing_tokens
        for level_tokens, peer in levels:
            if missing <= ROUNDING_TOKENS or level_tokens < SMALLEST_LOAN_TOKENS:
                break
            if len(loan_requests) >= most_asks:
                break
            loan_requests.append(LoanRequest(peer, missing, held_tokens, spare_tokens))
            missing -= level_tokens
        if missing <= ROUNDING_TOKENS:
            return BorrowingPlan(tuple(loan_requests), 0.0)
        return BorrowingPlan((), missing / limit.rate_per_s * MS_PER_S)

    def _level_of(self, peer: str, now_ms: float) -> float:
        if self._silent_until_ms.get(peer, 0.0) > now_ms:
            return 0.0
        known = self._peer_levels.get(peer)
        if known is None or now_ms - known.known_at_ms > PEER_LEVEL_LIFETIME_MS:
            return math.inf
        elapsed_s = (now_ms - known.known_at_ms) / MS_PER_S
        grown = known.loan.level_tokens + known.loan.mint_per_s * elapsed_s
        level_tokens = min(grown, known.loan.capacity_tokens)
        return level_tokens - self._asked_tokens.get(peer, 0.0)

    def _room(self) -> float:
        lent = sum(loan.tokens for loan in self._lent)
        return max(0.0, self.capacity_tokens - lent)

    def _end_epoch_if_full(self) -> None:
        if self.tokens + self._taken_in_epoch > self._room():
            self._end_epoch()

    def _end_epoch(self) -> None:
        self.epoch += 1
        self._taken_in_epoch = 0
