"""Filters events of the timeline by request, account, server, zone and time."""

from collections.abc import Iterable
from collections.abc import Iterator
from datetime import datetime
from datetime import UTC
from typing import NamedTuple

from gypsumfield.clock import MS_PER_S
from gypsumfield.exceptions import SettingsError
from gypsumfield.timeline.merge import TimedLine


class TimelineFilter(NamedTuple):
    """Criteria that an event must meet; an empty set or None accepts every event.

    Attributes:
        requests: Request ids to accept.
        accounts: Names of client accounts to accept.
        backend_servers: Host ids of the backend servers to accept.
        availability_zones: Availability zones of the logging hosts to accept.
        from_ms: Earliest time, milliseconds since the Unix epoch.
        to_ms: Latest time, milliseconds since the Unix epoch; checked by
            `select` only.
    """

    requests: frozenset[str] = frozenset()
    accounts: frozenset[str] = frozenset()
    backend_servers: frozenset[str] = frozenset()
    availability_zones: frozenset[str] = frozenset()
    from_ms: float | None = None
    to_ms: float | None = None

    def is_match(self, line: TimedLine) -> bool:
        """Return whether ``line`` meets every criterion but ``to_ms``."""
        fields = line.fields
        return (
            _is_selected(fields.request_id, self.requests)
            and _is_selected(fields.account, self.accounts)
            and _is_selected(fields.backend_server, self.backend_servers)
            and _is_selected(fields.availability_zone, self.availability_zones)
            and (self.from_ms is None or line.time_ms >= self.from_ms)
        )

    def select(self, lines: Iterable[TimedLine]) -> Iterator[TimedLine]:
        """Yield the matching lines; stop at the first one after ``to_ms``.

        ``lines`` must be in order of time.
        """
        for line in lines:
            if self.to_ms is not None and line.time_ms > self.to_ms:
                return
            if self.is_match(line):
                yield line


def _is_selected(value: str, selected: frozenset[str]) -> bool:
    return not selected or value in selected


def parse_time_ms(text: str, option: str) -> float:
    """Parse a number of milliseconds or an ISO 8601 time.

    A time without an offset is taken as UTC.

    Returns:
        Milliseconds since the Unix epoch.

    Raises:
        SettingsError: ``text`` is neither of the two; the message names ``option``.
    """
    try:
        return float(text)
    except ValueError:
        pass
    try:
        parsed_time = datetime.fromisoformat(text)
    except ValueError as error:
        raise SettingsError(
            f"{option}: {text!r} is neither milliseconds nor an ISO 8601 time"
        ) from error
    if parsed_time.tzinfo is None:
        parsed_time = parsed_time.replace(tzinfo=UTC)
    return parsed_time.timestamp() * MS_PER_S


def format_time(time_ms: float) -> str:
    """Return milliseconds since the Unix epoch as an ISO 8601 time in UTC."""
    parsed_time = datetime.fromtimestamp(time_ms / MS_PER_S, UTC)
    return parsed_time.isoformat(timespec="milliseconds").replace("+00:00", "Z")
