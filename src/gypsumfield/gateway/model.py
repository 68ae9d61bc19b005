"""What operators publish and what backend servers register, in our own terms."""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from gypsumfield.adapters.caller_server import CALLER_SILENCE_LIMIT_MS
from gypsumfield.adapters.caller_server import ConnectionLimits
from gypsumfield.adapters.caller_server import HEADER_BLOCK_LIMIT_BYTES

BODY_LIMIT_BYTES = 1_048_576


class CallKind(Enum):
    """What may be repeated, by the statement of the route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """Part of a route's calls that goes to one service; weights are relative."""

    service: str
    weight: float


class Route(NamedTuple):
    """How calls of one host and path prefix are handled.

    Attributes:
        name: Unique name.
        host: Host name the caller asks for.
        path_prefix: Beginning of the path, with a slash at both ends.
        kind: What may be repeated.
        timeout_ms: Longest time a caller is kept waiting.
        target_latency_ms: Time to the answer, or to a stream's first event, that
            earns full credit.
        priority: Rank; 0 is the most urgent.
        shares: Services that serve the route.
        max_attempts: Most backend servers that may run one call.
        is_open: Whether calls need no key.
        is_resumable: Whether a stream may go on from another run.
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


class EngineSpec(NamedTuple):
    """What every engine of a service bears and can do.

    Attributes:
        slot_count: Requests in one batch.
        memory_tokens: Key-value memory.
        tokens_per_event: Tokens in one event of a stream.
        can_move: Whether a run's memory can be moved to another engine.
        can_back_up: Whether a run's memory can be copied as it grows.
        reservation_ms: How long an engine keeps reserved memory at most; 0 when
            it reserves none.
    """

    slot_count: int
    memory_tokens: int
    tokens_per_event: int
    can_move: bool
    can_back_up: bool
    reservation_ms: float = 0.0


class ServiceSpec(NamedTuple):
    """One service.

    Attributes:
        name: Unique name.
        cold_requests_per_s: Requests a cold server bears; 0 when it is never cold.
        engine: What its engines bear; None for a plain service.
    """

    name: str
    cold_requests_per_s: float
    engine: EngineSpec | None


class Account(NamedTuple):
    """Client account of a key; ``priority`` goes before the route's, if any."""

    name: str
    priority: int | None


class Publication(NamedTuple):
    """One configuration version as it is in force as a whole.

    Attributes:
        version: Version number; grows.
        routes: All routes.
        services: Services by name.
        limits: Bounds on callers' connections.
        body_limit_bytes: Largest request body.
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
    """Registration of one backend server.

    Attributes:
        server_id: Id of this start; checked by the server on every request.
        service: Service it runs.
        address: ``IP:PORT``.
        availability_zone: Zone it stands in.
        slot_count: Requests it works on at once.
        is_leaving: Whether it has announced its end.
        cold_left_ms: How much longer it was to be cold when it wrote this.
        started_wall_ms: Its start; another value under the same id is a restart.
        revision: Revision of the registration.
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


DEFAULT_CONNECTION_LIMITS = ConnectionLimits(
    HEADER_BLOCK_LIMIT_BYTES, CALLER_SILENCE_LIMIT_MS, CALLER_SILENCE_LIMIT_MS
)
