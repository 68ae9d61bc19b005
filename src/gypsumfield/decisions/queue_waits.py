"""Queueing limits for streams that no engine has capacity for.

They apply when the streams exceed the memory of the engines. A stream that can still
start on time waits. One that cannot is refused at once: its caller can decide what to
do, and the capacity goes to a stream that can.
"""

from typing import NamedTuple

from gypsumfield.decisions.pace import FIRST_EVENT_OVERHEAD_MS
from gypsumfield.decisions.pace import INITIAL_PACE
from gypsumfield.decisions.pace import Pace

# The memory of a stream is released when a run ends, and runs last seconds. A caller
# that retries sooner than this finds the same engines full.
MIN_RETRY_AFTER_MS = 500.0
MAX_RETRY_AFTER_MS = 4_000.0


class QueuedStream(NamedTuple):
    """A stream that waits for an engine with free capacity.

    Attributes:
        waited_ms: Time since its arrival.
        target_latency_ms: Target for the time from its arrival to its first event.
        remaining_ms: Time until the deadline of its caller.
        prompt_tokens: Tokens to read before the first event.
        pace: Observed speed of the engines.
    """

    waited_ms: float
    target_latency_ms: float
    remaining_ms: float
    prompt_tokens: int
    pace: Pace = INITIAL_PACE


def remaining_wait_ms(stream: QueuedStream) -> float:
    """Return how much longer a stream may wait, in ms; 0 to refuse it now."""
    limit_ms = min(time_left_ms(stream), stream.remaining_ms)
    return max(0.0, limit_ms - start_ms(stream))


def start_ms(stream: QueuedStream) -> float:
    """Return the time from the placement of a stream to its first event, in ms."""
    read_ms = stream.prompt_tokens / stream.pace.prompt_tokens_per_ms
    return FIRST_EVENT_OVERHEAD_MS + read_ms


def time_left_ms(stream: QueuedStream) -> float:
    """Return the time left in which the first event meets the target, in ms."""
    return stream.target_latency_ms - stream.waited_ms


def estimated_retry_after_ms(
    run_count: int, waiting_count: int, run_ms: float = INITIAL_PACE.run_ms
) -> float:
    """Return the time after which a refused caller should retry, in ms.

    Args:
        run_count: Runs on the engines of its service.
        waiting_count: Streams that wait for an engine on this host.
        run_ms: Time for which a typical run occupies its engine. With N runs, the
            next one is expected to end after one Nth of it.
    """
    next_end_ms = run_ms / max(1, run_count)
    expected_ms = next_end_ms * (waiting_count + 1)
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, expected_ms))
