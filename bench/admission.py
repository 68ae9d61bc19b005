"""Compares admission policies for one engine, in virtual time.

Each baseline has one setting. Its best value is the one with the fewest preemptions
among those that reach the throughput of ``predicted``, or the one with the highest
throughput if none does. Prints one JSON object.
"""

import json
import sys
from collections.abc import Sequence
from typing import Any

from admission_policies import BASELINES
from admission_policies import fixed_concurrency
from admission_policies import oracle
from admission_policies import predicted
from engine_run import EngineRun
from engine_run import MakePolicy
from engine_run import RunResult
from gypsumfield.configuration import Profile
from gypsumfield.standins.engine_model import EngineModelSettings
from options import shape_parser
from workloads import BenchRequest
from workloads import make_requests
from workloads import mean_length
from workloads import SHAPES
from workloads import usual_accounts

ENGINE = EngineModelSettings(memory_limit_tokens=32_768, batch_limit=256)
AMPLE_ENGINE = EngineModelSettings(memory_limit_tokens=1_048_576, batch_limit=256)
NOMINAL_TOKENS_PER_S = 2_100.0
OFFERED_LOAD = 1.6
LIGHT_LOAD = 0.03
LIGHT_DURATION_FACTOR = 10
DURATION_MS = 120_000.0
QUICK_DURATION_MS = 3_000.0
EQUAL_THROUGHPUT = 0.995


def requests_for(
    shape: str, load: float, duration_ms: float, seed: int
) -> list[BenchRequest]:
    """Return arrivals at ``load`` times the nominal throughput of the engine."""
    rate_per_s = load * NOMINAL_TOKENS_PER_S / mean_length(shape)
    return make_requests(shape, usual_accounts(rate_per_s, seed), duration_ms, seed)


def measure(
    requests: list[BenchRequest],
    make_policy: MakePolicy,
    profile: Profile,
    engine: EngineModelSettings = ENGINE,
) -> RunResult:
    """Return the result of one policy for the arrivals."""
    return EngineRun(requests, make_policy, engine, profile).run()


def tune(
    name: str, requests: list[BenchRequest], profile: Profile, target: RunResult
) -> tuple[float, RunResult]:
    """Return the best setting of a baseline and its result."""
    baseline = BASELINES[name]
    results = [
        (setting, measure(requests, baseline.make(setting), profile))
        for setting in baseline.grid
    ]
    min_tokens_per_s = EQUAL_THROUGHPUT * target.tokens_per_s
    reaching = [
        result for result in results if result[1].tokens_per_s >= min_tokens_per_s
    ]
    if reaching:
        return min(reaching, key=lambda result: result[1].preemptions)
    return max(results, key=lambda result: result[1].tokens_per_s)


def compare(
    shape: str, duration_ms: float, seed: int, profile: Profile
) -> dict[str, Any]:
    """Return the results of all policies for one shape."""
    requests = requests_for(shape, OFFERED_LOAD, duration_ms, seed)
    predicted_result = measure(requests, predicted(profile), profile)
    results: dict[str, dict[str, Any]] = {}
    for name in BASELINES:
        setting, result = tune(name, requests, profile, predicted_result)
        results[name] = {**result._asdict(), "setting": setting}
    results["predicted"] = predicted_result._asdict()
    results["oracle"] = measure(requests, oracle(), profile)._asdict()
    light_requests = requests_for(
        shape, LIGHT_LOAD, LIGHT_DURATION_FACTOR * duration_ms, seed
    )
    uncrowded = measure(light_requests, oracle(), profile)
    # An engine whose memory never fills, with the mean batch of ``predicted``.
    ample = measure(
        requests,
        fixed_concurrency(round(predicted_result.mean_batch)),
        profile,
        AMPLE_ENGINE,
    )
    return {
        "seed": seed,
        "shape": shape,
        "duration_ms": duration_ms,
        "uncrowded_between_tokens_ms_p99": uncrowded.between_tokens_ms_p99,
        "ample_memory_between_tokens_ms_p99": ample.between_tokens_ms_p99,
        "policies": results,
    }


def main(arguments: Sequence[str]) -> None:
    """Run the bench from the command line."""
    parser = shape_parser(__doc__)
    options = parser.parse_args(arguments)
    duration_ms = QUICK_DURATION_MS if options.quick else DURATION_MS
    for shape in sorted(SHAPES) if options.all else [options.shape]:
        print(json.dumps(compare(shape, duration_ms, options.seed, Profile())))


if __name__ == "__main__":
    main(sys.argv[1:])
