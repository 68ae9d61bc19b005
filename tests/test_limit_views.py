import pytest

from fake_members import FakeMember
from fake_network import FakeNetwork
from gypsumfield.configuration import AvailabilityZone
from gypsumfield.configuration import ClientAccount
from gypsumfield.configuration import EMPTY_CONFIGURATION
from gypsumfield.decisions.ownership import Ownership
from gypsumfield.decisions.token_pools import AccountLimit
from gypsumfield.limit_views import account_limits
from gypsumfield.limit_views import quota_view
from gypsumfield.limit_views import zone_view

RESOURCES = [f"slots/m-{number}" for number in range(8)]
STEP_MS = 500.0


class Owner:
    """A member that owns resources by the view of its zone."""

    def __init__(self, network, host_id, zone="a"):
        self.member = FakeMember(network, host_id, zone, 1)
        hold_down_ms = self.member.membership.times.hold_down_ms
        self.ownership = Ownership(host_id, network.now_ms, hold_down_ms)

    def follow(self, listed, now_ms):
        membership = self.member.membership
        if listed is not None:
            membership.record_platform_contact(now_ms)
            membership.merge_platform_list(listed, now_ms)
        self.ownership.update(zone_view(membership, now_ms), now_ms)

    def owned(self, now_ms):
        return {name for name in RESOURCES if self.ownership.owns(name, now_ms)}


def run(network, owners, duration_ms, list_for):
    """Let time pass; return the resources that had two owners at once."""
    shared = set()
    for _ in range(int(duration_ms / STEP_MS)):
        network.advance(STEP_MS)
        for owner in owners:
            owner.follow(list_for(owner), network.now_ms)
        owned = [owner.owned(network.now_ms) for owner in owners]
        shared |= owned[0] & owned[1]
    return shared


@pytest.fixture
def pair():
    network = FakeNetwork(1)
    owners = [Owner(network, "a-1"), Owner(network, "a-2")]
    listed = [owner.member.as_listed() for owner in owners]
    assert run(network, owners, 40_000.0, lambda _owner: listed) == set()
    owned = [owner.owned(network.now_ms) for owner in owners]
    assert owned[0] | owned[1] == set(RESOURCES)
    return network, owners, listed


def test_parted_hosts_that_both_reach_the_platform_keep_their_parts(pair):
    network, owners, listed = pair
    before = [owner.owned(network.now_ms) for owner in owners]
    network.partition([["a-1"]])
    assert run(network, owners, 60_000.0, lambda _owner: listed) == set()
    assert [owner.owned(network.now_ms) for owner in owners] == before


def test_host_that_lost_peer_and_platform_gives_up_before_it_is_replaced(pair):
    network, owners, listed = pair
    network.partition([["a-1"]])
    remaining = [owners[1].member.as_listed()]

    def list_for(owner):
        return None if owner is owners[0] else remaining

    assert run(network, owners, 60_000.0, list_for) == set()
    assert owners[0].owned(network.now_ms) == set()
    assert owners[1].owned(network.now_ms) == set(RESOURCES)


def test_host_that_returns_while_the_remaining_one_is_cut_off_shares_nothing(pair):
    network, owners, listed = pair
    remaining = [owners[1].member.as_listed()]
    network.partition([["a-1"]])
    assert (
        run(network, owners, 40_000.0, lambda o: remaining if o is owners[1] else None)
        == set()
    )
    assert owners[1].owned(network.now_ms) == set(RESOURCES)
    returned = [owners[0].member.as_listed()]
    network.partition([["a-2"]])
    assert (
        run(network, owners, 60_000.0, lambda o: returned if o is owners[0] else None)
        == set()
    )
    assert owners[0].owned(network.now_ms) == set(RESOURCES)


def test_views_follow_the_configuration():
    network = FakeNetwork(1)
    owner = Owner(network, "a-1")
    account = ClientAccount((), 5.0, 10.0, ())
    configuration = EMPTY_CONFIGURATION._replace(
        zones={"a": AvailabilityZone("in"), "b": AvailabilityZone("out")},
        accounts={"vendors": account},
    )
    membership = owner.member.membership
    view = quota_view(membership, configuration, network.now_ms)
    assert view.zones == {"a", "b"}
    assert not view.are_zones_agreed
    read = account_limits(lambda: configuration)
    assert read() == {"vendors": AccountLimit(5.0, 10.0)}
    assert read() is read()
