from hypothesis import given
from hypothesis import strategies as st

from gypsumfield.decisions.quiet_times import LONGEST_QUIET_MS
from gypsumfield.decisions.quiet_times import QuietTimes
from gypsumfield.decisions.quiet_times import RESUME_LIMIT


@given(st.lists(st.tuples(st.floats(0.0, 1e9), st.floats(0.0, 500.0)), min_size=1))
def test_the_longest_requested_pause_applies_up_to_the_limit(requests):
    pauses = QuietTimes()
    now_ms = 0.0
    until_ms = 0.0
    for requested_ms, step_ms in requests:
        pauses.note("s1", 1, requested_ms, now_ms)
        until_ms = max(until_ms, now_ms + min(requested_ms, LONGEST_QUIET_MS))
        now_ms += step_ms
        assert abs(pauses.left_ms("s1", 1, now_ms) - max(0.0, until_ms - now_ms)) < 1.0


def test_a_restarted_server_has_no_pause():
    pauses = QuietTimes()
    pauses.note("s1", 1, 5_000.0, 0.0)
    assert pauses.left_ms("s1", 2, 1.0) == 0.0
    pauses.note("s1", 2, 100.0, 1.0)
    assert pauses.left_ms("s1", 2, 2.0) == 99.0


def test_fewer_requests_are_sent_in_a_pause_than_a_server_tolerates():
    pauses = QuietTimes()
    pauses.note("s1", 1, 5_000.0, 0.0)
    sent_count = 0
    while pauses.may_rescue("s1"):
        pauses.note_sent("s1", 1.0)
        sent_count += 1
    assert sent_count == RESUME_LIMIT < 2


def test_expired_pauses_are_removed():
    pauses = QuietTimes()
    for number in range(1_000):
        pauses.note(f"s{number}", 1, 10.0, number * 20.0)
    assert len(pauses._pauses) == 1
