import random

from hypothesis import given
from hypothesis import strategies as st

from gypsumfield.decisions.placement import BACKUP_MEMORY_RATIO
from gypsumfield.decisions.placement import choose_backup
from gypsumfield.decisions.placement import choose_engine
from gypsumfield.decisions.placement import choose_plain
from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import GROWTH_TOKENS
from gypsumfield.decisions.placement import PlainLoad
from gypsumfield.decisions.placement import planned_tokens
from gypsumfield.decisions.placement import start_ms
from gypsumfield.decisions.placement import StreamNeed

MEMORY_TOKENS = 30_000
NEED = StreamNeed(4_000, "z1", prompt_tokens=3_000, time_left_ms=1_800.0)


def engine(name="e1", zone="z1", streams=1, committed=4_000, **fields):
    load = EngineLoad(name, zone, 8, MEMORY_TOKENS, streams, committed, 0)
    return load._replace(**fields)


def choose(*engines, need=NEED):
    chosen = choose_engine(engines, need, random.Random(1))
    return chosen.server_id if chosen else None


def test_the_emptier_engine_gets_the_stream():
    assert choose(engine("full", committed=20_000), engine("free")) == "free"


def test_an_engine_without_slots_or_memory_gets_nothing():
    no_slots = engine("slots", streams=8)
    no_memory = engine("memory", committed=25_000)
    assert choose(no_slots, no_memory) is None


def test_an_empty_engine_takes_a_stream_that_is_larger_than_planned():
    assert choose(engine(streams=0, committed=0), need=StreamNeed(40_000, "z1")) == "e1"


def test_the_own_zone_goes_first_unless_it_is_much_fuller():
    far = engine("far", zone="z2")
    assert choose(engine("near", committed=7_000), far) == "near"
    assert choose(engine("near", committed=20_000), far) == "far"


def test_a_cold_engine_is_used_only_when_no_warm_one_has_room():
    cold = engine("cold", committed=0, streams=0, is_cold=True)
    assert choose(cold, engine("warm", committed=20_000)) == "warm"
    assert choose(cold, engine("warm", committed=29_000)) == "cold"


def test_prompts_that_wait_count_against_an_engine():
    reading = engine("reading", waiting_prompt_tokens=9_000)
    assert choose(reading, engine("quiet", committed=9_000)) == "quiet"


def test_an_engine_that_has_just_started_is_expected_to_read_slower():
    fresh = engine("fresh", committed=0, is_fresh=True)
    assert start_ms(fresh, NEED) > 2 * start_ms(engine(), NEED)
    # Two prompts ahead of this one make it late there, and in time elsewhere.
    busy = fresh._replace(waiting_prompt_tokens=6_000)
    assert choose(busy) is None
    assert choose(busy, engine("old", committed=20_000)) == "old"


def test_a_backup_leaves_room_for_runs():
    limit = int(MEMORY_TOKENS * BACKUP_MEMORY_RATIO)
    near_limit = engine("a", committed=limit - NEED.peak_tokens)
    assert choose_backup([near_limit], NEED, random.Random(1)) == near_limit
    above = near_limit._replace(committed_tokens=near_limit.committed_tokens + 1)
    assert choose_backup([above], NEED, random.Random(1)) is None


def test_a_backup_goes_to_the_emptiest_warm_engine():
    cold = engine("cold", committed=0, is_cold=True)
    engines = [engine("a", committed=9_000), cold, engine("b", committed=8_000)]
    chosen = choose_backup(engines, NEED, random.Random(1))
    assert chosen is not None and chosen.server_id == "b"


@given(
    prompt=st.integers(0, 6_000),
    generated=st.integers(0, 3_000),
    expected=st.integers(0, 3_000),
)
def test_memory_is_planned_for_what_is_held_and_a_little_growth(
    prompt, generated, expected
):
    planned = planned_tokens(prompt, generated, expected, False)
    assert prompt + generated < planned <= prompt + generated + GROWTH_TOKENS
    assert planned_tokens(prompt, generated, expected, True) <= planned


def test_plain_calls_go_to_the_server_with_the_fewest():
    near = PlainLoad("near", "z1", 6, 2)
    far = PlainLoad("far", "z2", 6, 0)
    assert choose_plain([near, far], "z1", random.Random(1)) == near
    loaded = near._replace(active_count=5)
    assert choose_plain([loaded, far], "z1", random.Random(1)) == far
    assert choose_plain([], "z1", random.Random(1)) is None
