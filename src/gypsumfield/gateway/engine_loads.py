"""Load of one engine as this host believes it, from runs, peers' news and reports."""

from gypsumfield.clock import Clock
from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.catalogue import ServerRecord
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.ledger import Ledger

# Time for which an engine that has just started is slow.
FRESH_MS = 3_000.0
# Clocks of two machines differ by less, unless one was stepped.
CLOCK_ERROR_MS = 3_000.0


class EngineLoads:
    """Puts together what is known of engines.

    Args:
        catalogue: Engines and their memory.
        ledger: Runs in flight.
        report_cache: Reports of engines.
        clock: Time.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        ledger: Ledger,
        report_cache: EngineReportCache,
        clock: Clock,
    ) -> None:
        self._catalogue = catalogue
        self._ledger = ledger
        self._report_cache = report_cache
        self._clock = clock

    def load(self, belief: ServerRecord) -> EngineLoad:
        """Return the load of an engine as a candidate for a stream."""
        server = belief.server
        spec = self._catalogue.engine_spec(server.service)
        load = self._ledger.load(server.server_id, self._clock.monotonic_ms())
        report = self._report_cache.find(server.server_id)
        # A report knows what this host's peers left out, but not the prompts that
        # have come since.
        reported_tokens = report.used_tokens if report else 0
        committed_tokens = max(
            load.committed_tokens, reported_tokens + load.waiting_prompt_tokens
        )
        return EngineLoad(
            server_id=server.server_id,
            availability_zone=server.availability_zone,
            slot_count=server.slot_count,
            memory_tokens=spec.memory_tokens if spec else 0,
            stream_count=load.run_count,
            committed_tokens=committed_tokens,
            waiting_count=report.waiting_count if report else 0,
            waiting_prompt_tokens=load.waiting_prompt_tokens,
            is_cold=self.is_cold(belief),
            is_recently_started=self._is_fresh(belief),
        )

    def is_cold(self, belief: ServerRecord) -> bool:
        """Return whether a server bears only a little load now."""
        return belief.cold_until_ms > self._clock.monotonic_ms()

    def _is_fresh(self, belief: ServerRecord) -> bool:
        """Return whether a server has just started, by both clocks.

        A host that has just started itself sees all servers for the first time,
        and the time of day may be off by seconds.
        """
        seen_for_ms = self._clock.monotonic_ms() - belief.first_seen_ms
        age_ms = abs(self._clock.wall_ms() - belief.server.started_wall_ms)
        return seen_for_ms < FRESH_MS and age_ms < FRESH_MS + CLOCK_ERROR_MS


def shows_prefill_rate(load: EngineLoad) -> bool:
    """Return whether a stream's prompt would be read at once, at the usual pace."""
    return not (
        load.waiting_prompt_tokens or load.waiting_count or load.is_recently_started
    )
