"""Tells other hosts at which software version a stream began, and asks them.

A caller may take a broken stream up at any host. Three other hosts, of three zones if
there are, keep the version of each stream: it outlives its host at the cost of three
datagrams. In a large fleet the delegates of the zone and of one other zone keep it. A
host that has started again is told of the streams in flight that it should know. A host
that does not know a stream asks the hosts that may, which costs nothing before.
"""

from typing import NamedTuple

import gevent
from gevent.event import AsyncResult

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.ownership import rank_hosts
from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.decisions.software_versions import begun_at
from gypsumfield.decisions.software_versions import VersionRequirement
from gypsumfield.decisions.stream_origins import stream_key
from gypsumfield.decisions.stream_origins import StreamOrigins
from gypsumfield.events import StreamTakenUp
from gypsumfield.gateway.host_updates import HostCard
from gypsumfield.gateway.host_updates import HostUpdate
from gypsumfield.gateway.host_updates import OriginQuery
from gypsumfield.gateway.host_updates import StreamOrigin
from gypsumfield.gateway.host_updates import UpdateKind
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.pending_replies import PendingReplies
from gypsumfield.gateway.update_writer import UpdateWriter
from gypsumfield.interfaces import EmitEvent

# Hosts answer within a few milliseconds; small ones that are busy take longer.
ANSWER_TIMEOUT_MS = 60.0
# Datagrams may be lost.
QUERY_ATTEMPTS = 3

ORIGIN_KINDS = frozenset(
    {UpdateKind.ORIGIN, UpdateKind.ORIGIN_QUERY, UpdateKind.ORIGIN_REPLY}
)


class TakeoverDependencies(NamedTuple):
    """Dependencies of `StreamTakeover`.

    Attributes:
        writer: Encodes and sends datagrams, and holds the roster.
        clock: Monotonic clock.
        emit: Writes an event to the log.
    """

    writer: UpdateWriter
    clock: Clock
    emit: EmitEvent


class StreamTakeover:
    """Records where streams began, here and at other hosts."""

    def __init__(self, deps: TakeoverDependencies) -> None:
        self._deps = deps
        self._origins = StreamOrigins()
        self._replies: PendingReplies[str] = PendingReplies()
        # Versions of the streams in flight at this host.
        self._in_flight: dict[int, str] = {}

    def requirement(self, job: Job) -> VersionRequirement:
        """Return at which version a call may run; blocks while other hosts are asked.

        A call that takes up a stream of which no host knows may run nowhere.
        """
        call = job.call
        if not call.resumed_id and not call.last_event_id:
            return ANY_VERSION
        version, source = "", "unknown"
        if call.resumed_id:
            key = _key_of(job)
            known = self._origins.find(key, self._deps.clock.monotonic_ms())
            if known is not None:
                version, source = known, "this host"
            elif asked := self._ask(key):
                version, source = asked, "another host"
        self._deps.emit(
            StreamTakenUp(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                resumed_id=call.resumed_id,
                begun_version=version,
                source=source if version else "unknown",
            )
        )
        return begun_at(version)

    def record_begun(self, job: Job, version: str) -> None:
        """Record that a stream has its first event, here and at other hosts."""
        key = _key_of(job)
        self._in_flight[key] = version
        self._origins.record(key, version, self._deps.clock.monotonic_ms())
        self._send_origin(StreamOrigin(key, version), self._keepers(key))

    def record_ended(self, job: Job) -> None:
        """Record that a stream is no longer in flight; its version stays known."""
        self._in_flight.pop(_key_of(job), None)

    def tell_started_host(self, card: HostCard) -> None:
        """Send a host that has started the streams in flight that it should know."""
        for key, version in list(self._in_flight.items()):
            if card.host_id in (keeper.host_id for keeper in self._keepers(key)):
                self._send_origin(StreamOrigin(key, version), [card])

    def handle_update(self, update: HostUpdate) -> None:
        """Handle a record, a query or a reply of another host."""
        if update.origin is not None:
            self._store(update.origin, update.kind, update.sender)
        if update.origin_query is not None:
            self._answer(update.origin_query)

    def _store(self, origin: StreamOrigin, kind: UpdateKind, sender: HostCard) -> None:
        now_ms = self._deps.clock.monotonic_ms()
        self._origins.record(origin.key, origin.version, now_ms)
        if kind is UpdateKind.ORIGIN_REPLY:
            self._replies.resolve(origin.number, origin.version)
            return
        roster = self._deps.writer.deps.roster
        is_local = sender.availability_zone == roster.own_card.availability_zone
        if roster.is_large and is_local and roster.is_first_delegate:
            self._send_origin(origin, self._remote_keepers(origin.key))

    def _answer(self, query: OriginQuery) -> None:
        version = self._origins.find(query.key, self._deps.clock.monotonic_ms())
        if version is not None:
            writer = self._deps.writer
            reply = StreamOrigin(query.key, version, query.number)
            datagram = writer.encode(UpdateKind.ORIGIN_REPLY, origin=reply)
            writer.deps.send(query.reply_ip, datagram)
            return
        roster = self._deps.writer.deps.roster
        if roster.is_large and roster.is_delegate and not query.is_forwarded:
            self._send_query(query.forwarded(), self._remote_representatives())

    def _ask(self, key: int) -> str:
        """Return the version that another host knows, or an empty string."""
        roster = self._deps.writer.deps.roster
        for _ in range(QUERY_ATTEMPTS):
            pending = AsyncResult()
            number = self._replies.add(pending.set)
            query = OriginQuery(number, key, roster.own_card.ip)
            hosts = self._hosts_to_ask()
            if not hosts:
                return ""
            self._send_query(query, hosts)
            try:
                return str(pending.get(timeout=ANSWER_TIMEOUT_MS / MS_PER_S))
            except gevent.Timeout:
                continue
            finally:
                self._replies.discard(number)
        return ""

    def _hosts_to_ask(self) -> list[HostCard]:
        roster = self._deps.writer.deps.roster
        if not roster.is_large:
            return [peer.card for peer in roster.live_hosts()]
        cards = [peer.card for peer in roster.live_local_delegates()]
        if roster.is_delegate:
            cards += self._remote_representatives()
        return cards

    def _keepers(self, key: int) -> list[HostCard]:
        """Return the hosts that keep the version of a stream of this host."""
        roster = self._deps.writer.deps.roster
        if roster.is_large:
            keepers = [peer.card for peer in roster.live_local_delegates()]
            if roster.is_first_delegate:
                keepers += self._remote_keepers(key)
            return keepers
        local_hosts = [peer.card for peer in roster.local_hosts()]
        nearest = self._best(key, local_hosts) + self._remote_keepers(key)
        zones = {card.availability_zone for card in nearest}
        others = [
            peer.card
            for peer in roster.live_hosts()
            if peer.card.availability_zone not in zones
            and peer.card.availability_zone != roster.own_card.availability_zone
        ]
        return nearest + self._best(key, others)

    def _remote_keepers(self, key: int) -> list[HostCard]:
        roster = self._deps.writer.deps.roster
        if roster.is_large:
            return self._best(key, self._remote_representatives())
        own_zone = roster.own_card.availability_zone
        cards = [peer.card for peer in roster.live_hosts()]
        remote = [card for card in cards if card.availability_zone != own_zone]
        return self._best(key, remote)

    def _remote_representatives(self) -> list[HostCard]:
        """Return the first delegates of the other zones of a large fleet."""
        peers = self._deps.writer.deps.roster.remote_delegates()
        return [peer.card for peer in peers if peer.is_zone_representative] or [
            peer.card for peer in peers
        ]

    @staticmethod
    def _best(key: int, cards: list[HostCard]) -> list[HostCard]:
        by_id = {card.host_id: card for card in cards}
        return [by_id[host_id] for host_id in rank_hosts(str(key), by_id)[:1]]

    def _send_origin(self, origin: StreamOrigin, hosts: list[HostCard]) -> None:
        writer = self._deps.writer
        datagram = writer.encode(UpdateKind.ORIGIN, origin=origin)
        for card in hosts:
            writer.deps.send(card.ip, datagram)

    def _send_query(self, query: OriginQuery, hosts: list[HostCard]) -> None:
        writer = self._deps.writer
        datagram = writer.encode(UpdateKind.ORIGIN_QUERY, origin_query=query)
        for card in hosts:
            writer.deps.send(card.ip, datagram)


def _key_of(job: Job) -> int:
    """Return the key of the stream that a call begins or takes up."""
    request_id = job.call.resumed_id or job.request_id
    return stream_key(job.account_name, job.call.host, job.target, request_id)
