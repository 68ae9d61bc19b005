"""Selection of backend servers for one request, best first.

The local zone comes first. Within a zone two candidates are sampled at random, the one
with the largest expected cached share of the prompt is added, and the one with the
lowest cost wins. Sampling prevents many hosts that have the same old reports from
selecting the same backend server. Remote zones receive requests only when the local
zone is nearly full and they have free capacity.
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
# Cost of a step that takes twice as long as the median one, up to a limit.
SLOWNESS_WEIGHT = 0.4
MAX_SLOWNESS_COST = 1.0
# Load of the local zone at which requests begin to spill to remote zones, and load at
# which every request spills.
SPILL_FROM_LOAD = 0.85
SPILL_ALL_LOAD = 1.0
# A zone above this load gets requests of other zones only as a last resort.
SPILL_CEILING_LOAD = 0.75
_DEFAULT_LOAD = 0.7
_NOMINAL_IN_FLIGHT = 32


class BackendView(NamedTuple):
    """State of one backend server as recorded by an entry host.

    Attributes:
        host_id: Id of the backend server.
        availability_zone: Zone of the backend server.
        in_flight_count: Requests of this entry host in flight there.
        memory_used_tokens: Key-value cache memory in use, from the latest report.
        memory_limit_tokens: Size of the key-value cache; 0 when unknown, and for
            backend servers that are not engines.
        report_age_ms: Age of the report; infinite when there is none.
        is_cold: Whether it is in its cold start and accepts only little load.
        running_count: Generations in its batch, from the latest report.
        waiting_count: Generations that waited there, from the latest report.
        sent_tokens: Predicted memory of the requests that this host has sent
            there since the report was taken.
        cached_share: Expected share of the prompt that is cached there.
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
    """Restrictions on the backend servers for a request.

    Attributes:
        own_zone: Zone of the entry host.
        disabled_zones: Zones that operators have taken out of service.
        excluded: Backend servers that are ejected, leaving or already tried.
    """

    own_zone: str
    disabled_zones: frozenset[str] = frozenset()
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
        demand: The request; the length of its prompt adds to the costs.
        rules: Restrictions on the backend servers.
        rng: Random source, seeded by the caller.
    """
    by_zone: dict[str, list[BackendView]] = {}
    for view in candidates:
        is_zone_out = view.availability_zone in rules.disabled_zones
        if not is_zone_out and view.host_id not in rules.excluded:
            by_zone.setdefault(view.availability_zone, []).append(view)
    local = by_zone.pop(rules.own_zone, [])
    costs = _Costs([*local, *(view for zone in by_zone.values() for view in zone)])
    local_ranked = _rank(local, demand, costs, rng)
    others = _sample_zone_order(by_zone, costs, rng)
    spill_targets = [
        zone for zone in others if costs.zone_load(zone) < SPILL_CEILING_LOAD
    ]
    full_zones = [
        zone for zone in others if costs.zone_load(zone) >= SPILL_CEILING_LOAD
    ]
    spill_views = [v for zone in spill_targets for v in _rank(zone, demand, costs, rng)]
    last_resort = [v for zone in full_zones for v in _rank(zone, demand, costs, rng)]
    if (
        local
        and spill_views
        and rng.random() < _spill_probability(costs.zone_load(local))
    ):
        return [spill_views[0], *local_ranked, *spill_views[1:], *last_resort]
    return [*local_ranked, *spill_views, *last_resort]


class _Costs:
    """Predicted loads of all candidates, as shares of their memory."""

    def __init__(self, views: Sequence[BackendView]) -> None:
        reported_loads = [
            _reported_load(view) for view in views if math.isfinite(view.report_age_ms)
        ]
        # An engine without recent reports is assumed to be as busy as the others on
        # average, and at least as busy as `_DEFAULT_LOAD`.
        mean_load = (
            sum(reported_loads) / len(reported_loads)
            if reported_loads
            else _DEFAULT_LOAD
        )
        self._assumed_load = max(mean_load, _DEFAULT_LOAD)
        self._loads = {view.host_id: self._predict(view) for view in views}
        steps_ms = [view.step_time_ms for view in views if view.step_time_ms > 0.0]
        self._median_step_ms = median(steps_ms) if steps_ms else 0.0

    def _predict(self, view: BackendView) -> float:
        confidence = math.exp2(-view.report_age_ms / REPORT_HALF_LIFE_MS)
        reported = _reported_load(view)
        load = confidence * reported + (1.0 - confidence) * max(
            reported, self._assumed_load
        )
        if view.memory_limit_tokens > 0:
            load += view.sent_tokens / view.memory_limit_tokens
        return load

    def load(self, view: BackendView) -> float:
        """Return the predicted load of one backend server."""
        return self._loads[view.host_id]

    def slowness_cost(self, view: BackendView) -> float:
        """Return the cost of decode steps that are slower than the median one."""
        if view.step_time_ms <= self._median_step_ms or self._median_step_ms <= 0.0:
            return 0.0
        confidence = math.exp2(-view.report_age_ms / REPORT_HALF_LIFE_MS)
        slowness = view.step_time_ms / self._median_step_ms - 1.0
        return confidence * min(MAX_SLOWNESS_COST, SLOWNESS_WEIGHT * slowness)

    def zone_load(self, zone: Sequence[BackendView]) -> float:
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


def _rank(
    views: Sequence[BackendView],
    demand: GenerationDemand,
    costs: _Costs,
    rng: random.Random,
) -> list[BackendView]:
    """Return ``views`` with the best sampled one first and the rest by cost."""
    if not views:
        return []
    sampled = rng.sample(views, min(2, len(views)))
    most_cached = max(views, key=lambda view: view.cached_share)
    if most_cached.cached_share > 0.0:
        sampled.append(most_cached)
    first = min(sampled, key=lambda view: _cost(view, demand, costs))
    rest = [view for view in views if view is not first]
    rng.shuffle(rest)
    rest.sort(key=lambda view: _cost(view, demand, costs))
    return [first, *rest]


def _sample_zone_order(
    by_zone: Mapping[str, Sequence[BackendView]], costs: _Costs, rng: random.Random
) -> list[Sequence[BackendView]]:
    """Return the zones in a random order weighted by their free capacity."""
    keys = {
        name: rng.random() ** (1.0 / _free_capacity(zone, costs))
        for name, zone in sorted(by_zone.items())
    }
    return [by_zone[name] for name in sorted(keys, key=lambda name: -keys[name])]


def _free_capacity(zone: Sequence[BackendView], costs: _Costs) -> float:
    free_share = max(0.01, 1.0 - costs.zone_load(zone))
    return free_share * len(zone)


def _spill_probability(local_load: float) -> float:
    span = SPILL_ALL_LOAD - SPILL_FROM_LOAD
    return min(1.0, max(0.0, (local_load - SPILL_FROM_LOAD) / span))
