"""Greenlets that follow the platform's published values and member list."""

import random
from collections.abc import Callable

import gevent

from gypsumfield.clock import Clock
from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.events import ConfigurationInForce
from gypsumfield.events import ConfigurationRejected
from gypsumfield.events import Event
from gypsumfield.events import PlatformUnreachable
from gypsumfield.events import ZoneBack
from gypsumfield.events import ZoneOut
from gypsumfield.exceptions import PlatformError
from gypsumfield.platform_api import MemberList
from gypsumfield.ports import EmitEvent

LONG_POLL_MS = 10_000.0
MEMBER_POLL_INTERVAL_MS = 500.0
FAILURE_PAUSE_MS = 250.0
FAILURE_PAUSE_SPREAD_MS = 250.0

FetchValues = Callable[[int, float], ConfigurationDelta]
FetchMembers = Callable[[], MemberList]


class PlatformWatch:
    """Follows the platform; a failing platform is logged once and asked again.

    Attributes:
        confirmed_ms: Monotonic time at which the platform last answered.
        member_version: Version of the latest member list.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        fetch_values: FetchValues,
        fetch_members: FetchMembers,
        on_members: Callable[[MemberList], None],
        clock: Clock,
        emit: EmitEvent,
        rng: random.Random,
    ) -> None:
        self.confirmed_ms = clock.monotonic_ms()
        self.member_version = 0
        self._store = store
        self._fetch_values = fetch_values
        self._fetch_members = fetch_members
        self._on_members = on_members
        self._clock = clock
        self._emit = emit
        self._rng = rng
        self._is_reachable = True
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Begin to follow values and members."""
        self._greenlets = [
            gevent.spawn(self._repeat, self._follow_values, 0.0),
            gevent.spawn(self._repeat, self._follow_members, MEMBER_POLL_INTERVAL_MS),
        ]

    def stop(self) -> None:
        """Stop following."""
        gevent.killall(self._greenlets)

    def _repeat(self, follow: Callable[[], None], interval_ms: float) -> None:
        while True:
            try:
                follow()
                self._note_reachable()
            except PlatformError as error:
                self._note_unreachable(error)
                spread_ms = self._rng.uniform(0, FAILURE_PAUSE_SPREAD_MS)
                self._clock.sleep_ms(FAILURE_PAUSE_MS + spread_ms)
                continue
            self._clock.sleep_ms(interval_ms)

    def _follow_values(self) -> None:
        after_revision = self._store.revision
        wait_ms = LONG_POLL_MS if after_revision else 0.0
        delta = self._fetch_values(after_revision, wait_ms)
        before = self._store.current
        if not self._store.apply(after_revision, delta):
            if delta.revision < after_revision:
                raise PlatformError(
                    f"platform answers revision {delta.revision}, "
                    f"{after_revision} is in force"
                )
            return
        for event in configuration_events(self._store, before, delta, "platform"):
            self._emit(event)

    def _follow_members(self) -> None:
        members = self._fetch_members()
        if members.version < self.member_version:
            raise PlatformError(
                f"platform answers member list {members.version}, "
                f"{self.member_version} is known"
            )
        self.member_version = members.version
        self._on_members(members)

    def _note_reachable(self) -> None:
        self.confirmed_ms = self._clock.monotonic_ms()
        self._is_reachable = True

    def _note_unreachable(self, error: PlatformError) -> None:
        if self._is_reachable:
            self._emit(PlatformUnreachable(reason=str(error)))
        self._is_reachable = False


def configuration_events(
    store: ConfigurationStore, before: object, delta: ConfigurationDelta, source: str
) -> list[Event]:
    """Return what is to be logged of an applied delta.

    Args:
        store: Store that the delta was applied to.
        before: The store's view before.
        delta: The changes.
        source: ``platform``, or the host id of the peer they came from.
    """
    events: list[Event] = [
        ConfigurationInForce(
            revision=delta.revision, source=source, changed_count=len(delta.values)
        )
    ]
    events += [
        ConfigurationRejected(key=key, reason=reason)
        for key, reason in store.current.rejected.items()
        if key in delta.values
    ]
    zones_before = getattr(before, "zones", {})
    for name, zone in store.current.zones.items():
        known = zones_before.get(name)
        if known is not None and known.status != zone.status:
            kind = ZoneOut if zone.status == "out" else ZoneBack
            events.append(kind(availability_zone=name))
    return events
