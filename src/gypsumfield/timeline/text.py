"""Text forms of a time line: one event a line, and lanes per process."""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from gypsumfield.timeline.filter import format_time
from gypsumfield.timeline.merge import TimedLine

ORDER_FIELDS = frozenset(
    {
        *("event", "host_id", "availability_zone", "wall_ms", "monotonic_ms", "line"),
        *("timestamp", "task_uuid", "task_level"),
    }
)
LANE_WIDTH = 14


def describe_fields(line: TimedLine) -> str:
    """Return the fields of an event beside its name, place and time."""
    details = msgspec.json.decode(line.raw)
    return " ".join(
        f"{name}={_text_of(value)}"
        for name, value in details.items()
        if name not in ORDER_FIELDS and value not in ("", None)
    )


def _text_of(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    text = printable(str(value))
    return f'"{text}"' if " " in text else text


def printable(text: str) -> str:
    """Return ``text`` without control characters, which a terminal would obey."""
    if text.isprintable():
        return text
    return "".join(mark if mark.isprintable() else "?" for mark in text)


def format_lines(lines: Iterable[TimedLine]) -> Iterator[str]:
    """Yield one text line for each event."""
    for line in lines:
        fields = line.fields
        place = printable(f"{fields.host_id}/{fields.availability_zone}")
        event = printable(fields.event)
        yield (
            f"{format_time(line.time_ms)}  {place:<24} {event:<22} "
            f"{describe_fields(line)}"
        ).rstrip()


def draw_lanes(lines: Iterable[TimedLine], hosts: list[str]) -> Iterator[str]:
    """Yield a drawing with a lane for each of ``hosts``, time going down."""
    yield " " * 26 + "".join(_lane_cell(printable(host)) for host in hosts).rstrip()
    start_ms: float | None = None
    for line in lines:
        start_ms = line.time_ms if start_ms is None else start_ms
        marks = "".join(
            _lane_cell("●" if host == line.fields.host_id else "│") for host in hosts
        )
        elapsed = f"+{line.time_ms - start_ms:,.1f} ms"
        event = printable(line.fields.event)
        yield f"{elapsed:>24}  {marks}{event} {describe_fields(line)}".rstrip()


def _lane_cell(text: str) -> str:
    return text[: LANE_WIDTH - 1].ljust(LANE_WIDTH)
