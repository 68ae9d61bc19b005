"""Learned distributions of output lengths, usable from the first request.

A length is modelled by discrete hazards: for each bucket of lengths, the probability
that a generation which reached the bucket ends in it. Truncated answers count as having
reached a bucket but not as ended, so that they do not lower the estimate. The estimate
for an account is combined with the estimate of its service and profile (its pool),
which is combined with a log-normal prior.
"""

import math
from collections import OrderedDict
from statistics import NormalDist
from typing import NamedTuple

from gypsumfield.decisions.length_estimates import BUCKET_COUNT
from gypsumfield.decisions.length_estimates import BUCKET_STARTS
from gypsumfield.decisions.length_estimates import hazards_of
from gypsumfield.decisions.length_estimates import LengthEstimate
from gypsumfield.decisions.length_estimates import LengthTable
from gypsumfield.decisions.workload import GenerationDemand

_AccountKey = tuple[str, str, str]


class LengthSettings(NamedTuple):
    """Prior, decay and size limits of the length model.

    Attributes:
        prior_median_tokens: Median length before anything is learned.
        prior_spread: Standard deviation of the logarithm of the prior.
        prior_weight: Number of answers that the prior counts for.
        pool_weight: Number of answers that the estimate of service and profile
            counts for in the estimate of one account.
        half_life_records: Number of answers after which an answer has half weight.
        half_life_ms: Time after which an answer has half weight.
        account_limit: Largest number of account estimates; the least recently used
            one is evicted first.
    """

    prior_median_tokens: float = 256.0
    prior_spread: float = 1.3
    prior_weight: float = 8.0
    pool_weight: float = 30.0
    half_life_records: float = 400.0
    half_life_ms: float = 21_600_000.0
    account_limit: int = 4_096


class FinishedLength(NamedTuple):
    """Output length of a generation that has ended.

    Attributes:
        demand: Service, profile and account whose estimates are updated.
        output_tokens: Number of tokens that were generated.
        is_complete: False when the answer was truncated by its token limit or by a
            cancellation.
        is_within_rate: Whether the account stayed within its rate. An account beyond
            its rate changes only its own estimate, which is then combined with the
            prior alone, because its lengths may differ from all others.
        known_tokens: Tokens already reported to `LengthModel.record_progress`.
    """

    demand: GenerationDemand
    output_tokens: int
    is_complete: bool = True
    is_within_rate: bool = True
    known_tokens: int = 0


class LengthProgress(NamedTuple):
    """Tokens that a running generation has added since its last progress record.

    Attributes:
        demand: Service, profile and account whose estimates are updated.
        before_tokens: Tokens recorded already.
        after_tokens: Tokens generated so far.
        is_within_rate: As in `FinishedLength`.
    """

    demand: GenerationDemand
    before_tokens: int
    after_tokens: int
    is_within_rate: bool = True


class RemainingLength(NamedTuple):
    """Distribution of the number of tokens that a generation has yet to generate.

    Attributes:
        table: Distribution of the whole length.
        generated_tokens: Tokens generated so far.
        max_tokens: Length at which the generation is truncated.
    """

    table: LengthTable
    generated_tokens: int
    max_tokens: int

    def longer_than(self, tokens: int) -> float:
        """Return the probability that more than ``tokens`` tokens follow."""
        if self.generated_tokens + tokens >= self.max_tokens:
            return 0.0
        reached_now = self.table.longer_than(self.generated_tokens)
        if reached_now <= 0.0:
            return 0.0
        return self.table.longer_than(self.generated_tokens + tokens) / reached_now

    def quantile(self, probability: float) -> int:
        """Return the smallest count that suffices with ``probability``."""
        low, high = 0, max(0, self.max_tokens - self.generated_tokens)
        while low < high:
            middle = (low + high) // 2
            if self.longer_than(middle) <= 1.0 - probability:
                high = middle
            else:
                low = middle + 1
        return low

    @property
    def mean_tokens(self) -> float:
        """Expected number of tokens that follow."""
        remaining_limit = max(0, self.max_tokens - self.generated_tokens)
        total = 0.0
        for start, end in zip(BUCKET_STARTS, BUCKET_STARTS[1:], strict=False):
            if start >= remaining_limit:
                break
            # The probability falls almost linearly inside one bucket.
            end = min(end, remaining_limit)
            probability_sum = self.longer_than(start) + self.longer_than(end - 1)
            total += (end - start) * probability_sum / 2
        return total


def _prior_reached(settings: LengthSettings) -> list[float]:
    normal = NormalDist(math.log(settings.prior_median_tokens), settings.prior_spread)
    reached = [1.0, 1.0]
    reached += [1.0 - normal.cdf(math.log(start - 0.5)) for start in BUCKET_STARTS[2:]]
    return reached


class LengthModel:
    """Output lengths by service, profile and account.

    Args:
        settings: Prior, decay and size limits.
    """

    def __init__(self, settings: LengthSettings | None = None) -> None:
        self.settings = settings or LengthSettings()
        prior = _prior_reached(self.settings)
        self._prior_table = LengthTable(prior, self.settings.prior_weight)
        self._prior_hazards = hazards_of(prior)
        self._prior_strength = [
            self.settings.prior_weight * probability for probability in prior
        ]
        self._pool_strength = [self.settings.pool_weight] * BUCKET_COUNT
        self._pools: dict[tuple[str, str], LengthEstimate] = {}
        self._pool_hazards: dict[tuple[str, str], list[float]] = {}
        self._accounts: OrderedDict[tuple[str, str, str], LengthEstimate] = (
            OrderedDict()
        )

    def record(self, finished: FinishedLength, now_ms: float) -> None:
        """Update the estimates with a generation that ended or was truncated."""
        known_tokens = min(finished.known_tokens, finished.output_tokens)
        for estimate in self._estimates(finished.demand, finished.is_within_rate):
            self._decay(estimate, now_ms)
            estimate.add_progress(known_tokens, finished.output_tokens)
            if finished.is_complete:
                estimate.add_end(finished.output_tokens)

    def record_progress(self, progress: LengthProgress) -> None:
        """Update the estimates with a generation that still runs.

        Long answers end late. Without their progress, only short answers would be
        known after a start or a change, because they end first.
        """
        for estimate in self._estimates(progress.demand, progress.is_within_rate):
            estimate.add_progress(progress.before_tokens, progress.after_tokens)

    def _estimates(
        self, demand: GenerationDemand, is_within_rate: bool
    ) -> list[LengthEstimate]:
        """Return the estimates that are updated for ``demand``."""
        pool = (demand.service, demand.profile)
        key = (*pool, demand.account)
        account = self._accounts.setdefault(key, LengthEstimate())
        self._accounts.move_to_end(key)
        account.is_account_over_rate = not is_within_rate
        if len(self._accounts) > self.settings.account_limit:
            self._accounts.popitem(last=False)
        return [account, self._pool(pool)] if is_within_rate else [account]

    def table(self, demand: GenerationDemand) -> LengthTable:
        """Return the distribution of the whole length of ``demand``."""
        pool_key = (demand.service, demand.profile)
        pool_table = self._pool_table(pool_key)
        estimate = self._accounts.get((*pool_key, demand.account))
        if estimate is None:
            return pool_table
        parent = self._prior_table if estimate.is_account_over_rate else pool_table
        if estimate.parent is parent and not estimate.is_stale:
            return estimate.table
        if estimate.is_account_over_rate:
            reached = estimate.reached(self._prior_hazards, self._prior_strength)
        else:
            hazards = self._pool_hazards[pool_key]
            reached = estimate.reached(hazards, self._pool_strength)
        answer_count = pool_table.answer_count
        if estimate.is_account_over_rate:
            answer_count = estimate.answer_count + self.settings.prior_weight
        estimate.table = LengthTable(reached, answer_count)
        estimate.parent = parent
        return estimate.table

    def _pool_table(self, key: tuple[str, str]) -> LengthTable:
        pool = self._pool(key)
        if pool.is_stale or key not in self._pool_hazards:
            reached = pool.reached(self._prior_hazards, self._prior_strength)
            answer_count = pool.answer_count + self.settings.prior_weight
            pool.table = LengthTable(reached, answer_count)
            self._pool_hazards[key] = hazards_of(reached)
        return pool.table

    def remaining(
        self, demand: GenerationDemand, generated_tokens: int
    ) -> RemainingLength:
        """Return the distribution of the tokens that follow ``generated_tokens``."""
        return RemainingLength(self.table(demand), generated_tokens, demand.max_tokens)

    def _pool(self, key: tuple[str, str]) -> LengthEstimate:
        return self._pools.setdefault(key, LengthEstimate())

    def _decay(self, estimate: LengthEstimate, now_ms: float) -> None:
        last_ms = now_ms if estimate.last_ms is None else estimate.last_ms
        estimate.last_ms = now_ms
        half_lives = (
            1.0 / self.settings.half_life_records
            + max(0.0, now_ms - last_ms) / self.settings.half_life_ms
        )
        estimate.decay(math.exp2(-min(half_lives, 30.0)))
