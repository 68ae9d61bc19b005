"""Stateful fuzzing of streams and of plain calls under faults.

Each stream must deliver the first tokens of one generation, and end either complete
or with an explicit error. Each call must have run once, not at all, or at most once,
as its answer says.
"""

from typing import Any

import gevent
import msgspec
import pytest
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test

from gypsumfield.standins.faults import Fault
from gypsumfield.standins.faults import FaultSet
from httpcalls import Answer
from httpcalls import call
from small_fleet import bearer
from small_fleet import complete
from small_fleet import small_fleet
from small_fleet import SmallFleet
from small_fleet import stream_events
from small_fleet import wait_for

SETTINGS = settings(
    max_examples=25,
    stateful_step_count=10,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
STEPS = (
    "connected",
    "headers-sent",
    "body-sent",
    "first-byte",
    "mid-stream",
    "end-marker",
    "pool-return",
)
# A stall is detected only after its timeout, so most faults are crashes, which are
# detected at once.
KINDS = ("crash", "crash", "crash", "stall", "partition")
LIMITS = {"stall_timeout_ms": 150, "retry_budget_ratio": 1.0, "deadline_ms": 5_000}


@pytest.fixture(scope="module")
def fleet():
    with small_fleet(entry_count=2) as running:
        for engine in running.engines:
            engine.settings = msgspec.structs.replace(
                engine.settings, is_text_marked=True
            )
        running.publish("profiles/briefing", LIMITS)
        running.publish_and_wait("profiles/ledger", LIMITS)
        yield running


def run_machine(machine: type[RuleBasedStateMachine], fleet: SmallFleet) -> None:
    machine.fleet = fleet  # type: ignore[attr-defined]
    run_state_machine_as_test(machine, settings=SETTINGS)


class CallMachine(RuleBasedStateMachine):
    """Plain calls under faults.

    The runs that the ledgers count are compared with the bounds of each answer.
    """

    fleet: SmallFleet

    def __init__(self) -> None:
        super().__init__()
        self.bounds: dict[str, tuple[int, int]] = {}

    @rule(
        kind=st.sampled_from(KINDS),
        step=st.sampled_from(STEPS),
        position=st.integers(0, 1),
        count=st.integers(1, 2),
        has_run=st.booleans(),
        has_reset=st.booleans(),
    )
    def arm(self, kind, step, position, count, has_run, has_reset):
        fault = Fault(kind, step, count, has_run=has_run, has_reset=has_reset)
        self.fleet.ledgers[position].server.arm((fault,))

    @rule(position=st.integers(0, 1))
    def cross_the_next_answer(self, position):
        self.fleet.ledgers[position].apply_faults(FaultSet(crossed_answer_count=1))

    @rule(host=st.integers(0, 1))
    def sell(self, host):
        sale = {"cart": "c1", "amount": 1}
        self.request(host, "POST", "/sales", sale)

    @rule(host=st.integers(0, 1), method=st.sampled_from(["PUT", "DELETE"]))
    def change_note(self, host, method):
        body = {"text": "x"} if method == "PUT" else b""
        self.request(host, method, "/notes/a", body)

    @rule(host=st.integers(0, 1))
    def read_balance(self, host):
        url = f"{self.fleet.urls[host]}/services/ledger/balances/c5"
        answer = call("GET", url, headers=bearer())
        if answer.status == 200:
            assert answer.json == {"cart": "c5", "balance": 0}
        else:
            assert "error" in answer.json

    def request(self, host: int, method: str, path: str, body: Any) -> None:
        url = f"{self.fleet.urls[host]}/services/ledger{path}"
        answer = call(method, url, body, bearer())
        self.bounds[answer.headers["x-request-id"]] = bounds_of(answer)

    @invariant()
    def every_call_ran_as_its_answer_says(self):
        ran = [name for ledger in self.fleet.ledgers for name in ledger.request_ids]
        for request_id, (least, most) in self.bounds.items():
            assert least <= ran.count(request_id) <= most

    def teardown(self) -> None:
        for ledger in self.fleet.ledgers:
            ledger.apply_faults(FaultSet())
        # Requests delayed by a stall or a partition arrive only now.
        gevent.sleep(0.02)
        self.every_call_ran_as_its_answer_says()


def bounds_of(answer: Answer) -> tuple[int, int]:
    """Return how often a call may have run at least and at most."""
    if answer.status in (200, 201):
        return 1, 1
    run = answer.json["error"]["run"]
    return {"not-run": (0, 0), "may-have-run": (0, 1), "ran": (1, 1)}[run]


class StreamMachine(RuleBasedStateMachine):
    """Streams under faults, with resumes from any event on any host."""

    fleet: SmallFleet

    def __init__(self) -> None:
        super().__init__()
        self.cursors: list[tuple[str, int, str, int]] = []

    @rule(
        kind=st.sampled_from(KINDS),
        step=st.sampled_from(STEPS),
        position=st.integers(0, 1),
        is_fatal=st.booleans(),
        has_reset=st.booleans(),
    )
    def arm(self, kind, step, position, is_fatal, has_reset):
        fault = Fault(
            kind,
            step,
            is_fatal=is_fatal,
            has_reset=has_reset,
            path_prefix="/v1/generations",
        )
        if step == "connected":
            fault = msgspec.structs.replace(fault, path_prefix="")
        self.fleet.engines[position].server.arm((fault,))

    @rule(
        position=st.integers(0, 1),
        duplicates=st.integers(0, 3),
        gaps=st.integers(0, 2),
        early_ends=st.integers(0, 5),
        crossed=st.integers(0, 1),
    )
    def spoil_events(self, position, duplicates, gaps, early_ends, crossed):
        order = FaultSet(
            duplicate_event_count=duplicates,
            gap_event_count=gaps,
            early_end_count=early_ends,
            crossed_answer_count=crossed,
        )
        self.fleet.engines[position].apply_faults(order)

    @rule(position=st.integers(0, 1))
    def restart(self, position):
        self.fleet.engines[position].restart()

    @rule(host=st.integers(0, 1), tokens=st.integers(1, 30))
    def stream(self, host, tokens):
        prompt = f"briefing [tokens={tokens}]"
        answer = complete(self.fleet.urls[host], prompt, stream=True)
        if answer.status != 200:
            assert answer.json["error"]["run"] in ("not-run", "may-have-run")
            return
        self.check(answer, "", 0, tokens)

    @precondition(lambda self: self.cursors)
    @rule(host=st.integers(0, 1), choice=st.integers(0, 10_000))
    def resume(self, host, choice):
        cursor, sequence, name, tokens = self.cursors[choice % len(self.cursors)]
        headers = bearer() | {"Last-Event-ID": cursor}
        url = f"{self.fleet.urls[host]}/v1/generations/resume"
        answer = call("GET", url, headers=headers)
        if answer.status != 200:
            assert answer.json["error"]["run"] == "may-have-run"
            return
        self.check(answer, name, sequence, tokens)

    def check(self, answer: Answer, name: str, after: int, tokens: int) -> None:
        """Check a stream that begins after event `after`, and store its cursors."""
        events = stream_events(answer.body)
        assert events[-1].data == "[DONE]" or events[-1].kind == "error"
        is_whole = events[-1].data == "[DONE]"
        relayed = events[:-1]
        for sequence, event in enumerate(relayed, after + 1):
            if event.choice["finish_reason"] is not None:
                assert (event.text, sequence) == ("", tokens + 1)
                continue
            name = name or event.text.partition(":")[0]
            assert event.text == f"{name}:w{sequence} "
            self.cursors.append((event.cursor, sequence, name, tokens))
        if is_whole:
            assert after + len(relayed) == tokens + 1

    def teardown(self) -> None:
        for engine in self.fleet.engines:
            engine.apply_faults(FaultSet())
        runs = self.fleet.engine_runs()
        assert all(run["start_count"] == 1 for run in runs.values())
        wait_for(lambda: all(engine.model.is_idle for engine in self.fleet.engines))


def test_calls_run_as_often_as_their_answers_say(fleet):
    run_machine(CallMachine, fleet)


def test_streams_are_the_first_tokens_of_one_generation(fleet):
    run_machine(StreamMachine, fleet)
