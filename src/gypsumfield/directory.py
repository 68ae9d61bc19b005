"""Directory of the backend servers that may receive new work."""

from collections.abc import Callable

from gypsumfield.configuration import Configuration
from gypsumfield.decisions.backend_membership import BackendMembership
from gypsumfield.platform_api import Member

ZONE_STATUS_IN = "in"


class BackendDirectory:
    """Finds the backend servers that may receive new work now.

    Each call uses the latest configuration and membership of this host.

    Args:
        configuration: Returns the configuration in force.
        backends: Membership of the backend servers.
    """

    def __init__(
        self, configuration: Callable[[], Configuration], backends: BackendMembership
    ) -> None:
        self._configuration = configuration
        self._backends = backends

    def find(self, host_id: str) -> Member | None:
        """Return a backend server by host id; None if it is unknown."""
        return self._backends.member_of(host_id)

    def backend_servers(self) -> list[Member]:
        """Return all backend servers, sorted by host id."""
        return sorted(self._backends.listed(), key=lambda member: member.host_id)

    def eligible_backends(self, service: str) -> list[Member]:
        """Return the backend servers of a service that may receive new work."""
        return [
            member
            for member in self._backends.listed()
            if not self.find_exclusion_reason(service, member)
        ]

    def find_exclusion_reason(self, service: str, member: Member) -> str:
        """Return why a backend server must not receive new work; empty if it may."""
        current = self._backends.member_of(member.host_id)
        if current is None:
            return f"{member.host_id} is no backend server of the fleet"
        if service not in current.services:
            return f"{member.host_id} does not serve {service!r}"
        if self._backends.is_leaving(current):
            return f"{member.host_id} is leaving"
        zone = self._configuration().zones.get(current.availability_zone)
        if zone is None or zone.status != ZONE_STATUS_IN:
            return f"availability zone {current.availability_zone!r} is out"
        return ""
