"""Membership of entry hosts: the platform's lagging list and direct heartbeats.

Each host sends heartbeats to its two neighbours on a ring of its zone, to one
random host of the zone and every second round to one of another zone. Neighbours
report a silent host; reports travel with the heartbeats. A host that hears of
its own silence refutes it with a higher incarnation.
"""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from gypsumfield.decisions.backend_membership import BackendMembership
from gypsumfield.decisions.member_entries import DEFAULT_TIMES
from gypsumfield.decisions.member_entries import is_newer
from gypsumfield.decisions.member_entries import MemberEntry
from gypsumfield.decisions.member_entries import MembershipTimes
from gypsumfield.decisions.member_entries import with_key
from gypsumfield.decisions.member_entries import with_state
from gypsumfield.decisions.member_view import MemberView
from gypsumfield.decisions.member_view import ring_position
from gypsumfield.messages import ControlMessage
from gypsumfield.messages import Heartbeat
from gypsumfield.messages import MemberNews
from gypsumfield.messages import ViewAnswer
from gypsumfield.messages import ViewRequest
from gypsumfield.platform_api import Member

NEWS_LIMIT = 6
BACKEND_REPEAT_FACTOR = 3
URGENT_TARGETS = 3
URGENT_INTERVAL_MS = 100.0
LIST_LIFETIME_MS = 3_500.0


class Outgoing(NamedTuple):
    """Message to be sent to an entry host."""

    host_id: str
    message: ControlMessage


class SpreadPosition(NamedTuple):
    """What a heartbeat tells of the values that its sender holds."""

    configuration_revision: int = 0
    members_version: int = 0
    platform_age_ms: int = -1


class Membership:
    """Who of the entry hosts lives, as one host learns it; a new boot is a new host.

    Attributes:
        host_id: This host.
        availability_zone: Zone of this host.
        times: Times of the protocol.
        backends: Backend servers as this host sees them.
    """

    def __init__(
        self,
        self_news: MemberNews,
        now_ms: float,
        times: MembershipTimes = DEFAULT_TIMES,
        seeds: Iterable[str] = (),
    ) -> None:
        """Start with nobody known but this host.

        Args:
            self_news: This host; its incarnation is the wall time of its boot,
                so that a later boot of the same host wins.
            now_ms: Monotonic time.
            times: Times of the protocol.
            seeds: Host ids that settings name, to reach others at the start.
        """
        self.host_id = self_news.host_id
        self.availability_zone = self_news.availability_zone
        self.times = times
        self.backends = BackendMembership(self.availability_zone)
        self._view = MemberView(self_news, now_ms, times)
        self._seeds = tuple(seed for seed in seeds if seed != self.host_id)
        self._round = 0
        self._position = SpreadPosition()
        self._urgent_at_ms = float("-inf")
        self._heard_by_peer_ms: float | None = None
        self._platform_contact_ms: float | None = None
        self._view_requested_ms = float("-inf")

    @property
    def self_news(self) -> MemberNews:
        """This host, as it tells the others."""
        return self._view.entries[self.host_id].news

    @property
    def view_version(self) -> int:
        """Version of the view; rises whenever a host joins, changes or is forgotten."""
        return self._view.version

    def known_news(self) -> list[MemberNews]:
        """Return the latest news of each host that is not forgotten."""
        return self._view.known_news()

    def live_hosts(self, zone: str | None = None) -> frozenset[str]:
        """Return the hosts of a zone, or of all, that are believed live now."""
        return self._view.live_hosts(zone)

    def members_for_shrinking(
        self, now_ms: float, zone: str | None = None
    ) -> frozenset[str]:
        """Return every host that may still act: live, or ended a short time ago.

        Dividing by their number never gives a host more than its part.
        """
        return self._view.members_for_shrinking(now_ms, zone)

    def members_for_growing(
        self, now_ms: float, zone: str | None = None
    ) -> frozenset[str]:
        """Return the hosts that have been live throughout the hold-down."""
        return self._view.members_for_growing(now_ms, zone)

    def possibly_live_hosts(
        self, now_ms: float, zone: str | None = None
    ) -> frozenset[str]:
        """Return the live hosts and the silent ones that may live all the same.

        A silent host may be parted from this one alone. It counts as gone only
        while the platform's list lacks it, and on a host that asks the platform
        only while that answers: it may come back where a host that is cut off
        cannot see it.
        """
        return frozenset(
            entry.news.host_id
            for entry in self._view.in_zone(zone)
            if entry.news.state == "live" or self._may_be_parted(entry, now_ms)
        )

    def is_confirmed(self, now_ms: float) -> bool:
        """Return whether the others of the zone cannot have dropped this host.

        More than half of the zone's known hosts must be live, and a peer must
        have said a short time ago that it hears this host. Exactly half are
        enough with fresh contact to the platform, so that one of two hosts
        goes on when the other dies.
        """
        has_platform = self._is_fresh(self._platform_contact_ms, now_ms)
        live_count = len(self.live_hosts(self.availability_zone))
        known_count = live_count + self._missing_count(now_ms)
        is_heard = self._is_fresh(self._heard_by_peer_ms, now_ms)
        if known_count <= 1:
            # A replacement may act while this host is parted from all others.
            return has_platform or is_heard
        if 2 * live_count == known_count:
            return has_platform
        return 2 * live_count > known_count and is_heard

    def record_platform_contact(self, now_ms: float) -> None:
        """Record that the platform has just answered this host."""
        self._platform_contact_ms = now_ms

    def merge_platform_list(self, hosts: Iterable[Member], now_ms: float) -> None:
        """Merge the platform's list; what hosts say themselves goes before it."""
        hosts = tuple(hosts)
        entry_hosts = [member for member in hosts if member.role == "entry"]
        self.backends.merge_platform_list(hosts)
        self._view.take_list(entry_hosts, now_ms)

    def receive_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> list[Outgoing]:
        """Merge a heartbeat and return what is to be sent because of it."""
        sender = heartbeat.self_news
        self._merge(sender, now_ms)
        entry = self._view.entries.get(sender.host_id)
        if entry is not None and entry.news.boot_id == sender.boot_id:
            entry.heard_ms = now_ms
        for news in heartbeat.news:
            self._merge(news, now_ms)
        for backend_news in heartbeat.backend_news:
            self.backends.take_news(backend_news)
        if 0 <= heartbeat.heard_age_ms < self.times.silent_after_ms:
            heard_ms = now_ms - heartbeat.heard_age_ms
            # Another peer may have said so of a later moment already.
            self._heard_by_peer_ms = max(self._heard_by_peer_ms or 0.0, heard_ms)
        if entry is not None and entry.news.state != sender.state:
            # The sender must hear what is said of it.
            return [Outgoing(sender.host_id, ViewAnswer(news=(entry.news,)))]
        if sender.state == "leaving" and self.self_news.state == "live":
            # Nobody watches it any more, but it still serves its answers and
            # must hear of configuration.
            answer = self._heartbeat(sender.host_id, now_ms, self._position)
            return [Outgoing(sender.host_id, answer)]
        return self._compare_views(heartbeat, now_ms)

    def receive_view(self, answer: ViewAnswer, now_ms: float) -> None:
        """Merge all news of a zone."""
        for news in answer.news:
            self._merge(news, now_ms)

    def answer_view(self, request: ViewRequest) -> ViewAnswer:
        """Return all news of the zone that is asked for."""
        zone = request.availability_zone or None
        return ViewAnswer(news=tuple(entry.news for entry in self._view.in_zone(zone)))

    def tick(
        self, now_ms: float, random: Random, position: SpreadPosition
    ) -> list[Outgoing]:
        """Report silent neighbours and return this round's heartbeats.

        Args:
            now_ms: Monotonic time; to be called each heartbeat interval.
            random: Chooses the random peers.
            position: What this host's heartbeats tell of its values.
        """
        self._round += 1
        self._position = position
        if not self.is_confirmed(now_ms):
            # The others may act without this host until they hear of it again,
            # and it may not know yet which of them do.
            self._view.entries[self.host_id].joined_ms = now_ms
        if self.self_news.state == "live":
            self._report_silent(now_ms)
        self._view.forget(now_ms)
        return [
            Outgoing(host_id, self._heartbeat(host_id, now_ms, position))
            for host_id in self._choose_targets(now_ms, random)
        ]

    def make_urgent_heartbeats(self, now_ms: float, random: Random) -> list[Outgoing]:
        """Return heartbeats with news that must not wait for the next round.

        To be called after whatever may have brought news. A host that ended and
        a backend server that leaves are urgent; a storm of them is bounded.
        """
        is_urgent = self._view.has_urgent_news or self.backends.has_urgent_news
        if not is_urgent or now_ms - self._urgent_at_ms < URGENT_INTERVAL_MS:
            return []
        self._view.has_urgent_news = self.backends.has_urgent_news = False
        self._urgent_at_ms = now_ms
        hosts = sorted(self.live_hosts() - {self.host_id})
        near = sorted(self.live_hosts(self.availability_zone) - {self.host_id})
        targets = random.sample(near, min(len(near), URGENT_TARGETS - 1))
        targets += random.sample(hosts, min(len(hosts), 1))
        return [
            Outgoing(host_id, self._heartbeat(host_id, now_ms, self._position))
            for host_id in dict.fromkeys(targets)
        ]

    def leave(self, now_ms: float) -> None:
        """Tell all others that this host takes no new work."""
        self._announce(self.self_news.incarnation + 1, "leaving", now_ms)

    def rejoin(self, now_ms: float) -> None:
        """Start anew after a pause: wait out the hold-down, judge nobody yet."""
        entry = self._view.entries[self.host_id]
        entry.joined_ms = now_ms
        self._heard_by_peer_ms = None
        self._platform_contact_ms = None
        for other in self._view.entries.values():
            other.heard_ms = None
            other.watched_since_ms = None
        if entry.news.state == "live":
            self._announce(entry.news.incarnation + 1, "live", now_ms)

    def _missing_count(self, now_ms: float) -> int:
        """Return how many hosts of the zone are silent and not known as gone."""
        return sum(
            self._may_be_parted(entry, now_ms)
            for entry in self._view.in_zone(self.availability_zone)
        )

    def _may_be_parted(self, entry: MemberEntry, now_ms: float) -> bool:
        if entry.news.state != "silent":
            return False
        if not self._view.listed or entry.news.host_id in self._view.listed:
            return True
        contact_ms = self._platform_contact_ms
        # A host that never asks the platform itself goes by its peers' list.
        return contact_ms is not None and now_ms - contact_ms > LIST_LIFETIME_MS

    def _is_fresh(self, at_ms: float | None, now_ms: float) -> bool:
        return (
            at_ms is not None and now_ms - at_ms <= self.times.confirmation_lifetime_ms
        )

    def _announce(self, incarnation: int, state: str, now_ms: float) -> None:
        news = self.self_news
        self._view.adopt(
            MemberNews(
                news.host_id,
                news.boot_id,
                news.availability_zone,
                incarnation,
                "leaving" if state == "leaving" else "live",
                news.control_address,
                news.control_public_key,
            ),
            now_ms,
        )

    def _merge(self, news: MemberNews, now_ms: float) -> None:
        if news.host_id == self.host_id:
            self._refute(news, now_ms)
            return
        entry = self._view.entries.get(news.host_id)
        if entry is not None and not is_newer(news, entry.news):
            return
        self._view.adopt(news, now_ms)
        if news.state == "live" and self._view.is_told_to_leave(news):
            self._view.adopt(with_state(news, "leaving"), now_ms)

    def _refute(self, news: MemberNews, now_ms: float) -> None:
        own = self.self_news
        if not is_newer(news, own):
            return
        is_told_to_leave = news.state == "leaving" and news.boot_id == own.boot_id
        state = "leaving" if is_told_to_leave else own.state
        self._announce(news.incarnation + 1, state, now_ms)

    def _compare_views(self, heartbeat: Heartbeat, now_ms: float) -> list[Outgoing]:
        zone = heartbeat.self_news.availability_zone
        since_ms = now_ms - self._view_requested_ms
        if since_ms < self.times.view_request_interval_ms:
            return []
        if heartbeat.view_digest == self._view.digest(zone):
            return []
        self._view_requested_ms = now_ms
        request = ViewRequest(availability_zone=zone)
        return [Outgoing(heartbeat.self_news.host_id, request)]

    def _report_silent(self, now_ms: float) -> None:
        neighbours = set(self._view.ring_neighbours())
        for host_id, entry in list(self._view.entries.items()):
            if host_id not in neighbours:
                entry.watched_since_ms = None
                continue
            if entry.watched_since_ms is None:
                entry.watched_since_ms = now_ms
            if self._is_silent(entry, entry.watched_since_ms, now_ms):
                self._view.adopt(with_state(entry.news, "silent"), now_ms)

    def _is_silent(
        self, entry: MemberEntry, watched_since_ms: float, now_ms: float
    ) -> bool:
        heard_ms = entry.heard_ms
        if heard_ms is None or heard_ms < watched_since_ms:
            # A ring that closes over several lost hosts must not take the full
            # time for each of them.
            return now_ms - watched_since_ms > self.times.first_heartbeat_within_ms
        return now_ms - heard_ms > self.times.silent_after_ms

    def _choose_targets(self, now_ms: float, random: Random) -> list[str]:
        targets = self._view.ring_neighbours()
        own_zone = self.live_hosts(self.availability_zone) - {self.host_id}
        targets += _choose(random, own_zone.difference(targets))
        elsewhere = self.live_hosts() - own_zone - {self.host_id}
        if not own_zone:
            targets += self._choose_witness(elsewhere)
        targets += self._view.lone_hosts_heard(now_ms)
        if self._round % self.times.cross_zone_every == 0:
            targets += _choose(random, elsewhere.difference(targets))
            # A host that was given up is tried now and then: it may be parted
            # from this one and not dead.
            targets += _choose(random, self._view.silent_hosts())
        unknown_seeds = set(self._seeds) - set(self._view.entries)
        targets += _choose(random, unknown_seeds)
        return list(dict.fromkeys(targets))

    def _choose_witness(self, elsewhere: Iterable[str]) -> list[str]:
        """Return the host of another zone that is to confirm this lone one."""
        witness = max(elsewhere, key=ring_position, default=None)
        return [witness] if witness else []

    def _heartbeat(
        self, host_id: str, now_ms: float, position: SpreadPosition
    ) -> Heartbeat:
        entry = self._view.entries.get(host_id)
        heard_ms = entry.heard_ms if entry else None
        repeats = _repeat_count(len(self._view.entries))
        return Heartbeat(
            self_news=with_key(self.self_news, ""),
            heard_age_ms=-1 if heard_ms is None else int(now_ms - heard_ms),
            configuration_revision=position.configuration_revision,
            members_version=position.members_version,
            platform_age_ms=position.platform_age_ms,
            view_digest=self._view.digest(self.availability_zone),
            news=tuple(self._view.rumours.take(NEWS_LIMIT, repeats)),
            # No digest repairs what is missed of these.
            backend_news=tuple(
                self.backends.rumours.take(NEWS_LIMIT, BACKEND_REPEAT_FACTOR * repeats)
            ),
        )


def _choose(random: Random, hosts: Iterable[str]) -> list[str]:
    ordered = sorted(hosts)
    return [random.choice(ordered)] if ordered else []


def _repeat_count(host_count: int) -> int:
    """Return how often news is passed on; digests repair what is missed."""
    return max(1, host_count.bit_length())
