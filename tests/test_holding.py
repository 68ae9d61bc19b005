from gypsumfield.decisions.queue_waits import estimated_retry_after_ms
from gypsumfield.decisions.queue_waits import LONGEST_RETURN_MS
from gypsumfield.decisions.queue_waits import QueuedStream
from gypsumfield.decisions.queue_waits import remaining_wait_ms
from gypsumfield.decisions.queue_waits import SHORTEST_RETURN_MS

STREAM = QueuedStream(0.0, 1_800.0, 39_000.0, 3_000)


def test_a_stream_is_held_while_it_can_start_in_time():
    assert 1_000.0 < remaining_wait_ms(STREAM) < 1_800.0


def test_a_stream_that_would_be_late_is_not_held():
    assert remaining_wait_ms(STREAM._replace(waited_ms=1_700.0)) == 0.0


def test_the_callers_deadline_bounds_the_hold():
    assert remaining_wait_ms(STREAM._replace(remaining_ms=500.0)) < 500.0


def test_a_caller_comes_back_later_the_more_wait_before_it():
    assert estimated_retry_after_ms(4, 0) < estimated_retry_after_ms(4, 1)
    assert estimated_retry_after_ms(1_000, 0) == SHORTEST_RETURN_MS
    assert estimated_retry_after_ms(0, 50) == LONGEST_RETURN_MS
