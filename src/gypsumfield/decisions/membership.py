"""Membership of entry hosts, from direct heartbeats and the platform's list.

The platform's list lags. Each host sends heartbeats to its two neighbours on a
ring of its zone, to one random host of the zone and in every second round to one
of another zone. Neighbours report a host as silent when its heartbeats stop, and
the reports are sent with the heartbeats. A host that receives a report of its own
silence refutes it with a higher incarnation.
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
from gypsumfield.messages import MemberRecord
from gypsumfield.messages import ViewAnswer
from gypsumfield.messages import ViewRequest
from gypsumfield.platform_api import Member

UPDATE_LIMIT = 6
BACKEND_SEND_FACTOR = 3
URGENT_TARGETS = 3
URGENT_INTERVAL_MS = 100.0
CONTACT_LIFETIME_MS = 3_500.0


class Outgoing(NamedTuple):
    """Message to be sent to the entry host ``host_id``."""

    host_id: str
    message: ControlMessage


class SpreadPosition(NamedTuple):
    """Versions that a heartbeat's sender holds; a platform age of -1 is unknown."""

    configuration_revision: int = 0
    members_version: int = 0
    platform_age_ms: int = -1


class Membership:
    """Entry hosts as recorded by one host; a new boot counts as a new host.

    Attributes:
        host_id: Id of this host.
        availability_zone: Zone of this host.
        times: Intervals and timeouts of the protocol.
        backends: Backend servers as recorded by this host.
    """

    def __init__(
        self,
        self_record: MemberRecord,
        now_ms: float,
        times: MembershipTimes = DEFAULT_TIMES,
        seeds: Iterable[str] = (),
    ) -> None:
        """Start with a view that contains only this host.

        Args:
            self_record: Record of this host; its incarnation is the wall-clock time
                of its boot, so that a later boot supersedes it.
            now_ms: Monotonic time.
            times: Intervals and timeouts of the protocol.
            seeds: Host ids from the settings, for first contact with others.
        """
        self.host_id = self_record.host_id
        self.availability_zone = self_record.availability_zone
        self.times = times
        self.backends = BackendMembership(self.availability_zone)
        self._view = MemberView(self_record, now_ms, times)
        self._seeds = tuple(seed for seed in seeds if seed != self.host_id)
        self._round = 0
        self._position = SpreadPosition()
        self._urgent_at_ms = float("-inf")
        self._confirmed_ms: float | None = None
        self._platform_contact_ms: float | None = None
        self._view_requested_ms = float("-inf")

    @property
    def self_record(self) -> MemberRecord:
        """Record of this host, as it is sent to the others."""
        return self._view.entries[self.host_id].record

    @property
    def view_version(self) -> int:
        """Version of the view; rises whenever a host joins, changes or is removed."""
        return self._view.version

    def known_records(self) -> list[MemberRecord]:
        """Return the latest record of each host that has not been removed."""
        return self._view.known_records()

    def live_hosts(self, zone: str | None = None) -> frozenset[str]:
        """Return the hosts of a zone, or of all zones, that are recorded as live."""
        return self._view.live_hosts(zone)

    def possibly_acting_hosts(
        self, now_ms: float, zone: str | None = None
    ) -> frozenset[str]:
        """Return the hosts that are live or ended lately; see `MemberView`."""
        return self._view.possibly_acting_hosts(now_ms, zone)

    def stable_hosts(self, now_ms: float, zone: str | None = None) -> frozenset[str]:
        """Return the hosts that have been live throughout the hold-down."""
        return self._view.stable_hosts(now_ms, zone)

    def possibly_live_hosts(
        self, now_ms: float, zone: str | None = None
    ) -> frozenset[str]:
        """Return the live hosts and the silent ones that may still be alive.

        A silent host may be partitioned from this one only. It counts as gone if the
        platform's list lacks it. A host that queries the platform needs a recent
        answer for this: without one it would not see the silent host come back.
        """
        return frozenset(
            entry.record.host_id
            for entry in self._view.in_zone(zone)
            if entry.record.state == "live" or self._may_be_partitioned(entry, now_ms)
        )

    def is_confirmed(self, now_ms: float) -> bool:
        """Return whether the others of the zone cannot have removed this host.

        More than half of the zone's recorded hosts must be live, and a peer must
        have confirmed lately that it receives this host's heartbeats. Exactly half
        are enough with recent contact to the platform, so that one of two hosts
        continues when the other fails.
        """
        has_platform = self._is_recent(self._platform_contact_ms, now_ms)
        live_count = len(self.live_hosts(self.availability_zone))
        known_count = live_count + self._silent_count(now_ms)
        has_peer_confirmation = self._is_recent(self._confirmed_ms, now_ms)
        if known_count <= 1:
            # A replacement may act while this host is partitioned from all others.
            return has_platform or has_peer_confirmation
        if 2 * live_count == known_count:
            return has_platform
        return 2 * live_count > known_count and has_peer_confirmation

    def record_platform_contact(self, now_ms: float) -> None:
        """Record that the platform answered this host at ``now_ms``."""
        self._platform_contact_ms = now_ms

    def merge_platform_list(self, hosts: Iterable[Member], now_ms: float) -> None:
        """Merge the platform's list; a host's own updates take precedence."""
        hosts = tuple(hosts)
        entry_hosts = [member for member in hosts if member.role == "entry"]
        self.backends.merge_platform_list(hosts)
        self._view.merge_list(entry_hosts, now_ms)

    def receive_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> list[Outgoing]:
        """Merge a heartbeat and return the messages to be sent in reply."""
        sender = heartbeat.self_record
        self._merge(sender, now_ms)
        entry = self._view.entries.get(sender.host_id)
        if entry is not None and entry.record.boot_id == sender.boot_id:
            entry.received_ms = now_ms
        for record in heartbeat.records:
            self._merge(record, now_ms)
        for backend_record in heartbeat.backend_records:
            self.backends.merge_record(backend_record)
        if 0 <= heartbeat.received_age_ms < self.times.silent_after_ms:
            confirmed_ms = now_ms - heartbeat.received_age_ms
            # Another peer may have confirmed a later time already.
            self._confirmed_ms = max(self._confirmed_ms or 0.0, confirmed_ms)
        if entry is not None and entry.record.state != sender.state:
            # The sender must receive the state that is recorded for it.
            return [Outgoing(sender.host_id, ViewAnswer(records=(entry.record,)))]
        if sender.state == "leaving" and self.self_record.state == "live":
            # No host monitors a leaving host, but it still completes its answers
            # and must receive the configuration.
            answer = self._heartbeat(sender.host_id, now_ms, self._position)
            return [Outgoing(sender.host_id, answer)]
        return self._compare_views(heartbeat, now_ms)

    def receive_view(self, answer: ViewAnswer, now_ms: float) -> None:
        """Merge a peer's records of a zone, or of all zones."""
        for record in answer.records:
            self._merge(record, now_ms)

    def answer_view(self, request: ViewRequest) -> ViewAnswer:
        """Return all records of the requested zone, or of all zones."""
        zone = request.availability_zone or None
        return ViewAnswer(
            records=tuple(entry.record for entry in self._view.in_zone(zone))
        )

    def tick(
        self, now_ms: float, random: Random, position: SpreadPosition
    ) -> list[Outgoing]:
        """Report silent neighbours and return the heartbeats of this round.

        Args:
            now_ms: Monotonic time; to be called once in each heartbeat interval.
            random: Source for the selection of random peers.
            position: Versions of the values that this host holds.
        """
        self._round += 1
        self._position = position
        if not self.is_confirmed(now_ms):
            # The others may act without this host until they receive its
            # heartbeats again, and this host may not know yet which of them do.
            self._view.entries[self.host_id].joined_ms = now_ms
        if self.self_record.state == "live":
            self._report_silent(now_ms)
        self._view.remove_ended(now_ms)
        return [
            Outgoing(host_id, self._heartbeat(host_id, now_ms, position))
            for host_id in self._select_targets(now_ms, random)
        ]

    def make_urgent_heartbeats(self, now_ms: float, random: Random) -> list[Outgoing]:
        """Return heartbeats with updates that must not wait for the next round.

        To be called after anything that may have added updates. The end of a host
        and the departure of a backend server are urgent; the rate is limited.
        """
        is_urgent = self._view.has_urgent_updates or self.backends.has_urgent_updates
        if not is_urgent or now_ms - self._urgent_at_ms < URGENT_INTERVAL_MS:
            return []
        self._view.has_urgent_updates = self.backends.has_urgent_updates = False
        self._urgent_at_ms = now_ms
        hosts = sorted(self.live_hosts() - {self.host_id})
        zone_hosts = sorted(self.live_hosts(self.availability_zone) - {self.host_id})
        targets = random.sample(zone_hosts, min(len(zone_hosts), URGENT_TARGETS - 1))
        targets += random.sample(hosts, min(len(hosts), 1))
        return [
            Outgoing(host_id, self._heartbeat(host_id, now_ms, self._position))
            for host_id in dict.fromkeys(targets)
        ]

    def leave(self, now_ms: float) -> None:
        """Announce to the others that this host accepts no new work."""
        self._announce(self.self_record.incarnation + 1, "leaving", now_ms)

    def rejoin(self, now_ms: float) -> None:
        """Restart after a pause: wait for the hold-down, report no host silent yet."""
        entry = self._view.entries[self.host_id]
        entry.joined_ms = now_ms
        self._confirmed_ms = None
        self._platform_contact_ms = None
        for other in self._view.entries.values():
            other.received_ms = None
            other.watched_since_ms = None
        if entry.record.state == "live":
            self._announce(entry.record.incarnation + 1, "live", now_ms)

    def _silent_count(self, now_ms: float) -> int:
        """Return how many silent hosts of the zone may still be alive."""
        return sum(
            self._may_be_partitioned(entry, now_ms)
            for entry in self._view.in_zone(self.availability_zone)
        )

    def _may_be_partitioned(self, entry: MemberEntry, now_ms: float) -> bool:
        if entry.record.state != "silent":
            return False
        if not self._view.listed or entry.record.host_id in self._view.listed:
            return True
        contact_ms = self._platform_contact_ms
        # A host that never queries the platform relies on the list of its peers.
        return contact_ms is not None and now_ms - contact_ms > CONTACT_LIFETIME_MS

    def _is_recent(self, at_ms: float | None, now_ms: float) -> bool:
        return (
            at_ms is not None and now_ms - at_ms <= self.times.confirmation_lifetime_ms
        )

    def _announce(self, incarnation: int, state: str, now_ms: float) -> None:
        record = self.self_record
        self._view.adopt(
            MemberRecord(
                record.host_id,
                record.boot_id,
                record.availability_zone,
                incarnation,
                "leaving" if state == "leaving" else "live",
                record.control_address,
                record.control_public_key,
            ),
            now_ms,
        )

    def _merge(self, record: MemberRecord, now_ms: float) -> None:
        if record.host_id == self.host_id:
            self._refute(record, now_ms)
            return
        entry = self._view.entries.get(record.host_id)
        if entry is not None and not is_newer(record, entry.record):
            return
        self._view.adopt(record, now_ms)
        if record.state == "live" and self._view.is_listed_as_leaving(record):
            self._view.adopt(with_state(record, "leaving"), now_ms)

    def _refute(self, record: MemberRecord, now_ms: float) -> None:
        current = self.self_record
        if not is_newer(record, current):
            return
        must_leave = record.state == "leaving" and record.boot_id == current.boot_id
        state = "leaving" if must_leave else current.state
        self._announce(record.incarnation + 1, state, now_ms)

    def _compare_views(self, heartbeat: Heartbeat, now_ms: float) -> list[Outgoing]:
        zone = heartbeat.self_record.availability_zone
        elapsed_ms = now_ms - self._view_requested_ms
        if elapsed_ms < self.times.view_request_interval_ms:
            return []
        if heartbeat.view_digest == self._view.digest(zone):
            return []
        self._view_requested_ms = now_ms
        request = ViewRequest(availability_zone=zone)
        return [Outgoing(heartbeat.self_record.host_id, request)]

    def _report_silent(self, now_ms: float) -> None:
        neighbours = set(self._view.ring_neighbours())
        for host_id, entry in list(self._view.entries.items()):
            if host_id not in neighbours:
                entry.watched_since_ms = None
                continue
            if entry.watched_since_ms is None:
                entry.watched_since_ms = now_ms
            if self._is_silent(entry, entry.watched_since_ms, now_ms):
                self._view.adopt(with_state(entry.record, "silent"), now_ms)

    def _is_silent(
        self, entry: MemberEntry, watched_since_ms: float, now_ms: float
    ) -> bool:
        received_ms = entry.received_ms
        if received_ms is None or received_ms < watched_since_ms:
            # When several hosts of the ring are lost, each becomes a neighbour
            # only after the one before; the full time for each would add up.
            return now_ms - watched_since_ms > self.times.first_heartbeat_within_ms
        return now_ms - received_ms > self.times.silent_after_ms

    def _select_targets(self, now_ms: float, random: Random) -> list[str]:
        targets = self._view.ring_neighbours()
        local_hosts = self.live_hosts(self.availability_zone) - {self.host_id}
        targets += _sample_one(random, local_hosts.difference(targets))
        remote_hosts = self.live_hosts() - local_hosts - {self.host_id}
        if not local_hosts:
            targets += self._select_witness(remote_hosts)
        targets += self._view.lone_remote_hosts(now_ms)
        if self._round % self.times.cross_zone_every == 0:
            targets += _sample_one(random, remote_hosts.difference(targets))
            # Probe a silent host: it may be partitioned from this one, not dead.
            targets += _sample_one(random, self._view.silent_hosts())
        unknown_seeds = set(self._seeds) - set(self._view.entries)
        targets += _sample_one(random, unknown_seeds)
        return list(dict.fromkeys(targets))

    def _select_witness(self, remote_hosts: Iterable[str]) -> list[str]:
        """Return the remote host that confirms this one when its zone has no other."""
        witness = max(remote_hosts, key=ring_position, default=None)
        return [witness] if witness else []

    def _heartbeat(
        self, host_id: str, now_ms: float, position: SpreadPosition
    ) -> Heartbeat:
        entry = self._view.entries.get(host_id)
        received_ms = entry.received_ms if entry else None
        send_count = _send_count(len(self._view.entries))
        return Heartbeat(
            self_record=with_key(self.self_record, ""),
            received_age_ms=-1 if received_ms is None else int(now_ms - received_ms),
            configuration_revision=position.configuration_revision,
            members_version=position.members_version,
            platform_age_ms=position.platform_age_ms,
            view_digest=self._view.digest(self.availability_zone),
            records=tuple(self._view.gossip.take(UPDATE_LIMIT, send_count)),
            # Digests do not repair the loss of these, so they are sent more often.
            backend_records=tuple(
                self.backends.gossip.take(
                    UPDATE_LIMIT, BACKEND_SEND_FACTOR * send_count
                )
            ),
        )


def _sample_one(random: Random, hosts: Iterable[str]) -> list[str]:
    ordered = sorted(hosts)
    return [random.choice(ordered)] if ordered else []


def _send_count(host_count: int) -> int:
    """Return how many times an update is sent; digests repair what hosts miss."""
    return max(1, host_count.bit_length())
