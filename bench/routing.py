"""Compares routing policies over engines of one zone, in virtual time.

Four entry hosts route to six engines on late load reports and cache events; one
engine is six times slower for the middle third of the run. Each policy gives an
order of engines; the owners of the first four are asked in turn and admit as
production does. Prints one JSON object.
"""

import json
import sys
from collections.abc import Sequence
from typing import Any

from gypsumfield.configuration import Profile
from gypsumfield.decisions.routing import rank_backends
from gypsumfield.decisions.routing import RoutingRules
from gypsumfield.standins.engine_model import EngineModelSettings
from options import shape_parser
from routing_run import ChooseEngines
from routing_run import EntryHost
from routing_run import route_requests
from routing_run import RoutedRequest
from routing_run import RoutingRun
from routing_run import ZONE
from workloads import make_requests
from workloads import mean_length
from workloads import SHAPES
from workloads import usual_accounts

ENGINE = EngineModelSettings(memory_limit_tokens=32_768, batch_limit=256)
ENGINE_COUNT = 6
HOST_COUNT = 4
NOMINAL_TOKENS_PER_S = 1_700.0
OFFERED_LOAD = 0.6
DURATION_MS = 90_000.0
QUICK_DURATION_MS = 3_000.0


def choose_random(host: EntryHost, _routed: RoutedRequest, _now_ms: float) -> list[int]:
    """Return all engines in random order."""
    return host.rng.sample(range(len(host.names)), len(host.names))


def choose_in_turn(
    host: EntryHost, _routed: RoutedRequest, _now_ms: float
) -> list[int]:
    """Return all engines, beginning one further each time."""
    host.turn += 1
    count = len(host.names)
    return [(host.turn + number) % count for number in range(count)]


def choose_least_in_flight(
    host: EntryHost, routed: RoutedRequest, now_ms: float
) -> list[int]:
    """Return the engines by the host's own requests in flight."""
    order = choose_random(host, routed, now_ms)
    return sorted(order, key=lambda number: host.in_flight[number])


def choose_of_two(host: EntryHost, routed: RoutedRequest, now_ms: float) -> list[int]:
    """Return the emptier of two random engines first, by the load reports."""
    order = choose_random(host, routed, now_ms)
    views = host.views(routed, now_ms)
    drawn = sorted(order[:2], key=lambda number: views[number].memory_used_tokens)
    return [*drawn, *order[2:]]


def choose_as_production(
    host: EntryHost, routed: RoutedRequest, now_ms: float
) -> list[int]:
    """Return the engines as the entry hosts order them."""
    rules = RoutingRules(ZONE, excluded=host.ejector.excluded(now_ms))
    views = host.views(routed, now_ms)
    order = rank_backends(views, routed.request.demand, rules, host.rng)
    return [host.names.index(view.host_id) for view in order]


POLICIES: dict[str, ChooseEngines] = {
    "random": choose_random,
    "round_robin": choose_in_turn,
    "least_in_flight": choose_least_in_flight,
    "two_choices": choose_of_two,
    "ours": choose_as_production,
}


def compare(shape: str, duration_ms: float, seed: int, load: float) -> dict[str, Any]:
    """Return the measures of all policies for one shape."""
    rate_per_s = load * NOMINAL_TOKENS_PER_S * ENGINE_COUNT / mean_length(shape)
    accounts = usual_accounts(rate_per_s, seed)
    requests = make_requests(shape, accounts, duration_ms, seed)
    routed = route_requests(requests, HOST_COUNT, seed)
    results = {}
    for name, choose in POLICIES.items():
        run = RoutingRun(
            routed, choose, ENGINE, ENGINE_COUNT, HOST_COUNT, Profile(), seed
        )
        results[name] = run.run()._asdict()
    return {
        "seed": seed,
        "shape": shape,
        "duration_ms": duration_ms,
        "load": load,
        "policies": results,
    }


def main(arguments: Sequence[str]) -> None:
    """Run the bench from the command line."""
    parser = shape_parser(__doc__)
    parser.add_argument("--load", type=float, default=OFFERED_LOAD)
    options = parser.parse_args(arguments)
    duration_ms = QUICK_DURATION_MS if options.quick else DURATION_MS
    for shape in sorted(SHAPES) if options.all else [options.shape]:
        result = compare(shape, duration_ms, options.seed, options.load)
        print(json.dumps(result))


if __name__ == "__main__":
    main(sys.argv[1:])
