"""Link to the other hosts of the fleet: who lives, what changed, who runs what.

News travels in datagrams that may be lost. Each engine has one host that keeps
count of its runs: the others tell it theirs, and it tells them the sum.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import gevent
import gevent.socket
import msgspec
from gevent.event import Event as Signal

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.fleet_roles import counting_host
from gypsumfield.decisions.fleet_roles import is_large_fleet
from gypsumfield.decisions.fleet_roles import is_near
from gypsumfield.decisions.fleet_roles import is_store_watcher
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.catalogue import StoreItem
from gypsumfield.gateway.engine_reports import EngineReport
from gypsumfield.gateway.engine_reports import ReportBoard
from gypsumfield.gateway.events import PeerSeen
from gypsumfield.gateway.events import PeerSilent
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.news import decode_news
from gypsumfield.gateway.news import encode
from gypsumfield.gateway.news import ItemNews
from gypsumfield.gateway.news import LoadNews
from gypsumfield.gateway.news import News
from gypsumfield.gateway.news import ReportNews
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.gateway.view_pull import ViewPull
from gypsumfield.ports import EmitEvent

# Near hosts hear of changes at once, and of life in this interval. Far ones hear in
# the same interval from a host that keeps count of engines, else in every so many.
INTERVAL_MS = 400.0
FAR_INTERVALS = 4
SHORTEST_INTERVAL_MS = 20.0
# Growth of a few runs is no news; a prompt more or less is.
TOLD_STEP_TOKENS = 1_024
# A host of a large fleet has little processor time for news.
SHORTEST_LARGE_FLEET_MS = 120.0
# Three missed rounds, and a little for their way.
NEAR_SILENCE_MS = 1_400.0
FAR_SILENCE_MS = 6_000.0
# Hosts heard within this time count for the fixed shares of common bounds.
PEER_MEMORY_MS = 60_000.0
# A change that fits into one datagram is sent along; others are pulled.
CHANGES_BYTES = 900
DATAGRAM_BYTES = 65_536
PEERS_NAMED = 8


class _Peer(NamedTuple):
    host_id: str
    boot_id: str
    availability_zone: str
    heard_ms: float
    is_reaching: bool
    is_silent: bool


class PeerPorts(NamedTuple):
    """What the link to the peers uses.

    Attributes:
        settings: Settings of the host.
        boot_id: Start of this process.
        catalogue: The published view.
        ledger: Runs in flight.
        board: Reports of engines.
        pull: Takes what peers have and this host lacks.
        is_reaching: Whether the store answers this host.
        clock: Time.
        emit: Log.
    """

    settings: EdgeSettings
    boot_id: str
    catalogue: Catalogue
    ledger: Ledger
    board: ReportBoard
    pull: ViewPull
    is_reaching: Callable[[], bool]
    clock: Clock
    emit: EmitEvent


class PeerLink:
    """Sends this host's news and takes the peers'."""

    def __init__(self, ports: PeerPorts) -> None:
        self._ports = ports
        self._own_id = ports.settings.host_id
        self._peers: dict[str, _Peer] = {}
        self._zones = {self._own_id: ports.settings.availability_zone}
        # Both follow from the zones, and are asked for at every piece of news.
        self._counting: dict[str, str] = {}
        self._is_watcher = True
        self._seeds: list[str] = []
        self.set_seeds(ports.settings.seed_ips)
        self._news_due = Signal()
        self._round = 0
        self._round_ms = 0.0
        self._told_revision = 0
        self._told_loads: dict[str, list[tuple[str, int, int]]] = {}
        self._greenlets: list[gevent.Greenlet] = []
        self._socket: Any = None
        ports.ledger.on_change(self._news_due.set)
        ports.catalogue.on_change(self._news_due.set)

    def start(self) -> None:
        """Open the socket and begin to send and receive."""
        settings = self._ports.settings
        self._socket = gevent.socket.socket(
            gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM
        )
        self._socket.bind((settings.ip, settings.news_port))
        self._greenlets = [gevent.spawn(self._receive), gevent.spawn(self._send)]

    def stop(self) -> None:
        """Close the socket."""
        gevent.killall(self._greenlets, block=False)
        if self._socket is not None:
            self._socket.close()

    def set_seeds(self, ips: Sequence[str]) -> None:
        """Replace the hosts that the others are found through."""
        self._seeds = [ip for ip in ips if ip != self._ports.settings.ip]

    @property
    def host_count(self) -> int:
        """Hosts that have been heard lately, this one included."""
        since_ms = self._ports.clock.monotonic_ms() - PEER_MEMORY_MS
        return 1 + sum(peer.heard_ms >= since_ms for peer in self._peers.values())

    def live_hosts(self) -> list[str]:
        """Return the ids of the hosts heard just now, this one included."""
        return sorted(self._zones)

    def keeps_count_of(self, server_id: str, availability_zone: str) -> bool:
        """Return whether this host keeps count of an engine's runs."""
        return self._counting_host(server_id, availability_zone) == self._own_id

    def _counting_host(self, server_id: str, availability_zone: str) -> str:
        if server_id not in self._counting:
            self._counting[server_id] = counting_host(
                server_id, availability_zone, self._zones
            )
        return self._counting[server_id]

    def must_watch_store(self) -> bool:
        """Return whether this host watches the store itself.

        It does as a watcher of its zone, and whenever no watcher of its zone
        says that it reaches the store.
        """
        if self._is_watcher:
            return True
        zone = self._ports.settings.availability_zone
        return not any(
            peer.is_reaching
            and not peer.is_silent
            and peer.availability_zone == zone
            and is_store_watcher(peer.host_id, self._zones)
            for peer in self._peers.values()
        )

    def _send(self) -> None:
        while True:
            self._news_due.wait(INTERVAL_MS / MS_PER_S)
            self._news_due.clear()
            self._mark_silent()
            now_ms = self._ports.clock.monotonic_ms()
            is_round = now_ms - self._round_ms >= INTERVAL_MS
            if is_round:
                self._round += 1
                self._round_ms = now_ms
            self._tell_all(is_round)
            is_large = is_large_fleet(len(self._zones))
            self._ports.clock.sleep_ms(
                SHORTEST_LARGE_FLEET_MS if is_large else SHORTEST_INTERVAL_MS
            )

    def _tell_all(self, is_round: bool) -> None:
        changes, after = self._changes()
        counted = self._counted_servers()
        # Other zones know of an engine only what its counting host tells them.
        is_far_round = is_round and (bool(counted) or self._round % FAR_INTERVALS == 0)
        own_loads = self._own_loads()
        for ip, peer in self._peers.items():
            if peer.is_silent:
                continue
            is_near_peer = is_near(self._own_id, peer.host_id, self._zones)
            own = own_loads.get(peer.host_id, [])
            is_due = is_far_round or (is_round and is_near_peer)
            shared = self._shared_loads(peer.host_id, counted)
            is_new = self._is_new(peer.host_id, own, shared if is_near_peer else [])
            if not (is_due or is_new or (changes and is_near_peer)):
                continue
            self._send_to(ip, self._news(own, shared, changes, after))
        if is_round:
            heard = {ip for ip, peer in self._peers.items() if not peer.is_silent}
            for ip in self._seeds:
                if ip not in heard:
                    self._send_to(ip, self._news([], [], [], 0))

    def _is_new(
        self, host_id: str, own: list[LoadNews], shared: list[LoadNews]
    ) -> bool:
        """Return whether loads differ from those told last by more than a little."""
        told = [
            (load.server_id, load.run_count, load.committed_tokens // TOLD_STEP_TOKENS)
            for load in (*own, *shared)
        ]
        is_new = self._told_loads.get(host_id, []) != told
        self._told_loads[host_id] = told
        return is_new

    def _send_to(self, ip: str, news: News) -> None:
        try:
            self._socket.sendto(encode(news), (ip, self._ports.settings.news_port))
        except OSError:
            # A datagram may be lost anywhere; the next one follows shortly.
            return

    def _news(
        self,
        own: list[LoadNews],
        shared: list[LoadNews],
        changes: list[ItemNews],
        after: int,
    ) -> News:
        ports = self._ports
        live = [ip for ip, peer in self._peers.items() if not peer.is_silent]
        start = self._round % max(1, len(live))
        named = (live[start:] + live[:start])[:PEERS_NAMED]
        return News(
            self._own_id,
            ports.boot_id,
            ports.settings.ip,
            ports.settings.availability_zone,
            ports.catalogue.revision,
            ports.is_reaching(),
            named,
            own,
            shared,
            self._reports(),
            changes,
            after,
        )

    def _changes(self) -> tuple[list[ItemNews], int]:
        """Return what changed since the last news, if it fits into a datagram."""
        catalogue = self._ports.catalogue
        after, self._told_revision = self._told_revision, catalogue.revision
        if not after or after == catalogue.revision:
            return [], 0
        changes = [ItemNews(*item) for item in catalogue.items_after(after)]
        size = sum(len(item.key) + len(item.value or b"") for item in changes)
        return (changes, after) if size <= CHANGES_BYTES else ([], 0)

    def _own_loads(self) -> dict[str, list[LoadNews]]:
        """Return this host's runs by the host that keeps count of their engine."""
        loads: dict[str, list[LoadNews]] = {}
        for server_id, load in self._ports.ledger.own_loads().items():
            belief = self._ports.catalogue.find_server(server_id)
            if belief is None:
                continue
            zone = belief.server.availability_zone
            host_id = self._counting_host(server_id, zone)
            loads.setdefault(host_id, []).append(LoadNews(server_id, *load))
        return loads

    def _counted_servers(self) -> list[str]:
        counted = []
        for server_id in self._ports.ledger.known_servers():
            belief = self._ports.catalogue.find_server(server_id)
            if belief is not None and self.keeps_count_of(
                server_id, belief.server.availability_zone
            ):
                counted.append(server_id)
        return counted

    def _shared_loads(self, receiver: str, counted: list[str]) -> list[LoadNews]:
        now_ms = self._ports.clock.monotonic_ms()
        return [
            LoadNews(
                server_id, *self._ports.ledger.load_without(server_id, receiver, now_ms)
            )
            for server_id in counted
        ]

    def _reports(self) -> list[ReportNews]:
        now_ms = self._ports.clock.monotonic_ms()
        return [
            ReportNews(
                server_id,
                report.waiting_count,
                report.used_tokens,
                report.is_leaving,
                int(now_ms - report.heard_ms),
            )
            for server_id, report in self._ports.board.own_reports().items()
        ]

    def _receive(self) -> None:
        while True:
            datagram, _ = self._socket.recvfrom(DATAGRAM_BYTES)
            try:
                news = decode_news(datagram)
            except msgspec.MsgspecError:
                # Other programs may reach the port; news has no other effect.
                continue
            if news.host_id != self._own_id:
                self._take(news)

    def _take(self, news: News) -> None:
        now_ms = self._ports.clock.monotonic_ms()
        self._note_heard(news, now_ms)
        ledger = self._ports.ledger
        loads = {load.server_id: _server_load(load) for load in news.own_loads}
        ledger.take_news(news.host_id, loads, now_ms)
        for load in news.shared_loads:
            ledger.take_shared(load.server_id, _server_load(load), now_ms)
        for each in news.reports:
            heard_ms = now_ms - each.age_ms
            report = EngineReport(
                each.waiting_count, each.used_tokens, each.is_leaving, heard_ms
            )
            self._ports.board.take(each.server_id, report, f"peer {news.host_id}")
        self._take_changes(news)

    def _note_heard(self, news: News, now_ms: float) -> None:
        known = self._peers.get(news.ip)
        is_new = known is None or known.is_silent or known.boot_id != news.boot_id
        self._peers[news.ip] = _Peer(
            news.host_id,
            news.boot_id,
            news.availability_zone,
            now_ms,
            news.is_reaching,
            False,
        )
        if is_new:
            self._update_zones()
            self._ports.emit(PeerSeen(peer=news.host_id, boot_id=news.boot_id))
            self._send_to(news.ip, self._news([], [], [], 0))
        for ip in news.peer_ips:
            if ip not in self._peers and ip != self._ports.settings.ip:
                self._send_to(ip, self._news([], [], [], 0))

    def _take_changes(self, news: News) -> None:
        catalogue = self._ports.catalogue
        if news.changes and catalogue.revision >= news.changes_after:
            items = [
                StoreItem(item.key, item.revision, item.value) for item in news.changes
            ]
            catalogue.apply(items, news.revision, f"peer {news.host_id}")
        self._ports.pull.compare(
            news.host_id, news.ip, news.revision, not self.must_watch_store()
        )

    def _update_zones(self) -> None:
        zones = {self._own_id: self._ports.settings.availability_zone}
        for peer in self._peers.values():
            if not peer.is_silent:
                zones[peer.host_id] = peer.availability_zone
        self._zones = zones
        self._counting.clear()
        self._is_watcher = is_store_watcher(self._own_id, zones)

    def _mark_silent(self) -> None:
        now_ms = self._ports.clock.monotonic_ms()
        for ip, peer in list(self._peers.items()):
            silent_ms = now_ms - peer.heard_ms
            is_near_peer = is_near(self._own_id, peer.host_id, self._zones)
            limit_ms = NEAR_SILENCE_MS if is_near_peer else FAR_SILENCE_MS
            if peer.is_silent or silent_ms <= limit_ms:
                continue
            self._peers[ip] = peer._replace(is_silent=True)
            self._update_zones()
            self._ports.ledger.forget_peer(peer.host_id)
            self._ports.emit(PeerSilent(peer=peer.host_id, silent_ms=silent_ms))


def _server_load(load: LoadNews) -> ServerLoad:
    return ServerLoad(load.run_count, load.committed_tokens, load.waiting_prompt_tokens)
