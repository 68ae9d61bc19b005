"""Settings of one process, read from a JSON file and checked field by field."""

from pathlib import Path
from typing import Any
from typing import TypeVar

import msgspec

from gypsumfield.exceptions import SettingsError

SettingsT = TypeVar("SettingsT")


class PeerAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Seed address of another entry host's control socket.

    Attributes:
        host_id: Name of the other entry host.
        address: ``IP:PORT`` of its control socket.
        public_key: CURVE public key (Z85), or empty on loopback.
    """

    host_id: str
    address: str
    public_key: str = ""


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one entry host.

    Attributes:
        host_id: Unique name of this host.
        availability_zone: Zone this host stands in.
        platform_url: ``http://IP:PORT`` of the platform's service.
        listen_address: IP for callers.
        listen_port: Port for callers; 0 lets the system choose.
        control_address: IP for peers.
        control_port: Port for peers; 0 lets the system choose.
        control_public_key: CURVE public key (Z85); empty only on loopback.
        control_secret_key: CURVE secret key (Z85); empty only on loopback.
        peers: Seed peers, to reach others while the platform is down.
        log_path: File for JSON lines; ``-`` is standard error.
        body_limit_bytes: Largest request body taken.
        connect_timeout_ms: Bound on connecting to a backend server.
        drain_notice_ms: How long to accept after SIGTERM, until the balancer
            has seen the health page turn.
        drain_limit_ms: Bound on draining; 0 waits for the last answer.
        hold_down_ms: Wait before this host's part of anything grows; longer
            than a lease and the longest pause that goes unnoticed together.
        lease_ms: How long a slot lasts unless it is renewed.
        seed: Seed of the host's random choices; None takes system entropy.
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
    seed: int | None = None


def decode_settings(data: bytes, wanted: type[SettingsT], name: str) -> SettingsT:
    """Decode settings from JSON.

    Args:
        data: The JSON text.
        wanted: Struct type to decode into.
        name: Name of the file, for the message.

    Raises:
        SettingsError: The text is no JSON, a field is unknown, missing or of
            the wrong type; the message names it.
    """
    try:
        return msgspec.json.decode(data, type=wanted)
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{name}: {error}") from error


def read_settings(path: str, wanted: type[SettingsT]) -> SettingsT:
    """Read and check the settings file at ``path``.

    Raises:
        SettingsError: The file cannot be read or does not fit ``wanted``.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    return decode_settings(data, wanted, path)


def encode_settings(settings: Any) -> bytes:
    """Return ``settings`` as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(settings), indent=2)
