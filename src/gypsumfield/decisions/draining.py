"""Calls that a host still accepts while it drains.

Callers with persistent connections, and connections that are being opened, reach a
host after its stop signal. A call that would be cut off at the stop is refused while
the host can still answer that it has not run.
"""

# Load balancers still send to a host for this time after its stop signal. Whatever is
# accepted later and is then cut off counts as lost by the host.
STREAM_ACCEPTANCE_MS = 2_500.0
# The drain ends this long before the process would be killed.
STOP_MARGIN_MS = 500.0
# Usual time from the arrival of a stream to its first event.
FIRST_EVENT_MS = 1_000.0
# Callers predict lengths correctly only at the median; most outputs end within this
# multiple of the prediction.
LENGTH_FACTOR = 1.5
# Time after which a refused caller may retry, on a new connection to another host.
DRAIN_RETRY_AFTER_MS = 50.0


def expected_stream_ms(expected_tokens: int, step_ms: float) -> float:
    """Return the time within which most streams of a predicted length end, in ms.

    Args:
        expected_tokens: Predicted tokens of the output.
        step_ms: Time for one token.
    """
    return FIRST_EVENT_MS + expected_tokens * step_ms * LENGTH_FACTOR


def accepts_call(
    draining_ms: float | None, stop_limit_ms: float, call_limit_ms: float
) -> bool:
    """Return whether a call is accepted that is short or that another host can resume.

    Args:
        draining_ms: Time since the stop signal; None without one.
        stop_limit_ms: Time between the stop signal and the kill signal.
        call_limit_ms: Longest time that the call may take.
    """
    if draining_ms is None or draining_ms <= STREAM_ACCEPTANCE_MS:
        return True
    return draining_ms + call_limit_ms <= stop_limit_ms - STOP_MARGIN_MS


def accepts_stream(
    draining_ms: float | None, stop_limit_ms: float, stream_ms: float
) -> bool:
    """Return whether a stream is accepted that no other host could resume.

    A stream that would outlast this host is refused at once: it has not run, and its
    caller can find a host that does not stop.

    Args:
        draining_ms: Time since the stop signal; None without one.
        stop_limit_ms: Time between the stop signal and the kill signal.
        stream_ms: Time within which the stream is expected to end.
    """
    if draining_ms is None:
        return True
    is_early = draining_ms <= STREAM_ACCEPTANCE_MS
    return is_early and draining_ms + stream_ms <= stop_limit_ms
