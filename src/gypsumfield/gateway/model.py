"""Published configuration and server registrations, apart from their wire format."""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from gypsumfield.adapters.caller_server import CALLER_IDLE_TIMEOUT_MS
from gypsumfield.adapters.caller_server import ConnectionLimits
from gypsumfield.adapters.caller_server import HEADER_BLOCK_LIMIT_BYTES

BODY_LIMIT_BYTES = 1_048_576


class CallKind(Enum):
    """How a route's calls are served, and whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """Service that gets a share of a route's calls; weights are relative."""

    service: str
    weight: float


class Route(NamedTuple):
    """How calls of one host and path prefix are handled.

    Attributes:
        name: Unique name.
        host: Host name in the caller's request.
        path_prefix: Beginning of the path, with a slash at both ends.
        kind: How calls are served, and whether they may be retried.
        timeout_ms: Longest time from the arrival of a call to its final answer.
        target_latency_ms: Target for the time to the answer, or to a stream's first
            event; a later one has less value for the caller.
        priority: Rank among waiting calls; 0 is the most urgent.
        shares: Services that serve the route.
        max_attempts: Largest number of backend servers that may run one call.
        is_open: Whether calls are served without a key.
        is_resumable: Whether a broken stream may be resumed by another run.
        max_pause_ms: Longest gap between two events of a stream; with a longer one the
            stream has less value for the caller. None for no limit.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    timeout_ms: float
    target_latency_ms: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    is_open: bool
    is_resumable: bool
    max_pause_ms: float | None = None


def may_repeat(route: Route) -> bool:
    """Return whether a call that may have run may be sent again."""
    return route.kind is CallKind.IDEMPOTENT or route.is_resumable


class EngineSpec(NamedTuple):
    """Capacity and abilities of every engine of a service.

    Attributes:
        slot_count: Largest number of requests in one batch.
        memory_tokens: Size of the key-value cache, in tokens.
        tokens_per_event: Output tokens in one event of a stream.
        can_move: Whether a run's key-value cache can be moved to another engine.
        can_back_up: Whether a run's key-value cache can be copied to another engine
            as it grows.
        reservation_ms: Longest time for which an engine holds reserved memory; 0
            when it does not support reservations.
    """

    slot_count: int
    memory_tokens: int
    tokens_per_event: int
    can_move: bool
    can_back_up: bool
    reservation_ms: float = 0.0


def tokens_per_event(spec: EngineSpec | None) -> int:
    """Return the output tokens in one event of a service's streams."""
    return spec.tokens_per_event if spec else 1


def can_move(spec: EngineSpec | None) -> bool:
    """Return whether a service has engines that can copy their runs to others."""
    return bool(spec and spec.can_move)


def can_back_up(spec: EngineSpec | None) -> bool:
    """Return whether a service has engines that copy their runs as they grow."""
    return bool(spec and spec.can_back_up)


class ServiceSpec(NamedTuple):
    """Published properties of one service.

    Attributes:
        name: Unique name.
        cold_requests_per_s: Rate that a cold server accepts, in requests per second;
            0 when servers of the service are never cold.
        engine: Capacity of its engines; None for a plain service.
        health_path: Path of health checks, or empty.
    """

    name: str
    cold_requests_per_s: float
    engine: EngineSpec | None
    health_path: str = ""


class Account(NamedTuple):
    """Client account of a key; its ``priority``, if set, overrides the route's."""

    name: str
    priority: int | None


class Publication(NamedTuple):
    """One published version of the configuration, complete and decoded.

    Attributes:
        version: Version number, larger than that of every earlier publication.
        routes: All routes.
        services: Services by name.
        limits: Header size and timeouts of callers' connections.
        body_limit_bytes: Largest request body that is accepted.
        accounts_by_digest: Accounts by the digest of each of their keys; None
            when callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: ConnectionLimits
    body_limit_bytes: int
    accounts_by_digest: Mapping[bytes, Account] | None


class BackendServer(NamedTuple):
    """Registration of one backend server in the store.

    Attributes:
        server_id: Id that the server checks on every request.
        service: Service that the server runs.
        address: ``IP:PORT`` at which it serves.
        availability_zone: Zone that the server is in.
        slot_count: Requests that it processes at the same time.
        is_leaving: Whether it has announced that it will leave.
        cold_left_ms: Remaining cold time when it wrote the registration.
        started_wall_ms: Wall-clock time of its start; another value under the same id
            is a restart.
        revision: Store revision of the registration.
        software_version: Version of its software, or empty if unknown. Versions are
            equal or not; they have no order.
    """

    server_id: str
    service: str
    address: str
    availability_zone: str
    slot_count: int
    is_leaving: bool
    cold_left_ms: float
    started_wall_ms: int
    revision: int
    software_version: str = ""


class ServerRecord(NamedTuple):
    """A registration with the times recorded on this host's monotonic clock.

    Attributes:
        server: The registration.
        first_seen_ms: When this host first received a registration of this start.
        cold_until_ms: When the cold time stated by the registration ends.
        gone_since_ms: When this host received the deletion of the registration, or
            None.
    """

    server: BackendServer
    first_seen_ms: float
    cold_until_ms: float
    gone_since_ms: float | None = None


DEFAULT_CONNECTION_LIMITS = ConnectionLimits(
    HEADER_BLOCK_LIMIT_BYTES, CALLER_IDLE_TIMEOUT_MS, CALLER_IDLE_TIMEOUT_MS
)
