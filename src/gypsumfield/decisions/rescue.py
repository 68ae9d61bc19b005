"""Which runs are moved off an engine that is about to be gone, and in which order.

Load answered: engines taken away at short notice under long write-ups that may
not be repeated. A copy takes the link for a while and copies wait for each
other, so a run that ends in time is left alone, and those that lose most when
they are left behind go first.
"""

from collections.abc import Sequence
from typing import NamedTuple

# Time of one step of a batch with a few runs; engines report no figure.
STEP_MS = 8.5
# A run is left alone when it ends this long before the engine is gone.
FINISH_MARGIN_MS = 300.0
# Notice of an engine that does not say when it will be gone; the shortest one
# that the platform gives.
ASSUMED_NOTICE_MS = 1_500.0


class ThreatenedRun(NamedTuple):
    """One run on a leaving engine.

    Attributes:
        request_id: The run.
        prompt_tokens: Tokens it has read.
        generated_tokens: Tokens it has made.
        expected_tokens: Predicted tokens of its whole output.
        may_repeat: Whether it may simply be run again elsewhere.
    """

    request_id: str
    prompt_tokens: int
    generated_tokens: int
    expected_tokens: int
    may_repeat: bool


def order_moves(runs: Sequence[ThreatenedRun], leaves_in_ms: float) -> list[str]:
    """Return the requests to move, in order.

    Runs with the most work behind them go first: they are lost whole.
    """
    moving = [run for run in runs if not _ends_in_time(run, leaves_in_ms)]
    moving.sort(key=lambda run: (run.may_repeat, -run.generated_tokens))
    return [run.request_id for run in moving]


def _ends_in_time(run: ThreatenedRun, leaves_in_ms: float) -> bool:
    left_tokens = run.expected_tokens - run.generated_tokens
    if left_tokens <= 0:
        # It has outlived its prediction: nothing is known of its end.
        return False
    return left_tokens * STEP_MS < leaves_in_ms - FINISH_MARGIN_MS
