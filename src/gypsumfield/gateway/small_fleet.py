"""News of a small fleet: every host tells every other one.

Each engine has one host that keeps count of its runs: the others tell it theirs, and
it tells them the sum.
"""

from gypsumfield.decisions.fleet_roles import is_store_watcher
from gypsumfield.decisions.fleet_roles import select_counting_host
from gypsumfield.gateway.news import LoadNews
from gypsumfield.gateway.news import News
from gypsumfield.gateway.news import NewsKind
from gypsumfield.gateway.news_desk import Due
from gypsumfield.gateway.news_desk import NewsDesk
from gypsumfield.gateway.news_desk import read_loads
from gypsumfield.gateway.news_desk import rough_loads

HOSTS_NAMED = 8


class SmallFleet:
    """Tells and takes the news of a small fleet."""

    def __init__(self, desk: NewsDesk) -> None:
        self._desk = desk
        self._told: dict[str, list[tuple[str, int, int]]] = {}
        # Both follow from the hosts that are heard.
        self._counting: dict[str, str] = {}
        self._known_zones: dict[str, str] | None = None

    def note_hosts(self) -> None:
        """Take up that other hosts are heard than before."""
        self._known_zones = None
        self._counting.clear()

    @property
    def _zones(self) -> dict[str, str]:
        if self._known_zones is None:
            self._known_zones = self._desk.ports.roster.zones()
        return self._known_zones

    def keeps_count_of(self, server_id: str, availability_zone: str) -> bool:
        """Return whether this host keeps count of an engine's runs."""
        own_id = self._desk.ports.roster.own.host_id
        return self._counting_host(server_id, availability_zone) == own_id

    def must_watch_store(self) -> bool:
        """Return whether this host watches the store itself.

        It does as a watcher of its zone, and whenever no watcher of its zone
        says that it reaches the store.
        """
        roster = self._desk.ports.roster
        if is_store_watcher(roster.own.host_id, self._zones):
            return True
        return not any(
            known.is_reaching and is_store_watcher(known.card.host_id, self._zones)
            for known in roster.near()
            if known.card.host_id in self._zones
        )

    def tell(self, due: Due) -> None:
        """Tell the others what is due."""
        desk = self._desk
        changes, after = desk.take_changes()
        counted = self._counted_servers()
        own_loads = self._own_loads()
        for known in desk.ports.roster.live():
            host_id = known.card.host_id
            own = own_loads.get(host_id, [])
            shared = self._shared_loads(host_id, counted)
            is_new = self._is_new(host_id, own, shared)
            if not (due.is_round or is_new or after):
                continue
            datagram = desk.write(
                NewsKind.PEER,
                named=desk.ports.roster.cards_to_name(due.round_number, HOSTS_NAMED),
                own_loads=own,
                shared_loads=shared,
                reports=desk.report_news(desk.ports.report_cache.queried_reports()),
                leaving=desk.leaving(),
                changes=changes,
                changes_after=max(0, after),
            )
            desk.ports.send(known.card.ip, datagram)

    def take(self, news: News) -> None:
        """Take the loads that another host tells."""
        ports = self._desk.ports
        now_ms = ports.clock.monotonic_ms()
        ports.ledger.update_peer_loads(
            news.sender.host_id, read_loads(news.own_loads), now_ms
        )
        for server_id, load in read_loads(news.shared_loads or []).items():
            ports.ledger.set_other_hosts_load(server_id, load, now_ms)
        self._desk.take_reports(news)

    def _counting_host(self, server_id: str, availability_zone: str) -> str:
        if server_id not in self._counting:
            self._counting[server_id] = select_counting_host(
                server_id, availability_zone, self._zones
            )
        return self._counting[server_id]

    def _is_new(
        self, host_id: str, own: list[LoadNews], shared: list[LoadNews]
    ) -> bool:
        """Return whether loads differ from those told last by more than a little."""
        told = rough_loads([*own, *shared])
        is_new = self._told.get(host_id, []) != told
        self._told[host_id] = told
        return is_new

    def _own_loads(self) -> dict[str, list[LoadNews]]:
        """Return this host's runs by the host that keeps count of their engine."""
        ports = self._desk.ports
        loads: dict[str, list[LoadNews]] = {}
        for server_id, load in ports.ledger.own_loads().items():
            belief = ports.catalogue.find_server(server_id)
            if belief is None:
                continue
            zone = belief.server.availability_zone
            host_id = self._counting_host(server_id, zone)
            loads.setdefault(host_id, []).append(LoadNews(server_id, *load))
        return loads

    def _counted_servers(self) -> list[str]:
        ports = self._desk.ports
        counted = []
        for server_id in ports.ledger.servers_with_runs():
            belief = ports.catalogue.find_server(server_id)
            if belief is not None and self.keeps_count_of(
                server_id, belief.server.availability_zone
            ):
                counted.append(server_id)
        return counted

    def _shared_loads(self, receiver: str, counted: list[str]) -> list[LoadNews]:
        ports = self._desk.ports
        now_ms = ports.clock.monotonic_ms()
        return [
            LoadNews(
                server_id,
                *ports.ledger.load_excluding_peer(server_id, receiver, now_ms),
            )
            for server_id in counted
        ]
