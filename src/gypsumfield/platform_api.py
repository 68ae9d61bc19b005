"""Messages of the platform's read-only service, over HTTP.

- ``GET /v1/values?after_revision=R&wait_ms=W`` answers a
  `gypsumfield.configuration.ConfigurationDelta` with the changes after R; it
  waits up to W ms for one. An answer that cannot hold all changes carries the
  revision up to which it is complete.
- ``GET /v1/members`` answers `MemberList`.
"""

from typing import Literal

import msgspec

HostRole = Literal["entry", "backend"]
HostState = Literal["live", "leaving"]


class Member(msgspec.Struct, frozen=True):
    """One host of the fleet, as the platform knows it; the list lags.

    Attributes:
        host_id: Unique name.
        role: Entry host or backend server.
        availability_zone: Zone it stands in.
        address: ``IP:PORT`` for HTTP.
        state: Whether it is leaving.
        boot_id: Changes whenever its process restarts.
        services: Services that a backend server serves.
        control_address: ``IP:PORT`` of an entry host's control socket.
        control_public_key: CURVE public key of that socket; empty on loopback.
    """

    host_id: str
    role: HostRole
    availability_zone: str
    address: str
    state: HostState = "live"
    boot_id: str = ""
    services: tuple[str, ...] = ()
    control_address: str = ""
    control_public_key: str = ""


class MemberList(msgspec.Struct, frozen=True):
    """All hosts that the platform knows of."""

    version: int
    hosts: tuple[Member, ...]
