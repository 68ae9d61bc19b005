"""Datagram link to the other hosts: liveness, configuration changes and loads.

Datagrams may be lost; the updates of the next heartbeat round replace them.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import gevent
import gevent.socket
from gevent.event import Event as Signal

from gypsumfield.adapters.fair_reads import ReadTurn
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.brittle_servers import HostPosition
from gypsumfield.decisions.fleet_shares import cold_bound_per_s
from gypsumfield.decisions.fleet_shares import cold_share_per_s
from gypsumfield.decisions.ownership import rank_hosts
from gypsumfield.decisions.ownership import score_of
from gypsumfield.exceptions import InvalidDataError
from gypsumfield.gateway.advice import Adviser
from gypsumfield.gateway.events import PeerSeen
from gypsumfield.gateway.events import PeerSilent
from gypsumfield.gateway.host_updates import decode_update
from gypsumfield.gateway.host_updates import HostCard
from gypsumfield.gateway.host_updates import HostUpdate
from gypsumfield.gateway.host_updates import UpdateKind
from gypsumfield.gateway.large_fleet import LargeFleet
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.peer_dependencies import PeerDependencies
from gypsumfield.gateway.permits import PermitDependencies
from gypsumfield.gateway.permits import Permits
from gypsumfield.gateway.published_items import StoreItem
from gypsumfield.gateway.roster import Roster
from gypsumfield.gateway.scheduling import LackRecords
from gypsumfield.gateway.small_fleet import SmallFleet
from gypsumfield.gateway.stream_takeover import ORIGIN_KINDS
from gypsumfield.gateway.stream_takeover import StreamTakeover
from gypsumfield.gateway.stream_takeover import TakeoverDependencies
from gypsumfield.gateway.update_writer import SendRound
from gypsumfield.gateway.update_writer import UpdateWriter
from gypsumfield.gateway.update_writer import WriterDependencies
from gypsumfield.gateway.wake_watch import WakeWatch
from gypsumfield.loops import run_forever

# Changes are sent at once; without changes a heartbeat is sent in this interval.
HEARTBEAT_INTERVAL_MS = 400.0
MIN_SEND_INTERVAL_MS = 20.0
# Hosts place streams by the loads of a digest until the next one arrives: prompts
# that many hosts send to the same engine in between queue up there.
LARGE_FLEET_HEARTBEAT_INTERVAL_MS = 200.0
# A host of a large fleet has little processor time for updates.
LARGE_FLEET_MIN_SEND_INTERVAL_MS = 120.0
# Interval of the updates from and to standby delegates, and of the hellos to lost hosts
# and to seeds from which no message arrives.
SLOW_HEARTBEAT_INTERVAL_MS = 1_600.0
MAX_DATAGRAM_BYTES = 65_536
# A starting host receives messages of its fleet within this time, and need not list
# the store when a peer can serve its view.
DISCOVERY_MS = 300.0
# A host that still has no view after this time lists the store whatever its role.
STORE_LISTING_DELAY_MS = 1_500.0


class PeerLink:
    """Sends this host's updates and handles those of its peers.

    Attributes:
        bounds: Limits that this host has to keep; replaced when settings are reloaded.
        adviser: Requests engines for streams from the first delegate, and answers
            such requests.
        permits: Requests and grants permits for requests to servers with a limit.
        takeover: Software versions of streams that callers may take up again.
        lacks: Streams that lack memory, here and on other hosts.
    """

    def __init__(self, deps: PeerDependencies) -> None:
        settings = deps.settings
        self.bounds = settings.bounds
        self._deps = deps
        own_card = HostCard(
            settings.host_id,
            deps.boot_id,
            settings.ip,
            settings.availability_zone,
            settings.capacity,
        )
        self._seeds: list[str] = []
        self.set_seeds(settings.seed_ips)
        self._roster = Roster(own_card, not self._seeds, deps.clock)
        self._wake_watch = WakeWatch(deps.clock)
        self.lacks = LackRecords(settings.availability_zone, deps.clock)
        self._writer = UpdateWriter(
            WriterDependencies(
                roster=self._roster,
                catalogue=deps.catalogue,
                ledger=deps.ledger,
                report_cache=deps.report_cache,
                engine_paces=deps.engine_paces,
                notices=deps.notices,
                part_guard=deps.part_guard,
                lacks=self.lacks,
                is_store_reachable=self._is_store_reachable,
                is_receiving_changes=lambda: self._large.is_receiving_changes,
                lost_services=deps.lost_services,
                send=deps.send or self._send_datagram,
                clock=deps.clock,
                wake_watch=self._wake_watch,
            )
        )
        self._small = SmallFleet(self._writer)
        self.adviser = Adviser(self._writer, deps.clock, deps.emit)
        self.permits = Permits(
            PermitDependencies(
                settings.availability_zones,
                self._writer,
                deps.notices,
                deps.clock,
                deps.emit,
            )
        )
        self.takeover = StreamTakeover(
            TakeoverDependencies(self._writer, deps.clock, deps.emit)
        )
        self._large = LargeFleet(self._writer, self._cold_servers, self.adviser)
        self._update_pending = Signal()
        self._round_number = 0
        self._last_round_ms = 0.0
        self._last_slow_round_ms = 0.0
        self._greenlets: list[gevent.Greenlet] = []
        self._socket: Any = None
        self._read_turn = ReadTurn()
        deps.ledger.on_change(self._update_pending.set)
        deps.catalogue.on_change(self._update_pending.set)
        deps.part_guard.on_change(self._update_pending.set)
        deps.notices.on_refusal = self._update_pending.set

    def start(self) -> None:
        """Open the socket and begin to send and receive."""
        settings = self._deps.settings
        self._socket = gevent.socket.socket(
            gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM
        )
        self._socket.bind((settings.ip, settings.news_port))
        self._wake_watch.start()
        self._greenlets = [
            gevent.spawn(self._run_forever, "peer receiver", self._receive_round),
            gevent.spawn(self._run_forever, "peer sender", self._send_round),
        ]

    def stop(self) -> None:
        """Close the socket."""
        self._wake_watch.stop()
        gevent.killall(self._greenlets, block=False)
        if self._socket is not None:
            self._socket.close()

    def set_seeds(self, ips: Sequence[str]) -> None:
        """Replace the addresses through which this host finds its fleet."""
        self._seeds = [ip for ip in ips if ip != self._deps.settings.ip]

    @property
    def is_large_fleet(self) -> bool:
        """Whether the fleet is too large for updates between all pairs of hosts."""
        return self._roster.is_large

    @property
    def roster(self) -> Roster:
        """Hosts that messages arrive from, and the roles derived from them."""
        return self._roster

    @property
    def live_count(self) -> int:
        """Number of hosts that this host records as live, including itself."""
        return 1 + len(self._roster.live_hosts())

    def host_count(self) -> int | None:
        """Return how many hosts may exist, or None while too little is known."""
        return self._roster.host_count if self._roster.is_settled else None

    def cold_rate_limit(self, server: BackendServer) -> int:
        """Return how many requests a second this host may send to a cold server."""
        roster = self._roster
        if not roster.is_settled:
            return 0
        if roster.is_large:
            return self._large.cold_rate_limit(server)
        ranked = rank_hosts(server.server_id, roster.zone_by_host())
        return cold_share_per_s(
            self._cold_bound_per_s(server),
            roster.host_count,
            ranked.index(roster.own_card.host_id),
        )

    def position_at(self, server_id: str) -> HostPosition:
        """Return the rank of this host among all that may send to a server."""
        roster = self._roster
        own_id = roster.own_card.host_id
        if roster.is_large:
            # A host of a large fleet does not know all others.
            score = score_of(server_id, own_id)[0]
            return HostPosition(score % roster.host_count, roster.host_count)
        ranked = rank_hosts(server_id, roster.zone_by_host())
        return HostPosition(ranked.index(own_id), len(ranked))

    def _cold_bound_per_s(self, server: BackendServer) -> int:
        """Return how many requests a second all hosts may send to a cold server."""
        spec = self._deps.catalogue.service_spec(server.service)
        rate_per_s = spec.cold_requests_per_s if spec else 0.0
        bounds = self.bounds
        return cold_bound_per_s(rate_per_s, bounds.cold_factor, bounds.cold_extra)

    def _cold_servers(self, availability_zone: str) -> list[tuple[BackendServer, int]]:
        """Return the cold servers of a zone, each with its bound per second."""
        return [
            (server, self._cold_bound_per_s(server))
            for server in self._deps.catalogue.cold_servers(availability_zone)
        ]

    def should_track_engine(self, server_id: str, availability_zone: str) -> bool:
        """Return whether this host polls an engine's reports and totals its load."""
        fleet = self._large if self._roster.is_large else self._small
        return fleet.should_track_engine(server_id, availability_zone)

    def should_watch_store(self) -> bool:
        """Return whether this host watches the store itself, not through its peers."""
        fleet = self._large if self._roster.is_large else self._small
        return fleet.should_watch_store()

    def can_list_store(self) -> bool:
        """Return whether a host without a view may list the store now.

        It waits for a peer first: the view of a peer costs no call to the store.
        """
        if self._roster.is_alone:
            return True
        if self._roster.uptime_ms < DISCOVERY_MS:
            return False
        return (
            self.should_watch_store() or self._roster.uptime_ms > STORE_LISTING_DELAY_MS
        )

    def _is_store_reachable(self) -> bool:
        return self._deps.is_store_answering() and self.should_watch_store()

    def _run_forever(self, name: str, run_round: Callable[[], None]) -> None:
        run_forever(name, run_round, self._deps.clock, self._deps.emit)

    def _send_round(self) -> None:
        self._update_pending.wait(self.heartbeat_interval_ms / MS_PER_S)
        self._deps.clock.sleep_ms(self.send_updates())

    def send_updates(self) -> float:
        """Send the updates that are due to the other hosts.

        Returns:
            Milliseconds to wait before the next call.
        """
        self._update_pending.clear()
        now_ms = self._deps.clock.monotonic_ms()
        is_heartbeat_due = now_ms - self._last_round_ms >= self.heartbeat_interval_ms
        is_slow_heartbeat_due = (
            is_heartbeat_due
            and now_ms - self._last_slow_round_ms >= SLOW_HEARTBEAT_INTERVAL_MS
        )
        if is_slow_heartbeat_due:
            self._last_slow_round_ms = now_ms
        if is_heartbeat_due:
            self._round_number += 1
            self._last_round_ms = now_ms
            self._mark_silent()
            self.permits.record_zone_hosts()
            self._send_hellos(is_slow_heartbeat_due)
        is_large = self._roster.is_large
        fleet = self._large if is_large else self._small
        fleet.send_updates(
            SendRound(is_heartbeat_due, is_slow_heartbeat_due, self._round_number)
        )
        return LARGE_FLEET_MIN_SEND_INTERVAL_MS if is_large else MIN_SEND_INTERVAL_MS

    @property
    def has_pending_update(self) -> bool:
        """Whether something has changed since updates were last sent."""
        return bool(self._update_pending.is_set())

    @property
    def heartbeat_interval_ms(self) -> float:
        """Time between two heartbeats of this host."""
        return (
            LARGE_FLEET_HEARTBEAT_INTERVAL_MS
            if self._roster.is_large
            else HEARTBEAT_INTERVAL_MS
        )

    def _send_hellos(self, is_slow_heartbeat_due: bool) -> None:
        """Send hellos to hosts that may answer although they are not live."""
        roster = self._roster
        ips = {card.ip for card in roster.take_probe_targets()}
        has_no_live_peer = not roster.live_hosts()
        if has_no_live_peer or is_slow_heartbeat_due:
            ips |= {peer.card.ip for peer in roster.silent_hosts_to_probe()}
            if has_no_live_peer or not roster.is_large or roster.is_delegate:
                live_ips = {peer.card.ip for peer in roster.live_hosts()}
                ips |= set(self._seeds) - live_ips
        for ip in ips:
            self._writer.send_hello(ip)

    def _send_datagram(self, ip: str, datagram: bytes) -> None:
        try:
            self._socket.sendto(datagram, (ip, self._deps.settings.news_port))
        except OSError:
            # A datagram may be lost anywhere; the next one follows shortly.
            return

    def _receive_round(self) -> None:
        datagram = self._socket.recvfrom(MAX_DATAGRAM_BYTES)[0]
        self.handle_datagram(datagram)
        self._read_turn.record(len(datagram))

    def handle_datagram(self, datagram: bytes) -> None:
        """Decode and handle one datagram from the network."""
        try:
            update = decode_update(datagram)
        except InvalidDataError:
            # Other programs may send to the port; their datagrams are ignored.
            return
        if update.sender.host_id != self._roster.own_card.host_id:
            self._handle_update(update)

    def _handle_update(self, update: HostUpdate) -> None:
        self._writer.store_limits(update)
        self._deps.part_guard.store_parts(update.parts, f"peer {update.sender.host_id}")
        if update.kind in (UpdateKind.PERMIT_QUERY, UpdateKind.PERMIT):
            self.permits.handle_update(update)
            return
        if update.kind in ORIGIN_KINDS:
            self.takeover.handle_update(update)
            return
        roster = self._roster
        sender = update.sender
        is_new = roster.record_message(
            sender,
            update.is_store_reachable,
            update.is_receiving_changes,
            update.zone_host_count,
            is_zone_representative=update.kind is UpdateKind.ZONE,
        )
        is_local = sender.availability_zone == roster.own_card.availability_zone
        if update.kind is UpdateKind.DIGEST and is_local:
            roster.record_digest(update.fleet_host_count)
        elif update.fleet_host_count:
            roster.record_fleet_count(update.fleet_host_count)
        if is_new:
            self._small.clear_host_cache()
            self._deps.emit(PeerSeen(peer=sender.host_id, boot_id=sender.boot_id))
            self._writer.send_hello(sender.ip)
            self.takeover.tell_started_host(sender)
        if peer := roster.find_host(sender.ip):
            peer.lost_services = update.lost_services
        roster.add_candidates(update.known_hosts)
        for card in roster.take_probe_targets():
            self._writer.send_hello(card.ip)
        source = f"peer {sender.host_id}"
        for server in update.leaving:
            self._deps.catalogue.mark_leaving(
                server.server_id, source, server.started_wall_ms
            )
        if update.kind is UpdateKind.PEER:
            self._small.handle_update(update)
        else:
            self._large.handle_update(update)
        self._apply_changes(update, source)

    def _apply_changes(self, update: HostUpdate, source: str) -> None:
        catalogue = self._deps.catalogue
        if update.changes and catalogue.revision >= update.changes_after:
            items = [
                StoreItem(item.key, item.revision, item.value)
                for item in update.changes
            ]
            catalogue.apply(items, update.revision, source, is_fresh=True)
        self._deps.pull.pull_if_behind(
            update.sender.host_id,
            update.sender.ip,
            update.revision,
            not self.should_watch_store(),
        )

    def _mark_silent(self) -> None:
        now_ms = self._deps.clock.monotonic_ms()
        silent = self._roster.mark_silent()
        if silent:
            self._small.clear_host_cache()
        for peer in silent:
            self._deps.ledger.remove_peer_loads(peer.card.host_id)
            self._deps.emit(
                PeerSilent(peer=peer.card.host_id, silent_ms=now_ms - peer.received_ms)
            )
