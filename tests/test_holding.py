from gypsumfield.decisions.holding import HeldStream
from gypsumfield.decisions.holding import hold_ms
from gypsumfield.decisions.holding import LONGEST_RETURN_MS
from gypsumfield.decisions.holding import return_after_ms
from gypsumfield.decisions.holding import SHORTEST_RETURN_MS

STREAM = HeldStream(0.0, 1_800.0, 39_000.0, 3_000)


def test_a_stream_is_held_while_it_can_start_in_time():
    assert 1_000.0 < hold_ms(STREAM) < 1_800.0


def test_a_stream_that_would_be_late_is_not_held():
    assert hold_ms(STREAM._replace(waited_ms=1_700.0)) == 0.0


def test_the_callers_deadline_bounds_the_hold():
    assert hold_ms(STREAM._replace(remaining_ms=500.0)) < 500.0


def test_a_caller_comes_back_later_the_more_wait_before_it():
    assert return_after_ms(4, 0) < return_after_ms(4, 1)
    assert return_after_ms(1_000, 0) == SHORTEST_RETURN_MS
    assert return_after_ms(0, 50) == LONGEST_RETURN_MS
