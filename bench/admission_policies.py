"""Admission policies to compare: baselines, ours and the oracle."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from engine_run import MakePolicy
from engine_run import Policy
from gypsumfield.configuration import Profile
from gypsumfield.decisions.admission import CROWD_RESERVE_RATIO
from gypsumfield.decisions.admission import make_admission
from gypsumfield.decisions.lengths import LengthModel
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.decisions.workload import RunningGeneration
from workloads import BenchRequest


class Baseline(NamedTuple):
    """A policy with one setting and the grid it is tuned over."""

    make: Callable[[float], MakePolicy]
    grid: tuple[float, ...]


def fixed_concurrency(largest_batch: float) -> MakePolicy:
    """Admit while fewer than ``largest_batch`` generations run."""

    def make(_lengths: LengthModel, _truth: Mapping[str, BenchRequest]) -> Policy:
        return Policy(lambda running, _candidate, _limit: len(running) < largest_batch)

    return make


def max_tokens(overcommit: float) -> MakePolicy:
    """Admit while all fit at their largest length, times ``overcommit``."""

    def can_admit(
        running: Sequence[RunningGeneration],
        candidate: GenerationDemand,
        limit_tokens: int,
    ) -> bool:
        demands = [candidate, *(each.demand for each in running)]
        planned = sum(each.prompt_tokens + each.max_tokens for each in demands)
        return not running or planned <= limit_tokens * overcommit

    return lambda _lengths, _truth: Policy(can_admit)


def mean_length(overcommit: float) -> MakePolicy:
    """Admit while all fit at the mean length, times ``overcommit``."""

    def make(lengths: LengthModel, _truth: Mapping[str, BenchRequest]) -> Policy:
        def can_admit(
            running: Sequence[RunningGeneration],
            candidate: GenerationDemand,
            limit_tokens: int,
        ) -> bool:
            everyone = [*running, RunningGeneration(candidate, 0)]
            planned = sum(
                each.demand.prompt_tokens
                + max(each.generated_tokens, _mean(lengths, each.demand))
                for each in everyone
            )
            return not running or planned <= limit_tokens * overcommit

        return Policy(can_admit)

    return make


def _mean(lengths: LengthModel, demand: GenerationDemand) -> float:
    return lengths.remaining(demand, 0).mean_tokens


def predicted(
    profile: Profile, crowd_reserve_ratio: float = CROWD_RESERVE_RATIO
) -> MakePolicy:
    """Admit as production does; a reserve of 0 leaves out what floods meet."""

    def make(lengths: LengthModel, _truth: Mapping[str, BenchRequest]) -> Policy:
        can_admit = make_admission(
            lengths, lambda _name: profile, crowd_reserve_ratio=crowd_reserve_ratio
        )
        passes_over = crowd_reserve_ratio > 0.0
        return Policy(can_admit, learns_limits=True, passes_over=passes_over)

    return make


def oracle() -> MakePolicy:
    """Admit while the true peak of memory fits."""

    def make(_lengths: LengthModel, truth: Mapping[str, BenchRequest]) -> Policy:
        def can_admit(
            running: Sequence[RunningGeneration],
            candidate: GenerationDemand,
            limit_tokens: int,
        ) -> bool:
            everyone = [*running, RunningGeneration(candidate, 0)]
            remaining = []
            for demand, generated_tokens in everyone:
                left = truth[demand.request_id].output_tokens - generated_tokens
                remaining.append(
                    (max(0, left), demand.prompt_tokens + generated_tokens)
                )
            return not running or _true_peak(remaining) <= limit_tokens

        return Policy(can_admit, sees_present=True)

    return make


def _true_peak(remaining: list[tuple[int, int]]) -> int:
    """Return the peak over pairs of tokens to come and memory in use."""
    remaining.sort()
    used = sum(used_tokens for _, used_tokens in remaining)
    alive = len(remaining)
    peak = 0
    for steps, used_tokens in remaining:
        # All that still run grow until this one ends and gives its part back.
        peak = max(peak, used + alive * steps)
        used -= used_tokens
        alive -= 1
    return peak


BASELINES: Mapping[str, Baseline] = {
    "fixed_concurrency": Baseline(
        fixed_concurrency, (12, 16, 20, 24, 28, 32, 36, 40, 48, 64)
    ),
    "max_tokens": Baseline(max_tokens, (1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 8.0)),
    "mean_length": Baseline(mean_length, (0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5)),
}
