"""Account rates as escrow shares that add up to at most one over all hosts.

The tokens of an account are minted in positions: every availability zone has
`POSITIONS_PER_ZONE` of them, and each belongs to one entry host of the zone.
A host mints only for the positions it owns and holds at most their part of the
burst. What it lacks it borrows from hosts that have it: the lender subtracts
before it sends, and keeps the room of a loan free until the loan has lapsed,
so that held and lent tokens never exceed the burst together.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from functools import lru_cache
from typing import NamedTuple

from gypsumfield.decisions.ownership import HOLD_DOWN_MS
from gypsumfield.decisions.ownership import owner_of
from gypsumfield.decisions.ownership import Ownership
from gypsumfield.decisions.ownership import ZoneView
from gypsumfield.decisions.token_pools import AccountLimit
from gypsumfield.decisions.token_pools import AccountPool

POSITIONS_PER_ZONE = 12
# Longer than any loan of a host that has retired.
RELEASE_WAIT_MS = 1_000.0
POSITION_CACHE_ACCOUNTS = 16_384


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

    def confirm(self, peer_share: float, now_ms: float) -> None:
        """Take over the part that a peer of this zone holds already.

        What the zone holds has been agreed on, so that a host that starts
        while another zone is cut off need not hear from there.
        """
        if self.share < peer_share <= self._wanted_share:
            self.share = peer_share
            self.unchanged_since_ms = now_ms

    def start_anew(self, now_ms: float) -> None:
        """Give the share up until the list has been agreed on again."""
        self.share = 0.0
        self.unchanged_since_ms = now_ms
        self._wanted_share = -1.0


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
        self._ownership = Ownership(host_id, now_ms, hold_down_ms, RELEASE_WAIT_MS)
        self._split = ZoneSplit(now_ms, hold_down_ms)
        self._zone = ""
        self._pools: dict[str, AccountPool] = {}
        self._shares: dict[str, float] = {}
        self._shares_since_ms = now_ms
        self._forgotten_at_ms = now_ms

    def retire(self, now_ms: float) -> None:
        """Mint and hold nothing any more; loans of peers can still be spent."""
        self._ownership.retire()
        self._shares.clear()
        for pool in self._pools.values():
            pool.start_anew(now_ms)

    def record_release(self, host: str, now_ms: float) -> None:
        """Learn from a host itself that it has retired."""
        self._ownership.record_release(host, now_ms)

    def update(
        self, view: QuotaView, limits: Mapping[str, AccountLimit], now_ms: float
    ) -> None:
        """Follow membership and configuration; called at every tick.

        Args:
            view: Hosts of the zone and list of zones.
            limits: Rate and burst by account.
            now_ms: Monotonic time.
        """
        self._zone = view.zone
        if self._ownership.update(view.zone_view, now_ms):
            self._split.start_anew(now_ms)
            for pool in self._pools.values():
                pool.start_anew(now_ms)
        self._split.update(view, now_ms)
        self._forget_except(limits, now_ms)
        self._follow_shares(limits, now_ms)

    def _follow_shares(self, limits: Mapping[str, AccountLimit], now_ms: float) -> None:
        """Settle what each pool minted when shares may have changed."""
        unchanged_since_ms = max(
            self._ownership.unchanged_since_ms, self._split.unchanged_since_ms
        )
        if unchanged_since_ms == self._shares_since_ms:
            return
        self._shares.clear()
        self._shares_since_ms = unchanged_since_ms
        for account, limit in limits.items():
            self.pool_of(account, limit, now_ms)

    @property
    def zone_share(self) -> float:
        """Part of every account's rate that this host takes for its zone's."""
        return self._split.share

    @property
    def held_tokens(self) -> float:
        """Rate tokens of all accounts that this host holds."""
        return sum(pool.available_tokens() for pool in self._pools.values())

    def receive_zone_share(self, peer_share: float, now_ms: float) -> None:
        """Learn what a peer of this host's zone takes for the zone's part."""
        self._split.confirm(peer_share, now_ms)

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
            self._pools[account] = pool
        if self._ownership.is_paused(now_ms):
            pool.start_anew(now_ms)
        capacity_tokens = share * limit.burst
        pool.refresh(mint_per_s, capacity_tokens, self._shares_since_ms, now_ms)
        return pool

    def _forget_except(self, accounts: Iterable[str], now_ms: float) -> None:
        """Drop the pools of accounts that are gone from the configuration."""
        gone = self._pools.keys() - frozenset(accounts)
        for account in gone:
            del self._pools[account]
        if gone:
            # An account that comes back must not find a second burst.
            self._forgotten_at_ms = now_ms


@lru_cache(maxsize=POSITION_CACHE_ACCOUNTS)
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
