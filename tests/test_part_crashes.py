"""Tests of the evidence on parts of prompts that crash engines."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gypsumfield.decisions.part_crashes import MAX_RECORDS
from gypsumfield.decisions.part_crashes import PartCrash
from gypsumfield.decisions.part_crashes import PartCrashes
from gypsumfield.decisions.part_crashes import PartRecord
from gypsumfield.decisions.part_crashes import RECORD_LIFETIME_MS
from gypsumfield.decisions.part_crashes import Suspicion
from gypsumfield.decisions.part_crashes import VERDICT_LIFETIME_MS

FIRST, OWN, DEADLY, SOUND, CONTENT = 1, 2, 3, 4, 50


def crash(number, at_ms, was_answering=True):
    return PartCrash(number, at_ms, was_answering)


def is_condemned(evidence, parts, now_ms):
    return evidence.assess(parts, now_ms).suspicion is Suspicion.CONDEMNED


def evidence_with(crashes, parts=(FIRST, OWN, DEADLY)):
    evidence = PartCrashes()
    for number, at_ms in enumerate(crashes):
        evidence.record_crash(parts, crash(number, at_ms), at_ms)
    return evidence


def test_two_crashes_under_answers_condemn_a_part():
    assert not is_condemned(evidence_with([0.0]), [FIRST, OWN, DEADLY], 10.0)
    assert is_condemned(evidence_with([0.0, 900.0]), [FIRST, OWN, DEADLY], 910.0)


def test_four_crashes_condemn_a_part_whose_answer_never_began():
    evidence = PartCrashes()
    for number in range(4):
        assert not is_condemned(evidence, [DEADLY], 900.0 * number)
        evidence.record_crash(
            [DEADLY], crash(number, 900.0 * number, False), 900.0 * number
        )
    assert is_condemned(evidence, [DEADLY], 3_000.0)


def test_engines_that_crash_at_the_same_moment_count_once():
    evidence = evidence_with([0.0, 20.0, 50.0])
    assert not is_condemned(evidence, [FIRST, OWN, DEADLY], 60.0)


def test_one_crash_seen_by_several_hosts_counts_once():
    evidence = PartCrashes()
    for host in range(5):
        evidence.merge(DEADLY, [crash(7, 100.0 + host)], -math.inf, 200.0)
    assert not is_condemned(evidence, [DEADLY], 300.0)


def test_a_request_with_only_some_of_the_suspects_is_sent():
    evidence = evidence_with([0.0, 900.0])
    assert not is_condemned(evidence, [FIRST, OWN], 1_000.0)
    assert not is_condemned(evidence, [FIRST, SOUND], 1_000.0)


def test_each_part_of_a_combination_is_reported_as_condemned():
    evidence = evidence_with([0.0, 900.0])
    for part in (FIRST, OWN, DEADLY):
        assert evidence.suspicion_of(part, 1_000.0) is Suspicion.CONDEMNED
    assert evidence.suspicion_of(SOUND, 1_000.0) is Suspicion.NONE


def test_an_answer_clears_all_parts_of_its_request():
    evidence = evidence_with([0.0, 900.0])
    assert evidence.record_answer([FIRST, OWN], 1_000.0, 1_100.0)
    assert is_condemned(evidence, [DEADLY, SOUND], 1_200.0)
    evidence.record_answer([DEADLY], 1_300.0, 1_400.0)
    assert not is_condemned(evidence, [FIRST, OWN, DEADLY], 1_500.0)


def test_an_answer_that_began_before_a_crash_does_not_clear_it():
    evidence = evidence_with([0.0, 900.0])
    evidence.record_answer([FIRST, OWN, DEADLY], 800.0, 2_000.0)
    evidence.record_crash([DEADLY], crash(8, 2_100.0), 2_100.0)
    assert is_condemned(evidence, [FIRST, OWN, DEADLY], 2_200.0)


def test_a_crash_that_an_answer_refutes_is_answered_to_its_sender():
    evidence = PartCrashes()
    evidence.record_answer([FIRST], 500.0, 600.0)
    version = evidence.version
    evidence.merge(FIRST, [crash(1, 400.0)], -math.inf, 700.0)
    assert evidence.version > version
    assert evidence.to_pass_on(700.0)[0] == [FIRST]
    assert not evidence.find(FIRST).crashes


def test_after_its_end_one_more_crash_restores_a_verdict():
    evidence = evidence_with([0.0, 900.0])
    now_ms = 900.0 + VERDICT_LIFETIME_MS + 1.0
    assert not is_condemned(evidence, [FIRST, OWN, DEADLY], now_ms)
    evidence.record_crash([FIRST, OWN, DEADLY], crash(9, now_ms), now_ms)
    assert is_condemned(evidence, [FIRST, OWN, DEADLY], now_ms + 1.0)
    assert not is_condemned(
        evidence, [FIRST, OWN, DEADLY], now_ms + 2 * RECORD_LIFETIME_MS
    )


def test_memory_is_bounded_whatever_parts_callers_invent():
    evidence = evidence_with([0.0, 900.0], [DEADLY])
    for number in range(500):
        now_ms = 1_000.0 + number
        parts = range(10_000 * number, 10_000 * number + 1_000)
        evidence.record_crash(parts, crash(100 + number, now_ms, False), now_ms)
        evidence.record_answer(range(10**8 + number, 10**8 + number + 50), 0.0, now_ms)
    changed, unchanged = evidence.to_pass_on(1_500.0)
    assert len(changed) + len(unchanged) <= MAX_RECORDS
    assert is_condemned(evidence, [DEADLY], 1_600.0)


def record_content(evidence, content, number, at_ms, sent_ms, was_answering=True):
    engine_crash = PartCrash(number, at_ms, was_answering)
    evidence.record_content_crash(content, engine_crash, sent_ms, at_ms)


def test_a_retry_that_ends_the_next_engine_at_once_counts_as_a_second_crash():
    evidence = PartCrashes()
    record_content(evidence, CONTENT, 1, 100.0, 60.0)
    assert not is_condemned(evidence, [CONTENT], 101.0)
    record_content(evidence, CONTENT, 2, 140.0, 102.0)
    assert is_condemned(evidence, [CONTENT], 141.0)


def test_a_content_on_two_engines_of_one_rack_counts_once():
    evidence = PartCrashes()
    record_content(evidence, CONTENT, 1, 100.0, 60.0)
    record_content(evidence, CONTENT, 2, 140.0, 70.0)
    assert not is_condemned(evidence, [CONTENT], 141.0)


def test_the_most_specific_explanation_goes_first():
    evidence = PartCrashes()
    for number, at_ms in enumerate((100.0, 500.0)):
        record_content(evidence, CONTENT, number, at_ms, at_ms - 20.0)
        evidence.record_crash([FIRST, OWN], crash(number, at_ms), at_ms)
    assert is_condemned(evidence, [CONTENT, FIRST, OWN], 600.0)
    assert not is_condemned(evidence, [CONTENT + 1, FIRST, OWN], 600.0)
    assert not is_condemned(evidence, [FIRST, OWN], 600.0)


def test_a_deadly_part_is_condemned_although_its_requests_were_repeated():
    evidence = PartCrashes()
    for number, content in enumerate((CONTENT, CONTENT, CONTENT + 1)):
        at_ms = 400.0 * number
        record_content(evidence, content, number, at_ms, at_ms - 20.0)
        evidence.record_crash([DEADLY], crash(number, at_ms), at_ms)
    assert is_condemned(evidence, [CONTENT + 2, DEADLY], 900.0)


def test_contents_that_all_explain_the_crashes_are_not_condemned_after_two():
    evidence = PartCrashes()
    for number, at_ms in enumerate((100.0, 500.0)):
        for content in (CONTENT, CONTENT + 1, CONTENT + 2):
            record_content(evidence, content, number, at_ms, at_ms - 20.0)
    for content in (CONTENT, CONTENT + 1, CONTENT + 2):
        assert not is_condemned(evidence, [content], 600.0)
    # The retries of the others are answered, so that one suspect remains.
    for content in (CONTENT + 1, CONTENT + 2):
        evidence.record_content_answer(content, 510.0, 600.0)
    assert is_condemned(evidence, [CONTENT], 700.0)


def test_engines_that_end_together_do_not_condemn_the_content_of_one_of_them():
    evidence = PartCrashes()
    for number, at_ms in enumerate((100.0, 900.0, 1_700.0)):
        record_content(evidence, CONTENT, 10 + number, at_ms, at_ms - 20.0)
        other = crash(20 + number, at_ms + 5.0)
        evidence.record_crash([OWN], other, at_ms + 5.0)
        evidence.record_answer([OWN], at_ms + 50.0, at_ms + 60.0)
    assert not is_condemned(evidence, [CONTENT], 1_800.0)


def test_an_answer_anywhere_clears_a_popular_content_also_if_it_arrives_first():
    evidence = PartCrashes()
    evidence.record_content_answer(CONTENT, 450.0, 470.0)
    record_content(evidence, CONTENT, 1, 400.0, 380.0)
    record_content(evidence, CONTENT, 2, 440.0, 410.0)
    assert not is_condemned(evidence, [CONTENT], 480.0)


def test_invented_contents_push_out_no_verdict_and_no_answer_of_a_part():
    evidence = PartCrashes()
    evidence.record_answer([FIRST], 50.0, 60.0)
    for number, at_ms in enumerate((100.0, 900.0)):
        record_content(evidence, CONTENT, number, at_ms, at_ms - 20.0)
    for number in range(20_000):
        now_ms = 1_000.0 + number
        if number % 4:
            evidence.record_content_answer(10**6 + number, now_ms, now_ms)
        else:
            record_content(evidence, 10**6 + number, 100 + number, now_ms, now_ms - 1.0)
    changed, unchanged = evidence.to_pass_on(21_000.0)
    assert len(changed) + len(unchanged) <= MAX_RECORDS
    assert is_condemned(evidence, [CONTENT], 21_000.0)
    evidence.merge(FIRST, [crash(1, 40.0)], -math.inf, 21_000.0)
    assert not (evidence.find(FIRST) or PartRecord()).crashes


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.booleans())
def test_the_deadly_part_alone_is_condemned_within_five_crashes(seed, sends_head):
    """Requests share their other parts with sound ones, which are answered."""
    rng = random.Random(seed)
    evidence = PartCrashes()
    firsts, owns = range(100, 104), range(200, 230)
    crashes, now_ms = 0, 0.0
    for _ in range(400):
        now_ms += rng.uniform(150.0, 400.0)
        request = [rng.choice(firsts), rng.choice(owns)]
        if rng.random() < 0.2:
            request.append(DEADLY)
        if is_condemned(evidence, request, now_ms):
            assert DEADLY in request
        elif DEADLY in request:
            crashes += 1
            evidence.record_crash(request, crash(crashes, now_ms, sends_head), now_ms)
            waiting = [rng.choice(firsts), rng.choice(owns)]
            evidence.record_crash(waiting, crash(crashes, now_ms, False), now_ms)
        else:
            evidence.record_answer(request, now_ms, now_ms + 50.0)
    assert crashes <= 5


@pytest.mark.parametrize("order", range(6))
def test_hosts_agree_whatever_the_order_of_their_messages(order):
    changes = [
        (DEADLY, [crash(1, 100.0)], -math.inf),
        (DEADLY, [crash(2, 900.0)], -math.inf),
        (FIRST, [crash(1, 100.0), crash(2, 900.0)], -math.inf),
        (FIRST, [], 1_000.0),
        (DEADLY, [crash(2, 900.0, False)], 50.0),
    ]
    random.Random(order).shuffle(changes)
    evidence = PartCrashes()
    for part, crashes, answered_ms in changes:
        evidence.merge(part, crashes, answered_ms, 1_100.0)
    assert is_condemned(evidence, [DEADLY], 1_200.0)
    assert not is_condemned(evidence, [FIRST], 1_200.0)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 6))
def test_a_request_that_was_never_alone_at_an_overload_crash_is_sent(
    seed, server_count
):
    """Each request is in flight at one crash after the other, like many others."""
    rng = random.Random(seed)
    evidence = PartCrashes()
    at_ms = 0.0
    for number in range(3):
        at_ms += rng.uniform(30.0, 2_000.0)
        for content in range(20):
            if rng.random() < 1.0 / server_count:
                record_content(evidence, content, number, at_ms, at_ms - 25.0)
    holders = [
        {c for c in range(20) if evidence.find(c) and n in ids(evidence, c)}
        for n in range(3)
    ]
    for content in range(20):
        if {content} not in holders:
            assert not is_condemned(evidence, [content], at_ms + 1.0)


def ids(evidence, content):
    return {engine_crash.crash_id for engine_crash in evidence.find(content).crashes}
