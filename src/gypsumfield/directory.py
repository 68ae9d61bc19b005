"""Backend servers that may get new work, from members and configuration."""

from collections.abc import Callable
from collections.abc import Mapping

from gypsumfield.configuration import Configuration
from gypsumfield.platform_api import Member
from gypsumfield.platform_api import MemberList

ZONE_IN = "in"


class BackendDirectory:
    """Latest known members, asked for what may get new work now."""

    def __init__(self, configuration: Callable[[], Configuration]) -> None:
        self._configuration = configuration
        self._hosts: Mapping[str, Member] = {}
        self.version = 0

    def update(self, members: MemberList) -> None:
        """Take over a member list; an older one than the latest is dropped."""
        if members.version < self.version:
            return
        self.version = members.version
        self._hosts = {member.host_id: member for member in members.hosts}

    def find(self, host_id: str) -> Member | None:
        """Return a member by host id."""
        return self._hosts.get(host_id)

    def entry_hosts(self) -> list[Member]:
        """Return all entry hosts, by host id."""
        return sorted(
            (member for member in self._hosts.values() if member.role == "entry"),
            key=lambda member: member.host_id,
        )

    def backend_servers(self) -> list[Member]:
        """Return all backend servers, by host id."""
        return sorted(
            (member for member in self._hosts.values() if member.role == "backend"),
            key=lambda member: member.host_id,
        )

    def eligible_backends(self, service: str) -> list[Member]:
        """Return the backend servers of a service that may get new work."""
        return [
            member
            for member in self._hosts.values()
            if not self.find_hindrance(service, member)
        ]

    def find_hindrance(self, service: str, member: Member) -> str:
        """Say why a backend server must not get new work, or nothing."""
        current = self._hosts.get(member.host_id)
        if current is None or current.role != "backend":
            return f"{member.host_id} is no backend server of the fleet"
        if service not in current.services:
            return f"{member.host_id} does not serve {service!r}"
        if current.state != "live":
            return f"{member.host_id} is leaving"
        zone = self._configuration().zones.get(current.availability_zone)
        if zone is None or zone.status != ZONE_IN:
            return f"availability zone {current.availability_zone!r} is out"
        return ""
