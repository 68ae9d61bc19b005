"""One request that crashes each server which runs it, and comes again at any host."""

import gevent
import pytest

from deadly_fleet import DeadlyFleet
from deadly_fleet import prompt_headers
from fake_platform import event
from fake_platform import publication
from fake_platform import stream_head

DEADLY_BODY = b"sell the hull twice"
REPEATS = 12
INTERVAL_S = 0.2
# The rule allows three crashes, and three more sends once the hosts must know of them.
CRASH_LIMIT = 3
# All requests of the streams below have these parts, sound ones too.
PARTS = ("first", "second", "own")
STREAM_HEADERS = prompt_headers(*PARTS)


def is_deadly(request):
    return request["body"] == DEADLY_BODY


@pytest.fixture(params=["plain", "once", "engine"])
def fleet(request):
    deadly_fleet = start_fleet(request.param)
    yield deadly_fleet
    deadly_fleet.stop()


def start_fleet(service, **changes):
    deadly_fleet = DeadlyFleet(service=service, **changes)
    deadly_fleet.is_deadly = is_deadly
    if service != "engine":
        deadly_fleet.begin_answer = lambda _request: b""
    deadly_fleet.start_hosts()
    return deadly_fleet


def send(fleet, number, body=DEADLY_BODY, **kwargs):
    host_number = number % fleet.host_count
    headers = STREAM_HEADERS if fleet.service == "engine" else ""
    return fleet.call_host(
        host_number, f"r{number}", body=body, headers=headers, **kwargs
    )


def repeat(fleet, count=REPEATS):
    calls = []
    for number in range(count):
        calls.append(gevent.spawn(send, fleet, number))
        gevent.sleep(INTERVAL_S)
    return [call.get() for call in calls]


def test_a_repeated_request_does_not_crash_server_after_server(fleet):
    repeat(fleet)
    assert 1 <= len(fleet.crashes) <= CRASH_LIMIT


def test_sound_requests_with_all_parts_of_a_deadly_one_are_served(fleet):
    repeat(fleet)
    gevent.sleep(0.5)
    for number in range(6):
        assert send(fleet, number, body=b"sound %d" % number)[0] == 200


def test_sound_requests_with_the_body_of_a_deadly_one_and_another_path_are_served(
    fleet,
):
    fleet.is_deadly = lambda request: request["target"].endswith("/deadly")
    for number in range(4):
        send(fleet, number, b"", path="deadly")
        gevent.sleep(INTERVAL_S)
    gevent.sleep(0.5)
    assert send(fleet, 0, b"", path="deadly")[0] == 503
    for number in range(6):
        assert send(fleet, number, b"", path="sound")[0] == 200
        assert send(fleet, number, b"", path="deadly?page=2")[0] == 200


def test_a_get_without_a_body_that_crashes_servers_is_refused():
    fleet = start_fleet("plain")
    try:
        fleet.is_deadly = lambda request: request["target"].endswith("/deadly")
        for number in range(REPEATS):
            send(fleet, number, b"", path="deadly", method="GET")
            gevent.sleep(INTERVAL_S)
        assert 1 <= len(fleet.crashes) <= CRASH_LIMIT
        assert send(fleet, 0, b"", path="sound", method="GET")[0] == 200
    finally:
        fleet.stop()


def test_a_request_whose_repeats_crash_servers_is_refused_at_once_and_has_not_run(
    fleet,
):
    repeat(fleet, 4)
    arrived = len(fleet.deadly_arrivals)
    for number in range(fleet.host_count):
        status, headers, body = send(fleet, number)
        assert status == 503
        assert b"not-run" in body
        assert float(headers["retry-after"]) > 0.0
    assert len(fleet.deadly_arrivals) == arrived


@pytest.mark.parametrize("begin_answer", [None, lambda request: stream_head(request)])
def test_a_request_that_ends_a_whole_service_in_one_moment_is_known_after_it(
    begin_answer,
):
    """The retry takes the next server within the time that one rack's crash takes."""
    fleet = start_fleet("plain")
    try:
        fleet.run_ms = 5.0
        if begin_answer:
            fleet.begin_answer = begin_answer
        repeat(fleet, 3)
        assert len(fleet.crashes) <= CRASH_LIMIT
    finally:
        fleet.stop()


def crash_after_events(request):
    last = int(request["headers"].get("last-event-id", 0))
    return stream_head(request) + event(last + 1) + event(last + 2)


@pytest.mark.parametrize("is_resumable", [False, True])
def test_a_request_that_crashes_engines_after_events_is_refused(is_resumable):
    document = publication({"engine": "streaming"})
    document["routes"][0]["stream_resume"] = is_resumable
    document["routes"][0]["max_attempts"] = 2
    fleet = start_fleet("engine", routes=document["routes"])
    try:
        fleet.begin_answer = crash_after_events
        repeat(fleet)
        # Streams are on many engines that end, so that it takes one crash more.
        assert len(fleet.crashes) <= CRASH_LIMIT + 1
    finally:
        fleet.stop()


def test_a_popular_request_that_many_servers_run_when_they_end_is_served():
    fleet = start_fleet("plain")
    try:
        popular = b"rates of today"
        fleet.run_ms = 40.0
        calls = []
        for round_number in range(4):
            for number in range(12):
                calls.append(gevent.spawn(send, fleet, number, popular))
                gevent.sleep(0.01)
            fleet.crash(round_number)
            gevent.sleep(0.5)
        gevent.joinall(calls)
        for number in range(6):
            assert send(fleet, number, popular)[0] == 200
        assert not fleet.events_named("request_condemned")
    finally:
        fleet.stop()


def test_requests_in_flight_when_all_servers_of_a_rack_end_are_served_later():
    fleet = start_fleet("plain")
    try:
        fleet.run_ms = 60.0
        for round_number in range(3):
            calls = [
                gevent.spawn(send, fleet, number, b"sound %d" % number)
                for number in range(8)
            ]
            gevent.sleep(0.03)
            fleet.crash(round_number)
            fleet.crash((round_number + 1) % 4)
            gevent.joinall(calls)
            gevent.sleep(0.5)
        for number in range(8):
            assert send(fleet, number, b"sound %d" % number)[0] == 200
        assert not fleet.events_named("request_condemned")
    finally:
        fleet.stop()


def test_the_same_content_from_another_account_is_another_request():
    tenants = [
        {"name": "account-a", "api_keys": ["key-a"]},
        {"name": "account-b", "api_keys": ["key-b"]},
    ]
    fleet = start_fleet("plain", tenants=tenants)
    try:
        repeat(fleet, 4)
        fleet.is_deadly = lambda _request: False
        gevent.sleep(0.4)
        assert send(fleet, 0)[0] == 503
        assert send(fleet, 1, key="key-b")[0] == 200
    finally:
        fleet.stop()
