"""Decodes the documents and registrations in the platform's store.

An invalid document raises `ConfigurationError`, whose message names the key and the
field. The caller then continues with the last valid document.
"""

import re
from typing import Any

import msgspec

from gypsumfield.adapters.caller_server import ConnectionLimits
from gypsumfield.decoding import check_address
from gypsumfield.decoding import decode
from gypsumfield.decoding import DurationMs
from gypsumfield.decoding import MAX_DURATION_MS
from gypsumfield.decoding import MAX_NAME_LENGTH
from gypsumfield.decoding import Name
from gypsumfield.decoding import PositiveCount
from gypsumfield.decoding import Timestamp
from gypsumfield.exceptions import ConfigurationError
from gypsumfield.exceptions import InvalidDataError
from gypsumfield.gateway.model import Account
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import CallKind
from gypsumfield.gateway.model import EngineSpec
from gypsumfield.gateway.model import Publication
from gypsumfield.gateway.model import Route
from gypsumfield.gateway.model import ServiceShare
from gypsumfield.gateway.model import ServiceSpec
from gypsumfield.gateway.routes import key_digest

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
VERSION_LIMIT_CHARACTERS = 64
# An entry with other characters in its name comes from another writer than a server.
_SERVER_ID = re.compile(r"[A-Za-z0-9._~-]+")

_CALL_KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAM,
}
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class _WireShare(msgspec.Struct):
    service: str
    weight: float = 1.0


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 5
    service: str = ""
    traffic_split: list[_WireShare] = []
    max_attempts: int = 1
    allow_anonymous: bool = False
    stream_resume: bool = False
    # Longest gap between two events of a stream; an invalid one counts as none, so
    # that it does not keep a whole version of the configuration out of force.
    gap_aim_ms: Any = None


class _WireEngine(msgspec.Struct):
    slot_count: int
    kv_tokens: int
    # Tokens per event, not an offset in memory.
    stride: int = 1
    # Whether a run can be moved to another engine during its execution.
    migrations: bool = False
    backups: bool = False
    hold_ms: float = 0.0


class _WireService(msgspec.Struct):
    name: str
    health_path: str = ""
    cold_per_s: float = 0.0
    engine: _WireEngine | None = None


class _WireLimits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _WireTenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _WireConfiguration(msgspec.Struct):
    version: int
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: list[_WireTenant] | None = None


class _WireServer(msgspec.Struct):
    service: Name
    address: str
    zone: Name
    state: str
    slot_count: PositiveCount = 1
    cold_remaining_ms: DurationMs = 0.0
    born: Timestamp = 0
    # Of the server's software, not of its models; anything but a short text is unknown.
    version: object = None


_CONFIGURATION_DECODER = msgspec.json.Decoder(_WireConfiguration)
_SERVER_DECODER = msgspec.json.Decoder(_WireServer)


def decode_publication(data: bytes) -> Publication:
    """Decode the operators' configuration from JSON.

    Raises:
        ConfigurationError: The document is invalid; the message names the field.
    """
    try:
        wire = decode(_CONFIGURATION_DECODER, data)
        routes = tuple(_convert_route(route) for route in wire.routes)
    except (InvalidDataError, KeyError) as error:
        raise ConfigurationError(f"{CONFIGURATION_KEY}: {error}") from error
    return Publication(
        version=wire.version,
        routes=routes,
        services={service.name: _convert_service(service) for service in wire.services},
        limits=ConnectionLimits(
            wire.limits.max_header_bytes,
            wire.limits.header_timeout_ms,
            wire.limits.idle_timeout_ms,
        ),
        body_limit_bytes=wire.limits.max_body_bytes,
        accounts_by_digest=_index_accounts(wire.tenants),
    )


def decode_server(key: str, data: bytes, revision: int) -> BackendServer:
    """Decode the registration of one backend server from JSON.

    Args:
        key: Key of the registration in the store; ends with the server's id.
        data: Registration, encoded as JSON.
        revision: Store revision at which the registration was written.

    Raises:
        ConfigurationError: The key has no id of a server, or the registration is
            damaged or does not have the expected fields; the message names the key.
    """
    name = server_id(key)
    if not _SERVER_ID.fullmatch(name) or len(name) > MAX_NAME_LENGTH:
        raise ConfigurationError(f"{key[:MAX_NAME_LENGTH]!r}: no id of a server")
    try:
        wire = decode(_SERVER_DECODER, data)
        is_leaving = _IS_LEAVING_BY_STATE[wire.state]
        address = check_address(wire.address)
    except (InvalidDataError, KeyError) as error:
        raise ConfigurationError(f"{key}: {error}") from error
    return BackendServer(
        server_id=name,
        service=wire.service,
        address=address,
        availability_zone=wire.zone,
        slot_count=wire.slot_count,
        is_leaving=is_leaving,
        cold_left_ms=wire.cold_remaining_ms,
        started_wall_ms=wire.born,
        revision=revision,
        software_version=_software_version(wire.version),
    )


def evacuated_zone(key: str) -> str:
    """Return the zone that a key marks for evacuation, or an empty string."""
    if not key.startswith(EVACUATION_PREFIX):
        return ""
    return key.removeprefix(EVACUATION_PREFIX)


def is_configuration_key(key: str) -> bool:
    """Return whether a key holds the operators' configuration."""
    return key == CONFIGURATION_KEY


def is_server_key(key: str) -> bool:
    """Return whether a key holds a backend server's registration."""
    return key.startswith(SERVER_PREFIX)


def server_id(key: str) -> str:
    """Return the id of the backend server whose registration a key holds."""
    return key.removeprefix(SERVER_PREFIX)


def _software_version(value: object) -> str:
    if not isinstance(value, str) or len(value) > VERSION_LIMIT_CHARACTERS:
        return ""
    return value if value.isprintable() else ""


def _convert_route(wire: _WireRoute) -> Route:
    shares = tuple(ServiceShare(s.service, s.weight) for s in wire.traffic_split)
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        kind=_CALL_KINDS[wire.kind],
        timeout_ms=wire.timeout_ms,
        target_latency_ms=wire.target_latency_ms,
        priority=wire.priority,
        shares=shares or (ServiceShare(wire.service, 1.0),),
        max_attempts=max(1, wire.max_attempts),
        is_open=wire.allow_anonymous,
        is_resumable=wire.stream_resume,
        max_pause_ms=_max_pause_ms(wire.gap_aim_ms),
    )


def _max_pause_ms(value: Any) -> float | None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number and 0.0 < value <= MAX_DURATION_MS else None


def _convert_service(wire: _WireService) -> ServiceSpec:
    return ServiceSpec(
        name=wire.name,
        cold_requests_per_s=wire.cold_per_s,
        engine=_convert_engine(wire.engine) if wire.engine else None,
        health_path=wire.health_path,
    )


def _convert_engine(wire: _WireEngine) -> EngineSpec:
    return EngineSpec(
        slot_count=wire.slot_count,
        memory_tokens=wire.kv_tokens,
        tokens_per_event=max(1, wire.stride),
        can_move=wire.migrations,
        can_back_up=wire.backups,
        reservation_ms=wire.hold_ms,
    )


def _index_accounts(tenants: list[_WireTenant] | None) -> dict[bytes, Account] | None:
    if tenants is None:
        return None
    return {
        key_digest(key): Account(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }
