"""Which calls a host still takes while it drains.

Load answered: callers with kept connections, and connections under way, that reach
a host after its signal to stop. A call that would be cut at the end is refused
while that is still true to say.
"""

# A stream that comes later and is cut at the stop counts as lost by it.
LAST_STREAM_MS = 2_500.0
# Short calls end well within this.
SHORT_CALL_MS = 2_000.0
# From the arrival of a stream to its first event, as a rule.
FIRST_EVENT_MS = 1_000.0
# Callers guess lengths right at the median only; most outputs end within this
# multiple of the guess.
LENGTH_FACTOR = 1.5
# When a refused caller finds another host: at once, on a new connection.
DRAIN_RETRY_AFTER_MS = 50.0


def expected_stream_ms(expected_tokens: int, step_ms: float) -> float:
    """Return the time within which most streams of a predicted length end.

    Args:
        expected_tokens: Predicted tokens of the output.
        step_ms: Time of one token.
    """
    return FIRST_EVENT_MS + expected_tokens * step_ms * LENGTH_FACTOR


def accepts_call(draining_ms: float | None, stop_limit_ms: float) -> bool:
    """Return whether a short call is taken.

    Args:
        draining_ms: Time since the signal to stop; None without one.
        stop_limit_ms: Time between the signal and the kill.
    """
    return draining_ms is None or draining_ms + SHORT_CALL_MS <= stop_limit_ms


def accepts_stream(
    draining_ms: float | None, stop_limit_ms: float, stream_ms: float
) -> bool:
    """Return whether a stream is taken that cannot go on at another host.

    One that would outlast this host is refused at once: it has not run, and its
    caller finds a host that stays.

    Args:
        draining_ms: Time since the signal to stop; None without one.
        stop_limit_ms: Time between the signal and the kill.
        stream_ms: Time within which it is expected to end.
    """
    if draining_ms is None:
        return True
    is_early = draining_ms <= LAST_STREAM_MS
    return is_early and draining_ms + stream_ms <= stop_limit_ms
