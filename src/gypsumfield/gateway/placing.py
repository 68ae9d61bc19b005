"""Selects backend servers by this host's records of them."""

from collections import defaultdict
from collections.abc import Collection
from typing import TYPE_CHECKING

from gypsumfield.decisions.fleet_shares import ColdShare
from gypsumfield.decisions.pace import mean_pace
from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.pace import PaceEstimator
from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import LARGE_FLEET_SAMPLE
from gypsumfield.decisions.placement import PlainLoad
from gypsumfield.decisions.placement import SampleSize
from gypsumfield.decisions.placement import select_backup_engine
from gypsumfield.decisions.placement import select_plain_server
from gypsumfield.decisions.placement import StreamDemand
from gypsumfield.decisions.protection import should_copy_from_start
from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.decisions.software_versions import begun_at
from gypsumfield.decisions.software_versions import VersionRequirement
from gypsumfield.gateway.engine_loads import shows_prefill_rate
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.scheduling import Overflow
from gypsumfield.gateway.scheduling import PlacementQuery
from gypsumfield.gateway.scheduling import Rescues
from gypsumfield.gateway.server_eligibility import ServerEligibility
from gypsumfield.gateway.server_placement import PlacementDependencies
from gypsumfield.gateway.server_placement import ServerPlacement

if TYPE_CHECKING:
    from gypsumfield.gateway.scheduling import EnginePaces

# A host that received advice reports the resulting run within this time.
ADVISED_LOAD_LIFETIME_MS = 200.0


class Placer(ServerEligibility):
    """Selects servers; senders check `exclusion_reason` again before each request."""

    def __init__(self, deps: PlacementDependencies) -> None:
        super().__init__(deps)
        self._estimators: defaultdict[str, PaceEstimator] = defaultdict(PaceEstimator)
        self.rescues = Rescues(deps)
        self.overflow = Overflow(deps, self._avoidance.is_zone_suspect)

    @property
    def engine_paces(self) -> "EnginePaces":
        """Time per event of each engine."""
        return self._deps.engine_paces

    def place_plain(
        self, service: str, tried: Collection[str]
    ) -> ServerPlacement | None:
        """Return the placement of a plain call, or None if no server is usable."""
        records = self.candidates(service, tried, ANY_VERSION)
        loads = []
        for record in records:
            server = record.server
            active = self._deps.ledger.own_load(server.server_id).run_count
            loads.append(
                PlainLoad(
                    server.server_id,
                    server.availability_zone,
                    server.slot_count,
                    active,
                    self._loads.is_cold(record),
                )
            )
        best = select_plain_server(loads, self._deps.availability_zone, self._deps.rng)
        if best is None:
            return None
        return self._placement_on(best.server_id, len(records), best.active_count, 0)

    def place_stream(self, query: PlacementQuery) -> ServerPlacement | None:
        """Return the placement of a stream, or None if no engine has memory in time."""
        return self._select_best(query, self._sample_size())

    def advise(self, query: PlacementQuery) -> str:
        """Return the engine id for a stream of another host of the zone, or empty.

        The ledger counts the stream until the other host's next update does.
        """
        now_ms = self._deps.clock.monotonic_ms()
        for server_id in query.full:
            self._avoidance.record_full(server_id, now_ms)
        placement = self._select_best(query, None)
        if placement is None:
            return ""
        server_id = placement.server.server_id
        load = ServerLoad(1, query.peak_tokens, query.prompt_tokens)
        self._deps.ledger.reserve_load(
            server_id, load, now_ms, ADVISED_LOAD_LIFETIME_MS
        )
        return server_id

    def place_at(
        self, server_id: str, requirement: VersionRequirement
    ) -> ServerPlacement | None:
        """Return the placement on an advised engine, or None if it is unusable."""
        record = self._deps.catalogue.find_server(server_id)
        if record is None or self.exclusion_reason(record.server, requirement):
            return None
        now_ms = self._deps.clock.monotonic_ms()
        zone = record.server.availability_zone
        is_avoided = self._avoidance.is_avoided(server_id, zone, now_ms)
        if is_avoided or self._has_no_room(record.server):
            return None
        if self._exceeds_pause_by_own_streams(record.server):
            return None
        load = self._loads.load(record)
        count = len(self._deps.catalogue.servers_of(record.server.service))
        return ServerPlacement(
            record.server,
            count,
            load.stream_count,
            load.committed_tokens,
            is_advised=True,
            is_pace_sample=shows_prefill_rate(load),
            predicted_gap_ms=load.longest_gap_ms,
            avoided_count=self.engine_paces.avoided_count(
                record.server.service, load.longest_gap_ms
            ),
        )

    def _select_best(
        self, query: PlacementQuery, sample_size: SampleSize | None
    ) -> ServerPlacement | None:
        demand = StreamDemand(
            query.peak_tokens,
            self._deps.availability_zone,
            query.prompt_tokens,
            query.time_left_ms,
            sample_size,
            self.pace(query.service),
            self.has_reservations(query.service),
            self.engine_paces.limit_ms(query.service),
            query.memory_ratio,
        )
        loads = self._engine_loads(query.service, query.excluded, query.requirement)
        best = self.overflow.select(query, loads, demand)
        if best is None:
            return None
        placement = self._placement_on(
            best.server_id, len(loads), best.stream_count, best.committed_tokens
        )
        return placement and placement._replace(
            is_pace_sample=shows_prefill_rate(best),
            predicted_gap_ms=best.longest_gap_ms,
            avoided_count=self.engine_paces.avoided_count(
                query.service, best.longest_gap_ms
            ),
        )

    def _exceeds_pause_by_own_streams(self, server: BackendServer) -> bool:
        """Return whether this host has seen a slow spell that the adviser may miss."""
        limit_ms = self.engine_paces.limit_ms(server.service)
        return self.engine_paces.own_gap_ms(server) > limit_ms

    def place_copy(
        self, run: Run, source: BackendServer, tried: Collection[str]
    ) -> BackendServer | None:
        """Return an engine for a copy of a run on ``source``, or None."""
        requirement = begun_at(source.software_version)
        loads = self._engine_loads(source.service, tried, requirement, False)
        zone, size = source.availability_zone, self._sample_size()
        demand = StreamDemand(run.planned_tokens, zone, sample_size=size)
        return self._server_of(self.rescues.select(loads, demand))

    def place_backup(
        self, source: BackendServer, peak_tokens: int
    ) -> BackendServer | None:
        """Return an engine that keeps a copy of a run on ``source``, or None."""
        if not should_copy_from_start(self._deps.is_large_fleet()):
            return None
        requirement = begun_at(source.software_version)
        zone, tried = self._deps.availability_zone, [source.server_id]
        loads = self._engine_loads(source.service, tried, requirement, False)
        demand = StreamDemand(peak_tokens, zone, sample_size=self._sample_size())
        return self._server_of(select_backup_engine(loads, demand, self._deps.rng))

    def record_sent(self, server: BackendServer) -> None:
        """Record that a request is sent to a server."""
        now_ms = self._deps.clock.monotonic_ms()
        self._health.ejector(server.service).record_sent(server.server_id, now_ms)
        self._deps.notices.record_sent(server)
        record = self._deps.catalogue.find_server(server.server_id)
        if record is not None and self._loads.is_cold(record):
            share = self._cold_shares.setdefault(server.server_id, ColdShare())
            share.record_sent(now_ms)

    def record_contact(self, server: BackendServer) -> None:
        """Record that a server has answered on a new connection."""
        self._deps.paths.record_contact(server)

    def record_success(self, server: BackendServer, latency_ms: float) -> None:
        """Record an answer and its latency; for a stream, that to the first event."""
        self._avoidance.record_answer(server.server_id, server.availability_zone)
        self._health.ejector(server.service).record_success(
            server.server_id, latency_ms, self._deps.clock.monotonic_ms()
        )

    def pace(self, service: str) -> Pace:
        """Return the observed pace of a service's engines."""
        return self._estimators[service].pace

    def has_reservations(self, service: str) -> bool:
        """Return whether engines reserve memory before each stream of a service.

        They do in a large fleet, where updates about their memory arrive late.
        """
        spec = self._deps.catalogue.engine_spec(service)
        return bool(spec and spec.reservation_ms and self._deps.is_large_fleet())

    @property
    def mean_pace(self) -> Pace:
        """Mean pace over the services that this host runs streams of."""
        return mean_pace([estimator.pace for estimator in self._estimators.values()])

    def pace_estimator(self, service: str) -> PaceEstimator:
        """Return the estimator of the pace of a service's engines."""
        return self._estimators[service]

    def record_full(self, server: BackendServer) -> None:
        """Record that an engine has refused to reserve memory."""
        self._avoidance.record_full(server.server_id, self._deps.clock.monotonic_ms())

    def record_connect_timeout(self, server: BackendServer) -> None:
        """Record a connect timeout, which a network partition can cause."""
        now_ms = self._deps.clock.monotonic_ms()
        self._avoidance.record_zone_timeout(server.availability_zone, now_ms)
        self.record_failure(server, is_unreachable=True)

    def record_failure(self, server: BackendServer, is_unreachable: bool) -> None:
        """Record a failed attempt for which the server is responsible."""
        now_ms = self._deps.clock.monotonic_ms()
        if is_unreachable:
            self._deps.paths.record_unreachable(server)
            self._avoidance.record_unreachable(server.server_id, now_ms)
        if self._deps.paths.is_lost(server.service):
            # The fault is this host's, not the server's.
            return
        self._health.ejector(server.service).record_failure(server.server_id, now_ms)

    def has_lost_path(self, service: str) -> bool:
        """Return whether this host reaches no server of a service."""
        return self._deps.paths.is_lost(service)

    def should_forward(self, job: Job) -> bool:
        """Return whether a call should go through a host that has a path."""
        return not job.must_serve_here and self.has_lost_path(job.service)

    def record_path_regained(self, service: str) -> None:
        """Stop avoiding the servers of a service to which the path is back."""
        for record in self._deps.catalogue.servers_of(service):
            server = record.server
            self._avoidance.record_answer(server.server_id, server.availability_zone)

    def run_count(self, service: str) -> int:
        """Return the number of runs on all servers of a service."""
        now_ms = self._deps.clock.monotonic_ms()
        return sum(
            self._deps.ledger.load(record.server.server_id, now_ms).run_count
            for record in self._deps.catalogue.servers_of(service)
        )

    def _server_of(self, engine_load: EngineLoad | None) -> BackendServer | None:
        record = engine_load and self._deps.catalogue.find_server(engine_load.server_id)
        return record.server if record else None

    def _placement_on(
        self, server_id: str, candidate_count: int, stream_count: int, tokens: int
    ) -> ServerPlacement | None:
        record = self._deps.catalogue.find_server(server_id)
        if record is None:
            return None
        return ServerPlacement(record.server, candidate_count, stream_count, tokens)

    def _engine_loads(
        self,
        service: str,
        tried: Collection[str],
        requirement: VersionRequirement,
        needs_permit: bool = True,
    ) -> list[EngineLoad]:
        """Return the loads of usable engines that did not just refuse a reservation."""
        now_ms = self._deps.clock.monotonic_ms()
        return [
            self._loads.load(record)
            for record in self.candidates(service, tried, requirement, needs_permit)
            if not self._avoidance.is_full(record.server.server_id, now_ms)
        ]

    def _sample_size(self) -> SampleSize | None:
        """Return the sample size; None for a small fleet, whose updates arrive fast."""
        return LARGE_FLEET_SAMPLE if self._deps.is_large_fleet() else None
