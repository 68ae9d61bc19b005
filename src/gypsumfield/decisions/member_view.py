"""Entry hosts as recorded by one host: latest records and times of their changes."""

from collections.abc import Iterable

import xxhash

from gypsumfield.decisions.gossip_queue import GossipQueue
from gypsumfield.decisions.member_entries import is_newer
from gypsumfield.decisions.member_entries import MemberEntry
from gypsumfield.decisions.member_entries import MembershipTimes
from gypsumfield.decisions.member_entries import with_key
from gypsumfield.decisions.member_entries import with_state
from gypsumfield.messages import MemberRecord
from gypsumfield.platform_api import Member

ENDED_HOST_RETENTION_MS = 600_000.0


class MemberView:
    """Entry hosts as recorded by one host; a new boot counts as a new host.

    Attributes:
        host_id: Id of this host.
        availability_zone: Zone of this host.
        times: Intervals and timeouts of the protocol.
        entries: State of each host by host id, this one included.
        gossip: Updates to be sent with the next heartbeats.
        listed: Host ids in the platform's latest list.
        version: Rises whenever a host joins, changes or is removed.
        has_urgent_updates: Whether a host has left or become silent since the reset.
    """

    def __init__(
        self, self_record: MemberRecord, now_ms: float, times: MembershipTimes
    ) -> None:
        self.host_id = self_record.host_id
        self.availability_zone = self_record.availability_zone
        self.times = times
        self.entries = {self.host_id: MemberEntry(self_record, now_ms)}
        self.gossip: GossipQueue[str, MemberRecord] = GossipQueue()
        self.listed: frozenset[str] = frozenset()
        self.version = 0
        self.has_urgent_updates = False
        self._leaving_boots: dict[str, str] = {}
        self.gossip.add(self.host_id, self_record)

    def known_records(self) -> list[MemberRecord]:
        """Return the latest record of each host that has not been removed."""
        return [entry.record for entry in self.entries.values()]

    def live_hosts(self, zone: str | None = None) -> frozenset[str]:
        """Return the hosts of a zone, or of all zones, that are recorded as live."""
        return frozenset(
            entry.record.host_id
            for entry in self.in_zone(zone)
            if entry.record.state == "live"
        )

    def possibly_acting_hosts(
        self, now_ms: float, zone: str | None = None
    ) -> frozenset[str]:
        """Return every host that may still act: live, or ended a short time ago.

        A limit divided by their number is never too large a share.
        """
        hold_down_ms = self.times.hold_down_ms
        return frozenset(
            entry.record.host_id
            for entry in self.in_zone(zone)
            if entry.ended_ms is None or now_ms - entry.ended_ms < hold_down_ms
        )

    def stable_hosts(self, now_ms: float, zone: str | None = None) -> frozenset[str]:
        """Return the hosts that have been live throughout the hold-down."""
        return frozenset(
            entry.record.host_id
            for entry in self.in_zone(zone)
            if entry.ended_ms is None
            and now_ms - entry.joined_ms >= self.times.hold_down_ms
        )

    def in_zone(self, zone: str | None) -> list[MemberEntry]:
        """Return the entries of a zone, or of all zones."""
        return [
            entry
            for entry in self.entries.values()
            if zone is None or entry.record.availability_zone == zone
        ]

    def is_listed_as_leaving(self, record: MemberRecord) -> bool:
        """Return whether the platform's list shows this boot as leaving."""
        return self._leaving_boots.get(record.host_id) == record.boot_id

    def adopt(self, record: MemberRecord, now_ms: float) -> None:
        """Adopt an update about a host and queue it for the other hosts."""
        entry = self.entries.get(record.host_id)
        if entry is None:
            entry = self.entries[record.host_id] = MemberEntry(record, now_ms)
        elif entry.record.boot_id != record.boot_id:
            entry.joined_ms = now_ms
            entry.received_ms = entry.watched_since_ms = None
        if record.state != "live" and entry.ended_ms is None:
            self.has_urgent_updates = True
        self._record_end(entry, record, now_ms)
        if not record.control_public_key:
            key = entry.record.control_public_key
            record = with_key(record, key)
        entry.record = record
        self.version += 1
        self.gossip.add(record.host_id, record)

    def has_recent_message(self, entry: MemberEntry, now_ms: float) -> bool:
        """Return whether a heartbeat of the host itself arrived a short time ago."""
        if entry.received_ms is None:
            return False
        return now_ms - entry.received_ms <= self.times.silent_after_ms

    def remove_ended(self, now_ms: float) -> None:
        """Remove hosts that ended more than `ENDED_HOST_RETENTION_MS` ago."""
        for host_id, entry in list(self.entries.items()):
            if entry.ended_ms is None or host_id == self.host_id:
                continue
            if now_ms - entry.ended_ms >= ENDED_HOST_RETENTION_MS:
                del self.entries[host_id]
                self.version += 1

    def digest(self, zone: str) -> int:
        """Return a digest of the live hosts of a zone, to compare views."""
        lines = sorted(
            f"{record.host_id} {record.boot_id} {record.incarnation} {record.state}"
            for record in (entry.record for entry in self.in_zone(zone))
            if record.state == "live"
        )
        return xxhash.xxh3_64_intdigest("\n".join(lines).encode())

    def ring_neighbours(self) -> list[str]:
        """Return the live neighbours of this host on its zone's ring, at most two."""
        hosts = self.live_hosts(self.availability_zone) | {self.host_id}
        ring = sorted(hosts, key=ring_position)
        position = ring.index(self.host_id)
        neighbours = {ring[position - 1], ring[(position + 1) % len(ring)]}
        return sorted(neighbours - {self.host_id})

    def silent_hosts(self) -> set[str]:
        """Return the other hosts that are recorded as silent."""
        return {
            entry.record.host_id
            for entry in self.entries.values()
            if entry.record.state == "silent" and entry.record.host_id != self.host_id
        }

    def lone_remote_hosts(self, now_ms: float) -> list[str]:
        """Return each live host that is the only live one of another zone.

        No host of their own zone can confirm them. Only hosts that sent a
        heartbeat a short time ago are included.
        """
        hosts_by_zone: dict[str, list[MemberEntry]] = {}
        for entry in self.entries.values():
            if entry.record.state == "live":
                hosts_by_zone.setdefault(entry.record.availability_zone, []).append(
                    entry
                )
        return sorted(
            entries[0].record.host_id
            for zone, entries in hosts_by_zone.items()
            if zone != self.availability_zone
            and len(entries) == 1
            and self.has_recent_message(entries[0], now_ms)
        )

    def merge_list(self, entry_hosts: Iterable[Member], now_ms: float) -> None:
        """Merge the platform's list; a host's own updates take precedence."""
        members = tuple(entry_hosts)
        listed = frozenset(member.host_id for member in members)
        self._leaving_boots = {
            member.host_id: member.boot_id
            for member in members
            if member.state == "leaving"
        }
        for member in members:
            self._merge_listed(member, now_ms)
        for host_id in self.listed - listed:
            self._end_unlisted(host_id, now_ms)
        self.listed = listed

    def _record_end(
        self, entry: MemberEntry, record: MemberRecord, now_ms: float
    ) -> None:
        if record.state != "live":
            if entry.ended_ms is None:
                entry.ended_ms = now_ms
            return
        if entry.ended_ms is not None:
            # Within the hold-down no other host has taken over its resources.
            if now_ms - entry.ended_ms >= self.times.hold_down_ms:
                entry.joined_ms = now_ms
            entry.received_ms = entry.watched_since_ms = None
        entry.ended_ms = None

    def _merge_listed(self, member: Member, now_ms: float) -> None:
        if member.host_id == self.host_id:
            return
        entry = self.entries.get(member.host_id)
        if entry is not None and entry.record.incarnation > 0:
            if entry.record.state == "live" and self.is_listed_as_leaving(entry.record):
                self.adopt(with_state(entry.record, "leaving"), now_ms)
            return
        record = MemberRecord(
            member.host_id,
            member.boot_id,
            member.availability_zone,
            0,
            member.state,
            member.control_address,
            member.control_public_key,
        )
        is_other_boot = entry is not None and entry.record.boot_id != record.boot_id
        if entry is None or is_other_boot or is_newer(record, entry.record):
            self.adopt(record, now_ms)

    def _end_unlisted(self, host_id: str, now_ms: float) -> None:
        """Record a host that left the list as silent.

        A host of this zone stays live while its own heartbeats arrive.
        """
        entry = self.entries.get(host_id)
        if entry is None or host_id == self.host_id or entry.record.state != "live":
            return
        is_other_zone = entry.record.availability_zone != self.availability_zone
        if is_other_zone or not self.has_recent_message(entry, now_ms):
            self.adopt(with_state(entry.record, "silent"), now_ms)


def ring_position(host_id: str) -> tuple[int, str]:
    """Return the sort key of a host on the ring; the name breaks ties."""
    return xxhash.xxh3_64_intdigest(host_id.encode()), host_id
