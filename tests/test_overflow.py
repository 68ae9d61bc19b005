"""Overflow into another zone that is cut off, evacuated or full, with a real placer."""

import json

import msgspec
import pytest

from gypsumfield.decisions.avoidance import ZONE_SUSPECT_MS
from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.decisions.zone_overflow import MAX_SHARE
from gypsumfield.gateway.host_updates import PlacementQuery
from gypsumfield.gateway.ledger import ServerLoad
from gypsumfield.gateway.published_items import StoreItem
from gypsumfield.gateway.scheduling.events import OverflowEnded
from gypsumfield.gateway.scheduling.events import OverflowStarted
from placing_fleet import Fleet

QUERY = PlacementQuery(0, "engine", 1_000, 1_000, 5_000.0)
LOCAL = ("e1", "e2", "e3")
REMOTE = ("e4", "e5", "e6")
# Memory of an engine of the test configuration.
MEMORY_TOKENS = 30_000


class TwoZones(Fleet):
    """Three engines in this host's zone and three in another one, in a large fleet."""

    def __init__(self, local_load=0.9, remote_load=0.3, is_large=True):
        self.events = []
        super().__init__(
            ["z1"] * 3 + ["z2"] * 3, events=self.events.append, is_large=is_large
        )
        # Engines that have just started receive no overflow.
        self.clock.advance(10_000.0)
        self.set_loads(local_load, remote_load)

    def set_loads(self, local_load, remote_load):
        loads = {
            server_id: ServerLoad(3, int(MEMORY_TOKENS * load), 0)
            for ids, load in ((LOCAL, local_load), (REMOTE, remote_load))
            for server_id in ids
            if load
        }
        now_ms = self.clock.as_clock().monotonic_ms()
        self.ledger.update_peer_loads("other", loads, now_ms)

    def remote_share(self, query=QUERY, count=400):
        """Return the share of placements in the other zone."""
        self.clock.advance(200.0)
        placements = [self.placer.place_stream(query) for _ in range(count)]
        zones = [p.server.availability_zone for p in placements if p is not None]
        return zones.count("z2") / count

    def logged(self, event_type):
        return [event for event in self.events if isinstance(event, event_type)]


def test_a_share_of_the_streams_leaves_a_loaded_zone_and_comes_back():
    fleet = TwoZones()
    assert 0.05 < fleet.remote_share() <= MAX_SHARE + 0.05
    assert fleet.placer.overflow.stream_count > 0
    assert fleet.placer.overflow.largest_share > 0.0
    fleet.set_loads(0.5, 0.3)
    assert fleet.remote_share() == 0.0
    assert fleet.placer.overflow.largest_share == 0.0
    (started,), (ended,) = fleet.logged(OverflowStarted), fleet.logged(OverflowEnded)
    assert (started.service, started.availability_zone) == ("engine", "z2")
    assert ended.stream_count == fleet.placer.overflow.stream_count
    assert ended.duration_ms == pytest.approx(200.0)


def test_a_zone_that_is_cut_off_receives_nothing():
    # Streams that cross a partition are lost; callers may not repeat them.
    fleet = TwoZones()
    assert fleet.remote_share() > 0.0
    fleet.placer.record_connect_timeout(fleet.server("e4"))
    assert fleet.remote_share() == 0.0
    assert fleet.logged(OverflowEnded)
    # The zone's first delegate may still reach it, but this host does not.
    assert fleet.placer.place_at("e5", ANY_VERSION) is None
    assert fleet.placer.place_at("e1", ANY_VERSION) is not None
    fleet.clock.advance(ZONE_SUSPECT_MS)
    fleet.set_loads(0.9, 0.3)
    assert fleet.remote_share() > 0.0


def test_an_evacuated_zone_receives_nothing():
    fleet = TwoZones()
    item = StoreItem("op/evacuate/z2", 20, json.dumps({}).encode())
    fleet.catalogue.apply([item], 20, "test")
    assert fleet.catalogue.evacuated_zones == {"z2"}
    assert fleet.remote_share() == 0.0


@pytest.mark.parametrize(
    ("local_load", "remote_load"),
    [(0.7, 0.1), (0.9, 0.8), (0.82, 0.7), (0.9, 0.0)],
    ids=["not_full", "remote_full", "small_advantage", "remote_unknown"],
)
def test_without_a_clear_advantage_streams_stay(local_load, remote_load):
    assert TwoZones(local_load, remote_load).remote_share() == 0.0


def test_a_small_fleet_does_not_overflow_early():
    assert TwoZones(is_large=False).remote_share() == 0.0


@pytest.mark.parametrize(
    "changes",
    [
        {"has_begun": True, "begun_version": "v1"},
        {"excluded": ["e1"]},
        {"full": ["e1"]},
    ],
    ids=["continued", "failed_before", "refused_before"],
)
def test_only_new_streams_overflow(changes):
    query = msgspec.structs.replace(QUERY, **changes)
    assert TwoZones().remote_share(query) == 0.0


def test_the_adviser_of_the_zone_overflows_too():
    fleet = TwoZones()
    fleet.clock.advance(200.0)
    advised = []
    for _ in range(200):
        fleet.clock.advance(201.0)
        fleet.set_loads(0.9, 0.3)
        advised.append(fleet.placer.advise(QUERY))
    remote = sum(server_id in REMOTE for server_id in advised)
    assert 0 < remote <= 0.5 * len(advised)


def test_without_recent_loads_of_other_hosts_streams_stay():
    fleet = TwoZones()
    fleet.clock.advance(3_000.0)
    assert fleet.remote_share() == 0.0
