"""Ejection of failing servers, by service."""

from collections.abc import Sequence

from gypsumfield.decisions.ejection import BackendHealth
from gypsumfield.decisions.ejection import EjectionSettings
from gypsumfield.decisions.ejection import Ejector
from gypsumfield.events import BackendHealthChanged
from gypsumfield.gateway.model import ServerRecord
from gypsumfield.interfaces import EmitEvent

# The limit counts consecutive failures. Partly failing servers fail about every
# second request; healthy ones fail one in seven on the services with the most errors.
EJECTION = EjectionSettings(failure_limit=4, ejection_ms=2_000.0)


class ServerHealth:
    """One ejector for the servers of each service.

    Args:
        emit: Writes an event to the log.
    """

    def __init__(self, emit: EmitEvent) -> None:
        self._emit = emit
        self._ejectors: dict[str, Ejector] = {}
        self._revisions: dict[str, int] = {}

    def ejector(self, service: str) -> Ejector:
        """Return the ejector of a service."""
        if service not in self._ejectors:
            self._ejectors[service] = Ejector(
                EJECTION,
                lambda server_id, health, reason: self._log_change(
                    service, server_id, health, reason
                ),
            )
        return self._ejectors[service]

    def update_servers(
        self, service: str, records: Sequence[ServerRecord], revision: int
    ) -> Ejector:
        """Return the ejector of a service after it was given the published servers.

        Args:
            service: The service.
            records: Its servers.
            revision: Store revision of the records, with which alone they change.
        """
        ejector = self.ejector(service)
        if self._revisions.get(service) != revision:
            self._revisions[service] = revision
            ejector.set_servers([record.server.server_id for record in records])
        return ejector

    def _log_change(
        self, service: str, server_id: str, health: BackendHealth, reason: str
    ) -> None:
        self._emit(
            BackendHealthChanged(
                service=service,
                backend_server=server_id,
                health=health.value,
                reason=reason,
            )
        )
