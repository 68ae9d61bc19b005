"""Wires one edge host from its settings."""

import random
import uuid
from collections import defaultdict
from typing import Any

from gypsumfield.adapters.backends import BackendPool
from gypsumfield.adapters.caller_server import CallerServer
from gypsumfield.adapters.caller_server import WorkGate
from gypsumfield.adapters.metrics import emit_to_all
from gypsumfield.adapters.metrics import HostState
from gypsumfield.adapters.metrics import Metrics
from gypsumfield.clock import Clock
from gypsumfield.decisions.fleet_shares import RetryShare
from gypsumfield.gateway.application import Gateway
from gypsumfield.gateway.application import GatewayPorts
from gypsumfield.gateway.attempt import AttemptPorts
from gypsumfield.gateway.attempt import WireFormat
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.catalogue import Decoders
from gypsumfield.gateway.edge_host import EdgeHost
from gypsumfield.gateway.edge_host import EdgeParts
from gypsumfield.gateway.engine_reports import EngineReporter
from gypsumfield.gateway.engine_reports import ReportBoard
from gypsumfield.gateway.engine_reports import ReporterPorts
from gypsumfield.gateway.follower import FollowerPorts
from gypsumfield.gateway.follower import StoreFollower
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.model import DEFAULT_LIMITS
from gypsumfield.gateway.model import EngineSpec
from gypsumfield.gateway.pages import build_peer_pages
from gypsumfield.gateway.pages import build_readiness_pages
from gypsumfield.gateway.peers import PeerLink
from gypsumfield.gateway.peers import PeerPorts
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.placing import PlacingPorts
from gypsumfield.gateway.placing import StreamQueue
from gypsumfield.gateway.plain import PlainPorts
from gypsumfield.gateway.protection import ProtectionPorts
from gypsumfield.gateway.protection import Protector
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.gateway.settings import split_address
from gypsumfield.gateway.streams import StreamPorts
from gypsumfield.gateway.streams import StreamRegistry
from gypsumfield.gateway.view_pull import PullPorts
from gypsumfield.gateway.view_pull import ViewPull
from gypsumfield.platform import documents
from gypsumfield.platform import engines
from gypsumfield.platform import headers
from gypsumfield.platform.store import StoreClient
from gypsumfield.ports import EmitEvent

# All published items lie below these prefixes; one watch covers them.
FOLLOWED_PREFIX = ""


def build_edge_host(
    settings: EdgeSettings, clock: Clock, log_event: EmitEvent
) -> EdgeHost:
    """Return an edge host that is wired but not started.

    Args:
        settings: Checked settings of the host.
        clock: Time of the host.
        log_event: Appends an event to the host's log.
    """
    rng = random.Random()
    metrics = Metrics(lambda service: service)
    emit = emit_to_all(log_event, metrics.observe_event)
    catalogue = Catalogue(
        Decoders(
            is_configuration=documents.is_configuration_key,
            is_server=documents.is_server_key,
            evacuated_zone=documents.evacuated_zone,
            publication=documents.decode_publication,
            server=documents.decode_server,
        ),
        clock,
        emit,
    )
    ledger = Ledger()
    board = ReportBoard(catalogue, clock)
    front = _Front()
    follower = StoreFollower(
        FOLLOWED_PREFIX,
        FollowerPorts(
            source=StoreClient(settings.store_address),
            catalogue=catalogue,
            must_watch=lambda: peers.must_watch_store(),
            clock=clock,
            rng=rng,
            emit=emit,
        ),
    )
    pull = ViewPull(
        PullPorts(
            catalogue=catalogue,
            peer_port=split_address(settings.peer_address)[1],
            on_pulled=follower.restart_watch,
            clock=clock,
            emit=emit,
        )
    )
    peers = PeerLink(
        PeerPorts(
            settings=settings,
            boot_id=uuid.uuid4().hex[:8],
            catalogue=catalogue,
            ledger=ledger,
            board=board,
            pull=pull,
            is_reaching=lambda: follower.is_reaching,
            clock=clock,
            emit=emit,
        )
    )
    placer = Placer(
        PlacingPorts(
            availability_zone=settings.availability_zone,
            host_id=settings.host_id,
            bounds=settings.bounds,
            catalogue=catalogue,
            ledger=ledger,
            board=board,
            live_hosts=peers.live_hosts,
            host_count=lambda: peers.host_count,
            clock=clock,
            rng=rng,
            emit=emit,
        )
    )
    queue = StreamQueue(placer, clock, emit)
    registry = StreamRegistry()
    attempts = AttemptPorts(_wire(), catalogue, placer, BackendPool(), clock, emit)
    shares: defaultdict[str, RetryShare] = defaultdict(
        lambda: RetryShare(
            settings.bounds.retry_ratio,
            settings.bounds.retry_extra,
            settings.bounds.retry_window_ms,
        )
    )

    def engine_spec(service: str) -> EngineSpec | None:
        publication = catalogue.publication
        spec = publication.services.get(service) if publication else None
        return spec.engine if spec else None

    def engine_services() -> list[str]:
        publication = catalogue.publication
        services = publication.services.values() if publication else ()
        return [service.name for service in services if service.engine]

    def tokens_per_event(service: str) -> int:
        spec = engine_spec(service)
        return spec.tokens_per_event if spec else 1

    def can_move(service: str) -> bool:
        spec = engine_spec(service)
        return bool(spec and spec.can_move)

    def can_back_up(service: str) -> bool:
        spec = engine_spec(service)
        return bool(spec and spec.can_back_up)

    streams = StreamPorts(
        attempts=attempts,
        queue=queue,
        ledger=ledger,
        retry_share=shares.__getitem__,
        host_count=lambda: peers.host_count,
        tokens_per_event=tokens_per_event,
        can_back_up=can_back_up,
        registry=registry,
    )
    plain = PlainPorts(attempts, ledger, shares.__getitem__, lambda: peers.host_count)
    front.gate = WorkGate(
        Gateway(
            GatewayPorts(
                wire=attempts.wire,
                catalogue=catalogue,
                plain=plain,
                streams=streams,
                draining_ms=lambda: front.gate.draining_ms(clock.monotonic_ms()),
                stop_limit_ms=settings.bounds.stop_limit_ms,
                clock=clock,
                rng=rng,
                emit=emit,
            )
        )
    )
    protector = Protector(
        ProtectionPorts(
            registry=registry,
            catalogue=catalogue,
            placer=placer,
            ledger=ledger,
            copy_run=engines.copy_run,
            can_connect=engines.can_connect,
            can_move=can_move,
            clock=clock,
            emit=emit,
        )
    )
    reporter = EngineReporter(
        ReporterPorts(
            keeps_count_of=peers.keeps_count_of,
            engine_services=engine_services,
            read_state=engines.read_state,
            catalogue=catalogue,
            ledger=ledger,
            board=board,
            clock=clock,
        )
    )
    ledger.on_change(queue.wake)
    catalogue.on_change(queue.wake)
    catalogue.on_change(protector.look)
    metrics.read_state = lambda: HostState(
        configuration_revision=catalogue.revision,
        member_count=len(peers.live_hosts()),
        in_flight_count=front.gate.in_flight_count,
        queue_length=queue.waiting_count,
    )

    def is_ready() -> bool:
        return catalogue.publication is not None and not front.gate.is_draining

    parts = EdgeParts(
        gate=front.gate,
        caller_server=CallerServer(
            split_address(settings.caller_address),
            front.gate,
            lambda: (
                catalogue.publication.limits
                if catalogue.publication
                else DEFAULT_LIMITS
            ),
        ),
        readiness_server=_page_server(
            settings.readiness_address, build_readiness_pages(is_ready, metrics.render)
        ),
        peer_server=_page_server(
            settings.peer_address, build_peer_pages(pull.encode_view)
        ),
        metrics_server=_page_server(
            settings.metrics_address,
            build_readiness_pages(is_ready, metrics.render),
        ),
        follower=follower,
        peers=peers,
        placer=placer,
        catalogue=catalogue,
        protector=protector,
        reporter=reporter,
    )
    return EdgeHost(settings, parts, clock, emit)


class _Front:
    """Gate of the callers' server, which is wired last."""

    gate: WorkGate


def _page_server(address: str, application: Any) -> CallerServer:
    return CallerServer(split_address(address), WorkGate(application))


def _wire() -> WireFormat:
    return WireFormat(
        request_id_header=headers.REQUEST_ID,
        decode_ask=headers.decode_ask,
        encode_send=headers.encode_send,
        decode_marks=headers.decode_marks,
        answer_headers=headers.answer_headers,
        error_headers=headers.error_headers,
    )
