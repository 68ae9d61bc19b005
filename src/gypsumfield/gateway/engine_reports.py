"""Engines' reports of their load, queried by one host and sent to the others."""

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
from gypsumfield.interfaces import EmitEvent
from gypsumfield.loops import run_forever

# Engines renew their report about twice a second.
QUERY_INTERVAL_MS = 500.0
# An older report no longer describes the memory of the engine.
REPORT_LIFETIME_MS = 1_500.0


class EngineReport(NamedTuple):
    """Report of one engine, with the time of its arrival.

    Attributes:
        waiting_count: Requests that wait on the engine for a slot or for memory.
        used_tokens: Memory that the engine cannot free, in tokens.
        is_leaving: Whether the engine has announced that it will leave.
        received_ms: When this host or the sending peer received it, on this host's
            monotonic clock.
        started_wall_ms: Start that the engine names, or 0 if it is not known.
        asked_ms: When the engine was asked, on this host's monotonic clock.
    """

    waiting_count: int
    used_tokens: int
    is_leaving: bool
    received_ms: float
    started_wall_ms: int = 0
    asked_ms: float = 0.0


class EngineReportCache:
    """Latest report of each engine, whichever host queried it.

    Attributes:
        record_start: Takes an engine's id, the start that its report names, and the
            monotonic time at which it was asked.
        record_state: Takes an engine's id and the state that this host queried.
    """

    def __init__(self, catalogue: Catalogue, clock: Clock) -> None:
        self.record_start: Callable[[str, int, float], None] = lambda *_: None
        self.record_state: Callable[[str, EngineState], None] = lambda *_: None
        self._catalogue = catalogue
        self._clock = clock
        self._reports: dict[str, EngineReport] = {}
        self._queried: dict[str, EngineReport] = {}

    def put(self, server_id: str, report: EngineReport, source: str) -> None:
        """Store a report; an engine that is leaving gets no new work from now on.

        Args:
            server_id: The engine.
            report: Its report.
            source: Where the report came from, for the log.
        """
        self._reports[server_id] = report
        self.record_start(server_id, report.started_wall_ms, report.asked_ms)
        if report.is_leaving:
            self._catalogue.mark_leaving(server_id, source)

    def put_queried(self, server_id: str, state: EngineState, asked_ms: float) -> None:
        """Store a report that this host queried, to be sent to its peers.

        Args:
            server_id: The engine.
            state: Its answer.
            asked_ms: Monotonic time at which it was asked.
        """
        report = EngineReport(
            state.waiting_count,
            state.used_tokens,
            state.is_leaving,
            self._clock.monotonic_ms(),
            state.started_wall_ms,
            asked_ms,
        )
        self._queried[server_id] = report
        self.put(server_id, report, "engine report")
        self.record_state(server_id, state)

    def queried_reports(self) -> dict[str, EngineReport]:
        """Return the unexpired reports that this host queried, by engine."""
        oldest_ms = self._clock.monotonic_ms() - REPORT_LIFETIME_MS
        for server_id, report in list(self._queried.items()):
            if report.received_ms < oldest_ms:
                del self._queried[server_id]
        return dict(self._queried)

    def unexpired_reports(self) -> dict[str, EngineReport]:
        """Return all unexpired reports by engine, whichever host queried them."""
        oldest_ms = self._clock.monotonic_ms() - REPORT_LIFETIME_MS
        for server_id, report in list(self._reports.items()):
            if report.received_ms < oldest_ms:
                del self._reports[server_id]
        return dict(self._reports)

    def find(self, server_id: str) -> EngineReport | None:
        """Return the unexpired report of an engine, or None."""
        report = self._reports.get(server_id)
        if report is None:
            return None
        age_ms = self._clock.monotonic_ms() - report.received_ms
        if age_ms > REPORT_LIFETIME_MS:
            del self._reports[server_id]
            return None
        return report


class ReportPollerDependencies(NamedTuple):
    """Dependencies of the poller.

    Attributes:
        should_track_engine: Whether this host queries an engine; takes the engine's id
            and its zone.
        read_state: Queries one engine; raises `BackendError`.
        catalogue: Registered engines.
        ledger: Runs in flight; engines without any are not queried.
        report_cache: Receives the reports.
        notices: Engines that asked for no requests, or that limit them, are not
            queried.
        clock: Monotonic clock.
        emit: Writes an event to the log.
    """

    should_track_engine: Callable[[str, str], bool]
    read_state: Callable[[BackendServer], EngineState]
    catalogue: Catalogue
    ledger: Ledger
    report_cache: EngineReportCache
    notices: ServerNotices
    clock: Clock
    emit: EmitEvent


class EngineReportPoller:
    """Queries the engines assigned to this host at intervals, while they have work."""

    def __init__(self, deps: ReportPollerDependencies) -> None:
        self._deps = deps
        self._pending_ids: set[str] = set()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start querying the engines in the background."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop querying the engines."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        deps = self._deps
        run_forever("engine reports", self._run_round, deps.clock, deps.emit)

    def _run_round(self) -> None:
        gevent.sleep(QUERY_INTERVAL_MS / MS_PER_S)
        for server in self._servers_to_query():
            self._pending_ids.add(server.server_id)
            gevent.spawn(self._query, server)

    def _servers_to_query(self) -> list[BackendServer]:
        deps = self._deps
        now_ms = deps.clock.monotonic_ms()
        return [
            record.server
            for service in deps.catalogue.engine_services()
            for record in deps.catalogue.servers_of(service)
            if record.server.server_id not in self._pending_ids
            and deps.should_track_engine(
                record.server.server_id, record.server.availability_zone
            )
            and not deps.notices.pause_ms(record.server)
            and deps.notices.limit_per_s(record.server) is None
            and deps.ledger.load(record.server.server_id, now_ms).run_count
        ]

    def _query(self, server: BackendServer) -> None:
        asked_ms = self._deps.clock.monotonic_ms()
        try:
            state = self._deps.read_state(server)
        except BackendError as error:
            self._deps.emit(
                ReportFailed(
                    service=server.service,
                    backend_server=server.server_id,
                    reason=str(error),
                )
            )
            return
        finally:
            self._pending_ids.discard(server.server_id)
        self._deps.report_cache.put_queried(server.server_id, state, asked_ms)
