"""Draws a timeline as SVG, with a lane for each host and time running down."""

from collections.abc import Iterable
from typing import NamedTuple
from xml.etree import ElementTree

from gypsumfield.timeline.merge import MESSAGE_RECEIVED
from gypsumfield.timeline.merge import MESSAGE_SENT
from gypsumfield.timeline.merge import TimedLine
from gypsumfield.timeline.text import describe_fields
from gypsumfield.timeline.text import make_printable

EVENT_LIMIT = 2_000
LANE_SPACING_PX = 180
ROW_HEIGHT_PX = 18
TOP_PX = 50
LEFT_PX = 130
DOT_RADIUS_PX = 4
LABEL_LIMIT_CHARACTERS = 60

FAILURE_COLOUR = "#c0392b"
SUCCESS_COLOUR = "#1e8449"
STATE_CHANGE_COLOUR = "#b9770e"
DEFAULT_COLOUR = "#2c3e50"
COLOURS_BY_EVENT = {
    **dict.fromkeys(
        ("request_refused", "request_failed", "attempt_failed", "stream_stalled"),
        FAILURE_COLOUR,
    ),
    **dict.fromkeys(("platform_unreachable", "host_paused"), FAILURE_COLOUR),
    **dict.fromkeys(("request_completed", "zone_back"), SUCCESS_COLOUR),
    **dict.fromkeys(
        ("zone_out", "owner_changed", "host_draining"), STATE_CHANGE_COLOUR
    ),
}


class _Point(NamedTuple):
    x_px: int
    y_px: int


class _Drawing(NamedTuple):
    """An SVG tree under construction and the x positions of its lanes."""

    root: ElementTree.Element
    lanes_px: dict[str, int]


def draw_svg(lines: Iterable[TimedLine]) -> str:
    """Return an SVG of the first `EVENT_LIMIT` events.

    If there are more events, a text below the drawing gives their number.
    """
    drawn_lines: list[TimedLine] = []
    omitted_count = 0
    for line in lines:
        if len(drawn_lines) < EVENT_LIMIT:
            drawn_lines.append(line)
        else:
            omitted_count += 1
    drawing = _start_drawing(drawn_lines)
    send_points: dict[str, _Point] = {}
    for row, line in enumerate(drawn_lines):
        point = _Point(
            drawing.lanes_px[line.fields.host_id], TOP_PX + ROW_HEIGHT_PX * (row + 1)
        )
        _draw_event(drawing, point, line, drawn_lines[0].time_ms)
        _draw_arrows(drawing, point, line, send_points)
    if omitted_count:
        bottom_px = TOP_PX + ROW_HEIGHT_PX * (len(drawn_lines) + 1)
        text = f"{omitted_count} more events are not drawn"
        _add_text(drawing.root, _Point(10, bottom_px), text)
    return ElementTree.tostring(drawing.root, encoding="unicode")


def create_svg(width_px: int, height_px: int) -> ElementTree.Element:
    """Return an empty SVG with the font that all drawings of this package use."""
    root = ElementTree.Element(
        "svg",
        xmlns="http://www.w3.org/2000/svg",
        viewBox=f"0 0 {width_px} {height_px}",
        width=str(width_px),
        height=str(height_px),
    )
    root.set("font-family", "sans-serif")
    root.set("font-size", "11")
    return root


def _start_drawing(drawn_lines: list[TimedLine]) -> _Drawing:
    names = list(
        dict.fromkeys(
            name
            for line in drawn_lines
            for name in (line.fields.host_id, _request_target(line))
            if name
        )
    )
    lanes_px = {
        name: LEFT_PX + LANE_SPACING_PX * lane for lane, name in enumerate(names)
    }
    width_px = LEFT_PX + LANE_SPACING_PX * max(1, len(names)) + 2 * LANE_SPACING_PX
    height_px = TOP_PX + ROW_HEIGHT_PX * (len(drawn_lines) + 2)
    root = create_svg(width_px, height_px)
    for name, x_px in lanes_px.items():
        _add_text(root, _Point(x_px - 40, TOP_PX - 20), name)
        _add_line(root, _Point(x_px, TOP_PX - 10), _Point(x_px, height_px), "#bbbbbb")
    return _Drawing(root, lanes_px)


def _draw_event(
    drawing: _Drawing, point: _Point, line: TimedLine, start_ms: float
) -> None:
    dot = ElementTree.SubElement(
        drawing.root,
        "circle",
        cx=str(point.x_px),
        cy=str(point.y_px),
        r=str(DOT_RADIUS_PX),
        fill=COLOURS_BY_EVENT.get(line.fields.event, DEFAULT_COLOUR),
    )
    details = f"{line.fields.event} {describe_fields(line)}"
    ElementTree.SubElement(dot, "title").text = make_printable(details)
    time_point = _Point(10, point.y_px + DOT_RADIUS_PX)
    _add_text(drawing.root, time_point, f"+{line.time_ms - start_ms:,.1f} ms")
    label_point = _Point(point.x_px + 8, point.y_px + DOT_RADIUS_PX)
    _add_text(drawing.root, label_point, line.fields.event)


def _draw_arrows(
    drawing: _Drawing, point: _Point, line: TimedLine, send_points: dict[str, _Point]
) -> None:
    fields = line.fields
    if fields.event == MESSAGE_SENT:
        send_points[fields.message_id] = point
    elif fields.event == MESSAGE_RECEIVED and fields.message_id in send_points:
        _add_line(drawing.root, send_points[fields.message_id], point, "#5dade2")
    elif fields.event == "request_sent" and fields.backend_server:
        end_px = drawing.lanes_px[fields.backend_server]
        _add_line(drawing.root, point, _Point(end_px, point.y_px), "#8e44ad")


def _request_target(line: TimedLine) -> str:
    return line.fields.backend_server if line.fields.event == "request_sent" else ""


def _add_text(root: ElementTree.Element, point: _Point, text: str) -> None:
    element = ElementTree.SubElement(root, "text", x=str(point.x_px), y=str(point.y_px))
    element.text = make_printable(text)[:LABEL_LIMIT_CHARACTERS]


def _add_line(
    root: ElementTree.Element, start: _Point, end: _Point, colour: str
) -> None:
    ElementTree.SubElement(
        root,
        "line",
        x1=str(start.x_px),
        y1=str(start.y_px),
        x2=str(end.x_px),
        y2=str(end.y_px),
        stroke=colour,
    )
