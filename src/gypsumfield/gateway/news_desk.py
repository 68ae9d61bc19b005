"""What this host has to tell the others, piece by piece."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from gypsumfield.clock import Clock
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.engine_reports import EngineReport
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.news import encode_news
from gypsumfield.gateway.news import ItemNews
from gypsumfield.gateway.news import LeavingNews
from gypsumfield.gateway.news import LoadNews
from gypsumfield.gateway.news import News
from gypsumfield.gateway.news import NewsKind
from gypsumfield.gateway.news import ReportNews
from gypsumfield.gateway.roster import Roster

# A change that fits into one datagram is sent along; others are pulled.
CHANGES_BYTES = 900
# Hosts that a greeting names beside the best of each zone.
GREETING_NAMES = 4
# A server's word that it leaves is told again in each round for this time.
LEAVING_TOLD_MS = 3_000.0
# Growth of a few runs is no news; a prompt more or less is.
TOLD_STEP_TOKENS = 1_024


class Due(NamedTuple):
    """What is due when others are told.

    Attributes:
        is_round: Whether signs of life are due.
        is_slow_round: Whether those are due that are given more seldom.
        round_number: Number of the round.
    """

    is_round: bool
    is_slow_round: bool
    round_number: int


class DeskPorts(NamedTuple):
    """What news is made of.

    Attributes:
        roster: Hosts that are heard.
        catalogue: The published view.
        ledger: Runs in flight.
        report_cache: Reports of engines.
        is_reaching: Whether the store answers this host.
        is_fed: Whether this host learns of changes.
        send: Sends a datagram to an IP.
        clock: Time.
    """

    roster: Roster
    catalogue: Catalogue
    ledger: Ledger
    report_cache: EngineReportCache
    is_reaching: Callable[[], bool]
    is_fed: Callable[[], bool]
    send: Callable[[str, bytes], None]
    clock: Clock


class NewsDesk:
    """Makes and sends news of this host.

    Attributes:
        ports: What news is made of.
    """

    def __init__(self, ports: DeskPorts) -> None:
        self.ports = ports
        self._told_revision = 0

    def write(self, kind: NewsKind, **parts: Any) -> bytes:
        """Return a datagram; ``parts`` are the fields of `News` that are not usual."""
        ports = self.ports
        news = News(
            kind,
            ports.roster.own,
            ports.catalogue.revision,
            ports.is_reaching(),
            ports.is_fed(),
            zone_host_count=ports.roster.zone_count_to_tell,
            fleet_host_count=ports.roster.fleet_count_to_tell,
            **parts,
        )
        return encode_news(news)

    def greet(self, ip: str) -> None:
        """Tell a host who is here."""
        named = self.ports.roster.cards_to_name(0, GREETING_NAMES)
        self.ports.send(ip, self.write(NewsKind.GREETING, named=named))

    def take_changes(self) -> tuple[list[ItemNews], int]:
        """Return what changed since the last call, if it fits into a datagram.

        Returns:
            The changes and the revision they follow on; nothing and -1 when they
            have to be pulled; nothing and 0 when nothing changed.
        """
        catalogue = self.ports.catalogue
        after, self._told_revision = self._told_revision, catalogue.revision
        if after == catalogue.revision:
            return [], 0
        changes = [ItemNews(*item) for item in catalogue.items_after(after)]
        size = sum(len(item.key) + len(item.value or b"") for item in changes)
        return (changes, after) if after and size <= CHANGES_BYTES else ([], -1)

    def leaving(self) -> list[LeavingNews]:
        """Return the servers that said lately that they leave."""
        starts = self.ports.catalogue.recently_leaving(LEAVING_TOLD_MS)
        return [LeavingNews(*start) for start in starts]

    def report_news(self, reports: Mapping[str, EngineReport]) -> list[ReportNews]:
        """Return the wire form of engines' reports."""
        now_ms = self.ports.clock.monotonic_ms()
        return [
            ReportNews(
                server_id,
                report.waiting_count,
                report.used_tokens,
                report.is_leaving,
                int(now_ms - report.heard_ms),
            )
            for server_id, report in reports.items()
        ]

    def take_reports(self, news: News) -> None:
        """Keep the reports that another host tells."""
        now_ms = self.ports.clock.monotonic_ms()
        for each in news.reports:
            report = EngineReport(
                each.waiting_count,
                each.used_tokens,
                each.is_leaving,
                now_ms - each.age_ms,
            )
            source = f"peer {news.sender.host_id}"
            self.ports.report_cache.put(each.server_id, report, source)


def load_news(loads: Mapping[str, ServerLoad]) -> list[LoadNews]:
    """Return the wire form of loads by server."""
    return [LoadNews(server_id, *load) for server_id, load in loads.items()]


def read_loads(news: list[LoadNews]) -> dict[str, ServerLoad]:
    """Return loads by server from their wire form."""
    return {
        load.server_id: ServerLoad(
            load.run_count, load.committed_tokens, load.waiting_prompt_tokens
        )
        for load in news
    }


def rough_loads(loads: list[LoadNews]) -> list[tuple[str, int, int]]:
    """Return loads without the small differences that are no news."""
    return [
        (load.server_id, load.run_count, load.committed_tokens // TOLD_STEP_TOKENS)
        for load in loads
    ]
