"""Copies of the runs of a leaving engine: their order, and a notice simulated."""

from gypsumfield.decisions.pace import STEP_MS
from gypsumfield.decisions.protection import COPY_RENEWAL_MS
from gypsumfield.decisions.protection import ExposedRun
from gypsumfield.decisions.protection import order_copies
from gypsumfield.decisions.protection import REFUSED_COPY_RETRY_MS

NOTICE_MS = 1_500.0
COPY_MS = 220.0


def exposed_run(name, generated, expected=2_000, copied_ms_ago=None):
    return ExposedRun(name, generated, expected, copied_ms_ago)


def test_runs_with_the_most_generated_tokens_are_copied_first():
    runs = [exposed_run("a", 10), exposed_run("b", 900), exposed_run("c", 400)]
    assert order_copies(runs, NOTICE_MS) == ["b", "c", "a"]


def test_a_run_that_ends_in_time_is_not_copied():
    ending_run = exposed_run("soon", 950, 1_000)
    assert (
        ending_run.expected_tokens - ending_run.generated_tokens
    ) * STEP_MS < NOTICE_MS
    assert order_copies([ending_run, exposed_run("long", 100)], NOTICE_MS) == ["long"]


def test_a_run_that_is_longer_than_predicted_is_copied():
    assert order_copies([exposed_run("a", 1_200, 1_000)], NOTICE_MS) == ["a"]


def test_a_copy_is_renewed_after_a_while():
    recent = [exposed_run("a", 100, copied_ms_ago=COPY_RENEWAL_MS / 2)]
    old = [exposed_run("a", 100, copied_ms_ago=COPY_RENEWAL_MS)]
    assert order_copies(recent, NOTICE_MS) == []
    assert order_copies(old, NOTICE_MS) == ["a"]


def test_a_copy_that_found_no_free_memory_is_retried_after_a_pause():
    refused = exposed_run("a", 100)._replace(refused_ms_ago=REFUSED_COPY_RETRY_MS / 2)
    assert order_copies([refused], NOTICE_MS) == []
    waited = refused._replace(refused_ms_ago=REFUSED_COPY_RETRY_MS)
    assert order_copies([waited], NOTICE_MS) == ["a"]


def simulate_notice(runs, notice_ms):
    """Return the generated tokens that are lost when the engine leaves."""
    saved = set()
    now_ms = 0.0
    while now_ms + COPY_MS <= notice_ms:
        order = order_copies(
            [run for run in runs if run.request_id not in saved], notice_ms
        )
        if not order:
            break
        saved.add(order[0])
        now_ms += COPY_MS
    steps = notice_ms / STEP_MS
    return sum(
        run.generated_tokens
        for run in runs
        if run.request_id not in saved
        and run.expected_tokens - run.generated_tokens > steps
    )


def test_a_notice_loses_less_work_than_without_copies():
    # Eight long runs on one engine, as on quinonez-coco quiet-1 at 14.7 s.
    runs = [exposed_run(f"r{number}", 120 * number, 1_000) for number in range(1, 9)]
    steps = NOTICE_MS / STEP_MS
    lost_without_copies = sum(
        run.generated_tokens
        for run in runs
        if run.expected_tokens - run.generated_tokens > steps
    )
    assert simulate_notice(runs, NOTICE_MS) <= 0.2 * lost_without_copies
