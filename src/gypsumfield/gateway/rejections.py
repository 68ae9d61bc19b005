"""Logs the published items that cannot be used, each once, and not all of a flood."""

from gypsumfield.clock import Clock
from gypsumfield.gateway.events import PublicationRejected
from gypsumfield.interfaces import EmitEvent

# Rejections that are remembered; a writer of odd items repeats them at each heartbeat.
MAX_REJECTIONS = 256
# Lines in each interval. With more odd items than are remembered, each write is new.
MAX_LOGGED_REJECTIONS = 100
LOG_INTERVAL_MS = 60_000.0


class Rejections:
    """Rejected items by key, with the reason.

    Args:
        clock: Monotonic clock.
        emit: Writes an event to the log.
    """

    def __init__(self, clock: Clock, emit: EmitEvent) -> None:
        self._clock = clock
        self._emit = emit
        self._interval_begin_ms = clock.monotonic_ms()
        self._logged_count = 0
        self._unlogged_count = 0
        # Used as an ordered set: the item rejected first is removed first.
        self._reasons: dict[str, str] = {}

    def record(
        self, key: str, reason: str, source: str, revision: int = 0, version: int = 0
    ) -> None:
        """Log a rejection, unless the same one was recorded for the key.

        Of more than `MAX_LOGGED_REJECTIONS` in an interval, the others are counted.

        Args:
            key: Key of the item, or empty if it has none.
            reason: Why it cannot be used.
            source: Where it came from.
            revision: Its revision.
            version: Version of the configuration that stays in force.
        """
        if self._reasons.get(key) == reason:
            return
        self._reasons[key] = reason
        if len(self._reasons) > MAX_REJECTIONS:
            del self._reasons[next(iter(self._reasons))]
        if not self._may_log():
            self._unlogged_count += 1
            return
        self._emit(
            PublicationRejected(
                revision=revision,
                kept_version=version,
                reason=reason,
                source=source,
                unlogged_count=self._unlogged_count,
            )
        )
        self._unlogged_count = 0

    def _may_log(self) -> bool:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._interval_begin_ms >= LOG_INTERVAL_MS:
            self._interval_begin_ms = now_ms
            self._logged_count = 0
        self._logged_count += 1
        return self._logged_count <= MAX_LOGGED_REJECTIONS
