"""Compares queues while one account sends a flood of requests, in virtual time.

Ten accounts together request less than the engine can serve. One of them sends five
times its rate during the middle half of the run. All variants admit by predicted
memory. Only ``ours`` also reserves memory against the account that floods, and
``without_flood`` is ``ours`` with the usual arrivals alone. Prints one JSON object.
"""

import json
import sys
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from admission import ENGINE
from admission import NOMINAL_TOKENS_PER_S
from admission import QUICK_DURATION_MS
from admission_policies import predicted
from engine_run import EngineRun
from engine_run import RunResult
from gypsumfield.configuration import Profile
from gypsumfield.decisions.admission import HEAVY_ACCOUNT_RESERVE_RATIO
from gypsumfield.decisions.fairness import FairQueue
from options import shape_parser
from queues import FirstComeQueue
from workloads import Account
from workloads import BenchRequest
from workloads import make_requests
from workloads import mean_length
from workloads import SHAPES
from workloads import usual_accounts

DURATION_MS = 240_000.0
USUAL_LOAD = 0.8
FLOOD_FACTOR = 5.0
FLOODING_ACCOUNT = 0
FLOOD_PREFIX = "flood-"


class Variant(NamedTuple):
    """A queue, and the share of memory that a heavy account must leave free."""

    make_queue: Callable[[int], FairQueue]
    heavy_account_reserve_ratio: float


VARIANTS = {
    "first_come_first_served": Variant(FirstComeQueue, 0.0),
    "fair_queue_alone": Variant(FairQueue, 0.0),
    "ours": Variant(FairQueue, HEAVY_ACCOUNT_RESERVE_RATIO),
}


def requests_for(shape: str, duration_ms: float, seed: int) -> list[BenchRequest]:
    """Return the usual arrivals and those of the flood, in order of time."""
    rate_per_s = USUAL_LOAD * NOMINAL_TOKENS_PER_S / mean_length(shape)
    accounts = usual_accounts(rate_per_s, seed)
    usual = make_requests(shape, accounts, duration_ms, seed)
    flooding = accounts[FLOODING_ACCOUNT]
    extra_rate = flooding.rate_per_s * (FLOOD_FACTOR - 1.0)
    extra = Account(flooding.name, extra_rate, flooding.length_factor)
    flood = make_requests(shape, [extra], duration_ms / 2, seed + 500)
    shifted = [
        request._replace(
            arrived_ms=request.arrived_ms + duration_ms / 4,
            demand=request.demand._replace(request_id=f"{FLOOD_PREFIX}{number}"),
        )
        for number, request in enumerate(flood)
    ]
    return sorted([*usual, *shifted], key=lambda request: request.arrived_ms)


def measure(
    requests: list[BenchRequest], variant: Variant, profile: Profile
) -> RunResult:
    """Return the result of one variant for the arrivals."""
    make_policy = predicted(profile, variant.heavy_account_reserve_ratio)
    queue = variant.make_queue(profile.queue_limit)
    return EngineRun(requests, make_policy, ENGINE, profile, queue).run()


def compare(shape: str, duration_ms: float, seed: int) -> dict[str, Any]:
    """Return the results of all variants for one shape."""
    profile = Profile()
    requests = requests_for(shape, duration_ms, seed)
    results = {
        name: measure(requests, variant, profile)._asdict()
        for name, variant in VARIANTS.items()
    }
    usual = [
        each for each in requests if not each.demand.request_id.startswith(FLOOD_PREFIX)
    ]
    results["without_flood"] = measure(usual, VARIANTS["ours"], profile)._asdict()
    return {
        "seed": seed,
        "shape": shape,
        "duration_ms": duration_ms,
        "flooding_account": f"account-{FLOODING_ACCOUNT}",
        "policies": results,
    }


def main(arguments: Sequence[str]) -> None:
    """Run the bench from the command line."""
    parser = shape_parser(__doc__)
    options = parser.parse_args(arguments)
    duration_ms = QUICK_DURATION_MS if options.quick else DURATION_MS
    for shape in sorted(SHAPES) if options.all else [options.shape]:
        print(json.dumps(compare(shape, duration_ms, options.seed)))


if __name__ == "__main__":
    main(sys.argv[1:])
