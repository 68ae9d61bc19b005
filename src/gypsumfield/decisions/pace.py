"""How fast engines read and write, and how long streams run, as a host observes it.

Load answered: engines of other kinds, and engines that slow down for minutes. What is
planned with a fixed figure then comes too late: streams are held until they can't be in
time, callers return to full engines, stopping hosts take what they must cut.
"""

from collections.abc import Sequence
from statistics import fmean
from typing import NamedTuple

# Start values, as if this many streams had shown them: the figures published for the
# engines met first.
START_STREAMS = 10
STEP_MS = 8.5
PROMPT_TOKENS_PER_MS = 10.0
RUN_MS = 7_000.0
# Later streams weigh this much each, so that a dozen of them outweigh what was before.
NEWEST_WEIGHT = 0.08
# What is learned stays within this factor of the start: one odd stream, or an engine
# that stands still, must not set the plans of all.
LARGEST_FACTOR = 8.0
# Shorter streams show their own first steps only.
FEWEST_TOKENS = 32
# From the place to the first event, beside the prompts: connection and two steps.
START_MS = 60.0


class Pace(NamedTuple):
    """Paces of the engines of one service.

    Attributes:
        step_ms: Time of one token of a stream.
        prompt_tokens_per_ms: Rate at which an engine reads prompts.
        run_ms: Time that a typical stream holds its engine.
    """

    step_ms: float = STEP_MS
    prompt_tokens_per_ms: float = PROMPT_TOKENS_PER_MS
    run_ms: float = RUN_MS


START_PACE = Pace()


def mean_pace(paces: Sequence[Pace]) -> Pace:
    """Return the mean of some paces, or the start values of none."""
    if not paces:
        return START_PACE
    return Pace(*(fmean(each) for each in zip(*paces, strict=True)))


class PaceEstimator:
    """Learns the paces of one service from the streams of this host."""

    def __init__(self) -> None:
        self._step_ms = _Mean(STEP_MS)
        self._token_read_ms = _Mean(1.0 / PROMPT_TOKENS_PER_MS)
        self._run_ms = _Mean(RUN_MS)

    @property
    def pace(self) -> Pace:
        """What is known now."""
        return Pace(
            self._step_ms.value, 1.0 / self._token_read_ms.value, self._run_ms.value
        )

    def note_first_event(self, prompt_tokens: int, elapsed_ms: float) -> None:
        """Note the first event of a stream whose engine had no other prompt to read.

        Args:
            prompt_tokens: Tokens of its prompt.
            elapsed_ms: Time since it was sent.
        """
        if prompt_tokens >= FEWEST_TOKENS:
            self._token_read_ms.note(max(0.0, elapsed_ms - START_MS) / prompt_tokens)

    def note_end(self, token_count: int, elapsed_ms: float) -> None:
        """Note the end of a stream that ran on one engine.

        Args:
            token_count: Tokens after its first event.
            elapsed_ms: Time since its first event.
        """
        if token_count >= FEWEST_TOKENS:
            self._step_ms.note(elapsed_ms / token_count)
            self._run_ms.note(elapsed_ms)


class _Mean:
    """Mean that begins at a start value and follows what is seen."""

    def __init__(self, start: float) -> None:
        self.value = start
        self._bounds = (start / LARGEST_FACTOR, start * LARGEST_FACTOR)
        self._count = START_STREAMS

    def note(self, sample: float) -> None:
        low, high = self._bounds
        self._count += 1
        weight = max(NEWEST_WEIGHT, 1.0 / self._count)
        self.value += weight * (min(max(sample, low), high) - self.value)
