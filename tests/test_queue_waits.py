from gypsumfield.decisions.queue_waits import estimated_retry_after_ms
from gypsumfield.decisions.queue_waits import MAX_RETRY_AFTER_MS
from gypsumfield.decisions.queue_waits import MIN_RETRY_AFTER_MS
from gypsumfield.decisions.queue_waits import QueuedStream
from gypsumfield.decisions.queue_waits import remaining_wait_ms

STREAM = QueuedStream(0.0, 1_800.0, 39_000.0, 3_000)


def test_a_stream_waits_while_it_can_start_in_time():
    assert 1_000.0 < remaining_wait_ms(STREAM) < 1_800.0


def test_a_stream_that_would_be_late_does_not_wait():
    assert remaining_wait_ms(STREAM._replace(waited_ms=1_700.0)) == 0.0


def test_the_callers_deadline_limits_the_wait():
    assert remaining_wait_ms(STREAM._replace(remaining_ms=500.0)) < 500.0


def test_retry_time_grows_with_the_number_of_waiting_streams():
    assert estimated_retry_after_ms(4, 0) < estimated_retry_after_ms(4, 1)
    assert estimated_retry_after_ms(1_000, 0) == MIN_RETRY_AFTER_MS
    assert estimated_retry_after_ms(0, 50) == MAX_RETRY_AFTER_MS
