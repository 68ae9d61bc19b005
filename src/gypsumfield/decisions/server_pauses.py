"""For how long a backend server wants no requests from this host.

Load answered: servers that are full and say so. Asking them again costs both sides
work, and the server counts what reaches it before the time is over. One request may
still pass where a run would be lost without it.
"""

from typing import NamedTuple

# Longer times are odd: servers that are full for a minute are replaced.
MAX_PAUSE_MS = 60_000.0
# Requests that may pass although the server asked for quiet, when they carry on a
# run that has no other way; the server bears two.
RESCUES = 1


class _Quiet(NamedTuple):
    started_wall_ms: int
    until_ms: float
    rescue_count: int = 0


class ServerPauses:
    """Times of quiet by server; each holds for one start of its server."""

    def __init__(self) -> None:
        self._quiet: dict[str, _Quiet] = {}

    def record_pause(
        self, server_id: str, started_wall_ms: int, asked_ms: float, now_ms: float
    ) -> float:
        """Note a wish for quiet; the longest one holds.

        Returns:
            The time that is kept, bounded by ``MAX_PAUSE_MS``.
        """
        self._forget(now_ms)
        kept_ms = min(asked_ms, MAX_PAUSE_MS)
        until_ms = now_ms + kept_ms
        known = self._quiet.get(server_id)
        if known is None or known.started_wall_ms != started_wall_ms:
            self._quiet[server_id] = _Quiet(started_wall_ms, until_ms)
        elif known.until_ms < until_ms:
            self._quiet[server_id] = known._replace(until_ms=until_ms)
        return kept_ms

    def remaining_pause_ms(
        self, server_id: str, started_wall_ms: int, now_ms: float
    ) -> float:
        """Return how much longer a start of a server wants quiet; 0 for not."""
        quiet = self._quiet.get(server_id)
        if quiet is None or quiet.started_wall_ms != started_wall_ms:
            return 0.0
        return max(0.0, quiet.until_ms - now_ms)

    def can_resume(self, server_id: str) -> bool:
        """Return whether a run that has no other way may still be carried on."""
        quiet = self._quiet.get(server_id)
        return quiet is None or quiet.rescue_count < RESCUES

    def note_sent(self, server_id: str, now_ms: float) -> None:
        """Note a request that leaves for a server."""
        quiet = self._quiet.get(server_id)
        if quiet is not None and quiet.until_ms > now_ms:
            self._quiet[server_id] = quiet._replace(rescue_count=quiet.rescue_count + 1)

    def _forget(self, now_ms: float) -> None:
        for server_id, quiet in list(self._quiet.items()):
            if quiet.until_ms <= now_ms:
                del self._quiet[server_id]
