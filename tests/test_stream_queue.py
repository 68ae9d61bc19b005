import contextlib
import random

import gevent
import pytest

from gypsumfield.aborts import AbortHandle
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.avoidance import ENGINE_FULL_MS
from gypsumfield.decisions.memory_shares import HostPlace
from gypsumfield.decisions.queue_waits import estimated_retry_after_ms
from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.calls import CallHeaders
from gypsumfield.gateway.events import MemoryHeldForUrgent
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.model import Account
from gypsumfield.gateway.scheduling import LackRecords
from gypsumfield.gateway.scheduling import Shortage
from gypsumfield.gateway.scheduling import ShortageDependencies
from gypsumfield.gateway.scheduling import WireLack
from gypsumfield.gateway.stream_queue import MAX_RESERVATION_ATTEMPTS
from gypsumfield.gateway.stream_queue import StreamQueue
from gypsumfield.verdicts import RunVerdict
from placing_fleet import Fleet

STEP_MS = 10.0
CALL_HEADERS = CallHeaders("a1", "h.example", "key-a", 3_000.0, "", 100, 80, 60)


class Engines:
    """Engines that grant or refuse reservations as a test specifies."""

    def __init__(self, fleet, answer):
        self.fleet = fleet
        self.answer = answer
        self.requests = []

    def reserve(self, server, tokens):
        self.requests.append((server.server_id, tokens))
        return self.answer(server.server_id)


@contextlib.contextmanager
def running_clock(fleet):
    """Advance the fleet's clock while greenlets wait."""

    def run():
        while True:
            gevent.sleep(STEP_MS / MS_PER_S)
            fleet.clock.advance(STEP_MS)

    ticker = gevent.spawn(run)
    try:
        yield
    finally:
        ticker.kill()


def make_queue(fleet, answer, host_count=1, lacks=None, rng=None):
    engines = Engines(fleet, answer)
    events = []
    clock = fleet.clock.as_clock()
    return (
        StreamQueue(
            fleet.placer,
            engines.reserve,
            lambda _query: None,
            lambda _job, _server, _candidate_count: True,
            lambda _job: None,
            Shortage(
                ShortageDependencies(
                    lacks=lacks or LackRecords("z1", clock),
                    run_count=fleet.placer.run_count,
                    pace=fleet.placer.pace,
                    engine_spec=fleet.catalogue.engine_spec,
                    engine_count=lambda service: len(
                        fleet.catalogue.servers_of(service)
                    ),
                    supplying_hosts=lambda: host_count,
                    clock=clock,
                    rng=rng or random.Random(1),
                    emit=events.append,
                )
            ),
            clock,
            events.append,
        ),
        engines,
        events,
    )


def make_job(fleet, account=None, route_priority=1):
    route = fleet.catalogue.publication.routes[0]
    now_ms = fleet.clock.now_ms
    return Job(
        call=CALL_HEADERS,
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


def test_a_placement_holds_the_reservation_of_its_engine():
    fleet = Fleet(["z1"])
    queue, engines, _ = make_queue(fleet, lambda server_id: "r-1")
    assert queue.acquire(make_job(fleet), ANY_VERSION, 160, []).reservation == "r-1"
    assert engines.requests == [("e1", 160)]


def test_an_engine_without_free_memory_is_skipped_and_logged():
    fleet = Fleet(["z1", "z2"])
    grants = {"e1": None, "e2": "r-2"}
    queue, engines, events = make_queue(fleet, grants.get)
    placement = queue.acquire(make_job(fleet), ANY_VERSION, 160, [])
    assert (placement.server.server_id, placement.reservation) == ("e2", "r-2")
    assert [event.backend_server for event in events] == ["e1"]
    # The next request does not query the full engine again.
    queue.acquire(make_job(fleet), ANY_VERSION, 160, [])
    assert [server_id for server_id, _ in engines.requests] == ["e1", "e2", "e2"]


def test_an_unreachable_engine_is_skipped():
    fleet = Fleet(["z1", "z2"])

    def answer(server_id):
        if server_id == "e1":
            raise BackendError("connection refused", RunVerdict.NOT_RUN)
        return "r-2"

    queue, _, _ = make_queue(fleet, answer)
    assert queue.acquire(make_job(fleet), ANY_VERSION, 160, []).server.server_id == "e2"


def test_a_stream_waits_for_a_full_engine_instead_of_being_refused():
    # Streams were refused after three engines in a row lacked free memory, although
    # memory became free within a second: 99 streams on the grown quiet day of
    # gangseo-lens.
    fleet = Fleet(["z1"])
    refusals = iter([None, None])
    queue, engines, _ = make_queue(fleet, lambda server_id: next(refusals, "r-3"))
    with running_clock(fleet):
        placement = queue.acquire(make_job(fleet), ANY_VERSION, 160, [])
    assert placement.reservation == "r-3"
    assert len(engines.requests) == 3


def test_a_refused_stream_states_when_to_retry():
    fleet = Fleet(["z1"])
    queue, engines, _ = make_queue(fleet, lambda server_id: None)
    with running_clock(fleet), pytest.raises(RefusedError) as caught:
        queue.acquire(make_job(fleet), ANY_VERSION, 160, [])
    assert caught.value.refusal.retry_after_ms > 0.0
    target_ms = fleet.catalogue.publication.routes[0].target_latency_ms
    assert (
        len(engines.requests) <= target_ms / ENGINE_FULL_MS + MAX_RESERVATION_ATTEMPTS
    )


@pytest.mark.parametrize(
    ("account", "expected"), [(None, 1), (Account("a", None), 1), (Account("a", 0), 0)]
)
def test_the_priority_of_an_account_overrides_that_of_its_route(account, expected):
    assert make_job(Fleet(["z1"]), account).priority == expected


def test_the_stream_of_the_more_urgent_account_is_placed_first():
    fleet = Fleet(["z1"])
    has_free_memory = False
    queue, _, _ = make_queue(fleet, lambda server_id: "r" if has_free_memory else None)
    served = []

    def acquire(name, account):
        queue.acquire(make_job(fleet, account), ANY_VERSION, 160, [])
        served.append(name)

    first = gevent.spawn(acquire, "usual", None)
    gevent.sleep(0)
    second = gevent.spawn(acquire, "urgent", Account("a", 0))
    gevent.sleep(0)
    assert queue.waiting_count == 2
    has_free_memory = True
    fleet.clock.advance(ENGINE_FULL_MS + 1.0)
    queue.wake()
    gevent.joinall([first, second], timeout=10)
    assert served == ["urgent", "usual"]


def refused_after(queue, job, fleet):
    with running_clock(fleet), pytest.raises(RefusedError) as caught:
        queue.acquire(job, ANY_VERSION, 160, [])
    return caught.value.refusal.retry_after_ms


def test_callers_refused_one_after_the_other_get_different_times():
    # Guards against callers that come back together and are refused for good.
    fleet = Fleet(["z1"])
    queue, _, _ = make_queue(fleet, lambda server_id: None, host_count=20)
    patient = make_job(fleet)._replace(deadline_ms=fleet.clock.now_ms + 60_000.0)
    times = [refused_after(queue, patient, fleet) for _ in range(3)]
    assert len(set(times)) == 3


def test_a_refused_caller_is_told_at_most_a_third_of_its_time():
    fleet = Fleet(["z1"])
    queue, _, _ = make_queue(fleet, lambda server_id: None, host_count=76)
    job = make_job(fleet)
    retry_ms = refused_after(queue, job, fleet)
    assert retry_ms <= job.remaining_ms(fleet.clock.as_clock()) / 3.0


def test_a_host_without_the_figures_of_the_fleet_uses_its_own():
    # Failure: no update of another host arrives.
    fleet = Fleet(["z1"])
    queue, _, _ = make_queue(fleet, lambda server_id: None, host_count=None)
    retry_ms = refused_after(queue, make_job(fleet), fleet)
    assert retry_ms == estimated_retry_after_ms(0, 0)


class FixedDraws(random.Random):
    """Draws the same number each time."""

    def __init__(self, value):
        super().__init__(1)
        self.value = value

    def random(self):
        return self.value


def urgent_elsewhere(fleet, waiting=1, peak_tokens=3_500, priority=0):
    lacks = LackRecords("z1", fleet.clock.as_clock())
    statement = WireLack("engine", priority, waiting, 0, peak_tokens)
    lacks.store(HostPlace("z2"), [statement])
    return lacks


def long_job(fleet, priority=1):
    job = make_job(fleet, route_priority=priority)
    call = job.call._replace(expected_tokens=2_000, max_tokens=2_000)
    return job._replace(call=call)


def busy_fleet(zones=("z1",)):
    """Return a fleet whose engines have some runs, but memory left."""
    fleet = Fleet(list(zones))
    for number in range(1, len(zones) + 1):
        fleet.ledger.begin(Run(f"e{number}", 2_000, 100))
    return fleet


def test_a_less_urgent_stream_leaves_memory_for_an_urgent_one_of_another_host():
    fleet = busy_fleet()
    memory_tokens = fleet.catalogue.engine_spec("engine").memory_tokens
    need = memory_tokens - 2_500
    lacks = urgent_elsewhere(fleet, peak_tokens=need)
    queue, engines, events = make_queue(
        fleet, lambda server_id: "r", lacks=lacks, rng=FixedDraws(0.99)
    )
    with running_clock(fleet), pytest.raises(RefusedError):
        queue.acquire(long_job(fleet), ANY_VERSION, 160 + need // 2, [])
    assert not engines.requests
    held = [event for event in events if isinstance(event, MemoryHeldForUrgent)]
    assert held
    assert len(held) <= 1 + (fleet.clock.now_ms - 1_000.0) / 1_000.0
    # The urgent stream itself, and one that is guaranteed, get the memory.
    urgent = long_job(fleet, priority=0)
    assert queue.acquire(urgent, ANY_VERSION, 160 + need // 2, []).reservation == "r"


def test_a_guaranteed_stream_is_not_held_back():
    fleet = busy_fleet()
    need = fleet.catalogue.engine_spec("engine").memory_tokens - 2_500
    queue, _, events = make_queue(
        fleet,
        lambda server_id: "r",
        lacks=urgent_elsewhere(fleet, peak_tokens=need),
        rng=FixedDraws(0.0),
    )
    job = long_job(fleet)
    assert queue.acquire(job, ANY_VERSION, 160 + need // 2, []).reservation == "r"
    assert not events


def test_streams_of_one_priority_are_placed_as_before():
    fleet = busy_fleet()
    need = fleet.catalogue.engine_spec("engine").memory_tokens - 2_500
    lacks = urgent_elsewhere(fleet, peak_tokens=need, priority=1)
    queue, _, events = make_queue(
        fleet, lambda server_id: "r", lacks=lacks, rng=FixedDraws(0.99)
    )
    job = long_job(fleet)
    assert queue.acquire(job, ANY_VERSION, 160 + need // 2, []).reservation == "r"
    assert not events


@pytest.mark.parametrize(("waiting", "is_at_once"), [(1, False), (400, True)])
def test_a_stream_that_cannot_start_in_time_is_refused_at_once(waiting, is_at_once):
    # Guards against waiting until the target has passed behind streams of other hosts
    # that take all the memory that becomes free.
    fleet = busy_fleet()
    queue, _, _ = make_queue(
        fleet, lambda server_id: None, lacks=urgent_elsewhere(fleet, waiting)
    )
    job = make_job(fleet)
    refused_after(queue, job, fleet)
    assert (fleet.clock.now_ms - job.started_ms < 100.0) == is_at_once
    assert queue.waiting_count == 0


def test_a_stream_of_an_account_above_its_share_waits_behind_others():
    fleet = Fleet(["z1"])
    lacks = LackRecords("z1", fleet.clock.as_clock())
    statement = [
        WireLack("engine", 1, 0, 0, 0, 0, "large", 20),
        WireLack("engine", 1, 2, 0, 3_000, 0, "small", 1),
    ]
    lacks.store(HostPlace("z2"), statement)
    has_free_memory = False
    queue, _, _ = make_queue(
        fleet, lambda server_id: "r" if has_free_memory else None, lacks=lacks
    )
    served = []

    def acquire(name):
        queue.acquire(make_job(fleet, Account(name, None)), ANY_VERSION, 160, [])
        served.append(name)

    waiting = []
    for name in ("large", "small"):
        waiting.append(gevent.spawn(acquire, name))
        gevent.sleep(0)
    assert queue.waiting_count == 2
    has_free_memory = True
    fleet.clock.advance(ENGINE_FULL_MS + 1.0)
    queue.wake()
    gevent.joinall(waiting, timeout=10)
    assert served == ["small", "large"]
