"""Account rates as escrow shares that add up to at most one over all hosts.

The tokens of an account are minted in positions: every availability zone has
`POSITIONS_PER_ZONE` of them, and each belongs to one entry host of the zone.
A host mints only for the positions it owns and holds at most their part of the
burst. What it lacks it borrows from hosts that have it: the lender subtracts
before it sends, and keeps the room of a loan free until the loan has lapsed,
so that held and lent tokens never exceed the burst together.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.ownership import HOLD_DOWN_MS
from gypsumfield.decisions.ownership import owner_of
from gypsumfield.decisions.ownership import Ownership
from gypsumfield.decisions.ownership import ZoneView

POSITIONS_PER_ZONE = 12
LOAN_LIFETIME_MS = 100.0
PEER_LEVEL_LIFETIME_MS = 5_000.0
SILENT_PEER_MS = 1_000.0
SMALLEST_LOAN_TOKENS = 0.01
# Sums of fractions of one token miss the whole by a rounding error.
ROUNDING_TOKENS = 1e-6


class AccountLimit(NamedTuple):
    """Rate and burst of an account over all hosts together."""

    rate_per_s: float
    burst: float


class QuotaView(NamedTuple):
    """What the shares of one host follow from.

    Attributes:
        zone: Zone of this host.
        zones: Names of all zones in the configuration.
        zone_view: Entry hosts of this zone.
        are_zones_agreed: Whether no host can still use another list of zones.
    """

    zone: str
    zones: frozenset[str]
    zone_view: ZoneView
    are_zones_agreed: bool = True


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


class Ask(NamedTuple):
    """Tokens that a host wants from a peer."""

    peer: str
    tokens: float


class BorrowingPlan(NamedTuple):
    """Whom to ask for missing tokens.

    Attributes:
        asks: Whom to ask for how much; empty when it would be in vain.
        retry_after_ms: When the tokens will be there, as far as is known.
    """

    asks: tuple[Ask, ...]
    retry_after_ms: float


class _Lapse(NamedTuple):
    lapses_at_ms: float
    tokens: float


class _PeerLevel(NamedTuple):
    loan: Loan
    known_at_ms: float


class ZoneSplit:
    """Part of every account's rate that belongs to this host's zone.

    The part shrinks at once with a longer list of zones, and grows only when
    the list has been agreed on for the hold-down.
    """

    def __init__(self, now_ms: float, hold_down_ms: float = HOLD_DOWN_MS) -> None:
        self.share = 0.0
        self.unchanged_since_ms = now_ms
        self._hold_down_ms = hold_down_ms
        self._wanted_share = 0.0
        self._wanted_since_ms = now_ms

    def update(self, view: QuotaView, now_ms: float) -> None:
        """Follow the list of zones."""
        wanted_share = 1.0 / len(view.zones) if view.zone in view.zones else 0.0
        if wanted_share != self._wanted_share or not view.are_zones_agreed:
            self._wanted_share = wanted_share
            self._wanted_since_ms = now_ms
        is_agreed = now_ms - self._wanted_since_ms >= self._hold_down_ms
        if wanted_share < self.share or (is_agreed and wanted_share > self.share):
            self.share = wanted_share
            self.unchanged_since_ms = now_ms

    def start_anew(self, now_ms: float) -> None:
        """Give the share up until the list has been agreed on again."""
        self.share = 0.0
        self.unchanged_since_ms = now_ms
        self._wanted_share = -1.0


class AccountPool:
    """Tokens of one account on one host. It starts empty.

    ``refundable`` bounds what refunds may add: tokens that would be here if
    the requests that took them had never come. It shrinks when the pool would
    have been full, so that a refund never lifts a window above its bound.
    """

    def __init__(self, now_ms: float) -> None:
        self.tokens = 0.0
        self.refundable_tokens = 0.0
        self.capacity_tokens = 0.0
        self.mint_per_s = 0.0
        self._waiting: set[int] = set()
        self._last_ticket = 0
        self._asked_tokens: dict[str, float] = {}
        self._minted_at_ms = now_ms
        self._lent: list[_Lapse] = []
        self._borrowed: list[_Lapse] = []
        self._peer_levels: dict[str, _PeerLevel] = {}
        self._silent_until_ms: dict[str, float] = {}

    def refresh(self, mint_per_s: float, capacity_tokens: float, now_ms: float) -> None:
        """Mint up to ``now_ms`` and go on with a new rate and capacity.

        Time since the last refresh is credited with the smaller of the old
        and the new rate.
        """
        elapsed_s = max(0.0, now_ms - self._minted_at_ms) / MS_PER_S
        minted = min(self.mint_per_s, mint_per_s) * elapsed_s
        self._minted_at_ms = now_ms
        self.mint_per_s = mint_per_s
        self.capacity_tokens = capacity_tokens
        self._lent = [loan for loan in self._lent if loan.lapses_at_ms > now_ms]
        self._borrowed = [loan for loan in self._borrowed if loan.lapses_at_ms > now_ms]
        self.tokens = min(self.tokens + minted, self._room())
        self._bound_refunds()

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
        self.refundable_tokens += 1.0
        self._bound_refunds()
        return True

    def give_back(self) -> None:
        """Return the token of a request that has not run."""
        refund = min(1.0, self.refundable_tokens)
        self.refundable_tokens -= refund
        self.tokens += refund

    def lend(self, wanted_tokens: float, now_ms: float) -> Loan:
        """Subtract up to ``wanted_tokens`` for a peer; own requests go first."""
        lent = max(0.0, min(wanted_tokens, self.tokens))
        if lent < SMALLEST_LOAN_TOKENS or self._waiting:
            lent = 0.0
        if lent:
            self.tokens -= lent
            self._lent.append(_Lapse(now_ms + LOAN_LIFETIME_MS, lent))
            self._bound_refunds()
        return Loan(lent, self.tokens, self.capacity_tokens, self.mint_per_s)

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
        if loan.tokens > 0.0:
            self._borrowed.append(_Lapse(lapses_at_ms, loan.tokens))
        return True

    def note_ask(self, ask: Ask) -> None:
        """Count tokens that a peer was asked for and has not answered yet."""
        asked_tokens = self._asked_tokens.get(ask.peer, 0.0)
        self._asked_tokens[ask.peer] = asked_tokens + ask.tokens

    def note_answer(self, ask: Ask) -> None:
        """Take an ask that was answered, or has timed out, from the count."""
        asked_tokens = self._asked_tokens.pop(ask.peer, 0.0) - ask.tokens
        if asked_tokens > ROUNDING_TOKENS:
            self._asked_tokens[ask.peer] = asked_tokens

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
        self.refundable_tokens = 0.0
        self.mint_per_s = 0.0
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
        levels = sorted(
            ((self._level_of(peer, now_ms), peer) for peer in peers),
            key=lambda entry: (-entry[0], self._asked_tokens.get(entry[1], 0.0)),
        )
        asks: list[Ask] = []
        missing = missing_tokens
        for level_tokens, peer in levels:
            if missing <= ROUNDING_TOKENS or level_tokens < SMALLEST_LOAN_TOKENS:
                break
            asks.append(Ask(peer, missing))
            missing -= level_tokens
        if missing <= ROUNDING_TOKENS:
            return BorrowingPlan(tuple(asks), 0.0)
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

    def _bound_refunds(self) -> None:
        headroom = max(0.0, self._room() - self.tokens)
        self.refundable_tokens = min(self.refundable_tokens, headroom)


class QuotaLedger:
    """Shares and tokens of all accounts on one host.

    Args:
        host_id: This host.
        now_ms: Monotonic time of its start.
        hold_down_ms: Wait before a share grows.
    """

    def __init__(
        self, host_id: str, now_ms: float, hold_down_ms: float = HOLD_DOWN_MS
    ) -> None:
        self._ownership = Ownership(host_id, now_ms, hold_down_ms)
        self._split = ZoneSplit(now_ms, hold_down_ms)
        self._zone = ""
        self._pools: dict[str, AccountPool] = {}
        self._shares: dict[str, float] = {}
        self._shares_since_ms = now_ms
        self._forgotten_at_ms = now_ms

    def update(self, view: QuotaView, now_ms: float) -> None:
        """Follow membership and the list of zones; called at every tick."""
        self._zone = view.zone
        if self._ownership.update(view.zone_view, now_ms):
            self._split.start_anew(now_ms)
            for pool in self._pools.values():
                pool.start_anew(now_ms)
        self._split.update(view, now_ms)
        unchanged_since_ms = max(
            self._ownership.unchanged_since_ms, self._split.unchanged_since_ms
        )
        if unchanged_since_ms != self._shares_since_ms:
            self._shares.clear()
            self._shares_since_ms = unchanged_since_ms

    def share_of(self, account: str, now_ms: float) -> float:
        """Return this host's share of the account's rate, from 0 to 1."""
        if self._ownership.is_paused(now_ms):
            return 0.0
        share = self._shares.get(account)
        if share is None:
            positions = positions_of(account, self._zone)
            owned = sum(self._ownership.owns(name, now_ms) for name in positions)
            share = self._split.share * owned / POSITIONS_PER_ZONE
            self._shares[account] = share
        return share

    def pool_of(self, account: str, limit: AccountLimit, now_ms: float) -> AccountPool:
        """Return the account's pool, minted up to ``now_ms``."""
        share = self.share_of(account, now_ms)
        mint_per_s = share * limit.rate_per_s
        pool = self._pools.get(account)
        if pool is None:
            # The share has been this host's since then, and nobody used it.
            pool = AccountPool(max(self._shares_since_ms, self._forgotten_at_ms))
            pool.mint_per_s = mint_per_s
            self._pools[account] = pool
        if self._ownership.is_paused(now_ms):
            pool.start_anew(now_ms)
        pool.refresh(mint_per_s, share * limit.burst, now_ms)
        return pool

    def forget_except(self, accounts: Iterable[str], now_ms: float) -> None:
        """Drop the pools of accounts that are gone from the configuration."""
        gone = self._pools.keys() - frozenset(accounts)
        for account in gone:
            del self._pools[account]
        if gone:
            # An account that comes back must not find a second burst.
            self._forgotten_at_ms = now_ms


def positions_of(account: str, zone: str) -> tuple[str, ...]:
    """Return the resources that stand for the account's share in a zone."""
    return tuple(
        f"quota/{account}/{zone}/{index}" for index in range(POSITIONS_PER_ZONE)
    )


def holders_of(account: str, zone: str, hosts: Iterable[str]) -> frozenset[str]:
    """Return the hosts of a zone that hold positions of the account."""
    candidates = tuple(hosts)
    owners = (
        owner_of(position, candidates) for position in positions_of(account, zone)
    )
    return frozenset(owner for owner in owners if owner is not None)
