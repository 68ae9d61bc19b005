"""Drawing of a time line as SVG: a lane per process, time going down."""

from collections.abc import Iterable
from typing import NamedTuple
from xml.etree import ElementTree

from gypsumfield.timeline.merge import MESSAGE_RECEIVED
from gypsumfield.timeline.merge import MESSAGE_SENT
from gypsumfield.timeline.merge import TimedLine
from gypsumfield.timeline.text import describe_fields
from gypsumfield.timeline.text import printable

EVENT_LIMIT = 2_000
LANE_GAP_PX = 180
ROW_HEIGHT_PX = 18
TOP_PX = 50
LEFT_PX = 130
DOT_RADIUS_PX = 4
LABEL_LIMIT_CHARACTERS = 60

COLOUR_OF_TROUBLE = "#c0392b"
COLOUR_OF_GOOD_END = "#1e8449"
COLOUR_OF_CHANGE = "#b9770e"
COLOUR_OF_OTHER = "#2c3e50"
COLOURS = {
    **dict.fromkeys(
        ("request_refused", "request_failed", "attempt_failed", "stream_stalled"),
        COLOUR_OF_TROUBLE,
    ),
    **dict.fromkeys(("platform_unreachable", "host_paused"), COLOUR_OF_TROUBLE),
    **dict.fromkeys(("request_completed", "zone_back"), COLOUR_OF_GOOD_END),
    **dict.fromkeys(("zone_out", "owner_changed", "host_draining"), COLOUR_OF_CHANGE),
}


class _Point(NamedTuple):
    x_px: int
    y_px: int


class _Drawing(NamedTuple):
    """An SVG tree under construction and where its lanes stand."""

    root: ElementTree.Element
    lanes_px: dict[str, int]


def draw_svg(lines: Iterable[TimedLine]) -> str:
    """Return an SVG of the first `EVENT_LIMIT` events; says if there are more."""
    shown: list[TimedLine] = []
    left_out_count = 0
    for line in lines:
        if len(shown) < EVENT_LIMIT:
            shown.append(line)
        else:
            left_out_count += 1
    drawing = _start_drawing(shown)
    sent: dict[str, _Point] = {}
    for row, line in enumerate(shown):
        point = _Point(
            drawing.lanes_px[line.fields.host_id], TOP_PX + ROW_HEIGHT_PX * (row + 1)
        )
        _draw_event(drawing, point, line, shown[0].time_ms)
        _draw_arrows(drawing, point, line, sent)
    if left_out_count:
        bottom_px = TOP_PX + ROW_HEIGHT_PX * (len(shown) + 1)
        text = f"{left_out_count} more events are not drawn"
        _add_text(drawing.root, _Point(10, bottom_px), text)
    return ElementTree.tostring(drawing.root, encoding="unicode")


def new_svg(width_px: int, height_px: int) -> ElementTree.Element:
    """Return an empty picture with the font of all our pictures."""
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


def _start_drawing(shown: list[TimedLine]) -> _Drawing:
    names = list(
        dict.fromkeys(
            name
            for line in shown
            for name in (line.fields.host_id, _target_of(line))
            if name
        )
    )
    lanes_px = {name: LEFT_PX + LANE_GAP_PX * at for at, name in enumerate(names)}
    width_px = LEFT_PX + LANE_GAP_PX * max(1, len(names)) + 2 * LANE_GAP_PX
    height_px = TOP_PX + ROW_HEIGHT_PX * (len(shown) + 2)
    root = new_svg(width_px, height_px)
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
        fill=COLOURS.get(line.fields.event, COLOUR_OF_OTHER),
    )
    details = f"{line.fields.event} {describe_fields(line)}"
    ElementTree.SubElement(dot, "title").text = printable(details)
    time_point = _Point(10, point.y_px + DOT_RADIUS_PX)
    _add_text(drawing.root, time_point, f"+{line.time_ms - start_ms:,.1f} ms")
    label_point = _Point(point.x_px + 8, point.y_px + DOT_RADIUS_PX)
    _add_text(drawing.root, label_point, line.fields.event)


def _draw_arrows(
    drawing: _Drawing, point: _Point, line: TimedLine, sent: dict[str, _Point]
) -> None:
    fields = line.fields
    if fields.event == MESSAGE_SENT:
        sent[fields.message_id] = point
    elif fields.event == MESSAGE_RECEIVED and fields.message_id in sent:
        _add_line(drawing.root, sent[fields.message_id], point, "#5dade2")
    elif fields.event == "request_sent" and fields.backend_server:
        end_px = drawing.lanes_px[fields.backend_server]
        _add_line(drawing.root, point, _Point(end_px, point.y_px), "#8e44ad")


def _target_of(line: TimedLine) -> str:
    return line.fields.backend_server if line.fields.event == "request_sent" else ""


def _add_text(root: ElementTree.Element, point: _Point, text: str) -> None:
    element = ElementTree.SubElement(root, "text", x=str(point.x_px), y=str(point.y_px))
    element.text = printable(text)[:LABEL_LIMIT_CHARACTERS]


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
