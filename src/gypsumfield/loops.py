"""Loops of a host that go on after an unexpected error."""

import traceback
from collections.abc import Callable

from gypsumfield.adapters.loop_lag import name_greenlet
from gypsumfield.clock import Clock
from gypsumfield.events import LoopFailed
from gypsumfield.interfaces import EmitEvent

MIN_FAILURE_PAUSE_MS = 50.0
MAX_FAILURE_PAUSE_MS = 1_000.0
# The same error may recur in every round; it is logged once in this time.
LOG_INTERVAL_MS = 10_000.0
TRACE_LOG_LIMIT = 400


def run_forever(
    name: str, run_round: Callable[[], None], clock: Clock, emit: EmitEvent
) -> None:
    """Call a function again and again; log its errors and pause after each.

    Args:
        name: Name of the loop, for the log.
        run_round: One round of the loop, with its own waits.
        clock: Monotonic clock, also used to pause.
        emit: Writes an event to the log.
    """
    name_greenlet(name)
    pause_ms = MIN_FAILURE_PAUSE_MS
    failure_count = 0
    logged_ms: dict[str, float] = {}
    while True:
        try:
            run_round()
            pause_ms = MIN_FAILURE_PAUSE_MS
            continue
        except Exception as error:
            failure_count += 1
            kind = type(error).__name__
            now_ms = clock.monotonic_ms()
            if now_ms - logged_ms.get(kind, -LOG_INTERVAL_MS) >= LOG_INTERVAL_MS:
                logged_ms[kind] = now_ms
                trace = "".join(traceback.format_exception(error))
                emit(
                    LoopFailed(
                        loop=name,
                        reason=repr(error)[:TRACE_LOG_LIMIT],
                        trace=trace[-TRACE_LOG_LIMIT:],
                        failure_count=failure_count,
                    )
                )
        clock.sleep_ms(pause_ms)
        pause_ms = min(MAX_FAILURE_PAUSE_MS, 2.0 * pause_ms)
