"""Disseminates published values between hosts and queries the platform for them."""

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
from gypsumfield.decisions.spread import AppliedChanges
from gypsumfield.decisions.spread import DEFAULT_SPREAD_TIMES
from gypsumfield.decisions.spread import Spread
from gypsumfield.decisions.spread import SpreadTimes
from gypsumfield.exceptions import PlatformError
from gypsumfield.interfaces import EmitEvent
from gypsumfield.loops import run_forever
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
FAILURE_PAUSE_JITTER_MS = 1_000.0
MEMBER_POLL_INTERVAL_MS = 1_000.0
PEER_ANSWER_TIMEOUT_MS = 1_000.0
STARTUP_QUERY_COUNT = 3


class ValuesSpread:
    """Dissemination of one channel of values on one host.

    Attributes:
        spread: Decides what to query and to which hosts to forward changes.
        platform_call_count: Number of queries to the platform so far.
        has_queried_peers: Whether the queries to peers at the start have ended.
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
        """Register with the control loop; `start` begins to query the platform.

        Args:
            spread: Decisions of this channel, with the store that they fill.
            fetch: Queries the platform for the changes after a revision, waiting
                up to a number of milliseconds; raises `PlatformError`.
            control_loop: Sends and receives the messages.
            members: Provides the live hosts, and positions in heartbeats.
            clock: Monotonic clock.
            emit: Writes an event to the log.
            random: Random source that selects peers and adds jitter to the
                retries at an unreachable platform; by default seeded with the
                host id.
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
        control_loop.register(ValuesDelta, self._receive_delta)
        control_loop.register(ValuesRequest, self._answer_request)
        control_loop.add_tick(TICK_INTERVAL_MS, self._tick)
        members.on_position(self._receive_position)
        members.add_position_source(self._with_own_position)

    @property
    def is_ready(self) -> bool:
        """Whether the queries to peers at the start have ended and values are held."""
        return self.has_queried_peers and self.spread.store.revision > 0

    def platform_age_ms(self) -> float | None:
        """Return the age in ms of the platform's latest known answer to any host.

        None if this host knows of no answer. An age of more than a few seconds
        means that this host is partitioned from the platform and from every peer
        that can reach the platform.
        """
        return self.spread.platform_age_ms(self._clock.monotonic_ms())

    def start(self) -> None:
        """Start to query peers and the platform."""
        self._greenlets = [
            gevent.spawn(self._query_peers_at_start),
            gevent.spawn(self._watch_platform),
        ]

    def stop(self) -> None:
        """Stop the queries to peers and the platform."""
        gevent.killall(self._greenlets)

    def on_applied(self, applied: AppliedChanges) -> None:
        """React to changes that have come into force; subclasses override this."""

    def _zone_hosts(self) -> frozenset[str]:
        membership = self._members.membership
        return membership.live_hosts(membership.availability_zone)

    def _query_peers_at_start(self) -> None:
        deadline_ms = self._clock.monotonic_ms() + PEER_ANSWER_TIMEOUT_MS
        while not self._peers() and self._clock.monotonic_ms() < deadline_ms:
            gevent.sleep(IDLE_CHECK_MS / MS_PER_S)
        peers = sorted(self._peers())
        queried = self._random.sample(peers, min(len(peers), STARTUP_QUERY_COUNT))
        gevent.joinall([gevent.spawn(self._query_peer, peer) for peer in queried])
        self.has_queried_peers = True

    def _peers(self) -> frozenset[str]:
        membership = self._members.membership
        return membership.live_hosts() - {membership.host_id}

    def _query_peer(self, host_id: str) -> None:
        request = self.spread.request_missing()
        answer = self._loop.request(
            host_id, request, ValuesDelta, PEER_ANSWER_TIMEOUT_MS
        )
        answer.map(lambda delta: self._receive_delta(host_id, delta))

    def _watch_platform(self) -> None:
        run_forever("platform watch", self._watch_once, self._clock, self._emit)

    def _watch_once(self) -> None:
        plan = self.spread.next_fetch(self._zone_hosts(), self._clock.monotonic_ms())
        if plan is None:
            gevent.sleep(IDLE_CHECK_MS / MS_PER_S)
            return
        self.platform_call_count += 1
        try:
            answer = self._fetch(plan.after_revision, plan.wait_ms)
        except PlatformError as error:
            self._record_failure(error)
            return
        if answer.revision < plan.after_revision:
            reason = (
                f"platform answered with revision {answer.revision}, which is "
                f"older than the recorded revision {plan.after_revision}"
            )
            self._record_failure(PlatformError(reason))
            return
        self._is_reachable = True
        self._members.record_platform_contact()
        self._handle_applied(
            self.spread.receive_platform_answer(
                plan.after_revision,
                answer,
                self._zone_hosts(),
                self._clock.monotonic_ms(),
            )
        )

    def _record_failure(self, error: PlatformError) -> None:
        if self._is_reachable:
            self._emit(events.PlatformUnreachable(reason=str(error)))
        self._is_reachable = False
        self.spread.discard_staging()
        pause_ms = FAILURE_PAUSE_MS + self._random.uniform(0, FAILURE_PAUSE_JITTER_MS)
        gevent.sleep(pause_ms / MS_PER_S)

    def _handle_applied(self, applied: AppliedChanges) -> None:
        if applied.delta is not None:
            self.on_applied(applied)
        for host_id, message in applied.outgoing:
            self._loop.send(host_id, message)

    def _receive_delta(self, sender: str, message: ValuesDelta) -> None:
        if message.channel != self.spread.channel:
            return
        now_ms = self._clock.monotonic_ms()
        self._handle_applied(
            self.spread.receive_delta(sender, message, self._zone_hosts(), now_ms)
        )

    def _answer_request(
        self, _sender: str, request: ValuesRequest
    ) -> ControlMessage | None:
        if request.channel != self.spread.channel:
            return None
        return self.spread.answer_request(request)

    def _tick(self, now_ms: float) -> None:
        for host_id, message in self.spread.tick(now_ms):
            self._loop.send(host_id, message)

    def _receive_position(self, sender: str, position: SpreadPosition) -> None:
        is_configuration = self.spread.channel == "configuration"
        revision = position.configuration_revision
        if not is_configuration:
            revision = position.members_version
        self.spread.receive_position(
            sender, revision, position.platform_age_ms, self._clock.monotonic_ms()
        )

    def _with_own_position(self, position: SpreadPosition) -> SpreadPosition:
        revision = self.spread.store.revision
        if self.spread.channel == "members":
            return position._replace(members_version=revision)
        age_ms = self.platform_age_ms()
        return position._replace(
            configuration_revision=revision,
            platform_age_ms=-1 if age_ms is None else int(age_ms),
        )


class ConfigurationSpread(ValuesSpread):
    """Dissemination of the published configuration."""

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
        """Create the channel that fills ``store`` from the platform and the peers."""
        self._store = store
        self._previous = store.current
        spread = _build_spread(members, "configuration", store, times)
        super().__init__(spread, fetch, control_loop, members, clock, emit, random)

    def on_applied(self, applied: AppliedChanges) -> None:
        """Log the new revision and the rejected values."""
        previous, self._previous = self._previous, self._store.current
        if applied.delta is None:
            return
        for event in configuration_events(
            self._store, previous, applied.delta, applied.source
        ):
            self._emit(event)


class MemberListSpread(ValuesSpread):
    """Dissemination of the platform's member list."""

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
        """Create the channel that passes each member list on to the membership."""
        self._member_store = MemberStore()
        self._fetch_members = fetch_members
        spread = _build_spread(members, "members", self._member_store, times)
        super().__init__(
            spread, self._fetch_delta, control_loop, members, clock, emit, random
        )

    def on_applied(self, applied: AppliedChanges) -> None:
        """Merge the member list into the membership."""
        self._members.merge_platform_list(self._member_store.members())

    def _fetch_delta(self, after_revision: int, wait_ms: float) -> ConfigurationDelta:
        if wait_ms > 0.0:
            gevent.sleep(MEMBER_POLL_INTERVAL_MS / MS_PER_S)
        member_list = self._fetch_members()
        if member_list.version <= after_revision:
            return ConfigurationDelta(member_list.version, {})
        return self._member_store.delta_to(member_list)


def _build_spread(
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
