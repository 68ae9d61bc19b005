import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from fake_network import FakeNetwork
from fake_spread import FakePlatform
from fake_spread import FakeSpreadHost
from fake_spread import zone_value
from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.decisions.member_store import MemberStore
from gypsumfield.decisions.spread import Spread
from gypsumfield.messages import ValuesDelta
from gypsumfield.platform_api import Member
from gypsumfield.platform_api import MemberList

ZONES = {f"m{i}": "manta" for i in range(5)} | {f"s{i}": "salinas" for i in range(4)}
HOSTS = st.sampled_from(sorted(ZONES))
KEYS = [f"availability_zones/z{i}" for i in range(5)]
ANSWER_LIMIT = 2
IN_FORCE_WITHIN_MS = 12_000


def start_fleet(network, platform, zones=ZONES):
    fleet = {
        host: FakeSpreadHost(network, host, zone, 1, platform)
        for host, zone in zones.items()
    }
    listed = [host.as_listed() for host in fleet.values()]
    for host in fleet.values():
        host.membership.merge_platform_list(listed, network.now_ms)
    return fleet


class SpreadMachine(RuleBasedStateMachine):
    """Every host holds a state that was published, and never goes back to an older."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.network = FakeNetwork(seed)
        self.platform = FakePlatform(ANSWER_LIMIT)
        for number, key in enumerate(KEYS):
            self.platform.put(key, zone_value(number))
        self.fleet = start_fleet(self.network, self.platform)
        self.boot = 1
        self.seen = dict.fromkeys(ZONES, 0)
        self.network.delay_limit_ms = 100.0
        self.network.advance(5_000)

    @rule(duration_ms=st.sampled_from([100, 2_000, 10_000]))
    def wait(self, duration_ms):
        self.network.advance(duration_ms)

    @rule(
        changes=st.lists(
            st.tuples(
                st.sampled_from(KEYS), st.integers(0, 3), st.sampled_from([0, 4, 30])
            ),
            min_size=3,
            max_size=12,
        )
    )
    def publish(self, changes):
        for key, number, gap_ms in changes:
            self.platform.put(key, zone_value(number) if number else None)
            self.network.advance(gap_ms)
            self.each_host_holds_a_published_state()

    @rule(mode=st.sampled_from(["up", "down", "stale"]))
    def switch_platform(self, mode):
        self.platform.set_mode(mode)

    @rule(hosts=st.sets(HOSTS))
    def cut_from_platform(self, hosts):
        self.platform.unreachable = frozenset(hosts)

    @rule(group=st.sets(HOSTS, max_size=5))
    def part(self, group):
        self.network.partition([group])

    @rule(drop=st.sampled_from([0.0, 0.2]), duplicate=st.sampled_from([0.0, 0.3]))
    def fault(self, drop, duplicate):
        self.network.drop_probability = drop
        self.network.duplicate_probability = duplicate
        self.network.delay_limit_ms = 200.0

    @rule(host=HOSTS)
    def replace(self, host):
        self.fleet[host].crash()
        self.boot += 1
        new = FakeSpreadHost(self.network, host, ZONES[host], self.boot, self.platform)
        listed = [member.as_listed() for member in self.fleet.values()]
        new.membership.merge_platform_list(listed, self.network.now_ms)
        self.fleet[host] = new
        self.seen[host] = 0
        new.request_from_peers(ZONES)
        for _ in range(10):
            self.network.advance(4)
            self.each_host_holds_a_published_state()

    @rule(host=HOSTS)
    def pause_or_resume(self, host):
        member = self.fleet[host]
        if member.is_running:
            member.pause()
        else:
            member.resume()

    @precondition(lambda self: hasattr(self, "fleet"))
    @invariant()
    def each_host_holds_a_published_state(self):
        for host, member in self.fleet.items():
            revision = member.store.revision
            assert revision >= self.seen[host]
            self.seen[host] = revision
            assert member.raw_values() == self.platform.history[revision]

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        # The platform stays unreachable for the hosts that could not reach it.
        if self.platform.unreachable == frozenset(ZONES):
            self.platform.unreachable = frozenset()
        self.platform.set_mode("up")
        self.network.heal()
        self.network.drop_probability = 0.0
        for member in self.fleet.values():
            if not member.is_running:
                member.resume()
        self.network.advance(30_000)
        self.platform.put(KEYS[0], zone_value(7))
        self.network.advance(IN_FORCE_WITHIN_MS)
        self.each_host_holds_a_published_state()
        assert {host.store.revision for host in self.fleet.values()} == {
            self.platform.revision
        }


SpreadMachine.TestCase.settings = settings(
    max_examples=20, stateful_step_count=20, derandomize=True, deadline=None
)
TestSpreadMachine = SpreadMachine.TestCase


def test_change_costs_few_calls_and_one_copy_a_host():
    network = FakeNetwork(1)
    platform = FakePlatform(100)
    platform.put(KEYS[0], zone_value(0))
    zones = {f"m{i:02}": "manta" for i in range(62)}
    fleet = start_fleet(network, platform, zones)
    network.advance(30_000)
    copies = []
    for host in fleet.values():
        host.receive = lambda sender, message, receive=host.receive: (
            copies.append(sender) if isinstance(message, ValuesDelta) else None,
            receive(sender, message),
        )
    calls_before = platform.call_count
    platform.put(KEYS[0], zone_value(1))
    network.advance(500)
    assert {host.store.revision for host in fleet.values()} == {2}
    assert len(copies) == 59
    network.advance(59_500)
    # Three watchers with one watch a second each, and some early takeovers.
    assert platform.call_count - calls_before <= 5 * 60


def test_zone_without_platform_receives_from_the_other_zone():
    network = FakeNetwork(2)
    platform = FakePlatform(100)
    platform.put(KEYS[0], zone_value(0))
    fleet = start_fleet(network, platform)
    network.advance(20_000)
    platform.unreachable = frozenset(host for host in ZONES if host[0] == "m")
    platform.put(KEYS[0], zone_value(1))
    network.advance(IN_FORCE_WITHIN_MS)
    assert {host.store.revision for host in fleet.values()} == {2}


def test_other_hosts_take_over_from_watchers_that_cannot_reach_the_platform():
    network = FakeNetwork(5)
    platform = FakePlatform(100)
    platform.put(KEYS[0], zone_value(0))
    fleet = start_fleet(network, platform)
    network.advance(20_000)
    platform.unreachable = frozenset(
        host
        for host, member in fleet.items()
        if member.spread.is_watcher(member.zone_hosts(), network.now_ms)
    )
    assert len(platform.unreachable) == 6
    platform.put(KEYS[0], zone_value(1))
    network.advance(IN_FORCE_WITHIN_MS)
    assert {host.store.revision for host in fleet.values()} == {2}


def test_new_host_answers_only_with_the_missing_changes():
    old, new = ConfigurationStore(), ConfigurationStore()
    for revision, key in enumerate(KEYS, 1):
        old.apply(revision - 1, ConfigurationDelta(revision, {key: zone_value(0)}))
    new.apply(0, old.changes_after(0))
    assert set(new.changes_after(len(KEYS) - 1).values) == {KEYS[-1]}


def test_hour_without_platform_changes_nothing_and_a_new_host_queries_its_peers():
    network = FakeNetwork(3)
    platform = FakePlatform(2)
    for number, key in enumerate(KEYS):
        platform.put(key, zone_value(number))
    fleet = start_fleet(network, platform, {f"m{i}": "manta" for i in range(4)})
    network.advance(20_000)
    platform.set_mode("down")
    calls_before = platform.call_count
    network.advance(3_600_000)
    calls_per_host_s = (platform.call_count - calls_before) / 3_600 / 4
    assert calls_per_host_s <= 1.0
    assert fleet["m0"].spread.platform_age_ms(network.now_ms) > 3_500_000
    new = FakeSpreadHost(network, "m4", "manta", 2, platform)
    new.request_from_peers(["m0"])
    network.advance(1_000)
    assert new.raw_values() == platform.history[platform.revision]


def test_large_value_reaches_every_host():
    network = FakeNetwork(4)
    platform = FakePlatform(100)
    fleet = start_fleet(network, platform)
    account = {
        "key_digests": ["ab" * 32] * 15_000,
        "rate_per_s": 1.0,
        "burst": 1.0,
        "services": [],
    }
    network.advance(5_000)
    platform.put("client_accounts/large", account)
    network.advance(5_000)
    for host in fleet.values():
        assert len(host.store.current.accounts["large"].key_digests) == 15_000


def test_gap_is_not_applied_but_requested():
    spread = Spread("m0", "manta", "configuration", ConfigurationStore())
    delta = ValuesDelta(after_revision=4, revision=5, values={KEYS[0]: zone_value(0)})
    assert spread.receive_delta("m1", delta, ["m1"], 0.0).delta is None
    assert spread.store.revision == 0
    assert spread.tick(0.0) == []
    assert [outgoing.host_id for outgoing in spread.tick(1_000.0)] == ["m1"]


def listed(host_id, zone="manta"):
    return Member(host_id, "entry", zone, "127.0.0.1:1")


@pytest.mark.parametrize("after", [0, 1])
def test_member_lists_spread_as_changes(after):
    source, target = MemberStore(), MemberStore()
    lists = [MemberList(1, (listed("a"), listed("b"))), MemberList(3, (listed("b"),))]
    assert source.apply(0, source.delta_to(lists[0]))
    if after:
        target.apply(0, source.changes_after(0))
    assert source.apply(1, source.delta_to(lists[1]))
    delta = source.changes_after(after)
    assert set(delta.values) == ({"a"} if after else {"a", "b"})
    assert target.apply(after, delta)
    assert list(target.members()) == [listed("b")]
    assert not target.apply(0, ConfigurationDelta(2, {"b": None}))
    assert target.apply(3, ConfigurationDelta(4, {"b": {"host_id": 5}}))
    assert list(target.members()) == [listed("b")]
