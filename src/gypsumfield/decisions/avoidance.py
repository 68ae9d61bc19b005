"""Which servers a host leaves alone for a while after what it has just seen of them.

Load answered: servers that are gone before the store says so, zones that are parted,
engines without room. Each would cost a request one failed try; none of it is worth
a vote of the other hosts.
"""

# A server that refuses connections is gone or restarting; both show in the
# store within a few heartbeats. The time doubles while no connection succeeds.
UNREACHABLE_MS = 1_500.0
LONGEST_UNREACHABLE_MS = 6_000.0
# Servers of another zone go last for this time after a connection into it timed
# out: a parted zone would cost each request one such wait a server.
ZONE_SUSPECT_MS = 1_500.0
# Runs on a full engine end about once a second; it is not asked again before.
ENGINE_FULL_MS = 250.0


class Avoidance:
    """Servers and zones that a host leaves alone, by its own experience.

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
        """Return whether a server has just accepted no connection."""
        return self._unreachable_until_ms.get(server_id, 0.0) > now_ms

    def is_zone_suspect(self, zone: str, now_ms: float) -> bool:
        """Return whether a zone may be parted from this host."""
        return self._zone_suspect_until_ms.get(zone, 0.0) > now_ms

    def is_full(self, server_id: str, now_ms: float) -> bool:
        """Return whether an engine has just refused to reserve memory."""
        return self._full_until_ms.get(server_id, 0.0) > now_ms

    def note_answer(self, server_id: str, zone: str) -> None:
        """Note an answer; it clears what was thought of server and zone."""
        self._zone_suspect_until_ms.pop(zone, None)
        self._unreachable_until_ms.pop(server_id, None)
        self._unreachable_for_ms.pop(server_id, None)

    def note_full(self, server_id: str, now_ms: float) -> None:
        """Note that an engine has refused to reserve memory."""
        self._full_until_ms[server_id] = now_ms + ENGINE_FULL_MS

    def note_zone_timeout(self, zone: str, now_ms: float) -> None:
        """Note that a connection into a zone timed out."""
        if zone != self._own_zone:
            self._zone_suspect_until_ms[zone] = now_ms + ZONE_SUSPECT_MS

    def note_unreachable(self, server_id: str, now_ms: float) -> None:
        """Note that a server accepted no connection."""
        if self.is_unreachable(server_id, now_ms):
            return
        for_ms = self._unreachable_for_ms.get(server_id, UNREACHABLE_MS / 2) * 2
        self._unreachable_for_ms[server_id] = min(for_ms, LONGEST_UNREACHABLE_MS)
        self._unreachable_until_ms[server_id] = now_ms + for_ms

    def expire(self, now_ms: float) -> None:
        """Drop what is over, so that servers that are gone leave nothing behind."""
        limit_ms = now_ms - LONGEST_UNREACHABLE_MS
        for server_id, until_ms in list(self._unreachable_until_ms.items()):
            if until_ms < limit_ms:
                del self._unreachable_until_ms[server_id]
                self._unreachable_for_ms.pop(server_id, None)
        for server_id, until_ms in list(self._full_until_ms.items()):
            if until_ms <= now_ms:
                del self._full_until_ms[server_id]
