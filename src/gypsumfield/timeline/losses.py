"""Classifies requests that were not served in full by the cause in the logs."""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple
from xml.etree import ElementTree

import msgspec

from gypsumfield.timeline.records import ParsedLine
from gypsumfield.timeline.svg import create_svg

# Open requests of one log that are tracked at once; beyond it the oldest is dropped.
OPEN_REQUEST_LIMIT = 20_000
# A loss on an engine that was reported unreachable at most this long before is
# attributed to the partition.
UNREACHABLE_WINDOW_MS = 10_000.0
UNREACHABLE_ENGINE_LIMIT = 1_000
BAR_PX = 18
LABEL_PX = 230
WIDTH_PX = 720
SERVER_ERROR_STATUS = 500

LONG_GAP = "pause between events"
RUN_FAILED = "the server's run failed"
NO_CAPACITY = "waited without a place"
REFUSED = "refused"
HOST_STOPPED = "host stopped"
PARTITIONED = "parted from its engine"
COPY_FAILED = "engine gone, its copy refused or gone"
WITHOUT_COPY = "engine gone without a copy"
CALLER_DISCONNECTED = "caller left"
DEADLINE_EXCEEDED = "its time was over"
_CAPACITY_CODES = frozenset({"engines_full", "engines_quiet"})


class _Line(msgspec.Struct, frozen=True, gc=False):
    """The fields of an event from which the cause of a loss is derived."""

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


class _RequestState:
    """State of a request whose end has not been read yet."""

    __slots__ = ("backend_server", "failures", "has_begun", "has_copy", "route")

    def __init__(self) -> None:
        self.backend_server = ""
        self.route = ""
        self.has_begun = False
        self.has_copy = False
        self.failures: list[str] = []


class Loss(NamedTuple):
    """All losses with the same cause.

    Attributes:
        cause: Description of the cause.
        request_count: Number of lost requests.
        worth: Sum of the values that the requests would have had.
        example: Id of one of the requests.
    """

    cause: str
    request_count: int
    worth: float
    example: str


class LossCounter:
    """Counts lost requests by cause, one log after the other, in bounded memory.

    Args:
        gap_limit_ms: Longest pause between two events of an answer with which the
            answer still counts as on time.
        worth_by_route: Value of one request by the name of its route; 1 for other
            routes.
    """

    def __init__(
        self, gap_limit_ms: float, worth_by_route: Mapping[str, float]
    ) -> None:
        self._gap_limit_ms = gap_limit_ms
        self._worth_by_route = worth_by_route
        self._losses: dict[str, Loss] = {}
        self._open: OrderedDict[str, _RequestState] = OrderedDict()
        self._unreachable: OrderedDict[tuple[str, str], float] = OrderedDict()

    def read(self, lines: Iterable[ParsedLine]) -> None:
        """Read one log to its end.

        Requests that were placed on a server and are still open at the end of the log
        count as lost because the host stopped.
        """
        for parsed in lines:
            try:
                line = _DECODER.decode(parsed.raw)
            except msgspec.MsgspecError:
                # Other programs may use a field name for another type.
                continue
            self._process_line(line)
        for request_id, state in self._open.items():
            if state.backend_server:
                self._add_loss(HOST_STOPPED, request_id, state)
        self._open.clear()
        self._unreachable.clear()

    def losses(self) -> list[Loss]:
        """Return the losses by cause, sorted by descending worth."""
        return sorted(self._losses.values(), key=lambda loss: (-loss.worth, loss.cause))

    def _process_line(self, line: _Line) -> None:
        if line.event == "engine_unreachable":
            self._unreachable[line.host_id, line.backend_server] = line.wall_ms
            if len(self._unreachable) > UNREACHABLE_ENGINE_LIMIT:
                self._unreachable.popitem(last=False)
        update_state = _STATE_UPDATES.get(line.event)
        if update_state is not None and line.request_id:
            update_state(self._state_of(line.request_id), line)
        elif line.event in _CAUSE_RULES and line.request_id:
            state = self._open.pop(line.request_id, None) or _RequestState()
            cause = _CAUSE_RULES[line.event](self, state, line)
            if cause:
                self._add_loss(cause, line.request_id, state)

    def _state_of(self, request_id: str) -> _RequestState:
        if request_id not in self._open:
            self._open[request_id] = _RequestState()
            if len(self._open) > OPEN_REQUEST_LIMIT:
                self._open.popitem(last=False)
        return self._open[request_id]

    def _add_loss(self, cause: str, request_id: str, state: _RequestState) -> None:
        loss = self._losses.get(cause, Loss(cause, 0, 0.0, request_id))
        worth = loss.worth + self._worth_by_route.get(state.route, 1.0)
        self._losses[cause] = loss._replace(
            request_count=loss.request_count + 1, worth=worth
        )

    def _cause_after_completion(self, _state: _RequestState, line: _Line) -> str:
        if line.status >= SERVER_ERROR_STATUS:
            return RUN_FAILED
        return LONG_GAP if line.longest_gap_ms > self._gap_limit_ms else ""

    def _cause_of_refusal(self, state: _RequestState, line: _Line) -> str:
        if line.code in _CAPACITY_CODES:
            return NO_CAPACITY
        if line.status < SERVER_ERROR_STATUS or not state.failures:
            return f"{REFUSED}: {line.code}"
        if line.code in ("timeout", "aborted"):
            return DEADLINE_EXCEEDED
        return self._cause_of_failure(state, line)

    def _cause_of_failure(self, state: _RequestState, line: _Line) -> str:
        server = line.backend_server or state.backend_server
        unreachable_ms = self._unreachable.get((line.host_id, server))
        if unreachable_ms and line.wall_ms - unreachable_ms < UNREACHABLE_WINDOW_MS:
            return PARTITIONED
        if line.code == "aborted" or "aborted" in state.failures:
            return CALLER_DISCONNECTED
        if not state.has_begun:
            return f"{REFUSED}: {line.code}"
        return COPY_FAILED if state.has_copy else WITHOUT_COPY

    def _cause_of_disconnect(self, state: _RequestState, line: _Line) -> str:
        server = state.backend_server
        unreachable_ms = self._unreachable.get((line.host_id, server))
        is_partitioned = (
            unreachable_ms and line.wall_ms - unreachable_ms < UNREACHABLE_WINDOW_MS
        )
        return PARTITIONED if is_partitioned else CALLER_DISCONNECTED


def _record_placement(state: _RequestState, line: _Line) -> None:
    state.backend_server = line.backend_server
    state.route = line.route or state.route


def _record_failed_attempt(state: _RequestState, line: _Line) -> None:
    state.failures.append(line.stage)


def _record_first_token(state: _RequestState, _line: _Line) -> None:
    state.has_begun = True


def _record_copy(state: _RequestState, line: _Line) -> None:
    state.has_copy = state.has_copy or bool(line.target and not line.reason)


_STATE_UPDATES: dict[str, Callable[[_RequestState, _Line], None]] = {
    "request_placed": _record_placement,
    "attempt_failed": _record_failed_attempt,
    "first_token": _record_first_token,
    "copy_chosen": _record_copy,
    "run_copied": _record_copy,
}
_CAUSE_RULES: dict[str, Callable[[LossCounter, _RequestState, _Line], str]] = {
    "request_completed": LossCounter._cause_after_completion,
    "request_refused": LossCounter._cause_of_refusal,
    "request_failed": LossCounter._cause_of_failure,
    "caller_gone": LossCounter._cause_of_disconnect,
}
_DECODER = msgspec.json.Decoder(_Line)


def encode_losses(losses: Iterable[Loss]) -> str:
    """Return the losses as a JSON array of objects."""
    return msgspec.json.encode([loss._asdict() for loss in losses]).decode()


def draw_losses(losses: list[Loss]) -> str:
    """Return an SVG bar chart of the worth of the losses by cause."""
    height_px = BAR_PX * (len(losses) + 1)
    root = create_svg(WIDTH_PX, height_px)
    largest_worth = max((loss.worth for loss in losses), default=1.0)
    for row, loss in enumerate(losses):
        top_px = BAR_PX * row + 4
        width_px = (WIDTH_PX - LABEL_PX - 120) * loss.worth / largest_worth
        geometry = {"y": str(top_px), "height": str(BAR_PX - 4)}
        bar = {**geometry, "x": str(LABEL_PX), "width": f"{width_px:.1f}"}
        ElementTree.SubElement(root, "rect", bar, fill="#2c3e50")
        baseline_px = str(top_px + BAR_PX - 8)
        label = ElementTree.SubElement(root, "text", x="4", y=baseline_px)
        label.text = loss.cause
        x_px = f"{LABEL_PX + width_px + 6:.1f}"
        value_label = ElementTree.SubElement(root, "text", x=x_px, y=baseline_px)
        value_label.text = f"{loss.worth:g} ({loss.request_count} requests)"
    return ElementTree.tostring(root, encoding="unicode")
