"""Targets for copies of runs, and the memory that is kept free for them."""

import math
from collections.abc import Sequence

from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import StreamDemand
from gypsumfield.decisions.rescue_targets import CopyRoom
from gypsumfield.decisions.rescue_targets import RECENT_MS
from gypsumfield.decisions.rescue_targets import RecentCopies
from gypsumfield.decisions.rescue_targets import select_rescue_target
from gypsumfield.decisions.rescue_targets import WAVE_WINDOW_MS
from gypsumfield.gateway.model import can_move
from gypsumfield.gateway.server_placement import PlacementDependencies

# Announcements are counted at this interval; a count visits every engine.
COUNT_INTERVAL_MS = 200.0


class Rescues:
    """This host's recent copies, and the announcements of leaving engines.

    Args:
        deps: Registrations of engines, the clock and the random source.
    """

    def __init__(self, deps: PlacementDependencies) -> None:
        self._catalogue = deps.catalogue
        self._clock = deps.clock
        self._rng = deps.rng
        self._is_large_fleet = deps.is_large_fleet
        self._copied_ms: dict[str, float] = {}
        self._refused_ms: dict[str, float] = {}
        # By service: when each start of an engine was first seen leaving.
        self._announced_ms: dict[str, dict[tuple[str, int], float]] = {}
        self._rooms: dict[str, CopyRoom] = {}
        self._room_ratios: dict[str, tuple[float, float]] = {}

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

    @property
    def largest_room_ratio(self) -> float:
        """Largest share of memory that is kept free now, over all services."""
        return max((ratio for _, ratio in self._room_ratios.values()), default=0.0)

    def room_ratio(self, service: str, time_left_ms: float) -> float:
        """Return the share of each engine's memory that a new stream leaves free.

        A stream at the end of its wait leaves none: a late answer is worth something.
        In a small fleet, runs are copied from their start instead.

        Args:
            service: Service of the stream.
            time_left_ms: Time left in which the stream may start; infinite at the end.
        """
        if time_left_ms == math.inf or not self._is_large_fleet():
            return 0.0
        if not can_move(self._catalogue.engine_spec(service)):
            return 0.0
        now_ms = self._clock.monotonic_ms()
        counted_ms, ratio = self._room_ratios.get(service, (None, 0.0))
        if counted_ms is None or now_ms - counted_ms >= COUNT_INTERVAL_MS:
            ratio = self._count(service, now_ms)
            self._room_ratios[service] = (now_ms, ratio)
        return ratio

    def _count(self, service: str, now_ms: float) -> float:
        records = self._catalogue.servers_of(service)
        known = self._announced_ms.get(service, {})
        announced = {
            start: at_ms
            for start, at_ms in known.items()
            if now_ms - at_ms < WAVE_WINDOW_MS
        }
        for record in records:
            start = (record.server.server_id, record.server.started_wall_ms)
            # A record that still shows an expired announcement is not a new one.
            if self._catalogue.is_leaving(record):
                announced[start] = known.get(start, now_ms)
        self._announced_ms[service] = announced
        room = self._rooms.setdefault(service, CopyRoom())
        return room.update(announced.values(), len(records), now_ms)

    def _recent(self, times_ms: dict[str, float]) -> set[str]:
        oldest_ms = self._clock.monotonic_ms() - RECENT_MS
        for server_id, at_ms in list(times_ms.items()):
            if at_ms < oldest_ms:
                del times_ms[server_id]
        return set(times_ms)
