import math

import pytest

from gypsumfield.decisions.memory_shares import FleetLacks
from gypsumfield.decisions.memory_shares import GUARANTEED_SHARE
from gypsumfield.decisions.memory_shares import HostPlace
from gypsumfield.decisions.memory_shares import is_brief
from gypsumfield.decisions.memory_shares import Lack
from gypsumfield.decisions.memory_shares import LACK_LIFETIME_MS
from gypsumfield.decisions.memory_shares import LackKey
from gypsumfield.decisions.memory_shares import memory_ratio
from gypsumfield.decisions.memory_shares import MIN_MEMORY_RATIO
from gypsumfield.decisions.memory_shares import more_urgent
from gypsumfield.decisions.memory_shares import RELAY_LIFETIME_MS
from shortage_load import ENGINES
from shortage_load import Load
from shortage_load import MEMORY_TOKENS
from shortage_load import promised_times
from shortage_load import RUN_MS
from shortage_load import SUMMARY
from shortage_load import VERDICT

URGENT = LackKey("engine", 0)
USUAL = LackKey("engine", 1)
LACK = Lack(2, 1, 2_558)
# Draws of a stream that is held back and of one that is guaranteed.
HELD, GUARANTEED = 0.99, 0.0
SEEDS = range(3)


def shared_ratio(load, stream):
    """Decide by what all hosts lacked up to a second ago."""
    kind = stream.kind
    if is_brief(kind.run_ms, RUN_MS):
        return math.inf
    urgent = more_urgent(load.shared, stream.key)
    return memory_ratio(urgent, ENGINES, MEMORY_TOKENS, stream.draw)


def play(ratio, kinds, crowd):
    loads = [Load(promised_times(), ratio, seed, kinds, crowd) for seed in SEEDS]
    return sum((load.play().counts for load in loads), start=type(loads[0].counts)())


def share(counts, what, kind):
    return counts[what, kind] / counts["sent", kind]


# Short urgent streams beside long ones, and two kinds of the same size.
MIXES = [
    (VERDICT._replace(priority=0), SUMMARY._replace(priority=1), 1),
    (
        SUMMARY._replace(priority=0, per_second=7.0, target_ms=1_500.0),
        SUMMARY._replace(priority=1, per_second=6.0),
        0,
    ),
]


@pytest.mark.parametrize(("urgent", "less_urgent", "crowd"), MIXES)
def test_the_urgent_kind_is_served_more_often_and_the_other_keeps_its_floor(
    urgent, less_urgent, crowd
):
    # Guards against queues of single hosts: less urgent streams took the memory that
    # urgent ones waited for on other hosts.
    kinds = (urgent, less_urgent)
    before = play(None, kinds, kinds[crowd])
    after = play(shared_ratio, kinds, kinds[crowd])
    assert share(after, "in time", urgent) > share(before, "in time", urgent)
    assert after["refused twice", urgent] < before["refused twice", urgent]
    served = sum(after["served", kind] for kind in kinds)
    sent = sum(after["sent", kind] for kind in kinds)
    assert share(after, "served", less_urgent) >= 0.25 * served / sent


def test_brief_streams_are_not_held_back():
    # Held back they would lose much and gain the long urgent ones nothing: their
    # memory is free again at once.
    kinds = (SUMMARY, VERDICT)
    before, after = play(None, kinds, SUMMARY), play(shared_ratio, kinds, SUMMARY)
    assert after == before


def test_a_less_urgent_stream_leaves_room_for_an_urgent_one():
    ratio = memory_ratio(LACK, ENGINES, MEMORY_TOKENS, HELD)
    assert MEMORY_TOKENS * (1.0 - ratio) == pytest.approx(LACK.peak_tokens)
    many = LACK._replace(waiting_count=ENGINES + 1)
    assert memory_ratio(many, ENGINES, MEMORY_TOKENS, HELD) < ratio
    crowd = LACK._replace(waiting_count=100 * ENGINES)
    assert memory_ratio(crowd, ENGINES, MEMORY_TOKENS, HELD) == MIN_MEMORY_RATIO


def test_a_share_of_the_less_urgent_streams_is_guaranteed():
    assert memory_ratio(LACK, ENGINES, MEMORY_TOKENS, GUARANTEED) == math.inf
    assert memory_ratio(LACK, ENGINES, MEMORY_TOKENS, GUARANTEED_SHARE) < 1.0
    assert GUARANTEED_SHARE >= 0.25


def test_only_more_urgent_streams_of_the_service_count():
    lacks = {USUAL: LACK, LackKey("other", 0): LACK, LackKey("engine", 2): LACK}
    assert more_urgent(lacks, USUAL) is None
    assert more_urgent({**lacks, URGENT: LACK}, USUAL) == LACK
    assert memory_ratio(None, ENGINES, MEMORY_TOKENS, HELD) == math.inf


def test_statements_older_than_their_lifetime_do_not_count():
    fleet = FleetLacks("z1")
    fleet.record(HostPlace("z1", "a"), {URGENT: LACK}, 0.0)
    fleet.record(HostPlace("z2"), {URGENT: LACK._replace(age_ms=1_000.0)}, 0.0)
    assert fleet.others(LACK_LIFETIME_MS - 1_000.0)[URGENT].waiting_count == 4
    assert fleet.others(LACK_LIFETIME_MS)[URGENT].waiting_count == 2
    assert fleet.others(LACK_LIFETIME_MS + 1.0) == {}


def test_a_relayed_statement_does_not_outlive_its_lifetime():
    delegate, host = FleetLacks("z1"), FleetLacks("z1")
    delegate.record(HostPlace("z1", "a"), {URGENT: LACK}, 0.0)
    host.record_total(delegate.to_pass_on({}, RELAY_LIFETIME_MS, True), 1_250.0)
    assert host.others(LACK_LIFETIME_MS)[URGENT].waiting_count == 2
    assert host.others(LACK_LIFETIME_MS + 1.0) == {}
    assert delegate.to_pass_on({}, RELAY_LIFETIME_MS + 1.0, True) == {}


def test_no_host_is_counted_twice():
    fleet = FleetLacks("z1")
    fleet.record(HostPlace("z1", "a"), {URGENT: LACK}, 0.0)
    fleet.record(HostPlace("z1", "a"), {URGENT: LACK}, 10.0)
    # A host of another zone, once by itself and once in the sum of its zone.
    fleet.record(HostPlace("z2", "b"), {URGENT: LACK}, 0.0)
    fleet.record(HostPlace("z2"), {URGENT: LACK}, 10.0)
    # The total of a former delegate covers the same hosts.
    fleet.record_total({URGENT: LACK}, 0.0)
    assert fleet.others(20.0)[URGENT].waiting_count == 4
    own = {URGENT: Lack(1, 0, 2_558)}
    assert fleet.to_pass_on(own, 20.0, has_zones=False)[URGENT].waiting_count == 3
    assert fleet.to_pass_on(own, 20.0, has_zones=True)[URGENT].waiting_count == 5


def test_a_total_is_counted_without_the_part_of_the_host_itself():
    fleet = FleetLacks("z1")
    fleet.record_sent({URGENT: Lack(2, 0, 2_558)})
    fleet.record_total({URGENT: Lack(2, 1, 2_558), USUAL: LACK}, 0.0)
    others = fleet.others(0.0)
    assert others[URGENT].stream_count == 1
    assert others[USUAL] == LACK
