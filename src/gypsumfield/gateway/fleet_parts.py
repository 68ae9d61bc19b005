"""Assembles the parts of an edge host that track servers and other hosts."""

import random
import uuid
from typing import NamedTuple

from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.adapters.connections import refuses_connections
from gypsumfield.adapters.metrics import Metrics
from gypsumfield.clock import Clock
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.engine_reports import EngineReportCache
from gypsumfield.gateway.engine_starts import EngineStarts
from gypsumfield.gateway.engine_starts import StartDependencies
from gypsumfield.gateway.follower import FollowerDependencies
from gypsumfield.gateway.follower import StoreFollower
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.part_guard import GuardDependencies
from gypsumfield.gateway.part_guard import PartGuard
from gypsumfield.gateway.path_watch import PathDependencies
from gypsumfield.gateway.path_watch import PathWatch
from gypsumfield.gateway.peer_dependencies import PeerDependencies
from gypsumfield.gateway.peers import PeerLink
from gypsumfield.gateway.published_items import Decoders
from gypsumfield.gateway.rejections import Rejections
from gypsumfield.gateway.scheduling import EnginePaces
from gypsumfield.gateway.server_notices import NoticeDependencies
from gypsumfield.gateway.server_notices import ServerNotices
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.gateway.settings import split_address
from gypsumfield.gateway.view_pull import PullDependencies
from gypsumfield.gateway.view_pull import ViewPull
from gypsumfield.held_memory import HeldMemory
from gypsumfield.interfaces import EmitEvent
from gypsumfield.platform import documents
from gypsumfield.platform.engines import EngineClient
from gypsumfield.platform.store import StoreClient

# Every key begins with the empty prefix, so that one watch covers all published items.
FOLLOWED_PREFIX = ""


class CommonParts(NamedTuple):
    """Dependencies that nearly every part of the host uses."""

    settings: EdgeSettings
    clock: Clock
    rng: random.Random
    metrics: Metrics
    memory: HeldMemory
    pool: ConnectionPool
    emit: EmitEvent


class Fleet(NamedTuple):
    """Parts that track the configuration, the backend servers and the other hosts."""

    catalogue: Catalogue
    ledger: Ledger
    report_cache: EngineReportCache
    engine_paces: EnginePaces
    notices: ServerNotices
    part_guard: PartGuard
    engines: EngineClient
    engine_starts: EngineStarts
    follower: StoreFollower
    pull: ViewPull
    paths: PathWatch
    peers: PeerLink


def build_fleet(common: CommonParts) -> Fleet:
    """Return the parts, wired to each other but not started."""
    settings, clock, emit = common.settings, common.clock, common.emit
    catalogue = Catalogue(
        Decoders(
            is_configuration=documents.is_configuration_key,
            is_server=documents.is_server_key,
            server_id=documents.server_id,
            evacuated_zone=documents.evacuated_zone,
            publication=documents.decode_publication,
            server=documents.decode_server,
        ),
        clock,
        emit,
    )
    rejections = Rejections(clock, emit)
    ledger = Ledger()
    report_cache = EngineReportCache(catalogue, clock)
    engine_paces = EnginePaces(catalogue, clock)
    report_cache.record_state = engine_paces.record_state
    notices = ServerNotices(NoticeDependencies(catalogue, clock, emit))
    part_guard = PartGuard(
        GuardDependencies(catalogue, refuses_connections, clock, common.rng, emit)
    )
    follower = StoreFollower(
        FOLLOWED_PREFIX,
        FollowerDependencies(
            source=StoreClient(
                settings.store_address,
                lambda reason: rejections.record(reason, reason, "store"),
            ),
            catalogue=catalogue,
            # ``peers`` is built below; the follower calls it only after its start.
            should_watch=lambda: peers.should_watch_store(),
            can_list=lambda: peers.can_list_store(),
            clock=clock,
            rng=common.rng,
            emit=emit,
        ),
    )
    paths = PathWatch(
        PathDependencies(
            catalogue,
            # ``engines`` is built below; the path watch calls it only after its start.
            lambda server: engines.read_server_id(
                server, _health_path(catalogue, server.service)
            ),
            clock,
            emit,
        )
    )
    pull = ViewPull(
        PullDependencies(
            catalogue=catalogue,
            part_guard=part_guard,
            peer_port=split_address(settings.peer_address)[1],
            on_pulled=follower.restart_watch,
            is_large_fleet=lambda: peers.is_large_fleet,
            rng=common.rng,
            clock=clock,
            emit=emit,
        )
    )
    peers = PeerLink(
        PeerDependencies(
            settings=settings,
            boot_id=uuid.uuid4().hex[:8],
            catalogue=catalogue,
            ledger=ledger,
            report_cache=report_cache,
            engine_paces=engine_paces,
            notices=notices,
            part_guard=part_guard,
            pull=pull,
            is_store_answering=lambda: follower.is_store_reachable,
            lost_services=paths.lost_services,
            clock=clock,
            emit=emit,
        )
    )
    engines = EngineClient(
        notices.record_answer, peers.permits.consume, common.memory, common.pool
    )
    engine_starts = EngineStarts(
        StartDependencies(
            peers.permits,
            engines.read_runs,
            lambda server: (
                notices.limit_per_s(server) is not None
                or bool(notices.pause_ms(server))
            ),
            lambda server: (
                follower.is_store_reachable and is_registered_start(catalogue, server)
            ),
            clock,
        )
    )
    report_cache.record_start = engine_starts.record
    return Fleet(
        catalogue,
        ledger,
        report_cache,
        engine_paces,
        notices,
        part_guard,
        engines,
        engine_starts,
        follower,
        pull,
        paths,
        peers,
    )


def is_registered_start(catalogue: Catalogue, server: BackendServer) -> bool:
    """Return whether a start of a server is the one that is registered."""
    record = catalogue.find_server(server.server_id)
    return record is not None and (
        record.server.started_wall_ms == server.started_wall_ms
    )


def _health_path(catalogue: Catalogue, service: str) -> str:
    return spec.health_path if (spec := catalogue.service_spec(service)) else ""
