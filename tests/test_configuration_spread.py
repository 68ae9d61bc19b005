"""Tests of the dissemination over loopback sockets, with a stand-in platform."""

from random import Random

import gevent
import pytest

from gypsumfield.adapters.peers import PeerCredentials
from gypsumfield.adapters.peers import PeerTransport
from gypsumfield.clock import system_clock
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.configuration_spread import ConfigurationSpread
from gypsumfield.configuration_spread import MemberListSpread
from gypsumfield.control_loop import ControlLoop
from gypsumfield.decisions.member_entries import MembershipTimes
from gypsumfield.decisions.membership import Membership
from gypsumfield.decisions.spread import SpreadTimes
from gypsumfield.events import PlatformUnreachable
from gypsumfield.exceptions import PlatformError
from gypsumfield.membership_service import MembershipService
from gypsumfield.messages import MemberRecord
from gypsumfield.platform_api import Member
from gypsumfield.settings import PeerAddress
from gypsumfield.standins.platform import PlatformState

TIMES = MembershipTimes(heartbeat_interval_ms=100.0)
SPREAD_TIMES = SpreadTimes(watcher_count=1, watch_wait_ms=200.0)
ZONES = ("manta", "manta", "salinas")


class PartitionableTransport:
    """Control sockets that drop all frames to and from the hosts in ``blocked``."""

    def __init__(self):
        self.sockets = PeerTransport("127.0.0.1", 0, PeerCredentials())
        self.address = self.sockets.address
        self.start = self.sockets.start
        self.stop = self.sockets.stop
        self.set_peer = self.sockets.set_peer
        self.remove_peer = self.sockets.remove_peer
        self.blocked = set()

    def send(self, host_id, frame):
        return host_id in self.blocked or self.sockets.send(host_id, frame)

    def is_peer_key(self, host_id, public_key):
        return host_id not in self.blocked


class Node:
    """The control plane of one entry host."""

    def __init__(self, number, platform, seeds=(), boot=1):
        self.host_id = f"h{number}"
        self.zone = ZONES[number]
        self.platform = platform
        self.is_platform_unreachable = False
        self.log = []
        clock = system_clock()
        self.transport = PartitionableTransport()
        self.loop = ControlLoop(
            self.host_id, f"b{boot}", self.transport, clock, self.log.append, 60_000.0
        )
        record = MemberRecord(
            self.host_id, f"b{boot}", self.zone, boot, "live", self.transport.address
        )
        now_ms = clock.monotonic_ms()
        names = [seed.host_id for seed in seeds]
        self.membership = Membership(record, now_ms, TIMES, names)
        self.members = MembershipService(
            self.membership, self.loop, self.transport, Random(number), seeds
        )
        self.store = ConfigurationStore()
        common = (self.loop, self.members, clock, self.log.append, SPREAD_TIMES)
        self.spread = ConfigurationSpread(self.store, self.fetch, *common)
        self.list_spread = MemberListSpread(self.fetch_members, *common)
        self.loop.start()
        self.spread.start()
        self.list_spread.start()

    def fetch(self, after_revision, wait_ms):
        if self.is_platform_unreachable:
            raise PlatformError("platform is unreachable")
        self.platform.wait_for_change(after_revision, wait_ms, lambda: False)
        if self.is_platform_unreachable:
            raise PlatformError("platform is unreachable")
        return self.platform.changes_after(after_revision)

    def fetch_members(self):
        if self.is_platform_unreachable:
            raise PlatformError("platform is unreachable")
        return self.platform.members

    def as_member(self):
        return Member(
            self.host_id,
            "entry",
            self.zone,
            "127.0.0.1:1",
            boot_id=self.membership.self_record.boot_id,
            control_address=self.transport.address,
        )

    def stop(self):
        self.spread.stop()
        self.list_spread.stop()
        self.loop.stop()


def wait_for(condition):
    with gevent.Timeout(30):
        while not condition():
            gevent.sleep(0.01)


@pytest.fixture
def fleet():
    platform = PlatformState(2, system_clock())
    for number in range(5):
        platform.put_value(f"availability_zones/z{number}", {"status": "in"})
    nodes = [Node(number, platform) for number in range(len(ZONES))]
    platform.put_members(node.as_member() for node in nodes)
    yield nodes
    for node in nodes:
        node.stop()


def are_at(nodes, revision):
    return all(node.store.revision == revision for node in nodes)


def test_changes_of_two_operators_come_into_force_in_one_order(fleet):
    platform = fleet[0].platform
    wait_for(lambda: are_at(fleet, 5))
    for number in range(20):
        status = "out" if number % 2 else "in"
        platform.put_value("availability_zones/z0", {"status": status})
        platform.put_value("availability_zones/z1", {"status": status})
        gevent.sleep(0.003)
    wait_for(lambda: are_at(fleet, 45))
    for node in fleet:
        statuses = {name: z.status for name, z in node.store.current.zones.items()}
        assert statuses["z0"] == statuses["z1"] == "out"
        revisions = [e.revision for e in node.log if hasattr(e, "revision")]
        assert revisions == sorted(set(revisions))


def test_host_without_platform_receives_changes_from_its_peers(fleet):
    wait_for(lambda: are_at(fleet, 5))
    fleet[0].is_platform_unreachable = fleet[1].is_platform_unreachable = True
    fleet[0].platform.put_value("availability_zones/z0", {"status": "out"})
    wait_for(lambda: are_at(fleet, 6))
    assert any(isinstance(e, PlatformUnreachable) for e in fleet[0].log + fleet[1].log)


def test_partitioned_host_continues_and_rejoins_without_reverting_others(fleet):
    wait_for(lambda: are_at(fleet, 5))
    isolated, others = fleet[0], fleet[1:]
    isolated.is_platform_unreachable = True
    isolated.transport.blocked = {node.host_id for node in others}
    for node in others:
        node.transport.blocked = {isolated.host_id}
    fleet[0].platform.put_value("availability_zones/z0", {"status": "out"})
    wait_for(lambda: are_at(others, 6))
    wait_for(lambda: isolated.host_id not in others[0].membership.live_hosts())
    assert isolated.store.revision == 5
    wait_for(lambda: not isolated.membership.is_confirmed(isolated.loop.now_ms()))
    for node in fleet:
        node.transport.blocked = set()
    wait_for(lambda: are_at(fleet, 6))
    wait_for(lambda: isolated.host_id in others[0].membership.live_hosts())


def test_new_host_gets_values_from_its_seed_while_the_platform_is_unreachable(fleet):
    wait_for(lambda: are_at(fleet, 5))
    wait_for(lambda: len(fleet[0].membership.live_hosts()) == 3)
    for node in fleet:
        node.is_platform_unreachable = True
    fleet[2].stop()
    seed = PeerAddress(fleet[0].host_id, fleet[0].transport.address)
    empty = PlatformState(2, system_clock())
    new = Node(2, empty, [seed], boot=2)
    new.is_platform_unreachable = True
    try:
        wait_for(lambda: new.spread.is_ready)
        assert new.store.current.zones == fleet[0].store.current.zones
        wait_for(lambda: "h1" in new.membership.live_hosts())
    finally:
        new.stop()
