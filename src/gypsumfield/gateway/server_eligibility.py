"""Determines which servers may receive a request, by this host's records of them."""

from collections.abc import Collection

from gypsumfield.decisions.avoidance import Avoidance
from gypsumfield.decisions.fleet_shares import ColdShare
from gypsumfield.decisions.placement import sample_candidates
from gypsumfield.decisions.software_versions import is_met
from gypsumfield.decisions.software_versions import VersionRequirement
from gypsumfield.gateway.engine_loads import EngineLoads
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import ServerRecord
from gypsumfield.gateway.server_health import ServerHealth
from gypsumfield.gateway.server_placement import PlacementDependencies

OTHER_VERSION_REASON = "the stream began at another software version"


class ServerEligibility:
    """Determines which servers may receive a request now."""

    def __init__(self, deps: PlacementDependencies) -> None:
        self._deps = deps
        self._health = ServerHealth(deps.emit)
        self._avoidance = Avoidance(deps.availability_zone)
        self._cold_shares: dict[str, ColdShare] = {}
        self._loads = EngineLoads(
            deps.catalogue,
            deps.ledger,
            deps.report_cache,
            deps.engine_paces,
            deps.clock,
        )

    def candidates(
        self,
        service: str,
        tried: Collection[str],
        requirement: VersionRequirement,
        needs_permit: bool = True,
    ) -> list[ServerRecord]:
        """Return the servers that may receive a request of a service now.

        Args:
            service: The service.
            tried: Ids of servers that are left out.
            requirement: Software version that the request needs.
            needs_permit: Whether servers whose limit is used up are left out. They
                may still hold copies of runs.
        """
        now_ms = self._deps.clock.monotonic_ms()
        records = self._deps.catalogue.servers_of(service)
        revision = self._deps.catalogue.revision
        ejector = self._health.update_servers(service, records, revision)
        self._avoidance.expire(now_ms)
        zone = self._deps.availability_zone
        usable = [
            record
            for record in sample_candidates(
                records, lambda r: r.server.availability_zone == zone, self._deps.rng
            )
            if record.server.server_id not in tried
            and not self.exclusion_reason(record.server, requirement)
            and not (needs_permit and self._has_no_room(record.server))
            and not self._avoidance.is_unreachable(record.server.server_id, now_ms)
        ]
        healthy = [
            record
            for record in usable
            if not ejector.is_excluded(record.server.server_id, now_ms)
        ] or usable
        is_suspect = self._avoidance.is_zone_suspect
        reachable = [
            r for r in healthy if not is_suspect(r.server.availability_zone, now_ms)
        ]
        return reachable or healthy

    def exclusion_reason(
        self,
        server: BackendServer,
        requirement: VersionRequirement,
        is_rescue: bool = False,
    ) -> str:
        """Return why a server must not receive a request now, or an empty string.

        Args:
            server: The server.
            requirement: Software version that the request needs.
            is_rescue: Whether the request resumes a run that can't continue otherwise.
        """
        catalogue = self._deps.catalogue
        record = catalogue.find_server(server.server_id)
        if record is None or record.server.address != server.address:
            return "the server is gone"
        if not is_met(requirement, record.server.software_version):
            return OTHER_VERSION_REASON
        if catalogue.is_leaving(record):
            return "the server is leaving"
        if server.availability_zone in catalogue.evacuated_zones:
            return "its zone is evacuated"
        notices = self._deps.notices
        if notices.pause_ms(server) and not (is_rescue and notices.can_resume(server)):
            return "the server wants no requests for a while"
        if self._loads.is_cold(record) and not self._has_cold_share(record):
            return "the server is cold"
        return ""

    def _has_no_room(self, server: BackendServer) -> bool:
        """Return whether a limit or the brittleness of a server keeps requests away."""
        if self._deps.permit_wait_ms(server):
            return True
        notices = self._deps.notices
        if not notices.is_brittle(server):
            return False
        own_count = self._deps.ledger.own_load(server.server_id).run_count
        share = notices.place_share(server, self._deps.host_position(server.server_id))
        return own_count >= share or notices.refusal_pause_ms(server) > 0.0

    def has_version(self, service: str, requirement: VersionRequirement) -> bool:
        """Return whether a service has a server that stays and meets a requirement."""
        return any(
            is_met(requirement, record.server.software_version)
            and not self._deps.catalogue.is_leaving(record)
            for record in self._deps.catalogue.servers_of(service)
        )

    def pause_ms(self, service: str, max_permit_wait_ms: float = 0.0) -> float:
        """Return the time until some server accepts requests; 0 if one does now.

        Args:
            service: The service.
            max_permit_wait_ms: Wait for a permit that counts as none.
        """

        def permit_wait_ms(server: BackendServer) -> float:
            wait_ms = self._deps.permit_wait_ms(server)
            return wait_ms if wait_ms > max_permit_wait_ms else 0.0

        return self._deps.notices.service_pause_ms(service, permit_wait_ms)

    def _has_cold_share(self, record: ServerRecord) -> bool:
        server = record.server
        spec = self._deps.catalogue.service_spec(server.service)
        rate_per_s = spec.cold_requests_per_s if spec else 0.0
        if rate_per_s <= 0.0:
            return True
        allowed = self._deps.cold_rate_limit(server)
        share = self._cold_shares.setdefault(server.server_id, ColdShare())
        return share.is_open(self._deps.clock.monotonic_ms(), allowed)
