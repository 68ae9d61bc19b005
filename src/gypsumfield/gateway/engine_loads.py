"""Estimated load of one engine, from own runs, peers' reports and engine reports."""

from typing import TYPE_CHECKING

from gypsumfield.clock import Clock
from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.model import ServerRecord

if TYPE_CHECKING:
    from gypsumfield.gateway.scheduling import EnginePaces

# An engine is slow for this time after its start.
SLOW_START_MS = 3_000.0
# Wall clocks of two machines differ by less than this, unless one was stepped.
CLOCK_ERROR_MS = 3_000.0


class EngineLoads:
    """Computes the load of engines from runs, reports and registrations.

    Args:
        catalogue: Registrations of engines and the capacity of their services.
        ledger: Runs in flight on each engine, over all hosts.
        report_cache: Latest report of each engine.
        engine_paces: Time per event of each engine.
        clock: Monotonic and wall clock, in milliseconds.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        ledger: Ledger,
        report_cache: EngineReportCache,
        engine_paces: "EnginePaces",
        clock: Clock,
    ) -> None:
        self._catalogue = catalogue
        self._ledger = ledger
        self._report_cache = report_cache
        self._engine_paces = engine_paces
        self._clock = clock

    def load(self, record: ServerRecord) -> EngineLoad:
        """Return the load of an engine as a candidate for a stream."""
        server = record.server
        spec = self._catalogue.engine_spec(server.service)
        load = self._ledger.load(server.server_id, self._clock.monotonic_ms())
        report = self._report_cache.find(server.server_id)
        # A report includes runs that peers have not reported, but not the prompts
        # that were sent after it.
        reported_tokens = report.used_tokens if report else 0
        committed_tokens = max(
            load.committed_tokens, reported_tokens + load.waiting_prompt_tokens
        )
        outlook = self._engine_paces.outlook(server)
        return EngineLoad(
            server_id=server.server_id,
            availability_zone=server.availability_zone,
            slot_count=server.slot_count,
            memory_tokens=spec.memory_tokens if spec else 0,
            stream_count=load.run_count,
            committed_tokens=committed_tokens,
            waiting_count=report.waiting_count if report else 0,
            waiting_prompt_tokens=load.waiting_prompt_tokens,
            is_cold=self.is_cold(record),
            is_recently_started=self._is_recently_started(record),
            longest_gap_ms=outlook.longest_gap_ms,
            slow_factor=outlook.slow_factor,
        )

    def is_cold(self, record: ServerRecord) -> bool:
        """Return whether a server is cold and accepts only a reduced load."""
        return record.cold_until_ms > self._clock.monotonic_ms()

    def _is_recently_started(self, record: ServerRecord) -> bool:
        """Return whether a server has just started, by both clocks.

        Neither clock is enough: a host that has just started itself sees all
        servers for the first time, and the wall clock may be off by seconds.
        """
        since_seen_ms = self._clock.monotonic_ms() - record.first_seen_ms
        age_ms = abs(self._clock.wall_ms() - record.server.started_wall_ms)
        return since_seen_ms < SLOW_START_MS and age_ms < SLOW_START_MS + CLOCK_ERROR_MS


def shows_prefill_rate(load: EngineLoad) -> bool:
    """Return whether the time to a first event would show the engine's prefill speed.

    It does when no other work delays the prompt and the engine is not in the slow
    time after its start.
    """
    return not (
        load.waiting_prompt_tokens or load.waiting_count or load.is_recently_started
    )
