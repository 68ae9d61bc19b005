"""Clocks of a process, with all times in milliseconds."""

import time
from collections.abc import Callable
from typing import NamedTuple

MS_PER_S = 1000.0


class Clock(NamedTuple):
    """Time functions of one process.

    Attributes:
        monotonic_ms: Returns the milliseconds on a clock that never goes back and
            that includes the time for which the machine was suspended. Leases and
            timeouts use it.
        wall_ms: Returns the milliseconds since the Unix epoch. Only logs use it.
        sleep_ms: Suspends the calling greenlet for a number of milliseconds.
    """

    monotonic_ms: Callable[[], float]
    wall_ms: Callable[[], float]
    sleep_ms: Callable[[float], None]


def system_clock() -> Clock:
    """Return the clock of the operating system.

    Its sleep suspends only the calling greenlet, not the process.
    """
    # Imported here, because the modules in `decisions` import this module and must
    # not load gevent.
    from gevent import sleep

    return Clock(
        monotonic_ms=lambda: time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S,
        wall_ms=lambda: time.time() * MS_PER_S,
        sleep_ms=lambda duration_ms: sleep(duration_ms / MS_PER_S),
    )


class ManualClock:
    """Clock that only `advance` moves, for tests and simulated time."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self.now_ms = start_ms

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward by ``duration_ms``."""
        self.now_ms += duration_ms

    def as_clock(self) -> Clock:
        """Return a `Clock` that reads this clock and whose sleeps advance it."""
        return Clock(
            monotonic_ms=lambda: self.now_ms,
            wall_ms=lambda: self.now_ms,
            sleep_ms=self.advance,
        )
