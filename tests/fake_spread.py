"""A fake platform and entry hosts that run the spread of configuration."""

from fake_members import FakeMember
from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.decisions.membership import SpreadPosition
from gypsumfield.decisions.spread import Spread
from gypsumfield.messages import Heartbeat
from gypsumfield.messages import ValuesDelta
from gypsumfield.messages import ValuesRequest

ANSWER_MS = 3.0
FAILURE_PAUSE_MS = 1_000.0
IDLE_MS = 100.0
TICK_MS = 100.0


def zone_value(number):
    return {"status": "out" if number % 2 else "in"}


class FakePlatform:
    """Values by revision; may be down, stale or unreachable for some hosts."""

    def __init__(self, answer_limit):
        self.answer_limit = answer_limit
        self.values = {}
        self.history = [{}]
        self.mode = "up"
        self.stale_revision = 0
        self.unreachable = frozenset()
        self.call_count = 0

    @property
    def revision(self):
        return len(self.history) - 1

    def put(self, key, value):
        state = dict(self.history[-1])
        state.pop(key, None)
        if value is not None:
            state[key] = value
        self.history.append(state)
        self.values[key] = self.revision

    def set_mode(self, mode):
        self.mode = mode
        self.stale_revision = self.revision

    def head(self):
        return self.stale_revision if self.mode == "stale" else self.revision

    def fetch(self, host_id, after_revision):
        """Return the answer to a query, or None when the platform does not answer."""
        self.call_count += 1
        if self.mode == "down" or host_id in self.unreachable:
            return None
        head = self.head()
        changed = {}
        for revision in range(1, head + 1):
            old, new = self.history[revision - 1], self.history[revision]
            for key in old.keys() | new.keys():
                if old.get(key) != new.get(key):
                    changed[key] = revision
        later = sorted((at, key) for key, at in changed.items() if at > after_revision)
        included = later[: self.answer_limit]
        revision = included[-1][0] if len(included) < len(later) else head
        state = self.history[head]
        return ConfigurationDelta(
            revision, {key: state.get(key) for _, key in included}
        )


class FakeSpreadHost(FakeMember):
    """One boot of an entry host with an empty store."""

    def __init__(self, network, host_id, zone, boot, platform, **spread):
        self.platform = platform
        self.store = ConfigurationStore()
        self.spread = Spread(host_id, zone, "configuration", self.store, **spread)
        super().__init__(network, host_id, zone, boot)
        self._watch()
        self._pull()

    def request_from_peers(self, hosts):
        for host in hosts:
            if host != self.host_id:
                request = self.spread.request_missing()
                self.network.send(self.host_id, host, request)

    def zone_hosts(self):
        return self.membership.live_hosts(self.zone)

    def raw_values(self):
        return {
            key: raw
            for key, raw in self.store.changes_after(0).values.items()
            if raw is not None
        }

    def position(self):
        age_ms = self.spread.platform_age_ms(self.network.now_ms)
        age_ms = -1 if age_ms is None else int(age_ms)
        return SpreadPosition(self.store.revision, 0, age_ms)

    def receive(self, sender, message):
        now_ms = self.network.now_ms
        if isinstance(message, Heartbeat):
            self.spread.receive_position(
                sender, message.configuration_revision, message.platform_age_ms, now_ms
            )
        elif isinstance(message, ValuesRequest):
            answer = self.spread.answer_request(message)
            if answer is not None:
                self.network.send(self.host_id, sender, answer)
        elif isinstance(message, ValuesDelta):
            self._finish(
                self.spread.receive_delta(sender, message, self.zone_hosts(), now_ms)
            )

    def _finish(self, applied):
        for outgoing in applied.outgoing:
            self.network.send(self.host_id, *outgoing)

    def _later(self, duration_ms, function):
        def run():
            if self.is_running:
                function()
            elif self.is_up:
                self._later(IDLE_MS, function)

        self.network.call_at(self.network.now_ms + duration_ms, run)

    def _pull(self):
        for outgoing in self.spread.tick(self.network.now_ms):
            self.network.send(self.host_id, *outgoing)
        self._later(TICK_MS, self._pull)

    def _watch(self):
        plan = self.spread.next_fetch(self.zone_hosts(), self.network.now_ms)
        if plan is None:
            self._later(IDLE_MS, self._watch)
            return
        self._query_platform(plan, self.network.now_ms + plan.wait_ms)

    def _query_platform(self, plan, until_ms):
        answer = self.platform.fetch(self.host_id, plan.after_revision)
        if answer is None or answer.revision < plan.after_revision:
            self.spread.discard_staging()
            self._later(FAILURE_PAUSE_MS, self._watch)
        elif answer.revision == plan.after_revision and self.network.now_ms < until_ms:
            # The platform holds the watch open, so the polls count as one call.
            self.platform.call_count -= 1
            self._later(20.0, lambda: self._query_platform(plan, until_ms))
        else:
            self._later(ANSWER_MS, lambda: self._receive_answer(plan, answer))

    def _receive_answer(self, plan, answer):
        now_ms = self.network.now_ms
        applied = self.spread.receive_platform_answer(
            plan.after_revision, answer, self.zone_hosts(), now_ms
        )
        self._finish(applied)
        self._watch()
