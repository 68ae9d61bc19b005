"""Discrete hazards of output lengths: buckets, counts and tables."""

from array import array
from collections.abc import Sequence

_SUB_BUCKET_BITS = 2
_SUB_BUCKETS = 1 << _SUB_BUCKET_BITS
LARGEST_LENGTH_TOKENS = 65_535
FORECAST_STEPS = (16, 48, 96, 160, 256, 400, 640, 1_024, 2_048, 4_096)
AHEAD_TOKENS = 8
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
BUCKET_STARTS = tuple(bucket_start(index) for index in range(BUCKET_COUNT + 1))


class LengthTable:
    """Chance that an output gets longer than a number of tokens.

    Args:
        reached: Chance to reach the start of each bucket, and of its end.
        answer_count: Answers that the shared estimate rests on, the prior's
            included; the fewer, the further it may be off.
    """

    __slots__ = ("_ahead", "_reached", "answer_count")

    def __init__(self, reached: Sequence[float], answer_count: float = 1.0) -> None:
        self._reached = reached
        self.answer_count = answer_count
        self._ahead: dict[int, tuple[float, ...]] = {}

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

    def chances_ahead(self, generated_tokens: int) -> tuple[float, ...]:
        """Return the chances to run on after each of `FORECAST_STEPS`.

        Lengths that differ by less than `AHEAD_TOKENS` share one answer.
        """
        key = generated_tokens // AHEAD_TOKENS
        chances = self._ahead.get(key)
        if chances is None:
            chances = self._compute_ahead(key * AHEAD_TOKENS)
            self._ahead[key] = chances
        return chances

    def _compute_ahead(self, tokens: int) -> tuple[float, ...]:
        alive = self.longer_than(tokens)
        if alive <= 0.0:
            return (0.0,) * len(FORECAST_STEPS)
        return tuple(
            self.longer_than(tokens + ahead) / alive for ahead in FORECAST_STEPS
        )


EMPTY_TABLE = LengthTable(())


class LengthEstimate:
    """Decayed counts of one distribution and the table made of them.

    For each bucket it counts the generations that grew past it and those that
    ended in it. Both are counted when they happen, so that answers still on
    their way count for the lengths they have reached.

    Attributes:
        is_apart: Whether its account is beyond its rate.
        table: The table made of the counts; see `is_stale`.
        parent: The table that it leant on when it was made.
    """

    __slots__ = (
        "end_total",
        "ended",
        "is_apart",
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
        self.is_apart = False
        self.weight = 1.0
        self.total = 0.0
        self.end_total = 0.0
        self.last_ms: float | None = None
        self.pending = 0
        self.table = EMPTY_TABLE
        self.parent: LengthTable | None = None

    def decay(self, factor: float) -> None:
        """Weaken all counts by ``factor``."""
        # Growing the weight of new counts is the same as shrinking all others.
        self.weight /= factor
        if self.weight > _RENORMALISE_ABOVE_WEIGHT:
            self._renormalise()

    def add_progress(self, before_tokens: int, after_tokens: int) -> None:
        """Count a generation that grew; both lengths are in tokens."""
        first = bucket_of(min(before_tokens, LARGEST_LENGTH_TOKENS))
        last = bucket_of(min(after_tokens, LARGEST_LENGTH_TOKENS))
        if first >= last:
            return
        for index in range(first, last):
            self.passed[index] += self.weight
        self._count()

    def add_end(self, output_tokens: int) -> None:
        """Count a generation that ended of itself."""
        length_tokens = min(max(1, output_tokens), LARGEST_LENGTH_TOKENS)
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
        """Answers that ended, weakened by their age."""
        return self.end_total / self.weight

    @property
    def is_stale(self) -> bool:
        """Whether the table misses a fair share of the counts."""
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
        chance = 1.0
        chances = []
        for index in range(BUCKET_COUNT):
            chances.append(chance)
            ended = self.ended[index] * unit
            at_risk = ended + self.passed[index] * unit
            trust = strength[index]
            if at_risk + trust > 0.0:
                hazard = (ended + trust * parent[index]) / (at_risk + trust)
                chance *= 1.0 - min(1.0, hazard)
        chances.append(chance)
        self.pending = 0
        return chances


def hazards_of(reached: Sequence[float]) -> list[float]:
    """Return the chance to end in each bucket once it is reached."""
    return [
        1.0 - after / before if before > 0.0 else 0.0
        for before, after in zip(reached, reached[1:], strict=False)
    ]
