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

PLACED = {"event": "request_placed", "backend_server": "e1", "route": "dossiers"}
BEGUN = {"event": "first_token"}
BROKEN = {"event": "attempt_failed", "stage": "answer_truncated"}
FAILED = {"event": "request_failed", "code": "answer_truncated", "backend_server": "e1"}
BACKUP = {"event": "copy_chosen", "target": "e2"}
COPIED = {"event": "run_copied", "target": "e2"}
NOT_COPIED = {"event": "run_copied", "target": "e2", "reason": "503"}
UNREACHABLE = {"event": "engine_unreachable", "backend_server": "e1", "request_id": ""}


def refused(code, status=503):
    return {"event": "request_refused", "code": code, "status": status}


def read_lines(events, request_id="r1"):
    for number, event in enumerate(events):
        full = {
            "host_id": "h1",
            "request_id": request_id,
            "wall_ms": 1_000.0 + number,
            "monotonic_ms": float(number),
            "line": number,
            **event,
        }
        raw = json.dumps(full).encode()
        yield ParsedLine(decode_fields(raw), raw)


@pytest.mark.parametrize(
    ("events", "cause"),
    [
        ([PLACED, BEGUN, {"event": "request_completed", "longest_gap_ms": 179.0}], ""),
        ([PLACED, {"event": "request_completed", "longest_gap_ms": 181.0}], LONG_GAP),
        ([PLACED, {"event": "request_completed", "status": 500}], RUN_FAILED),
        ([refused("engines_full")], NO_CAPACITY),
        ([refused("unknown_key", 401)], "refused: unknown_key"),
        ([PLACED, BROKEN, refused("timeout", 504)], DEADLINE_EXCEEDED),
        ([PLACED, BEGUN, BROKEN, FAILED], WITHOUT_COPY),
        ([PLACED, NOT_COPIED, BEGUN, BROKEN, FAILED], WITHOUT_COPY),
        ([PLACED, BACKUP, BEGUN, BROKEN, FAILED], COPY_FAILED),
        ([PLACED, BEGUN, COPIED, BROKEN, FAILED], COPY_FAILED),
        ([PLACED, BEGUN, UNREACHABLE, BROKEN, FAILED], PARTITIONED),
        ([PLACED, BEGUN, UNREACHABLE, {"event": "caller_gone"}], PARTITIONED),
        ([PLACED, BEGUN, {"event": "caller_gone"}], CALLER_DISCONNECTED),
        ([PLACED, BEGUN], HOST_STOPPED),
    ],
)
def test_a_request_is_lost_for_the_cause_that_its_log_shows(events, cause):
    counter = LossCounter(180.0, {"dossiers": 130.0})
    counter.read(read_lines(events))
    losses = counter.losses()
    assert [loss.cause for loss in losses] == ([cause] if cause else [])
    if PLACED in events and cause:
        assert (losses[0].worth, losses[0].example) == (130.0, "r1")


def test_the_dearest_cause_comes_first_in_every_form():
    counter = LossCounter(180.0, {"dossiers": 130.0})
    for number in range(3):
        counter.read(read_lines([refused("engines_full")], f"a{number}"))
    counter.read(read_lines([PLACED, BEGUN, BROKEN, FAILED], "b"))
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
                counter.read(read_lines([PLACED, BEGUN], f"r{log}-{number}"))
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    # 5,000 stories that were kept would take over 1 MB.
    assert peak_bytes < 524_288
    assert counter.losses()[0].request_count == 5_000


def test_events_of_another_type_are_passed_over():
    counter = LossCounter(180.0, {})
    counter.read(read_lines([{"event": "request_placed", "route": 7}, PLACED]))
    assert [loss.cause for loss in counter.losses()] == [HOST_STOPPED]
