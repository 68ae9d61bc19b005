"""Log events of scheduling under hard load."""

from gypsumfield.events import Event


class OverflowStarted(Event, frozen=True, kw_only=True, tag="overflow_started"):
    """A share of a service's new streams goes to another zone from now on.

    The loads are shares of the zones' memory, with the expected wait.
    """

    local_load: float
    remote_load: float
    share: float


class OverflowEnded(Event, frozen=True, kw_only=True, tag="overflow_ended"):
    """The streams of a service stay in this zone again.

    ``stream_count`` is the number of streams for which this host chose the other zone.
    """

    local_load: float
    remote_load: float
    stream_count: int
    duration_ms: float
