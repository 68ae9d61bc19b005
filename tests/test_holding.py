from gypsumfield.decisions.holding import HeldStream
from gypsumfield.decisions.holding import hold_ms
from gypsumfield.decisions.holding import MAX_RETRY_AFTER_MS
from gypsumfield.decisions.holding import MIN_RETRY_AFTER_MS
from gypsumfield.decisions.holding import return_after_ms

STREAM = HeldStream(0.0, 1_800.0, 39_000.0, 3_000)


def test_a_stream_waits_while_it_can_start_in_time():
    assert 1_000.0 < hold_ms(STREAM) < 1_800.0


def test_a_stream_that_would_be_late_does_not_wait():
    assert hold_ms(STREAM._replace(waited_ms=1_700.0)) == 0.0


def test_the_callers_deadline_limits_the_wait():
    assert hold_ms(STREAM._replace(remaining_ms=500.0)) < 500.0


def test_retry_time_grows_with_the_number_of_waiting_streams():
    assert return_after_ms(4, 0) < return_after_ms(4, 1)
    assert return_after_ms(1_000, 0) == MIN_RETRY_AFTER_MS
    assert return_after_ms(0, 50) == MAX_RETRY_AFTER_MS
