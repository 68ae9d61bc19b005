"""How long a stream without a place is held back, and when it may return.

Load answered: more write-ups than the engines' memory holds. What can still be
served on time waits for a place; what cannot is refused at once, so that its
caller can decide, and the place goes to one that can.
"""

from typing import NamedTuple

from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.pace import START_MS
from gypsumfield.decisions.pace import START_PACE

# A stream's memory comes free when a run ends; runs last seconds, so that a
# caller who returns sooner than this finds the same engines full.
SHORTEST_RETURN_MS = 500.0
LONGEST_RETURN_MS = 4_000.0


class QueuedStream(NamedTuple):
    """A stream without a place.

    Attributes:
        waited_ms: Time since its arrival.
        target_latency_ms: Time to its first event that earns full credit.
        remaining_ms: Time until its caller's deadline.
        prompt_tokens: Tokens to read before the first event.
        pace: Pace of the engines, as observed.
    """

    waited_ms: float
    target_latency_ms: float
    remaining_ms: float
    prompt_tokens: int
    pace: Pace = START_PACE


def remaining_wait_ms(stream: QueuedStream) -> float:
    """Return how much longer a stream is held back; 0 refuses it now."""
    start_ms = START_MS + stream.prompt_tokens / stream.pace.prompt_tokens_per_ms
    left_ms = min(time_left_ms(stream), stream.remaining_ms)
    return max(0.0, left_ms - start_ms)


def time_left_ms(stream: QueuedStream) -> float:
    """Return the time in which the first event still earns full credit."""
    return stream.target_latency_ms - stream.waited_ms


def estimated_retry_after_ms(
    run_count: int, waiting_count: int, run_ms: float = START_PACE.run_ms
) -> float:
    """Return when a refused caller should come back.

    Args:
        run_count: Runs on the engines of its service.
        waiting_count: Streams that wait for a place here.
        run_ms: Time that a typical run holds its engine; of several runs the next
            one ends after its part of it.
    """
    next_end_ms = run_ms / max(1, run_count)
    expected_ms = next_end_ms * (waiting_count + 1)
    return min(LONGEST_RETURN_MS, max(SHORTEST_RETURN_MS, expected_ms))
