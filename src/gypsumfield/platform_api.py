"""Messages of the platform's read-only HTTP service.

- ``GET /v1/values?after_revision=R&wait_ms=W`` returns a
  `gypsumfield.configuration.ConfigurationDelta` with the changes after R. It
  waits up to W ms for a change. An answer that cannot hold all changes contains
  the revision up to which it is complete.
- ``GET /v1/members`` returns a `MemberList`.
"""

from typing import Literal

import msgspec

HostRole = Literal["entry", "backend"]
HostState = Literal["live", "leaving"]


class Member(msgspec.Struct, frozen=True):
    """One host of the fleet, as recorded by the platform, which lags behind.

    Attributes:
        host_id: Unique id of the host.
        role: Entry host or backend server.
        availability_zone: Zone of the host.
        address: ``IP:PORT`` at which the host serves HTTP.
        state: Whether it is leaving.
        boot_id: Id of its process start; changes at each restart.
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
    """All hosts on record at the platform.

    Attributes:
        version: Version of the list; a newer list has a larger version.
        hosts: Entry hosts and backend servers.
    """

    version: int
    hosts: tuple[Member, ...]
