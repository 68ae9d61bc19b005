"""News between the hosts of the fleet, and the published view they hand on.

Datagrams carry what fits into one and may be lost; each replaces the one before.
A host that lacks published items pulls them from a peer that has them.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import gevent
import gevent.socket
import msgspec
from gevent.event import Event as Signal

from gypsumfield.aborts import AbortHandle
from gypsumfield.adapters.backends import Exchange
from gypsumfield.adapters.backends import ExchangeTimeouts
from gypsumfield.adapters.backends import OutgoingRequest
from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.catalogue import StoreItem
from gypsumfield.gateway.engine_reports import EngineReport
from gypsumfield.gateway.engine_reports import ReportBoard
from gypsumfield.gateway.events import PeerSeen
from gypsumfield.gateway.events import PeerSilent
from gypsumfield.gateway.events import ViewPulled
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.gateway.settings import split_address
from gypsumfield.ports import EmitEvent

# Bytes a second that news may cost a host: a hundredth of a 5 Mbit/s link.
NEWS_BYTES_PER_S = 6_250.0
IDLE_INTERVAL_MS = 500.0
SHORTEST_INTERVAL_MS = 30.0
PEER_SILENCE_MS = 2_000.0
# Hosts heard within this time count for the fixed shares of common bounds.
PEER_MEMORY_MS = 60_000.0
# A watch delivers within a few ms; a peer that is ahead for longer shows that
# this host's own watch is late or cut.
LAG_TOLERANCE_MS = 250.0
DATAGRAM_BYTES = 1_400
PEERS_NAMED = 8
PULL_TIMEOUTS = ExchangeTimeouts(connect_ms=300, answer_ms=1_000, silence_ms=1_000)
VIEW_LIMIT_BYTES = 16 * 1_048_576
VIEW_PATH = "/view"
_ID_HEADER = "X-Call-Id"


class News(msgspec.Struct, frozen=True, array_like=True):
    """One datagram.

    Attributes:
        host_id: Sender.
        boot_id: Start of the sender's process.
        ip: Address of the sender.
        revision: Revision up to which its view is complete.
        is_leaving: Whether it is about to stop.
        peer_ips: Some of the hosts it has heard lately.
        loads: Server id, runs, committed tokens, prompt tokens to be read.
        reports: Engine id, waiting requests, used tokens, whether it leaves, and
            the age of the report in ms.
    """

    host_id: str
    boot_id: str
    ip: str
    revision: int
    is_leaving: bool
    peer_ips: list[str]
    loads: list[tuple[str, int, int, int]]
    reports: list[tuple[str, int, int, bool, int]]


class View(msgspec.Struct, frozen=True, array_like=True):
    """Published items handed to a peer: key, revision, value or None."""

    revision: int
    items: list[tuple[str, int, bytes | None]]


_NEWS_DECODER = msgspec.msgpack.Decoder(News)
_VIEW_DECODER = msgspec.msgpack.Decoder(View)


class _Peer(NamedTuple):
    host_id: str
    boot_id: str
    heard_ms: float
    is_silent: bool


class PeerPorts(NamedTuple):
    """What the link to the peers uses.

    Attributes:
        settings: Settings of the host.
        boot_id: Start of this process.
        catalogue: The published view.
        ledger: Runs in flight.
        board: Reports of engines.
        is_leaving: Whether this host is about to stop.
        on_stale_watch: Called when a peer is ahead of this host's own watch.
        clock: Time.
        emit: Log.
    """

    settings: EdgeSettings
    boot_id: str
    catalogue: Catalogue
    ledger: Ledger
    board: ReportBoard
    is_leaving: Callable[[], bool]
    on_stale_watch: Callable[[], None]
    clock: Clock
    emit: EmitEvent


class PeerLink:
    """Sends this host's news, takes the peers', and pulls what it lacks."""

    def __init__(self, ports: PeerPorts) -> None:
        self._ports = ports
        self._peers: dict[str, _Peer] = {}
        self._seeds: list[str] = []
        self.set_seeds(ports.settings.seed_ips)
        self._news_due = Signal()
        self._behind_since_ms: float | None = None
        self._is_pulling = False
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

    def set_seeds(self, ips: Sequence[str]) -> None:
        """Replace the hosts that the others are found through."""
        self._seeds = [ip for ip in ips if ip != self._ports.settings.ip]

    def stop(self) -> None:
        """Close the socket."""
        gevent.killall(self._greenlets, block=False)
        if self._socket is not None:
            self._socket.close()

    @property
    def host_count(self) -> int:
        """Hosts that have been heard lately, this one included."""
        since_ms = self._ports.clock.monotonic_ms() - PEER_MEMORY_MS
        return 1 + sum(peer.heard_ms >= since_ms for peer in self._peers.values())

    def live_hosts(self) -> list[str]:
        """Return the ids of the hosts heard just now, this one included."""
        live = [peer.host_id for peer in self._peers.values() if not peer.is_silent]
        return sorted([self._ports.settings.host_id, *live])

    def encode_view(self, after_revision: int) -> bytes:
        """Return what has changed since a revision, for a peer."""
        catalogue = self._ports.catalogue
        items = [tuple(item) for item in catalogue.items_after(after_revision)]
        return msgspec.msgpack.encode((catalogue.revision, items))

    def _send(self) -> None:
        while True:
            self._news_due.wait(IDLE_INTERVAL_MS / MS_PER_S)
            self._news_due.clear()
            self._mark_silent()
            targets = self._targets()
            datagram = self._encode_news()
            for ip in targets:
                self._send_to(ip, datagram)
            sent_bytes = len(datagram) * len(targets)
            pause_ms = sent_bytes / NEWS_BYTES_PER_S * MS_PER_S
            self._ports.clock.sleep_ms(max(SHORTEST_INTERVAL_MS, pause_ms))

    def _send_to(self, ip: str, datagram: bytes) -> None:
        try:
            self._socket.sendto(datagram, (ip, self._ports.settings.news_port))
        except OSError:
            # A datagram may be lost anywhere; the next one follows shortly.
            return

    def _targets(self) -> list[str]:
        live = [ip for ip, peer in self._peers.items() if not peer.is_silent]
        unheard = [ip for ip in self._seeds if ip not in live]
        return live + unheard

    def _encode_news(self) -> bytes:
        ports = self._ports
        loads = [
            (server_id, *load) for server_id, load in ports.ledger.own_loads().items()
        ]
        live = [ip for ip, peer in self._peers.items() if not peer.is_silent]
        news = News(
            ports.settings.host_id,
            ports.boot_id,
            ports.settings.ip,
            ports.catalogue.revision,
            ports.is_leaving(),
            live[-PEERS_NAMED:],
            loads,
            self._reports(),
        )
        datagram = msgspec.msgpack.encode(news)
        while len(datagram) > DATAGRAM_BYTES and loads:
            del loads[len(loads) // 2 :]
            datagram = msgspec.msgpack.encode(news)
        return datagram

    def _reports(self) -> list[tuple[str, int, int, bool, int]]:
        now_ms = self._ports.clock.monotonic_ms()
        return [
            (
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
            datagram, _ = self._socket.recvfrom(65_536)
            try:
                news = _NEWS_DECODER.decode(datagram)
            except msgspec.MsgspecError:
                # Other programs may reach the port; news has no other effect.
                continue
            if news.host_id != self._ports.settings.host_id:
                self._take(news)

    def _take(self, news: News) -> None:
        now_ms = self._ports.clock.monotonic_ms()
        known = self._peers.get(news.ip)
        is_news = known is None or known.is_silent or known.boot_id != news.boot_id
        self._peers[news.ip] = _Peer(news.host_id, news.boot_id, now_ms, False)
        if is_news:
            self._ports.emit(PeerSeen(peer=news.host_id, boot_id=news.boot_id))
            self._news_due.set()
        for ip in news.peer_ips:
            if ip not in self._peers and ip != self._ports.settings.ip:
                self._send_to(ip, self._encode_news())
        loads = {server_id: ServerLoad(*rest) for server_id, *rest in news.loads}
        self._ports.ledger.take_news(news.host_id, loads, now_ms)
        for server_id, waiting, used, is_leaving, age_ms in news.reports:
            report = EngineReport(waiting, used, is_leaving, now_ms - age_ms)
            self._ports.board.take(server_id, report, f"peer {news.host_id}")
        self._compare(news, now_ms)

    def _compare(self, news: News, now_ms: float) -> None:
        """Pull from a peer that is ahead for longer than a watch takes."""
        if news.revision <= self._ports.catalogue.revision:
            self._behind_since_ms = None
            return
        is_new_host = self._ports.catalogue.publication is None
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if not is_new_host and now_ms - self._behind_since_ms < LAG_TOLERANCE_MS:
            return
        if not self._is_pulling:
            self._is_pulling = True
            gevent.spawn(self._pull, news)

    def _pull(self, news: News) -> None:
        try:
            view = self._fetch_view(news.ip)
        except (BackendError, msgspec.MsgspecError):
            # The peer's next news starts another try, with this or another peer.
            return
        finally:
            self._is_pulling = False
        items = [StoreItem(*item) for item in view.items]
        self._ports.emit(
            ViewPulled(peer=news.host_id, item_count=len(items), revision=view.revision)
        )
        self._ports.catalogue.apply(items, view.revision, f"peer {news.host_id}")
        self._behind_since_ms = None
        self._ports.on_stale_watch()

    def _fetch_view(self, ip: str) -> View:
        _, port = split_address(self._ports.settings.peer_address)
        target = f"{VIEW_PATH}?after={self._ports.catalogue.revision}"
        request = OutgoingRequest(
            f"{ip}:{port}", "GET", target, {}, b"", "", _ID_HEADER, must_echo_id=False
        )
        exchange = Exchange(request, PULL_TIMEOUTS, AbortHandle())
        try:
            exchange.open(lambda: "")
            return _VIEW_DECODER.decode(exchange.read_body(VIEW_LIMIT_BYTES))
        finally:
            exchange.close()

    def _mark_silent(self) -> None:
        now_ms = self._ports.clock.monotonic_ms()
        for ip, peer in list(self._peers.items()):
            silent_ms = now_ms - peer.heard_ms
            if peer.is_silent or silent_ms <= PEER_SILENCE_MS:
                continue
            self._peers[ip] = peer._replace(is_silent=True)
            self._ports.ledger.forget_peer(peer.host_id)
            self._ports.emit(PeerSilent(peer=peer.host_id, silent_ms=silent_ms))
