import json
import tracemalloc

import pytest

from gypsumfield.timeline.losses import CALLER_DISCONNECTED
from gypsumfield.timeline.losses import COPY_FAILED
from gypsumfield.timeline.losses import DEADLINE_EXCEEDED
from gypsumfield.timeline.losses import draw_losses
from gypsumfield.timeline.losses import encode_losses
from gypsumfield.timeline.losses import HOST_STOPPED
from gypsumfield.timeline.losses import LONG_GAP
from gypsumfield.timeline.losses import LossCounter
from gypsumfield.timeline.losses import NO_CAPACITY
from gypsumfield.timeline.losses import PARTITIONED
from gypsumfield.timeline.losses import RUN_FAILED
from gypsumfield.timeline.losses import WITHOUT_COPY
from gypsumfield.timeline.records import decode_fields
from gypsumfield.timeline.records import ParsedLine

REQUEST_PLACED = {
    "event": "request_placed",
    "backend_server": "e1",
    "route": "dossiers",
}
FIRST_TOKEN = {"event": "first_token"}
ATTEMPT_FAILED = {"event": "attempt_failed", "stage": "answer_truncated"}
REQUEST_FAILED = {
    "event": "request_failed",
    "code": "answer_truncated",
    "backend_server": "e1",
}
COPY_CHOSEN = {"event": "copy_chosen", "target": "e2"}
RUN_COPIED = {"event": "run_copied", "target": "e2"}
COPY_REFUSED = {"event": "run_copied", "target": "e2", "reason": "503"}
ENGINE_UNREACHABLE = {
    "event": "engine_unreachable",
    "backend_server": "e1",
    "request_id": "",
}


def refusal(code, status=503):
    return {"event": "request_refused", "code": code, "status": status}


def read_lines(events, request_id="r1"):
    for number, event in enumerate(events):
        fields = {
            "host_id": "h1",
            "request_id": request_id,
            "wall_ms": 1_000.0 + number,
            "monotonic_ms": float(number),
            "line": number,
            **event,
        }
        raw = json.dumps(fields).encode()
        yield ParsedLine(decode_fields(raw), raw)


@pytest.mark.parametrize(
    ("events", "cause"),
    [
        (
            [
                REQUEST_PLACED,
                FIRST_TOKEN,
                {"event": "request_completed", "longest_gap_ms": 179.0},
            ],
            "",
        ),
        (
            [REQUEST_PLACED, {"event": "request_completed", "longest_gap_ms": 181.0}],
            LONG_GAP,
        ),
        ([REQUEST_PLACED, {"event": "request_completed", "status": 500}], RUN_FAILED),
        ([refusal("engines_full")], NO_CAPACITY),
        ([refusal("unknown_key", 401)], "refused: unknown_key"),
        ([REQUEST_PLACED, ATTEMPT_FAILED, refusal("timeout", 504)], DEADLINE_EXCEEDED),
        ([REQUEST_PLACED, FIRST_TOKEN, ATTEMPT_FAILED, REQUEST_FAILED], WITHOUT_COPY),
        (
            [REQUEST_PLACED, COPY_REFUSED, FIRST_TOKEN, ATTEMPT_FAILED, REQUEST_FAILED],
            WITHOUT_COPY,
        ),
        (
            [REQUEST_PLACED, COPY_CHOSEN, FIRST_TOKEN, ATTEMPT_FAILED, REQUEST_FAILED],
            COPY_FAILED,
        ),
        (
            [REQUEST_PLACED, FIRST_TOKEN, RUN_COPIED, ATTEMPT_FAILED, REQUEST_FAILED],
            COPY_FAILED,
        ),
        (
            [
                REQUEST_PLACED,
                FIRST_TOKEN,
                ENGINE_UNREACHABLE,
                ATTEMPT_FAILED,
                REQUEST_FAILED,
            ],
            PARTITIONED,
        ),
        (
            [REQUEST_PLACED, FIRST_TOKEN, ENGINE_UNREACHABLE, {"event": "caller_gone"}],
            PARTITIONED,
        ),
        ([REQUEST_PLACED, FIRST_TOKEN, {"event": "caller_gone"}], CALLER_DISCONNECTED),
        ([REQUEST_PLACED, FIRST_TOKEN], HOST_STOPPED),
    ],
)
def test_loss_is_attributed_to_the_cause_in_the_log(events, cause):
    counter = LossCounter(180.0, {"dossiers": 130.0})
    counter.read(read_lines(events))
    losses = counter.losses()
    assert [loss.cause for loss in losses] == ([cause] if cause else [])
    if REQUEST_PLACED in events and cause:
        assert (losses[0].worth, losses[0].example) == (130.0, "r1")


def test_causes_are_sorted_by_worth_in_json_and_svg():
    counter = LossCounter(180.0, {"dossiers": 130.0})
    for number in range(3):
        counter.read(read_lines([refusal("engines_full")], f"a{number}"))
    counter.read(
        read_lines([REQUEST_PLACED, FIRST_TOKEN, ATTEMPT_FAILED, REQUEST_FAILED], "b")
    )
    losses = counter.losses()
    assert [(loss.cause, loss.request_count) for loss in losses] == [
        (WITHOUT_COPY, 1),
        (NO_CAPACITY, 3),
    ]
    assert json.loads(encode_losses(losses))[0]["example"] == "b"
    assert draw_losses(losses).index(WITHOUT_COPY) < draw_losses(losses).index(
        NO_CAPACITY
    )


def test_memory_does_not_grow_with_the_logs_of_many_hosts():
    counter = LossCounter(180.0, {})
    tracemalloc.start()
    try:
        for log in range(200):
            for number in range(25):
                counter.read(
                    read_lines([REQUEST_PLACED, FIRST_TOKEN], f"r{log}-{number}")
                )
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    # The retained states of 5,000 requests would take over 1 MB.
    assert peak_bytes < 524_288
    assert counter.losses()[0].request_count == 5_000


def test_lines_with_a_field_of_another_type_are_skipped():
    counter = LossCounter(180.0, {})
    counter.read(read_lines([{"event": "request_placed", "route": 7}, REQUEST_PLACED]))
    assert [loss.cause for loss in counter.losses()] == [HOST_STOPPED]
