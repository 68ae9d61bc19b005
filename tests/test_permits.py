"""Decisions on permits for requests to servers that name a limit."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumfield.decisions.permits import granting_zones
from gypsumfield.decisions.permits import MIN_RATE_PER_S
from gypsumfield.decisions.permits import PermitSchedule
from gypsumfield.decisions.permits import TOLERANCE_FACTOR
from gypsumfield.decisions.permits import TOLERANCE_REQUESTS
from gypsumfield.decisions.permits import wait_limit_ms
from gypsumfield.decisions.permits import WINDOW_MS
from gypsumfield.decisions.permits import zone_rate_per_s

QUERIES = st.lists(
    st.tuples(st.integers(0, 11), st.floats(0.0, 400.0), st.floats(0.0, 1_000.0)),
    max_size=200,
)


@given(
    limit_per_s=st.floats(0.0, 20.0),
    zone_count=st.integers(1, 12),
    queries=QUERIES,
)
def test_no_window_has_more_slots_than_a_server_tolerates(
    limit_per_s, zone_count, queries
):
    zones = [f"z{number}" for number in range(zone_count)]
    granting = granting_zones("s1", limit_per_s, zones)
    schedules = {zone: PermitSchedule() for zone in granting}
    now_ms, slots = 0.0, []
    for number, pause_ms, max_wait_ms in queries:
        now_ms += pause_ms
        zone = zones[number % zone_count]
        if zone not in schedules:
            continue
        rate_per_s = zone_rate_per_s(limit_per_s, len(granting), 3, 3)
        slot = schedules[zone].take("s1", 1, rate_per_s, max_wait_ms, now_ms)
        if slot.is_granted:
            slots.append(now_ms + slot.wait_ms)
    allowed = TOLERANCE_FACTOR * limit_per_s * WINDOW_MS / 1_000.0 + TOLERANCE_REQUESTS
    for start_ms in slots:
        count = sum(start_ms <= other < start_ms + WINDOW_MS for other in slots)
        # A limit below the lowest rate gets a request more at times.
        assert count <= max(allowed, TOLERANCE_REQUESTS + MIN_RATE_PER_S * 4.0)


@pytest.mark.parametrize(
    ("limit_per_s", "expected"), [(0.0, 5), (0.1, 5), (0.5, 6), (1.0, 7), (9.0, 8)]
)
def test_a_low_limit_is_divided_among_fewer_zones(limit_per_s, expected):
    zones = [f"z{number}" for number in range(8)]
    assert len(granting_zones("s1", limit_per_s, zones)) == expected


@pytest.mark.parametrize("live_hosts", [1, 16, 17, 32, 33])
def test_the_parts_of_a_partitioned_zone_grant_no_more_than_the_zone(live_hosts):
    parts = [live_hosts, 33 - live_hosts]
    rates = [zone_rate_per_s(6.0, 3, part, 33) for part in parts if part]
    assert sum(rates) == pytest.approx(2.0)


def test_a_zone_that_grows_grants_no_more():
    assert zone_rate_per_s(6.0, 3, 12, 9) == pytest.approx(2.0)


def test_the_first_slot_of_a_schedule_is_one_interval_away():
    slot = PermitSchedule().take("s1", 1, 2.0, 400.0, 1_000.0)
    assert (slot.is_granted, slot.wait_ms) == (False, 500.0)


def test_a_refused_request_uses_no_slot():
    schedule = PermitSchedule()
    assert not schedule.take("s1", 1, 2.0, 0.0, 0.0).is_granted
    assert not schedule.take("s1", 1, 2.0, 0.0, 400.0).is_granted
    assert schedule.take("s1", 1, 2.0, 0.0, 500.0).is_granted


def test_requests_that_wait_get_successive_slots():
    schedule = PermitSchedule()
    waits = [schedule.take("s1", 1, 2.0, 5_000.0, 0.0).wait_ms for _ in range(3)]
    assert waits == [500.0, 1_000.0, 1_500.0]


def test_a_limit_that_rises_shortens_the_wait_at_once():
    schedule = PermitSchedule()
    schedule.take("s1", 1, 0.1, 0.0, 0.0)
    assert schedule.take("s1", 1, 10.0, 0.0, 100.0).is_granted


def test_a_restarted_server_has_a_schedule_of_its_own():
    schedule = PermitSchedule()
    schedule.take("s1", 1, 2.0, 5_000.0, 0.0)
    assert schedule.take("s1", 2, 2.0, 5_000.0, 100.0).wait_ms == 500.0


@pytest.mark.parametrize(
    ("waited_ms", "expected"), [(0.0, 50.0), (20.0, 30.0), (80.0, 0.0)]
)
def test_a_request_waits_only_while_it_can_be_answered_in_time(waited_ms, expected):
    assert wait_limit_ms(100.0, waited_ms) == expected
