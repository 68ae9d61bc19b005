"""Link to the other hosts of the fleet: who lives, what changed, who runs what.

News travels in datagrams that may be lost; the next round makes them good.
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
from gypsumfield.decisions.fleet_shares import cold_bound_per_s
from gypsumfield.decisions.fleet_shares import cold_share_per_s
from gypsumfield.decisions.ownership import rank_hosts
from gypsumfield.gateway.advice import Adviser
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.catalogue import StoreItem
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.events import PeerSeen
from gypsumfield.gateway.events import PeerSilent
from gypsumfield.gateway.large_fleet import LargeFleet
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.news import decode_news
from gypsumfield.gateway.news import HostCard
from gypsumfield.gateway.news import News
from gypsumfield.gateway.news import NewsKind
from gypsumfield.gateway.news_desk import DeskPorts
from gypsumfield.gateway.news_desk import Due
from gypsumfield.gateway.news_desk import NewsDesk
from gypsumfield.gateway.roster import Roster
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.gateway.small_fleet import SmallFleet
from gypsumfield.gateway.view_pull import ViewPull
from gypsumfield.ports import EmitEvent

Send = Callable[[str, bytes], None]

# Hosts hear of changes at once, and of life in this interval.
INTERVAL_MS = 400.0
SHORTEST_INTERVAL_MS = 20.0
# Loads that are told in a digest are placed by until the next one: prompts that many
# hosts send to the same engine meanwhile wait for each other.
LARGE_FLEET_INTERVAL_MS = 200.0
# A host of a large fleet has little processor time for news.
SHORTEST_LARGE_FLEET_MS = 120.0
# Delegates that stand by tell and are told, and hosts that were lost and seeds that are
# not heard are greeted, in this interval.
SLOW_INTERVAL_MS = 1_600.0
DATAGRAM_BYTES = 65_536
# A host that starts hears of its fleet within this time, and need not list the store
# when a peer can hand out its view.
DISCOVERY_MS = 300.0
LISTING_PATIENCE_MS = 1_500.0


class PeerPorts(NamedTuple):
    """What the link to the peers uses.

    Attributes:
        settings: Settings of the host.
        boot_id: Start of this process.
        catalogue: The published view.
        ledger: Runs in flight.
        report_cache: Reports of engines.
        pull: Takes what peers have and this host lacks.
        is_answered: Whether the store answered the last call.
        clock: Time.
        emit: Log.
        send: Sends a datagram to an IP; None for the link's own socket.
    """

    settings: EdgeSettings
    boot_id: str
    catalogue: Catalogue
    ledger: Ledger
    report_cache: EngineReportCache
    pull: ViewPull
    is_answered: Callable[[], bool]
    clock: Clock
    emit: EmitEvent
    send: Send | None = None


class PeerLink:
    """Sends this host's news and takes the peers'.

    Attributes:
        bounds: Bounds that bind the host.
        adviser: Asks for engines for streams, and answers who asks.
    """

    def __init__(self, ports: PeerPorts) -> None:
        settings = ports.settings
        self.bounds = settings.bounds
        self._ports = ports
        own = HostCard(
            settings.host_id,
            ports.boot_id,
            settings.ip,
            settings.availability_zone,
            settings.capacity,
        )
        self._seeds: list[str] = []
        self.set_seeds(settings.seed_ips)
        self._roster = Roster(own, not self._seeds, ports.clock)
        self._desk = NewsDesk(
            DeskPorts(
                roster=self._roster,
                catalogue=ports.catalogue,
                ledger=ports.ledger,
                report_cache=ports.report_cache,
                is_reaching=self._is_reaching,
                is_fed=lambda: self._large.is_fed,
                send=ports.send or self._send_to,
                clock=ports.clock,
            )
        )
        self._small = SmallFleet(self._desk)
        self.adviser = Adviser(self._desk, ports.clock, ports.emit)
        self._large = LargeFleet(self._desk, self._cold_servers, self.adviser)
        self._news_due = Signal()
        self._round = 0
        self._round_ms = 0.0
        self._slow_round_ms = 0.0
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
    def is_large_fleet(self) -> bool:
        """Whether the fleet is too large for everybody to hear everybody."""
        return self._roster.is_large

    @property
    def roster(self) -> Roster:
        """Hosts that are heard, and the roles that follow."""
        return self._roster

    @property
    def live_count(self) -> int:
        """Hosts that are heard now, this one included."""
        return 1 + len(self._roster.live())

    def host_count(self) -> int | None:
        """Return how many hosts may exist; None while too little is known."""
        return self._roster.host_count if self._roster.is_settled else None

    def cold_allowed(self, server: BackendServer) -> int:
        """Return how many requests a second this host may send to a cold server."""
        roster = self._roster
        if not roster.is_settled:
            return 0
        if roster.is_large:
            return self._large.cold_allowed(server)
        ranked = rank_hosts(server.server_id, roster.zones())
        return cold_share_per_s(
            self._cold_bound_per_s(server),
            roster.host_count,
            ranked.index(roster.own.host_id),
        )

    def _cold_bound_per_s(self, server: BackendServer) -> int:
        """Return the requests a second that a cold server bears from all hosts."""
        spec = self._ports.catalogue.service_spec(server.service)
        rate_per_s = spec.cold_requests_per_s if spec else 0.0
        bounds = self.bounds
        return cold_bound_per_s(rate_per_s, bounds.cold_factor, bounds.cold_extra)

    def _cold_servers(self, availability_zone: str) -> list[tuple[BackendServer, int]]:
        """Return the cold servers of a zone and what they bear."""
        return [
            (server, self._cold_bound_per_s(server))
            for server in self._ports.catalogue.cold_servers(availability_zone)
        ]

    def keeps_count_of(self, server_id: str, availability_zone: str) -> bool:
        """Return whether an engine's reports fall to this host."""
        fleet = self._large if self._roster.is_large else self._small
        return fleet.keeps_count_of(server_id, availability_zone)

    def must_watch_store(self) -> bool:
        """Return whether this host watches the store itself."""
        fleet = self._large if self._roster.is_large else self._small
        return fleet.must_watch_store()

    def may_list_store(self) -> bool:
        """Return whether a host without a view reads it from the store.

        Where a peer can hand out its view, that costs no call.
        """
        if self._roster.is_alone:
            return True
        if self._roster.age_ms < DISCOVERY_MS:
            return False
        return self.must_watch_store() or self._roster.age_ms > LISTING_PATIENCE_MS

    def _is_reaching(self) -> bool:
        return self._ports.is_answered() and self.must_watch_store()

    def _send(self) -> None:
        while True:
            self._news_due.wait(self.interval_ms / MS_PER_S)
            self._ports.clock.sleep_ms(self.tell())

    def tell(self) -> float:
        """Tell the others what is due.

        Returns:
            The time before which nothing more is told, in ms.
        """
        self._news_due.clear()
        now_ms = self._ports.clock.monotonic_ms()
        is_round = now_ms - self._round_ms >= self.interval_ms
        is_slow_round = is_round and now_ms - self._slow_round_ms >= SLOW_INTERVAL_MS
        if is_slow_round:
            self._slow_round_ms = now_ms
        if is_round:
            self._round += 1
            self._round_ms = now_ms
            self._mark_silent()
            self._greet_missing(is_slow_round)
        is_large = self._roster.is_large
        fleet = self._large if is_large else self._small
        fleet.tell(Due(is_round, is_slow_round, self._round))
        return SHORTEST_LARGE_FLEET_MS if is_large else SHORTEST_INTERVAL_MS

    @property
    def has_news(self) -> bool:
        """Whether something has changed since the last time that others were told."""
        return bool(self._news_due.is_set())

    @property
    def interval_ms(self) -> float:
        """Time between two signs of life."""
        return LARGE_FLEET_INTERVAL_MS if self._roster.is_large else INTERVAL_MS

    def _greet_missing(self, is_slow_round: bool) -> None:
        """Greet those that may answer although they are not heard."""
        roster = self._roster
        ips = {card.ip for card in roster.ask_due()}
        is_lonely = not roster.live()
        if is_lonely or is_slow_round:
            ips |= {known.card.ip for known in roster.lost()}
            if is_lonely or not roster.is_large or roster.is_delegate:
                heard = {known.card.ip for known in roster.live()}
                ips |= set(self._seeds) - heard
        for ip in ips:
            self._desk.greet(ip)

    def _send_to(self, ip: str, datagram: bytes) -> None:
        try:
            self._socket.sendto(datagram, (ip, self._ports.settings.news_port))
        except OSError:
            # A datagram may be lost anywhere; the next one follows shortly.
            return

    def _receive(self) -> None:
        while True:
            self.take(self._socket.recvfrom(DATAGRAM_BYTES)[0])

    def take(self, datagram: bytes) -> None:
        """Take news from the network."""
        try:
            news = decode_news(datagram)
        except msgspec.MsgspecError:
            # Other programs may reach the port; news has no other effect.
            return
        if news.sender.host_id != self._roster.own.host_id:
            self._take_news(news)

    def _take_news(self, news: News) -> None:
        roster = self._roster
        sender = news.sender
        is_new = roster.hear(
            sender,
            news.is_reaching,
            news.is_fed,
            news.zone_host_count,
            is_speaker=news.kind is NewsKind.ZONE,
        )
        is_near = sender.availability_zone == roster.own.availability_zone
        if news.kind is NewsKind.DIGEST and is_near:
            roster.note_digest(news.fleet_host_count)
        elif news.fleet_host_count:
            roster.note_told_count(news.fleet_host_count)
        if is_new:
            self._small.note_hosts()
            self._ports.emit(PeerSeen(peer=sender.host_id, boot_id=sender.boot_id))
            self._desk.greet(sender.ip)
        roster.hear_of(news.named)
        for card in roster.ask_due():
            self._desk.greet(card.ip)
        source = f"peer {sender.host_id}"
        for each in news.leaving:
            self._ports.catalogue.mark_leaving(
                each.server_id, source, each.started_wall_ms
            )
        if news.kind is NewsKind.PEER:
            self._small.take(news)
        else:
            self._large.take(news)
        self._take_changes(news, source)

    def _take_changes(self, news: News, source: str) -> None:
        catalogue = self._ports.catalogue
        if news.changes and catalogue.revision >= news.changes_after:
            items = [
                StoreItem(item.key, item.revision, item.value) for item in news.changes
            ]
            catalogue.apply(items, news.revision, source)
        self._ports.pull.compare(
            news.sender.host_id,
            news.sender.ip,
            news.revision,
            not self.must_watch_store(),
        )

    def _mark_silent(self) -> None:
        now_ms = self._ports.clock.monotonic_ms()
        silent = self._roster.mark_silent()
        if silent:
            self._small.note_hosts()
        for known in silent:
            self._ports.ledger.remove_peer_loads(known.card.host_id)
            self._ports.emit(
                PeerSilent(peer=known.card.host_id, silent_ms=now_ms - known.heard_ms)
            )
