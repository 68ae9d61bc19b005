"""Each fault at each step of a call, checked against the runs that took place.

A cell arms one fault at one step, either for the first attempt only or on all
backend servers, makes one call, and compares the caller's answer with the runs
that the stand-ins counted, including late ones.
"""

import json
from typing import Any
from typing import get_args
from typing import NamedTuple

import gevent
import msgspec
import pytest

from gypsumfield.engine_api import REQUEST_ID_HEADER
from gypsumfield.standins.engine_model import EngineModelSettings
from gypsumfield.standins.faults import Fault
from gypsumfield.standins.faults import FaultKind
from gypsumfield.standins.faults import FaultStep
from gypsumfield.standins.faults import UNLIMITED_COUNT
from httpcalls import call
from request_garbage import collected_types
from small_fleet import bearer
from small_fleet import complete
from small_fleet import small_fleet
from small_fleet import stream_events
from small_fleet import wait_for

KINDS = get_args(FaultKind)
STEPS = get_args(FaultStep)
CALLS = ("model-stream", "model-whole", "plain-idempotent", "plain-once")
SPREADS = ("one", "all")

TOKEN_COUNT = 40
UNCOUNTED_STEPS = ("before-connect", "connected")
BEFORE_FIRST_TOKEN = ("before-connect", "connected", "headers-sent", "body-sent")
LATE_RUN_WAIT_S = 0.05

WHOLE = "whole"
NOT_RUN = "not-run"
MAY_HAVE_RUN = "may-have-run"


class Outcome(NamedTuple):
    kind: str
    request_id: str
    generation_id: str = ""


class Cell(NamedTuple):
    kind: str
    step: str
    call: str
    spread: str


CELLS = [
    Cell(kind, step, name, spread)
    for kind in KINDS
    for step in STEPS
    for name in CALLS
    for spread in SPREADS
]


def expected_outcomes(cell: Cell) -> set[str]:
    if cell.step == "pool-return":
        return {WHOLE}
    if cell.step == "before-connect" and cell.kind != "stall":
        return {WHOLE} if cell.spread == "one" else {NOT_RUN}
    if cell.call.startswith("plain"):
        is_retried = cell.call == "plain-idempotent" and cell.spread == "one"
        return {WHOLE} if is_retried else {MAY_HAVE_RUN}
    if cell.step in BEFORE_FIRST_TOKEN:
        return {WHOLE} if cell.spread == "one" else {MAY_HAVE_RUN}
    return expected_after_first_token(cell)


def expected_after_first_token(cell: Cell) -> set[str]:
    if cell.kind == "crash":
        if cell.call == "model-whole":
            return {WHOLE} if cell.spread == "one" else {MAY_HAVE_RUN}
        # A reset may arrive before the first events; the request is then retried.
        can_be_retried = cell.spread == "one" and cell.step != "end-marker"
        return {MAY_HAVE_RUN, WHOLE} if can_be_retried else {MAY_HAVE_RUN}
    is_permanent = cell.spread == "all" and cell.step == "end-marker"
    return {MAY_HAVE_RUN} if is_permanent else {WHOLE}


@pytest.fixture(scope="module")
def fleet():
    engine = EngineModelSettings(step_base_ms=2.0)
    with small_fleet(entry_count=2, engine=engine) as running:
        for standin in running.engines:
            standin.settings = msgspec.structs.replace(
                standin.settings, is_text_marked=True
            )
        limits = {"stall_timeout_ms": 300, "retry_budget_ratio": 1.0}
        running.publish("profiles/briefing", limits | {"deadline_ms": 20_000})
        running.publish_and_wait("profiles/ledger", limits | {"deadline_ms": 5_000})
        yield running


@pytest.mark.parametrize("cell", CELLS, ids="-".join)
def test_the_answer_agrees_with_what_ran(fleet, cell):
    standins = fleet.engines if cell.call.startswith("model") else fleet.ledgers
    fault_boards = [standin.server.armed_faults for standin in standins]
    for fault_board in fault_boards:
        fault_board.hits.clear()
    arm(standins, cell)
    outcomes = [make_call(fleet, cell)]
    if cell.step == "pool-return":
        # The fault occurs after the answer, and must not affect the next call.
        wait_for(lambda: any(fault_board.hits for fault_board in fault_boards))
        outcomes.append(make_call(fleet, cell))
    has_hit = any(fault_board.hits for fault_board in fault_boards)
    for standin in standins:
        standin.server.arm(())
    assert has_hit or cell.step in UNCOUNTED_STEPS
    gevent.sleep(LATE_RUN_WAIT_S)
    for outcome in outcomes:
        check_against_runs(fleet, cell, outcome)
        assert outcome.kind in expected_outcomes(cell)


# Guards against the error of a resumption that keeps the request in memory.
@pytest.mark.parametrize("call_name", ["model-stream", "model-whole"])
def test_a_call_that_is_resumed_in_vain_leaves_no_garbage(fleet, call_name):
    cell = Cell("crash", "end-marker", call_name, "all")
    arm(fleet.engines, cell)
    with collected_types() as names:
        make_call(fleet, cell)
        for standin in fleet.engines:
            standin.server.arm(())
        gevent.sleep(LATE_RUN_WAIT_S)
    assert names == set()


def test_every_combination_is_tested():
    assert len(set(CELLS)) == 3 * 8 * 4 * 2
    assert all(expected_outcomes(cell) for cell in CELLS)


def arm(standins: list[Any], cell: Cell) -> None:
    is_first_only = cell.spread == "one"
    if is_first_only and cell.step in UNCOUNTED_STEPS:
        standins = standins[:1]
    count = 1 if is_first_only else 3
    if cell.step in UNCOUNTED_STEPS or (
        not is_first_only and cell.step == "end-marker"
    ):
        count = UNLIMITED_COUNT
    fault = Fault(
        kind=cell.kind,
        step=cell.step,
        count=count,
        is_fatal=cell.kind == "crash",
        path_prefix="/v1/generations" if cell.call.startswith("model") else "",
    )
    if cell.step == "connected":
        fault = msgspec.structs.replace(fault, path_prefix="")
    for standin in standins:
        # An idle connection of an earlier cell would skip the first steps of this one.
        standin.server.drop_connections()
        standin.server.arm((fault,))
        standin.server.armed_faults.on_hit = lambda: None
        if is_first_only and cell.step not in UNCOUNTED_STEPS:
            disarm_others_on_hit(standin, standins)


def disarm_others_on_hit(standin: Any, standins: list[Any]) -> None:
    def disarm() -> None:
        for other in standins:
            if other is not standin:
                other.server.arm(())

    standin.server.armed_faults.on_hit = disarm


def make_call(fleet: Any, cell: Cell) -> Outcome:
    url = fleet.urls[0]
    prompt = f"briefing [tokens={TOKEN_COUNT}]"
    if cell.call == "model-stream":
        return stream_outcome(complete(url, prompt, stream=True))
    if cell.call == "model-whole":
        return buffered_outcome(complete(url, prompt))
    if cell.call == "plain-idempotent":
        answer = call("GET", f"{url}/services/ledger/balances/c9", headers=bearer())
        return plain_outcome(answer, {"cart": "c9", "balance": 0})
    sale = {"cart": "c1", "amount": 1}
    return plain_outcome(call("POST", f"{url}/services/ledger/sales", sale, bearer()))


def stream_outcome(answer: Any) -> Outcome:
    if answer.status != 200:
        return error_outcome(answer)
    request_id = answer.headers[REQUEST_ID_HEADER.lower()]
    events = stream_events(answer.body)
    tokens = [
        event.choice
        for event in events
        if event.kind == "message" and event.data != "[DONE]"
    ]
    is_whole = events[-1].data == "[DONE]"
    text = "".join(choice["text"] for choice in tokens)
    count = len(tokens) - 1 if is_whole else len(tokens)
    generation_id = check_one_generation(text, count)
    if is_whole:
        assert (count, tokens[-1]["finish_reason"]) == (TOKEN_COUNT, "stop")
        return Outcome(WHOLE, request_id, generation_id)
    assert events[-1].kind == "error", (
        "the stream ends without [DONE] and without an error"
    )
    error = json.loads(events[-1].data)["error"]
    assert error["request_id"] == request_id
    return Outcome(MAY_HAVE_RUN, request_id, generation_id)


def buffered_outcome(answer: Any) -> Outcome:
    if answer.status != 200:
        return error_outcome(answer)
    choice = answer.json["choices"][0]
    generation_id = check_one_generation(choice["text"], TOKEN_COUNT)
    return Outcome(WHOLE, answer.headers[REQUEST_ID_HEADER.lower()], generation_id)


def plain_outcome(answer: Any, expected: dict[str, Any] | None = None) -> Outcome:
    if answer.status not in (200, 201):
        return error_outcome(answer)
    assert expected is None or answer.json == expected
    assert expected is not None or answer.json.keys() == {"sale_id", "balance"}
    return Outcome(WHOLE, answer.headers[REQUEST_ID_HEADER.lower()])


def error_outcome(answer: Any) -> Outcome:
    error = answer.json["error"]
    assert answer.status in (502, 503, 504)
    if error["run"] == NOT_RUN:
        assert answer.status == 503
        assert int(answer.headers["retry-after"]) >= 1
        return Outcome(NOT_RUN, error["request_id"])
    return Outcome(MAY_HAVE_RUN, error["request_id"])


def check_one_generation(text: str, count: int) -> str:
    """Check that a text is the first tokens of one generation; return its id."""
    if count == 0:
        assert text == ""
        return ""
    generation_id = text.partition(":")[0]
    assert text == "".join(f"{generation_id}:w{i} " for i in range(1, count + 1))
    return generation_id


def check_against_runs(fleet: Any, cell: Cell, outcome: Outcome) -> None:
    if cell.call.startswith("model"):
        runs = fleet_generations(fleet, outcome.request_id)
        run_count = sum(run["start_count"] for run in runs.values())
        assert all(run["start_count"] == 1 for run in runs.values())
        if outcome.generation_id:
            assert outcome.generation_id in runs
        if outcome.kind == WHOLE:
            assert runs[outcome.generation_id]["state"] == "finished"
        wait_for(lambda: not is_any_running(fleet, outcome.request_id))
    else:
        run_count = sum(
            standin.request_ids.count(outcome.request_id) for standin in fleet.ledgers
        )
    if cell.call == "plain-once":
        assert run_count <= 1
    if outcome.kind == NOT_RUN:
        assert run_count == 0
    if outcome.kind == WHOLE:
        assert run_count >= 1


def fleet_generations(fleet: Any, request_id: str) -> dict[str, Any]:
    return {
        name: run
        for name, run in fleet.engine_runs().items()
        if run["request_id"] == request_id
    }


def is_any_running(fleet: Any, request_id: str) -> bool:
    runs = fleet_generations(fleet, request_id)
    return any(run["state"] == "running" for run in runs.values())
