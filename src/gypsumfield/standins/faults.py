"""Faults that can be armed on a stand-in, for one step of a request's path.

A crash drops the connection, a stall makes it wait, and a partition lets
neither side hear the other although neither is told.
"""

from collections.abc import Callable
from typing import Literal

import msgspec
from gevent.event import Event

from gypsumfield.clock import MS_PER_S

FaultKind = Literal["crash", "stall", "partition"]
FaultStep = Literal[
    "before-connect",
    "connected",
    "headers-sent",
    "body-sent",
    "first-byte",
    "mid-stream",
    "end-marker",
    "pool-return",
]

FOREVER = -1
STANDIN_PREFIX = "/standin/"


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault to arm.

    Attributes:
        kind: What happens.
        step: Where on the path of a request it happens.
        count: For how many requests; -1 is until it is cleared.
        duration_ms: How long a stall lasts, and any fault at
            ``before-connect``, where nobody could reach the stand-in to end it.
        has_run: Whether a request that meets the fault at ``body-sent`` is run
            first.
        is_fatal: Whether a crash takes the whole process state with it.
        has_reset: Whether a crash resets the connection instead of closing it.
        path_prefix: Only requests whose path starts so; empty is all.
    """

    kind: FaultKind
    step: FaultStep
    count: int = 1
    duration_ms: float = 60_000.0
    has_run: bool = True
    is_fatal: bool = False
    has_reset: bool = True
    path_prefix: str = ""


class FaultOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``PUT /standin/faults``; it replaces what was armed.

    Attributes:
        faults: Faults of the request path.
        cold_ms: Turns an engine cold for so long.
        is_restart: Restarts an engine: it loses all and gets a new boot id.
        are_orders_fenced: Whether an engine refuses old fencing numbers.
        is_leaving: Whether an engine refuses new work because it is leaving.
        is_decoding_paused: Whether an engine decodes nothing.
        duplicate_event_count: Next token events that are sent twice.
        gap_event_count: Next token events that are left out.
        early_end_count: Next streams that end in good order before the event
            that has the finish reason.
        crossed_answer_count: Next answers that carry another's request id, and
            from a plain service another's body.
        late_answer_ms: Delay before every answer.
    """

    faults: tuple[Fault, ...] = ()
    cold_ms: float = 0.0
    is_restart: bool = False
    are_orders_fenced: bool | None = None
    is_leaving: bool = False
    is_decoding_paused: bool = False
    duplicate_event_count: int = 0
    gap_event_count: int = 0
    early_end_count: int = 0
    crossed_answer_count: int = 0
    late_answer_ms: float = 0.0


class FaultHitCount(msgspec.Struct, frozen=True):
    """How often a fault took effect, by ``KIND STEP``."""

    hits: dict[str, int]


class FaultBoard:
    """Armed faults of one stand-in.

    Attributes:
        hits: How often each took effect, by ``KIND STEP``.
        on_hit: Called whenever one takes effect.
    """

    def __init__(self) -> None:
        self._armed: list[tuple[Fault, int]] = []
        self._released = Event()
        self.hits: dict[str, int] = {}
        self.on_hit: Callable[[], None] = lambda: None

    def arm(self, faults: tuple[Fault, ...]) -> None:
        """Replace the armed faults and end those that still hold requests."""
        self._released.set()
        self._released = Event()
        self._armed = [(fault, fault.count) for fault in faults]

    def clear(self) -> None:
        """Disarm everything."""
        self.arm(())

    def peek(self, step: FaultStep) -> Fault | None:
        """Return the armed fault of a step without using it up."""
        for fault, _ in self._armed:
            if fault.step == step:
                return fault
        return None

    def take(self, step: FaultStep, path: str = "") -> Fault | None:
        """Return the fault that hits a request at this step, if any."""
        if path.startswith(STANDIN_PREFIX):
            return None
        for position, (fault, remaining) in enumerate(self._armed):
            if fault.step != step or not path.startswith(fault.path_prefix):
                continue
            if remaining == 1:
                del self._armed[position]
            elif remaining != FOREVER:
                self._armed[position] = (fault, remaining - 1)
            name = f"{fault.kind} {fault.step}"
            self.hits[name] = self.hits.get(name, 0) + 1
            self.on_hit()
            return fault
        return None

    def hold(self, duration_ms: float | None) -> None:
        """Wait for a time, or until the faults are replaced."""
        timeout_s = None if duration_ms is None else duration_ms / MS_PER_S
        self._released.wait(timeout_s)
