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
        for _ in range(SETTINGS.min_samples):
            ejector.record_success(host_id, 50.0, 0.0)
    return ejector


def fail(ejector, host_id, now_ms=0.0, times=SETTINGS.failure_limit):
    for _ in range(times):
        ejector.record_failure(host_id, now_ms)


def test_consecutive_failures_eject_unless_a_success_is_between():
    ejector = make_ejector()
    fail(ejector, "m1", times=SETTINGS.failure_limit - 1)
    ejector.record_success("m1", 50.0, 0.0)
    fail(ejector, "m1", times=SETTINGS.failure_limit - 1)
    assert ejector.excluded(0.0) == frozenset()
    fail(ejector, "m1", times=1)
    assert ejector.excluded(0.0) == {"m1"}


def test_a_slow_server_is_ejected_and_a_slow_fleet_is_not():
    ejector = make_ejector()
    for _ in range(40):
        ejector.record_success("m2", 400.0, 0.0)
    assert ejector.excluded(0.0) == {"m2"}
    fleet = make_ejector()
    for _ in range(40):
        for host_id in HOSTS:
            fleet.record_success(host_id, 400.0, 0.0)
    assert fleet.excluded(0.0) == frozenset()


@pytest.mark.parametrize("count", [1, 2, 6])
def test_ejected_share_is_bounded(count):
    ejector = make_ejector()
    for host_id in HOSTS[:count]:
        fail(ejector, host_id, times=50)
    assert len(ejector.excluded(0.0)) == min(count, 2)


def test_a_single_backend_is_never_ejected():
    ejector = Ejector()
    ejector.set_servers(["m1"])
    fail(ejector, "m1", times=100)
    assert ejector.excluded(0.0) == frozenset()


def test_a_successful_probe_ends_an_ejection():
    changes = []
    ejector = make_ejector(on_change=lambda *change: changes.append(change[:2]))
    fail(ejector, "m1")
    end_ms = SETTINGS.ejection_ms
    assert ejector.excluded(end_ms - 1.0) == {"m1"}
    assert ejector.excluded(end_ms) == frozenset()
    ejector.record_sent("m1", end_ms)
    assert ejector.excluded(end_ms) == {"m1"}
    ejector.record_success("m1", 50.0, end_ms + 100.0)
    assert ejector.excluded(end_ms + 100.0) == frozenset()
    assert changes == [
        ("m1", BackendHealth.EJECTED),
        ("m1", BackendHealth.PROBING),
        ("m1", BackendHealth.USABLE),
    ]


def test_failed_probe_doubles_the_ejection_up_to_a_limit():
    ejector = make_ejector()
    fail(ejector, "m1")
    now_ms = 0.0
    waits = []
    for _ in range(6):
        start_ms = now_ms
        while "m1" in ejector.excluded(now_ms):
            now_ms += 500.0
        waits.append(now_ms - start_ms)
        ejector.record_sent("m1", now_ms)
        ejector.record_failure("m1", now_ms)
    assert waits == [5_000.0, 10_000.0, 20_000.0, 40_000.0, 60_000.0, 60_000.0]


def test_lost_probe_is_retried_after_its_timeout():
    ejector = make_ejector()
    fail(ejector, "m1")
    sent_ms = SETTINGS.ejection_ms
    ejector.record_sent("m1", sent_ms)
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
def test_never_more_ejected_than_the_share_allows(steps):
    ejector = make_ejector()
    now_ms = 0.0
    for host_id, kind, elapsed_ms in steps:
        now_ms += elapsed_ms
        if kind == "fail":
            ejector.record_failure(host_id, now_ms)
        elif kind == "sent":
            ejector.record_sent(host_id, now_ms)
        else:
            ejector.record_success(host_id, 2_000.0 if kind == "slow" else 50.0, now_ms)
        assert len(ejector.excluded(now_ms)) <= 2


def test_a_dead_half_of_a_fleet_causes_no_retry_storm():
    """Attempts stay within the budget, and ejection lets most requests succeed."""
    ejector = make_ejector()
    budget = RetryBudget()
    rng = random.Random(7)
    dead = set(HOSTS[:3])
    demand = GenerationDemand("r", "assistant", "dawn", "cart-7", 10, 50)
    views = [BackendView(host_id, "manta") for host_id in HOSTS]
    attempt_count = 0
    answered = []
    for number in range(2_000):
        now_ms = 10.0 * number
        budget.record_first_attempt(0.1)
        tried = frozenset()
        while True:
            rules = RoutingRules("manta", excluded=tried | ejector.excluded(now_ms))
            host_id = rank_backends(views, demand, rules, rng)[0].host_id
            ejector.record_sent(host_id, now_ms)
            attempt_count += 1
            if host_id not in dead:
                ejector.record_success(host_id, 50.0, now_ms)
                break
            ejector.record_failure(host_id, now_ms)
            tried |= {host_id}
            if not budget.has_retry():
                break
            budget.spend()
        answered.append(host_id not in dead)
    assert attempt_count <= 2_000 * 1.1 + 10
    # Two of the three dead servers are ejected: one request in four meets the third.
    assert sum(answered[100:]) / 1_900 > 0.75
