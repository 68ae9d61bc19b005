"""Recent host counts, for bounds that hold over all hosts together."""

from gypsumfield.clock import Clock

# Hosts that sent a message within this time may still be alive behind a partition.
HOST_RETENTION_MS = 60_000.0


class RecentMaximum:
    """Largest number that was recorded within the retention time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._value = 0
        self._recorded_ms = 0.0

    def record(self, value: int) -> None:
        """Record a number; it replaces one that is smaller or has expired."""
        now_ms = self._clock.monotonic_ms()
        if value >= self._value or now_ms - self._recorded_ms > HOST_RETENTION_MS:
            self._value = value
            self._recorded_ms = now_ms

    @property
    def value(self) -> int:
        """The largest recorded number, or 0 when it has expired or there is none."""
        is_recent = self._clock.monotonic_ms() - self._recorded_ms <= HOST_RETENTION_MS
        return self._value if is_recent else 0
