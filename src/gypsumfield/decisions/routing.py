"""Choice of backend servers for one request, best first.

The own zone comes first. Within a zone two candidates are drawn at random, the
one that is believed to hold the most of the prompt joins them, and the cheapest
wins. Drawing keeps many hosts with the same old reports from choosing the same
backend server. Other zones get work only as far as the own one is crowded and
they have room.
"""

import math
import random
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from statistics import median
from typing import NamedTuple

from gypsumfield.decisions.workload import GenerationDemand

REPORT_HALF_LIFE_MS = 2_000.0
AFFINITY_WEIGHT = 0.25
WAITING_COST = 0.5
COLD_COST = 0.5
# Cost of a step that takes twice as long as the median one, up to a bound.
SLOWNESS_WEIGHT = 0.4
LARGEST_SLOWNESS_COST = 1.0
# Spill begins at this load of the own zone and is certain at the second one.
SPILL_FROM_LOAD = 0.85
SPILL_ALL_LOAD = 1.0
# A zone above this load gets nothing from others.
SPILL_CEILING_LOAD = 0.75
_UNKNOWN_LOAD = 0.7
_NOMINAL_IN_FLIGHT = 32


class BackendView(NamedTuple):
    """What an entry host knows of one backend server.

    Attributes:
        host_id: Backend server.
        availability_zone: Its zone.
        in_flight_count: Requests of this entry host in flight there.
        memory_used_tokens: Key-value memory by the latest report.
        memory_limit_tokens: Key-value memory in all; 0 when unknown, and for
            backend servers that are no engines.
        report_age_ms: Age of the report; infinite when there is none.
        is_cold: Whether it bears only a little load yet.
        running_count: Generations in its batch by the latest report.
        waiting_count: Generations that waited there by the latest report.
        sent_tokens: Predicted memory of the requests that this host has sent
            there since the report was taken.
        cached_share: Share of the prompt that is believed to be cached there.
        step_time_ms: Duration of its latest decode step; 0 when unknown.
    """

    host_id: str
    availability_zone: str
    in_flight_count: int = 0
    memory_used_tokens: int = 0
    memory_limit_tokens: int = 0
    report_age_ms: float = math.inf
    is_cold: bool = False
    running_count: int = 0
    waiting_count: int = 0
    sent_tokens: float = 0.0
    cached_share: float = 0.0
    step_time_ms: float = 0.0


class RoutingRules(NamedTuple):
    """Where a request may go.

    Attributes:
        own_zone: Zone of the entry host.
        zones_out: Zones that operators have taken out.
        excluded: Backend servers that are ejected, leaving or already tried.
    """

    own_zone: str
    zones_out: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()


def rank_backends(
    candidates: Iterable[BackendView],
    demand: GenerationDemand,
    rules: RoutingRules,
    rng: random.Random,
) -> list[BackendView]:
    """Return the backend servers to try, best first.

    Args:
        candidates: Views of all backend servers of the service.
        demand: The request.
        rules: Where it may go.
        rng: Source of the draws.
    """
    by_zone: dict[str, list[BackendView]] = {}
    for view in candidates:
        is_out = view.availability_zone in rules.zones_out
        if not is_out and view.host_id not in rules.excluded:
            by_zone.setdefault(view.availability_zone, []).append(view)
    own = by_zone.pop(rules.own_zone, [])
    costs = _Costs([*own, *(view for zone in by_zone.values() for view in zone)])
    own_order = _order(own, demand, costs, rng)
    others = _zones_by_draw(by_zone, costs, rng)
    with_room = [zone for zone in others if costs.load_of(zone) < SPILL_CEILING_LOAD]
    without = [zone for zone in others if costs.load_of(zone) >= SPILL_CEILING_LOAD]
    spilled = [v for zone in with_room for v in _order(zone, demand, costs, rng)]
    last = [v for zone in without for v in _order(zone, demand, costs, rng)]
    if own and spilled and rng.random() < _spill_chance(costs.load_of(own)):
        return [spilled[0], *own_order, *spilled[1:], *last]
    return [*own_order, *spilled, *last]


class _Costs:
    """Predicted loads of all candidates, as shares of their memory."""

    def __init__(self, views: Sequence[BackendView]) -> None:
        known = [
            _reported_load(view) for view in views if math.isfinite(view.report_age_ms)
        ]
        # A silent engine is taken for a busy one, but no busier than any other.
        mean = sum(known) / len(known) if known else _UNKNOWN_LOAD
        self._mistrusted_load = max(mean, _UNKNOWN_LOAD)
        self._loads = {view.host_id: self._predict(view) for view in views}
        steps_ms = [view.step_time_ms for view in views if view.step_time_ms > 0.0]
        self._usual_step_ms = median(steps_ms) if steps_ms else 0.0

    def _predict(self, view: BackendView) -> float:
        trust = math.exp2(-view.report_age_ms / REPORT_HALF_LIFE_MS)
        reported = _reported_load(view)
        load = trust * reported + (1.0 - trust) * max(reported, self._mistrusted_load)
        if view.memory_limit_tokens > 0:
            load += view.sent_tokens / view.memory_limit_tokens
        return load

    def load(self, view: BackendView) -> float:
        """Return the predicted load of one backend server."""
        return self._loads[view.host_id]

    def slowness_cost(self, view: BackendView) -> float:
        """Return the cost of steps that are slower than the median one."""
        if view.step_time_ms <= self._usual_step_ms or self._usual_step_ms <= 0.0:
            return 0.0
        trust = math.exp2(-view.report_age_ms / REPORT_HALF_LIFE_MS)
        slowness = view.step_time_ms / self._usual_step_ms - 1.0
        return trust * min(LARGEST_SLOWNESS_COST, SLOWNESS_WEIGHT * slowness)

    def load_of(self, zone: Sequence[BackendView]) -> float:
        """Return the mean predicted load of a zone."""
        return sum(self.load(view) for view in zone) / len(zone)


def _reported_load(view: BackendView) -> float:
    if view.memory_limit_tokens <= 0:
        return view.in_flight_count / _NOMINAL_IN_FLIGHT
    return view.memory_used_tokens / view.memory_limit_tokens


def _cost(view: BackendView, demand: GenerationDemand, costs: _Costs) -> float:
    cost = costs.load(view) + costs.slowness_cost(view)
    if view.memory_limit_tokens > 0:
        cost += demand.prompt_tokens / view.memory_limit_tokens
        cost += view.in_flight_count / _NOMINAL_IN_FLIGHT / 8
    if view.waiting_count > 0:
        cost += WAITING_COST
    if view.is_cold:
        cost += COLD_COST
    return cost - AFFINITY_WEIGHT * view.cached_share


def _order(
    views: Sequence[BackendView],
    demand: GenerationDemand,
    costs: _Costs,
    rng: random.Random,
) -> list[BackendView]:
    """Return ``views`` with the winner of the draw first, the rest by cost."""
    if not views:
        return []
    drawn = rng.sample(views, min(2, len(views)))
    most_cached = max(views, key=lambda view: view.cached_share)
    if most_cached.cached_share > 0.0:
        drawn.append(most_cached)
    first = min(drawn, key=lambda view: _cost(view, demand, costs))
    rest = [view for view in views if view is not first]
    rng.shuffle(rest)
    rest.sort(key=lambda view: _cost(view, demand, costs))
    return [first, *rest]


def _zones_by_draw(
    by_zone: Mapping[str, Sequence[BackendView]], costs: _Costs, rng: random.Random
) -> list[Sequence[BackendView]]:
    """Return the zones in a random order that favours those with more room."""
    keys = {
        name: rng.random() ** (1.0 / _room(zone, costs))
        for name, zone in sorted(by_zone.items())
    }
    return [by_zone[name] for name in sorted(keys, key=lambda name: -keys[name])]


def _room(zone: Sequence[BackendView], costs: _Costs) -> float:
    spare = max(0.01, 1.0 - costs.load_of(zone))
    return spare * len(zone)


def _spill_chance(own_load: float) -> float:
    span = SPILL_ALL_LOAD - SPILL_FROM_LOAD
    return min(1.0, max(0.0, (own_load - SPILL_FROM_LOAD) / span))
