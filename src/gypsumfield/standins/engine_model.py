"""Model of an inference engine: continuous batching in limited memory.

The model is pure: it reads no clock and starts nothing. The engine stand-in
drives it in real time, a bench drives it in virtual time::

    model = EngineModel(EngineModelSettings(), now_ms=0.0)
    refusal = model.submit(Submission("g1", "hello [tokens=40]", 100), now_ms)
    result = model.step(now_ms)
    now_ms += result.duration_ms  # the step's tokens exist from here on
"""

import math
import re
from statistics import NormalDist
from typing import Literal
from typing import NamedTuple

import msgspec
import xxhash

from gypsumfield.engine_api import CacheEvents
from gypsumfield.engine_api import LoadReport
from gypsumfield.prefixes import count_prompt_tokens
from gypsumfield.prefixes import prefix_digests
from gypsumfield.standins.prefix_cache import PrefixCache

_LENGTH_MARK = re.compile(r"\[tokens=(\d+)\]")
_HASH_RANGE = 2**64
_SMALLEST_CHANCE = 1e-9

RefusalCode = Literal[
    "engine_cold", "engine_full", "prompt_too_long", "duplicate_generation"
]


class EngineModelSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size and speed of one engine.

    Attributes:
        memory_limit_tokens: Key-value memory.
        batch_limit: Largest number of generations in one step.
        waiting_limit: Largest number of generations that wait.
        step_base_ms: Duration of a step with an empty batch.
        step_per_generation_ms: Added for each generation in the batch.
        step_per_1000_tokens_ms: Added for each 1,000 tokens of memory in use.
        prefill_per_token_ms: Added for each prompt token that is not cached.
        cold_duration_ms: How long the engine is cold after a boot.
        cold_limit: Generations it bears while it is cold.
        cold_slowdown: Factor on the step duration while it is cold.
        is_cold_overload_fatal: Whether load above ``cold_limit`` makes a cold
            engine restart and lose its generations instead of being refused.
        prefix_cache_limit_tokens: Memory of the prompt prefix cache.
        cache_event_lag_ms: How late cache events are published.
        cache_event_gap_ratio: Share of cache events that are never published.
        load_report_interval_ms: Time between two load reports.
        median_output_tokens: Median output length without a length mark.
        output_spread: Standard deviation of the logarithm of the length.
        seed: Seed of the output lengths.
    """

    memory_limit_tokens: int = 16_384
    batch_limit: int = 64
    waiting_limit: int = 256
    step_base_ms: float = 6.0
    step_per_generation_ms: float = 0.1
    step_per_1000_tokens_ms: float = 0.2
    prefill_per_token_ms: float = 0.02
    cold_duration_ms: float = 0.0
    cold_limit: int = 2
    cold_slowdown: float = 4.0
    is_cold_overload_fatal: bool = False
    prefix_cache_limit_tokens: int = 8_192
    cache_event_lag_ms: float = 200.0
    cache_event_gap_ratio: float = 0.05
    load_report_interval_ms: float = 100.0
    median_output_tokens: float = 48.0
    output_spread: float = 1.0
    seed: int = 0


class Submission(NamedTuple):
    """A generation that is handed to the engine.

    Attributes:
        generation_id: Unique name.
        prompt: Text to continue; its length mark, if any, sets the length.
        max_tokens: Largest number of output tokens.
        priority: Larger is scheduled first and preempted last.
    """

    generation_id: str
    prompt: str
    max_tokens: int
    priority: int = 0


class TokenOutput(NamedTuple):
    """One token of one generation; sequence numbers start at 1."""

    generation_id: str
    sequence: int
    finish_reason: Literal["stop", "length"] | None


class StepResult(NamedTuple):
    """What one step did.

    Attributes:
        duration_ms: How long it took; its tokens exist from its end on.
        tokens: One token for each generation in the batch.
        preempted: Ids of the generations that lost their memory.
    """

    duration_ms: float
    tokens: tuple[TokenOutput, ...]
    preempted: tuple[str, ...]


class GenerationState:
    """A generation inside the engine.

    Attributes:
        generated_tokens: Tokens so far; kept over a preemption.
        output_tokens: True length of the output.
        memory_used_tokens: Key-value memory it holds; 0 while it waits.
        preemption_count: How often it lost its memory.
    """

    def __init__(self, submission: Submission, order: int, output_tokens: int) -> None:
        self.submission = submission
        self.order = order
        self.prompt_tokens = count_prompt_tokens(submission.prompt)
        self.output_tokens = output_tokens
        self.generated_tokens = 0
        self.memory_used_tokens = 0
        self.preemption_count = 0

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key: higher priority first, then the earlier arrival."""
        return (-self.submission.priority, self.order)

    @property
    def recompute_tokens(self) -> int:
        """Tokens that must be in memory before it can go on."""
        return self.prompt_tokens + self.generated_tokens


def output_length(prompt: str, settings: EngineModelSettings) -> int:
    """Return the true output length for ``prompt``, at least one token.

    A prompt that carries ``[tokens=N]`` has length N; any other has a
    log-normal length drawn from the hash of seed and prompt.
    """
    mark = _LENGTH_MARK.search(prompt)
    if mark is not None:
        return max(1, int(mark.group(1)))
    digest = xxhash.xxh64_intdigest(f"{settings.seed}:{prompt}".encode())
    chance = (digest + 0.5) / _HASH_RANGE
    chance = min(max(chance, _SMALLEST_CHANCE), 1.0 - _SMALLEST_CHANCE)
    deviation = NormalDist().inv_cdf(chance) * settings.output_spread
    return max(1, round(settings.median_output_tokens * math.exp(deviation)))


def token_text(sequence: int) -> str:
    """Return the text of the token with this sequence number."""
    return f"w{sequence} "


class EngineModel:
    """State of one engine between two steps.

    Args:
        settings: Size and speed.
        now_ms: Time of the boot.
        boot_id: Name of the boot.
    """

    def __init__(
        self, settings: EngineModelSettings, now_ms: float, boot_id: str = "boot-1"
    ) -> None:
        self.settings = settings
        self.boot_number = 0
        self._boot_name = boot_id
        self._start(now_ms)

    def _start(self, now_ms: float) -> None:
        settings = self.settings
        self.boot_number += 1
        self.preemption_count = 0
        self._running: list[GenerationState] = []
        self._waiting: list[GenerationState] = []
        self._order = 0
        self._known_ids: set[str] = set()
        self._cold_until_ms = now_ms + settings.cold_duration_ms
        self._step_time_ms = 0.0
        self._cache = PrefixCache(
            settings.prefix_cache_limit_tokens,
            settings.cache_event_lag_ms,
            settings.cache_event_gap_ratio,
        )
        self._report = self._take_report(now_ms)
        self._report_ms = now_ms

    @property
    def boot_id(self) -> str:
        """Name of the current boot."""
        if self.boot_number == 1:
            return self._boot_name
        return f"{self._boot_name}.{self.boot_number}"

    @property
    def running(self) -> tuple[GenerationState, ...]:
        """Generations that hold memory."""
        return tuple(self._running)

    @property
    def waiting(self) -> tuple[GenerationState, ...]:
        """Generations that wait for memory, preempted ones included."""
        return tuple(self._waiting)

    @property
    def memory_used_tokens(self) -> int:
        """Key-value memory in use now."""
        return sum(state.memory_used_tokens for state in self._running)

    @property
    def is_idle(self) -> bool:
        """Whether a step would have nothing to do."""
        return not self._running and not self._waiting

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the engine bears only a little load."""
        return now_ms < self._cold_until_ms

    def turn_cold(self, now_ms: float, duration_ms: float) -> None:
        """Make the engine cold without a restart."""
        self._cold_until_ms = now_ms + duration_ms

    def end_cold_start(self, now_ms: float) -> None:
        """Bear full load from now on, and report it at once."""
        self._cold_until_ms = now_ms
        self._report = self._take_report(now_ms)
        self._report_ms = now_ms

    def restart(self, now_ms: float) -> None:
        """Boot again: every generation is lost and the boot id changes."""
        self._start(now_ms)

    def submit(self, submission: Submission, now_ms: float) -> RefusalCode | None:
        """Take a generation, or return why it is refused and has not run."""
        refusal = self._check(submission, now_ms)
        if refusal is not None:
            if refusal == "engine_cold" and self.settings.is_cold_overload_fatal:
                self.restart(now_ms)
            return refusal
        self._order += 1
        self._known_ids.add(submission.generation_id)
        length = output_length(submission.prompt, self.settings)
        self._waiting.append(GenerationState(submission, self._order, length))
        return None

    def _check(self, submission: Submission, now_ms: float) -> RefusalCode | None:
        if submission.generation_id in self._known_ids:
            return "duplicate_generation"
        prompt_tokens = count_prompt_tokens(submission.prompt)
        if prompt_tokens + 1 > self.settings.memory_limit_tokens:
            return "prompt_too_long"
        in_flight = len(self._running) + len(self._waiting)
        if self.is_cold(now_ms) and in_flight >= self.settings.cold_limit:
            return "engine_cold"
        if len(self._waiting) >= self.settings.waiting_limit:
            return "engine_full"
        return None

    def cancel(self, generation_id: str) -> bool:
        """Drop a generation and free its memory; return whether it was there."""
        for group in (self._running, self._waiting):
            for state in group:
                if state.submission.generation_id == generation_id:
                    group.remove(state)
                    return True
        return False

    def step(self, now_ms: float) -> StepResult:
        """Run one decode step that begins at ``now_ms``."""
        prefill_tokens = self._admit_waiting(now_ms)
        preempted = self._make_room()
        duration_ms = self._step_duration_ms(prefill_tokens, now_ms)
        tokens = tuple(self._decode(state) for state in self._running)
        self._running = [
            state for state in self._running if not self._is_finished(state)
        ]
        self._step_time_ms = duration_ms
        self._refresh_report(now_ms + duration_ms)
        return StepResult(duration_ms, tokens, preempted)

    def _admit_waiting(self, now_ms: float) -> int:
        """Move waiting generations into the batch; return tokens to compute."""
        free_tokens = self.settings.memory_limit_tokens - self.memory_used_tokens
        prefill_tokens = 0
        for state in sorted(self._waiting, key=lambda each: each.rank):
            # Every generation in the batch takes one more token in this step.
            needed_tokens = state.recompute_tokens + len(self._running) + 1
            is_full = len(self._running) >= self.settings.batch_limit
            if is_full or needed_tokens > free_tokens:
                break
            self._waiting.remove(state)
            self._running.append(state)
            state.memory_used_tokens = state.recompute_tokens
            free_tokens -= state.recompute_tokens
            cached = self._cache.use(prefix_digests(state.submission.prompt), now_ms)
            prefill_tokens += max(0, state.recompute_tokens - cached)
        return prefill_tokens

    def _make_room(self) -> tuple[str, ...]:
        preempted = []
        limit_tokens = self.settings.memory_limit_tokens
        while self.memory_used_tokens + len(self._running) > limit_tokens:
            victim = max(self._running, key=lambda each: each.rank)
            self._running.remove(victim)
            self._waiting.append(victim)
            victim.memory_used_tokens = 0
            victim.preemption_count += 1
            self.preemption_count += 1
            preempted.append(victim.submission.generation_id)
        return tuple(preempted)

    def _step_duration_ms(self, prefill_tokens: int, now_ms: float) -> float:
        settings = self.settings
        duration_ms = (
            settings.step_base_ms
            + settings.step_per_generation_ms * len(self._running)
            + settings.step_per_1000_tokens_ms * self.memory_used_tokens / 1000
            + settings.prefill_per_token_ms * prefill_tokens
        )
        if self.is_cold(now_ms):
            duration_ms *= settings.cold_slowdown
        return duration_ms

    def _decode(self, state: GenerationState) -> TokenOutput:
        state.generated_tokens += 1
        state.memory_used_tokens += 1
        reason: Literal["stop", "length"] | None = None
        if state.generated_tokens >= state.output_tokens:
            reason = "stop"
        elif state.generated_tokens >= self._limit_tokens(state):
            reason = "length"
        return TokenOutput(
            state.submission.generation_id, state.generated_tokens, reason
        )

    def _is_finished(self, state: GenerationState) -> bool:
        limit_tokens = min(state.output_tokens, self._limit_tokens(state))
        return state.generated_tokens >= limit_tokens

    def _limit_tokens(self, state: GenerationState) -> int:
        # A lone generation cannot outgrow the memory of the whole engine.
        memory_tokens = self.settings.memory_limit_tokens - state.prompt_tokens
        return min(state.submission.max_tokens, memory_tokens)

    def load_report(self, now_ms: float) -> LoadReport:
        """Return the latest load report, which lags behind the present."""
        if self.is_idle:
            self._refresh_report(now_ms)
        return msgspec.structs.replace(
            self._report, report_age_ms=max(0.0, now_ms - self._report_ms)
        )

    def cache_events(self, after_sequence: int, now_ms: float) -> CacheEvents:
        """Return the published cache events after a sequence number."""
        return CacheEvents(self.boot_id, self._cache.published(after_sequence, now_ms))

    def _refresh_report(self, now_ms: float) -> None:
        if now_ms - self._report_ms >= self.settings.load_report_interval_ms:
            self._report = self._take_report(now_ms)
            self._report_ms = now_ms

    def _take_report(self, now_ms: float) -> LoadReport:
        return LoadReport(
            boot_id=self.boot_id,
            is_cold=self.is_cold(now_ms),
            running_count=len(self._running),
            waiting_count=len(self._waiting),
            memory_used_tokens=self.memory_used_tokens,
            memory_limit_tokens=self.settings.memory_limit_tokens,
            preemption_count=self.preemption_count,
            step_time_ms=self._step_time_ms,
            report_age_ms=0.0,
        )
