"""Runs the spread of published values over the control loop of one host."""

from collections.abc import Callable
from random import Random

import gevent

from gypsumfield import events
from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.configuration_events import configuration_events
from gypsumfield.control_loop import ControlLoop
from gypsumfield.decisions.member_store import MemberStore
from gypsumfield.decisions.membership import SpreadPosition
from gypsumfield.decisions.spread import Applied
from gypsumfield.decisions.spread import DEFAULT_SPREAD_TIMES
from gypsumfield.decisions.spread import Spread
from gypsumfield.decisions.spread import SpreadTimes
from gypsumfield.exceptions import PlatformError
from gypsumfield.interfaces import EmitEvent
from gypsumfield.membership_service import MembershipService
from gypsumfield.messages import ControlMessage
from gypsumfield.messages import SpreadChannel
from gypsumfield.messages import ValuesDelta
from gypsumfield.messages import ValuesRequest
from gypsumfield.platform_api import MemberList

FetchValues = Callable[[int, float], ConfigurationDelta]
FetchMembers = Callable[[], MemberList]

TICK_INTERVAL_MS = 100.0
IDLE_CHECK_MS = 100.0
FAILURE_PAUSE_MS = 1_000.0
FAILURE_PAUSE_SPREAD_MS = 1_000.0
MEMBER_POLL_INTERVAL_MS = 1_000.0
PEER_ANSWER_TIMEOUT_MS = 1_000.0
PEERS_ASKED_AT_START = 3


class ValuesSpread:
    """One channel of values on one host.

    Attributes:
        spread: The decisions.
        platform_call_count: Calls to the platform so far.
        is_ready: Whether the host has asked its peers and holds values.
    """

    def __init__(
        self,
        spread: Spread,
        fetch: FetchValues,
        control_loop: ControlLoop,
        members: MembershipService,
        clock: Clock,
        emit: EmitEvent,
        random: Random | None = None,
    ) -> None:
        """Register with the control loop; `start` begins to ask the platform.

        Args:
            spread: Decisions, with the store they fill.
            fetch: Asks the platform for the changes after a revision, waiting
                up to a number of milliseconds; raises `PlatformError`.
            control_loop: Carries the messages.
            members: Tells the hosts of the zone and carries positions.
            clock: Time.
            emit: Takes events.
            random: Spreads the questions to a failing platform.
        """
        self.spread = spread
        self.platform_call_count = 0
        self.has_queried_peers = False
        self._fetch = fetch
        self._loop = control_loop
        self._members = members
        self._clock = clock
        self._emit = emit
        self._random = random or Random(spread.host_id)
        self._is_reachable = True
        self._greenlets: list[gevent.Greenlet] = []
        control_loop.register(ValuesDelta, self._take_delta)
        control_loop.register(ValuesRequest, self._answer_request)
        control_loop.add_tick(TICK_INTERVAL_MS, self._tick)
        members.on_position(self._take_position)
        members.add_position_source(self._add_position)

    @property
    def is_ready(self) -> bool:
        """Whether the host has asked its peers and holds values."""
        return self.has_queried_peers and self.spread.store.revision > 0

    def platform_age_ms(self) -> float | None:
        """Return the age of the platform's latest answer to any host, if known.

        Beyond a few seconds, this host is cut off from the platform and from
        every peer that reaches it.
        """
        return self.spread.platform_age_ms(self._clock.monotonic_ms())

    def start(self) -> None:
        """Begin to ask peers and the platform."""
        self._greenlets = [
            gevent.spawn(self._ask_peers_first),
            gevent.spawn(self._watch),
        ]

    def stop(self) -> None:
        """Stop asking."""
        gevent.killall(self._greenlets)

    def on_applied(self, applied: Applied) -> None:
        """Do what follows from changes that came into force; for subclasses."""

    def _hosts(self) -> frozenset[str]:
        membership = self._members.membership
        return membership.live_hosts(membership.availability_zone)

    def _ask_peers_first(self) -> None:
        deadline_ms = self._clock.monotonic_ms() + PEER_ANSWER_TIMEOUT_MS
        while not self._peers() and self._clock.monotonic_ms() < deadline_ms:
            gevent.sleep(IDLE_CHECK_MS / MS_PER_S)
        peers = sorted(self._peers())
        asked = self._random.sample(peers, min(len(peers), PEERS_ASKED_AT_START))
        gevent.joinall([gevent.spawn(self._ask_peer, peer) for peer in asked])
        self.has_queried_peers = True

    def _peers(self) -> frozenset[str]:
        membership = self._members.membership
        return membership.live_hosts() - {membership.host_id}

    def _ask_peer(self, host_id: str) -> None:
        request = self.spread.request_missing()
        answer = self._loop.request(
            host_id, request, ValuesDelta, PEER_ANSWER_TIMEOUT_MS
        )
        answer.map(lambda delta: self._take_delta(host_id, delta))

    def _watch(self) -> None:
        while True:
            plan = self.spread.next_fetch(self._hosts(), self._clock.monotonic_ms())
            if plan is None:
                gevent.sleep(IDLE_CHECK_MS / MS_PER_S)
                continue
            self.platform_call_count += 1
            try:
                answer = self._fetch(plan.after_revision, plan.wait_ms)
            except PlatformError as error:
                self._note_failure(error)
                continue
            if answer.revision < plan.after_revision:
                reason = (
                    f"platform answers revision {answer.revision}, "
                    f"{plan.after_revision} is known"
                )
                self._note_failure(PlatformError(reason))
                continue
            self._is_reachable = True
            self._members.record_platform_contact()
            self._finish(
                self.spread.receive_platform_answer(
                    plan.after_revision,
                    answer,
                    self._hosts(),
                    self._clock.monotonic_ms(),
                )
            )

    def _note_failure(self, error: PlatformError) -> None:
        if self._is_reachable:
            self._emit(events.PlatformUnreachable(reason=str(error)))
        self._is_reachable = False
        self.spread.discard_staging()
        pause_ms = FAILURE_PAUSE_MS + self._random.uniform(0, FAILURE_PAUSE_SPREAD_MS)
        gevent.sleep(pause_ms / MS_PER_S)

    def _finish(self, applied: Applied) -> None:
        if applied.delta is not None:
            self.on_applied(applied)
        for host_id, message in applied.outgoing:
            self._loop.send(host_id, message)

    def _take_delta(self, sender: str, message: ValuesDelta) -> None:
        if message.channel != self.spread.channel:
            return
        now_ms = self._clock.monotonic_ms()
        self._finish(self.spread.receive_delta(sender, message, self._hosts(), now_ms))

    def _answer_request(
        self, _sender: str, request: ValuesRequest
    ) -> ControlMessage | None:
        if request.channel != self.spread.channel:
            return None
        return self.spread.answer_request(request)

    def _tick(self, now_ms: float) -> None:
        for host_id, message in self.spread.tick(now_ms):
            self._loop.send(host_id, message)

    def _take_position(self, sender: str, position: SpreadPosition) -> None:
        is_configuration = self.spread.channel == "configuration"
        revision = position.configuration_revision
        if not is_configuration:
            revision = position.members_version
        self.spread.receive_position(
            sender, revision, position.platform_age_ms, self._clock.monotonic_ms()
        )

    def _add_position(self, position: SpreadPosition) -> SpreadPosition:
        revision = self.spread.store.revision
        if self.spread.channel == "members":
            return position._replace(members_version=revision)
        age_ms = self.platform_age_ms()
        return position._replace(
            configuration_revision=revision,
            platform_age_ms=-1 if age_ms is None else int(age_ms),
        )


class ConfigurationSpread(ValuesSpread):
    """Spread of the published configuration."""

    def __init__(
        self,
        store: ConfigurationStore,
        fetch: FetchValues,
        control_loop: ControlLoop,
        members: MembershipService,
        clock: Clock,
        emit: EmitEvent,
        times: SpreadTimes = DEFAULT_SPREAD_TIMES,
        random: Random | None = None,
    ) -> None:
        """Fill ``store`` from the platform and the peers."""
        self._store = store
        self._before = store.current
        spread = _spread(members, "configuration", store, times)
        super().__init__(spread, fetch, control_loop, members, clock, emit, random)

    def on_applied(self, applied: Applied) -> None:
        """Log the revision and what was refused."""
        before, self._before = self._before, self._store.current
        if applied.delta is None:
            return
        for event in configuration_events(
            self._store, before, applied.delta, applied.source
        ):
            self._emit(event)


class MemberListSpread(ValuesSpread):
    """Spread of the platform's member list."""

    def __init__(
        self,
        fetch_members: FetchMembers,
        control_loop: ControlLoop,
        members: MembershipService,
        clock: Clock,
        emit: EmitEvent,
        times: SpreadTimes = DEFAULT_SPREAD_TIMES,
        random: Random | None = None,
    ) -> None:
        """Give the membership each list that the platform or a peer brings."""
        self._member_store = MemberStore()
        self._fetch_members = fetch_members
        spread = _spread(members, "members", self._member_store, times)
        super().__init__(
            spread, self._fetch_delta, control_loop, members, clock, emit, random
        )

    def on_applied(self, applied: Applied) -> None:
        """Merge the list into the membership."""
        self._members.merge_platform_list(self._member_store.members())

    def _fetch_delta(self, after_revision: int, wait_ms: float) -> ConfigurationDelta:
        if wait_ms > 0.0:
            gevent.sleep(MEMBER_POLL_INTERVAL_MS / MS_PER_S)
        listed = self._fetch_members()
        if listed.version <= after_revision:
            return ConfigurationDelta(listed.version, {})
        return self._member_store.delta_to(listed)


def _spread(
    members: MembershipService,
    channel: SpreadChannel,
    store: ConfigurationStore | MemberStore,
    times: SpreadTimes,
) -> Spread:
    membership = members.membership
    return Spread(
        membership.host_id,
        membership.availability_zone,
        channel,
        store,
        times,
        is_answer_complete=channel == "members",
    )
