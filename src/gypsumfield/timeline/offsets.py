"""Estimation of clock offsets between processes from messages they exchanged.

A message cannot arrive before it was sent. With ``x`` the correction added to
a process's times, each message from A to B asks ``x_A - x_B <= received_B -
sent_A``; only the smallest difference of each ordered pair binds. Shortest
paths over these bounds give the largest and the smallest corrections that fit
all of them. Their mean fits as well, since the corrections that fit form a
convex set, and for two processes it is the usual estimate from round trips.
"""

import statistics
from collections import defaultdict
from collections import deque
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

INFINITY_MS = float("inf")
ROUNDING_MS = 1e-6
SMALLEST_SLACK_MS = 1.0


class ClockBound(NamedTuple):
    """Smallest observed time from sending to receiving between two processes.

    Attributes:
        sender: Index of the sending process.
        receiver: Index of the receiving process.
        smallest_ms: By their uncorrected clocks; below 0 when they disagree.
    """

    sender: int
    receiver: int
    smallest_ms: float


class ClockCorrections(NamedTuple):
    """Milliseconds to add to the times of each process.

    Attributes:
        corrections_ms: By process index.
        slack_ms: Largest time by which a message may still seem to arrive
            before it was sent. It is 0 unless clocks drift against each other.
    """

    corrections_ms: list[float]
    slack_ms: float


def estimate_corrections(
    process_count: int, bounds: Iterable[ClockBound]
) -> ClockCorrections:
    """Return corrections that fit all ``bounds``, with the least slack.

    Processes without messages both ways to others keep their own clock as far
    as the bounds allow.
    """
    known = list(bounds)
    slack_ms = 0.0
    while True:
        corrections_ms = _fit(process_count, known, slack_ms)
        if corrections_ms is not None:
            return ClockCorrections(corrections_ms, slack_ms)
        slack_ms = max(SMALLEST_SLACK_MS, slack_ms * 2.0)


def _fit(
    process_count: int, bounds: list[ClockBound], slack_ms: float
) -> list[float] | None:
    # An edge from B to A with weight w stands for x_A <= x_B + w.
    forward: dict[int, dict[int, float]] = defaultdict(dict)
    for bound in bounds:
        forward[bound.receiver][bound.sender] = bound.smallest_ms + slack_ms
    backward = _reversed(forward)
    initial_ms = [0.0] * process_count
    placed: set[int] = set()
    for reference in sorted(forward, key=lambda node: (-len(forward[node]), node)):
        if reference in placed:
            continue
        centre_ms = _centre_around(reference, process_count, forward, backward)
        if centre_ms is None:
            return None
        for node, correction_ms in centre_ms.items():
            if node not in placed:
                initial_ms[node] = correction_ms
        placed.update(centre_ms)
    return _relax(initial_ms, forward)


def _centre_around(
    reference: int,
    process_count: int,
    forward: Mapping[int, Mapping[int, float]],
    backward: Mapping[int, Mapping[int, float]],
) -> dict[int, float] | None:
    """Return mean corrections of the processes tied to ``reference`` both ways."""
    start_ms = [INFINITY_MS] * process_count
    start_ms[reference] = 0.0
    largest_ms = _relax(start_ms, forward)
    smallest_ms = _relax(start_ms, backward)
    if largest_ms is None or smallest_ms is None:
        return None
    centre_ms = {
        node: (largest_ms[node] - smallest_ms[node]) / 2.0
        for node in range(process_count)
        if INFINITY_MS not in (largest_ms[node], smallest_ms[node])
    }
    # Most clocks are taken to be right.
    shift_ms = statistics.median(centre_ms.values())
    return {node: value - shift_ms for node, value in centre_ms.items()}


def _relax(
    initial_ms: list[float], edges: Mapping[int, Mapping[int, float]]
) -> list[float] | None:
    """Return ``initial_ms`` lowered until every edge fits; None when none can."""
    values_ms = list(initial_ms)
    visits = [0] * len(values_ms)
    waiting = deque(node for node in sorted(edges) if values_ms[node] < INFINITY_MS)
    queued = set(waiting)
    while waiting:
        node = waiting.popleft()
        queued.discard(node)
        visits[node] += 1
        if visits[node] > len(values_ms) + 1:
            return None
        for target, weight_ms in edges.get(node, {}).items():
            candidate_ms = values_ms[node] + weight_ms
            # A tolerance keeps rounding from looking like a contradiction.
            if candidate_ms < values_ms[target] - ROUNDING_MS:
                values_ms[target] = candidate_ms
                if target not in queued:
                    queued.add(target)
                    waiting.append(target)
    return values_ms


def _reversed(
    edges: Mapping[int, Mapping[int, float]],
) -> dict[int, dict[int, float]]:
    turned: dict[int, dict[int, float]] = defaultdict(dict)
    for node, targets in edges.items():
        for target, weight_ms in targets.items():
            turned[target][node] = weight_ms
    return turned
