"""Faults that can be armed on a stand-in for one step of processing a request.

A crash drops the connection, and a stall delays the request. A partition stops all
traffic on the connection without closing it, until the faults are replaced.
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

UNLIMITED_COUNT = -1
STANDIN_PREFIX = "/standin/"


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault to arm.

    Attributes:
        kind: Effect of the fault.
        step: Step of the request at which it takes effect.
        count: Number of requests that it hits; -1 means until it is replaced.
        duration_ms: Duration of a stall, and of any fault at ``before-connect``,
            where no request could reach the stand-in to end it.
        has_run: Whether a request hit at ``body-sent`` is run before the fault takes
            effect.
        is_fatal: Whether a crash also loses the state of the process.
        has_reset: Whether a crash resets the connection instead of closing it.
        path_prefix: Prefix of the request paths that it hits; empty means all.
    """

    kind: FaultKind
    step: FaultStep
    count: int = 1
    duration_ms: float = 60_000.0
    has_run: bool = True
    is_fatal: bool = False
    has_reset: bool = True
    path_prefix: str = ""


class FaultSet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``PUT /standin/faults``; it replaces all armed faults.

    Attributes:
        faults: Faults at steps of a request.
        cold_ms: How long an engine becomes cold from now on; 0 has no effect.
        is_restart: Whether an engine restarts now, without its generations and
            with a new boot id.
        are_orders_fenced: Whether an engine refuses stale fencing numbers; None
            leaves this unchanged.
        is_leaving: Whether an engine refuses new generations because it is leaving.
        is_decoding_paused: Whether an engine stops decoding.
        duplicate_event_count: Number of the next token events that are sent twice.
        gap_event_count: Number of the next token events that are omitted.
        early_end_count: Number of the next streams that end without an error before
            the event with the finish reason.
        crossed_answer_count: Number of the next responses that have the request id
            of another request, and from a plain service also its body.
        late_answer_ms: Delay before every response of a plain service, and before an
            engine handles the start of a generation.
        deadly_text: Text on which an engine crashes when it is in a prompt: all its
            generations are lost as soon as it would write the first token. Empty for
            none.
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
    deadly_text: str = ""


class FaultHitCount(msgspec.Struct, frozen=True):
    """Body of the response to ``GET /standin/faults``.

    Attributes:
        hits: How often faults took effect, by ``KIND STEP``.
    """

    hits: dict[str, int]


class ArmedFaults:
    """Armed faults of one stand-in, with the number of requests left for each.

    Attributes:
        hits: How often faults took effect, by ``KIND STEP``.
        on_hit: Called whenever a fault takes effect on a request.
    """

    def __init__(self) -> None:
        self._armed: list[tuple[Fault, int]] = []
        self._replaced = Event()
        self.hits: dict[str, int] = {}
        self.on_hit: Callable[[], None] = lambda: None

    def arm(self, faults: tuple[Fault, ...]) -> None:
        """Replace the armed faults, and end every wait in `wait_until_replaced`."""
        self._replaced.set()
        self._replaced = Event()
        self._armed = [(fault, fault.count) for fault in faults]

    def clear(self) -> None:
        """Disarm all faults."""
        self.arm(())

    def peek(self, step: FaultStep) -> Fault | None:
        """Return the first fault armed for a step, without counting a hit."""
        for fault, _ in self._armed:
            if fault.step == step:
                return fault
        return None

    def consume(self, step: FaultStep, path: str = "") -> Fault | None:
        """Return the fault that hits a request at this step, and count the hit.

        Returns:
            The fault, or None. Requests to the control routes are never hit.
        """
        if path.startswith(STANDIN_PREFIX):
            return None
        for position, (fault, remaining) in enumerate(self._armed):
            if fault.step != step or not path.startswith(fault.path_prefix):
                continue
            if remaining == 1:
                del self._armed[position]
            elif remaining != UNLIMITED_COUNT:
                self._armed[position] = (fault, remaining - 1)
            hit_name = f"{fault.kind} {fault.step}"
            self.hits[hit_name] = self.hits.get(hit_name, 0) + 1
            self.on_hit()
            return fault
        return None

    def wait_until_replaced(self, duration_ms: float | None) -> None:
        """Wait until the armed faults are replaced, or until a time has passed.

        Args:
            duration_ms: Maximum time to wait; None means no limit.
        """
        timeout_s = None if duration_ms is None else duration_ms / MS_PER_S
        self._replaced.wait(timeout_s)
