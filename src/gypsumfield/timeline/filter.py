"""Selection of time-line events by what they concern and when."""

from collections.abc import Iterable
from collections.abc import Iterator
from datetime import datetime
from datetime import UTC
from typing import NamedTuple

from gypsumfield.clock import MS_PER_S
from gypsumfield.exceptions import SettingsError
from gypsumfield.timeline.merge import TimedLine


class TimelineFilter(NamedTuple):
    """What an event must match; an empty set or None matches all.

    Attributes:
        requests: Request ids.
        accounts: Client accounts.
        backend_servers: Host ids of backend servers.
        availability_zones: Zones.
        from_ms: Earliest time, milliseconds since the Unix epoch.
        to_ms: Latest time.
    """

    requests: frozenset[str] = frozenset()
    accounts: frozenset[str] = frozenset()
    backend_servers: frozenset[str] = frozenset()
    availability_zones: frozenset[str] = frozenset()
    from_ms: float | None = None
    to_ms: float | None = None

    def is_match(self, line: TimedLine) -> bool:
        """Return whether ``line`` matches every part."""
        fields = line.fields
        return (
            _is_in(fields.request_id, self.requests)
            and _is_in(fields.account, self.accounts)
            and _is_in(fields.backend_server, self.backend_servers)
            and _is_in(fields.availability_zone, self.availability_zones)
            and (self.from_ms is None or line.time_ms >= self.from_ms)
        )

    def select(self, lines: Iterable[TimedLine]) -> Iterator[TimedLine]:
        """Yield the matching lines; stops reading past ``to_ms``."""
        for line in lines:
            if self.to_ms is not None and line.time_ms > self.to_ms:
                return
            if self.is_match(line):
                yield line


def _is_in(value: str, wanted: frozenset[str]) -> bool:
    return not wanted or value in wanted


def parse_time_ms(text: str, option: str) -> float:
    """Return milliseconds since the epoch for a number or an ISO 8601 time.

    A time without an offset is taken as UTC.

    Raises:
        SettingsError: ``text`` is neither; the message names ``option``.
    """
    try:
        return float(text)
    except ValueError:
        pass
    try:
        moment = datetime.fromisoformat(text)
    except ValueError as error:
        raise SettingsError(
            f"{option}: {text!r} is neither milliseconds nor an ISO 8601 time"
        ) from error
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp() * MS_PER_S


def format_time(time_ms: float) -> str:
    """Return an ISO 8601 time in UTC with milliseconds."""
    moment = datetime.fromtimestamp(time_ms / MS_PER_S, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
