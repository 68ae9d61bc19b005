"""Limits of one engine, learned from its lagging load reports."""

import math
from typing import NamedTuple


class EngineMemoryReport(NamedTuple):
    """What an entry host knows of an engine beside its own generations.

    Attributes:
        memory_limit_tokens: Key-value memory in all.
        memory_used_tokens: Memory in use by the latest report.
        preemption_count: Preemptions since boot by the latest report.
        boot_id: Boot that the report is of.
    """

    memory_limit_tokens: int
    memory_used_tokens: int
    preemption_count: int
    boot_id: str


class MemoryBudget:
    """Memory of one engine to plan with, learned from its load reports.

    Memory that the engine reports beyond what this host accounts for is taken
    off: another user holds it. Each report with new preemptions takes off a
    further share, which comes back while there are none.

    Args:
        preemption_step_ratio: Share taken off by a report with preemptions.
        largest_cut_ratio: Largest share that preemptions take off.
        half_life_ms: Time in which that share falls by half.
    """

    def __init__(
        self,
        preemption_step_ratio: float = 0.02,
        largest_cut_ratio: float = 0.25,
        half_life_ms: float = 60_000.0,
    ) -> None:
        self._step_ratio = preemption_step_ratio
        self._largest_ratio = largest_cut_ratio
        self._half_life_ms = half_life_ms
        self._cut_ratio = 0.0
        self._cut_ms = 0.0
        self._unexplained_tokens = 0
        self._limit_tokens = 0
        self._boot_id = ""
        self._preemption_count = 0

    def observe(
        self, sight: EngineMemoryReport, accounted_tokens: int, now_ms: float
    ) -> None:
        """Learn from a load report.

        Args:
            sight: The report.
            accounted_tokens: Memory of the generations that this host knew on
                the engine when the report was taken.
            now_ms: Present time.
        """
        is_same_boot = sight.boot_id == self._boot_id
        earlier_count = self._preemption_count if is_same_boot else 0
        if self._boot_id and sight.preemption_count > earlier_count:
            wanted = self._cut_at(now_ms) + self._step_ratio
            self._cut_ratio = min(self._largest_ratio, wanted)
            self._cut_ms = now_ms
        self._boot_id = sight.boot_id
        self._preemption_count = sight.preemption_count
        self._limit_tokens = sight.memory_limit_tokens
        self._unexplained_tokens = max(0, sight.memory_used_tokens - accounted_tokens)

    def limit_tokens(self, now_ms: float) -> int:
        """Return the memory to plan with; 0 before the first report."""
        usable = self._limit_tokens * (1.0 - self._cut_at(now_ms))
        return max(0, int(usable) - self._unexplained_tokens)

    def _cut_at(self, now_ms: float) -> float:
        elapsed_ms = max(0.0, now_ms - self._cut_ms)
        return self._cut_ratio * math.exp2(-elapsed_ms / self._half_life_ms)


class StepTimeModel:
    """Step time of one engine against its batch size, from load reports.

    A decayed least-squares line. It answers how many generations the engine
    bears before the time between two tokens passes a target.

    Args:
        smoothing: Weight of a new report.
    """

    def __init__(self, smoothing: float = 0.02) -> None:
        self._smoothing = smoothing
        self._is_empty = True
        self._mean_count = 0.0
        self._mean_ms = 0.0
        self._variance = 0.0
        self._covariance = 0.0

    def observe(self, running_count: int, step_time_ms: float) -> None:
        """Learn from a load report; reports of an idle engine say nothing."""
        if running_count <= 0 or step_time_ms <= 0.0:
            return
        if self._is_empty:
            self._is_empty = False
            self._mean_count = float(running_count)
            self._mean_ms = step_time_ms
            return
        count_change = running_count - self._mean_count
        ms_change = step_time_ms - self._mean_ms
        keep = 1.0 - self._smoothing
        self._mean_count += self._smoothing * count_change
        self._mean_ms += self._smoothing * ms_change
        self._variance = keep * (self._variance + self._smoothing * count_change**2)
        self._covariance = keep * (
            self._covariance + self._smoothing * count_change * ms_change
        )

    def batch_limit(self, target_ms: float) -> int | None:
        """Return the largest batch within ``target_ms``; None when unknown.

        It is at least 1, or nothing would ever run on a slow engine.
        """
        if self._is_empty:
            return None
        if self._variance < 1.0:
            # All reports show about one batch size: the line has no slope yet.
            is_within = self._mean_ms <= target_ms
            return None if is_within else max(1, int(self._mean_count) - 1)
        slope = self._covariance / self._variance
        if slope <= 0.0:
            return None if self._mean_ms <= target_ms else 1
        base_ms = self._mean_ms - slope * self._mean_count
        return max(1, int((target_ms - base_ms) / slope))
