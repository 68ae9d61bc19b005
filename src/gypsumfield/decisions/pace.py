"""Observed speed of the engines of a service, and the duration of its streams.

Engines differ in speed and may slow down for minutes. With fixed values, plans would
then be wrong: streams would wait until they can no longer start on time, callers would
return to full engines, and stopping hosts would accept streams that they must cut off.
"""

from collections.abc import Sequence
from statistics import fmean
from typing import NamedTuple

# Initial values, weighted as if this many streams had been observed. They are the
# published figures of the first supported engines.
INITIAL_STREAM_COUNT = 10
STEP_MS = 8.5
PROMPT_TOKENS_PER_MS = 10.0
RUN_MS = 7_000.0
# Smallest weight of a new stream; a dozen streams outweigh everything before them.
MIN_SAMPLE_WEIGHT = 0.08
# Estimates stay within this factor of the initial value: a single odd stream, or an
# engine that stalls, must not determine the plans for all streams.
MAX_DEVIATION_FACTOR = 8.0
# Shorter streams are ignored: they show only their own first steps.
MIN_STREAM_TOKENS = 32
# Time from placement to first event besides reading prompts: connection, two steps.
FIRST_EVENT_OVERHEAD_MS = 60.0


class Pace(NamedTuple):
    """Speed of the engines of one service.

    Attributes:
        step_ms: Time for one token of a stream.
        prompt_tokens_per_ms: Rate at which an engine reads prompts, in tokens per ms.
        run_ms: Time for which a typical stream occupies its engine.
    """

    step_ms: float = STEP_MS
    prompt_tokens_per_ms: float = PROMPT_TOKENS_PER_MS
    run_ms: float = RUN_MS


INITIAL_PACE = Pace()


def mean_pace(paces: Sequence[Pace]) -> Pace:
    """Return the mean of ``paces``, or the initial values when it is empty."""
    if not paces:
        return INITIAL_PACE
    return Pace(*(fmean(values) for values in zip(*paces, strict=True)))


class PaceEstimator:
    """Estimates the speed of one service's engines from the streams of this host."""

    def __init__(self) -> None:
        self._step_ms = _Mean(STEP_MS)
        self._token_read_ms = _Mean(1.0 / PROMPT_TOKENS_PER_MS)
        self._run_ms = _Mean(RUN_MS)

    @property
    def pace(self) -> Pace:
        """Current estimates, or the initial values before any stream."""
        return Pace(
            self._step_ms.value, 1.0 / self._token_read_ms.value, self._run_ms.value
        )

    def record_first_event(self, prompt_tokens: int, elapsed_ms: float) -> None:
        """Record the first event of a stream whose engine had no other prompt to read.

        Args:
            prompt_tokens: Tokens of its prompt.
            elapsed_ms: Time since it was sent to the engine.
        """
        if prompt_tokens >= MIN_STREAM_TOKENS:
            self._token_read_ms.add(
                max(0.0, elapsed_ms - FIRST_EVENT_OVERHEAD_MS) / prompt_tokens
            )

    def record_end(self, token_count: int, elapsed_ms: float) -> None:
        """Record the end of a stream that ran on one engine.

        Args:
            token_count: Tokens after its first event.
            elapsed_ms: Time since its first event.
        """
        if token_count >= MIN_STREAM_TOKENS:
            self._step_ms.add(elapsed_ms / token_count)
            self._run_ms.add(elapsed_ms)


class _Mean:
    """Weighted mean that starts from an initial value and follows new samples."""

    def __init__(self, initial: float) -> None:
        self.value = initial
        self._bounds = (initial / MAX_DEVIATION_FACTOR, initial * MAX_DEVIATION_FACTOR)
        self._count = INITIAL_STREAM_COUNT

    def add(self, sample: float) -> None:
        low, high = self._bounds
        self._count += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self._count)
        self.value += weight * (min(max(sample, low), high) - self.value)
