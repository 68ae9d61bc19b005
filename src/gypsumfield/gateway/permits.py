"""Permits for requests to servers that name a limit, exchanged between hosts.

A host asks the first delegate of its zone before each request to such a server. The
delegate grants the part of its zone; when that is used up, it forwards the query to the
delegate of another zone, which replies directly to the asking host.
"""

import itertools
from collections import deque
from collections.abc import Callable
from collections.abc import Collection
from typing import NamedTuple

import gevent
from gevent.event import AsyncResult
from gevent.event import Event as Signal

from gypsumfield.aborts import AbortHandle
from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.fleet_roles import HostRank
from gypsumfield.decisions.fleet_roles import rank_delegates
from gypsumfield.decisions.permits import granting_zones
from gypsumfield.decisions.permits import PermitSchedule
from gypsumfield.decisions.permits import PermitSlot
from gypsumfield.decisions.permits import wait_limit_ms
from gypsumfield.decisions.permits import zone_rate_per_s
from gypsumfield.gateway.events import PermitRefused
from gypsumfield.gateway.host_counts import HOST_RETENTION_MS
from gypsumfield.gateway.host_counts import RecentMaximum
from gypsumfield.gateway.host_updates import HostCard
from gypsumfield.gateway.host_updates import HostUpdate
from gypsumfield.gateway.host_updates import PermitQuery
from gypsumfield.gateway.host_updates import PermitReply
from gypsumfield.gateway.host_updates import UpdateKind
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.pending_replies import PendingReplies
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.gateway.update_writer import UpdateWriter
from gypsumfield.interfaces import EmitEvent

NO_PERMIT_REASON = "there is no permit under the server's limit"
# A delegate replies within a few milliseconds, also when another zone has to.
REPLY_TIMEOUT_MS = 30.0
# A delegate that did not reply gets no queries for this time, and a server for which no
# host can reply gets no requests.
NO_REPLY_PAUSE_MS = 500.0
# The first delegate, and the standby if that does not reply.
QUERY_ATTEMPTS = 2
# Permits that are used up are queried again after this time at the latest: the limit
# may have changed.
MAX_REFUSAL_MS = 2_000.0
# A permit expires this long after its slot; a connect takes less.
PERMIT_LIFETIME_MS = 500.0


class PermitDependencies(NamedTuple):
    """Dependencies of `Permits`.

    Attributes:
        availability_zones: Zones of the installation, each with a part of every limit.
        writer: Encodes and sends datagrams, and holds the roster.
        notices: Limits that servers have named.
        clock: Monotonic clock.
        emit: Writes an event to the log.
    """

    availability_zones: Collection[str]
    writer: UpdateWriter
    notices: ServerNotices
    clock: Clock
    emit: EmitEvent


class _SentQuery(NamedTuple):
    """Number of a query, and the address of the host that has to answer it."""

    number: int
    ip: str


class Permits:
    """Acquires permits for the requests of this host, and grants those of its zone."""

    def __init__(self, deps: PermitDependencies) -> None:
        self._deps = deps
        self._roster = deps.writer.deps.roster
        self._schedule = PermitSchedule()
        self._replies: PendingReplies[PermitReply] = PendingReplies()
        self._held: dict[str, deque[float]] = {}
        self._refused_until_ms: dict[str, float] = {}
        self._zone_host_count = RecentMaximum(deps.clock)
        self._has_heard_peers = False
        self._silent_until_ms: dict[str, float] = {}
        self._forward_numbers = itertools.count()

    def acquire_for_job(
        self, job: Job, server: BackendServer, candidate_count: int
    ) -> bool:
        """Acquire a permit for a call, and return whether the call may be sent.

        The call waits for the permit of its only candidate, while it can still be
        answered in time. A server that was refused is no candidate until it has a
        permit again.

        Args:
            job: The call.
            server: The server that was selected for it.
            candidate_count: Servers that could be selected, this one included.
        """
        max_wait_ms = 0.0
        if candidate_count == 1:
            waited_ms = self._deps.clock.monotonic_ms() - job.started_ms
            max_wait_ms = wait_limit_ms(job.route.target_latency_ms, waited_ms)
        return self.acquire(server, max_wait_ms, job.abort, job.request_id)

    def acquire(
        self,
        server: BackendServer,
        max_wait_ms: float,
        abort: AbortHandle,
        request_id: str = "",
    ) -> bool:
        """Wait for a permit for one request, and return whether it was granted.

        Args:
            server: The server; without a limit, every request is permitted.
            max_wait_ms: Longest wait for the permit.
            abort: Ends the wait when the request is cancelled.
            request_id: Id of the request, for the log.
        """
        if self._deps.notices.limit_per_s(server) is None:
            return True
        reply = self._query(server, max_wait_ms)
        if not reply.is_granted:
            self._record_refusal(server, reply.wait_ms, max_wait_ms, request_id)
            return False
        if reply.wait_ms > 0.0:
            signal = Signal()
            abort.attach(signal.set)
            signal.wait(reply.wait_ms / MS_PER_S)
            abort.attach(None)
        now_ms = self._deps.clock.monotonic_ms()
        held = self._held.setdefault(server.server_id, deque())
        held.append(now_ms + PERMIT_LIFETIME_MS)
        return not abort.reason

    def consume(self, server: BackendServer) -> bool:
        """Use up a permit right before a request is sent; return False without one."""
        if self._deps.notices.limit_per_s(server) is None:
            return True
        now_ms = self._deps.clock.monotonic_ms()
        held = self._held.get(server.server_id, deque())
        while held:
            if held.popleft() >= now_ms:
                return True
        self._held.pop(server.server_id, None)
        return False

    def wait_ms(self, server: BackendServer) -> float:
        """Return the time for which no permit is to be had for a server, or 0."""
        until_ms = self._refused_until_ms.get(server.server_id)
        if until_ms is None:
            return 0.0
        remaining_ms = until_ms - self._deps.clock.monotonic_ms()
        if remaining_ms <= 0.0 or self._deps.notices.limit_per_s(server) is None:
            del self._refused_until_ms[server.server_id]
            return 0.0
        return remaining_ms

    def request(
        self,
        server: BackendServer,
        max_wait_ms: float,
        receive: Callable[[PermitReply], None],
    ) -> _SentQuery:
        """Query for a permit without waiting.

        The query goes to the first delegate of the zone. While that does not reply, it
        goes to the standby, which forwards it.

        Args:
            server: A server that has named a limit.
            max_wait_ms: Longest wait for the permit's slot.
            receive: Called with the reply, possibly before this function returns.
        """
        roster = self._roster
        number = self._replies.add(receive)
        query = PermitQuery(number, server.server_id, max_wait_ms, roster.own_card.ip)
        now_ms = self._deps.clock.monotonic_ms()
        ips = [
            peer.card.ip
            for peer in roster.live_local_delegates()
            if self._silent_until_ms.get(peer.card.ip, 0.0) <= now_ms
        ]
        if roster.is_first_delegate or not ips:
            self._answer(query)
            return _SentQuery(number, roster.own_card.ip)
        self._send(ips[0], UpdateKind.PERMIT_QUERY, query=query)
        return _SentQuery(number, ips[0])

    def handle_update(self, update: HostUpdate) -> None:
        """Handle a query for a permit or the reply to one."""
        if update.permit_query is not None:
            self._answer(update.permit_query)
        if update.permit_reply is not None:
            self._replies.resolve(update.permit_reply.number, update.permit_reply)

    def record_zone_hosts(self) -> None:
        """Record how many hosts of the zone are live; called at each heartbeat."""
        self._has_heard_peers |= bool(self._roster.live_hosts())
        self._zone_host_count.record(len(self._roster.local_hosts()) + 1)

    def _query(self, server: BackendServer, max_wait_ms: float) -> PermitReply:
        reply = None
        for _ in range(QUERY_ATTEMPTS):
            pending = AsyncResult()
            sent = self.request(server, max_wait_ms, pending.set)
            try:
                reply = pending.get(timeout=REPLY_TIMEOUT_MS / MS_PER_S)
                break
            except gevent.Timeout:
                silent_ms = self._deps.clock.monotonic_ms() + NO_REPLY_PAUSE_MS
                self._silent_until_ms[sent.ip] = silent_ms
            finally:
                self._replies.discard(sent.number)
        return reply or PermitReply(0, False, NO_REPLY_PAUSE_MS)

    def _record_refusal(
        self,
        server: BackendServer,
        wait_ms: float,
        max_wait_ms: float,
        request_id: str,
    ) -> None:
        now_ms = self._deps.clock.monotonic_ms()
        # Nothing else removes the entries of servers that are gone.
        for server_id, until_ms in list(self._refused_until_ms.items()):
            if until_ms <= now_ms:
                del self._refused_until_ms[server_id]
        self._refused_until_ms[server.server_id] = now_ms + min(wait_ms, MAX_REFUSAL_MS)
        limit_per_s = self._deps.notices.limit_per_s(server)
        self._deps.emit(
            PermitRefused(
                request_id=request_id,
                service=server.service,
                backend_server=server.server_id,
                limit_per_s=limit_per_s or 0.0,
                wait_ms=wait_ms,
                max_wait_ms=max_wait_ms,
            )
        )

    def _answer(self, query: PermitQuery) -> None:
        """Grant or refuse a permit of this zone, or forward the query to another."""
        record = self._deps.notices.limits.find(query.server_id)
        limit_per_s = record.statement.limit_per_s if record else None
        if record is None or limit_per_s is None:
            self._reply(query, PermitSlot(True, 0.0))
            return
        zones = granting_zones(query.server_id, limit_per_s, self._zones())
        slot = self._take_slot(query, limit_per_s, record.started_wall_ms, zones)
        if not slot.is_granted and not query.is_forwarded:
            remote = self._remote_granters(zones)
            if remote:
                card = remote[next(self._forward_numbers) % len(remote)]
                forwarded = query.forwarded(slot.wait_ms)
                self._send(card.ip, UpdateKind.PERMIT_QUERY, query=forwarded)
                return
        self._reply(query, slot)

    def _take_slot(
        self,
        query: PermitQuery,
        limit_per_s: float,
        started_wall_ms: int,
        zones: Collection[str],
    ) -> PermitSlot:
        roster = self._roster
        if not self._can_grant or roster.own_card.availability_zone not in zones:
            return PermitSlot(False, NO_REPLY_PAUSE_MS)
        rate_per_s = zone_rate_per_s(
            limit_per_s,
            len(zones),
            len(roster.local_hosts()) + 1,
            self._zone_host_count.value,
        )
        return self._schedule.take(
            query.server_id,
            started_wall_ms,
            rate_per_s,
            query.max_wait_ms,
            self._deps.clock.monotonic_ms(),
        )

    @property
    def _can_grant(self) -> bool:
        """Whether this host grants for its zone, and knows enough of it.

        A host that has received nothing since its start may be one of many behind a
        partition.
        """
        roster = self._roster
        if not roster.is_first_delegate:
            return False
        is_known = self._has_heard_peers or roster.is_alone
        return roster.is_settled and (is_known or roster.uptime_ms > HOST_RETENTION_MS)

    def _reply(self, query: PermitQuery, slot: PermitSlot) -> None:
        wait_ms = slot.wait_ms
        if not slot.is_granted and query.is_forwarded:
            wait_ms = min(wait_ms, query.home_wait_ms)
        reply = PermitReply(query.number, slot.is_granted, wait_ms)
        if query.reply_ip == self._roster.own_card.ip:
            self._replies.resolve(reply.number, reply)
        else:
            self._send(query.reply_ip, UpdateKind.PERMIT, reply=reply, query=query)

    def _send(
        self,
        ip: str,
        kind: UpdateKind,
        query: PermitQuery,
        reply: PermitReply | None = None,
    ) -> None:
        writer = self._deps.writer
        datagram = writer.encode(
            kind,
            limits=writer.wire_limits([query.server_id]),
            permit_query=query if reply is None else None,
            permit_reply=reply,
        )
        writer.deps.send(ip, datagram)

    def _zones(self) -> set[str]:
        roster = self._roster
        return {
            roster.own_card.availability_zone,
            *self._deps.availability_zones,
            *(peer.card.availability_zone for peer in roster.live_hosts()),
        }

    def _remote_granters(self, zones: Collection[str]) -> list[HostCard]:
        """Return the host of each other zone that grants its part of a limit."""
        roster = self._roster
        own_zone = roster.own_card.availability_zone
        # A fleet that has just become large has no representatives yet.
        peers = [
            peer for peer in roster.remote_delegates() if peer.is_zone_representative
        ] or roster.live_hosts()
        by_zone: dict[str, dict[str, HostCard]] = {}
        for peer in peers:
            zone = peer.card.availability_zone
            if zone != own_zone and zone in zones:
                by_zone.setdefault(zone, {})[peer.card.host_id] = peer.card
        granters = []
        for zone in sorted(by_zone):
            cards = by_zone[zone]
            ranks = [HostRank(c.host_id, zone, c.capacity) for c in cards.values()]
            granters.append(cards[rank_delegates(ranks)[0]])
        return granters
