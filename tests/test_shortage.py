"""What hosts tell each other about streams that lack memory."""

import msgspec
import pytest

from gypsumfield.clock import ManualClock
from gypsumfield.decisions.memory_shares import HostPlace
from gypsumfield.decisions.memory_shares import Lack
from gypsumfield.decisions.memory_shares import LACK_LIFETIME_MS
from gypsumfield.decisions.memory_shares import LackKey
from gypsumfield.gateway.host_updates import decode_update
from gypsumfield.gateway.host_updates import encode_update
from gypsumfield.gateway.host_updates import HostCard
from gypsumfield.gateway.host_updates import HostUpdate
from gypsumfield.gateway.host_updates import UpdateKind
from gypsumfield.gateway.scheduling import LackRecords
from gypsumfield.gateway.scheduling import PlacementQuery
from gypsumfield.gateway.scheduling import SUM_INTERVAL_MS
from gypsumfield.gateway.scheduling import WireLack
from gypsumfield.gateway.scheduling.messages import lacks_from_wire
from virtual_fleet import VirtualFleet

URGENT = LackKey("engine", 0)
CARD = HostCard("h1", "b1", "10.0.0.1", "z1", 100)
UPDATE = HostUpdate(
    UpdateKind.MEMBER, CARD, 1, True, True, lacks=[WireLack("engine", 0, 2, 1, 3_000)]
)
QUERY = PlacementQuery(1, "engine", 160, 100, 900.0, memory_ratio=0.8)


def without_last_field(struct):
    return msgspec.msgpack.encode(
        msgspec.msgpack.decode(msgspec.msgpack.encode(struct))[:-1]
    )


def test_an_update_of_an_earlier_build_lacks_nothing():
    # Hosts of the previous build run beside new ones during a rolling restart.
    update = decode_update(without_last_field(UPDATE))
    assert update.sender == CARD
    assert update.lacks == []


def test_an_earlier_build_reads_what_it_knows_of_an_update():
    # Earlier builds ignore what follows their last field.
    later = [*msgspec.msgpack.decode(encode_update(UPDATE)), "a field of a later build"]
    assert decode_update(msgspec.msgpack.encode(later)) == UPDATE


def test_a_query_of_an_earlier_build_leaves_no_memory_free():
    query = msgspec.msgpack.decode(without_last_field(QUERY), type=PlacementQuery)
    assert query == msgspec.structs.replace(QUERY, memory_ratio=float("inf"))


def records(zone="z1"):
    clock = ManualClock(1_000.0)
    return LackRecords(zone, clock.as_clock()), clock


def test_a_host_states_waiting_and_recently_refused_streams():
    lacks, clock = records()
    lacks.add_waiting(URGENT, 2_000)
    lacks.add_waiting(URGENT, 3_000)
    lacks.remove_waiting(URGENT, 3_000)
    lacks.record_refusal(URGENT, 2_500)
    assert lacks.wire_own() == [WireLack("engine", 0, 1, 1, 2_500)]
    clock.advance(1_001.0)
    assert lacks.wire_own() == [WireLack("engine", 0, 1, 0, 2_000)]
    lacks.remove_waiting(URGENT, 2_000)
    assert lacks.wire_own() == []


def test_running_streams_are_stated_only_during_a_shortage():
    lacks, clock = records()
    lacks.running_streams = lambda: [LackKey("engine", 1, "a")] * 2
    assert lacks.wire_own() == []
    lacks.store(HostPlace("z2"), UPDATE.lacks)
    clock.advance(SUM_INTERVAL_MS)
    assert lacks.wire_own() == [WireLack("engine", 1, 0, 0, 0, 0, "a", 2)]
    clock.advance(LACK_LIFETIME_MS + 1.0)
    assert lacks.wire_own() == []


def test_the_sum_of_all_hosts_is_computed_once_in_an_interval():
    # Guards against a sum over all running streams for each queued stream at each
    # change of a load.
    lacks, clock = records()
    calls = []
    lacks.running_streams = lambda: calls.append(clock) or [URGENT]
    lacks.add_waiting(URGENT, 2_000)
    for _ in range(50):
        assert lacks.all_hosts()[URGENT].running_count == 1
    assert len(calls) == 1
    lacks.add_waiting(URGENT, 2_000)
    clock.advance(SUM_INTERVAL_MS)
    assert lacks.all_hosts()[URGENT].waiting_count == 2


@pytest.mark.parametrize(("sent", "count"), [(2**63, 1_000_000_000), (-(2**63), 0)])
def test_counts_of_other_hosts_are_bounded(sent, count):
    # Failure: a damaged statement whose sums no longer fit an integer on the wire.
    wire = [WireLack("engine", 0, sent, sent, sent, sent, "", sent)]
    (lack,) = lacks_from_wire(wire).values()
    assert lack == Lack(count, count, count, count, count)


def test_statements_end_when_no_more_updates_arrive():
    # Failure: the link to the other hosts is lost.
    lacks, clock = records()
    lacks.store(HostPlace("z2"), UPDATE.lacks)
    assert lacks.others()[URGENT].stream_count == 3
    clock.advance(LACK_LIFETIME_MS + 1.0)
    assert lacks.others() == {}


@pytest.mark.parametrize("host_count", [4, 40])
def test_every_host_learns_what_all_lack_and_counts_no_host_twice(host_count):
    fleet = VirtualFleet(host_count, zone_count=4)
    fleet.run(6_000.0)
    records_of = [host.link.lacks for host in fleet.hosts]
    for lacks in records_of:
        lacks.add_waiting(URGENT, 2_000)
    fleet.run(3_000.0)
    counts = [lacks.all_hosts()[URGENT].waiting_count for lacks in records_of]
    assert counts == [host_count] * host_count
    for lacks in records_of:
        lacks.remove_waiting(URGENT, 2_000)
    fleet.run(3_000.0)
    assert not any(lacks.all_hosts() for lacks in records_of)


def test_a_partitioned_zone_counts_its_own_hosts():
    # Failure: the network between the zones is partitioned.
    fleet = VirtualFleet(40, zone_count=4)
    fleet.run(6_000.0)
    for host in fleet.hosts:
        host.link.lacks.add_waiting(URGENT, 2_000)
    fleet.run(2_000.0)
    fleet.partitioned = {frozenset({"z0", f"z{number}"}) for number in (1, 2, 3)}
    fleet.run(6_000.0)
    counts = {
        host.zone: host.link.lacks.all_hosts()[URGENT].waiting_count
        for host in fleet.hosts
    }
    assert counts == {"z0": 10, "z1": 30, "z2": 30, "z3": 30}
