import contextlib

import gevent
import pytest

from gypsumfield.aborts import AbortHandle
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.avoidance import ENGINE_FULL_MS
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.calls import CallHeaders
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import Account
from gypsumfield.gateway.stream_queue import RESERVE_TRIES
from gypsumfield.gateway.stream_queue import StreamQueue
from gypsumfield.verdicts import RunVerdict
from placing_fleet import Fleet

STEP_MS = 10.0
ASK = CallHeaders("a1", "h.example", "key-a", 3_000.0, "", 100, 80, 60)


class Engines:
    """Engines that grant or refuse memory as a test scripts it."""

    def __init__(self, fleet, answer):
        self.fleet = fleet
        self.answer = answer
        self.asked = []

    def reserve(self, server, tokens):
        self.asked.append((server.server_id, tokens))
        return self.answer(server.server_id)


@contextlib.contextmanager
def passing_time(fleet):
    """Let the fleet's clock follow the time that waits take."""

    def run():
        while True:
            gevent.sleep(STEP_MS / MS_PER_S)
            fleet.clock.advance(STEP_MS)

    ticker = gevent.spawn(run)
    try:
        yield
    finally:
        ticker.kill()


def make_queue(fleet, answer):
    engines = Engines(fleet, answer)
    events = []
    clock = fleet.clock.as_clock()
    return (
        StreamQueue(
            fleet.placer, engines.reserve, lambda _question: None, clock, events.append
        ),
        engines,
        events,
    )


def make_job(fleet, account=None, route_priority=1):
    route = fleet.catalogue.publication.routes[0]
    now_ms = fleet.clock.now_ms
    return Job(
        call=ASK,
        method="POST",
        target="/engine/",
        headers=[],
        body=b"",
        route=route._replace(priority=route_priority),
        account=account,
        service="engine",
        started_ms=now_ms,
        deadline_ms=now_ms + 3_000.0,
        abort=AbortHandle(),
    )


def test_a_place_comes_with_the_memory_that_its_engine_reserved():
    fleet = Fleet(["z1"])
    queue, engines, _ = make_queue(fleet, lambda server_id: "r-1")
    assert queue.acquire(make_job(fleet), 160, []).reservation == "r-1"
    assert engines.asked == [("e1", 160)]


def test_an_engine_without_room_is_passed_over_and_logged():
    fleet = Fleet(["z1", "z2"])
    grants = {"e1": None, "e2": "r-2"}
    queue, engines, events = make_queue(fleet, grants.get)
    place = queue.acquire(make_job(fleet), 160, [])
    assert (place.server.server_id, place.reservation) == ("e2", "r-2")
    assert [event.backend_server for event in events] == ["e1"]
    # The refusal holds for the next request too.
    queue.acquire(make_job(fleet), 160, [])
    assert [server_id for server_id, _ in engines.asked] == ["e1", "e2", "e2"]


def test_an_engine_that_does_not_answer_is_passed_over():
    fleet = Fleet(["z1", "z2"])

    def answer(server_id):
        if server_id == "e1":
            raise BackendError("connection refused", RunVerdict.NOT_RUN)
        return "r-2"

    queue, _, _ = make_queue(fleet, answer)
    assert queue.acquire(make_job(fleet), 160, []).server.server_id == "e2"


def test_a_stream_waits_for_a_full_engine_instead_of_being_refused():
    # Grown quiet day of gangseo-lens: 99 streams were refused after three engines
    # in a row had no room, though one came free within a second.
    fleet = Fleet(["z1"])
    refusals = iter([None, None])
    queue, engines, _ = make_queue(fleet, lambda server_id: next(refusals, "r-3"))
    with passing_time(fleet):
        place = queue.acquire(make_job(fleet), 160, [])
    assert place.reservation == "r-3"
    assert len(engines.asked) == 3


def test_a_stream_that_no_engine_takes_is_told_when_to_come_back():
    fleet = Fleet(["z1"])
    queue, engines, _ = make_queue(fleet, lambda server_id: None)
    with passing_time(fleet), pytest.raises(RefusedError) as caught:
        queue.acquire(make_job(fleet), 160, [])
    assert caught.value.refusal.retry_after_ms > 0.0
    target_ms = fleet.catalogue.publication.routes[0].target_latency_ms
    assert len(engines.asked) <= target_ms / ENGINE_FULL_MS + RESERVE_TRIES


@pytest.mark.parametrize(
    ("account", "expected"), [(None, 1), (Account("a", None), 1), (Account("a", 0), 0)]
)
def test_the_priority_of_an_account_goes_before_that_of_its_route(account, expected):
    assert make_job(Fleet(["z1"]), account).priority == expected


def test_the_stream_of_the_more_urgent_account_gets_the_first_place():
    fleet = Fleet(["z1"])
    has_room = False
    queue, _, _ = make_queue(fleet, lambda server_id: "r" if has_room else None)
    served = []

    def call(name, account):
        queue.acquire(make_job(fleet, account), 160, [])
        served.append(name)

    first = gevent.spawn(ask, "usual", None)
    gevent.sleep(0)
    second = gevent.spawn(ask, "urgent", Account("a", 0))
    gevent.sleep(0)
    assert queue.waiting_count == 2
    has_room = True
    fleet.clock.advance(ENGINE_FULL_MS + 1.0)
    queue.wake()
    gevent.joinall([first, second], timeout=10)
    assert served == ["urgent", "usual"]
