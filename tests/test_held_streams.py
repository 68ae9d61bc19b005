"""Streams that leave memory for more urgent ones."""

import gevent
import pytest

from gypsumfield.decisions.memory_shares import LackKey
from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.events import MemoryHeldForUrgent
from gypsumfield.gateway.scheduling.shortage import HELD_LOG_INTERVAL_MS
from queue_fleet import busy_fleet
from queue_fleet import FixedDraws
from queue_fleet import long_job
from queue_fleet import make_queue
from queue_fleet import running_clock
from queue_fleet import urgent_elsewhere


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


@pytest.mark.parametrize(
    ("draw", "expected_tokens"),
    [(0.0, 2_000), (0.99, 1)],
    ids=["guaranteed", "brief"],
)
@pytest.mark.parametrize("waiting", [1, 400])
def test_a_held_stream_does_not_block_one_that_is_exempt(
    draw, expected_tokens, waiting
):
    # Guards against a held stream at the head of the queue that starves the guaranteed
    # share, or has it refused as hopeless although an engine has room.
    fleet = busy_fleet()
    need = fleet.catalogue.engine_spec("engine").memory_tokens - 2_500
    rng = FixedDraws(0.99)
    lacks = urgent_elsewhere(fleet, waiting, need)
    queue, engines, _ = make_queue(fleet, lambda server_id: "r", lacks=lacks, rng=rng)
    peak_tokens = 160 + need // 2
    # The held stream came while few urgent ones waited, and may still start in time.
    queue._refuse_if_hopeless, refuse_if_hopeless = (
        lambda _entry: None,
        queue._refuse_if_hopeless,
    )
    held = gevent.spawn(queue.acquire, long_job(fleet), ANY_VERSION, peak_tokens, [])
    gevent.sleep(0)
    queue._refuse_if_hopeless = refuse_if_hopeless
    assert queue.waiting_count == 1
    assert not engines.requests
    rng.value = draw
    job = long_job(fleet)
    call = job.call._replace(expected_tokens=expected_tokens)
    placed = gevent.spawn(
        queue.acquire, job._replace(call=call), ANY_VERSION, peak_tokens, []
    )
    gevent.sleep(0)
    assert placed.ready()
    assert placed.get().reservation == "r"
    held.kill()


def test_a_held_stream_waits_behind_an_earlier_one_that_is_held():
    # Guards against newcomers that overtake held streams of their own kind.
    fleet = busy_fleet(["z1", "z2"])
    need = fleet.catalogue.engine_spec("engine").memory_tokens - 2_500
    lacks = urgent_elsewhere(fleet, peak_tokens=need)
    queue, engines, _ = make_queue(
        fleet, lambda server_id: "r", lacks=lacks, rng=FixedDraws(0.99)
    )
    jobs = [long_job(fleet), long_job(fleet)]
    peaks = [160 + need // 2, 160]
    waiting = []
    for job, peak_tokens in zip(jobs, peaks, strict=True):
        waiting.append(gevent.spawn(queue.acquire, job, ANY_VERSION, peak_tokens, []))
        gevent.sleep(0)
    assert queue.waiting_count == 2
    assert not engines.requests
    gevent.killall(waiting)


def test_held_streams_of_many_accounts_are_logged_once_a_second():
    # Guards against a log line a second for each account.
    fleet = busy_fleet()
    lacks = urgent_elsewhere(fleet)
    queue, _, events = make_queue(fleet, lambda server_id: "r", lacks=lacks)
    for number in range(20):
        key = LackKey("engine", 1, f"account-{number}")
        stream = queue._shortage.waiting_stream(key, 160, 0)
        queue._shortage.record_held(stream, 0.8)
    assert len(events) == 1
    fleet.clock.advance(HELD_LOG_INTERVAL_MS)
    queue._shortage.record_held(stream, 0.8)
    assert [event.held_count for event in events] == [1, 20]


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
