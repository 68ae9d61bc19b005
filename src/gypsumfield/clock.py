"""Clock type with every time in milliseconds."""

import time
from collections.abc import Callable
from typing import NamedTuple

MS_PER_S = 1000.0


class Clock(NamedTuple):
    """Sources of time for one process.

    Attributes:
        monotonic_ms: Milliseconds on a clock that never goes back and that
            counts the time for which the machine was suspended. Leases and
            timeouts are judged on it.
        wall_ms: Milliseconds since the Unix epoch, for logs only.
        sleep_ms: Suspends the calling greenlet for a number of milliseconds.
    """

    monotonic_ms: Callable[[], float]
    wall_ms: Callable[[], float]
    sleep_ms: Callable[[float], None]


def system_clock() -> Clock:
    """Return the clock of the operating system.

    A sleep suspends one greenlet and not the process.
    """
    # The pure decisions import this module and must not load gevent with it.
    from gevent import sleep

    return Clock(
        monotonic_ms=lambda: time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S,
        wall_ms=lambda: time.time() * MS_PER_S,
        sleep_ms=lambda duration_ms: sleep(duration_ms / MS_PER_S),
    )


class ManualClock:
    """Clock that moves only when it is told to, for tests and virtual time."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self.now_ms = start_ms

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward by ``duration_ms``."""
        self.now_ms += duration_ms

    def as_clock(self) -> Clock:
        """Return this clock as a `Clock` whose sleeps advance it."""
        return Clock(
            monotonic_ms=lambda: self.now_ms,
            wall_ms=lambda: self.now_ms,
            sleep_ms=self.advance,
        )
