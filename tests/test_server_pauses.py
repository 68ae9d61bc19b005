from hypothesis import given
from hypothesis import strategies as st

from gypsumfield.decisions.server_pauses import MAX_PAUSE_MS
from gypsumfield.decisions.server_pauses import RESUME_LIMIT
from gypsumfield.decisions.server_pauses import ServerPauses


@given(st.lists(st.tuples(st.floats(0.0, 1e9), st.floats(0.0, 500.0)), min_size=1))
def test_the_longest_requested_pause_applies_up_to_the_limit(requests):
    pauses = ServerPauses()
    now_ms = 0.0
    until_ms = 0.0
    for requested_ms, step_ms in requests:
        pauses.record_pause("s1", 1, requested_ms, now_ms)
        until_ms = max(until_ms, now_ms + min(requested_ms, MAX_PAUSE_MS))
        now_ms += step_ms
        assert (
            abs(
                pauses.remaining_pause_ms("s1", 1, now_ms) - max(0.0, until_ms - now_ms)
            )
            < 1.0
        )


def test_a_restarted_server_has_no_pause():
    pauses = ServerPauses()
    pauses.record_pause("s1", 1, 5_000.0, 0.0)
    assert pauses.remaining_pause_ms("s1", 2, 1.0) == 0.0
    pauses.record_pause("s1", 2, 100.0, 1.0)
    assert pauses.remaining_pause_ms("s1", 2, 2.0) == 99.0


def test_fewer_requests_are_sent_in_a_pause_than_a_server_tolerates():
    pauses = ServerPauses()
    pauses.record_pause("s1", 1, 5_000.0, 0.0)
    sent_count = 0
    while pauses.can_resume("s1"):
        pauses.record_sent("s1", 1.0)
        sent_count += 1
    assert sent_count == RESUME_LIMIT < 2


def test_expired_pauses_are_removed():
    pauses = ServerPauses()
    for number in range(1_000):
        pauses.record_pause(f"s{number}", 1, 10.0, number * 20.0)
    assert len(pauses._pauses) == 1
