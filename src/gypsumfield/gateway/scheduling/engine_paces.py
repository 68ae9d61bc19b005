"""Time per event of each engine, from the streams of all hosts and from reports."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from gypsumfield.clock import Clock
from gypsumfield.decisions.pause_budget import EventTimes
from gypsumfield.decisions.pause_budget import PolledEvents
from gypsumfield.decisions.pause_budget import predicted_gap_ms
from gypsumfield.decisions.pause_budget import service_usual_ms
from gypsumfield.decisions.pause_budget import slow_factor
from gypsumfield.gateway.calls import EngineState
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import Publication
from gypsumfield.gateway.wire_loads import WireLoad

# The figures of a whole service are computed once in this time.
SERVICE_CACHE_MS = 500.0


class PauseOutlook(NamedTuple):
    """What the pace of an engine means for the gaps of its streams.

    Attributes:
        longest_gap_ms: Longest gap while a prompt is read; 0 if unknown.
        slow_factor: How much slower than others the engine usually is, at least 1.
    """

    longest_gap_ms: float = 0.0
    slow_factor: float = 1.0


class _ServiceState(NamedTuple):
    """Figures of all engines of a service, and when they were computed."""

    computed_ms: float = -math.inf
    usual_ms: float = 0.0
    over_limit_count: int = 0


class EnginePaces:
    """Estimates the time per event of engines whose streams have a longest gap.

    Nothing is recorded for services without a route that limits the gaps.

    Args:
        catalogue: Routes, and the start of each engine that is registered.
        clock: Monotonic clock.
    """

    def __init__(self, catalogue: Catalogue, clock: Clock) -> None:
        self._catalogue = catalogue
        self._clock = clock
        self._times: dict[str, EventTimes] = {}
        self._polled: dict[str, tuple[int, PolledEvents]] = {}
        self._services: dict[str, _ServiceState] = {}
        self._limits: dict[str, float] = {}
        self._limits_of: Publication | None = None

    def limit_ms(self, service: str) -> float:
        """Return the longest gap that a service's streams may have, or infinity.

        The strictest route counts: all streams of an engine have the same gaps.
        """
        publication = self._catalogue.publication
        if publication is not self._limits_of:
            self._limits_of = publication
            self._limits = _limits_by_service(publication)
        return self._limits.get(service, math.inf)

    def record_gap(self, server_id: str, event_ms: float) -> None:
        """Record the time per event between two reads of a stream of this host."""
        times = self._find(server_id)
        if times is not None:
            times.record_gap(event_ms, self._clock.monotonic_ms())

    def record_state(self, server_id: str, state: EngineState) -> None:
        """Record the events of runs in a report that this host has just queried."""
        times = self._find(server_id, state.started_wall_ms)
        if times is None:
            self._polled.pop(server_id, None)
            return
        start, polled = self._polled.get(server_id, (-1, PolledEvents()))
        if start != times.started_wall_ms:
            polled = PolledEvents()
        self._polled[server_id] = (times.started_wall_ms, polled)
        now_ms = self._clock.monotonic_ms()
        times.record_polled(polled.record(state.event_counts, now_ms), now_ms)

    def record_peer_loads(self, host_id: str, loads: Iterable[WireLoad]) -> None:
        """Record what another host observes on its own streams."""
        now_ms = self._clock.monotonic_ms()
        for load in loads:
            times = self._find(load.server_id)
            if times is not None:
                times.record_peer(host_id, load.event_ms, now_ms)

    def record_shared(
        self,
        server_id: str,
        started_wall_ms: int,
        event_ms: float,
        usual_event_ms: float,
        at_ms: float,
    ) -> None:
        """Record what the host that polls an engine says about its pace.

        Args:
            server_id: The engine.
            started_wall_ms: Its start, or 0 if unknown.
            event_ms: Current time per event, or 0 if unknown.
            usual_event_ms: Usual time per event, or 0 if unknown.
            at_ms: Monotonic time for which it holds.
        """
        times = self._find(server_id, started_wall_ms)
        if times is not None:
            times.record_shared(event_ms, usual_event_ms, at_ms)

    def own_event_ms(self, server_id: str) -> int:
        """Return the time per event of this host's own streams, or 0 if unknown."""
        times = self._find(server_id)
        return round(times.own_ms(self._clock.monotonic_ms())) if times else 0

    def shared_times(self, server_id: str) -> tuple[int, int]:
        """Return the current and the usual time per event; 0 for an unknown one."""
        times = self._find(server_id)
        if times is None:
            return 0, 0
        now_ms = self._clock.monotonic_ms()
        return round(times.current_ms(now_ms)), round(times.usual_ms)

    def own_gap_ms(self, server: BackendServer) -> float:
        """Return the longest gap to expect by this host's own streams; 0 if unknown."""
        return predicted_gap_ms(self.own_event_ms(server.server_id))

    def outlook(self, server: BackendServer) -> PauseOutlook:
        """Return what the pace of an engine means for the gaps of its streams.

        Args:
            server: The engine, as it is registered now.
        """
        # Placements call this for up to a hundred engines: it looks up nothing else.
        times = self._times.get(server.server_id)
        if times is None or times.started_wall_ms != server.started_wall_ms:
            return PauseOutlook()
        usual_ms = times.usual_ms
        # The usual time does not stand in for an unknown one: an engine that is avoided
        # for it would get no streams that could show otherwise.
        event_ms = times.current_ms(self._clock.monotonic_ms())
        service_ms = self._service_state(server.service).usual_ms
        return PauseOutlook(
            predicted_gap_ms(event_ms), slow_factor(usual_ms, service_ms)
        )

    def avoided_count(self, service: str, chosen_gap_ms: float) -> int:
        """Return how many engines exceed the limit, if the chosen one does not."""
        limit_ms = self.limit_ms(service)
        if limit_ms == math.inf or chosen_gap_ms > limit_ms:
            return 0
        return self._service_state(service).over_limit_count

    def _service_state(self, service: str) -> _ServiceState:
        now_ms = self._clock.monotonic_ms()
        state = self._services.get(service, _ServiceState())
        if now_ms - state.computed_ms <= SERVICE_CACHE_MS:
            return state
        known = [
            times
            for record in self._catalogue.servers_of(service)
            if (times := self._times.get(record.server.server_id)) is not None
        ]
        limit_ms = self.limit_ms(service)
        state = self._services[service] = _ServiceState(
            now_ms,
            service_usual_ms(times.usual_ms for times in known),
            sum(predicted_gap_ms(t.current_ms(now_ms)) > limit_ms for t in known),
        )
        return state

    def _find(self, server_id: str, started_wall_ms: int = 0) -> EventTimes | None:
        """Return what is known of the registered start of an engine.

        Args:
            server_id: The engine.
            started_wall_ms: Start that was observed, or 0 if it is unknown. None is
                returned when it is another one than the registered one.
        """
        record = self._catalogue.find_server(server_id)
        if record is None or self.limit_ms(record.server.service) == math.inf:
            return None
        start = record.server.started_wall_ms
        if started_wall_ms and start and started_wall_ms != start:
            return None
        times = self._times.get(server_id)
        if times is None or times.started_wall_ms != start:
            self._discard_gone()
            times = self._times[server_id] = EventTimes(start)
        return times

    def _discard_gone(self) -> None:
        for server_id in list(self._times):
            if self._catalogue.find_server(server_id) is None:
                del self._times[server_id]
                self._polled.pop(server_id, None)


def _limits_by_service(publication: Publication | None) -> dict[str, float]:
    limits: dict[str, float] = {}
    for route in publication.routes if publication else ():
        if route.max_pause_ms is None:
            continue
        for share in route.shares:
            known_ms = limits.get(share.service, math.inf)
            limits[share.service] = min(known_ms, route.max_pause_ms)
    return limits
