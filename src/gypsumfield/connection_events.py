"""Events about callers' connections."""

from gypsumfield.events import Event


class ConnectionsRefused(Event, frozen=True, kw_only=True, tag="connections_refused"):
    """Connections were closed right after they were accepted, or not accepted.

    At most one line is logged per second, with the count since the last one.
    """

    count: int
    open_count: int
    reason: str


class AddressInUse(Event, frozen=True, kw_only=True, tag="address_in_use"):
    """A starting host waits until another process has left one of its addresses."""

    address: str


class ConnectionsClosed(Event, frozen=True, kw_only=True, tag="connections_closed"):
    """Callers' connections were closed to keep the limits of the host.

    At most one line per reason is logged per second, with the count since the last.
    """

    count: int
    open_count: int
    reason: str
