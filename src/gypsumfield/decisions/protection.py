"""Selection and order of runs whose key-value cache is copied to another engine.

It protects long runs that may not be retried when their engine is removed at short
notice. Copies queue on an engine's network link. A run that ends before the engine is
gone is therefore not copied, and runs that would lose the most work are copied first.
"""

from collections.abc import Sequence
from typing import NamedTuple

from gypsumfield.decisions.pace import INITIAL_PACE

# A run is not copied when it ends at least this long before the engine is gone.
FINISH_MARGIN_MS = 300.0
# Assumed notice of an engine that does not announce when it will be gone: the shortest
# notice that the platform gives.
ASSUMED_NOTICE_MS = 1_500.0
# A resumed run reads the tokens since its last copy again. Renewing the copy transfers
# only these tokens, in about 10 ms.
COPY_RENEWAL_MS = 700.0
# A copy for which no engine had free memory is retried after this time.
REFUSED_COPY_RETRY_MS = 200.0


class ExposedRun(NamedTuple):
    """A run on a leaving engine without a copy that was kept from its start.

    Attributes:
        request_id: Id of the request that runs.
        generated_tokens: Output tokens generated so far.
        expected_tokens: Predicted tokens of the whole output.
        copied_ms_ago: Time since the last copy, which has to be renewed, or None.
        refused_ms_ago: Time since a copy failed for lack of free memory, or None.
    """

    request_id: str
    generated_tokens: int
    expected_tokens: int
    copied_ms_ago: float | None
    refused_ms_ago: float | None = None


def should_copy_from_start(is_large_fleet: bool) -> bool:
    """Return whether a run's key-value cache is copied from its start, as it grows.

    Such a copy occupies as much memory as the run. When few engines are left and all
    are full, a copy that begins later would find no free memory. A large fleet has
    enough engines to copy to within the notice, and uses the memory to start more
    streams on time.
    """
    return not is_large_fleet


def order_copies(
    runs: Sequence[ExposedRun],
    leaves_in_ms: float = ASSUMED_NOTICE_MS,
    step_ms: float = INITIAL_PACE.step_ms,
) -> list[str]:
    """Return the ids of the requests whose key-value cache is copied now, in order.

    Runs with the most generated tokens go first, because all of their work is lost
    without a copy.

    Args:
        runs: Runs of one engine that may be copied.
        leaves_in_ms: Time until the engine is gone.
        step_ms: Observed time for one token.
    """
    pending = [run for run in runs if _needs_copy(run, leaves_in_ms, step_ms)]
    pending.sort(key=lambda run: -run.generated_tokens)
    return [run.request_id for run in pending]


def _needs_copy(run: ExposedRun, leaves_in_ms: float, step_ms: float) -> bool:
    if run.copied_ms_ago is not None and run.copied_ms_ago < COPY_RENEWAL_MS:
        return False
    if run.refused_ms_ago is not None and run.refused_ms_ago < REFUSED_COPY_RETRY_MS:
        return False
    remaining_tokens = run.expected_tokens - run.generated_tokens
    if remaining_tokens <= 0:
        # It is longer than predicted, so its end cannot be estimated.
        return True
    return remaining_tokens * step_ms >= leaves_in_ms - FINISH_MARGIN_MS
