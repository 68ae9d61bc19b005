"""Servers and zones that a host avoids for a while after failed attempts.

It covers servers that are gone before the store reports it, partitioned zones, and
engines without free memory. Each would cost a request one failed attempt. A host
decides this alone: for one server, agreement would cost more than it saves. Whether the
host has lost its path to all servers of a service is decided in `paths`.
"""

# A server that refuses connections is gone or restarting; the store shows either within
# a few heartbeats. The time doubles while no connection succeeds.
UNREACHABLE_MS = 1_500.0
MAX_UNREACHABLE_MS = 6_000.0
# After a connection into a zone timed out, its servers are tried last for this time. In
# a partitioned zone, each request would otherwise wait for one timeout per server.
ZONE_SUSPECT_MS = 1_500.0
# A full engine gets no request for this time; its runs end about once per second.
ENGINE_FULL_MS = 250.0


class Avoidance:
    """Servers and zones that a host avoids, based on its own attempts.

    Args:
        own_zone: Availability zone of the host; it is never suspected.
    """

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._unreachable_until_ms: dict[str, float] = {}
        self._unreachable_for_ms: dict[str, float] = {}
        self._zone_suspect_until_ms: dict[str, float] = {}
        self._full_until_ms: dict[str, float] = {}

    def is_unreachable(self, server_id: str, now_ms: float) -> bool:
        """Return whether a server recently accepted no connection."""
        return self._unreachable_until_ms.get(server_id, 0.0) > now_ms

    def is_zone_suspect(self, zone: str, now_ms: float) -> bool:
        """Return whether the network to a zone may be partitioned."""
        return self._zone_suspect_until_ms.get(zone, 0.0) > now_ms

    def is_avoided(self, server_id: str, zone: str, now_ms: float) -> bool:
        """Return whether a server, or the network to its zone, may be unreachable."""
        return self.is_unreachable(server_id, now_ms) or self.is_zone_suspect(
            zone, now_ms
        )

    def is_full(self, server_id: str, now_ms: float) -> bool:
        """Return whether an engine recently refused to reserve memory."""
        return self._full_until_ms.get(server_id, 0.0) > now_ms

    def record_answer(self, server_id: str, zone: str) -> None:
        """Record an answer, which ends the avoidance of the server and its zone."""
        self._zone_suspect_until_ms.pop(zone, None)
        self._unreachable_until_ms.pop(server_id, None)
        self._unreachable_for_ms.pop(server_id, None)

    def record_full(self, server_id: str, now_ms: float) -> None:
        """Record that an engine refused to reserve memory."""
        self._full_until_ms[server_id] = now_ms + ENGINE_FULL_MS

    def record_zone_timeout(self, zone: str, now_ms: float) -> None:
        """Record that a connection into a zone timed out; the own zone is ignored."""
        if zone != self._own_zone:
            self._zone_suspect_until_ms[zone] = now_ms + ZONE_SUSPECT_MS

    def record_unreachable(self, server_id: str, now_ms: float) -> None:
        """Record that a server accepted no connection."""
        if self.is_unreachable(server_id, now_ms):
            return
        duration_ms = self._unreachable_for_ms.get(server_id, UNREACHABLE_MS / 2) * 2
        self._unreachable_for_ms[server_id] = min(duration_ms, MAX_UNREACHABLE_MS)
        self._unreachable_until_ms[server_id] = now_ms + duration_ms

    def expire(self, now_ms: float) -> None:
        """Remove expired entries, so that removed servers leave no state behind."""
        oldest_ms = now_ms - MAX_UNREACHABLE_MS
        for server_id, until_ms in list(self._unreachable_until_ms.items()):
            if until_ms < oldest_ms:
                del self._unreachable_until_ms[server_id]
                self._unreachable_for_ms.pop(server_id, None)
        for server_id, until_ms in list(self._full_until_ms.items()):
            if until_ms <= now_ms:
                del self._full_until_ms[server_id]
