"""Account rates as escrow shares that add up to at most one over all hosts.

Each account has `POSITIONS_PER_ZONE` positions in every availability zone, and
each position belongs to one entry host of the zone. A host mints tokens only for
the positions that it owns, and holds at most their part of the burst. It
borrows the tokens that it lacks from other hosts. The lender subtracts a loan
before it sends it and reduces its own capacity by the loan until the loan has
expired, so that held and lent tokens together never exceed the burst.
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
# Longer than the lifetime of any loan that a retired host has granted.
RELEASE_WAIT_MS = 1_000.0
POSITION_CACHE_ACCOUNTS = 16_384


class QuotaView(NamedTuple):
    """Membership and zones from which the shares of one host are computed.

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

    The part shrinks at once when the list of zones gets longer. It grows only
    after all hosts have agreed on the list for the duration of the hold-down.
    """

    def __init__(self, now_ms: float, hold_down_ms: float = HOLD_DOWN_MS) -> None:
        self.share = 0.0
        self.unchanged_since_ms = now_ms
        self._hold_down_ms = hold_down_ms
        self._target_share = 0.0
        self._target_since_ms = now_ms

    def update(self, view: QuotaView, now_ms: float) -> None:
        """Adjust the part to the list of zones."""
        target_share = 1.0 / len(view.zones) if view.zone in view.zones else 0.0
        if target_share != self._target_share or not view.are_zones_agreed:
            self._target_share = target_share
            self._target_since_ms = now_ms
        is_agreed = now_ms - self._target_since_ms >= self._hold_down_ms
        if target_share < self.share or (is_agreed and target_share > self.share):
            self.share = target_share
            self.unchanged_since_ms = now_ms

    def adopt_peer_share(self, peer_share: float, now_ms: float) -> None:
        """Adopt the part that a peer of this zone already uses.

        All hosts agreed on the peer's part, so a host that starts while another
        zone is partitioned need not receive a message from that zone first.
        """
        if self.share < peer_share <= self._target_share:
            self.share = peer_share
            self.unchanged_since_ms = now_ms

    def reset(self, now_ms: float) -> None:
        """Release the share until all hosts have agreed on the list again."""
        self.share = 0.0
        self.unchanged_since_ms = now_ms
        self._target_share = -1.0


class QuotaLedger:
    """Shares and tokens of all accounts on one host.

    Args:
        host_id: Id of this host.
        now_ms: Monotonic time of its start.
        hold_down_ms: Wait before a share may grow.
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
        self._pools_removed_at_ms = now_ms

    def retire(self, now_ms: float) -> None:
        """Stop minting and drop all tokens; later loans of peers can still be spent."""
        self._ownership.retire()
        self._shares.clear()
        for pool in self._pools.values():
            pool.reset(now_ms)

    def record_release(self, host: str, now_ms: float) -> None:
        """Record that a host has announced its own retirement."""
        self._ownership.record_release(host, now_ms)

    def update(
        self, view: QuotaView, limits: Mapping[str, AccountLimit], now_ms: float
    ) -> None:
        """Adjust shares to membership and configuration; called at every tick.

        Args:
            view: Hosts of the zone and list of zones.
            limits: Rate and burst by account.
            now_ms: Monotonic time.
        """
        self._zone = view.zone
        if self._ownership.update(view.zone_view, now_ms):
            self._split.reset(now_ms)
            for pool in self._pools.values():
                pool.reset(now_ms)
        self._split.update(view, now_ms)
        self._remove_pools_except(limits, now_ms)
        self._update_shares(limits, now_ms)

    def _update_shares(self, limits: Mapping[str, AccountLimit], now_ms: float) -> None:
        """Mint each pool up to now, when shares may have changed."""
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
        """Part of every account's rate, 0 to 1, that this host assigns to its zone."""
        return self._split.share

    def held_tokens(self, limits: Mapping[str, AccountLimit], now_ms: float) -> float:
        """Return the rate tokens of all accounts that this host holds at ``now_ms``."""
        return sum(
            self.pool_of(account, limit, now_ms).available_tokens()
            for account, limit in limits.items()
        )

    def receive_zone_share(self, peer_share: float, now_ms: float) -> None:
        """Receive from a peer of this zone the zone's part of every account's rate."""
        self._split.adopt_peer_share(peer_share, now_ms)

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
            # The share has been unchanged since then, and no token was used.
            pool = AccountPool(max(self._shares_since_ms, self._pools_removed_at_ms))
            self._pools[account] = pool
        if self._ownership.is_paused(now_ms):
            pool.reset(now_ms)
        capacity_tokens = share * limit.burst
        pool.refresh(mint_per_s, capacity_tokens, self._shares_since_ms, now_ms)
        return pool

    def _remove_pools_except(self, accounts: Iterable[str], now_ms: float) -> None:
        """Remove the pools of accounts that are no longer configured."""
        removed = self._pools.keys() - frozenset(accounts)
        for account in removed:
            del self._pools[account]
        if removed:
            # An account that is configured again must not get a second burst.
            self._pools_removed_at_ms = now_ms


@lru_cache(maxsize=POSITION_CACHE_ACCOUNTS)
def positions_of(account: str, zone: str) -> tuple[str, ...]:
    """Return the resources whose owners share the account's rate in a zone."""
    return tuple(
        f"quota/{account}/{zone}/{index}" for index in range(POSITIONS_PER_ZONE)
    )


def holders_of(account: str, zone: str, hosts: Iterable[str]) -> frozenset[str]:
    """Return the hosts of a zone that own positions of the account."""
    candidates = tuple(hosts)
    owners = (
        owner_of(position, candidates) for position in positions_of(account, zone)
    )
    return frozenset(owner for owner in owners if owner is not None)
