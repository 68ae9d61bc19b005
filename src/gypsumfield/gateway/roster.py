"""Hosts that messages arrive from, and the delegates of each zone of a large fleet.

In a small fleet messages arrive from every other host. In a large fleet a host receives
them only from the delegates of its zone; a delegate receives them from the hosts of its
zone and the delegates of the others. Which of two hosts ranks higher follows from these
two alone, so that a host needs no list of all hosts to find its delegates.
"""

from collections.abc import Iterable

from gypsumfield.clock import Clock
from gypsumfield.decisions.fleet_roles import DELEGATES_PER_ZONE
from gypsumfield.decisions.fleet_roles import HostRank
from gypsumfield.decisions.fleet_roles import is_large_fleet
from gypsumfield.decisions.fleet_roles import rank_delegates
from gypsumfield.gateway.host_counts import HOST_RETENTION_MS
from gypsumfield.gateway.host_counts import RecentMaximum
from gypsumfield.gateway.host_updates import HostCard
from gypsumfield.gateway.known_host import KnownHost

# Three missed heartbeats of a small fleet, with a margin for their delivery.
SILENCE_LIMIT_MS = 1_400.0
# The same for hosts that send only slow heartbeats, in a large fleet.
SLOW_SILENCE_LIMIT_MS = 6_000.0
# A host that other hosts list is probed; it answers within one heartbeat round.
PROBE_TIMEOUT_MS = 800.0
# A candidate that did not answer but is listed again after this time has come back:
# other hosts receive its messages.
PROBE_RETRY_MS = 1_600.0
# Candidates that are probed together: several of the best may be lost at once.
PROBES_AT_ONCE = 6
# A host with seeds knows too little of its fleet before this time to take part in
# bounds that hold over all hosts.
SETTLING_MS = 2_000.0


class Roster:
    """Records of the other hosts, and the roles derived from the live ones.

    Args:
        own_card: Identity of this host.
        has_no_seeds: Whether the settings name no other host.
        clock: Monotonic time in milliseconds.

    Attributes:
        own_card: Identity of this host.
    """

    def __init__(self, own_card: HostCard, has_no_seeds: bool, clock: Clock) -> None:
        self.own_card = own_card
        self._has_no_seeds = has_no_seeds
        self._clock = clock
        self._started_ms = clock.monotonic_ms()
        self._peers: dict[str, KnownHost] = {}
        # Hosts that other hosts list, and when each was probed; 0 for not yet.
        self._candidates: dict[str, tuple[HostCard, float]] = {}
        self._fleet_count = RecentMaximum(clock)
        self._zone_count = RecentMaximum(clock)
        self._last_digest_ms: float | None = None
        # Derived from the live hosts, and cached until these change.
        self._delegates: list[str] | None = None
        self._live_hosts: list[KnownHost] | None = None
        self._local_hosts: list[KnownHost] = []
        self._best_cards: list[HostCard] | None = None
        self._last_first_delegate = own_card.host_id

    def record_message(
        self,
        card: HostCard,
        is_store_reachable: bool = False,
        is_receiving_changes: bool = False,
        zone_host_count: int = 0,
        is_zone_representative: bool = False,
    ) -> bool:
        """Record a message from a host; see `KnownHost` for what it reports of itself.

        Returns:
            Whether the host is new, has restarted or was silent.
        """
        now_ms = self._clock.monotonic_ms()
        peer = self._peers.get(card.ip)
        is_new = peer is None or peer.is_silent or peer.card.boot_id != card.boot_id
        if peer is None or is_new:
            peer = self._peers[card.ip] = KnownHost(card, now_ms)
            self._candidates.pop(card.ip, None)
            self._clear_cached_roles()
        peer.received_ms = now_ms
        peer.is_store_reachable = is_store_reachable
        peer.is_receiving_changes = is_receiving_changes
        peer.zone_host_count = zone_host_count
        peer.is_zone_representative = is_zone_representative
        if self._is_local(card):
            self._zone_count.record(zone_host_count)
        return is_new

    def add_candidates(self, cards: Iterable[HostCard]) -> None:
        """Record hosts that another host lists, for `take_probe_targets`."""
        now_ms = self._clock.monotonic_ms()
        for card in cards:
            peer = self._peers.get(card.ip)
            if card.ip == self.own_card.ip or (peer and not peer.is_silent):
                continue
            _, probed_ms = self._candidates.get(card.ip, (card, 0.0))
            if not probed_ms or now_ms - probed_ms > PROBE_RETRY_MS:
                self._candidates[card.ip] = (card, 0.0)
                self._delegates = None

    def take_probe_targets(self) -> list[HostCard]:
        """Return the candidates to send a hello to now, each of them once.

        In a large fleet these are the best ranked of the local zone, when one of them
        may be its delegate, and for a delegate also those of other zones.
        """
        if not self._candidates:
            return []
        now_ms = self._clock.monotonic_ms()
        unprobed = [
            card for card, probed_ms in self._candidates.values() if not probed_ms
        ]
        if self.is_large:
            targets = self._best_unprobed(
                [card for card in unprobed if self._is_local(card)]
            )
            if self.is_delegate:
                targets += [card for card in unprobed if not self._is_local(card)]
        else:
            targets = unprobed
        for card in targets:
            self._candidates[card.ip] = (card, now_ms)
        return targets

    def _best_unprobed(self, cards: list[HostCard]) -> list[HostCard]:
        """Return the candidates to probe, if one may be a delegate of the zone."""
        if not {card.host_id for card in cards} & set(self.local_delegates()):
            return []
        ranks = [
            _rank(self.own_card),
            *(_rank(peer.card) for peer in self.local_hosts()),
        ]
        best = rank_delegates([*ranks, *map(_rank, cards)])[:PROBES_AT_ONCE]
        return [card for card in cards if card.host_id in best]

    def record_digest(self, fleet_count: int) -> None:
        """Record a digest of the local zone and the number of hosts in it."""
        self._last_digest_ms = self._clock.monotonic_ms()
        self._fleet_count.record(fleet_count)

    def record_fleet_count(self, fleet_count: int) -> None:
        """Record the number of hosts that any host has announced."""
        self._fleet_count.record(fleet_count)

    def mark_silent(self) -> list[KnownHost]:
        """Mark hosts whose silence limit has passed; return those worth reporting."""
        now_ms = self._clock.monotonic_ms()
        silent = []
        for ip, peer in list(self._peers.items()):
            silent_ms = now_ms - max(peer.received_ms, peer.expected_ms)
            if peer.is_silent:
                if now_ms - peer.received_ms > HOST_RETENTION_MS:
                    del self._peers[ip]
                continue
            if silent_ms <= self._silence_limit_ms(peer):
                continue
            peer.is_silent = True
            self._clear_cached_roles()
            if self._is_silence_reported(peer):
                silent.append(peer)
        for ip, (_, probed_ms) in list(self._candidates.items()):
            if probed_ms and now_ms - probed_ms >= PROBE_TIMEOUT_MS:
                self._delegates = None
                if now_ms - probed_ms > HOST_RETENTION_MS:
                    del self._candidates[ip]
        return silent

    def _silence_limit_ms(self, peer: KnownHost) -> float:
        if not self.is_large or peer.is_zone_representative:
            return SILENCE_LIMIT_MS
        first = self.local_delegates()[0]
        if self._is_local(peer.card) and first in (
            peer.card.host_id,
            self.own_card.host_id,
        ):
            return SILENCE_LIMIT_MS
        return SLOW_SILENCE_LIMIT_MS

    def _is_silence_reported(self, peer: KnownHost) -> bool:
        """Return whether it matters to this host that no more messages arrive."""
        if not self.is_large or peer.zone_host_count:
            return True
        return self.is_delegate and self._is_local(peer.card)

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for updates between all pairs of hosts."""
        return is_large_fleet(self.host_count)

    @property
    def host_count(self) -> int:
        """Recent number of hosts, including this one: recorded or announced."""
        return max(1 + len(self._peers), self._fleet_count.value)

    @property
    def announced_fleet_count(self) -> int:
        """Hosts of a large fleet as counted by its delegates; 0 when unknown."""
        if not self.is_large:
            return 0
        if not self.is_first_delegate:
            now_ms = self._clock.monotonic_ms()
            is_recent = (
                self._last_digest_ms
                and now_ms - self._last_digest_ms < SLOW_SILENCE_LIMIT_MS
            )
            return self._fleet_count.value if is_recent else 0
        zones: dict[str, int] = {
            self.own_card.availability_zone: self.announced_zone_count
        }
        for peer in self.remote_delegates():
            zone = peer.card.availability_zone
            zones[zone] = max(zones.get(zone, 0), peer.zone_host_count)
        count = sum(zones.values())
        self._fleet_count.record(count)
        return count

    @property
    def announced_zone_count(self) -> int:
        """Live hosts of the zone when this host is one of its delegates, else 0."""
        if not self.is_large or not self.is_delegate:
            return 0
        count = len(self.local_hosts()) + 1
        self._zone_count.record(count)
        return count

    @property
    def has_most_of_zone(self) -> bool:
        """Whether at least half of the zone's hosts of the last minute are live."""
        return 2 * (len(self.local_hosts()) + 1) >= self._zone_count.value

    @property
    def is_settled(self) -> bool:
        """Whether this host knows enough of its fleet for bounds over all hosts."""
        if self._has_no_seeds:
            return True
        if self.is_large and not self.is_first_delegate:
            return self._last_digest_ms is not None
        return self.uptime_ms >= SETTLING_MS

    @property
    def uptime_ms(self) -> float:
        """Milliseconds since the start of this host."""
        return self._clock.monotonic_ms() - self._started_ms

    @property
    def is_alone(self) -> bool:
        """Whether the settings name no other host and no message has arrived."""
        return self._has_no_seeds and not self._peers

    def live_hosts(self) -> list[KnownHost]:
        """Return the hosts that are not silent."""
        if self._live_hosts is None:
            self._live_hosts = [
                peer for peer in self._peers.values() if not peer.is_silent
            ]
            local = [peer for peer in self._live_hosts if self._is_local(peer.card)]
            self._local_hosts = local
        return self._live_hosts

    def silent_hosts_to_probe(self) -> list[KnownHost]:
        """Return the silent hosts to send a hello to, in case they have come back.

        In a large fleet only delegates do so: to former delegates of any zone, and to
        hosts of the local zone that outrank them.
        """
        silent = [peer for peer in self._peers.values() if peer.is_silent]
        if not self.is_large:
            return silent
        if not self.is_delegate:
            return []
        local_ranks = [_rank(peer.card) for peer in silent if self._is_local(peer.card)]
        ranked = rank_delegates([_rank(self.own_card), *local_ranks])
        higher_ranked = ranked[: ranked.index(self.own_card.host_id)][:PROBES_AT_ONCE]
        return [
            peer
            for peer in silent
            if peer.card.host_id in higher_ranked or peer.zone_host_count
        ]

    def find_host(self, ip: str) -> KnownHost | None:
        """Return the record of the host at an address."""
        return self._peers.get(ip)

    def cards_with_path(self, service: str) -> list[HostCard]:
        """Return the other hosts, also listed ones, that may reach a service."""
        cards = {card.ip: card for card, _ in self._candidates.values()}
        for peer in self._peers.values():
            cards[peer.card.ip] = peer.card
            if peer.is_silent or service in peer.lost_services:
                del cards[peer.card.ip]
        return list(cards.values())

    def zone_by_host(self) -> dict[str, str]:
        """Return the availability zone of each live host and of this one, by host."""
        zones = {self.own_card.host_id: self.own_card.availability_zone}
        for peer in self.live_hosts():
            zones[peer.card.host_id] = peer.card.availability_zone
        return zones

    def local_hosts(self) -> list[KnownHost]:
        """Return the live hosts of the local zone."""
        self.live_hosts()
        return self._local_hosts

    def local_delegates(self) -> list[str]:
        """Return the delegates of the local zone, the first delegate first.

        Hosts that other hosts list count as live until their probe has timed out.
        """
        if self._delegates is None:
            now_ms = self._clock.monotonic_ms()
            ranks = [
                _rank(self.own_card),
                *(_rank(peer.card) for peer in self.local_hosts()),
            ]
            ranks += [
                _rank(card)
                for card, probed_ms in self._candidates.values()
                if self._is_local(card)
                and (not probed_ms or now_ms - probed_ms < PROBE_TIMEOUT_MS)
            ]
            self._delegates = rank_delegates(set(ranks))[:DELEGATES_PER_ZONE]
            if self._delegates[0] != self._last_first_delegate:
                self._last_first_delegate = self._delegates[0]
                self._restart_silence_limits(now_ms)
        return self._delegates

    def _restart_silence_limits(self, now_ms: float) -> None:
        """Give hosts with slow heartbeats a full silence limit to send regular ones."""
        for peer in self.live_hosts():
            peer.expected_ms = now_ms

    @property
    def is_first_delegate(self) -> bool:
        """Whether this host is the first delegate: it represents its zone."""
        return self.local_delegates()[0] == self.own_card.host_id

    @property
    def is_delegate(self) -> bool:
        """Whether this host is the first or the standby delegate of its zone."""
        return self.own_card.host_id in self.local_delegates()

    def live_local_delegates(self) -> list[KnownHost]:
        """Return the other live delegates of the local zone, in order of rank."""
        by_id = {peer.card.host_id: peer for peer in self.local_hosts()}
        return [by_id[name] for name in self.local_delegates() if name in by_id]

    def remote_delegates(self) -> list[KnownHost]:
        """Return the live hosts of other zones that report being delegates there."""
        hosts = self.live_hosts()
        return [p for p in hosts if p.zone_host_count and not self._is_local(p.card)]

    def cards_to_announce(self, start: int, count: int) -> list[HostCard]:
        """Return hosts to announce: the best ranked of each zone, others in rotation.

        Args:
            start: Position in the rotation from which other hosts are taken.
            count: Number of other hosts; in a large fleet only from the local zone.
        """
        others = [
            peer.card
            for peer in (self.local_hosts() if self.is_large else self.live_hosts())
        ]
        first = start % max(1, len(others))
        cards = [*self._best_ranked(), *(others[first:] + others[:first])[:count]]
        return list({card.ip: card for card in cards}.values())

    def _best_ranked(self) -> list[HostCard]:
        """Return the best ranked hosts of each zone, of the live ones and this one."""
        if self._best_cards is None:
            by_zone: dict[str, dict[str, HostCard]] = {}
            for card in (self.own_card, *(peer.card for peer in self.live_hosts())):
                by_zone.setdefault(card.availability_zone, {})[card.host_id] = card
            self._best_cards = [
                hosts[host_id]
                for hosts in by_zone.values()
                for host_id in rank_delegates(map(_rank, hosts.values()))[
                    :DELEGATES_PER_ZONE
                ]
            ]
        return self._best_cards

    def _clear_cached_roles(self) -> None:
        self._delegates = None
        self._live_hosts = None
        self._best_cards = None

    def _is_local(self, card: HostCard) -> bool:
        return card.availability_zone == self.own_card.availability_zone


def _rank(card: HostCard) -> HostRank:
    return HostRank(card.host_id, card.availability_zone, card.capacity)
