"""Keeps the catalogue up to date with the store of published items."""

import math
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
from gypsumfield.gateway.events import StoreReached
from gypsumfield.gateway.published_items import era_of
from gypsumfield.gateway.published_items import StoreItem
from gypsumfield.gateway.published_items import WatchedChanges
from gypsumfield.interfaces import EmitEvent
from gypsumfield.loops import run_forever

# A watch whose answer is lost returns nothing further. With the time-out of the call,
# it must end before a change can be overdue: 3 s after the store is sound again, and
# the 2 s in which configurations come into force.
WATCH_WAIT_MS = 3_000
MIN_RETRY_PAUSE_MS = 50.0
MAX_RETRY_PAUSE_MS = 500.0
# Several servers that leave together do so within some tens of ms; after a change
# the next watch waits for the others, so that one call returns them all.
CHANGE_BATCH_MS = 60.0
# Servers write their registration every 1.2 s, and it expires after three intervals
# without a write: none expires because of a shorter outage.
MIN_EXPIRY_OUTAGE_MS = 2_000.0
# How soon a host notices that it has to watch the store.
ROLE_CHECK_MS = 100.0
# Hosts that watch a restored store list it anew, spread over this time.
RELISTING_SPREAD_MS = 150.0


class ItemSource(Protocol):
    """The part of the store's client that the follower uses.

    Attributes:
        era: Era of the store that the last answer named, or 0.
    """

    era: int

    def list_items(self, prefix: str) -> tuple[list[StoreItem], int]:
        """Return all items below a prefix, and the revision to watch from."""

    def watch(self, prefix: str, after_revision: int, wait_ms: int) -> WatchedChanges:
        """Return changes below a prefix."""


class FollowerDependencies(NamedTuple):
    """Dependencies of `StoreFollower`.

    Attributes:
        source: Client of the store.
        catalogue: Receives the items and their changes.
        should_watch: Whether this host watches the store itself, not via its peers.
        can_list: Whether a host without a view may list the store now.
        clock: Monotonic clock, also used to sleep.
        rng: Draws the pauses between retries.
        emit: Writes an event to the log.
    """

    source: ItemSource
    catalogue: Catalogue
    should_watch: Callable[[], bool]
    can_list: Callable[[], bool]
    clock: Clock
    rng: random.Random
    emit: EmitEvent


class StoreFollower:
    """Lists the store once, then watches it; lists again when the history is gone.

    Attributes:
        is_store_reachable: Whether the store answered the last call.
    """

    def __init__(self, prefix: str, deps: FollowerDependencies) -> None:
        self.is_store_reachable = False
        self._prefix = prefix
        self._deps = deps
        self._is_listed = False
        self._is_history_gone = False
        self._gone_revision = 0
        self._unreachable_since_ms: float | None = deps.clock.monotonic_ms()
        self._has_answered = False
        # Earliest time at which an outage may have begun; None without a failed call.
        self._failing_since_ms: float | None = None
        self._retry_pause_ms = MIN_RETRY_PAUSE_MS
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start following the store in the background."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop following; a running call is cancelled."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def restart_watch(self) -> None:
        """Cancel a watch that seems to hang and start a new one."""
        self.stop()
        self.start()

    def _run(self) -> None:
        deps = self._deps
        run_forever("store follower", self._run_round, deps.clock, deps.emit)

    def _run_round(self) -> None:
        if self._deps.catalogue.publication is not None and not self._is_listed:
            # A peer's view is as complete as a listing of its revision.
            is_restored_view = era_of(self._deps.catalogue.revision) > era_of(
                self._gone_revision
            )
            self._is_listed = not self._is_history_gone or is_restored_view
        is_call_allowed = (
            self._deps.should_watch if self._is_listed else self._deps.can_list
        )
        if not is_call_allowed():
            self._deps.clock.sleep_ms(ROLE_CHECK_MS)
            return
        call_started_ms = self._deps.clock.monotonic_ms()
        try:
            self._list_or_watch()
        except HistoryGoneError:
            self._is_listed = False
            self._is_history_gone = True
            self._gone_revision = self._deps.catalogue.revision
            self._deps.clock.sleep_ms(self._deps.rng.uniform(0.0, RELISTING_SPREAD_MS))
        except PlatformError as error:
            self._record_unreachable(str(error), call_started_ms)
            pause_ms = self._retry_pause_ms * self._deps.rng.uniform(0.5, 1.0)
            self._retry_pause_ms = min(MAX_RETRY_PAUSE_MS, self._retry_pause_ms * 2.0)
            self._deps.clock.sleep_ms(pause_ms)

    def _list_or_watch(self) -> None:
        deps = self._deps
        if not self._is_listed:
            items, revision = deps.source.list_items(self._prefix)
            self._record_reachable(revision)
            deps.catalogue.replace(items, revision, "store listing")
            self._is_listed = True
            self._is_history_gone = False
        else:
            # After an outage the first watch is short, so that the end of the
            # outage is noticed before the first change.
            wait_ms = WATCH_WAIT_MS if self.is_store_reachable else 1
            # Peers may have sent later changes than the last watch.
            after = deps.catalogue.revision
            items, revision, event_count = deps.source.watch(
                self._prefix, after, wait_ms
            )
            self._record_reachable(revision)
            deps.catalogue.apply(items, revision, "store watch", is_fresh=True)
            if event_count:
                deps.clock.sleep_ms(CHANGE_BATCH_MS)

    def _record_reachable(self, revision: int) -> None:
        self._retry_pause_ms = MIN_RETRY_PAUSE_MS
        if self.is_store_reachable:
            return
        self.is_store_reachable = self._has_answered = True
        if self._is_listed and self._may_registrations_have_expired():
            self._deps.catalogue.record_outage_end()
        self._failing_since_ms = None
        unreachable_since_ms = (
            self._unreachable_since_ms or self._deps.clock.monotonic_ms()
        )
        outage_ms = self._deps.clock.monotonic_ms() - unreachable_since_ms
        era = self._deps.source.era
        self._deps.emit(StoreReached(outage_ms=outage_ms, revision=revision, era=era))

    def _may_registrations_have_expired(self) -> bool:
        """Return whether the store was out of reach for long enough."""
        if self._failing_since_ms is None:
            return False
        failing_ms = self._deps.clock.monotonic_ms() - self._failing_since_ms
        return failing_ms >= MIN_EXPIRY_OUTAGE_MS

    def _earliest_outage_ms(self, call_started_ms: float) -> float:
        """Return when the outage that a failed call shows may have begun."""
        if not self._has_answered:
            # The host may have started in the middle of it.
            return -math.inf
        now_ms = self._deps.clock.monotonic_ms()
        # A silent store shows only at the end of the wait; a call that breaks earlier
        # had a connection until then.
        is_silent = now_ms - call_started_ms >= WATCH_WAIT_MS
        return call_started_ms if is_silent else now_ms

    def _record_unreachable(self, reason: str, call_started_ms: float) -> None:
        if self._failing_since_ms is None:
            self._failing_since_ms = self._earliest_outage_ms(call_started_ms)
        if self.is_store_reachable or self._unreachable_since_ms is None:
            self._unreachable_since_ms = self._deps.clock.monotonic_ms()
            self._deps.emit(PlatformUnreachable(reason=reason))
        self.is_store_reachable = False
