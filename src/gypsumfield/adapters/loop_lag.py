"""Measures how long a greenlet runs without giving way, and names the longest one.

While one greenlet runs, no other request is served and no timer fires. The time is
measured at each switch, so that a short hold costs two readings of the clock.
"""

import time
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import gevent
import greenlet

from gypsumfield.clock import MS_PER_S
from gypsumfield.events import LoopHeld
from gypsumfield.interfaces import EmitEvent

REPORT_INTERVAL_MS = 1_000.0
# Status checks and heartbeats are late from about here.
LOGGED_HOLD_MS = 200.0
NS_PER_MS = 1_000_000


class Hold(NamedTuple):
    """How long one greenlet ran without giving way.

    Attributes:
        held_ms: The time.
        holder: Name of the greenlet, from `LOGGED_HOLD_MS` on.
    """

    held_ms: float
    holder: str


def name_greenlet(name: str) -> None:
    """Name the running greenlet in the log if it holds up the others."""
    running = gevent.getcurrent()
    if isinstance(running, gevent.Greenlet):
        running.name = name


class LoopLag:
    """Records the longest hold of each second.

    Args:
        record: Takes the longest hold of an interval, in milliseconds.
        emit: Writes an event to the log.
    """

    def __init__(self, record: Callable[[float], None], emit: EmitEvent) -> None:
        self._record = record
        self._emit = emit
        self._switched_ns = time.monotonic_ns()
        self._longest_ns = 0
        self._holder = ""
        self._hub: Any = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to measure the greenlets of this thread."""
        self._hub = gevent.get_hub()
        self._switched_ns = time.monotonic_ns()
        greenlet.settrace(self._trace)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop measuring; the next host of the process may start to."""
        greenlet.settrace(None)
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def take_longest(self) -> Hold:
        """Return the longest hold since the last call."""
        hold = Hold(self._longest_ns / NS_PER_MS, self._holder)
        self._longest_ns = 0
        self._holder = ""
        return hold

    def _trace(self, _event: str, switch: tuple[Any, Any]) -> None:
        now_ns = time.monotonic_ns()
        held_ns = now_ns - self._switched_ns
        self._switched_ns = now_ns
        # The hub is where the process waits for input.
        if held_ns > self._longest_ns and switch[0] is not self._hub:
            self._longest_ns = held_ns
            if held_ns >= LOGGED_HOLD_MS * NS_PER_MS:
                self._holder = str(getattr(switch[0], "name", "main"))

    def _run(self) -> None:
        while True:
            gevent.sleep(REPORT_INTERVAL_MS / MS_PER_S)
            hold = self.take_longest()
            self._record(hold.held_ms)
            if hold.held_ms >= LOGGED_HOLD_MS:
                self._emit(LoopHeld(held_ms=hold.held_ms, holder=hold.holder))
