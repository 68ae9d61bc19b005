"""Status page of an entry host: configuration, members, limits and servers."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from gypsumfield.configuration import ConfigurationStore
from gypsumfield.control_plane import ControlPlane
from gypsumfield.directory import BackendDirectory
from gypsumfield.refusal_history import LastRefusal
from gypsumfield.settings import EntrySettings


class StatusSources(NamedTuple):
    """Components of the host that the status page reads."""

    settings: EntrySettings
    store: ConfigurationStore
    directory: BackendDirectory
    plane: ControlPlane
    last_refusals: Callable[[], Mapping[str, LastRefusal]]


class BackendStatus(msgspec.Struct, frozen=True):
    """One backend server in the status page.

    Attributes:
        host_id: Host id of the backend server.
        availability_zone: Zone of the backend server.
        services: Services that it provides.
        hindrances: Reason by service, for services for which this host sends it no
            new requests.
    """

    host_id: str
    availability_zone: str
    services: tuple[str, ...]
    hindrances: Mapping[str, str]


class StatusPage(msgspec.Struct, frozen=True):
    """Answer of ``/statusz``.

    Attributes:
        host_id: Host id of this host.
        availability_zone: Zone of this host.
        configuration_revision: Configuration revision in force.
        configuration_age_ms: Time since the platform last answered this host or a
            peer from which it receives messages. Null if it never answered.
        rejected_values: Reason by key, for published values that this host rejected.
        member_version: Version of the platform's member list.
        members: Live entry hosts by availability zone.
        is_confirmed: Whether the other hosts of the zone receive the heartbeats of
            this host.
        owned_backend_servers: Backend servers whose slots this host grants.
        shares: Fraction of each account's rate for which this host issues tokens.
        last_refusals: Latest refusal of a request, by account.
        backend_servers: All backend servers.
    """

    host_id: str
    availability_zone: str
    configuration_revision: int
    configuration_age_ms: float | None
    rejected_values: Mapping[str, str]
    member_version: int
    members: Mapping[str, tuple[str, ...]]
    is_confirmed: bool
    owned_backend_servers: tuple[str, ...]
    shares: Mapping[str, float]
    last_refusals: Mapping[str, LastRefusal]
    backend_servers: tuple[BackendStatus, ...]


def render_status(sources: StatusSources) -> bytes:
    """Return the status page as JSON."""
    store = sources.store
    directory = sources.directory
    page = StatusPage(
        host_id=sources.settings.host_id,
        availability_zone=sources.settings.availability_zone,
        configuration_revision=store.revision,
        configuration_age_ms=sources.plane.configuration.platform_age_ms(),
        rejected_values=store.current.rejected,
        member_version=sources.plane.member_list.spread.store.revision,
        members=_live_hosts_by_zone(sources.plane),
        is_confirmed=sources.plane.is_confirmed,
        owned_backend_servers=tuple(
            member.host_id
            for member in directory.backend_servers()
            if sources.plane.slots.is_owner(member.host_id)
        ),
        shares=sources.plane.quotas.shares(),
        last_refusals=sources.last_refusals(),
        backend_servers=_backend_statuses(directory),
    )
    return msgspec.json.encode(page)


def _live_hosts_by_zone(plane: ControlPlane) -> Mapping[str, tuple[str, ...]]:
    membership = plane.members.membership
    zones = sorted({entry.availability_zone for entry in membership.known_records()})
    return {zone: tuple(sorted(membership.live_hosts(zone))) for zone in zones}


def _backend_statuses(directory: BackendDirectory) -> tuple[BackendStatus, ...]:
    return tuple(
        BackendStatus(
            host_id=member.host_id,
            availability_zone=member.availability_zone,
            services=member.services,
            hindrances={
                service: hindrance
                for service in member.services
                if (hindrance := directory.find_exclusion_reason(service, member))
            },
        )
        for member in directory.backend_servers()
    )
