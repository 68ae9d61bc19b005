import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from fake_members import FakeMember
from fake_network import FakeNetwork
from gypsumfield.decisions.backend_membership import BackendMembership
from gypsumfield.messages import BackendRecord
from gypsumfield.platform_api import Member

ZONES = {f"m{i}": "manta" for i in range(5)} | {f"s{i}": "salinas" for i in range(2)}
HOSTS = st.sampled_from(sorted(ZONES))
SETTLE_MS = 60_000


def start_fleet(network, zones):
    fleet = {host: FakeMember(network, host, zone, 1) for host, zone in zones.items()}
    publish(fleet)
    return fleet


def publish(fleet, hosts=None):
    """Merge the platform's list on every running host."""
    listed = [member.as_listed() for member in fleet.values() if member.is_up]
    if hosts is not None:
        listed = hosts
    for member in fleet.values():
        if member.is_running:
            member.membership.merge_platform_list(listed, member.network.now_ms)


def advance_with_platform(network, member, duration_ms, is_answered=True):
    for _ in range(duration_ms // 1_000):
        if is_answered:
            member.membership.record_platform_contact(network.now_ms)
        network.advance(1_000)


class MembershipMachine(RuleBasedStateMachine):
    """All acting hosts of a zone record each other, whatever faults occur."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.network = FakeNetwork(seed)
        self.fleet = start_fleet(self.network, ZONES)
        self.boot = 1
        self.network.advance(15_000)

    @rule(duration_ms=st.sampled_from([300, 2_000, 7_000, 16_000]))
    def wait(self, duration_ms):
        # In steps, so that the invariant is checked in between.
        for _ in range(max(1, duration_ms // 1_000)):
            self.network.advance(min(duration_ms, 1_000))
            self.acting_hosts_know_each_other()

    @rule(host=HOSTS)
    def crash(self, host):
        self.fleet[host].crash()

    @rule(host=HOSTS)
    def replace(self, host):
        self.fleet[host].crash()
        self.boot += 1
        self.fleet[host] = FakeMember(self.network, host, ZONES[host], self.boot)
        self.fleet[host].membership.merge_platform_list(
            [member.as_listed() for member in self.fleet.values()], self.network.now_ms
        )

    @rule(host=HOSTS)
    def pause(self, host):
        if self.fleet[host].is_running:
            self.fleet[host].pause()

    @rule(host=HOSTS)
    def resume(self, host):
        if self.fleet[host].is_up and not self.fleet[host].is_running:
            self.fleet[host].resume()

    @rule(group=st.sets(HOSTS, min_size=1, max_size=4))
    def part(self, group):
        self.network.partition([group])

    @rule()
    def heal(self):
        self.network.heal()

    @rule(drop=st.sampled_from([0.0, 0.05]), duplicate=st.sampled_from([0.0, 0.3]))
    def fault(self, drop, duplicate):
        self.network.drop_probability = drop
        self.network.duplicate_probability = duplicate
        self.network.delay_limit_ms = 200.0

    @precondition(lambda self: hasattr(self, "fleet"))
    @invariant()
    def acting_hosts_know_each_other(self):
        now_ms = self.network.now_ms
        acting = [member for member in self.fleet.values() if member.is_acting(now_ms)]
        for member in acting:
            view = member.membership.possibly_acting_hosts(now_ms, member.zone)
            rivals = {other.host_id for other in acting if other.zone == member.zone}
            assert rivals <= view, (member.host_id, rivals - view)

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.network.heal()
        self.network.drop_probability = 0.0
        for member in self.fleet.values():
            if member.is_up and not member.is_running:
                member.resume()
        publish(self.fleet)
        # A host without peers acts only while the platform answers it.
        for _ in range(SETTLE_MS // 1_000):
            for member in self.fleet.values():
                member.membership.record_platform_contact(self.network.now_ms)
            self.network.advance(1_000)
        truth = {member.host_id for member in self.fleet.values() if member.is_up}
        for host in truth:
            membership = self.fleet[host].membership
            now_ms = self.network.now_ms
            assert membership.live_hosts() == truth
            assert membership.stable_hosts(now_ms) == truth


MembershipMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=30, derandomize=True, deadline=None
)
TestMembershipMachine = MembershipMachine.TestCase


def listed_backend(boot_id, state="live"):
    return Member("e1", "backend", "manta", "127.0.0.1:9", state, boot_id, ("tags",))


@pytest.mark.parametrize(
    ("listed", "reports", "is_live"),
    [
        (listed_backend("b1"), [], True),
        (listed_backend("b1", "leaving"), [], False),
        (listed_backend("b1"), [("b1", "leaving")], False),
        (listed_backend("b1"), [("b1", "leaving"), ("b1", "live")], False),
        (listed_backend("b2"), [("b1", "leaving")], True),
        (listed_backend("b1", "leaving"), [("b1", "leaving"), ("b2", "live")], True),
        (listed_backend("b1"), [("b1", "live"), ("b2", "live"), ("b1", "leaving")], 1),
    ],
)
def test_leaving_backend_is_recorded_before_the_list_has_it(listed, reports, is_live):
    backends = BackendMembership("manta")
    backends.merge_platform_list([listed])
    for boot_id, state in reports:
        backends.merge_record(BackendRecord("e1", boot_id, state))
    assert bool(backends.live("tags")) == is_live
    assert backends.live("other") == []


def test_host_listed_as_leaving_announces_it_itself():
    network = FakeNetwork()
    fleet = start_fleet(network, {"m0": "manta", "m1": "manta", "m2": "manta"})
    listed = [fleet["m0"].as_listed("leaving")]
    listed += [fleet[host].as_listed() for host in ("m1", "m2")]
    fleet["m1"].membership.merge_platform_list(listed, network.now_ms)
    network.advance(10_000)
    for member in fleet.values():
        assert member.membership.live_hosts() == {"m1", "m2"}
    assert fleet["m0"].membership.self_record.state == "leaving"


def test_leaving_hosts_do_not_answer_each_other_without_end():
    network = FakeNetwork()
    fleet = start_fleet(network, {f"m{i}": "manta" for i in range(4)})
    network.advance(5_000)
    for host in ("m0", "m1", "m2"):
        fleet[host].membership.leave(network.now_ms)
    network.advance(5_000)
    sent_before = network.sent_count
    network.advance(10_000)
    heartbeats_per_host_s = (network.sent_count - sent_before) / 4 / 10
    assert heartbeats_per_host_s < 8


def test_lone_survivor_of_two_needs_the_platform():
    network = FakeNetwork()
    fleet = start_fleet(network, {"m0": "manta", "m1": "manta"})
    network.advance(15_000)
    assert fleet["m0"].is_acting(network.now_ms)
    fleet["m1"].crash()
    network.advance(10_000)
    assert not fleet["m0"].is_acting(network.now_ms)
    for second in range(13):
        # The hold-down starts again with the confirmation.
        assert second > 9 or not fleet["m0"].is_acting(network.now_ms)
        fleet["m0"].membership.record_platform_contact(network.now_ms)
        network.advance(1_000)
    assert fleet["m0"].is_acting(network.now_ms)


@pytest.mark.parametrize("is_listed", [False, True])
@pytest.mark.parametrize("is_answered", [False, True])
def test_host_without_peers_acts_only_while_the_platform_answers(
    is_listed, is_answered
):
    network = FakeNetwork()
    member = FakeMember(network, "m0", "manta", boot=1)
    if is_listed:
        member.membership.merge_platform_list([member.as_listed()], network.now_ms)
    advance_with_platform(network, member, 60_000, is_answered)
    assert member.membership.is_confirmed(network.now_ms) == is_answered
    assert member.is_acting(network.now_ms) == is_answered
    advance_with_platform(network, member, 5_000, is_answered=False)
    assert not member.is_acting(network.now_ms)


def test_lone_host_of_a_zone_acts_without_the_platform_while_another_zone_reaches_it():
    network = FakeNetwork()
    zones = {f"m{i}": "manta" for i in range(5)} | {"s0": "salinas"}
    fleet = start_fleet(network, zones)
    network.advance(15_000)
    for _ in range(60):
        network.advance(1_000)
        assert fleet["s0"].is_acting(network.now_ms)
    network.partition([{"s0"}])
    network.advance(8_000)
    assert not fleet["s0"].is_acting(network.now_ms)


def test_minority_waits_after_the_partition_heals():
    network = FakeNetwork(5881)
    fleet = start_fleet(network, {f"m{i}": "manta" for i in range(5)})
    network.advance(15_000)
    network.partition([["m2", "m3", "m4"]])
    network.advance(25_000)
    network.heal()
    for _ in range(90):
        network.advance(100)
        assert not fleet["m0"].is_acting(network.now_ms)
    network.advance(10_000)
    assert all(member.is_acting(network.now_ms) for member in fleet.values())


def test_host_partitioned_from_all_stops_acting_before_another_acts():
    network = FakeNetwork()
    first = FakeMember(network, "m0", "manta", boot=1)
    first.membership.merge_platform_list([first.as_listed()], network.now_ms)
    advance_with_platform(network, first, 15_000)
    assert first.is_acting(network.now_ms)
    network.partition([{"m0"}])
    second = FakeMember(network, "m1", "manta", boot=1)
    # The platform has removed the partitioned host from its list.
    for _ in range(60):
        second.membership.record_platform_contact(network.now_ms)
        second.membership.merge_platform_list([second.as_listed()], network.now_ms)
        network.advance(1_000)
    acting = [member.is_acting(network.now_ms) for member in (first, second)]
    assert acting.count(True) <= 1
