"""Chooses backend servers from what the host believes."""

import random
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Collection
from typing import NamedTuple

from gypsumfield.clock import Clock
from gypsumfield.decisions.avoidance import Avoidance
from gypsumfield.decisions.ejection import BackendHealth
from gypsumfield.decisions.ejection import EjectionSettings
from gypsumfield.decisions.ejection import Ejector
from gypsumfield.decisions.fleet_shares import ColdShare
from gypsumfield.decisions.pace import mean_pace
from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.pace import PaceEstimator
from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import LARGE_FLEET_SAMPLE
from gypsumfield.decisions.placement import PlainLoad
from gypsumfield.decisions.placement import sample_candidates
from gypsumfield.decisions.placement import SampleSize
from gypsumfield.decisions.placement import select_backup_engine
from gypsumfield.decisions.placement import select_engine
from gypsumfield.decisions.placement import select_plain_server
from gypsumfield.decisions.placement import select_rescue_engine
from gypsumfield.decisions.placement import StreamDemand
from gypsumfield.decisions.protection import should_copy_from_start
from gypsumfield.events import BackendHealthChanged
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.catalogue import ServerRecord
from gypsumfield.gateway.engine_loads import EngineLoads
from gypsumfield.gateway.engine_loads import shows_prefill_rate
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.news import PlaceQuestion
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.ports import EmitEvent

# A host that was advised tells of the run within this time.
PROMISE_MS = 200.0
# Failures in a row: grey servers fail every second request or so, sound ones
# one in seven on the services with the most errors.
EJECTION = EjectionSettings(failure_limit=4, ejection_ms=2_000.0)


class PlacementDependencies(NamedTuple):
    """What placing uses.

    Attributes:
        availability_zone: Zone of this host.
        catalogue: Servers and zones.
        ledger: Runs in flight.
        report_cache: Reports of engines.
        notices: What servers say of themselves.
        cold_allowed: Requests a second that this host may send to a cold server.
        is_large_fleet: Whether news of loads is too old to place by it alone.
        clock: Time.
        rng: Breaks ties.
        emit: Log.
    """

    availability_zone: str
    catalogue: Catalogue
    ledger: Ledger
    report_cache: EngineReportCache
    notices: ServerNotices
    cold_allowed: Callable[[BackendServer], int]
    is_large_fleet: Callable[[], bool]
    clock: Clock
    rng: random.Random
    emit: EmitEvent


class ServerPlacement(NamedTuple):
    """A chosen server and what the choice rested on.

    Attributes:
        server: The server.
        candidate_count: Servers that could have been chosen.
        stream_count: Runs on it that this host knew of.
        committed_tokens: Memory planned on it, as this host knew it.
        reservation: Name of the memory that it has reserved, or empty.
        is_advised: Whether the zone's first delegate named the server.
        shows_prefill_rate: Whether the first event of a stream there tells how fast its
            engine reads.
    """

    server: BackendServer
    candidate_count: int
    stream_count: int
    committed_tokens: int
    reservation: str = ""
    is_advised: bool = False
    shows_prefill_rate: bool = False


class Placer:
    """Chooses servers; every choice is checked again right before it is sent."""

    def __init__(self, ports: PlacementDependencies) -> None:
        self._ports = ports
        self._ejectors: dict[str, Ejector] = {}
        self._avoidance = Avoidance(ports.availability_zone)
        self._cold_shares: dict[str, ColdShare] = {}
        self._kept_revisions: dict[str, int] = {}
        self._loads = EngineLoads(
            ports.catalogue, ports.ledger, ports.report_cache, ports.clock
        )
        self._paces: defaultdict[str, PaceEstimator] = defaultdict(PaceEstimator)

    def place_plain(
        self, service: str, tried: Collection[str]
    ) -> ServerPlacement | None:
        """Return a server for a plain call, or None when there is none."""
        beliefs = self.candidates(service, tried)
        loads = []
        for belief in beliefs:
            server = belief.server
            active = self._ports.ledger.own_load(server.server_id).run_count
            loads.append(
                PlainLoad(
                    server.server_id,
                    server.availability_zone,
                    server.slot_count,
                    active,
                    self._loads.is_cold(belief),
                )
            )
        chosen = select_plain_server(
            loads, self._ports.availability_zone, self._ports.rng
        )
        if chosen is None:
            return None
        return self._place(chosen.server_id, len(beliefs), chosen.active_count, 0)

    def place_stream(self, question: PlaceQuestion) -> ServerPlacement | None:
        """Return an engine that has room for a stream and is in time, or None."""
        return self._place_best(question, self._sample_size())

    def advise(self, question: PlaceQuestion) -> str:
        """Return the engine for a stream of another host of the zone, or empty.

        The host's next news counts the stream; until then it is counted here.
        """
        now_ms = self._ports.clock.monotonic_ms()
        for server_id in question.full:
            self._avoidance.note_full(server_id, now_ms)
        place = self._place_best(question, None)
        if place is None:
            return ""
        server_id = place.server.server_id
        load = ServerLoad(1, question.peak_tokens, question.prompt_tokens)
        self._ports.ledger.reserve_load(server_id, load, now_ms, PROMISE_MS)
        return server_id

    def place_at(self, server_id: str) -> ServerPlacement | None:
        """Return the place at an engine that another host names, if it may be used."""
        belief = self._ports.catalogue.find_server(server_id)
        if belief is None or self.exclusion_reason(belief.server):
            return None
        now_ms = self._ports.clock.monotonic_ms()
        if self._avoidance.is_unreachable(server_id, now_ms):
            return None
        load = self._loads.load(belief)
        count = len(self._ports.catalogue.servers_of(belief.server.service))
        return ServerPlacement(
            belief.server,
            count,
            load.stream_count,
            load.committed_tokens,
            is_advised=True,
            shows_prefill_rate=shows_prefill_rate(load),
        )

    def _place_best(
        self, question: PlaceQuestion, sample_size: SampleSize | None
    ) -> ServerPlacement | None:
        need = StreamDemand(
            question.peak_tokens,
            self._ports.availability_zone,
            question.prompt_tokens,
            question.time_left_ms,
            sample_size,
            self.pace(question.service),
            self.has_reservations(question.service),
        )
        loads = self._engine_loads(question.service, question.excluded)
        chosen = select_engine(loads, need, self._ports.rng)
        if chosen is None:
            return None
        place = self._place(
            chosen.server_id,
            len(loads),
            chosen.stream_count,
            chosen.committed_tokens,
        )
        return place and place._replace(shows_prefill_rate=shows_prefill_rate(chosen))

    def place_copy(
        self, run: Run, source: BackendServer, tried: Collection[str]
    ) -> BackendServer | None:
        """Return an engine for a copy of a run that leaves ``source``, or None.

        A copy takes twice as long between zones, so the source's zone comes first.
        """
        loads = self._engine_loads(source.service, tried)
        size = self._sample_size()
        need = StreamDemand(
            run.planned_tokens, source.availability_zone, sample_size=size
        )
        return self._find(select_rescue_engine(loads, need, self._ports.rng))

    def place_backup(
        self, service: str, peak_tokens: int, runs_on: str
    ) -> BackendServer | None:
        """Return an engine that keeps a copy of a run from its start, or None."""
        if not should_copy_from_start(self._ports.is_large_fleet()):
            return None
        loads = self._engine_loads(service, [runs_on])
        zone = self._ports.availability_zone
        need = StreamDemand(peak_tokens, zone, sample_size=self._sample_size())
        return self._find(select_backup_engine(loads, need, self._ports.rng))

    def candidates(self, service: str, tried: Collection[str]) -> list[ServerRecord]:
        """Return the servers that may get a request of a service now."""
        now_ms = self._ports.clock.monotonic_ms()
        beliefs = self._ports.catalogue.servers_of(service)
        ejector = self._ejector(service)
        # The peers of an ejected server change with the published view only.
        revision = self._ports.catalogue.revision
        if self._kept_revisions.get(service) != revision:
            self._kept_revisions[service] = revision
            ejector.set_servers([belief.server.server_id for belief in beliefs])
        self._avoidance.expire(now_ms)
        zone = self._ports.availability_zone
        usable = [
            belief
            for belief in sample_candidates(
                beliefs, lambda b: b.server.availability_zone == zone, self._ports.rng
            )
            if belief.server.server_id not in tried
            and not self.exclusion_reason(belief.server)
            and not self._avoidance.is_unreachable(belief.server.server_id, now_ms)
        ]
        sound = [
            belief
            for belief in usable
            if not ejector.is_excluded(belief.server.server_id, now_ms)
        ] or usable
        suspect = self._avoidance.is_zone_suspect
        reached = [b for b in sound if not suspect(b.server.availability_zone, now_ms)]
        return reached or sound

    def exclusion_reason(self, server: BackendServer, is_rescue: bool = False) -> str:
        """Return why a server must not get a request now, or an empty text.

        Args:
            server: The server.
            is_rescue: Whether the request carries on a run that has no other way.
        """
        catalogue = self._ports.catalogue
        belief = catalogue.find_server(server.server_id)
        if belief is None or belief.server.address != server.address:
            return "the server is gone"
        if catalogue.is_leaving(belief):
            return "the server is leaving"
        if server.availability_zone in catalogue.evacuated_zones:
            return "its zone is evacuated"
        notices = self._ports.notices
        if notices.quiet_ms(server) and not (is_rescue and notices.can_resume(server)):
            return "the server wants no requests for a while"
        if self._loads.is_cold(belief) and not self._has_cold_share(belief):
            return "the server is cold"
        return ""

    def quiet_ms(self, service: str) -> float:
        """Return when the first server of a service takes requests again, or 0."""
        return self._ports.notices.service_quiet_ms(service)

    def note_sent(self, server: BackendServer) -> None:
        """Note a request that leaves for a server."""
        now_ms = self._ports.clock.monotonic_ms()
        self._ejector(server.service).note_sent(server.server_id, now_ms)
        self._ports.notices.note_sent(server)
        belief = self._ports.catalogue.find_server(server.server_id)
        if belief is not None and self._loads.is_cold(belief):
            share = self._cold_shares.setdefault(server.server_id, ColdShare())
            share.note_sent(now_ms)

    def note_success(self, server: BackendServer, first_byte_ms: float) -> None:
        """Note an answer."""
        self._avoidance.note_answer(server.server_id, server.availability_zone)
        self._ejector(server.service).note_success(
            server.server_id, first_byte_ms, self._ports.clock.monotonic_ms()
        )

    def pace(self, service: str) -> Pace:
        """Return the pace of a service's engines, as this host has observed it."""
        return self._paces[service].pace

    def has_reservations(self, service: str) -> bool:
        """Return whether engines reserve memory before each stream of a service.

        They do for a large fleet, whose news of their memory is old.
        """
        spec = self._ports.catalogue.engine_spec(service)
        is_offered = spec is not None and spec.reservation_ms > 0.0
        return is_offered and self._ports.is_large_fleet()

    @property
    def mean_pace(self) -> Pace:
        """Mean of the paces over the services that this host has streams of."""
        return mean_pace([learner.pace for learner in self._paces.values()])

    def learner(self, service: str) -> PaceEstimator:
        """Return what learns the pace of a service's engines."""
        return self._paces[service]

    def note_full(self, server: BackendServer) -> None:
        """Note that an engine has just refused to reserve memory."""
        self._avoidance.note_full(server.server_id, self._ports.clock.monotonic_ms())

    def note_silence(self, server: BackendServer) -> None:
        """Note that a connection timed out, as in a partition."""
        now_ms = self._ports.clock.monotonic_ms()
        self._avoidance.note_zone_timeout(server.availability_zone, now_ms)
        self.note_failure(server, True)

    def note_failure(self, server: BackendServer, is_unreachable: bool) -> None:
        """Note an attempt that failed on the server's account."""
        now_ms = self._ports.clock.monotonic_ms()
        if is_unreachable:
            self._avoidance.note_unreachable(server.server_id, now_ms)
        self._ejector(server.service).note_failure(server.server_id, now_ms)

    def run_count(self, service: str) -> int:
        """Return the runs on all servers of a service."""
        now_ms = self._ports.clock.monotonic_ms()
        return sum(
            self._ports.ledger.load(belief.server.server_id, now_ms).run_count
            for belief in self._ports.catalogue.servers_of(service)
        )

    def _find(self, chosen: EngineLoad | None) -> BackendServer | None:
        belief = chosen and self._ports.catalogue.find_server(chosen.server_id)
        return belief.server if belief else None

    def _place(
        self, server_id: str, candidates: int, streams: int, tokens: int
    ) -> ServerPlacement | None:
        belief = self._ports.catalogue.find_server(server_id)
        if belief is None:
            return None
        return ServerPlacement(belief.server, candidates, streams, tokens)

    def _engine_loads(self, service: str, tried: Collection[str]) -> list[EngineLoad]:
        """Return the engines that may get a run and have not just been full."""
        now_ms = self._ports.clock.monotonic_ms()
        return [
            self._loads.load(belief)
            for belief in self.candidates(service, tried)
            if not self._avoidance.is_full(belief.server.server_id, now_ms)
        ]

    def _sample_size(self) -> SampleSize | None:
        """Return how many engines to compare; a small fleet's news is fresh."""
        return LARGE_FLEET_SAMPLE if self._ports.is_large_fleet() else None

    def _has_cold_share(self, belief: ServerRecord) -> bool:
        server = belief.server
        spec = self._ports.catalogue.service_spec(server.service)
        rate_per_s = spec.cold_requests_per_s if spec else 0.0
        if rate_per_s <= 0.0:
            return True
        allowed = self._ports.cold_allowed(server)
        share = self._cold_shares.setdefault(server.server_id, ColdShare())
        return share.is_open(self._ports.clock.monotonic_ms(), allowed)

    def _ejector(self, service: str) -> Ejector:
        if service not in self._ejectors:
            self._ejectors[service] = Ejector(
                EJECTION,
                lambda server_id, health, reason: self._tell(
                    service, server_id, health, reason
                ),
            )
        return self._ejectors[service]

    def _tell(
        self, service: str, server_id: str, health: BackendHealth, reason: str
    ) -> None:
        self._ports.emit(
            BackendHealthChanged(
                service=service,
                backend_server=server_id,
                health=health.value,
                reason=reason,
            )
        )
