import random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gypsumfield.decisions.ejection import BackendHealth
from gypsumfield.decisions.ejection import EjectionSettings
from gypsumfield.decisions.ejection import Ejector
from gypsumfield.decisions.retries import RetryBudget
from gypsumfield.decisions.routing import BackendView
from gypsumfield.decisions.routing import rank_backends
from gypsumfield.decisions.routing import RoutingRules
from gypsumfield.decisions.workload import GenerationDemand

HOSTS = [f"m{number}" for number in range(6)]
SETTINGS = EjectionSettings()


def make_ejector(**fields):
    ejector = Ejector(**fields)
    ejector.set_servers(HOSTS)
    for host_id in HOSTS:
        for _ in range(SETTINGS.fewest_samples):
            ejector.note_success(host_id, 50.0, 0.0)
    return ejector


def fail(ejector, host_id, now_ms=0.0, times=SETTINGS.failure_limit):
    for _ in range(times):
        ejector.note_failure(host_id, now_ms)


def test_failures_in_a_row_eject_and_a_success_between_does_not():
    ejector = make_ejector()
    fail(ejector, "m1", times=SETTINGS.failure_limit - 1)
    ejector.note_success("m1", 50.0, 0.0)
    fail(ejector, "m1", times=SETTINGS.failure_limit - 1)
    assert ejector.excluded(0.0) == frozenset()
    fail(ejector, "m1", times=1)
    assert ejector.excluded(0.0) == {"m1"}


def test_slow_one_is_ejected_and_a_slow_fleet_is_not():
    ejector = make_ejector()
    for _ in range(40):
        ejector.note_success("m2", 400.0, 0.0)
    assert ejector.excluded(0.0) == {"m2"}
    fleet = make_ejector()
    for _ in range(40):
        for host_id in HOSTS:
            fleet.note_success(host_id, 400.0, 0.0)
    assert fleet.excluded(0.0) == frozenset()


@pytest.mark.parametrize("count", [1, 2, 6])
def test_ejected_share_is_bounded(count):
    ejector = make_ejector()
    for host_id in HOSTS[:count]:
        fail(ejector, host_id, times=50)
    assert len(ejector.excluded(0.0)) == min(count, 2)


def test_a_lone_backend_is_never_ejected():
    ejector = Ejector()
    ejector.set_servers(["m1"])
    fail(ejector, "m1", times=100)
    assert ejector.excluded(0.0) == frozenset()


def test_one_probe_at_a_time_brings_it_back():
    changes = []
    ejector = make_ejector(on_change=lambda *change: changes.append(change[:2]))
    fail(ejector, "m1")
    over_ms = SETTINGS.ejection_ms
    assert ejector.excluded(over_ms - 1.0) == {"m1"}
    assert ejector.excluded(over_ms) == frozenset()
    ejector.note_sent("m1", over_ms)
    assert ejector.excluded(over_ms) == {"m1"}
    ejector.note_success("m1", 50.0, over_ms + 100.0)
    assert ejector.excluded(over_ms + 100.0) == frozenset()
    assert changes == [
        ("m1", BackendHealth.EJECTED),
        ("m1", BackendHealth.PROBING),
        ("m1", BackendHealth.USABLE),
    ]


def test_failed_probe_doubles_the_time_up_to_a_bound():
    ejector = make_ejector()
    fail(ejector, "m1")
    now_ms = 0.0
    waits = []
    for _ in range(6):
        start_ms = now_ms
        while "m1" in ejector.excluded(now_ms):
            now_ms += 500.0
        waits.append(now_ms - start_ms)
        ejector.note_sent("m1", now_ms)
        ejector.note_failure("m1", now_ms)
    assert waits == [5_000.0, 10_000.0, 20_000.0, 40_000.0, 60_000.0, 60_000.0]


def test_lost_probe_is_repeated_after_its_timeout():
    ejector = make_ejector()
    fail(ejector, "m1")
    sent_ms = SETTINGS.ejection_ms
    ejector.note_sent("m1", sent_ms)
    assert "m1" in ejector.excluded(sent_ms + SETTINGS.probe_timeout_ms - 1.0)
    assert "m1" not in ejector.excluded(sent_ms + SETTINGS.probe_timeout_ms)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(HOSTS),
            st.sampled_from(["fail", "slow", "fast", "sent"]),
            st.integers(0, 3_000),
        ),
        max_size=200,
    )
)
@settings(derandomize=True, deadline=None, max_examples=60)
def test_never_more_out_than_the_share_allows(steps):
    ejector = make_ejector()
    now_ms = 0.0
    for host_id, kind, elapsed_ms in steps:
        now_ms += elapsed_ms
        if kind == "fail":
            ejector.note_failure(host_id, now_ms)
        elif kind == "sent":
            ejector.note_sent(host_id, now_ms)
        else:
            ejector.note_success(host_id, 2_000.0 if kind == "slow" else 50.0, now_ms)
        assert len(ejector.excluded(now_ms)) <= 2


def test_dead_half_of_a_fleet_is_no_storm():
    """Total tries stay in the budget, and ejection brings most answers back."""
    ejector = make_ejector()
    budget = RetryBudget()
    rng = random.Random(7)
    dead = set(HOSTS[:3])
    demand = GenerationDemand("r", "assistant", "dawn", "cart-7", 10, 50)
    views = [BackendView(host_id, "manta") for host_id in HOSTS]
    tries = 0
    answered = []
    for number in range(2_000):
        now_ms = 10.0 * number
        budget.note_first_try(0.1)
        tried = frozenset()
        while True:
            rules = RoutingRules("manta", excluded=tried | ejector.excluded(now_ms))
            host_id = rank_backends(views, demand, rules, rng)[0].host_id
            ejector.note_sent(host_id, now_ms)
            tries += 1
            if host_id not in dead:
                ejector.note_success(host_id, 50.0, now_ms)
                break
            ejector.note_failure(host_id, now_ms)
            tried |= {host_id}
            if not budget.has_retry():
                break
            budget.spend()
        answered.append(host_id not in dead)
    assert tries <= 2_000 * 1.1 + 10
    # Two of the three dead ones are out: one request in four meets the third.
    assert sum(answered[100:]) / 1_900 > 0.75
