"""Assembles one edge host from its settings."""

import random
from typing import NamedTuple

from gypsumfield.adapters.caller_server import RequestTracker
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.adapters.connections import refuses_connections
from gypsumfield.adapters.loop_lag import LoopLag
from gypsumfield.adapters.metric_specs import HostState
from gypsumfield.adapters.metrics import emit_to_all
from gypsumfield.adapters.metrics import Metrics
from gypsumfield.caller_limits import build_caller_limits
from gypsumfield.clock import Clock
from gypsumfield.decisions.fleet_shares import retry_shares_by_service
from gypsumfield.decisions.fleet_shares import RetryBounds
from gypsumfield.decisions.memory_shares import LackKey
from gypsumfield.events import Event
from gypsumfield.gateway.answer_ends import AnswerEnds
from gypsumfield.gateway.answer_ends import EndDependencies
from gypsumfield.gateway.application import Gateway
from gypsumfield.gateway.application import GatewayDependencies
from gypsumfield.gateway.attempt import AttemptDependencies
from gypsumfield.gateway.edge_host import EdgeComponents
from gypsumfield.gateway.edge_host import EdgeHost
from gypsumfield.gateway.edge_servers import build_servers
from gypsumfield.gateway.engine_reports import EngineReportPoller
from gypsumfield.gateway.engine_reports import ReportPollerDependencies
from gypsumfield.gateway.events import RequestPlaced
from gypsumfield.gateway.fleet_parts import build_fleet
from gypsumfield.gateway.fleet_parts import CommonParts
from gypsumfield.gateway.fleet_parts import Fleet
from gypsumfield.gateway.forwarding import ForwardDependencies
from gypsumfield.gateway.forwarding import Forwarder
from gypsumfield.gateway.model import can_back_up
from gypsumfield.gateway.model import can_move
from gypsumfield.gateway.model import tokens_per_event
from gypsumfield.gateway.peers import PeerLink
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.plain_calls import PlainCallDependencies
from gypsumfield.gateway.protection import ProtectionDependencies
from gypsumfield.gateway.protection import Protector
from gypsumfield.gateway.reservations import build_reserve
from gypsumfield.gateway.run_copies import CopyDependencies
from gypsumfield.gateway.run_ends import RunEndDependencies
from gypsumfield.gateway.run_ends import RunEnds
from gypsumfield.gateway.scheduling import HedgedCalls
from gypsumfield.gateway.scheduling import HedgeDependencies
from gypsumfield.gateway.scheduling import Shortage
from gypsumfield.gateway.scheduling import ShortageDependencies
from gypsumfield.gateway.server_placement import PlacementDependencies
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.gateway.settings import split_address
from gypsumfield.gateway.stream_dependencies import StreamDependencies
from gypsumfield.gateway.stream_queue import StreamQueue
from gypsumfield.gateway.stream_registry import StreamRegistry
from gypsumfield.held_memory import HeldMemory
from gypsumfield.interfaces import EmitEvent
from gypsumfield.platform import headers
from gypsumfield.platform.engines import can_connect


class _Serving(NamedTuple):
    """Parts that serve requests."""

    placer: Placer
    queue: StreamQueue
    registry: StreamRegistry
    request_tracker: RequestTracker


def build_edge_host(
    settings: EdgeSettings, clock: Clock, log_event: EmitEvent
) -> EdgeHost:
    """Return an edge host that is assembled but not started.

    Args:
        settings: Checked settings of the host.
        clock: Clock of the host.
        log_event: Appends an event to the host's log.
    """
    metrics = Metrics(lambda service: service)
    emit = emit_to_all(log_event, metrics.observe_event, _placement_observer(metrics))
    memory, connections = build_caller_limits(
        settings.max_fds, settings.memory_mb, clock, emit
    )
    pool = ConnectionPool(metrics.record_server_connection)
    common = CommonParts(settings, clock, random.Random(), metrics, memory, pool, emit)
    fleet = build_fleet(common)
    serving = _build_serving(common, fleet)
    protector = _build_protector(common, fleet, serving)
    fleet.ledger.on_change(serving.queue.wake)
    fleet.catalogue.on_change(serving.queue.wake)
    fleet.part_guard.on_change(serving.queue.wake)
    fleet.part_guard.on_change(
        lambda: serving.registry.stop_condemned(fleet.part_guard)
    )
    fleet.catalogue.on_change(protector.check_leaving_engines)
    metrics.read_state = lambda: _read_state(fleet, serving, memory)._replace(
        open_connection_count=connections.open_count
    )
    servers = build_servers(
        settings,
        fleet.catalogue,
        serving.request_tracker,
        metrics,
        fleet.pull.encode_view,
        fleet.peers.roster.own_card.boot_id,
        connections,
    )
    components = EdgeComponents(
        request_tracker=serving.request_tracker,
        servers=servers,
        follower=fleet.follower,
        peers=fleet.peers,
        placer=serving.placer,
        catalogue=fleet.catalogue,
        protector=protector,
        paths=fleet.paths,
        report_poller=_build_report_poller(common, fleet),
        loop_lag=LoopLag(metrics.record_loop_held, emit),
        held_memory=memory,
        connections=pool,
    )
    return EdgeHost(settings, components, clock, emit)


def _placement_observer(metrics: Metrics) -> EmitEvent:
    def observe(event: Event) -> None:
        if isinstance(event, RequestPlaced):
            metrics.record_engines_avoided(event.service, event.avoided_count)

    return observe


def _retry_bounds(peers: PeerLink) -> RetryBounds:
    limits = peers.bounds
    return RetryBounds(limits.retry_ratio, limits.retry_extra, limits.retry_window_ms)


def _supplying_hosts(peers: PeerLink) -> int | None:
    """Return how many hosts share the engines, or None without their figures."""
    is_cut_off = peers.roster.host_count > 1 and peers.live_count == 1
    return None if is_cut_off else peers.host_count()


def _read_state(fleet: Fleet, serving: _Serving, memory: HeldMemory) -> HostState:
    pace = serving.placer.mean_pace
    return HostState(
        configuration_revision=fleet.catalogue.revision,
        member_count=fleet.peers.live_count,
        in_flight_count=serving.request_tracker.in_flight_count,
        queue_length=serving.queue.waiting_count,
        held_bytes=memory.held_bytes,
        memory_lack_count=sum(
            lack.stream_count for lack in fleet.peers.lacks.all_hosts().values()
        ),
        engine_step_ms=pace.step_ms,
        engine_prompt_tokens_per_ms=pace.prompt_tokens_per_ms,
        overflow_share=serving.placer.overflow.largest_share,
        overflow_stream_count=serving.placer.overflow.stream_count,
    )


def _build_serving(common: CommonParts, fleet: Fleet) -> _Serving:
    settings, clock, emit = common.settings, common.clock, common.emit
    catalogue, ledger, peers = fleet.catalogue, fleet.ledger, fleet.peers
    placer = Placer(
        PlacementDependencies(
            availability_zone=settings.availability_zone,
            catalogue=catalogue,
            ledger=ledger,
            report_cache=fleet.report_cache,
            engine_paces=fleet.engine_paces,
            notices=fleet.notices,
            permit_wait_ms=peers.permits.wait_ms,
            cold_rate_limit=peers.cold_rate_limit,
            is_large_fleet=lambda: peers.is_large_fleet,
            host_position=peers.position_at,
            paths=fleet.paths,
            clock=clock,
            rng=common.rng,
            emit=emit,
        )
    )
    fleet.paths.on_regained = placer.record_path_regained
    peers.adviser.select_engine = placer.advise
    queue = StreamQueue(
        placer,
        build_reserve(catalogue, fleet.notices, placer, fleet.engines),
        peers.adviser.request_engine,
        peers.permits.acquire_for_job,
        fleet.part_guard.refuse_condemned,
        Shortage(
            ShortageDependencies(
                lacks=peers.lacks,
                run_count=placer.run_count,
                pace=placer.pace,
                engine_spec=catalogue.engine_spec,
                engine_count=lambda service: len(catalogue.servers_of(service)),
                supplying_hosts=lambda: _supplying_hosts(peers),
                clock=clock,
                rng=common.rng,
                emit=emit,
            )
        ),
        clock,
        emit,
    )
    registry = StreamRegistry()
    peers.lacks.running_streams = lambda: [
        LackKey(stream.job.service, stream.job.priority, stream.job.account_name)
        for stream in registry.streams()
    ]
    attempts = AttemptDependencies(
        headers.WIRE_FORMAT,
        catalogue,
        placer,
        fleet.notices,
        peers.permits,
        fleet.part_guard,
        AnswerEnds(
            EndDependencies(
                catalogue,
                peers.permits,
                fleet.engine_starts.read_runs,
                fleet.engines.read_identity,
                emit,
            )
        ),
        fleet.engine_starts,
        common.pool,
        clock,
        emit,
    )
    retry_share = retry_shares_by_service(lambda: _retry_bounds(peers))
    forwarder = Forwarder(
        ForwardDependencies(
            attempts.wire,
            peers.roster,
            split_address(settings.peer_address)[1],
            clock,
            common.rng,
            emit,
        )
    )
    streams = StreamDependencies(
        attempts=attempts,
        queue=queue,
        ledger=ledger,
        retry_share=retry_share,
        host_count=peers.host_count,
        tokens_per_event=lambda service: tokens_per_event(
            catalogue.engine_spec(service)
        ),
        copies=CopyDependencies(
            placer,
            ledger,
            lambda service: can_back_up(catalogue.engine_spec(service)),
            emit,
        ),
        registry=registry,
        forward=forwarder.resume,
        takeover=peers.takeover,
        run_ends=RunEnds(
            RunEndDependencies(
                catalogue,
                peers.permits,
                fleet.engines.stop_run,
                fleet.engine_starts.read_runs,
                lambda service: can_move(catalogue.engine_spec(service)),
                clock,
                emit,
            )
        ),
    )
    gateway = Gateway(
        GatewayDependencies(
            wire=attempts.wire,
            catalogue=catalogue,
            plain=PlainCallDependencies(
                attempts,
                ledger,
                retry_share,
                peers.host_count,
                HedgedCalls(
                    HedgeDependencies(
                        ratio=settings.hedge_ratio,
                        catalogue=catalogue,
                        ledger=ledger,
                        notices=fleet.notices,
                        retry_share=retry_share,
                        host_count=peers.host_count,
                        is_stopping=lambda: request_tracker.is_draining,
                        memory=common.memory,
                        record_declined=common.metrics.record_hedge_declined,
                        clock=clock,
                        emit=emit,
                    )
                ),
            ),
            streams=streams,
            forwarder=forwarder,
            memory=common.memory,
            draining_ms=lambda: request_tracker.draining_ms(clock.monotonic_ms()),
            stop_limit_ms=lambda: peers.bounds.stop_limit_ms,
            clock=clock,
            rng=common.rng,
            emit=emit,
        )
    )
    request_tracker = RequestTracker(gateway)
    return _Serving(placer, queue, registry, request_tracker)


def _build_protector(common: CommonParts, fleet: Fleet, serving: _Serving) -> Protector:
    return Protector(
        ProtectionDependencies(
            registry=serving.registry,
            catalogue=fleet.catalogue,
            placer=serving.placer,
            ledger=fleet.ledger,
            notices=fleet.notices,
            permits=fleet.peers.permits,
            copy_run=fleet.engines.copy_run,
            can_connect=can_connect,
            refuses_connections=refuses_connections,
            can_move=lambda service: can_move(fleet.catalogue.engine_spec(service)),
            clock=common.clock,
            emit=common.emit,
        )
    )


def _build_report_poller(common: CommonParts, fleet: Fleet) -> EngineReportPoller:
    return EngineReportPoller(
        ReportPollerDependencies(
            should_track_engine=fleet.peers.should_track_engine,
            read_state=fleet.engines.read_state,
            catalogue=fleet.catalogue,
            ledger=fleet.ledger,
            report_cache=fleet.report_cache,
            notices=fleet.notices,
            clock=common.clock,
            emit=common.emit,
        )
    )
