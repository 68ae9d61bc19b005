"""Updates in a small fleet: every host sends to every other one.

Each engine has one host that counts its runs: the others send it theirs, and it sends
them the sum.
"""

from gypsumfield.decisions.fleet_roles import is_store_watcher
from gypsumfield.decisions.fleet_roles import select_counting_host
from gypsumfield.decisions.memory_shares import HostPlace
from gypsumfield.gateway.host_updates import HostUpdate
from gypsumfield.gateway.host_updates import UpdateKind
from gypsumfield.gateway.update_writer import coarse_loads
from gypsumfield.gateway.update_writer import loads_by_server
from gypsumfield.gateway.update_writer import SendRound
from gypsumfield.gateway.update_writer import UpdateWriter
from gypsumfield.gateway.wire_loads import WireLoad

# Hosts that an update lists in rotation, in addition to the best ranked of each zone.
HOSTS_PER_UPDATE = 8


class SmallFleet:
    """Sends and handles the updates of a small fleet."""

    def __init__(self, writer: UpdateWriter) -> None:
        self._writer = writer
        self._last_sent: dict[str, list[tuple[str, int, int]]] = {}
        # Both are derived from the live hosts.
        self._counting_hosts: dict[str, str] = {}
        self._zones_cache: dict[str, str] | None = None

    def clear_host_cache(self) -> None:
        """Discard what was derived from the live hosts, because these have changed."""
        self._zones_cache = None
        self._counting_hosts.clear()

    @property
    def _zones(self) -> dict[str, str]:
        if self._zones_cache is None:
            self._zones_cache = self._writer.deps.roster.zone_by_host()
        return self._zones_cache

    def should_track_engine(self, server_id: str, availability_zone: str) -> bool:
        """Return whether this host polls an engine's reports and totals its load."""
        own_id = self._writer.deps.roster.own_card.host_id
        return self._counting_host(server_id, availability_zone) == own_id

    def should_watch_store(self) -> bool:
        """Return whether this host watches the store itself.

        It does as a watcher of its zone, and whenever no watcher of its zone
        reports that it reaches the store.
        """
        roster = self._writer.deps.roster
        if is_store_watcher(roster.own_card.host_id, self._zones):
            return True
        return not any(
            peer.is_store_reachable and is_store_watcher(peer.card.host_id, self._zones)
            for peer in roster.local_hosts()
            if peer.card.host_id in self._zones
        )

    def send_updates(self, send_round: SendRound) -> None:
        """Send each live host its update, if one is due."""
        writer = self._writer
        changes, changes_after = writer.collect_changes()
        counted_servers = self._counted_servers()
        own_loads = self._own_loads()
        has_unsent = writer.has_unsent_parts or writer.has_unsent_refusals
        limits = writer.due_limits(send_round)
        parts = writer.due_parts(send_round)
        lacks = writer.deps.lacks.wire_own()
        for peer in writer.deps.roster.live_hosts():
            host_id = peer.card.host_id
            receiver_loads = own_loads.get(host_id, [])
            shared = self._shared_loads(host_id, counted_servers)
            has_changed = self._update_last_sent(host_id, receiver_loads, shared)
            if not (
                send_round.is_heartbeat_due
                or has_changed
                or changes_after
                or has_unsent
            ):
                continue
            datagram = writer.encode(
                UpdateKind.PEER,
                known_hosts=writer.deps.roster.cards_to_announce(
                    send_round.round_number, HOSTS_PER_UPDATE
                ),
                own_loads=receiver_loads,
                shared_loads=shared,
                reports=writer.wire_reports(writer.deps.report_cache.queried_reports()),
                leaving=writer.leaving(),
                changes=changes,
                changes_after=max(0, changes_after),
                parts=parts,
                lacks=lacks,
                **limits,
            )
            writer.deps.send(peer.card.ip, datagram)

    def handle_update(self, update: HostUpdate) -> None:
        """Apply the loads and reports that another host has sent."""
        deps = self._writer.deps
        now_ms = deps.clock.monotonic_ms()
        deps.ledger.update_peer_loads(
            update.sender.host_id, loads_by_server(update.own_loads), now_ms
        )
        deps.engine_paces.record_peer_loads(update.sender.host_id, update.own_loads)
        for server_id, load in loads_by_server(update.shared_loads or []).items():
            deps.ledger.set_other_hosts_load(server_id, load, now_ms)
        sender = update.sender
        place = HostPlace(sender.availability_zone, sender.host_id)
        deps.lacks.store(place, update.lacks)
        self._writer.store_reports(update)

    def _counting_host(self, server_id: str, availability_zone: str) -> str:
        if server_id not in self._counting_hosts:
            self._counting_hosts[server_id] = select_counting_host(
                server_id, availability_zone, self._zones
            )
        return self._counting_hosts[server_id]

    def _update_last_sent(
        self, host_id: str, receiver_loads: list[WireLoad], shared: list[WireLoad]
    ) -> bool:
        """Record the loads sent to a host; return whether they changed noticeably."""
        coarse = coarse_loads([*receiver_loads, *shared])
        has_changed = self._last_sent.get(host_id, []) != coarse
        self._last_sent[host_id] = coarse
        return has_changed

    def _own_loads(self) -> dict[str, list[WireLoad]]:
        """Return this host's runs by the host that counts the runs of their engine."""
        deps = self._writer.deps
        loads: dict[str, list[WireLoad]] = {}
        for load in self._writer.own_wire_loads(deps.ledger.own_loads()):
            record = deps.catalogue.find_server(load.server_id)
            if record is None:
                continue
            zone = record.server.availability_zone
            host_id = self._counting_host(load.server_id, zone)
            loads.setdefault(host_id, []).append(load)
        return loads

    def _counted_servers(self) -> list[str]:
        deps = self._writer.deps
        counted_servers = []
        for server_id in deps.ledger.servers_with_runs():
            record = deps.catalogue.find_server(server_id)
            if record is not None and self.should_track_engine(
                server_id, record.server.availability_zone
            ):
                counted_servers.append(server_id)
        return counted_servers

    def _shared_loads(
        self, receiver: str, counted_servers: list[str]
    ) -> list[WireLoad]:
        deps = self._writer.deps
        now_ms = deps.clock.monotonic_ms()
        return [
            WireLoad(
                server_id,
                *deps.ledger.load_excluding_peer(server_id, receiver, now_ms),
            )
            for server_id in counted_servers
        ]
