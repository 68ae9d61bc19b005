"""What engines say of themselves, asked for by one host and told to the others."""

from collections.abc import Callable
from typing import NamedTuple

import gevent

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.calls import EngineState
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.events import ReportFailed
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.ports import EmitEvent

# Engines renew their report about twice a second.
INTERVAL_MS = 500.0
# A report older than this says nothing about the engine's memory any more.
REPORT_LIFETIME_MS = 1_500.0


class EngineReport(NamedTuple):
    """Report of one engine as this host knows it.

    Attributes:
        waiting_count: Requests that wait for a slot or for memory.
        used_tokens: Memory that cannot be freed.
        is_leaving: Whether the engine is about to be gone.
        heard_ms: When the report arrived here.
    """

    waiting_count: int
    used_tokens: int
    is_leaving: bool
    heard_ms: float


class EngineReportCache:
    """Latest report of each engine, whoever asked for it."""

    def __init__(self, catalogue: Catalogue, clock: Clock) -> None:
        self._catalogue = catalogue
        self._clock = clock
        self._reports: dict[str, EngineReport] = {}
        self._own: dict[str, EngineReport] = {}

    def put(self, server_id: str, report: EngineReport, source: str) -> None:
        """Keep a report; a leaving engine gets no new work from now on."""
        self._reports[server_id] = report
        if report.is_leaving:
            self._catalogue.mark_leaving(server_id, source)

    def put_queried(self, server_id: str, state: EngineState) -> None:
        """Keep a report that this host asked for, to tell its peers."""
        report = EngineReport(
            state.waiting_count,
            state.used_tokens,
            state.is_leaving,
            self._clock.monotonic_ms(),
        )
        self._own[server_id] = report
        self.put(server_id, report, "engine report")

    def queried_reports(self) -> dict[str, EngineReport]:
        """Return the fresh reports that this host asked for, by engine."""
        since_ms = self._clock.monotonic_ms() - REPORT_LIFETIME_MS
        for server_id, report in list(self._own.items()):
            if report.heard_ms < since_ms:
                del self._own[server_id]
        return dict(self._own)

    def unexpired_reports(self) -> dict[str, EngineReport]:
        """Return all fresh reports, whoever asked for them, by engine."""
        since_ms = self._clock.monotonic_ms() - REPORT_LIFETIME_MS
        for server_id, report in list(self._reports.items()):
            if report.heard_ms < since_ms:
                del self._reports[server_id]
        return dict(self._reports)

    def find(self, server_id: str) -> EngineReport | None:
        """Return the fresh report of an engine, or None."""
        report = self._reports.get(server_id)
        if report is None:
            return None
        age_ms = self._clock.monotonic_ms() - report.heard_ms
        if age_ms > REPORT_LIFETIME_MS:
            del self._reports[server_id]
            return None
        return report


class ReportPollerDependencies(NamedTuple):
    """What asking for reports uses.

    Attributes:
        keeps_count_of: Whether an engine of a zone falls to this host.
        read_state: Asks one engine.
    """

    keeps_count_of: Callable[[str, str], bool]
    read_state: Callable[[BackendServer], EngineState]
    catalogue: Catalogue
    ledger: Ledger
    report_cache: EngineReportCache
    notices: ServerNotices
    clock: Clock
    emit: EmitEvent


class EngineReportPoller:
    """Asks the engines that fall to this host, as long as they have work."""

    def __init__(self, ports: ReportPollerDependencies) -> None:
        self._ports = ports
        self._asking: set[str] = set()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to ask."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the rounds."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            gevent.sleep(INTERVAL_MS / MS_PER_S)
            for server in self._servers():
                self._asking.add(server.server_id)
                gevent.spawn(self._ask, server)

    def _servers(self) -> list[BackendServer]:
        ports = self._ports
        now_ms = ports.clock.monotonic_ms()
        return [
            belief.server
            for service in ports.catalogue.engine_services()
            for belief in ports.catalogue.servers_of(service)
            if belief.server.server_id not in self._asking
            and ports.keeps_count_of(
                belief.server.server_id, belief.server.availability_zone
            )
            and not ports.notices.quiet_ms(belief.server)
            and ports.ledger.load(belief.server.server_id, now_ms).run_count
        ]

    def _ask(self, server: BackendServer) -> None:
        try:
            state = self._ports.read_state(server)
        except BackendError as error:
            self._ports.emit(
                ReportFailed(
                    service=server.service,
                    backend_server=server.server_id,
                    reason=str(error),
                )
            )
            return
        finally:
            self._asking.discard(server.server_id)
        self._ports.report_cache.put_queried(server.server_id, state)
