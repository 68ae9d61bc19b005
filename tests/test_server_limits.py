"""Limits on requests that servers name in their answers."""

import math

import pytest

from gypsumfield.decisions.server_limits import CHANGE_RESEND_MS
from gypsumfield.decisions.server_limits import LimitRecords
from gypsumfield.decisions.server_limits import LimitStatement
from gypsumfield.decisions.server_limits import RECORD_LIFETIME_MS
from gypsumfield.decisions.server_limits import STATEMENT_LIFETIME_MS
from gypsumfield.platform.headers import decode_answer
from placing_fleet import Fleet

SEALED = ("X-Response-Seal", "s")


@pytest.fixture
def records():
    records = LimitRecords()
    records.record("e1", 1, LimitStatement(2.0, 100.0, 110.0), 110.0)
    return records


def test_the_limit_is_that_of_one_start_of_the_server(records):
    assert records.limit_per_s("e1", 1) == 2.0
    assert records.limit_per_s("e1", 2) is None
    assert records.limit_per_s("e2", 1) is None


@pytest.mark.parametrize(
    ("statement", "expected"),
    [
        (LimitStatement(1.0, 90.0, 101.0), 1.0),
        (LimitStatement(1.0, 80.0, 99.0), 2.0),
        (LimitStatement(3.0, 109.0, 120.0), 2.0),
        (LimitStatement(3.0, 110.0, 120.0), 3.0),
        (LimitStatement(None, 109.0, 120.0), 2.0),
        (LimitStatement(None, 110.0, 120.0), None),
        (LimitStatement(None, -math.inf, 120.0), 2.0),
    ],
)
def test_only_what_is_certainly_newer_relaxes_a_limit(records, statement, expected):
    assert records.record("e1", 1, statement, 120.0) == (expected != 2.0)
    assert records.limit_per_s("e1", 1) == expected


def test_an_older_statement_does_not_restore_a_limit_that_ended(records):
    records.record("e1", 1, LimitStatement(None, 110.0, 120.0), 120.0)
    records.record("e1", 1, LimitStatement(2.0, 100.0, 110.0), 110.0)
    assert records.limit_per_s("e1", 1) is None


def test_a_restart_ends_the_limit_and_an_older_start_names_none(records):
    assert records.record("e1", 2, LimitStatement(None, 120.0, 130.0), 130.0)
    assert records.find("e1") is None
    records.record("e1", 3, LimitStatement(4.0, 140.0, 150.0), 150.0)
    assert not records.record("e1", 1, LimitStatement(1.0, 150.0, 160.0), 160.0)
    assert records.limit_per_s("e1", 3) == 4.0


def test_limits_that_changed_lately_are_passed_on_before_the_others(records):
    late_ms = 110.0 + CHANGE_RESEND_MS
    assert records.to_pass_on(late_ms) == (["e1"], [])
    assert records.to_pass_on(late_ms + 1.0) == ([], ["e1"])


def test_old_statements_are_not_passed_on_and_expire(records):
    late_ms = 110.0 + STATEMENT_LIFETIME_MS
    assert records.to_pass_on(late_ms) == ([], ["e1"])
    assert records.to_pass_on(late_ms + 1.0) == ([], [])
    late_ms = 111.0 + RECORD_LIFETIME_MS
    records.record("e2", 1, LimitStatement(1.0, late_ms, late_ms), late_ms)
    assert records.find("e1") is None


def receive_answer(fleet, *headers, status=200, sent_ms=0.0):
    metadata = decode_answer(headers)
    fleet.notices.record_answer(fleet.server("e1"), status, metadata, sent_ms)


def limit_of(fleet):
    start = fleet.server("e1").server_id, fleet.server("e1").started_wall_ms
    return fleet.notices.limits.limit_per_s(*start)


def events_after(fleet_events):
    return [(event.limit_per_s, event.previous_per_s) for event in fleet_events]


def test_each_change_of_a_limit_is_logged_once():
    events = []
    fleet = Fleet(["z1"], events=events.append)
    for limit in ("2.1", "2.1", "1.5", None):
        fleet.clock.advance(100.0)
        headers = [SEALED, *([("Server-Limit", limit)] if limit else [])]
        receive_answer(fleet, *headers, sent_ms=fleet.clock.now_ms - 10.0)
    assert events_after(events) == [(2.1, None), (1.5, 2.1), (None, 1.5)]


@pytest.mark.parametrize("value", ["-1", "nan", "inf", "", "two", "1 2"])
def test_an_invalid_limit_is_logged_and_changes_nothing(value):
    events = []
    fleet = Fleet(["z1"], events=events.append)
    receive_answer(fleet, SEALED, ("Server-Limit", "2"), sent_ms=0.0)
    receive_answer(fleet, SEALED, ("Server-Limit", value), sent_ms=5_000.0)
    assert limit_of(fleet) == 2.0
    assert type(events[-1]).__struct_config__.tag == "odd_notice"


@pytest.mark.parametrize(
    ("headers", "status", "sent_ms"),
    [([], 200, 5_000.0), ([SEALED], 421, 5_000.0), ([SEALED], 200, None)],
    ids=["not sealed", "of another server", "to a call of the host itself"],
)
def test_an_answer_that_proves_nothing_does_not_end_a_limit(headers, status, sent_ms):
    fleet = Fleet(["z1"])
    receive_answer(fleet, SEALED, ("Server-Limit", "2"), sent_ms=0.0)
    fleet.clock.advance(10_000.0)
    receive_answer(fleet, *headers, status=status, sent_ms=sent_ms)
    assert limit_of(fleet) == 2.0
