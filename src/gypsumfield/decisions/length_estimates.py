"""Distributions of output lengths as hazards by bucket: counts and tables."""

from array import array
from collections.abc import Sequence

_SUB_BUCKET_BITS = 2
_SUB_BUCKETS = 1 << _SUB_BUCKET_BITS
MAX_LENGTH_TOKENS = 65_535
FORECAST_STEPS = (16, 48, 96, 160, 256, 400, 640, 1_024, 2_048, 4_096)
FORECAST_ROUNDING_TOKENS = 8
_MAX_WEIGHT = 1e9
_STALE_SHARE = 0.02


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


BUCKET_COUNT = bucket_of(MAX_LENGTH_TOKENS) + 1
BUCKET_STARTS = tuple(bucket_start(index) for index in range(BUCKET_COUNT + 1))


class LengthTable:
    """Probabilities that an output is longer than a number of tokens.

    Args:
        reached: Probability of reaching each bucket's start, and the last one's end.
        answer_count: Number of answers, including the prior's, that the shared estimate
            is based on; its error is larger for fewer answers.
    """

    __slots__ = ("_ahead", "_reached", "answer_count")

    def __init__(self, reached: Sequence[float], answer_count: float = 1.0) -> None:
        self._reached = reached
        self.answer_count = answer_count
        self._ahead: dict[int, tuple[float, ...]] = {}

    def longer_than(self, tokens: int) -> float:
        """Return the probability that an output is longer than ``tokens``."""
        if tokens >= MAX_LENGTH_TOKENS:
            return 0.0
        length_tokens = tokens + 1
        reached = self._reached
        # This repeats `bucket_of` inline: it is the inner loop of admission, and a call
        # would take half of its time.
        shift = length_tokens.bit_length() - (_SUB_BUCKET_BITS + 1)
        if shift <= 0:
            return reached[length_tokens]
        whole = length_tokens >> shift
        index = (shift << _SUB_BUCKET_BITS) + whole
        at_start = reached[index]
        share = (length_tokens / (1 << shift)) - whole
        return at_start + (reached[index + 1] - at_start) * share

    def survival_probabilities(self, generated_tokens: int) -> tuple[float, ...]:
        """Return the probabilities of still running after each of `FORECAST_STEPS`.

        They hold for a generation of ``generated_tokens``. That length is rounded down
        to a multiple of `FORECAST_ROUNDING_TOKENS`, so that results can be cached.
        """
        key = generated_tokens // FORECAST_ROUNDING_TOKENS
        probabilities = self._ahead.get(key)
        if probabilities is None:
            probabilities = self._compute_survival(key * FORECAST_ROUNDING_TOKENS)
            self._ahead[key] = probabilities
        return probabilities

    def _compute_survival(self, tokens: int) -> tuple[float, ...]:
        reached = self.longer_than(tokens)
        if reached <= 0.0:
            return (0.0,) * len(FORECAST_STEPS)
        return tuple(
            self.longer_than(tokens + ahead) / reached for ahead in FORECAST_STEPS
        )


EMPTY_TABLE = LengthTable(())


class LengthEstimate:
    """Decayed counts of one length distribution and the table computed from them.

    It counts, for each bucket, the generations that grew past it and those that ended
    in it. Both are counted when they happen, so that running generations count for the
    lengths that they have reached.

    Attributes:
        is_account_over_rate: Whether its account exceeds its rate.
        table: Table computed from the counts; see `is_stale`.
        parent: Table that it was combined with when it was computed.
    """

    __slots__ = (
        "end_total",
        "ended",
        "is_account_over_rate",
        "last_ms",
        "parent",
        "passed",
        "pending",
        "table",
        "total",
        "weight",
    )

    def __init__(self) -> None:
        self.ended = array("d", bytes(8 * BUCKET_COUNT))
        self.passed = array("d", bytes(8 * BUCKET_COUNT))
        self.is_account_over_rate = False
        self.weight = 1.0
        self.total = 0.0
        self.end_total = 0.0
        self.last_ms: float | None = None
        self.pending = 0
        self.table = EMPTY_TABLE
        self.parent: LengthTable | None = None

    def decay(self, factor: float) -> None:
        """Multiply all counts by ``factor``."""
        # Increasing the weight of new counts equals a reduction of all earlier ones.
        self.weight /= factor
        if self.weight > _MAX_WEIGHT:
            self._renormalise()

    def add_progress(self, before_tokens: int, after_tokens: int) -> None:
        """Count a generation that grew from one length to another, in tokens."""
        first = bucket_of(min(before_tokens, MAX_LENGTH_TOKENS))
        last = bucket_of(min(after_tokens, MAX_LENGTH_TOKENS))
        if first >= last:
            return
        for index in range(first, last):
            self.passed[index] += self.weight
        self._count()

    def add_end(self, output_tokens: int) -> None:
        """Count a generation that ended without being truncated."""
        length_tokens = min(max(1, output_tokens), MAX_LENGTH_TOKENS)
        self.ended[bucket_of(length_tokens)] += self.weight
        self.end_total += self.weight
        self._count()

    def _count(self) -> None:
        self.total += self.weight
        self.pending += 1

    def _renormalise(self) -> None:
        for counts in (self.ended, self.passed):
            for index, count in enumerate(counts):
                counts[index] = count / self.weight
        self.total /= self.weight
        self.end_total /= self.weight
        self.weight = 1.0

    @property
    def answer_count(self) -> float:
        """Decayed number of answers that ended."""
        return self.end_total / self.weight

    @property
    def is_stale(self) -> bool:
        """Whether a considerable share of the counts is not in the table yet."""
        return self.pending > _STALE_SHARE * self.total / self.weight

    def reached(
        self, parent: Sequence[float], strength: Sequence[float]
    ) -> list[float]:
        """Return the probability of reaching each bucket, and the end of the last.

        Args:
            parent: Hazards that this estimate is combined with.
            strength: Number of answers that the parent counts for, by bucket.
        """
        scale = 1.0 / self.weight
        probability = 1.0
        probabilities = []
        for index in range(BUCKET_COUNT):
            probabilities.append(probability)
            ended = self.ended[index] * scale
            at_risk = ended + self.passed[index] * scale
            parent_weight = strength[index]
            if at_risk + parent_weight > 0.0:
                hazard = (ended + parent_weight * parent[index]) / (
                    at_risk + parent_weight
                )
                probability *= 1.0 - min(1.0, hazard)
        probabilities.append(probability)
        self.pending = 0
        return probabilities


def hazards_of(reached: Sequence[float]) -> list[float]:
    """Return the probability of ending in each bucket once it is reached."""
    return [
        1.0 - next_reached / this_reached if this_reached > 0.0 else 0.0
        for this_reached, next_reached in zip(reached, reached[1:], strict=False)
    ]
