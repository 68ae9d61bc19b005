"""Which other hosts this one hears, and who speaks for each zone of a large fleet.

In a small fleet every host hears every other one. In a large fleet a host hears only
the delegates of its zone; a delegate hears the hosts of its zone and the delegates of
the others. Who outranks whom follows from two hosts alone, so that a host needs no
list of all hosts to find its delegates.
"""

from collections.abc import Iterable

from gypsumfield.clock import Clock
from gypsumfield.decisions.fleet_roles import DELEGATES_PER_ZONE
from gypsumfield.decisions.fleet_roles import HostRank
from gypsumfield.decisions.fleet_roles import is_large_fleet
from gypsumfield.decisions.fleet_roles import rank_delegates
from gypsumfield.gateway.host_counts import HOST_MEMORY_MS
from gypsumfield.gateway.host_counts import RecentMost
from gypsumfield.gateway.known_host import KnownHost
from gypsumfield.gateway.news import HostCard

# Three missed rounds of a small fleet, and a little for their way.
NEAR_SILENCE_MS = 1_400.0
# The same for hosts that tell only in the slow rounds of a large fleet.
FAR_SILENCE_MS = 6_000.0
# A host that others name is asked for a sign of life; one round is enough for it.
ASKED_MS = 800.0
# A host that did not answer and is named again has come back, since others hear it.
ASKED_AGAIN_MS = 1_600.0
# Named hosts that are asked together: several of the best may be lost at once.
ASKED_TOGETHER = 6
# A host with seeds knows too little of its fleet before this time to take part in
# bounds that hold over all hosts.
SETTLING_MS = 2_000.0


class Roster:
    """Hosts that are heard, and the roles that follow.

    Args:
        own: This host.
        is_alone: Whether the settings name no other host.
        clock: Time.

    Attributes:
        own: This host.
    """

    def __init__(self, own: HostCard, is_alone: bool, clock: Clock) -> None:
        self.own = own
        self._is_alone = is_alone
        self._clock = clock
        self._started_ms = clock.monotonic_ms()
        self._known: dict[str, KnownHost] = {}
        # Hosts that others name, and when each was asked; 0 for not yet.
        self._named: dict[str, tuple[HostCard, float]] = {}
        self._fleet_count = RecentMost(clock)
        self._zone_count = RecentMost(clock)
        self._digest_ms: float | None = None
        # What follows from the hosts that are heard, until these change.
        self._delegates: list[str] | None = None
        self._live: list[KnownHost] | None = None
        self._near: list[KnownHost] = []
        self._best_cards: list[HostCard] | None = None
        self._last_first = own.host_id

    def hear(
        self,
        card: HostCard,
        is_reaching: bool = False,
        is_fed: bool = False,
        zone_host_count: int = 0,
        is_speaker: bool = False,
    ) -> bool:
        """Note that a host was heard; see `KnownHost` for what it tells of itself.

        Returns:
            Whether it is new, has restarted or was silent.
        """
        now_ms = self._clock.monotonic_ms()
        known = self._known.get(card.ip)
        is_new = known is None or known.is_silent or known.card.boot_id != card.boot_id
        if known is None or is_new:
            known = self._known[card.ip] = KnownHost(card, now_ms)
            self._named.pop(card.ip, None)
            self._note_change()
        known.heard_ms = now_ms
        known.is_reaching = is_reaching
        known.is_fed = is_fed
        known.zone_host_count = zone_host_count
        known.is_speaker = is_speaker
        if self._is_near(card):
            self._zone_count.note(zone_host_count)
        return is_new

    def hear_of(self, cards: Iterable[HostCard]) -> None:
        """Note hosts that another one names; `ask_due` says whom to ask."""
        now_ms = self._clock.monotonic_ms()
        for card in cards:
            known = self._known.get(card.ip)
            if card.ip == self.own.ip or (known and not known.is_silent):
                continue
            _, asked_ms = self._named.get(card.ip, (card, 0.0))
            if not asked_ms or now_ms - asked_ms > ASKED_AGAIN_MS:
                self._named[card.ip] = (card, 0.0)
                self._delegates = None

    def ask_due(self) -> list[HostCard]:
        """Return the named hosts to ask for a sign of life now, each once.

        In a large fleet these are the best of the own zone, when one of them may speak
        for it, and for a delegate those of other zones.
        """
        if not self._named:
            return []
        now_ms = self._clock.monotonic_ms()
        unasked = [card for card, asked_ms in self._named.values() if not asked_ms]
        if self.is_large:
            due = self._best_unasked([card for card in unasked if self._is_near(card)])
            if self.is_delegate:
                due += [card for card in unasked if not self._is_near(card)]
        else:
            due = unasked
        for card in due:
            self._named[card.ip] = (card, now_ms)
        return due

    def _best_unasked(self, cards: list[HostCard]) -> list[HostCard]:
        """Return the hosts to ask, if one of them may speak for the zone."""
        if not {card.host_id for card in cards} & set(self.near_delegates()):
            return []
        ranks = [_rank(self.own), *(_rank(known.card) for known in self.near())]
        best = rank_delegates([*ranks, *map(_rank, cards)])[:ASKED_TOGETHER]
        return [card for card in cards if card.host_id in best]

    def note_digest(self, fleet_count: int) -> None:
        """Note how many hosts there are by the word of a delegate of the zone."""
        self._digest_ms = self._clock.monotonic_ms()
        self._fleet_count.note(fleet_count)

    def note_told_count(self, fleet_count: int) -> None:
        """Note how many hosts there are by the word of any host."""
        self._fleet_count.note(fleet_count)

    def mark_silent(self) -> list[KnownHost]:
        """Return the hosts that have become silent since the last call."""
        now_ms = self._clock.monotonic_ms()
        silent = []
        for ip, known in list(self._known.items()):
            quiet_ms = now_ms - max(known.heard_ms, known.expected_ms)
            if known.is_silent:
                if now_ms - known.heard_ms > HOST_MEMORY_MS:
                    del self._known[ip]
                continue
            if quiet_ms <= self._silence_limit_ms(known):
                continue
            known.is_silent = True
            self._note_change()
            if self._tells_this_host(known):
                silent.append(known)
        for ip, (_, asked_ms) in list(self._named.items()):
            if asked_ms and now_ms - asked_ms >= ASKED_MS:
                self._delegates = None
                if now_ms - asked_ms > HOST_MEMORY_MS:
                    del self._named[ip]
        return silent

    def _silence_limit_ms(self, known: KnownHost) -> float:
        if not self.is_large or known.is_speaker:
            return NEAR_SILENCE_MS
        first = self.near_delegates()[0]
        if self._is_near(known.card) and first in (
            known.card.host_id,
            self.own.host_id,
        ):
            return NEAR_SILENCE_MS
        return FAR_SILENCE_MS

    def _tells_this_host(self, known: KnownHost) -> bool:
        """Return whether the silence of a host is news."""
        if not self.is_large or known.zone_host_count:
            return True
        return self.is_delegate and self._is_near(known.card)

    @property
    def is_large(self) -> bool:
        """Whether the fleet is too large for everybody to hear everybody."""
        return is_large_fleet(self.host_count)

    @property
    def host_count(self) -> int:
        """Hosts that were heard or told of within the memory, with this one."""
        return max(1 + len(self._known), self._fleet_count.value)

    @property
    def fleet_count_to_tell(self) -> int:
        """Hosts of a large fleet, by what delegates have counted; else 0."""
        if not self.is_large:
            return 0
        if not self.is_first:
            now_ms = self._clock.monotonic_ms()
            is_fresh = self._digest_ms and now_ms - self._digest_ms < FAR_SILENCE_MS
            return self._fleet_count.value if is_fresh else 0
        zones: dict[str, int] = {self.own.availability_zone: self.zone_count_to_tell}
        for known in self.far_delegates():
            zone = known.card.availability_zone
            zones[zone] = max(zones.get(zone, 0), known.zone_host_count)
        count = sum(zones.values())
        self._fleet_count.note(count)
        return count

    @property
    def zone_count_to_tell(self) -> int:
        """Hosts that are heard in the zone if this host is its delegate; else 0."""
        if not self.is_large or not self.is_delegate:
            return 0
        count = len(self.near()) + 1
        self._zone_count.note(count)
        return count

    @property
    def hears_most_of_zone(self) -> bool:
        """Whether at least half of the zone's hosts of the last minute are heard."""
        return 2 * (len(self.near()) + 1) >= self._zone_count.value

    @property
    def is_settled(self) -> bool:
        """Whether this host knows enough of its fleet for bounds over all hosts."""
        if self._is_alone:
            return True
        if self.is_large and not self.is_first:
            return self._digest_ms is not None
        return self.age_ms >= SETTLING_MS

    @property
    def age_ms(self) -> float:
        """Time since the start of this host."""
        return self._clock.monotonic_ms() - self._started_ms

    @property
    def is_alone(self) -> bool:
        """Whether the settings name no other host and none was heard."""
        return self._is_alone and not self._known

    def live(self) -> list[KnownHost]:
        """Return the hosts that are heard now."""
        if self._live is None:
            self._live = [each for each in self._known.values() if not each.is_silent]
            self._near = [each for each in self._live if self._is_near(each.card)]
        return self._live

    def lost(self) -> list[KnownHost]:
        """Return silent hosts to greet now and then, in case they come back.

        In a large fleet delegates greet the ones that spoke for a zone, and those of
        the own zone that outrank them.
        """
        silent = [known for known in self._known.values() if known.is_silent]
        if not self.is_large:
            return silent
        if not self.is_delegate:
            return []
        near = [_rank(known.card) for known in silent if self._is_near(known.card)]
        ranked = rank_delegates([_rank(self.own), *near])
        above = ranked[: ranked.index(self.own.host_id)][:ASKED_TOGETHER]
        return [
            known
            for known in silent
            if known.card.host_id in above or known.zone_host_count
        ]

    def find(self, ip: str) -> KnownHost | None:
        """Return what is known of the host at an address."""
        return self._known.get(ip)

    def zones(self) -> dict[str, str]:
        """Return the availability zone by host, for all that are heard and this."""
        zones = {self.own.host_id: self.own.availability_zone}
        for known in self.live():
            zones[known.card.host_id] = known.card.availability_zone
        return zones

    def near(self) -> list[KnownHost]:
        """Return the hosts of the own zone that are heard."""
        self.live()
        return self._near

    def near_delegates(self) -> list[str]:
        """Return the hosts that speak for the own zone, the first one first.

        Hosts that others name count until they have not answered.
        """
        if self._delegates is None:
            now_ms = self._clock.monotonic_ms()
            ranks = [_rank(self.own), *(_rank(each.card) for each in self.near())]
            ranks += [
                _rank(card)
                for card, asked_ms in self._named.values()
                if self._is_near(card)
                and (not asked_ms or now_ms - asked_ms < ASKED_MS)
            ]
            self._delegates = rank_delegates(set(ranks))[:DELEGATES_PER_ZONE]
            if self._delegates[0] != self._last_first:
                self._last_first = self._delegates[0]
                self._expect_anew(now_ms)
        return self._delegates

    def _expect_anew(self, now_ms: float) -> None:
        """Give hosts that told seldom so far a whole limit to tell more often."""
        for known in self.live():
            known.expected_ms = now_ms

    @property
    def is_first(self) -> bool:
        """Whether this host speaks for its zone."""
        return self.near_delegates()[0] == self.own.host_id

    @property
    def is_delegate(self) -> bool:
        """Whether this host speaks for its zone or stands by."""
        return self.own.host_id in self.near_delegates()

    def delegates_told(self) -> list[KnownHost]:
        """Return the other delegates of the own zone that are heard, in order."""
        by_id = {known.card.host_id: known for known in self.near()}
        return [by_id[each] for each in self.near_delegates() if each in by_id]

    def far_delegates(self) -> list[KnownHost]:
        """Return the hosts of other zones that say that they speak for them."""
        return [
            known
            for known in self.live()
            if known.zone_host_count and not self._is_near(known.card)
        ]

    def cards_to_name(self, start: int, count: int) -> list[HostCard]:
        """Return hosts to name to another one: the best of each zone, others in turn.

        Args:
            start: Number of the first of the others.
            count: How many others; of the own zone in a large fleet.
        """
        others = [each.card for each in (self.near() if self.is_large else self.live())]
        first = start % max(1, len(others))
        cards = [*self._best(), *(others[first:] + others[:first])[:count]]
        return list({card.ip: card for card in cards}.values())

    def _best(self) -> list[HostCard]:
        """Return the hosts that rank first in each zone, of those that are heard."""
        if self._best_cards is None:
            by_zone: dict[str, dict[str, HostCard]] = {}
            for card in (self.own, *(known.card for known in self.live())):
                by_zone.setdefault(card.availability_zone, {})[card.host_id] = card
            self._best_cards = [
                hosts[host_id]
                for hosts in by_zone.values()
                for host_id in rank_delegates(map(_rank, hosts.values()))[
                    :DELEGATES_PER_ZONE
                ]
            ]
        return self._best_cards

    def _note_change(self) -> None:
        self._delegates = None
        self._live = None
        self._best_cards = None

    def _is_near(self, card: HostCard) -> bool:
        return card.availability_zone == self.own.availability_zone


def _rank(card: HostCard) -> HostRank:
    return HostRank(card.host_id, card.availability_zone, card.capacity)
