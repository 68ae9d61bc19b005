"""Entry hosts as one host sees them: latest news, and since when it holds."""

from collections.abc import Iterable

import xxhash

from gypsumfield.decisions.member_entries import is_newer
from gypsumfield.decisions.member_entries import MemberEntry
from gypsumfield.decisions.member_entries import MembershipTimes
from gypsumfield.decisions.member_entries import with_key
from gypsumfield.decisions.member_entries import with_state
from gypsumfield.decisions.rumours import RumourQueue
from gypsumfield.messages import MemberNews
from gypsumfield.platform_api import Member

FORGET_AFTER_MS = 600_000.0


class MemberView:
    """Entry hosts as one host sees them; a new boot counts as a new host.

    Attributes:
        host_id: This host.
        availability_zone: Zone of this host.
        times: Times of the protocol.
        entries: What is known of each host, this one included.
        rumours: News to be passed on.
        listed: Hosts that the platform's latest list names.
        version: Rises whenever a host joins, changes or is forgotten.
        has_urgent_news: Whether a host has ended since this was reset.
    """

    def __init__(
        self, self_news: MemberNews, now_ms: float, times: MembershipTimes
    ) -> None:
        self.host_id = self_news.host_id
        self.availability_zone = self_news.availability_zone
        self.times = times
        self.entries = {self.host_id: MemberEntry(self_news, now_ms)}
        self.rumours: RumourQueue[str, MemberNews] = RumourQueue()
        self.listed: frozenset[str] = frozenset()
        self.version = 0
        self.has_urgent_news = False
        self._told_to_leave: dict[str, str] = {}
        self.rumours.add(self.host_id, self_news)

    def known_news(self) -> list[MemberNews]:
        """Return the latest news of each host that is not forgotten."""
        return [entry.news for entry in self.entries.values()]

    def live_hosts(self, zone: str | None = None) -> frozenset[str]:
        """Return the hosts of a zone, or of all, that are believed live now."""
        return frozenset(
            entry.news.host_id
            for entry in self.in_zone(zone)
            if entry.news.state == "live"
        )

    def members_for_shrinking(
        self, now_ms: float, zone: str | None = None
    ) -> frozenset[str]:
        """Return every host that may still act: live, or ended a short time ago.

        Dividing by their number never gives a host more than its part.
        """
        hold_down_ms = self.times.hold_down_ms
        return frozenset(
            entry.news.host_id
            for entry in self.in_zone(zone)
            if entry.ended_ms is None or now_ms - entry.ended_ms < hold_down_ms
        )

    def members_for_growing(
        self, now_ms: float, zone: str | None = None
    ) -> frozenset[str]:
        """Return the hosts that have been live throughout the hold-down."""
        return frozenset(
            entry.news.host_id
            for entry in self.in_zone(zone)
            if entry.ended_ms is None
            and now_ms - entry.joined_ms >= self.times.hold_down_ms
        )

    def in_zone(self, zone: str | None) -> list[MemberEntry]:
        """Return the entries of a zone, or all."""
        return [
            entry
            for entry in self.entries.values()
            if zone is None or entry.news.availability_zone == zone
        ]

    def is_told_to_leave(self, news: MemberNews) -> bool:
        """Return whether the platform's list calls this boot leaving."""
        return self._told_to_leave.get(news.host_id) == news.boot_id

    def adopt(self, news: MemberNews, now_ms: float) -> None:
        """Take news of a host over and pass it on."""
        entry = self.entries.get(news.host_id)
        if entry is None:
            entry = self.entries[news.host_id] = MemberEntry(news, now_ms)
        elif entry.news.boot_id != news.boot_id:
            entry.joined_ms = now_ms
            entry.heard_ms = entry.watched_since_ms = None
        if news.state != "live" and entry.ended_ms is None:
            self.has_urgent_news = True
        self._note_end(entry, news, now_ms)
        if not news.control_public_key:
            key = entry.news.control_public_key
            news = with_key(news, key)
        entry.news = news
        self.version += 1
        self.rumours.add(news.host_id, news)

    def was_heard(self, entry: MemberEntry, now_ms: float) -> bool:
        """Return whether a host was heard itself a short time ago."""
        if entry.heard_ms is None:
            return False
        return now_ms - entry.heard_ms <= self.times.silent_after_ms

    def forget(self, now_ms: float) -> None:
        """Drop hosts that ended long ago."""
        for host_id, entry in list(self.entries.items()):
            if entry.ended_ms is None or host_id == self.host_id:
                continue
            if now_ms - entry.ended_ms >= FORGET_AFTER_MS:
                del self.entries[host_id]
                self.version += 1

    def digest(self, zone: str) -> int:
        """Return a digest of the live hosts of a zone, to compare views by."""
        lines = sorted(
            f"{news.host_id} {news.boot_id} {news.incarnation} {news.state}"
            for news in (entry.news for entry in self.in_zone(zone))
            if news.state == "live"
        )
        return xxhash.xxh3_64_intdigest("\n".join(lines).encode())

    def ring_neighbours(self) -> list[str]:
        """Return the live neighbours of this host on its zone's ring."""
        hosts = self.live_hosts(self.availability_zone) | {self.host_id}
        ring = sorted(hosts, key=ring_position)
        at = ring.index(self.host_id)
        neighbours = {ring[at - 1], ring[(at + 1) % len(ring)]}
        return sorted(neighbours - {self.host_id})

    def silent_hosts(self) -> set[str]:
        """Return the hosts that are silent and not known as gone."""
        return {
            entry.news.host_id
            for entry in self.entries.values()
            if entry.news.state == "silent" and entry.news.host_id != self.host_id
        }

    def lone_hosts_heard(self, now_ms: float) -> list[str]:
        """Return the hosts whose zone has no other that could confirm them."""
        hosts_by_zone: dict[str, list[MemberEntry]] = {}
        for entry in self.entries.values():
            if entry.news.state == "live":
                hosts_by_zone.setdefault(entry.news.availability_zone, []).append(entry)
        return sorted(
            entries[0].news.host_id
            for zone, entries in hosts_by_zone.items()
            if zone != self.availability_zone
            and len(entries) == 1
            and self.was_heard(entries[0], now_ms)
        )

    def take_list(self, entry_hosts: Iterable[Member], now_ms: float) -> None:
        """Merge the platform's list; what hosts say themselves goes before it."""
        members = tuple(entry_hosts)
        listed = frozenset(member.host_id for member in members)
        self._told_to_leave = {
            member.host_id: member.boot_id
            for member in members
            if member.state == "leaving"
        }
        for member in members:
            self._take_listed(member, now_ms)
        for host_id in self.listed - listed:
            self._drop_unlisted(host_id, now_ms)
        self.listed = listed

    def _note_end(self, entry: MemberEntry, news: MemberNews, now_ms: float) -> None:
        if news.state != "live":
            if entry.ended_ms is None:
                entry.ended_ms = now_ms
            return
        if entry.ended_ms is not None:
            # Within the hold-down nobody has taken over what it held.
            if now_ms - entry.ended_ms >= self.times.hold_down_ms:
                entry.joined_ms = now_ms
            entry.heard_ms = entry.watched_since_ms = None
        entry.ended_ms = None

    def _take_listed(self, member: Member, now_ms: float) -> None:
        if member.host_id == self.host_id:
            return
        entry = self.entries.get(member.host_id)
        if entry is not None and entry.news.incarnation > 0:
            if entry.news.state == "live" and self.is_told_to_leave(entry.news):
                self.adopt(with_state(entry.news, "leaving"), now_ms)
            return
        news = MemberNews(
            member.host_id,
            member.boot_id,
            member.availability_zone,
            0,
            member.state,
            member.control_address,
            member.control_public_key,
        )
        is_other_boot = entry is not None and entry.news.boot_id != news.boot_id
        if entry is None or is_other_boot or is_newer(news, entry.news):
            self.adopt(news, now_ms)

    def _drop_unlisted(self, host_id: str, now_ms: float) -> None:
        """End a host that left the list and of which nobody hears any more."""
        entry = self.entries.get(host_id)
        if entry is None or host_id == self.host_id or entry.news.state != "live":
            return
        is_other_zone = entry.news.availability_zone != self.availability_zone
        if is_other_zone or not self.was_heard(entry, now_ms):
            self.adopt(with_state(entry.news, "silent"), now_ms)


def ring_position(host_id: str) -> tuple[int, str]:
    """Return where a host stands on a ring; the name breaks a tie."""
    return xxhash.xxh3_64_intdigest(host_id.encode()), host_id
