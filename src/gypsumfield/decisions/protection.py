"""Which runs get a copy of their memory made on another engine, and in which order.

Load answered: engines taken away at short notice under long write-ups that may not
be repeated. Copies wait for each other on an engine's link, so a run that ends in
time is left alone, and those that lose most when they are left behind go first.
"""

from collections.abc import Sequence
from typing import NamedTuple

from gypsumfield.decisions.pace import START_PACE

# A run is left alone when it ends this long before the engine is gone.
FINISH_MARGIN_MS = 300.0
# Notice of an engine that does not say when it will be gone; the shortest one
# that the platform gives.
ASSUMED_NOTICE_MS = 1_500.0
# What has been made since the last copy is read again when it is used; a renewal
# copies only that, in some 10 ms.
COPY_RENEWAL_MS = 700.0
# A copy that found no room is tried again after this time.
REFUSED_COPY_RETRY_MS = 200.0


class ExposedRun(NamedTuple):
    """One run on a leaving engine without a copy from its start.

    Attributes:
        request_id: The run.
        generated_tokens: Tokens it has made.
        expected_tokens: Predicted tokens of its whole output.
        copied_ms_ago: Time since a copy was made that has to be renewed, or None.
        refused_ms_ago: Time since a copy found no room, or None.
    """

    request_id: str
    generated_tokens: int
    expected_tokens: int
    copied_ms_ago: float | None
    refused_ms_ago: float | None = None


def should_copy_from_start(is_large_fleet: bool) -> bool:
    """Return whether a run's memory is copied as it grows, from its start.

    Such a copy holds as much memory as the run. Where few engines are left and all
    are full, it is the only one that finds room; a large fleet has many engines to
    copy to within the notice, and the memory serves first events in time.
    """
    return not is_large_fleet


def order_copies(
    runs: Sequence[ExposedRun],
    leaves_in_ms: float = ASSUMED_NOTICE_MS,
    step_ms: float = START_PACE.step_ms,
) -> list[str]:
    """Return the requests whose memory is copied now, in order.

    Runs with the most work behind them go first: they are lost whole.

    Args:
        runs: Exposed runs of one engine.
        leaves_in_ms: When the engine is gone.
        step_ms: Time of one token, as observed.
    """
    due = [run for run in runs if _is_due(run, leaves_in_ms, step_ms)]
    due.sort(key=lambda run: -run.generated_tokens)
    return [run.request_id for run in due]


def _is_due(run: ExposedRun, leaves_in_ms: float, step_ms: float) -> bool:
    if run.copied_ms_ago is not None and run.copied_ms_ago < COPY_RENEWAL_MS:
        return False
    if run.refused_ms_ago is not None and run.refused_ms_ago < REFUSED_COPY_RETRY_MS:
        return False
    left_tokens = run.expected_tokens - run.generated_tokens
    if left_tokens <= 0:
        # It has outlived its prediction: nothing is known of its end.
        return True
    return left_tokens * step_ms >= leaves_in_ms - FINISH_MARGIN_MS
