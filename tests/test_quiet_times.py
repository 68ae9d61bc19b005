from hypothesis import given
from hypothesis import strategies as st

from gypsumfield.decisions.server_pauses import MAX_PAUSE_MS
from gypsumfield.decisions.server_pauses import RESCUES
from gypsumfield.decisions.server_pauses import ServerPauses


@given(st.lists(st.tuples(st.floats(0.0, 1e9), st.floats(0.0, 500.0)), min_size=1))
def test_the_longest_time_named_holds_up_to_the_bound(wishes):
    quiet = ServerPauses()
    now_ms = 0.0
    until_ms = 0.0
    for asked_ms, step_ms in wishes:
        quiet.record_pause("s1", 1, asked_ms, now_ms)
        until_ms = max(until_ms, now_ms + min(asked_ms, MAX_PAUSE_MS))
        now_ms += step_ms
        assert (
            abs(quiet.remaining_pause_ms("s1", 1, now_ms) - max(0.0, until_ms - now_ms))
            < 1.0
        )


def test_a_restarted_server_starts_clean():
    quiet = ServerPauses()
    quiet.record_pause("s1", 1, 5_000.0, 0.0)
    assert quiet.remaining_pause_ms("s1", 2, 1.0) == 0.0
    quiet.record_pause("s1", 2, 100.0, 1.0)
    assert quiet.remaining_pause_ms("s1", 2, 2.0) == 99.0


def test_fewer_rescues_pass_than_a_quiet_server_bears():
    quiet = ServerPauses()
    quiet.record_pause("s1", 1, 5_000.0, 0.0)
    passed = 0
    while quiet.can_resume("s1"):
        quiet.note_sent("s1", 1.0)
        passed += 1
    assert passed == RESCUES < 2


def test_times_that_are_over_leave_nothing_behind():
    quiet = ServerPauses()
    for number in range(1_000):
        quiet.record_pause(f"s{number}", 1, 10.0, number * 20.0)
    assert len(quiet._quiet) == 1
