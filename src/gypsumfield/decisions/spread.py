"""Spread of published values from the platform to every entry host.

In each zone a few watchers, chosen by rendezvous hashing, ask the platform.
What they learn goes down a tree of bounded fan-out to the other hosts of the
zone, each watcher serving its own part of them. Heartbeats carry the revision
of their sender: whoever is behind asks for what is missing. They also carry the
age of the platform's latest answer; a host to which it grows too old asks the
platform itself.
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
    """Numbers of the spread.

    Attributes:
        watcher_count: Hosts of a zone that ask the platform.
        fan_out: Hosts to which one host passes a change on.
        watch_wait_ms: How long the platform may hold a watch.
        pull_delay_ms: Wait for a change on its way before it is asked for.
        pull_retry_ms: Time between two requests for missing changes.
        takeover_after_ms: Age of the platform's latest answer at which the
            next host asks it as well.
        takeover_step_ms: Further age for each rank behind the watchers.
        staging_limit_ms: Longest time to gather the parts of an answer when
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
    """Values by revision; `gypsumfield.configuration.ConfigurationStore` is one."""

    revision: int

    def apply(self, after_revision: int, delta: ConfigurationDelta) -> bool:
        """Apply changes; False if they leave a gap or bring nothing newer."""

    def changes_after(self, revision: int) -> ConfigurationDelta:
        """Return every key that changed after ``revision``."""


class FetchPlan(NamedTuple):
    """Next question to the platform."""

    after_revision: int
    wait_ms: float


class Applied(NamedTuple):
    """Changes that have come into force, and to whom they go on.

    Attributes:
        delta: The changes; None when nothing came into force.
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


NOTHING = Applied()


class Spread:
    """Decides whom one host asks and to whom it passes changes on."""

    def __init__(
        self,
        host_id: str,
        availability_zone: str,
        channel: SpreadChannel,
        store: ValueStore,
        times: SpreadTimes = DEFAULT_SPREAD_TIMES,
        is_answer_complete: bool = False,
    ) -> None:
        """Start with what the store holds.

        Args:
            host_id: This host.
            availability_zone: Its zone.
            channel: What the values are.
            store: Values in force; a stale or broken delta is its to refuse.
            times: Numbers of the spread.
            is_answer_complete: Whether each answer of the platform holds all
                changes since the revision that the store has when it is taken.
        """
        self.host_id = host_id
        self.channel: SpreadChannel = channel
        self.store = store
        self.times = times
        self._is_answer_whole = is_answer_complete
        # The same hosts watch all channels, since one age of the platform's
        # latest answer stands for all of them.
        self._topic = f"watch {availability_zone}"
        self._staging: _Staging | None = None
        self._platform_answer_ms: float | None = None
        self._ahead: tuple[str, int] | None = None
        self._pull_at_ms = 0.0

    def platform_age_ms(self, now_ms: float) -> float | None:
        """Return the age of the platform's latest answer to anybody, if known."""
        if self._platform_answer_ms is None:
            return None
        return now_ms - self._platform_answer_ms

    def is_watcher(self, zone_hosts: Iterable[str], now_ms: float) -> bool:
        """Return whether this host is to ask the platform now."""
        ranked = rank_hosts(self._topic, {*zone_hosts, self.host_id})
        rank = ranked.index(self.host_id) - self.times.watcher_count
        if rank < 0:
            return True
        age_ms = self.platform_age_ms(now_ms)
        if age_ms is None:
            return True
        patience_ms = self.times.takeover_after_ms + rank * self.times.takeover_step_ms
        return age_ms > patience_ms

    def next_fetch(self, zone_hosts: Iterable[str], now_ms: float) -> FetchPlan | None:
        """Return what to ask the platform next, or None for nothing."""
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
    ) -> Applied:
        """Take an answer of the platform.

        An answer may hold only a part of the changes, so a change comes into
        force once the platform has nothing more. An answer below what was asked
        for comes from a stale platform and is no sign of contact.
        """
        if answer.revision < after_revision:
            self._staging = None
            return NOTHING
        self._platform_answer_ms = now_ms
        if self._is_answer_whole:
            return self._apply("platform", self.store.revision, answer, zone_hosts)
        if answer.revision > after_revision:
            self._stage(after_revision, answer, now_ms)
            if not self._is_staged_long(now_ms):
                return NOTHING
        staging, self._staging = self._staging, None
        if staging is None:
            return NOTHING
        return self._apply(
            "platform", staging.after_revision, staging.delta, zone_hosts
        )

    def discard_staging(self) -> None:
        """Drop a partial answer; the platform is asked anew from the start."""
        self._staging = None

    def receive_position(
        self, sender: str, revision: int, platform_age_ms: float, now_ms: float
    ) -> None:
        """Take what a peer's heartbeat tells of its values."""
        if platform_age_ms >= 0:
            answer_ms = now_ms - platform_age_ms
            if self._platform_answer_ms is None or answer_ms > self._platform_answer_ms:
                self._platform_answer_ms = answer_ms
        if revision > self.store.revision:
            self._note_ahead(sender, revision, now_ms)

    def receive_delta(
        self,
        sender: str,
        message: ValuesDelta,
        zone_hosts: Iterable[str],
        now_ms: float,
    ) -> Applied:
        """Take changes from a peer; a gap is asked for at the next tick."""
        if message.after_revision > self.store.revision:
            self._note_ahead(sender, message.revision, now_ms)
            return NOTHING
        delta = ConfigurationDelta(
            message.revision, message.values, message.key_revisions
        )
        return self._apply(sender, message.after_revision, delta, zone_hosts)

    def answer_request(self, request: ValuesRequest) -> ValuesDelta | None:
        """Return what a peer lacks, or None when this host has nothing newer."""
        if self.store.revision <= request.after_revision:
            return None
        return self._message(
            request.after_revision, self.store.changes_after(request.after_revision)
        )

    def request_missing(self) -> ValuesRequest:
        """Return the request for everything that this host lacks."""
        return ValuesRequest(channel=self.channel, after_revision=self.store.revision)

    def tick(self, now_ms: float) -> list[Outgoing]:
        """Ask the peer that was seen ahead for what is still missing."""
        if self._ahead is None:
            return []
        host_id, revision = self._ahead
        if revision <= self.store.revision:
            self._ahead = None
            return []
        if now_ms < self._pull_at_ms:
            return []
        self._pull_at_ms = now_ms + self.times.pull_retry_ms
        self._ahead = None
        return [Outgoing(host_id, self.request_missing())]

    def _note_ahead(self, host_id: str, revision: int, now_ms: float) -> None:
        if self._ahead is None:
            self._pull_at_ms = max(self._pull_at_ms, now_ms + self.times.pull_delay_ms)
        if self._ahead is None or revision >= self._ahead[1]:
            self._ahead = (host_id, revision)

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

    def _is_staged_long(self, now_ms: float) -> bool:
        if self._staging is None or not self.store.revision:
            return False
        return now_ms - self._staging.started_ms >= self.times.staging_limit_ms

    def _apply(
        self,
        source: str,
        after_revision: int,
        delta: ConfigurationDelta,
        zone_hosts: Iterable[str],
    ) -> Applied:
        had_values = self.store.revision > 0
        if not self.store.apply(after_revision, delta):
            return NOTHING
        if not had_values:
            # What a new host learns at its start is no news to the others.
            return Applied(delta, source)
        message = self._message(after_revision, delta)
        children = self._children({*zone_hosts, self.host_id})
        outgoing = tuple(
            Outgoing(child, message) for child in children if child != source
        )
        return Applied(delta, source, outgoing)

    def _children(self, zone_hosts: set[str]) -> list[str]:
        ranked = rank_hosts(self._topic, zone_hosts)
        count, fan_out = self.times.watcher_count, self.times.fan_out
        position = ranked.index(self.host_id)
        others = ranked[count:]
        if position < count:
            return others[position::count][:fan_out]
        part = others[(position - count) % count :: count]
        first = fan_out * (part.index(self.host_id) + 1)
        return part[first : first + fan_out]

    def _message(self, after_revision: int, delta: ConfigurationDelta) -> ValuesDelta:
        return ValuesDelta(
            channel=self.channel,
            after_revision=after_revision,
            revision=delta.revision,
            values=delta.values,
            key_revisions=delta.key_revisions,
        )
