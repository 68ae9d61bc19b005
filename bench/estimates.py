"""Compares plain and clean pooling of length estimates during a flood of requests.

A hundred small accounts share an engine with a large one, which sends five times its
rate with lengths that differ from all others. Clean pooling updates the shared estimate
only from accounts within their rate. Prints one JSON object. It holds, for each kind of
pooling, the error of the shared estimate for accounts within their rate, and the result
of admission with this estimate. The error is the mean absolute difference between the
estimated and the true probability to exceed a length; 0 is exact.
"""

import argparse
import json
import random
import sys
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from admission import ENGINE
from admission import NOMINAL_TOKENS_PER_S
from admission_policies import predicted
from engine_run import EngineRun
from gypsumfield.configuration import Profile
from gypsumfield.decisions.length_estimates import MAX_LENGTH_TOKENS
from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.lengths import LengthModel
from gypsumfield.decisions.lengths import LengthProgress
from workloads import Account
from workloads import BenchRequest
from workloads import make_requests
from workloads import mean_length

SHAPE = "heavy_tail"
SMALL_ACCOUNT_COUNT = 100
FLOODING_SHARE = 0.2
FLOOD_FACTOR = 5.0
FLOODING = "flooding"
DURATION_MS = 160_000.0
QUICK_DURATION_MS = 6_000.0


class Flood(NamedTuple):
    """Parameters of a flood of requests.

    Attributes:
        length_factor: Its lengths relative to the usual ones.
        usual_load: Load without the flood; large enough to fill the engine.
    """

    length_factor: float
    usual_load: float


FLOODS = {"short": Flood(0.1, 1.6), "long": Flood(3.0, 1.0)}
PROBE_LENGTHS_TOKENS = tuple(round(20 * 1.5**n) for n in range(14))


def requests_for(flood: Flood, duration_ms: float, seed: int) -> list[BenchRequest]:
    """Return the usual arrivals and those of the flood, in order of time."""
    rate_per_s = flood.usual_load * NOMINAL_TOKENS_PER_S / mean_length(SHAPE)
    rng = random.Random(seed)
    small_rate_per_s = rate_per_s * (1.0 - FLOODING_SHARE) / SMALL_ACCOUNT_COUNT
    accounts = [
        Account(f"small-{n}", small_rate_per_s, rng.lognormvariate(-0.06, 0.35))
        for n in range(SMALL_ACCOUNT_COUNT)
    ]
    flood_rate_per_s = rate_per_s * FLOODING_SHARE * FLOOD_FACTOR
    accounts.append(Account(FLOODING, flood_rate_per_s, flood.length_factor))
    return make_requests(SHAPE, accounts, duration_ms, seed)


class FloodRun(EngineRun):
    """An engine run that records which accounts are beyond their rate.

    Args:
        beyond_rate: Accounts that change only their own estimates.
        arguments: As in `EngineRun`.
    """

    def __init__(self, beyond_rate: frozenset[str], *arguments: Any) -> None:
        super().__init__(*arguments)
        original_record = self.lengths.record
        original_record_progress = self.lengths.record_progress

        def record(finished: FinishedLength, now_ms: float) -> None:
            is_within = finished.demand.account not in beyond_rate
            original_record(finished._replace(is_within_rate=is_within), now_ms)

        def record_progress(progress: LengthProgress) -> None:
            is_within = progress.demand.account not in beyond_rate
            original_record_progress(progress._replace(is_within_rate=is_within))

        self.lengths.record = record  # type: ignore[method-assign]
        self.lengths.record_progress = record_progress  # type: ignore[method-assign]


def estimate_error(lengths: LengthModel, requests: list[BenchRequest]) -> float:
    """Return the error of the estimate for a new account within its rate."""
    usual = [request for request in requests if request.demand.account != FLOODING]
    demand = usual[0].demand._replace(account="new", max_tokens=MAX_LENGTH_TOKENS)
    remaining = lengths.remaining(demand, 0)
    total = 0.0
    for tokens in PROBE_LENGTHS_TOKENS:
        true_share = sum(request.output_tokens > tokens for request in usual) / len(
            usual
        )
        total += abs(remaining.longer_than(tokens) - true_share)
    return round(total / len(PROBE_LENGTHS_TOKENS), 4)


def compare(flood: Flood, duration_ms: float, seed: int) -> dict[str, Any]:
    """Return the results of both kinds of pooling for a flood."""
    profile = Profile()
    requests = requests_for(flood, duration_ms, seed)
    results = {}
    for name, beyond_rate in (("plain", frozenset()), ("clean", {FLOODING})):
        arguments = (requests, predicted(profile), ENGINE, profile)
        run = FloodRun(frozenset(beyond_rate), *arguments)
        measures = run.run()
        usual = [
            share
            for account, share in measures.account_shares.items()
            if account != FLOODING
        ]
        results[name] = {
            "mean_usual_share": round(sum(usual) / len(usual), 4),
            "shared_estimate_error": estimate_error(run.lengths, requests),
            **measures._replace(account_shares={}, refused_shares={})._asdict(),
        }
    return results


def main(arguments: Sequence[str]) -> None:
    """Run the bench from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON (the default)")
    parser.add_argument("--quick", action="store_true", help="a short run")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    duration_ms = QUICK_DURATION_MS if options.quick else DURATION_MS
    floods = {
        name: compare(flood, duration_ms, options.seed)
        for name, flood in FLOODS.items()
    }
    print(json.dumps({"seed": options.seed, "shape": SHAPE, "floods": floods}))


if __name__ == "__main__":
    main(sys.argv[1:])
