import gevent
import pytest

from gypsumfield.decisions.avoidance import ENGINE_FULL_MS
from gypsumfield.decisions.memory_shares import HostPlace
from gypsumfield.decisions.queue_waits import estimated_retry_after_ms
from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.model import Account
from gypsumfield.gateway.scheduling import LackRecords
from gypsumfield.gateway.scheduling import WireLack
from gypsumfield.gateway.stream_queue import MAX_RESERVATION_ATTEMPTS
from gypsumfield.verdicts import RunVerdict
from placing_fleet import Fleet
from queue_fleet import busy_fleet
from queue_fleet import make_job
from queue_fleet import make_queue
from queue_fleet import refused_after
from queue_fleet import running_clock
from queue_fleet import urgent_elsewhere


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


def test_callers_refused_one_after_the_other_get_different_times():
    # Guards against callers that come back together and are refused for good.
    fleet = busy_fleet()
    queue, _, _ = make_queue(fleet, lambda server_id: None, host_count=20)
    patient = make_job(fleet)._replace(deadline_ms=fleet.clock.now_ms + 60_000.0)
    times = [refused_after(queue, patient, fleet) for _ in range(3)]
    assert len(set(times)) == 3


def test_a_refused_caller_is_told_at_most_a_third_of_its_time():
    fleet = busy_fleet()
    queue, _, _ = make_queue(fleet, lambda server_id: None, host_count=76)
    job = make_job(fleet)
    retry_ms = refused_after(queue, job, fleet)
    assert retry_ms <= job.remaining_ms(fleet.clock.as_clock()) / 3.0


@pytest.mark.parametrize("engine_count", [0, 2])
def test_a_caller_refused_while_an_engine_is_idle_is_told_a_short_time(engine_count):
    # Guards against promises of the release of memory that nothing occupies: a host of
    # a large fleet stated a third of the caller's time.
    fleet = Fleet(["z1"] * engine_count)
    if engine_count:
        fleet.ledger.begin(Run("e1", 2_000, 100))
    queue, _, _ = make_queue(fleet, lambda server_id: None, host_count=76)
    patient = make_job(fleet)._replace(deadline_ms=fleet.clock.now_ms + 60_000.0)
    retry_ms = queue._shortage.retry_after_ms(
        "engine", queue._queued_stream(patient), 0
    )
    run_count = min(1, engine_count)
    run_ms = fleet.placer.pace("engine").run_ms
    assert retry_ms == estimated_retry_after_ms(run_count, 0, run_ms)


def test_a_host_without_the_figures_of_the_fleet_uses_its_own():
    # Failure: no update of another host arrives.
    fleet = busy_fleet()
    queue, _, _ = make_queue(fleet, lambda server_id: None, host_count=None)
    retry_ms = refused_after(queue, make_job(fleet), fleet)
    assert retry_ms == estimated_retry_after_ms(
        1, 0, fleet.placer.pace("engine").run_ms
    )


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


def test_a_caller_that_has_left_is_not_counted_as_refused():
    # Guards against callers that never return but count as lack of memory, and take
    # the times at which others could return.
    fleet = busy_fleet()
    lacks = LackRecords("z1", fleet.clock.as_clock())
    queue, _, _ = make_queue(fleet, lambda server_id: None, lacks=lacks)
    patient = make_job(fleet)._replace(deadline_ms=fleet.clock.now_ms + 60_000.0)
    waiting = gevent.spawn(queue.acquire, patient, ANY_VERSION, 160, [])
    gevent.sleep(0)
    assert queue.waiting_count == 1
    patient.abort.abort("the caller has left")
    waiting.join(timeout=10)
    assert isinstance(waiting.exception, RefusedError)
    assert waiting.exception.refusal.retry_after_ms is None
    assert lacks.own() == {}
    shortage = queue._shortage
    assert not any(kept._promised_ms for kept in shortage._promises.values())
