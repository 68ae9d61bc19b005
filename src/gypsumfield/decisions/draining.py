"""Which calls a host still takes while it drains.

Load answered: callers with kept connections, and connections under way, that reach
a host after its signal to stop. A call that would be cut at the end is refused
while that is still true to say.
"""

from enum import Enum

# The balancer asks once a second and takes a host out after two misses; what
# comes later comes on kept connections.
ANY_CALL_MS = 2_500.0
# Short calls end well within this.
SHORT_CALL_MS = 2_000.0
# When a refused caller finds another host: at once, on a new connection.
RETURN_AFTER_MS = 50.0


class CallLength(Enum):
    """How long a call may keep a draining host."""

    SHORT = "short"
    UNKNOWN = "unknown"


def takes_call(
    draining_ms: float | None, stop_limit_ms: float, length: CallLength
) -> bool:
    """Return whether a call is taken.

    Args:
        draining_ms: Time since the signal to stop; None without one.
        stop_limit_ms: Time between the signal and the kill.
        length: How long the call may take.
    """
    if draining_ms is None or draining_ms <= ANY_CALL_MS:
        return True
    is_short = length is CallLength.SHORT
    return is_short and draining_ms <= stop_limit_ms - SHORT_CALL_MS
