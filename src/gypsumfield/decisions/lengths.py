"""Learned distributions of output lengths, usable from the first request.

A length is learned as a discrete hazard: for each bucket of lengths, the chance
that a generation which reached the bucket ends in it. Answers that were cut
short count as reached and not as ended, so that they do not pull the estimate
down. An estimate for one account leans on the estimate of its service and
profile, which leans on a log-normal prior.
"""

import math
from array import array
from collections import OrderedDict
from collections.abc import Sequence
from statistics import NormalDist
from typing import NamedTuple

from gypsumfield.decisions.workload import GenerationDemand

_SUB_BUCKET_BITS = 2
_SUB_BUCKETS = 1 << _SUB_BUCKET_BITS
LARGEST_LENGTH_TOKENS = 65_535
_RENORMALISE_ABOVE_WEIGHT = 1e9
_REFRESH_SHARE = 0.02


def bucket_of(length_tokens: int) -> int:
    """Return the index of the bucket that holds ``length_tokens``."""
    if length_tokens < _SUB_BUCKETS:
        return length_tokens
    shift = length_tokens.bit_length() - _SUB_BUCKET_BITS - 1
    return (shift << _SUB_BUCKET_BITS) + (length_tokens >> shift)


def bucket_start(index: int) -> int:
    """Return the smallest length in the bucket with this index."""
    if index < 2 * _SUB_BUCKETS:
        return index
    shift = (index >> _SUB_BUCKET_BITS) - 1
    return (index - (shift << _SUB_BUCKET_BITS)) << shift


BUCKET_COUNT = bucket_of(LARGEST_LENGTH_TOKENS) + 1
_STARTS = tuple(bucket_start(index) for index in range(BUCKET_COUNT + 1))


class LengthSettings(NamedTuple):
    """What the model assumes and how fast it forgets.

    Attributes:
        prior_median_tokens: Median length before anything is learned.
        prior_spread: Standard deviation of the logarithm of the prior.
        prior_weight: Answers that the prior counts for.
        pool_weight: Answers that the estimate of service and profile counts
            for in the estimate of one account.
        half_life_records: Answers after which an answer weighs half.
        half_life_ms: Time after which an answer weighs half.
        account_limit: Estimates of single accounts that are kept; the least
            recently used one goes first.
    """

    prior_median_tokens: float = 256.0
    prior_spread: float = 1.3
    prior_weight: float = 8.0
    pool_weight: float = 30.0
    half_life_records: float = 400.0
    half_life_ms: float = 21_600_000.0
    account_limit: int = 4_096


class FinishedLength(NamedTuple):
    """How one generation ended.

    Attributes:
        demand: What was asked for.
        output_tokens: Tokens that were generated.
        is_complete: False when the answer was cut before its own end, by its
            token limit or by a cancellation.
        is_within_rate: Whether the account kept to its rate. An account
            beyond its rate teaches only its own estimate.
    """

    demand: GenerationDemand
    output_tokens: int
    is_complete: bool = True
    is_within_rate: bool = True


class LengthTable:
    """Chance that an output gets longer than a number of tokens.

    Args:
        reached: Chance to reach the start of each bucket, and of its end.
    """

    __slots__ = ("_reached",)

    def __init__(self, reached: Sequence[float]) -> None:
        self._reached = reached

    def longer_than(self, tokens: int) -> float:
        """Return the chance that an output is longer than ``tokens``."""
        if tokens >= LARGEST_LENGTH_TOKENS:
            return 0.0
        length_tokens = tokens + 1
        reached = self._reached
        # The search for the bucket stands here once more: this is the inner
        # loop of admission, and a call would take half of its time.
        shift = length_tokens.bit_length() - (_SUB_BUCKET_BITS + 1)
        if shift <= 0:
            return reached[length_tokens]
        whole = length_tokens >> shift
        index = (shift << _SUB_BUCKET_BITS) + whole
        at_start = reached[index]
        share = (length_tokens / (1 << shift)) - whole
        return at_start + (reached[index + 1] - at_start) * share


_EMPTY_TABLE = LengthTable(())


class RemainingLength(NamedTuple):
    """Distribution of the tokens that a generation still has to come.

    Attributes:
        table: Distribution of the whole length.
        generated_tokens: Tokens that exist already.
        max_tokens: Length at which the generation is cut.
    """

    table: LengthTable
    generated_tokens: int
    max_tokens: int

    def longer_than(self, tokens: int) -> float:
        """Return the chance that more than ``tokens`` tokens are to come."""
        if self.generated_tokens + tokens >= self.max_tokens:
            return 0.0
        alive = self.table.longer_than(self.generated_tokens)
        if alive <= 0.0:
            return 0.0
        return self.table.longer_than(self.generated_tokens + tokens) / alive

    def quantile(self, chance: float) -> int:
        """Return the smallest count that is not exceeded with ``chance``."""
        low, high = 0, max(0, self.max_tokens - self.generated_tokens)
        while low < high:
            middle = (low + high) // 2
            if self.longer_than(middle) <= 1.0 - chance:
                high = middle
            else:
                low = middle + 1
        return low

    @property
    def mean_tokens(self) -> float:
        """Expected number of tokens to come."""
        last = max(0, self.max_tokens - self.generated_tokens)
        total = 0.0
        for start, end in zip(_STARTS, _STARTS[1:], strict=False):
            if start >= last:
                break
            # The chance falls almost linearly inside one bucket.
            end = min(end, last)
            middle = self.longer_than(start) + self.longer_than(end - 1)
            total += (end - start) * middle / 2
        return total


class _Estimate:
    """Decayed counts of one distribution and the table made of them."""

    __slots__ = (
        "cut",
        "ended",
        "last_ms",
        "parent",
        "pending",
        "table",
        "total",
        "weight",
    )

    def __init__(self) -> None:
        self.ended = array("d", bytes(8 * BUCKET_COUNT))
        self.cut = array("d", bytes(8 * BUCKET_COUNT))
        self.weight = 1.0
        self.total = 0.0
        self.last_ms: float | None = None
        self.pending = 0
        self.table = _EMPTY_TABLE
        self.parent: LengthTable | None = None

    def add(self, finished: FinishedLength, decay: float) -> None:
        """Count one answer; ``decay`` is the factor on all earlier ones."""
        # Growing the weight of new answers is the same as shrinking all others.
        self.weight /= decay
        if self.weight > _RENORMALISE_ABOVE_WEIGHT:
            self._renormalise()
        counts = self.ended if finished.is_complete else self.cut
        length_tokens = min(max(1, finished.output_tokens), LARGEST_LENGTH_TOKENS)
        counts[bucket_of(length_tokens)] += self.weight
        self.total += self.weight
        self.pending += 1

    def _renormalise(self) -> None:
        for counts in (self.ended, self.cut):
            for index, count in enumerate(counts):
                counts[index] = count / self.weight
        self.total /= self.weight
        self.weight = 1.0

    @property
    def is_stale(self) -> bool:
        """Whether the table misses a fair share of the answers."""
        return self.pending > _REFRESH_SHARE * self.total / self.weight

    def reached(
        self, parent: Sequence[float], strength: Sequence[float]
    ) -> list[float]:
        """Return the chances to reach each bucket.

        Args:
            parent: Hazards that this estimate leans on.
            strength: Answers that the parent counts for, by bucket.
        """
        unit = 1.0 / self.weight
        at_risk = self.total * unit
        chance = 1.0
        chances = []
        for index in range(BUCKET_COUNT):
            chances.append(chance)
            at_risk -= self.cut[index] * unit
            ended = self.ended[index] * unit
            trust = strength[index]
            hazard = (ended + trust * parent[index]) / (max(at_risk, ended) + trust)
            chance *= 1.0 - min(1.0, hazard)
            at_risk -= ended
        chances.append(chance)
        self.pending = 0
        return chances


def _hazards(reached: Sequence[float]) -> list[float]:
    return [
        1.0 - after / before if before > 0.0 else 0.0
        for before, after in zip(reached, reached[1:], strict=False)
    ]


def _prior_reached(settings: LengthSettings) -> list[float]:
    normal = NormalDist(math.log(settings.prior_median_tokens), settings.prior_spread)
    reached = [1.0, 1.0]
    reached += [1.0 - normal.cdf(math.log(start - 0.5)) for start in _STARTS[2:]]
    return reached


class LengthModel:
    """Output lengths by service, profile and account.

    Args:
        settings: Prior, decay and bounds.
    """

    def __init__(self, settings: LengthSettings | None = None) -> None:
        self.settings = settings or LengthSettings()
        prior = _prior_reached(self.settings)
        self._prior_hazards = _hazards(prior)
        self._prior_strength = [self.settings.prior_weight * each for each in prior]
        self._pool_strength = [self.settings.pool_weight] * BUCKET_COUNT
        self._pools: dict[tuple[str, str], _Estimate] = {}
        self._pool_hazards: dict[tuple[str, str], list[float]] = {}
        self._accounts: OrderedDict[tuple[str, str, str], _Estimate] = OrderedDict()

    def record(self, finished: FinishedLength, now_ms: float) -> None:
        """Learn from a generation that ended or was cut."""
        demand = finished.demand
        pool = (demand.service, demand.profile)
        if finished.is_within_rate:
            self._add(self._pool(pool), finished, now_ms)
        key = (*pool, demand.account)
        estimate = self._accounts.setdefault(key, _Estimate())
        self._accounts.move_to_end(key)
        self._add(estimate, finished, now_ms)
        if len(self._accounts) > self.settings.account_limit:
            self._accounts.popitem(last=False)

    def table(self, demand: GenerationDemand) -> LengthTable:
        """Return the distribution of the whole length of ``demand``."""
        pool_key = (demand.service, demand.profile)
        pool_table = self._pool_table(pool_key)
        estimate = self._accounts.get((*pool_key, demand.account))
        if estimate is None:
            return pool_table
        if estimate.parent is pool_table and not estimate.is_stale:
            return estimate.table
        hazards = self._pool_hazards[pool_key]
        estimate.table = LengthTable(estimate.reached(hazards, self._pool_strength))
        estimate.parent = pool_table
        return estimate.table

    def _pool_table(self, key: tuple[str, str]) -> LengthTable:
        pool = self._pool(key)
        if pool.is_stale or key not in self._pool_hazards:
            reached = pool.reached(self._prior_hazards, self._prior_strength)
            pool.table = LengthTable(reached)
            self._pool_hazards[key] = _hazards(reached)
        return pool.table

    def remaining(
        self, demand: GenerationDemand, generated_tokens: int
    ) -> RemainingLength:
        """Return what is still to come after ``generated_tokens`` tokens."""
        return RemainingLength(self.table(demand), generated_tokens, demand.max_tokens)

    def _pool(self, key: tuple[str, str]) -> _Estimate:
        return self._pools.setdefault(key, _Estimate())

    def _add(
        self, estimate: _Estimate, finished: FinishedLength, now_ms: float
    ) -> None:
        elapsed_ms = max(0.0, now_ms - (estimate.last_ms or now_ms))
        estimate.last_ms = now_ms
        half_lives = (
            1.0 / self.settings.half_life_records
            + elapsed_ms / self.settings.half_life_ms
        )
        estimate.add(finished, math.exp2(-min(half_lives, 30.0)))
