import random

import gevent
import pytest

from gypsumfield.aborts import AbortHandle
from gypsumfield.access import Identity
from gypsumfield.clock import system_clock
from gypsumfield.configuration import EMPTY_CONFIGURATION
from gypsumfield.configuration import Profile
from gypsumfield.configuration import Service
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.dispatch import DispatchDependencies
from gypsumfield.dispatch import Dispatcher
from gypsumfield.dispatch import UNUSED
from gypsumfield.exceptions import CallerGoneError
from gypsumfield.exceptions import RefusedError
from gypsumfield.interfaces import discard_event
from gypsumfield.interfaces import SlotAllocator
from gypsumfield.interfaces import SlotLease
from gypsumfield.interfaces import SlotRefusal
from gypsumfield.jobs import Job
from gypsumfield.platform_api import Member

ENGINE = Member("engine-0", "backend", "manta", "127.0.0.1:1")
FULL = SlotRefusal("full", 50.0)
HELD_BACK = SlotRefusal("full", 50.0, is_account_held_back=True)


class OneEngine:
    """Chooser and slots of one engine; grants to the accounts it is told."""

    def __init__(self) -> None:
        self.granted: set[str] = set()
        self.refusal = FULL
        self.released = 0

    def rank(self, _demand, tried, _digests):
        return [] if ENGINE.host_id in tried else [ENGINE]

    def acquire(self, backend, demand):
        if demand.account in self.granted:
            return SlotLease(demand.request_id, backend, "", "entry-0")
        return self.refusal

    def release(self, _lease, _use):
        self.released += 1

    def note_sent(self, *_):
        return None

    note_ended = note_sent


@pytest.fixture
def engine():
    return OneEngine()


@pytest.fixture
def dispatcher(engine):
    slots = SlotAllocator(engine.acquire, lambda *_: None, engine.release)
    return Dispatcher(
        DispatchDependencies(
            clock=system_clock(),
            configuration=lambda: EMPTY_CONFIGURATION,
            selector=engine,
            slots=slots,
            expected_tokens=lambda _demand: 10.0,
            record_queue_wait=lambda *_: None,
            emit=discard_event,
        )
    )


def job_of(account: str, wait_ms: float = 20_000.0, queue_limit: int = 8) -> Job:
    request_id = f"{account}-{random.Random(account).random()}"
    profile = Profile(queue_wait_limit_ms=wait_ms, queue_limit=queue_limit)
    return Job(
        request_id=request_id,
        identity=Identity(account, ""),
        service_name="assistant",
        service=Service("model", "briefing"),
        profile=profile,
        demand=GenerationDemand(request_id, "assistant", "briefing", account, 1, 9),
        is_idempotent=True,
        started_ms=system_clock().monotonic_ms(),
        abort=AbortHandle(),
    )


def place_later(dispatcher, job):
    greenlet = gevent.spawn(dispatcher.place, job, frozenset())
    gevent.sleep(0.02)
    return greenlet


def test_an_account_that_crowds_an_engine_is_passed_by(dispatcher, engine):
    engine.refusal = HELD_BACK
    crowding = place_later(dispatcher, job_of("large"))
    other = place_later(dispatcher, job_of("small"))
    engine.granted = {"small"}
    assert other.get(timeout=20).backend is ENGINE
    assert not crowding.ready()
    engine.granted = {"large"}
    assert crowding.get(timeout=20).backend is ENGINE


def test_a_full_engine_is_waited_for_in_order(dispatcher, engine):
    first = place_later(dispatcher, job_of("large"))
    second = place_later(dispatcher, job_of("small"))
    engine.granted = {"small"}
    gevent.sleep(0.1)
    assert not second.ready()
    engine.granted = {"small", "large"}
    gevent.joinall([first, second], timeout=20)
    assert first.successful()
    assert second.successful()


def test_a_wait_that_is_over_gets_its_final_answer_with_the_reason(dispatcher):
    with pytest.raises(RefusedError) as caught:
        dispatcher.place(job_of("large", wait_ms=60.0), frozenset())
    refusal = caught.value.refusal
    assert (refusal.status, refusal.code) == (503, "wait_expired")
    assert "full" in refusal.message
    assert refusal.retry_after_ms > 0
    assert dispatcher.queue_length == 0


def test_a_caller_that_leaves_frees_its_place(dispatcher):
    job = job_of("large")
    waiting = place_later(dispatcher, job)
    job.abort.abort("the caller has left")
    with pytest.raises(CallerGoneError):
        waiting.get(timeout=20)
    assert dispatcher.queue_length == 0


def test_a_tried_backend_server_is_not_waited_for(dispatcher):
    with pytest.raises(RefusedError) as caught:
        dispatcher.place(job_of("large"), frozenset({ENGINE.host_id}))
    assert caught.value.refusal.code == "no_backend_server"


def test_a_placement_is_released_once(dispatcher, engine):
    engine.granted = {"small"}
    job = job_of("small")
    dispatcher.release(job, dispatcher.place(job, frozenset()), UNUSED)
    assert engine.released == 1
