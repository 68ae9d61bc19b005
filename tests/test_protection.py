"""Copies of runs on leaving engines, played in virtual time."""

from gypsumfield.decisions.pace import STEP_MS
from gypsumfield.decisions.protection import COPY_RENEWAL_MS
from gypsumfield.decisions.protection import ExposedRun
from gypsumfield.decisions.protection import order_copies
from gypsumfield.decisions.protection import REFUSED_COPY_RETRY_MS

NOTICE_MS = 1_500.0
COPY_MS = 220.0


def run(name, generated, expected=2_000, copied_ms_ago=None):
    return ExposedRun(name, generated, expected, copied_ms_ago)


def test_runs_with_the_most_work_go_first():
    runs = [run("a", 10), run("b", 900), run("c", 400)]
    assert order_copies(runs, NOTICE_MS) == ["b", "c", "a"]


def test_a_run_that_ends_in_time_is_left_alone():
    soon = run("soon", 950, 1_000)
    assert (soon.expected_tokens - soon.generated_tokens) * STEP_MS < NOTICE_MS
    assert order_copies([soon, run("long", 100)], NOTICE_MS) == ["long"]


def test_a_run_that_outlived_its_prediction_is_copied():
    assert order_copies([run("a", 1_200, 1_000)], NOTICE_MS) == ["a"]


def test_a_copy_is_renewed_after_a_while():
    young = [run("a", 100, copied_ms_ago=COPY_RENEWAL_MS / 2)]
    old = [run("a", 100, copied_ms_ago=COPY_RENEWAL_MS)]
    assert order_copies(young, NOTICE_MS) == []
    assert order_copies(old, NOTICE_MS) == ["a"]


def test_a_copy_without_room_is_tried_again_after_a_pause():
    refused = run("a", 100)._replace(refused_ms_ago=REFUSED_COPY_RETRY_MS / 2)
    assert order_copies([refused], NOTICE_MS) == []
    waited = refused._replace(refused_ms_ago=REFUSED_COPY_RETRY_MS)
    assert order_copies([waited], NOTICE_MS) == ["a"]


def play_notice(runs, notice_ms):
    """Return the tokens that are lost when the engine is gone."""
    saved = set()
    now_ms = 0.0
    while now_ms + COPY_MS <= notice_ms:
        order = order_copies(
            [each for each in runs if each.request_id not in saved], notice_ms
        )
        if not order:
            break
        saved.add(order[0])
        now_ms += COPY_MS
    steps = notice_ms / STEP_MS
    return sum(
        each.generated_tokens
        for each in runs
        if each.request_id not in saved
        and each.expected_tokens - each.generated_tokens > steps
    )


def test_a_notice_loses_less_work_than_without_copies():
    # Eight write-ups on one engine, as on quinonez-coco quiet-1 at 14.7 s.
    runs = [run(f"r{number}", 120 * number, 1_000) for number in range(1, 9)]
    steps = NOTICE_MS / STEP_MS
    without = sum(
        each.generated_tokens
        for each in runs
        if each.expected_tokens - each.generated_tokens > steps
    )
    assert play_notice(runs, NOTICE_MS) <= 0.2 * without
