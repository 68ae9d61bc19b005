"""Places a share of new streams in other zones while the local engines are loaded."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import select_engine
from gypsumfield.decisions.placement import StreamDemand
from gypsumfield.decisions.zone_overflow import accepts_overflow
from gypsumfield.decisions.zone_overflow import zone_loads
from gypsumfield.decisions.zone_overflow import ZoneLoad
from gypsumfield.decisions.zone_overflow import ZoneOverflow
from gypsumfield.gateway.scheduling.events import OverflowEnded
from gypsumfield.gateway.scheduling.events import OverflowStarted
from gypsumfield.gateway.scheduling.messages import PlacementQuery
from gypsumfield.gateway.server_placement import PlacementDependencies

# Loads of other hosts change every few hundred milliseconds.
UPDATE_INTERVAL_MS = 100.0
# Without new streams for this time, nothing is known about the present shares.
SHARES_LIFETIME_MS = 2_000.0


class _Episode(NamedTuple):
    """Overflow into one zone: its start, and the streams sent there before it."""

    started_ms: float
    stream_count: int


class _ServiceState:
    """Overflow of one service."""

    def __init__(self, own_zone: str) -> None:
        self.decision = ZoneOverflow(own_zone)
        self.updated_ms: float | None = None
        self.stream_counts: dict[str, int] = {}
        self.episodes: dict[str, _Episode] = {}


class Overflow:
    """Decides for each new stream of a large fleet whether it leaves the zone.

    Args:
        deps: Zone of the host, evacuations, the clock and the random source.
        is_zone_suspect: Returns whether the network to a zone may be partitioned, by
            zone and monotonic time.
    """

    def __init__(
        self,
        deps: PlacementDependencies,
        is_zone_suspect: Callable[[str, float], bool],
    ) -> None:
        self._deps = deps
        self._is_zone_suspect = is_zone_suspect
        self._states: dict[str, _ServiceState] = {}

    @property
    def stream_count(self) -> int:
        """Number of streams for which a remote zone was chosen."""
        states = self._states.values()
        return sum(sum(state.stream_counts.values()) for state in states)

    @property
    def largest_share(self) -> float:
        """Largest share of a service's new streams that leaves the zone now."""
        oldest_ms = self._deps.clock.monotonic_ms() - SHARES_LIFETIME_MS
        return max(
            (
                sum(state.decision.shares.values())
                for state in self._states.values()
                if state.updated_ms is not None and state.updated_ms >= oldest_ms
            ),
            default=0.0,
        )

    def select(
        self,
        query: PlacementQuery,
        engines: Sequence[EngineLoad],
        demand: StreamDemand,
    ) -> EngineLoad | None:
        """Return the engine for a stream, or None when none fits.

        Args:
            query: Requirements of the stream.
            engines: Engines that may receive it.
            demand: What is planned for it.
        """
        rng = self._deps.rng
        remote = select_engine(self._remote(query, engines, demand), demand, rng)
        if remote is None:
            return select_engine(engines, demand, rng)
        counts = self._state(query.service).stream_counts
        zone = remote.availability_zone
        counts[zone] = counts.get(zone, 0) + 1
        return remote

    def _remote(
        self,
        query: PlacementQuery,
        engines: Sequence[EngineLoad],
        demand: StreamDemand,
    ) -> list[EngineLoad]:
        """Return the engines of the remote zone for a stream, or none to stay.

        Streams that continue and those that an engine has refused stay: only the
        first choice for a new stream leaves the zone early.
        """
        if query.has_begun or query.excluded or query.full:
            return []
        if not self._deps.is_large_fleet():
            return []
        pace = demand.pace
        state = self._state(query.service)
        now_ms = self._deps.clock.monotonic_ms()
        if state.updated_ms is None or now_ms - state.updated_ms >= UPDATE_INTERVAL_MS:
            state.updated_ms = now_ms
            self._update(query.service, state, zone_loads(engines, pace), pace, now_ms)
        zone = state.decision.select_zone(self._deps.rng)
        return [
            engine
            for engine in engines
            if engine.availability_zone == zone and accepts_overflow(engine, demand)
        ]

    def _state(self, service: str) -> _ServiceState:
        state = self._states.get(service)
        if state is None:
            state = _ServiceState(self._deps.availability_zone)
            self._states[service] = state
        return state

    def _update(
        self,
        service: str,
        state: _ServiceState,
        loads: Mapping[str, ZoneLoad],
        pace: Pace,
        now_ms: float,
    ) -> None:
        barred = {
            zone
            for zone in loads
            if self._is_zone_suspect(zone, now_ms)
            or zone in self._deps.catalogue.evacuated_zones
        }
        state.decision.update(loads, barred, pace.run_ms)
        shares = state.decision.shares
        own_load = _load_of(loads, self._deps.availability_zone)
        for zone in set(state.episodes) - set(shares):
            episode = state.episodes.pop(zone)
            self._deps.emit(
                OverflowEnded(
                    service=service,
                    availability_zone=zone,
                    local_load=own_load,
                    remote_load=_load_of(loads, zone),
                    stream_count=state.stream_counts.get(zone, 0)
                    - episode.stream_count,
                    duration_ms=now_ms - episode.started_ms,
                )
            )
        for zone in set(shares) - set(state.episodes):
            count = state.stream_counts.get(zone, 0)
            state.episodes[zone] = _Episode(now_ms, count)
            self._deps.emit(
                OverflowStarted(
                    service=service,
                    availability_zone=zone,
                    local_load=own_load,
                    remote_load=_load_of(loads, zone),
                    share=shares[zone],
                )
            )


def _load_of(loads: Mapping[str, ZoneLoad], zone: str) -> float:
    return round(loads[zone].load, 3) if zone in loads else 0.0
