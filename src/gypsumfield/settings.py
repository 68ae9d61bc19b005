"""Settings of one process, read from a JSON file and validated."""

from pathlib import Path
from typing import Any
from typing import TypeVar

import msgspec

from gypsumfield.exceptions import SettingsError

SettingsT = TypeVar("SettingsT")


class PeerAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Seed address of the control socket of another entry host.

    Attributes:
        host_id: Host id of the other entry host.
        address: ``IP:PORT`` of its control socket.
        public_key: CURVE public key (Z85). May be empty only on loopback.
    """

    host_id: str
    address: str
    public_key: str = ""


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one entry host.

    Attributes:
        host_id: Unique id of this host.
        availability_zone: Zone of this host.
        platform_url: ``http://IP:PORT`` of the platform's service.
        listen_address: IP address on which callers connect.
        listen_port: Port on which callers connect. 0 lets the system choose.
        control_address: IP address on which peers connect.
        control_port: Port on which peers connect. 0 lets the system choose.
        control_public_key: CURVE public key (Z85). May be empty only on loopback.
        control_secret_key: CURVE secret key (Z85). May be empty only on loopback.
        peers: Seed peers, used to reach the other hosts while the platform is
            unreachable.
        log_path: File to which events are written as JSON lines. ``-`` is standard
            error.
        body_limit_bytes: Largest accepted request body.
        connect_timeout_ms: Timeout for connecting to a backend server.
        drain_notice_ms: Time for which new connections are still accepted after
            SIGTERM, so that the load balancer notices the failing health check.
        drain_limit_ms: Limit on the duration of a drain. 0 waits until the last
            answer has ended.
        hold_down_ms: Wait before this host's share of the limits, or the set of
            backend servers it owns, may grow. Must be longer than a lease plus the
            longest process pause that goes undetected.
        lease_ms: Lifetime of a slot lease that is not renewed.
        memory_mb: Memory that the process may use.
        max_fds: Descriptors that the process may have open.
        seed: Seed of the random source of the host. None uses system entropy.
    """

    host_id: str
    availability_zone: str
    platform_url: str
    listen_address: str = "127.0.0.1"
    listen_port: int = 0
    control_address: str = "127.0.0.1"
    control_port: int = 0
    control_public_key: str = ""
    control_secret_key: str = ""
    peers: tuple[PeerAddress, ...] = ()
    log_path: str = "-"
    body_limit_bytes: int = 1_048_576
    connect_timeout_ms: float = 500.0
    drain_notice_ms: float = 200.0
    drain_limit_ms: float = 0.0
    hold_down_ms: float = 6_000.0
    lease_ms: float = 3_000.0
    memory_mb: float = 128.0
    max_fds: float = 4_096.0
    seed: int | None = None


def decode_settings(
    data: bytes, settings_type: type[SettingsT], name: str
) -> SettingsT:
    """Decode settings from JSON.

    Args:
        data: JSON text.
        settings_type: Struct type to decode into.
        name: Name of the file, for the error message.

    Raises:
        SettingsError: The text is not valid JSON, or a field is unknown, missing
            or of the wrong type. The message names the field.
    """
    try:
        return msgspec.json.decode(data, type=settings_type)
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{name}: {error}") from error


def read_settings(path: str, settings_type: type[SettingsT]) -> SettingsT:
    """Read and validate the settings file at ``path``.

    Raises:
        SettingsError: The file cannot be read or does not match ``settings_type``.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    return decode_settings(data, settings_type, path)


def encode_settings(settings: Any) -> bytes:
    """Return ``settings`` as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(settings), indent=2)
