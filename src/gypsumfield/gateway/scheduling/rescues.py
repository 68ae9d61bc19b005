"""Targets for copies of runs on leaving engines."""

from collections.abc import Sequence

from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import StreamDemand
from gypsumfield.decisions.rescue_targets import RECENT_MS
from gypsumfield.decisions.rescue_targets import RecentCopies
from gypsumfield.decisions.rescue_targets import select_rescue_target
from gypsumfield.gateway.server_placement import PlacementDependencies


class Rescues:
    """This host's recent copies, and the selection of targets for further ones.

    Args:
        deps: The clock and the random source.
    """

    def __init__(self, deps: PlacementDependencies) -> None:
        self._clock = deps.clock
        self._rng = deps.rng
        self._copied_ms: dict[str, float] = {}
        self._refused_ms: dict[str, float] = {}

    def select(
        self, engines: Sequence[EngineLoad], demand: StreamDemand
    ) -> EngineLoad | None:
        """Return the engine that receives a copy of a run, or None."""
        recent = RecentCopies(
            self._recent(self._copied_ms), self._recent(self._refused_ms)
        )
        return select_rescue_target(engines, demand, recent, self._rng)

    def record_copy(self, server_id: str) -> None:
        """Record that a copy is sent to an engine."""
        self._copied_ms[server_id] = self._clock.monotonic_ms()

    def record_refusal(self, server_id: str) -> None:
        """Record that an engine refused a copy."""
        self._refused_ms[server_id] = self._clock.monotonic_ms()

    def _recent(self, times_ms: dict[str, float]) -> set[str]:
        oldest_ms = self._clock.monotonic_ms() - RECENT_MS
        for server_id, at_ms in list(times_ms.items()):
            if at_ms < oldest_ms:
                del times_ms[server_id]
        return set(times_ms)
