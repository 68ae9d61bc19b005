"""Servers that say they leave or are full, before a placer without a network."""

import pytest

from gypsumfield.decisions.server_pauses import MAX_PAUSE_MS
from gypsumfield.platform.headers import decode_answer
from placing_fleet import Fleet

LEAVING = ("Server-Leaving", "1")


def names(events):
    return [type(each).__struct_config__.tag for each in events]


@pytest.fixture
def events():
    return []


@pytest.fixture
def fleet(events):
    return Fleet(["z1", "z2"], events=events.append)


def take(fleet, server_id, status, *headers):
    fleet.notices.record_answer(fleet.server(server_id), status, decode_answer(headers))


@pytest.mark.parametrize("status", [200, 404, 409, 500, 503])
def test_a_server_that_says_it_leaves_gets_nothing_new(fleet, status):
    take(fleet, "e1", status, LEAVING)
    assert fleet.candidates() == ["e2"]
    assert "leaving" in fleet.placer.exclusion_reason(fleet.server("e1"))


def test_an_answer_of_another_server_at_the_address_says_nothing(fleet):
    take(fleet, "e1", 421, LEAVING, ("Retry-After", "5"))
    assert fleet.candidates() == ["e1", "e2"]


def test_odd_notices_are_logged_once_a_start_and_not_obeyed(fleet, events):
    for _ in range(3):
        take(fleet, "e1", 200, ("Server-Leaving", "maybe"))
    assert fleet.candidates() == ["e1", "e2"]
    assert names(events) == ["odd_notice"]


@pytest.mark.parametrize(
    "value", ["-1", "nan", "inf", "", "soon", "Fri, 04 Dec 2026 09:00:00 GMT"]
)
def test_times_that_make_no_sense_are_logged_and_not_obeyed(fleet, events, value):
    take(fleet, "e1", 503, ("Retry-After", value))
    assert fleet.candidates() == ["e1", "e2"]
    assert names(events) == ["odd_notice"]


def test_hours_are_cut_to_the_bound(fleet, events):
    take(fleet, "e1", 503, ("Retry-After", "7200"))
    assert fleet.notices.quiet_ms(fleet.server("e1")) == MAX_PAUSE_MS
    assert sorted(names(events)) == ["odd_notice", "server_quiet"]


def test_a_full_server_is_left_alone_for_its_time(fleet):
    take(fleet, "e1", 503, ("Retry-After", "0.75"))
    fleet.clock.advance(749.0)
    assert fleet.candidates() == ["e2"]
    fleet.clock.advance(1.0)
    assert fleet.candidates() == ["e1", "e2"]


def test_a_time_to_come_back_beside_another_status_is_not_for_the_host(fleet):
    take(fleet, "e1", 429, ("Retry-After", "5"))
    assert fleet.candidates() == ["e1", "e2"]


def test_when_all_servers_want_quiet_the_first_to_end_it_is_named(fleet):
    take(fleet, "e1", 503, ("Retry-After", "3"))
    assert fleet.placer.quiet_ms("engine") == 0.0
    take(fleet, "e2", 503, ("Retry-After", "1.5"))
    assert fleet.placer.quiet_ms("engine") == 1_500.0


def test_one_run_without_another_way_may_go_on_at_a_quiet_server(fleet):
    take(fleet, "e1", 503, ("Retry-After", "3"))
    server = fleet.server("e1")
    assert not fleet.placer.exclusion_reason(server, is_rescue=True)
    fleet.placer.note_sent(server)
    assert fleet.placer.exclusion_reason(server, is_rescue=True)
