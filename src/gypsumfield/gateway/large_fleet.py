"""News of a large fleet: hosts tell their zone's delegates, and these one another.

An ordinary host sends and receives a few datagrams a second whatever the size of the
fleet; the first delegate of a zone sends each of them the same digest.
"""

from collections.abc import Callable

from gypsumfield.decisions.fleet_roles import is_store_slot
from gypsumfield.decisions.fleet_roles import lowest_cold_score
from gypsumfield.decisions.fleet_roles import select_watching_zones
from gypsumfield.decisions.ownership import score_of
from gypsumfield.gateway.advice import Adviser
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.news import ColdLimitNews
from gypsumfield.gateway.news import News
from gypsumfield.gateway.news import NewsKind
from gypsumfield.gateway.news_desk import Due
from gypsumfield.gateway.news_desk import load_news
from gypsumfield.gateway.news_desk import NewsDesk
from gypsumfield.gateway.news_desk import read_loads
from gypsumfield.gateway.news_desk import rough_loads

# Hosts of the zone that a digest names in turn, so that the zone finds together
# again when both delegates are lost at once.
HOSTS_NAMED = 4
# Who may send to a cold server holds for this time after the digest that said so.
COLD_LIMIT_LIFETIME_MS = 1_200.0
# A host without word of changes from its delegates watches the store itself.
UNFED_MS = 1_500.0
_ZONE_PREFIX = "zone "

# Cold servers of a zone, each with the requests a second that it bears.
ColdServers = Callable[[str], list[tuple[BackendServer, int]]]


class LargeFleet:
    """Tells and takes the news of a large fleet."""

    def __init__(
        self, desk: NewsDesk, cold_servers: ColdServers, adviser: Adviser
    ) -> None:
        self._desk = desk
        self._adviser = adviser
        self._cold_servers = cold_servers
        self._told_loads: dict[str, ServerLoad] = {}
        self._told_leaving: set[str] = set()
        self._cold_limits: dict[str, tuple[tuple[int, str], float]] = {}
        self._fed_ms = desk.ports.clock.monotonic_ms()

    @property
    def is_fed(self) -> bool:
        """Whether this host learns of changes."""
        roster = self._desk.ports.roster
        if self._desk.ports.is_reaching():
            return True
        if roster.is_delegate:
            return any(known.is_reaching for known in roster.far_delegates())
        return any(known.is_fed for known in roster.delegates_told())

    def keeps_count_of(self, _server_id: str, availability_zone: str) -> bool:
        """Return whether this host asks an engine of a zone for its reports."""
        roster = self._desk.ports.roster
        return roster.is_first and availability_zone == roster.own.availability_zone

    def must_watch_store(self) -> bool:
        """Return whether this host watches the store itself.

        The first delegates of two zones do. Another host does when nobody tells it
        of changes.
        """
        ports = self._desk.ports
        roster = ports.roster
        if roster.is_first:
            zones = {
                known.card.availability_zone
                for known in roster.far_delegates()
                if known.is_reaching
            }
            own_zone = roster.own.availability_zone
            return own_zone in select_watching_zones({*zones, own_zone})
        now_ms = ports.clock.monotonic_ms()
        if any(known.is_fed for known in roster.delegates_told()):
            self._fed_ms = now_ms
            return False
        if roster.is_delegate:
            return True
        is_slot = is_store_slot(roster.own.host_id, now_ms)
        return is_slot and now_ms - self._fed_ms > UNFED_MS

    def cold_allowed(self, server: BackendServer) -> int:
        """Return how many requests a second this host may send to a cold server."""
        roster = self._desk.ports.roster
        now_ms = self._desk.ports.clock.monotonic_ms()
        limit, heard_ms = self._cold_limits.get(server.server_id, ((0, ""), 0.0))
        if not heard_ms or now_ms - heard_ms > COLD_LIMIT_LIFETIME_MS:
            return 0
        return int(score_of(server.server_id, roster.own.host_id) >= limit)

    def tell(self, due: Due) -> None:
        """Tell the others what is due."""
        roster = self._desk.ports.roster
        if roster.is_first:
            self._speak(due)
            return
        self._tell_delegates(due)
        if roster.is_delegate and due.is_slow_round:
            self._stand_by(due)

    def take(self, news: News) -> None:
        """Take what another host tells of loads and of cold servers."""
        ports = self._desk.ports
        roster = ports.roster
        now_ms = ports.clock.monotonic_ms()
        zone = news.sender.availability_zone
        is_near = zone == roster.own.availability_zone
        if news.kind is NewsKind.MEMBER and is_near:
            loads = read_loads(news.own_loads)
            ports.ledger.update_peer_loads(news.sender.host_id, loads, now_ms)
            if not roster.is_delegate:
                # The sender knows the delegates less well than this host.
                self._desk.greet(news.sender.ip)
        elif news.kind is NewsKind.ZONE and not is_near:
            loads = read_loads(news.own_loads)
            ports.ledger.update_peer_loads(f"{_ZONE_PREFIX}{zone}", loads, now_ms)
            self._desk.take_reports(news)
        elif news.kind is NewsKind.DIGEST and is_near:
            self._take_digest(news, now_ms)
        elif news.question is not None and is_near:
            self._adviser.answer(news.sender.ip, news.question)
        elif news.advice is not None:
            self._adviser.receive_advice(news.advice)

    def _take_digest(self, news: News, now_ms: float) -> None:
        ports = self._desk.ports
        if ports.roster.near_delegates()[:1] != [news.sender.host_id]:
            return
        if news.shared_loads is not None:
            totals = read_loads(news.shared_loads)
            ports.ledger.replace_other_hosts_loads(totals, self._told_loads, now_ms)
            self._keep_cold_limits(news.cold_limits)
        self._desk.take_reports(news)

    def _keep_cold_limits(self, limits: list[ColdLimitNews]) -> None:
        now_ms = self._desk.ports.clock.monotonic_ms()
        self._cold_limits = {
            limit.server_id: ((limit.score, limit.host_id), now_ms) for limit in limits
        }

    def _tell_delegates(self, due: Due) -> None:
        """Tell the delegates of this host's runs."""
        desk = self._desk
        loads = desk.ports.ledger.own_loads()
        own = load_news(loads)
        leaving = desk.leaving()
        fresh = {each.server_id for each in leaving} - self._told_leaving
        is_new = rough_loads(own) != rough_loads(load_news(self._told_loads))
        desk.take_changes()
        if not (due.is_round or is_new or fresh):
            return
        self._told_leaving = {each.server_id for each in leaving}
        datagram = desk.write(NewsKind.MEMBER, own_loads=own, leaving=leaving)
        for number, known in enumerate(desk.ports.roster.delegates_told()):
            if number == 0 or due.is_slow_round or fresh:
                desk.ports.send(known.card.ip, datagram)
                self._told_loads = loads

    def _speak(self, due: Due) -> None:
        """Tell the hosts of the zone and the other zones' delegates, as the first."""
        desk = self._desk
        ports = desk.ports
        changes, after = desk.take_changes()
        leaving = desk.leaving()
        fresh = {each.server_id for each in leaving} - self._told_leaving
        if not (due.is_round or after or fresh):
            return
        self._told_leaving = {each.server_id for each in leaving}
        now_ms = ports.clock.monotonic_ms()
        near = ports.roster.near()
        common = {
            "leaving": leaving,
            "changes": changes,
            "changes_after": max(0, after),
        }
        cold_limits = self._cold_news()
        self._keep_cold_limits(cold_limits)
        totals = ports.ledger.combined_loads(lambda host_id: True, now_ms)
        digest = desk.write(
            NewsKind.DIGEST,
            named=ports.roster.cards_to_name(
                due.round_number * HOSTS_NAMED, HOSTS_NAMED
            ),
            shared_loads=load_news(totals),
            reports=desk.report_news(ports.report_cache.unexpired_reports()),
            cold_limits=cold_limits,
            **common,
        )
        for known in near:
            ports.send(known.card.ip, digest)
        if not (due.is_round or fresh or ports.is_reaching()):
            # The changes came from another zone, which tells the others as well.
            return
        zone_loads = ports.ledger.combined_loads(
            lambda host_id: not host_id.startswith(_ZONE_PREFIX), now_ms
        )
        zone_news = desk.write(
            NewsKind.ZONE,
            named=ports.roster.cards_to_name(0, 0),
            own_loads=load_news(zone_loads),
            reports=desk.report_news(ports.report_cache.queried_reports()),
            **common,
        )
        for known in ports.roster.far_delegates():
            ports.send(known.card.ip, zone_news)

    def _stand_by(self, due: Due) -> None:
        """Show the zone and the other zones' delegates that this host is there."""
        desk = self._desk
        roster = desk.ports.roster
        named = roster.cards_to_name(due.round_number, HOSTS_NAMED)
        digest = desk.write(NewsKind.DIGEST, named=named)
        for known in roster.near():
            desk.ports.send(known.card.ip, digest)
        for known in roster.far_delegates():
            desk.greet(known.card.ip)

    def _cold_news(self) -> list[ColdLimitNews]:
        """Return who of the zone may send to its cold servers."""
        roster = self._desk.ports.roster
        if not roster.is_settled or not roster.hears_most_of_zone:
            return []
        hosts = [roster.own.host_id, *(each.card.host_id for each in roster.near())]
        limits = []
        for server, bound_per_s in self._cold_servers(roster.own.availability_zone):
            score = lowest_cold_score(server.server_id, hosts, bound_per_s)
            if score is not None:
                limits.append(ColdLimitNews(server.server_id, *score))
        return limits
