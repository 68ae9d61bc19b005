import math
import random
from collections import Counter

import pytest

from gypsumfield.decisions.affinity import DIGEST_LIMIT
from gypsumfield.decisions.affinity import PrefixAffinity
from gypsumfield.decisions.affinity import RECORD_HALF_LIFE_MS
from gypsumfield.decisions.routing import BackendView
from gypsumfield.decisions.routing import rank_backends
from gypsumfield.decisions.routing import RoutingRules
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.engine_api import CacheEvent
from gypsumfield.engine_api import CacheEvents

DEMAND = GenerationDemand("r", "assistant", "dawn", "cart-7", 100, 500)
RULES = RoutingRules("manta")


def view(host_id, zone="manta", load=0.3, age_ms=100.0, **fields):
    return BackendView(host_id, zone, 0, int(load * 10_000), 10_000, age_ms, **fields)


def count_first(candidates, rules=RULES, attempts=400):
    rng = random.Random(4)
    orders = [rank_backends(candidates, DEMAND, rules, rng) for _ in range(attempts)]
    return Counter(order[0].host_id for order in orders if order)


def test_local_zone_first_and_every_candidate_once():
    candidates = [view("m1"), view("m2", load=0.6), view("s1", "salinas", load=0.0)]
    order = rank_backends(candidates, DEMAND, RULES, random.Random(1))
    assert [backend.host_id for backend in order] == ["m1", "m2", "s1"]


def test_disabled_zones_and_excluded_servers_get_no_request():
    candidates = [view("m1"), view("m2"), view("s1", "salinas"), view("g1", "guayas")]
    rules = RoutingRules("manta", frozenset({"salinas"}), frozenset({"m1"}))
    order = rank_backends(candidates, DEMAND, rules, random.Random(1))
    assert [backend.host_id for backend in order] == ["m2", "g1"]
    local_zone_out = RoutingRules("manta", frozenset({"manta"}))
    assert set(count_first(candidates, local_zone_out)) == {"s1", "g1"}
    all_zones_out = RoutingRules("manta", frozenset({"manta", "salinas", "guayas"}))
    assert rank_backends(candidates, DEMAND, all_zones_out, random.Random(1)) == []


def test_sampling_spreads_requests_of_hosts_with_the_same_reports():
    candidates = [view(f"m{n}", load=0.30 + n / 100) for n in range(8)]
    counts = count_first(candidates)
    assert counts["m7"] == 0
    assert max(counts.values()) < 0.35 * 400
    assert len(counts) >= 6


@pytest.mark.parametrize(
    "disadvantage",
    [
        {"load": 0.9},
        {"is_cold": True},
        {"waiting_count": 3},
        {"age_ms": 60_000.0},
        {"age_ms": math.inf},
        {"sent_tokens": 5_000.0},
        {"step_time_ms": 90.0},
    ],
)
def test_loaded_backend_loses_every_direct_comparison(disadvantage):
    good = [view("good", step_time_ms=12.0), view("too", step_time_ms=12.0)]
    assert count_first([*good, view("burdened", **disadvantage)])["burdened"] == 0


def test_engine_without_reports_is_used_when_none_has_reports():
    counts = count_first([view("a", age_ms=math.inf), view("b", age_ms=math.inf)])
    assert set(counts) == {"a", "b"}


def test_cached_prompt_wins_unless_its_backend_is_much_fuller():
    others = [view(f"m{n}") for n in range(6)]
    assert count_first([*others, view("c", load=0.4, cached_share=0.9)]) == {"c": 400}
    assert count_first([*others, view("c", load=0.8, cached_share=0.9)])["c"] == 0


@pytest.mark.parametrize(
    ("own_load", "other_load", "low", "high"),
    [
        (0.5, 0.0, 0, 0),
        (0.925, 0.3, 160, 240),
        (1.0, 0.3, 400, 400),
        (1.0, 0.8, 0, 0),
    ],
)
def test_spill_grows_with_the_local_load_and_avoids_full_zones(
    own_load, other_load, low, high
):
    candidates = [
        view("m1", load=own_load),
        view("s1", "salinas", load=other_load),
    ]
    assert low <= count_first(candidates)["s1"] <= high


def test_spill_favours_the_zone_with_more_free_capacity():
    candidates = [
        view("m1", load=1.0),
        view("s1", "salinas", load=0.7),
        view("g1", "guayas", load=0.1),
    ]
    counts = count_first(candidates)
    assert counts["g1"] > 2 * counts["s1"] > 0


def events(*pairs, boot_id="b1", kind="stored"):
    return CacheEvents(boot_id, tuple(CacheEvent(n, kind, d) for n, d in pairs))


def test_cached_share_follows_the_longest_prefix_and_decays():
    affinity = PrefixAffinity()
    affinity.observe("m1", events((1, "x"), (2, "xy")), 0.0)
    digests = ("x", "xy", "xyz", "xyzw")
    assert affinity.cached_share("m1", digests, 0.0) == 0.5
    assert affinity.cached_share("m1", digests, RECORD_HALF_LIFE_MS) == 0.25
    assert affinity.cached_share("m2", digests, 0.0) == 0.0
    assert affinity.cached_share("m1", ("q", "xy"), 0.0) == 0.0


def test_gap_lowers_confidence_in_earlier_records_only():
    affinity = PrefixAffinity()
    affinity.observe("m1", events((1, "x")), 0.0)
    affinity.observe("m1", events((7, "y")), 0.0)
    assert affinity.cached_share("m1", ("x",), 0.0) == pytest.approx(0.9**5)
    assert affinity.cached_share("m1", ("y",), 0.0) == pytest.approx(1.0)
    assert affinity.after_sequence("m1") == 7
    affinity.observe("m1", events((1_000, "z")), 0.0)
    assert affinity.cached_share("m1", ("x",), 0.0) == 0.0


def test_eviction_and_restart_remove_records():
    affinity = PrefixAffinity()
    affinity.observe("m1", events((1, "x"), (2, "y")), 0.0)
    affinity.observe("m1", events((3, "x"), kind="evicted"), 0.0)
    assert affinity.cached_share("m1", ("x",), 0.0) == 0.0
    affinity.observe("m1", events(boot_id="b2"), 0.0)
    assert affinity.cached_share("m1", ("y",), 0.0) == 0.0
    assert affinity.after_sequence("m1") == 0


def test_sent_prompts_have_some_confidence_and_records_are_bounded():
    affinity = PrefixAffinity()
    affinity.record_sent("m1", [f"d{n}" for n in range(3 * DIGEST_LIMIT)], 0.0)
    assert affinity.cached_share("m1", ("d0",), 0.0) == 0.0
    newest = (f"d{3 * DIGEST_LIMIT - 1}",)
    assert 0.0 < affinity.cached_share("m1", newest, 0.0) < 1.0
    affinity.remove("m1")
    assert affinity.cached_share("m1", newest, 0.0) == 0.0
