"""Admission to an engine by the predicted peak of its key-value cache memory.

Every running generation grows by one token per step and releases its memory when it
ends. For a series of future steps the mean and the variance of the memory in use are
computed from the probability that each generation still runs. A candidate is admitted
when, at each of these steps, the probability of running out of memory stays below the
limits of all profiles in the batch.
"""

import math
from collections.abc import Callable
from collections.abc import Sequence
from statistics import NormalDist
from typing import NamedTuple

from gypsumfield.configuration import Profile
from gypsumfield.decisions.length_estimates import FORECAST_STEPS
from gypsumfield.decisions.lengths import LengthModel
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.decisions.workload import RunningGeneration

CanAdmit = Callable[[Sequence[RunningGeneration], GenerationDemand, int], bool]
LookUpProfile = Callable[[str], Profile]

_MIN_PROBABILITY = 1e-9
# The limit of a profile is for a whole run, but memory can run out at each step. Over
# the steps near the peak the probabilities add up to about this multiple of one step.
_PEAK_WIDTH_FACTOR = 4.0


# Share of the memory that an account with far more memory than the others leaves free,
# and the multiple of the mean of the others that counts as far more.
HEAVY_ACCOUNT_RESERVE_RATIO = 0.2
HEAVY_ACCOUNT_FACTOR = 2.0


def is_heavy_account(running: Sequence[RunningGeneration], account: str) -> bool:
    """Return whether ``account`` uses far more memory than the other accounts do.

    Args:
        running: Generations in the batch of an engine.
        account: Name of a client account.
    """
    usage: dict[str, int] = {}
    for demand, generated_tokens in running:
        used_tokens = demand.prompt_tokens + generated_tokens
        usage[demand.account] = usage.get(demand.account, 0) + used_tokens
    account_tokens = usage.pop(account, 0)
    if not usage:
        return False
    return account_tokens > HEAVY_ACCOUNT_FACTOR * sum(usage.values()) / len(usage)


class _BatchMember(NamedTuple):
    """One generation of the batch, or the candidate.

    Attributes:
        survival_probabilities: Probability that it still runs after each of
            `FORECAST_STEPS`.
        used_tokens: Memory that it uses now.
        remaining_tokens: Largest number of tokens that it can still generate.
        answer_count: Number of answers that its length estimate is based on.
    """

    survival_probabilities: Sequence[float]
    used_tokens: int
    remaining_tokens: int
    answer_count: float


class MemoryForecast(NamedTuple):
    """Distribution of the memory in use after some steps; ``skewness`` has no unit."""

    mean_tokens: float
    deviation_tokens: float
    skewness: float

    def quantile(self, deviations: float) -> float:
        """Return the memory in tokens that is exceeded with a given probability.

        The probability is that of a normal variable exceeding its mean by
        ``deviations`` standard deviations. The second term of the Cornish-Fisher
        expansion corrects for the skewness, which is large while a few long answers
        use most of the memory.
        """
        corrected = deviations + (deviations * deviations - 1.0) * self.skewness / 6.0
        return self.mean_tokens + max(0.0, corrected) * self.deviation_tokens


def make_admission(
    lengths: LengthModel,
    look_up_profile: LookUpProfile,
    reserve_ratio: float = 0.0,
    heavy_account_reserve_ratio: float = HEAVY_ACCOUNT_RESERVE_RATIO,
) -> CanAdmit:
    """Return a function that decides whether an engine admits one more generation.

    An account that uses far more memory than the others must leave a share of it
    free. Otherwise its requests would occupy all memory that ending answers release,
    and a request of another account would find the engine full, whatever its position
    in the queue.

    Args:
        lengths: Model of the output lengths.
        look_up_profile: Returns the profile with the given name.
        reserve_ratio: Share of the memory that is left free for every account.
        heavy_account_reserve_ratio: Share of the rest that an account with far more
            memory than the others leaves free as well.
    """
    deviations_of = _make_deviations()

    def can_admit(
        running: Sequence[RunningGeneration],
        candidate: GenerationDemand,
        memory_limit_tokens: int,
    ) -> bool:
        limit_tokens = memory_limit_tokens * (1.0 - reserve_ratio)
        if is_heavy_account(running, candidate.account):
            limit_tokens *= 1.0 - heavy_account_reserve_ratio
        profiles = {member.demand.profile for member in running} | {candidate.profile}
        # The engine selects the generation to preempt, so the strictest limit applies.
        bound = min(look_up_profile(p).memory_overrun_probability for p in profiles)
        members = _members(lengths, running, candidate)
        if sum(member.used_tokens + 1 for member in members) > limit_tokens:
            return False
        if not running:
            # An engine ends a single generation when it reaches the memory limit.
            return True
        deviations = deviations_of(bound)
        return all(
            forecast(members, index).quantile(deviations) <= limit_tokens
            for index in range(len(FORECAST_STEPS))
        )

    return can_admit


def _make_deviations() -> Callable[[float], float]:
    cache: dict[float, float] = {}

    def deviations_of(bound: float) -> float:
        """Return how many standard deviations keep a whole run within ``bound``."""
        if bound not in cache:
            step_bound = bound / _PEAK_WIDTH_FACTOR
            clipped = min(max(step_bound, _MIN_PROBABILITY), 0.5)
            cache[bound] = -NormalDist().inv_cdf(clipped)
        return cache[bound]

    return deviations_of


def _members(
    lengths: LengthModel,
    running: Sequence[RunningGeneration],
    candidate: GenerationDemand,
) -> list[_BatchMember]:
    members = []
    for demand, generated_tokens in (*running, RunningGeneration(candidate, 0)):
        table = lengths.table(demand)
        members.append(
            _BatchMember(
                table.survival_probabilities(generated_tokens),
                demand.prompt_tokens + generated_tokens,
                demand.max_tokens - generated_tokens,
                table.answer_count,
            )
        )
    return members


def forecast(members: Sequence[_BatchMember], index: int) -> MemoryForecast:
    """Return the memory in use after ``FORECAST_STEPS[index]`` steps."""
    steps = FORECAST_STEPS[index]
    mean = 0.0
    variance = 0.0
    third_moment = 0.0
    # An error of the shared length estimate affects all members in the same direction.
    shared_error = 0.0
    for probabilities, used_tokens, remaining_tokens, answer_count in members:
        survival = probabilities[index]
        if steps >= remaining_tokens or survival <= 0.0:
            continue
        size = used_tokens + steps
        member_variance = survival * (1.0 - survival) * size * size
        mean += survival * size
        variance += member_variance
        shared_error += math.sqrt(member_variance / answer_count)
        third_moment += member_variance * (1.0 - 2.0 * survival) * size
    variance += shared_error * shared_error
    if variance <= 0.0:
        return MemoryForecast(mean, 0.0, 0.0)
    deviation = math.sqrt(variance)
    return MemoryForecast(mean, deviation, third_moment / (variance * deviation))
