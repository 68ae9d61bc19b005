"""Pauses during which backend servers asked this host to send no requests.

Full servers ask for such a pause. Further requests would cost both sides work, and the
server counts requests that arrive before the pause ends. One request may still be sent
during the pause to resume a run that would otherwise be lost.
"""

from typing import NamedTuple

# Longest pause; longer ones are implausible: a server full for a minute is replaced.
MAX_PAUSE_MS = 60_000.0
# Requests that may be sent during a pause to resume a run that no other server can
# resume. The server tolerates two.
RESUME_LIMIT = 1


class _Pause(NamedTuple):
    started_wall_ms: int
    until_ms: float
    resume_count: int = 0


class ServerPauses:
    """Pauses by server id; each is valid for one start of its server."""

    def __init__(self) -> None:
        self._pauses: dict[str, _Pause] = {}

    def record_pause(
        self, server_id: str, started_wall_ms: int, requested_ms: float, now_ms: float
    ) -> float:
        """Record a requested pause; an earlier one that ends later stays in force.

        Args:
            server_id: Id of the backend server.
            started_wall_ms: Wall-clock time of the server's start, which identifies it.
            requested_ms: Pause that the server asked for.
            now_ms: Monotonic time.

        Returns:
            The pause in ms, limited to `MAX_PAUSE_MS`.
        """
        self._expire(now_ms)
        pause_ms = min(requested_ms, MAX_PAUSE_MS)
        until_ms = now_ms + pause_ms
        earlier = self._pauses.get(server_id)
        if earlier is None or earlier.started_wall_ms != started_wall_ms:
            self._pauses[server_id] = _Pause(started_wall_ms, until_ms)
        elif earlier.until_ms < until_ms:
            self._pauses[server_id] = earlier._replace(until_ms=until_ms)
        return pause_ms

    def remaining_pause_ms(
        self, server_id: str, started_wall_ms: int, now_ms: float
    ) -> float:
        """Return the rest of the pause of a server's start, in ms; 0 without one."""
        pause = self._pauses.get(server_id)
        if pause is None or pause.started_wall_ms != started_wall_ms:
            return 0.0
        return max(0.0, pause.until_ms - now_ms)

    def can_resume(self, server_id: str) -> bool:
        """Return whether a run that no other server can resume may be sent now."""
        pause = self._pauses.get(server_id)
        return pause is None or pause.resume_count < RESUME_LIMIT

    def record_sent(self, server_id: str, now_ms: float) -> None:
        """Record a request that is sent to a server."""
        pause = self._pauses.get(server_id)
        if pause is not None and pause.until_ms > now_ms:
            self._pauses[server_id] = pause._replace(
                resume_count=pause.resume_count + 1
            )

    def _expire(self, now_ms: float) -> None:
        for server_id, pause in list(self._pauses.items()):
            if pause.until_ms <= now_ms:
                del self._pauses[server_id]
