"""Whether this host has lost its own path to the servers of a service.

One server that accepts no connection may have ended. Several in a row, with no answer
of any other in between, show that the host is partitioned from them, or all are down;
other hosts know which.
"""

# Failures before this time do not add up with new ones.
EVIDENCE_LIFETIME_MS = 3_000.0
# Servers that must fail, unless the service has fewer.
FAILED_SERVERS = 2


class Paths:
    """Evidence on the paths to each service, from attempts to connect and answers."""

    def __init__(self) -> None:
        self._failed_ms: dict[str, dict[str, float]] = {}
        self._lost_since_ms: dict[str, float] = {}

    def lost_services(self) -> list[str]:
        """Return the services whose servers this host does not reach."""
        return list(self._lost_since_ms)

    def is_lost(self, service: str) -> bool:
        """Return whether this host reaches no server of a service."""
        return service in self._lost_since_ms

    def record_unreachable(
        self, service: str, server_id: str, server_count: int, now_ms: float
    ) -> bool:
        """Record that a server accepted no connection.

        Args:
            service: The service.
            server_id: The server.
            server_count: Servers of the service that should accept connections.
            now_ms: Monotonic time.

        Returns:
            Whether the path to the service is lost from now on.
        """
        failed_ms = self._failed_ms.setdefault(service, {})
        failed_ms[server_id] = now_ms
        for other, at_ms in list(failed_ms.items()):
            if now_ms - at_ms > EVIDENCE_LIFETIME_MS:
                del failed_ms[other]
        if self.is_lost(service) or len(failed_ms) < min(FAILED_SERVERS, server_count):
            return False
        self._lost_since_ms[service] = now_ms
        return True

    def record_contact(self, service: str, now_ms: float) -> float | None:
        """Record an answer of a server of a service.

        Returns:
            For how long the path was lost until now, or None if it was not.
        """
        self._failed_ms.pop(service, None)
        since_ms = self._lost_since_ms.pop(service, None)
        return None if since_ms is None else now_ms - since_ms

    def forget(self, service: str) -> None:
        """Remove a service that has no servers any more."""
        self._failed_ms.pop(service, None)
        self._lost_since_ms.pop(service, None)
