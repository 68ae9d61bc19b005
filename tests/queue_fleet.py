"""A queue of streams over a fleet of engines that a test controls."""

import contextlib
import random

import gevent
import pytest

from gypsumfield.aborts import AbortHandle
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.memory_shares import HostPlace
from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.calls import CallHeaders
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.scheduling import LackRecords
from gypsumfield.gateway.scheduling import Shortage
from gypsumfield.gateway.scheduling import ShortageDependencies
from gypsumfield.gateway.scheduling import WireLack
from gypsumfield.gateway.stream_queue import StreamQueue
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


def refused_after(queue, job, fleet):
    with running_clock(fleet), pytest.raises(RefusedError) as caught:
        queue.acquire(job, ANY_VERSION, 160, [])
    return caught.value.refusal.retry_after_ms


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
