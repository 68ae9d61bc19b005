"""Estimates clock offsets between processes from the messages they exchanged.

A message cannot be received before it was sent. With ``x`` the correction added to
the times of a process, each message from A to B requires ``x_A - x_B <= received_B
- sent_A``. Only the smallest difference of each ordered pair matters. Shortest
paths over these bounds give the largest and the smallest corrections that satisfy
all of them. Their mean satisfies them as well, because the valid corrections form a
convex set. For two processes it is the usual estimate from round trips.
"""

import statistics
from collections import defaultdict
from collections import deque
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

INFINITY_MS = float("inf")
ROUNDING_MS = 1e-6
MIN_SLACK_MS = 1.0


class ClockBound(NamedTuple):
    """Smallest observed time from sending to receiving between two processes.

    Attributes:
        sender: Index of the sending process.
        receiver: Index of the receiving process.
        smallest_ms: Measured with uncorrected clocks, so it can be negative.
    """

    sender: int
    receiver: int
    smallest_ms: float


class ClockCorrections(NamedTuple):
    """Milliseconds to add to the times of each process.

    Attributes:
        corrections_ms: Corrections by process index.
        slack_ms: Largest time by which a message may still appear to be received
            before it was sent. It is 0 unless clocks drift against each other.
    """

    corrections_ms: list[float]
    slack_ms: float


def estimate_corrections(
    process_count: int, bounds: Iterable[ClockBound]
) -> ClockCorrections:
    """Return corrections that satisfy all ``bounds``.

    When no corrections do, the bounds are relaxed by a slack that starts at
    `MIN_SLACK_MS` and doubles until corrections exist. A process without messages
    in both directions keeps its own clock as far as the bounds allow.
    """
    bound_list = list(bounds)
    slack_ms = 0.0
    while True:
        corrections_ms = _find_corrections(process_count, bound_list, slack_ms)
        if corrections_ms is not None:
            return ClockCorrections(corrections_ms, slack_ms)
        slack_ms = max(MIN_SLACK_MS, slack_ms * 2.0)


def _find_corrections(
    process_count: int, bounds: list[ClockBound], slack_ms: float
) -> list[float] | None:
    # An edge from B to A with weight w means x_A <= x_B + w.
    forward: dict[int, dict[int, float]] = defaultdict(dict)
    for bound in bounds:
        forward[bound.receiver][bound.sender] = bound.smallest_ms + slack_ms
    backward = _reverse_edges(forward)
    initial_values_ms = [0.0] * process_count
    solved: set[int] = set()
    for reference in sorted(forward, key=lambda node: (-len(forward[node]), node)):
        if reference in solved:
            continue
        centre_ms = _centre_of_bounds(reference, process_count, forward, backward)
        if centre_ms is None:
            return None
        for node, correction_ms in centre_ms.items():
            if node not in solved:
                initial_values_ms[node] = correction_ms
        solved.update(centre_ms)
    return _relax(initial_values_ms, forward)


def _centre_of_bounds(
    reference: int,
    process_count: int,
    forward: Mapping[int, Mapping[int, float]],
    backward: Mapping[int, Mapping[int, float]],
) -> dict[int, float] | None:
    """Return the mean of the smallest and the largest correction of each process.

    Covers the processes that bounds connect with ``reference`` in both directions.
    Returns None when the bounds contradict each other.
    """
    distance_ms = [INFINITY_MS] * process_count
    distance_ms[reference] = 0.0
    largest_ms = _relax(distance_ms, forward)
    negated_smallest_ms = _relax(distance_ms, backward)
    if largest_ms is None or negated_smallest_ms is None:
        return None
    centre_ms = {
        node: (largest_ms[node] - negated_smallest_ms[node]) / 2.0
        for node in range(process_count)
        if INFINITY_MS not in (largest_ms[node], negated_smallest_ms[node])
    }
    # Assume that most clocks are right: the median correction becomes 0.
    shift_ms = statistics.median(centre_ms.values())
    return {node: value - shift_ms for node, value in centre_ms.items()}


def _relax(
    initial_values_ms: list[float], edges: Mapping[int, Mapping[int, float]]
) -> list[float] | None:
    """Lower the values until every edge is satisfied; None on a negative cycle."""
    values_ms = list(initial_values_ms)
    visit_counts = [0] * len(values_ms)
    queue = deque(node for node in sorted(edges) if values_ms[node] < INFINITY_MS)
    queued = set(queue)
    while queue:
        node = queue.popleft()
        queued.discard(node)
        visit_counts[node] += 1
        if visit_counts[node] > len(values_ms) + 1:
            return None
        for target, weight_ms in edges.get(node, {}).items():
            candidate_ms = values_ms[node] + weight_ms
            # Without a tolerance, rounding errors could look like a negative cycle.
            if candidate_ms < values_ms[target] - ROUNDING_MS:
                values_ms[target] = candidate_ms
                if target not in queued:
                    queued.add(target)
                    queue.append(target)
    return values_ms


def _reverse_edges(
    edges: Mapping[int, Mapping[int, float]],
) -> dict[int, dict[int, float]]:
    reversed_edges: dict[int, dict[int, float]] = defaultdict(dict)
    for node, targets in edges.items():
        for target, weight_ms in targets.items():
            reversed_edges[target][node] = weight_ms
    return reversed_edges
