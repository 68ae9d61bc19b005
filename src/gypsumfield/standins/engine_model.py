"""Model of an inference engine with continuous batching and limited memory.

The model reads no clock and starts no greenlet; the caller passes the time. The
engine stand-in drives it in real time, the benches in virtual time::

    model = EngineModel(EngineModelSettings(), now_ms=0.0)
    refusal = model.submit(Submission("g1", "hello [tokens=40]", 100), now_ms)
    result = model.step(now_ms)
    now_ms += result.duration_ms  # the step's tokens are available now
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

_LENGTH_TAG = re.compile(r"\[tokens=(\d+)\]")
_HASH_RANGE = 2**64
_MIN_PROBABILITY = 1e-9

RefusalCode = Literal[
    "engine_cold", "engine_full", "prompt_too_long", "duplicate_generation"
]


class EngineModelSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size and speed of one engine.

    Attributes:
        memory_limit_tokens: Capacity of the key-value cache, in tokens.
        batch_limit: Maximum number of generations in one step.
        waiting_limit: Maximum number of generations in the waiting queue.
        step_base_ms: Duration of a step with an empty batch.
        step_per_generation_ms: Time added for each generation in the batch.
        step_per_1000_tokens_ms: Time added for each 1,000 tokens in the
            key-value cache.
        prefill_per_token_ms: Time added for each prompt token that is not cached.
        cold_duration_ms: How long the engine is cold after a boot.
        cold_limit: Maximum number of running and waiting generations while cold.
        cold_slowdown: Factor on the step duration while the engine is cold.
        is_cold_overload_fatal: Whether a generation above ``cold_limit`` makes a
            cold engine restart and lose its generations; else it is only refused.
        prefix_cache_limit_tokens: Capacity of the prompt prefix cache, in tokens.
        cache_event_lag_ms: Delay between a cache event and its publication.
        cache_event_gap_ratio: Share of cache events that are never published.
        load_report_interval_ms: Minimum time between two load reports.
        median_output_tokens: Median output length of prompts without a length tag.
        output_spread: Standard deviation of the logarithm of the output length.
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
    """A request to the engine to run one generation.

    Attributes:
        generation_id: Id that no other generation has in the same boot.
        prompt: Text to continue; a tag ``[tokens=N]`` in it sets the output length.
        max_tokens: Maximum number of output tokens.
        priority: Higher values are scheduled first and preempted last.
    """

    generation_id: str
    prompt: str
    max_tokens: int
    priority: int = 0


class TokenOutput(NamedTuple):
    """One decoded token; the sequence numbers of a generation start at 1."""

    generation_id: str
    sequence: int
    finish_reason: Literal["stop", "length"] | None


class StepResult(NamedTuple):
    """Result of one decode step.

    Attributes:
        duration_ms: Duration of the step; its tokens are available at its end.
        tokens: One token for each generation in the batch.
        preempted: Ids of the generations whose key-value cache was evicted.
    """

    duration_ms: float
    tokens: tuple[TokenOutput, ...]
    preempted: tuple[str, ...]


class GenerationState:
    """Progress and memory of one generation in the engine.

    Attributes:
        arrival_number: Position in the order of arrival, from 1.
        generated_tokens: Tokens generated so far; a preemption does not reset it.
        output_tokens: Output length when ``max_tokens`` does not cut it short.
        memory_used_tokens: Key-value cache in use, in tokens; 0 while it waits.
        preemption_count: How often the generation was preempted.
    """

    def __init__(
        self, submission: Submission, arrival_number: int, output_tokens: int
    ) -> None:
        self.submission = submission
        self.arrival_number = arrival_number
        self.prompt_tokens = count_prompt_tokens(submission.prompt)
        self.output_tokens = output_tokens
        self.generated_tokens = 0
        self.memory_used_tokens = 0
        self.preemption_count = 0

    @property
    def scheduling_key(self) -> tuple[int, int]:
        """Sort key: higher priority first, then earlier arrival."""
        return (-self.submission.priority, self.arrival_number)

    @property
    def recompute_tokens(self) -> int:
        """Tokens that must be in the key-value cache before it can continue."""
        return self.prompt_tokens + self.generated_tokens


def output_length(prompt: str, settings: EngineModelSettings) -> int:
    """Return the output length for ``prompt`` in tokens, at least 1.

    The length is N for a prompt that contains ``[tokens=N]``. Otherwise it follows a
    log-normal distribution and depends only on the seed and the prompt.
    """
    length_tag = _LENGTH_TAG.search(prompt)
    if length_tag is not None:
        return max(1, int(length_tag.group(1)))
    prompt_hash = xxhash.xxh64_intdigest(f"{settings.seed}:{prompt}".encode())
    probability = (prompt_hash + 0.5) / _HASH_RANGE
    probability = min(max(probability, _MIN_PROBABILITY), 1.0 - _MIN_PROBABILITY)
    log_deviation = NormalDist().inv_cdf(probability) * settings.output_spread
    return max(1, round(settings.median_output_tokens * math.exp(log_deviation)))


def token_text(sequence: int) -> str:
    """Return the simulated text of a token, such as ``w3 `` for sequence number 3."""
    return f"w{sequence} "


class EngineModel:
    """Scheduler, key-value cache and prefix cache of one simulated engine.

    Args:
        settings: Size and speed.
        now_ms: Time of the first boot.
        boot_id: Id of the first boot; later boots append ``.2``, ``.3`` and so on.
    """

    def __init__(
        self, settings: EngineModelSettings, now_ms: float, boot_id: str = "boot-1"
    ) -> None:
        self.settings = settings
        self.boot_number = 0
        self._first_boot_id = boot_id
        self._boot(now_ms)

    def _boot(self, now_ms: float) -> None:
        settings = self.settings
        self.boot_number += 1
        self.preemption_count = 0
        self._running: list[GenerationState] = []
        self._waiting: list[GenerationState] = []
        self._arrival_count = 0
        self._seen_ids: set[str] = set()
        self._cold_until_ms = now_ms + settings.cold_duration_ms
        self._step_time_ms = 0.0
        self._cache = PrefixCache(
            settings.prefix_cache_limit_tokens,
            settings.cache_event_lag_ms,
            settings.cache_event_gap_ratio,
        )
        self._report = self._build_report(now_ms)
        self._report_ms = now_ms

    @property
    def boot_id(self) -> str:
        """Id of the current boot."""
        if self.boot_number == 1:
            return self._first_boot_id
        return f"{self._first_boot_id}.{self.boot_number}"

    @property
    def running(self) -> tuple[GenerationState, ...]:
        """Generations in the batch, which use key-value cache."""
        return tuple(self._running)

    @property
    def waiting(self) -> tuple[GenerationState, ...]:
        """Generations that wait for a place in the batch, with the preempted ones."""
        return tuple(self._waiting)

    @property
    def memory_used_tokens(self) -> int:
        """Key-value cache in use, in tokens."""
        return sum(state.memory_used_tokens for state in self._running)

    @property
    def is_idle(self) -> bool:
        """Whether no generation is running or waiting."""
        return not self._running and not self._waiting

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the engine is cold: slower, and limited to ``cold_limit``."""
        return now_ms < self._cold_until_ms

    def turn_cold(self, now_ms: float, duration_ms: float) -> None:
        """Make the engine cold for a time, without a restart."""
        self._cold_until_ms = now_ms + duration_ms

    def end_cold_start(self, now_ms: float) -> None:
        """End the cold start now, and renew the load report at once."""
        self._cold_until_ms = now_ms
        self._report = self._build_report(now_ms)
        self._report_ms = now_ms

    def restart(self, now_ms: float) -> None:
        """Boot again: all generations and caches are lost, and the boot id changes."""
        self._boot(now_ms)

    def submit(self, submission: Submission, now_ms: float) -> RefusalCode | None:
        """Queue a generation, or return why it is refused and does not run."""
        refusal = self._refusal_for(submission, now_ms)
        if refusal is not None:
            if refusal == "engine_cold" and self.settings.is_cold_overload_fatal:
                self.restart(now_ms)
            return refusal
        self._arrival_count += 1
        self._seen_ids.add(submission.generation_id)
        length = output_length(submission.prompt, self.settings)
        self._waiting.append(GenerationState(submission, self._arrival_count, length))
        return None

    def _refusal_for(self, submission: Submission, now_ms: float) -> RefusalCode | None:
        if submission.generation_id in self._seen_ids:
            return "duplicate_generation"
        prompt_tokens = count_prompt_tokens(submission.prompt)
        if prompt_tokens + 1 > self.settings.memory_limit_tokens:
            return "prompt_too_long"
        in_flight_count = len(self._running) + len(self._waiting)
        if self.is_cold(now_ms) and in_flight_count >= self.settings.cold_limit:
            return "engine_cold"
        if len(self._waiting) >= self.settings.waiting_limit:
            return "engine_full"
        return None

    def cancel(self, generation_id: str) -> bool:
        """Remove a generation and free its memory; return whether it was unfinished."""
        for states in (self._running, self._waiting):
            for state in states:
                if state.submission.generation_id == generation_id:
                    states.remove(state)
                    return True
        return False

    def step(self, now_ms: float) -> StepResult:
        """Run one decode step that starts at ``now_ms``."""
        prefill_tokens = self._admit_waiting(now_ms)
        preempted = self._preempt_until_batch_fits()
        duration_ms = self._step_duration_ms(prefill_tokens, now_ms)
        tokens = tuple(self._decode(state) for state in self._running)
        self._running = [
            state for state in self._running if not self._is_finished(state)
        ]
        self._step_time_ms = duration_ms
        self._refresh_report(now_ms + duration_ms)
        return StepResult(duration_ms, tokens, preempted)

    def _admit_waiting(self, now_ms: float) -> int:
        """Move waiting generations into the batch; return the tokens to prefill."""
        free_tokens = self.settings.memory_limit_tokens - self.memory_used_tokens
        prefill_tokens = 0
        for state in sorted(self._waiting, key=lambda state: state.scheduling_key):
            # Every generation in the batch needs one more token in this step.
            needed_tokens = state.recompute_tokens + len(self._running) + 1
            is_full = len(self._running) >= self.settings.batch_limit
            if is_full or needed_tokens > free_tokens:
                break
            self._waiting.remove(state)
            self._running.append(state)
            state.memory_used_tokens = state.recompute_tokens
            free_tokens -= state.recompute_tokens
            cached_tokens = self._cache.look_up_and_store(
                prefix_digests(state.submission.prompt), now_ms
            )
            prefill_tokens += max(0, state.recompute_tokens - cached_tokens)
        return prefill_tokens

    def _preempt_until_batch_fits(self) -> tuple[str, ...]:
        preempted = []
        limit_tokens = self.settings.memory_limit_tokens
        while self.memory_used_tokens + len(self._running) > limit_tokens:
            preempted_state = max(self._running, key=lambda state: state.scheduling_key)
            self._running.remove(preempted_state)
            self._waiting.append(preempted_state)
            preempted_state.memory_used_tokens = 0
            preempted_state.preemption_count += 1
            self.preemption_count += 1
            preempted.append(preempted_state.submission.generation_id)
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
        elif state.generated_tokens >= self._max_output_tokens(state):
            reason = "length"
        return TokenOutput(
            state.submission.generation_id, state.generated_tokens, reason
        )

    def _is_finished(self, state: GenerationState) -> bool:
        limit_tokens = min(state.output_tokens, self._max_output_tokens(state))
        return state.generated_tokens >= limit_tokens

    def _max_output_tokens(self, state: GenerationState) -> int:
        # Without this bound, a generation alone in the batch could outgrow the memory.
        memory_tokens = self.settings.memory_limit_tokens - state.prompt_tokens
        return min(state.submission.max_tokens, memory_tokens)

    def load_report(self, now_ms: float) -> LoadReport:
        """Return the latest load report; ``report_age_ms`` tells how old it is."""
        if self.is_idle:
            self._refresh_report(now_ms)
        return msgspec.structs.replace(
            self._report, report_age_ms=max(0.0, now_ms - self._report_ms)
        )

    def cache_events(self, after_sequence: int, now_ms: float) -> CacheEvents:
        """Return the prefix cache events published after a sequence number."""
        return CacheEvents(
            self.boot_id, self._cache.published_events(after_sequence, now_ms)
        )

    def _refresh_report(self, now_ms: float) -> None:
        if now_ms - self._report_ms >= self.settings.load_report_interval_ms:
            self._report = self._build_report(now_ms)
            self._report_ms = now_ms

    def _build_report(self, now_ms: float) -> LoadReport:
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
