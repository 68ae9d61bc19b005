"""Keeps the catalogue in step with the published store."""

import random
from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

import gevent

from gypsumfield.clock import Clock
from gypsumfield.events import PlatformUnreachable
from gypsumfield.exceptions import HistoryGoneError
from gypsumfield.exceptions import PlatformError
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.catalogue import StoreItem
from gypsumfield.gateway.events import StoreReached
from gypsumfield.ports import EmitEvent

# A waiting watch counts as one call; this is the store's customary longest wait.
WATCH_WAIT_MS = 10_000
FIRST_PAUSE_MS = 50.0
LONGEST_PAUSE_MS = 500.0
# Several servers that leave together do so within some tens of ms; after a change
# the next watch waits for the others, so that one call brings them all.
SETTLE_MS = 60.0
# How soon a host takes the watch over.
ROLE_CHECK_MS = 100.0


class ItemSource(Protocol):
    """What is asked of the store's client."""

    def list_items(self, prefix: str) -> tuple[list[StoreItem], int]:
        """Return all items and the revision to watch from."""

    def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> tuple[list[StoreItem], int]:
        """Return changes and the revision to go on from."""


class FollowerPorts(NamedTuple):
    """What the follower uses.

    Attributes:
        source: Client of the store.
        catalogue: Where changes go.
        must_watch: Whether this host watches itself, or hears from its peers.
        may_list: Whether a host without a view reads it from the store now.
        clock: Time.
        rng: Draws the pauses between tries.
        emit: Log.
    """

    source: ItemSource
    catalogue: Catalogue
    must_watch: Callable[[], bool]
    may_list: Callable[[], bool]
    clock: Clock
    rng: random.Random
    emit: EmitEvent


class StoreFollower:
    """Lists once, then watches; lists again only when history is gone.

    Attributes:
        is_reaching: Whether the last call was answered.
    """

    def __init__(self, prefix: str, ports: FollowerPorts) -> None:
        self.is_reaching = False
        self._prefix = prefix
        self._ports = ports
        self._is_listed = False
        self._is_history_gone = False
        self._lost_ms: float | None = ports.clock.monotonic_ms()
        self._pause_ms = FIRST_PAUSE_MS
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to follow."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the watch."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def restart_watch(self) -> None:
        """Drop a watch that seems to hang and begin a new one."""
        self.stop()
        self.start()

    def _run(self) -> None:
        while True:
            if self._ports.catalogue.publication is not None and not self._is_listed:
                # A peer's view is as complete as a listing of its revision.
                self._is_listed = not self._is_history_gone
            may_call = (
                self._ports.must_watch if self._is_listed else self._ports.may_list
            )
            if not may_call():
                self._ports.clock.sleep_ms(ROLE_CHECK_MS)
                continue
            try:
                self._step()
            except HistoryGoneError:
                self._is_listed = False
                self._is_history_gone = True
            except PlatformError as error:
                self._note_lost(str(error))
                pause_ms = self._pause_ms * self._ports.rng.uniform(0.5, 1.0)
                self._pause_ms = min(LONGEST_PAUSE_MS, self._pause_ms * 2.0)
                self._ports.clock.sleep_ms(pause_ms)

    def _step(self) -> None:
        ports = self._ports
        if not self._is_listed:
            items, revision = ports.source.list_items(self._prefix)
            self._note_reached(revision)
            ports.catalogue.replace(items, revision, "store listing")
            self._is_listed = True
            self._is_history_gone = False
        else:
            # After an outage the first watch is short, so that the end of the
            # outage is noticed before the first change.
            wait_ms = WATCH_WAIT_MS if self.is_reaching else 1
            # Peers may have told of later changes than the last watch.
            after = ports.catalogue.revision
            items, revision = ports.source.watch(self._prefix, after, wait_ms)
            self._note_reached(revision)
            ports.catalogue.apply(items, revision, "store watch")
            if items:
                ports.clock.sleep_ms(SETTLE_MS)

    def _note_reached(self, revision: int) -> None:
        self._pause_ms = FIRST_PAUSE_MS
        if self.is_reaching:
            return
        self.is_reaching = True
        if self._is_listed:
            self._ports.catalogue.record_outage_end()
        lost_ms = self._lost_ms or self._ports.clock.monotonic_ms()
        outage_ms = self._ports.clock.monotonic_ms() - lost_ms
        self._ports.emit(StoreReached(outage_ms=outage_ms, revision=revision))

    def _note_lost(self, reason: str) -> None:
        if self.is_reaching or self._lost_ms is None:
            self._lost_ms = self._ports.clock.monotonic_ms()
            self._ports.emit(PlatformUnreachable(reason=reason))
        self.is_reaching = False
