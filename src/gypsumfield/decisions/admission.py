"""Admission to an engine by the predicted peak of its key-value memory.

Every running generation grows by one token a step and gives its memory back
when it ends. For a row of future steps the mean and the variance of the memory
in use follow from the chance that each generation still runs. A candidate is
admitted while the chance of running out stays below the bound of every profile
in the batch, at every one of these steps.
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

_SMALLEST_PROBABILITY = 1e-9
# The bound is for a whole run and each step may break it; over the steps near
# the peak the chances add up to about this multiple of a single one.
_PEAK_WIDTH_FACTOR = 4.0


# Room that accounts far above the others leave, as a share of the memory, and
# the multiple of the others' mean that counts as far above.
CROWD_RESERVE_RATIO = 0.2
CROWDING_FACTOR = 2.0


def is_heavy_account(running: Sequence[RunningGeneration], account: str) -> bool:
    """Return whether ``account`` holds far more memory than the others do.

    Args:
        running: The batch of an engine.
        account: Name of a client account.
    """
    held: dict[str, int] = {}
    for demand, generated_tokens in running:
        used_tokens = demand.prompt_tokens + generated_tokens
        held[demand.account] = held.get(demand.account, 0) + used_tokens
    own = held.pop(account, 0)
    if not held:
        return False
    return own > CROWDING_FACTOR * sum(held.values()) / len(held)


class _Member(NamedTuple):
    """One generation of the batch, candidate included.

    Attributes:
        chances: Chances to run on after each of `FORECAST_STEPS`.
        used_tokens: Memory it holds now.
        left_tokens: Most tokens that are to come.
        answer_count: Answers that its estimate rests on.
    """

    chances: Sequence[float]
    used_tokens: int
    left_tokens: int
    answer_count: float


class MemoryForecast(NamedTuple):
    """Memory in use after some steps; ``skewness`` has no unit."""

    mean_tokens: float
    deviation_tokens: float
    skewness: float

    def quantile(self, deviations: float) -> float:
        """Return the memory exceeded as seldom as ``deviations`` of a normal one.

        The second term of the Cornish-Fisher expansion corrects for the
        skewness, which is large while a few long answers hold the memory.
        """
        corrected = deviations + (deviations * deviations - 1.0) * self.skewness / 6.0
        return self.mean_tokens + max(0.0, corrected) * self.deviation_tokens


def make_admission(
    lengths: LengthModel,
    look_up_profile: LookUpProfile,
    reserve_ratio: float = 0.0,
    crowd_reserve_ratio: float = CROWD_RESERVE_RATIO,
) -> CanAdmit:
    """Return the decision whether an engine may take one more generation.

    An account that holds far more memory than the others leaves some of it
    free. Otherwise its flood would fill what every ending answer gives back,
    and a request of another account would find the engine full however far
    ahead it stands in the queue.

    Args:
        lengths: Learned output lengths.
        look_up_profile: Returns the profile of a name.
        reserve_ratio: Share of the memory that is never planned with.
        crowd_reserve_ratio: Share that an account far above others leaves.
    """
    deviations_of = _make_deviations()

    def can_admit(
        running: Sequence[RunningGeneration],
        candidate: GenerationDemand,
        memory_limit_tokens: int,
    ) -> bool:
        limit_tokens = memory_limit_tokens * (1.0 - reserve_ratio)
        if is_heavy_account(running, candidate.account):
            limit_tokens *= 1.0 - crowd_reserve_ratio
        profiles = {each.demand.profile for each in running} | {candidate.profile}
        # The engine chooses whom it preempts, so the strictest bound counts.
        bound = min(look_up_profile(p).memory_overrun_probability for p in profiles)
        members = _members(lengths, running, candidate)
        if sum(each.used_tokens + 1 for each in members) > limit_tokens:
            return False
        if not running:
            # An engine ends a lone generation at its memory limit.
            return True
        deviations = deviations_of(bound)
        return all(
            forecast(members, index).quantile(deviations) <= limit_tokens
            for index in range(len(FORECAST_STEPS))
        )

    return can_admit


def _make_deviations() -> Callable[[float], float]:
    known: dict[float, float] = {}

    def deviations_of(bound: float) -> float:
        """Return how many standard deviations are exceeded with ``bound``."""
        if bound not in known:
            at_one_step = bound / _PEAK_WIDTH_FACTOR
            clipped = min(max(at_one_step, _SMALLEST_PROBABILITY), 0.5)
            known[bound] = -NormalDist().inv_cdf(clipped)
        return known[bound]

    return deviations_of


def _members(
    lengths: LengthModel,
    running: Sequence[RunningGeneration],
    candidate: GenerationDemand,
) -> list[_Member]:
    members = []
    for demand, generated_tokens in (*running, RunningGeneration(candidate, 0)):
        table = lengths.table(demand)
        members.append(
            _Member(
                table.chances_ahead(generated_tokens),
                demand.prompt_tokens + generated_tokens,
                demand.max_tokens - generated_tokens,
                table.answer_count,
            )
        )
    return members


def forecast(members: Sequence[_Member], index: int) -> MemoryForecast:
    """Return the memory in use after the step count with this index."""
    steps = FORECAST_STEPS[index]
    mean = 0.0
    variance = 0.0
    third_moment = 0.0
    # What the shared estimate is off by, it is off by for all members at once.
    shared_error = 0.0
    for chances, used_tokens, left_tokens, answer_count in members:
        runs = chances[index]
        if steps >= left_tokens or runs <= 0.0:
            continue
        size = used_tokens + steps
        spread = runs * (1.0 - runs) * size * size
        mean += runs * size
        variance += spread
        shared_error += math.sqrt(spread / answer_count)
        third_moment += spread * (1.0 - 2.0 * runs) * size
    variance += shared_error * shared_error
    if variance <= 0.0:
        return MemoryForecast(mean, 0.0, 0.0)
    deviation = math.sqrt(variance)
    return MemoryForecast(mean, deviation, third_moment / (variance * deviation))
