"""Spread of published values from the platform to every entry host.

In each zone a few watchers, selected by rendezvous hashing, query the platform.
They send the changes down a tree of bounded fan-out to the other hosts of the
zone, each watcher to its own subtree. Heartbeats contain the revision of their
sender: a host that is behind requests the missing changes. They also contain the
age of the platform's latest answer. A host for which that age grows too large
queries the platform itself.
"""

from collections.abc import Iterable
from typing import NamedTuple
from typing import Protocol

from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.decisions.membership import Outgoing
from gypsumfield.decisions.ownership import rank_hosts
from gypsumfield.messages import SpreadChannel
from gypsumfield.messages import ValuesDelta
from gypsumfield.messages import ValuesRequest


class SpreadTimes(NamedTuple):
    """Counts, intervals and timeouts of the spread.

    Attributes:
        watcher_count: Number of hosts of a zone that query the platform.
        fan_out: Number of hosts to which one host sends a change.
        watch_wait_ms: How long the platform may hold a watch request open.
        pull_delay_ms: Wait for a change that other hosts have before it is
            requested.
        pull_retry_ms: Time between two requests for missing changes.
        takeover_after_ms: Age of the platform's latest answer at which the
            next host queries it as well.
        takeover_step_ms: Further age for each rank behind the watchers.
        staging_limit_ms: Longest time to collect the parts of an answer when
            older values are in force.
    """

    watcher_count: int = 3
    fan_out: int = 4
    watch_wait_ms: float = 1_000.0
    pull_delay_ms: float = 200.0
    pull_retry_ms: float = 1_000.0
    takeover_after_ms: float = 4_000.0
    takeover_step_ms: float = 100.0
    staging_limit_ms: float = 1_000.0


DEFAULT_SPREAD_TIMES = SpreadTimes()


class ValueStore(Protocol):
    """Values by revision, such as `gypsumfield.configuration.ConfigurationStore`."""

    revision: int

    def apply(self, after_revision: int, delta: ConfigurationDelta) -> bool:
        """Apply changes; False if they leave a gap or are not newer."""

    def changes_after(self, revision: int) -> ConfigurationDelta:
        """Return every key that changed after ``revision``."""


class FetchPlan(NamedTuple):
    """Next query to the platform: revision to start after, and time it may wait."""

    after_revision: int
    wait_ms: float


class AppliedChanges(NamedTuple):
    """Changes that were put in force, and the messages that forward them.

    Attributes:
        delta: The changes; None when nothing was put in force.
        source: ``platform`` or the host id of a peer.
        outgoing: Messages to be sent.
    """

    delta: ConfigurationDelta | None = None
    source: str = ""
    outgoing: tuple[Outgoing, ...] = ()


class _Staging(NamedTuple):
    after_revision: int
    started_ms: float
    delta: ConfigurationDelta


NOTHING_APPLIED = AppliedChanges()


class Spread:
    """Decides what one host queries and to which hosts it forwards changes."""

    def __init__(
        self,
        host_id: str,
        availability_zone: str,
        channel: SpreadChannel,
        store: ValueStore,
        times: SpreadTimes = DEFAULT_SPREAD_TIMES,
        is_answer_complete: bool = False,
    ) -> None:
        """Start with the values that the store holds.

        Args:
            host_id: Id of this host.
            availability_zone: Zone of this host.
            channel: Kind of the values: configuration or members.
            store: Values in force; it refuses a stale or broken delta.
            times: Counts, intervals and timeouts of the spread.
            is_answer_complete: Whether each answer of the platform contains all
                changes since the revision that the store has on its arrival.
        """
        self.host_id = host_id
        self.channel: SpreadChannel = channel
        self.store = store
        self.times = times
        self._is_answer_complete = is_answer_complete
        # The same hosts watch all channels, because heartbeats contain a single
        # age of the platform's latest answer for all of them.
        self._ranking_key = f"watch {availability_zone}"
        self._staging: _Staging | None = None
        self._platform_answer_ms: float | None = None
        self._peer_ahead: tuple[str, int] | None = None
        self._pull_at_ms = 0.0

    def platform_age_ms(self, now_ms: float) -> float | None:
        """Return the age of the platform's latest known answer to any host, or None."""
        if self._platform_answer_ms is None:
            return None
        return now_ms - self._platform_answer_ms

    def is_watcher(self, zone_hosts: Iterable[str], now_ms: float) -> bool:
        """Return whether this host should query the platform now."""
        ranked = rank_hosts(self._ranking_key, {*zone_hosts, self.host_id})
        rank = ranked.index(self.host_id) - self.times.watcher_count
        if rank < 0:
            return True
        age_ms = self.platform_age_ms(now_ms)
        if age_ms is None:
            return True
        takeover_age_ms = (
            self.times.takeover_after_ms + rank * self.times.takeover_step_ms
        )
        return age_ms > takeover_age_ms

    def next_fetch(self, zone_hosts: Iterable[str], now_ms: float) -> FetchPlan | None:
        """Return the next query to the platform, or None if there is none."""
        if self._staging is not None:
            return FetchPlan(self._staging.delta.revision, 0.0)
        if not self.is_watcher(zone_hosts, now_ms):
            return None
        wait_ms = self.times.watch_wait_ms if self.store.revision else 0.0
        return FetchPlan(self.store.revision, wait_ms)

    def receive_platform_answer(
        self,
        after_revision: int,
        answer: ConfigurationDelta,
        zone_hosts: Iterable[str],
        now_ms: float,
    ) -> AppliedChanges:
        """Process an answer of the platform.

        An answer may contain only a part of the changes, so changes are put in
        force once the platform has no more. An answer below the requested
        revision comes from a stale platform and does not count as contact.
        """
        if answer.revision < after_revision:
            self._staging = None
            return NOTHING_APPLIED
        self._platform_answer_ms = now_ms
        if self._is_answer_complete:
            return self._apply("platform", self.store.revision, answer, zone_hosts)
        if answer.revision > after_revision:
            self._stage(after_revision, answer, now_ms)
            if not self._is_staging_overdue(now_ms):
                return NOTHING_APPLIED
        staging, self._staging = self._staging, None
        if staging is None:
            return NOTHING_APPLIED
        return self._apply(
            "platform", staging.after_revision, staging.delta, zone_hosts
        )

    def discard_staging(self) -> None:
        """Discard a partial answer; the next query starts from the stored revision."""
        self._staging = None

    def receive_position(
        self, sender: str, revision: int, platform_age_ms: float, now_ms: float
    ) -> None:
        """Process the revision and the platform age in a peer's heartbeat."""
        if platform_age_ms >= 0:
            answer_ms = now_ms - platform_age_ms
            if self._platform_answer_ms is None or answer_ms > self._platform_answer_ms:
                self._platform_answer_ms = answer_ms
        if revision > self.store.revision:
            self._record_ahead(sender, revision, now_ms)

    def receive_delta(
        self,
        sender: str,
        message: ValuesDelta,
        zone_hosts: Iterable[str],
        now_ms: float,
    ) -> AppliedChanges:
        """Apply changes from a peer; after a gap a later tick requests the rest."""
        if message.after_revision > self.store.revision:
            self._record_ahead(sender, message.revision, now_ms)
            return NOTHING_APPLIED
        delta = ConfigurationDelta(
            message.revision, message.values, message.key_revisions
        )
        return self._apply(sender, message.after_revision, delta, zone_hosts)

    def answer_request(self, request: ValuesRequest) -> ValuesDelta | None:
        """Return the changes that a peer lacks, or None if there are none here."""
        if self.store.revision <= request.after_revision:
            return None
        return self._make_message(
            request.after_revision, self.store.changes_after(request.after_revision)
        )

    def request_missing(self) -> ValuesRequest:
        """Return a request for all changes that this host lacks."""
        return ValuesRequest(channel=self.channel, after_revision=self.store.revision)

    def tick(self, now_ms: float) -> list[Outgoing]:
        """Request missing changes from the peer that reported a later revision."""
        if self._peer_ahead is None:
            return []
        host_id, revision = self._peer_ahead
        if revision <= self.store.revision:
            self._peer_ahead = None
            return []
        if now_ms < self._pull_at_ms:
            return []
        self._pull_at_ms = now_ms + self.times.pull_retry_ms
        self._peer_ahead = None
        return [Outgoing(host_id, self.request_missing())]

    def _record_ahead(self, host_id: str, revision: int, now_ms: float) -> None:
        if self._peer_ahead is None:
            self._pull_at_ms = max(self._pull_at_ms, now_ms + self.times.pull_delay_ms)
        if self._peer_ahead is None or revision >= self._peer_ahead[1]:
            self._peer_ahead = (host_id, revision)

    def _stage(
        self, after_revision: int, answer: ConfigurationDelta, now_ms: float
    ) -> None:
        staging = self._staging
        if staging is None or staging.delta.revision != after_revision:
            self._staging = _Staging(after_revision, now_ms, answer)
            return
        values = {**staging.delta.values, **answer.values}
        delta = ConfigurationDelta(answer.revision, values)
        self._staging = staging._replace(delta=delta)

    def _is_staging_overdue(self, now_ms: float) -> bool:
        if self._staging is None or not self.store.revision:
            return False
        return now_ms - self._staging.started_ms >= self.times.staging_limit_ms

    def _apply(
        self,
        source: str,
        after_revision: int,
        delta: ConfigurationDelta,
        zone_hosts: Iterable[str],
    ) -> AppliedChanges:
        had_values = self.store.revision > 0
        if not self.store.apply(after_revision, delta):
            return NOTHING_APPLIED
        if not had_values:
            # The other hosts already have the values that a new host receives.
            return AppliedChanges(delta, source)
        message = self._make_message(after_revision, delta)
        children = self._child_hosts({*zone_hosts, self.host_id})
        outgoing = tuple(
            Outgoing(child, message) for child in children if child != source
        )
        return AppliedChanges(delta, source, outgoing)

    def _child_hosts(self, zone_hosts: set[str]) -> list[str]:
        ranked = rank_hosts(self._ranking_key, zone_hosts)
        count, fan_out = self.times.watcher_count, self.times.fan_out
        position = ranked.index(self.host_id)
        others = ranked[count:]
        if position < count:
            return others[position::count][:fan_out]
        subtree = others[(position - count) % count :: count]
        first = fan_out * (subtree.index(self.host_id) + 1)
        return subtree[first : first + fan_out]

    def _make_message(
        self, after_revision: int, delta: ConfigurationDelta
    ) -> ValuesDelta:
        return ValuesDelta(
            channel=self.channel,
            after_revision=after_revision,
            revision=delta.revision,
            values=delta.values,
            key_revisions=delta.key_revisions,
        )
