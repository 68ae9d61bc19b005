"""Updates in a large fleet: exchanged through the delegates of each zone.

Hosts send to the delegates of their zone, and these send to one another. An ordinary
host sends and receives a few datagrams a second whatever the size of the fleet; the
first delegate of a zone sends each host of the zone the same digest.
"""

from collections.abc import Callable

from gypsumfield.decisions.fleet_roles import is_store_slot
from gypsumfield.decisions.fleet_roles import lowest_cold_score
from gypsumfield.decisions.fleet_roles import select_watching_zones
from gypsumfield.decisions.memory_shares import HostPlace
from gypsumfield.decisions.ownership import score_of
from gypsumfield.gateway.advice import Adviser
from gypsumfield.gateway.host_updates import ColdScoreLimit
from gypsumfield.gateway.host_updates import HostUpdate
from gypsumfield.gateway.host_updates import UpdateKind
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.update_writer import coarse_loads
from gypsumfield.gateway.update_writer import loads_by_server
from gypsumfield.gateway.update_writer import SendRound
from gypsumfield.gateway.update_writer import UpdateWriter
from gypsumfield.gateway.update_writer import wire_loads

# Number of hosts of the zone that a digest lists in rotation, so that the hosts of the
# zone find each other again when both delegates are lost at once.
HOSTS_PER_DIGEST = 4
# Permission to send to a cold server expires this long after the digest that gave it.
COLD_LIMIT_LIFETIME_MS = 1_200.0
# An ordinary host to which no delegate has forwarded changes for this time watches the
# store itself, in its time slot: see `is_store_slot`.
STORE_FALLBACK_MS = 1_500.0
_ZONE_SOURCE_PREFIX = "zone "

# Returns the cold servers of a zone, each with the requests a second that all hosts
# together may send to it.
ColdServers = Callable[[str], list[tuple[BackendServer, int]]]


class LargeFleet:
    """Sends and handles the updates of a large fleet."""

    def __init__(
        self, writer: UpdateWriter, cold_servers: ColdServers, adviser: Adviser
    ) -> None:
        self._writer = writer
        self._adviser = adviser
        self._cold_servers = cold_servers
        self._sent_loads: dict[str, ServerLoad] = {}
        self._sent_leaving: set[str] = set()
        self._cold_limits: dict[str, tuple[tuple[int, str], float]] = {}
        self._changes_received_ms = writer.deps.clock.monotonic_ms()

    @property
    def is_receiving_changes(self) -> bool:
        """Whether this host receives changes, from the store or from other hosts."""
        roster = self._writer.deps.roster
        if self._writer.deps.is_store_reachable():
            return True
        if roster.is_delegate:
            return any(peer.is_store_reachable for peer in roster.remote_delegates())
        return any(peer.is_receiving_changes for peer in roster.live_local_delegates())

    def should_track_engine(self, _server_id: str, availability_zone: str) -> bool:
        """Return whether this host polls the engines of a zone for their reports."""
        roster = self._writer.deps.roster
        return (
            roster.is_first_delegate
            and availability_zone == roster.own_card.availability_zone
        )

    def should_watch_store(self) -> bool:
        """Return whether this host watches the store itself.

        The first delegates of two zones do. Another host does when no other host
        forwards changes to it.
        """
        deps = self._writer.deps
        roster = deps.roster
        if roster.is_first_delegate:
            zones = {
                peer.card.availability_zone
                for peer in roster.remote_delegates()
                if peer.is_store_reachable
            }
            own_zone = roster.own_card.availability_zone
            return own_zone in select_watching_zones({*zones, own_zone})
        now_ms = deps.clock.monotonic_ms()
        if any(peer.is_receiving_changes for peer in roster.live_local_delegates()):
            self._changes_received_ms = now_ms
            return False
        if roster.is_delegate:
            return True
        is_slot = is_store_slot(roster.own_card.host_id, now_ms)
        return is_slot and now_ms - self._changes_received_ms > STORE_FALLBACK_MS

    def cold_rate_limit(self, server: BackendServer) -> int:
        """Return how many requests a second this host may send to a cold server."""
        roster = self._writer.deps.roster
        now_ms = self._writer.deps.clock.monotonic_ms()
        limit, received_ms = self._cold_limits.get(server.server_id, ((0, ""), 0.0))
        if not received_ms or now_ms - received_ms > COLD_LIMIT_LIFETIME_MS:
            return 0
        return int(score_of(server.server_id, roster.own_card.host_id) >= limit)

    def send_updates(self, send_round: SendRound) -> None:
        """Send the updates that are due, according to the role of this host."""
        roster = self._writer.deps.roster
        if roster.is_first_delegate:
            self._send_as_first_delegate(send_round)
            return
        self._send_to_delegates(send_round)
        if roster.is_delegate and send_round.is_slow_heartbeat_due:
            self._send_as_standby(send_round)

    def handle_update(self, update: HostUpdate) -> None:
        """Apply the loads, reports and cold limits that another host has sent."""
        deps = self._writer.deps
        roster = deps.roster
        now_ms = deps.clock.monotonic_ms()
        zone = update.sender.availability_zone
        is_local = zone == roster.own_card.availability_zone
        if update.kind is UpdateKind.MEMBER and is_local:
            loads = loads_by_server(update.own_loads)
            deps.ledger.update_peer_loads(update.sender.host_id, loads, now_ms)
            deps.engine_paces.record_peer_loads(update.sender.host_id, update.own_loads)
            deps.lacks.store(HostPlace(zone, update.sender.host_id), update.lacks)
            if not roster.is_delegate:
                # The sender regards this host as a delegate; the hello lists hosts
                # that rank higher.
                self._writer.send_hello(update.sender.ip)
        elif update.kind is UpdateKind.ZONE and not is_local:
            loads = loads_by_server(update.own_loads)
            deps.ledger.update_peer_loads(f"{_ZONE_SOURCE_PREFIX}{zone}", loads, now_ms)
            deps.lacks.store(HostPlace(zone), update.lacks)
            self._writer.store_reports(update)
        elif update.kind is UpdateKind.DIGEST and is_local:
            self._apply_digest(update, now_ms)
        elif update.query is not None and is_local:
            self._adviser.answer(update.sender.ip, update.query)
        elif update.advice is not None:
            self._adviser.receive_advice(update.advice)

    def _apply_digest(self, update: HostUpdate, now_ms: float) -> None:
        deps = self._writer.deps
        if deps.roster.local_delegates()[:1] != [update.sender.host_id]:
            return
        if update.shared_loads is not None:
            totals = loads_by_server(update.shared_loads)
            deps.ledger.replace_other_hosts_loads(totals, self._sent_loads, now_ms)
            self._store_cold_limits(update.cold_limits)
            deps.lacks.store_total(update.lacks)
        self._writer.store_reports(update)

    def _store_cold_limits(self, limits: list[ColdScoreLimit]) -> None:
        now_ms = self._writer.deps.clock.monotonic_ms()
        self._cold_limits = {
            limit.server_id: ((limit.score, limit.host_id), now_ms) for limit in limits
        }

    def _send_to_delegates(self, send_round: SendRound) -> None:
        """Send the loads of this host's runs to the delegates of its zone."""
        writer = self._writer
        loads = writer.deps.ledger.own_loads()
        wire_own_loads = writer.own_wire_loads(loads)
        leaving = writer.leaving()
        unsent_leaving = {server.server_id for server in leaving} - self._sent_leaving
        has_changed = coarse_loads(wire_own_loads) != coarse_loads(
            wire_loads(self._sent_loads)
        )
        # Only first delegates send changes; this call just advances the sent revision.
        writer.collect_changes()
        is_urgent = (
            bool(unsent_leaving)
            or writer.has_unsent_parts
            or writer.has_unsent_refusals
        )
        if not (send_round.is_heartbeat_due or has_changed or is_urgent):
            return
        self._sent_leaving = {server.server_id for server in leaving}
        datagram = writer.encode(
            UpdateKind.MEMBER,
            own_loads=wire_own_loads,
            leaving=leaving,
            parts=writer.due_parts(send_round),
            lacks=writer.deps.lacks.wire_own(),
            **writer.due_limits(send_round),
        )
        for number, peer in enumerate(writer.deps.roster.live_local_delegates()):
            if number == 0 or send_round.is_slow_heartbeat_due or is_urgent:
                writer.deps.send(peer.card.ip, datagram)
                self._sent_loads = loads

    def _send_as_first_delegate(self, send_round: SendRound) -> None:
        """Send a digest to the hosts of the zone, and its loads to other zones."""
        writer = self._writer
        deps = writer.deps
        changes, changes_after = writer.collect_changes()
        leaving = writer.leaving()
        unsent_leaving = {server.server_id for server in leaving} - self._sent_leaving
        is_urgent = (
            bool(unsent_leaving)
            or writer.has_unsent_parts
            or writer.has_unsent_refusals
        )
        if not (send_round.is_heartbeat_due or changes_after or is_urgent):
            return
        self._sent_leaving = {server.server_id for server in leaving}
        now_ms = deps.clock.monotonic_ms()
        local_hosts = deps.roster.local_hosts()
        shared_fields = {
            "leaving": leaving,
            "changes": changes,
            "changes_after": max(0, changes_after),
            "parts": writer.due_parts(send_round),
            **writer.due_limits(send_round),
        }
        cold_limits = self._select_cold_limits()
        self._store_cold_limits(cold_limits)
        totals = deps.ledger.combined_loads(lambda host_id: True, now_ms)
        digest = writer.encode(
            UpdateKind.DIGEST,
            known_hosts=deps.roster.cards_to_announce(
                send_round.round_number * HOSTS_PER_DIGEST, HOSTS_PER_DIGEST
            ),
            shared_loads=wire_loads(totals),
            reports=writer.wire_reports(deps.report_cache.unexpired_reports()),
            cold_limits=cold_limits,
            lacks=deps.lacks.wire_sum(has_zones=True),
            **shared_fields,
        )
        for peer in local_hosts:
            deps.send(peer.card.ip, digest)
        if not (send_round.is_heartbeat_due or is_urgent or deps.is_store_reachable()):
            # The changes came from another zone, which sends them to the others too.
            return
        zone_loads = deps.ledger.combined_loads(
            lambda host_id: not host_id.startswith(_ZONE_SOURCE_PREFIX), now_ms
        )
        zone_update = writer.encode(
            UpdateKind.ZONE,
            known_hosts=deps.roster.cards_to_announce(0, 0),
            own_loads=wire_loads(zone_loads),
            reports=writer.wire_reports(deps.report_cache.queried_reports()),
            lacks=deps.lacks.wire_sum(has_zones=False),
            **shared_fields,
        )
        for peer in deps.roster.remote_delegates():
            deps.send(peer.card.ip, zone_update)

    def _send_as_standby(self, send_round: SendRound) -> None:
        """Send heartbeats of the standby delegate to its zone and to other zones."""
        writer = self._writer
        roster = writer.deps.roster
        known_hosts = roster.cards_to_announce(
            send_round.round_number, HOSTS_PER_DIGEST
        )
        digest = writer.encode(UpdateKind.DIGEST, known_hosts=known_hosts)
        for peer in roster.local_hosts():
            writer.deps.send(peer.card.ip, digest)
        for peer in roster.remote_delegates():
            writer.send_hello(peer.card.ip)

    def _select_cold_limits(self) -> list[ColdScoreLimit]:
        """Return which hosts of the zone may send to its cold servers."""
        roster = self._writer.deps.roster
        if not roster.is_settled or not roster.has_most_of_zone:
            return []
        hosts = [
            roster.own_card.host_id,
            *(peer.card.host_id for peer in roster.local_hosts()),
        ]
        limits = []
        for server, bound_per_s in self._cold_servers(
            roster.own_card.availability_zone
        ):
            score = lowest_cold_score(server.server_id, hosts, bound_per_s)
            if score is not None:
                limits.append(ColdScoreLimit(server.server_id, *score))
        return limits
