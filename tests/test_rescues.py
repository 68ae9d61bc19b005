"""Copies of runs on a leaving engine when targets refuse them or do not answer."""

import json
from types import SimpleNamespace

import gevent
import pytest

from gypsumfield.decisions.rescue_targets import MAX_COPY_TARGETS
from gypsumfield.decisions.rescue_targets import MIN_COPY_TARGETS
from gypsumfield.decisions.software_versions import begun_at
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.calls import CopyResult
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.protection import MAX_PARALLEL_COPIES
from gypsumfield.gateway.protection import ProtectionDependencies
from gypsumfield.gateway.protection import Protector
from gypsumfield.gateway.published_items import StoreItem
from gypsumfield.gateway.run_copies import CopyDependencies
from gypsumfield.gateway.run_copies import RunCopies
from gypsumfield.verdicts import RunVerdict
from placing_fleet import Fleet

NOTICE_MS = 1_500.0
SOURCE = "e1"


class LeavingEngine(Fleet):
    """Engine ``e1`` leaves, with streams of this host; ``answer`` decides on copies.

    Attributes:
        calls: Request id and target of each copy, in the order of their start.
        running: Copies in progress, and the most at one time.
    """

    def __init__(self, generated_tokens):
        self.events = []
        super().__init__(["z1"] * 9, events=self.events.append, is_large=True)
        self.calls = []
        self.running = self.most_running = 0
        self.answer = lambda target: 200
        self.streams = [
            self.stream(f"r{tokens}", tokens) for tokens in generated_tokens
        ]
        registry = SimpleNamespace(
            server_ids=lambda: {SOURCE},
            on_server=lambda server_id: [
                stream
                for stream in self.streams
                if stream.server.server_id == server_id
            ],
        )
        self.protector = Protector(
            ProtectionDependencies(
                registry=registry,
                catalogue=self.catalogue,
                placer=self.placer,
                ledger=self.ledger,
                notices=self.notices,
                permits=SimpleNamespace(acquire=lambda *_: True),
                copy_run=self.copy_run,
                can_connect=lambda _address: True,
                refuses_connections=lambda _address: False,
                can_move=lambda _service: True,
                clock=self.clock.as_clock(),
                emit=self.events.append,
            )
        )

    def stream(self, request_id, generated_tokens):
        job = SimpleNamespace(
            request_id=request_id,
            account_name="a",
            service="engine",
            expected_tokens=2_000,
        )
        deps = CopyDependencies(
            self.placer, self.ledger, lambda _service: True, self.events.append
        )
        run = Run(SOURCE, 3_000, 2_000)
        run.generated_tokens = generated_tokens
        return SimpleNamespace(
            job=job,
            run=run,
            server=self.server(SOURCE),
            event_count=generated_tokens,
            generated_tokens=generated_tokens,
            can_resume_elsewhere=False,
            version=SimpleNamespace(requirement=begun_at("v1")),
            copies=RunCopies(deps, job),
        )

    def copy_run(self, _source, request_id, target, _timeout_ms):
        self.calls.append((request_id, target))
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        gevent.sleep(0)
        self.running -= 1
        status = self.answer(target)
        if status is None:
            raise BackendError("no answer", RunVerdict.MAY_HAVE_RUN)
        return CopyResult(status == 200, "copy", 1, status)

    def leave(self):
        self.catalogue.mark_leaving(SOURCE, "test")
        self.check()

    def check(self):
        self.protector.check_leaving_engines()
        while not self.protector.is_idle:
            gevent.sleep(0)

    def targets(self):
        return [target for _, target in self.calls]

    def register(self, server_id, number, revision, **changes):
        registration = {
            "service": "engine",
            "address": f"10.0.0.{number}:80",
            "zone": "z1",
            "version": "v1",
            "state": "ready",
            "slot_count": 8,
            "cold_remaining_ms": 0,
        }
        data = json.dumps(registration | changes).encode()
        item = StoreItem(f"servers/{server_id}", revision, data)
        self.catalogue.apply([item], revision, "test")


@pytest.mark.parametrize("status", [503, None], ids=["refused", "no_answer"])
def test_a_copy_that_fails_is_sent_to_further_engines_within_the_notice(status):
    # Guards against runs lost after two refusals while other engines had room.
    fleet = LeavingEngine([500])
    fleet.answer = lambda target: 200 if len(fleet.calls) == 4 else status
    fleet.leave()
    assert len(set(fleet.targets())) == 4
    copy = fleet.streams[0].copies.on_demand_copy
    assert copy.server.address == fleet.targets()[-1]
    # Targets that refused hold no memory in the ledger.
    assert set(fleet.ledger.own_loads()) == {copy.server.server_id}


def test_the_number_of_targets_is_bounded_and_fewer_are_tried_after_the_notice():
    fleet = LeavingEngine([500])
    fleet.answer = lambda _target: 503
    fleet.leave()
    assert len(fleet.calls) == MAX_COPY_TARGETS
    fleet.clock.advance(NOTICE_MS + 1.0)
    fleet.calls.clear()
    fleet.check()
    assert len(fleet.calls) == MIN_COPY_TARGETS
    assert fleet.ledger.own_loads() == {}


def test_a_copy_of_a_run_that_has_ended_tries_no_further_engine():
    fleet = LeavingEngine([500])
    fleet.answer = lambda _target: 404
    fleet.leave()
    assert len(fleet.calls) == 1


def test_the_longest_runs_are_copied_first_a_few_at_once_to_different_engines():
    fleet = LeavingEngine([100, 900, 500, 300])
    fleet.leave()
    assert [name for name, _ in fleet.calls] == ["r900", "r500", "r300", "r100"]
    assert fleet.most_running == MAX_PARALLEL_COPIES
    assert len(set(fleet.targets())) == 4


def test_an_engine_that_refused_a_copy_is_tried_last_for_the_next_run():
    fleet = LeavingEngine([900])
    fleet.answer = lambda _target: 503 if len(fleet.calls) <= 3 else 200
    fleet.leave()
    refusing = set(fleet.targets()[:3])
    for _ in range(20):
        fleet.streams.append(fleet.stream(f"r{len(fleet.calls)}", 400))
    fleet.calls.clear()
    fleet.answer = lambda _target: 200
    fleet.check()
    assert len(fleet.calls) == 20
    assert not refusing & set(fleet.targets())


def test_an_engine_that_leaves_again_after_a_restart_is_announced_again():
    fleet = LeavingEngine([500])
    fleet.leave()
    fleet.register(SOURCE, 1, 20, born=5_000, state="draining")
    fleet.check()
    fleet.check()
    starts = [e for e in fleet.events if type(e).__name__ == "EngineLeaves"]
    assert len(starts) == 2


@pytest.mark.parametrize("call_count", [1, MAX_COPY_TARGETS])
def test_a_refused_copy_of_a_stream_that_has_moved_tries_no_further_engine(call_count):
    # Guards against memory taken at further targets, and a retry pause at the new
    # engine, for a stream that has left the source.
    fleet = LeavingEngine([500])
    stream = fleet.streams[0]

    def move(_target):
        if len(fleet.calls) == call_count:
            stream.server = fleet.server("e2")
        return 503

    fleet.answer = move
    fleet.leave()
    assert len(fleet.calls) == call_count
    assert fleet.ledger.own_loads() == {}
    assert not stream.copies.refused_at_ms
    reasons = [e.reason for e in fleet.events if type(e).__name__ == "RunCopied"]
    assert reasons == ["the engine answered with status 503"] * call_count


def test_announcements_of_servers_that_the_catalogue_removed_are_forgotten():
    # Guards against one entry for each engine that ever left, for a host's lifetime.
    fleet = LeavingEngine([500])
    fleet.leave()
    assert set(fleet.protector._leaving) == {SOURCE}
    fleet.streams.clear()
    fleet.catalogue.apply([StoreItem(f"servers/{SOURCE}", 20, None)], 20, "test")
    fleet.check()
    assert set(fleet.protector._leaving) == {SOURCE}
    fleet.clock.advance(1_001.0)
    fleet.catalogue.remove_expired(1_000.0)
    assert fleet.catalogue.find_server(SOURCE) is None
    fleet.check()
    assert not fleet.protector._leaving
