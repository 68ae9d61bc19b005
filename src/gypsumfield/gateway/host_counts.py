"""How many hosts there were lately, for bounds that hold over all of them."""

from gypsumfield.clock import Clock

# Hosts heard within this time may still be alive behind a partition.
HOST_MEMORY_MS = 60_000.0


class RecentMost:
    """Largest number noted within the memory."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._value = 0
        self._noted_ms = 0.0

    def note(self, value: int) -> None:
        """Note a number."""
        now_ms = self._clock.monotonic_ms()
        if value >= self._value or now_ms - self._noted_ms > HOST_MEMORY_MS:
            self._value = value
            self._noted_ms = now_ms

    @property
    def value(self) -> int:
        """The largest number, or 0 when none was noted within the memory."""
        is_fresh = self._clock.monotonic_ms() - self._noted_ms <= HOST_MEMORY_MS
        return self._value if is_fresh else 0
