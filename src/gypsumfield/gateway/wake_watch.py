"""Notices that this host has stood still, so that what waited for it is old."""

import gevent

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S

TICK_MS = 100.0
# A busy host is late by some tens of milliseconds.
MAX_LATENESS_MS = 200.0
# Datagrams that waited are read within this time after the host woke.
DISTRUST_MS = 300.0


class WakeWatch:
    """Tells whether data that arrive now can have waited in this host's buffers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ticked_ms = clock.monotonic_ms()
        self._distrusted_until_ms = self._ticked_ms
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to watch for pauses of this host."""
        self._ticked_ms = self._clock.monotonic_ms()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop to watch for pauses of this host."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def is_awake(self) -> bool:
        """Return whether this host has run for a while without a pause."""
        now_ms = self._clock.monotonic_ms()
        is_late = now_ms - self._ticked_ms > TICK_MS + MAX_LATENESS_MS
        return not is_late and now_ms >= self._distrusted_until_ms

    def tick(self) -> None:
        """Record that this host runs."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._ticked_ms > TICK_MS + MAX_LATENESS_MS:
            self._distrusted_until_ms = now_ms + DISTRUST_MS
        self._ticked_ms = now_ms

    def _run(self) -> None:
        while True:
            gevent.sleep(TICK_MS / MS_PER_S)
            self.tick()
