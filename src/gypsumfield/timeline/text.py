"""Formats a timeline as text, as a list of events or with a lane for each host."""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from gypsumfield.timeline.filter import format_time
from gypsumfield.timeline.merge import TimedLine

HEADER_FIELDS = frozenset(
    {
        *("event", "host_id", "availability_zone", "wall_ms", "monotonic_ms", "line"),
        *("timestamp", "task_uuid", "task_level"),
    }
)
LANE_WIDTH = 14


def describe_fields(line: TimedLine) -> str:
    """Return the fields of an event except its name, host, zone and time."""
    details = msgspec.json.decode(line.raw)
    return " ".join(
        f"{name}={_format_value(value)}"
        for name, value in details.items()
        if name not in HEADER_FIELDS and value not in ("", None)
    )


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    text = make_printable(str(value))
    return f'"{text}"' if " " in text else text


def make_printable(text: str) -> str:
    """Replace control characters by ``?``, since a terminal would interpret them."""
    if text.isprintable():
        return text
    return "".join(character if character.isprintable() else "?" for character in text)


def format_lines(lines: Iterable[TimedLine]) -> Iterator[str]:
    """Yield one line of text for each event: time, host and zone, name, fields."""
    for line in lines:
        fields = line.fields
        origin = make_printable(f"{fields.host_id}/{fields.availability_zone}")
        event = make_printable(fields.event)
        yield (
            f"{format_time(line.time_ms)}  {origin:<24} {event:<22} "
            f"{describe_fields(line)}"
        ).rstrip()


def draw_lanes(lines: Iterable[TimedLine], hosts: list[str]) -> Iterator[str]:
    """Yield lines of text with a lane for each of ``hosts``, time running down."""
    yield (
        " " * 26 + "".join(_lane_cell(make_printable(host)) for host in hosts).rstrip()
    )
    start_ms: float | None = None
    for line in lines:
        start_ms = line.time_ms if start_ms is None else start_ms
        cells = "".join(
            _lane_cell("●" if host == line.fields.host_id else "│") for host in hosts
        )
        elapsed = f"+{line.time_ms - start_ms:,.1f} ms"
        event = make_printable(line.fields.event)
        yield f"{elapsed:>24}  {cells}{event} {describe_fields(line)}".rstrip()


def _lane_cell(text: str) -> str:
    return text[: LANE_WIDTH - 1].ljust(LANE_WIDTH)
