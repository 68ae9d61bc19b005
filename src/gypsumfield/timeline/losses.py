"""Requests that were not served in full, sorted by the cause that the logs show."""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple
from xml.etree import ElementTree

import msgspec

from gypsumfield.timeline.records import ReadLine
from gypsumfield.timeline.svg import new_svg

# Requests of one log that are followed at once; of more, the oldest count as open.
OPEN_LIMIT = 20_000
# An engine that was out of reach explains what breaks off on it for so long.
UNREACHABLE_MEMORY_MS = 10_000.0
UNREACHABLE_LIMIT = 1_000
BAR_PX = 18
LABEL_PX = 230
WIDTH_PX = 720
SERVER_ERROR_STATUS = 500

GAP = "pause between events"
RUN_FAILED = "the server's run failed"
NO_PLACE = "waited without a place"
REFUSED = "refused"
HOST_STOPPED = "host stopped"
PARTED = "parted from its engine"
COPY_FAILED = "engine gone, its copy refused or gone"
NO_COPY = "engine gone without a copy"
CALLER_LEFT = "caller left"
TIME_OVER = "its time was over"
_PLACE_CODES = frozenset({"engines_full", "engines_quiet"})


class _Line(msgspec.Struct, frozen=True, gc=False):
    """The fields of an event that tell of a loss."""

    event: str
    host_id: str
    wall_ms: float = 0.0
    request_id: str = ""
    backend_server: str = ""
    route: str = ""
    code: str = ""
    stage: str = ""
    target: str = ""
    reason: str = ""
    status: int = 0
    longest_gap_ms: float = 0.0


class _Story:
    """What is known so far of one request."""

    __slots__ = ("backend_server", "failures", "has_begun", "has_copy", "route")

    def __init__(self) -> None:
        self.backend_server = ""
        self.route = ""
        self.has_begun = False
        self.has_copy = False
        self.failures: list[str] = []


class Loss(NamedTuple):
    """Losses of one cause.

    Attributes:
        cause: The cause, in words.
        request_count: Requests.
        worth: What they would have been worth.
        example: Id of one of them.
    """

    cause: str
    request_count: int
    worth: float
    example: str


class LossCounter:
    """Sorts requests by the cause of their loss, log by log, in bounded memory.

    Args:
        gap_limit_ms: Longest pause between events that is still on time.
        worth_of: Worth of a request by the name of its route.
    """

    def __init__(self, gap_limit_ms: float, worth_of: Mapping[str, float]) -> None:
        self._gap_limit_ms = gap_limit_ms
        self._worth_of = worth_of
        self._losses: dict[str, Loss] = {}
        self._open: OrderedDict[str, _Story] = OrderedDict()
        self._unreachable: OrderedDict[tuple[str, str], float] = OrderedDict()

    def read(self, lines: Iterable[ReadLine]) -> None:
        """Read one log to its end; what is still open then ended with its host."""
        for read in lines:
            try:
                line = _DECODER.decode(read.raw)
            except msgspec.MsgspecError:
                # Events of other programs may use a name for another type.
                continue
            self._take(line)
        for request_id, story in self._open.items():
            if story.backend_server:
                self._count(HOST_STOPPED, request_id, story)
        self._open.clear()
        self._unreachable.clear()

    def losses(self) -> list[Loss]:
        """Return the losses by cause, the one that is worth most first."""
        return sorted(self._losses.values(), key=lambda loss: (-loss.worth, loss.cause))

    def _take(self, line: _Line) -> None:
        if line.event == "engine_unreachable":
            self._unreachable[line.host_id, line.backend_server] = line.wall_ms
            if len(self._unreachable) > UNREACHABLE_LIMIT:
                self._unreachable.popitem(last=False)
        step = _STEPS.get(line.event)
        if step is not None and line.request_id:
            step(self._story(line.request_id), line)
        elif line.event in _ENDS and line.request_id:
            story = self._open.pop(line.request_id, None) or _Story()
            cause = _ENDS[line.event](self, story, line)
            if cause:
                self._count(cause, line.request_id, story)

    def _story(self, request_id: str) -> _Story:
        if request_id not in self._open:
            self._open[request_id] = _Story()
            if len(self._open) > OPEN_LIMIT:
                self._open.popitem(last=False)
        return self._open[request_id]

    def _count(self, cause: str, request_id: str, story: _Story) -> None:
        known = self._losses.get(cause, Loss(cause, 0, 0.0, request_id))
        worth = known.worth + self._worth_of.get(story.route, 1.0)
        self._losses[cause] = known._replace(
            request_count=known.request_count + 1, worth=worth
        )

    def _cause_of_completed(self, _story: _Story, line: _Line) -> str:
        if line.status >= SERVER_ERROR_STATUS:
            return RUN_FAILED
        return GAP if line.longest_gap_ms > self._gap_limit_ms else ""

    def _cause_of_refused(self, story: _Story, line: _Line) -> str:
        if line.code in _PLACE_CODES:
            return NO_PLACE
        if line.status < SERVER_ERROR_STATUS or not story.failures:
            return f"{REFUSED}: {line.code}"
        if line.code in ("timeout", "aborted"):
            return TIME_OVER
        return self._cause_of_break(story, line)

    def _cause_of_break(self, story: _Story, line: _Line) -> str:
        server = line.backend_server or story.backend_server
        parted_ms = self._unreachable.get((line.host_id, server))
        if parted_ms and line.wall_ms - parted_ms < UNREACHABLE_MEMORY_MS:
            return PARTED
        if line.code == "aborted" or "aborted" in story.failures:
            return CALLER_LEFT
        if not story.has_begun:
            return f"{REFUSED}: {line.code}"
        return COPY_FAILED if story.has_copy else NO_COPY

    def _cause_of_left(self, story: _Story, line: _Line) -> str:
        server = story.backend_server
        parted_ms = self._unreachable.get((line.host_id, server))
        is_parted = parted_ms and line.wall_ms - parted_ms < UNREACHABLE_MEMORY_MS
        return PARTED if is_parted else CALLER_LEFT


def _note_placed(story: _Story, line: _Line) -> None:
    story.backend_server = line.backend_server
    story.route = line.route or story.route


def _note_failed(story: _Story, line: _Line) -> None:
    story.failures.append(line.stage)


def _note_begun(story: _Story, _line: _Line) -> None:
    story.has_begun = True


def _note_copy(story: _Story, line: _Line) -> None:
    story.has_copy = story.has_copy or bool(line.target and not line.reason)


_STEPS: dict[str, Callable[[_Story, _Line], None]] = {
    "request_placed": _note_placed,
    "attempt_failed": _note_failed,
    "first_token": _note_begun,
    "copy_chosen": _note_copy,
    "run_copied": _note_copy,
}
_ENDS: dict[str, Callable[[LossCounter, _Story, _Line], str]] = {
    "request_completed": LossCounter._cause_of_completed,
    "request_refused": LossCounter._cause_of_refused,
    "request_failed": LossCounter._cause_of_break,
    "caller_gone": LossCounter._cause_of_left,
}
_DECODER = msgspec.json.Decoder(_Line)


def encode_losses(losses: Iterable[Loss]) -> str:
    """Return the losses as JSON."""
    return msgspec.json.encode([loss._asdict() for loss in losses]).decode()


def draw_losses(losses: list[Loss]) -> str:
    """Return an SVG with a bar for the worth of each cause."""
    height_px = BAR_PX * (len(losses) + 1)
    root = new_svg(WIDTH_PX, height_px)
    most = max((loss.worth for loss in losses), default=1.0)
    for row, loss in enumerate(losses):
        top_px = BAR_PX * row + 4
        width_px = (WIDTH_PX - LABEL_PX - 120) * loss.worth / most
        place = {"y": str(top_px), "height": str(BAR_PX - 4)}
        bar = {**place, "x": str(LABEL_PX), "width": f"{width_px:.1f}"}
        ElementTree.SubElement(root, "rect", bar, fill="#2c3e50")
        baseline_px = str(top_px + BAR_PX - 8)
        label = ElementTree.SubElement(root, "text", x="4", y=baseline_px)
        label.text = loss.cause
        x_px = f"{LABEL_PX + width_px + 6:.1f}"
        figure = ElementTree.SubElement(root, "text", x=x_px, y=baseline_px)
        figure.text = f"{loss.worth:g} ({loss.request_count} requests)"
    return ElementTree.tostring(root, encoding="unicode")
