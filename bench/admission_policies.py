"""Admission policies to compare: baselines, the production policy and the oracle."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from engine_run import MakePolicy
from engine_run import Policy
from gypsumfield.configuration import Profile
from gypsumfield.decisions.admission import HEAVY_ACCOUNT_RESERVE_RATIO
from gypsumfield.decisions.admission import make_admission
from gypsumfield.decisions.lengths import LengthModel
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.decisions.workload import RunningGeneration
from workloads import BenchRequest


class Baseline(NamedTuple):
    """A policy with one setting and the values that are tried for it."""

    make: Callable[[float], MakePolicy]
    grid: tuple[float, ...]


def fixed_concurrency(largest_batch: float) -> MakePolicy:
    """Admit while fewer than ``largest_batch`` generations run."""

    def make(_lengths: LengthModel, _truth: Mapping[str, BenchRequest]) -> Policy:
        return Policy(lambda running, _candidate, _limit: len(running) < largest_batch)

    return make


def max_tokens(overcommit: float) -> MakePolicy:
    """Admit while the largest lengths of all fit into memory times ``overcommit``."""

    def can_admit(
        running: Sequence[RunningGeneration],
        candidate: GenerationDemand,
        limit_tokens: int,
    ) -> bool:
        demands = [candidate, *(generation.demand for generation in running)]
        planned = sum(demand.prompt_tokens + demand.max_tokens for demand in demands)
        return not running or planned <= limit_tokens * overcommit

    return lambda _lengths, _truth: Policy(can_admit)


def mean_length(overcommit: float) -> MakePolicy:
    """Admit while the mean lengths of all fit into memory times ``overcommit``."""

    def make(lengths: LengthModel, _truth: Mapping[str, BenchRequest]) -> Policy:
        def can_admit(
            running: Sequence[RunningGeneration],
            candidate: GenerationDemand,
            limit_tokens: int,
        ) -> bool:
            generations = [*running, RunningGeneration(candidate, 0)]
            planned = sum(
                generation.demand.prompt_tokens
                + max(generation.generated_tokens, _mean(lengths, generation.demand))
                for generation in generations
            )
            return not running or planned <= limit_tokens * overcommit

        return Policy(can_admit)

    return make


def _mean(lengths: LengthModel, demand: GenerationDemand) -> float:
    return lengths.remaining(demand, 0).mean_tokens


def predicted(
    profile: Profile, heavy_account_reserve_ratio: float = HEAVY_ACCOUNT_RESERVE_RATIO
) -> MakePolicy:
    """Admit as production does; a reserve of 0 does not limit heavy accounts."""

    def make(lengths: LengthModel, _truth: Mapping[str, BenchRequest]) -> Policy:
        can_admit = make_admission(
            lengths,
            lambda _name: profile,
            heavy_account_reserve_ratio=heavy_account_reserve_ratio,
        )
        skips_heavy_accounts = heavy_account_reserve_ratio > 0.0
        return Policy(
            can_admit, learns_limits=True, skips_heavy_accounts=skips_heavy_accounts
        )

    return make


def oracle() -> MakePolicy:
    """Admit while the true peak of memory fits."""

    def make(_lengths: LengthModel, truth: Mapping[str, BenchRequest]) -> Policy:
        def can_admit(
            running: Sequence[RunningGeneration],
            candidate: GenerationDemand,
            limit_tokens: int,
        ) -> bool:
            generations = [*running, RunningGeneration(candidate, 0)]
            remaining = []
            for demand, generated_tokens in generations:
                remaining_tokens = (
                    truth[demand.request_id].output_tokens - generated_tokens
                )
                remaining.append(
                    (max(0, remaining_tokens), demand.prompt_tokens + generated_tokens)
                )
            return not running or _true_peak(remaining) <= limit_tokens

        return Policy(can_admit, sees_current_progress=True)

    return make


def _true_peak(remaining: list[tuple[int, int]]) -> int:
    """Return the peak memory for pairs of remaining tokens and memory in use."""
    remaining.sort()
    used_total = sum(used_tokens for _, used_tokens in remaining)
    running_count = len(remaining)
    peak = 0
    for steps, used_tokens in remaining:
        # All running ones grow until this one ends and releases its memory.
        peak = max(peak, used_total + running_count * steps)
        used_total -= used_tokens
        running_count -= 1
    return peak


BASELINES: Mapping[str, Baseline] = {
    "fixed_concurrency": Baseline(
        fixed_concurrency, (12, 16, 20, 24, 28, 32, 36, 40, 48, 64)
    ),
    "max_tokens": Baseline(max_tokens, (1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 8.0)),
    "mean_length": Baseline(mean_length, (0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5)),
}
