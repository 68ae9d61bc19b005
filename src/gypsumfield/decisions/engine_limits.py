"""Limits of one engine, learned from its delayed load reports."""

import math
from typing import NamedTuple


class EngineMemoryReport(NamedTuple):
    """Memory figures of an engine's load report.

    Attributes:
        memory_limit_tokens: Size of the key-value cache.
        memory_used_tokens: Memory in use according to the latest report.
        preemption_count: Preemptions since boot according to the latest report.
        boot_id: Boot of the engine that the report belongs to.
    """

    memory_limit_tokens: int
    memory_used_tokens: int
    preemption_count: int
    boot_id: str


class MemoryBudget:
    """Memory of one engine available to admission, learned from its load reports.

    Memory in use that this host cannot account for is subtracted, because another
    user occupies it. Each report with new preemptions reduces the budget by a further
    share, which recovers while no preemptions occur.

    Args:
        preemption_reduction_ratio: Reduction for one report with preemptions.
        max_reduction_ratio: Upper limit of the reduction for preemptions.
        half_life_ms: Time in which that reduction decreases by half.
    """

    def __init__(
        self,
        preemption_reduction_ratio: float = 0.02,
        max_reduction_ratio: float = 0.25,
        half_life_ms: float = 60_000.0,
    ) -> None:
        self._preemption_ratio = preemption_reduction_ratio
        self._max_reduction_ratio = max_reduction_ratio
        self._half_life_ms = half_life_ms
        self._reduction_ratio = 0.0
        self._reduced_ms = 0.0
        self._unexplained_tokens = 0
        self._limit_tokens = 0
        self._boot_id = ""
        self._preemption_count = 0

    def observe(
        self, report: EngineMemoryReport, accounted_tokens: int, now_ms: float
    ) -> None:
        """Update the budget from a load report.

        Args:
            report: Memory figures of the load report.
            accounted_tokens: Memory of the generations that this host had recorded
                on the engine when the report was taken.
            now_ms: Current time.
        """
        is_same_boot = report.boot_id == self._boot_id
        earlier_count = self._preemption_count if is_same_boot else 0
        if self._boot_id and report.preemption_count > earlier_count:
            increased_ratio = self._reduction_at(now_ms) + self._preemption_ratio
            self._reduction_ratio = min(self._max_reduction_ratio, increased_ratio)
            self._reduced_ms = now_ms
        self._boot_id = report.boot_id
        self._preemption_count = report.preemption_count
        self._limit_tokens = report.memory_limit_tokens
        self._unexplained_tokens = max(0, report.memory_used_tokens - accounted_tokens)

    def limit_tokens(self, now_ms: float) -> int:
        """Return the memory available to admission; 0 before the first report."""
        usable = self._limit_tokens * (1.0 - self._reduction_at(now_ms))
        return max(0, int(usable) - self._unexplained_tokens)

    def _reduction_at(self, now_ms: float) -> float:
        elapsed_ms = max(0.0, now_ms - self._reduced_ms)
        return self._reduction_ratio * math.exp2(-elapsed_ms / self._half_life_ms)


class StepTimeModel:
    """Linear model of an engine's step time by batch size, from load reports.

    A least-squares line with exponential decay. It gives the largest batch for which
    the time between two tokens stays within a target.

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
        """Update the line from a load report; reports of an idle engine are ignored."""
        if running_count <= 0 or step_time_ms <= 0.0:
            return
        if self._is_empty:
            self._is_empty = False
            self._mean_count = float(running_count)
            self._mean_ms = step_time_ms
            return
        count_change = running_count - self._mean_count
        ms_change = step_time_ms - self._mean_ms
        decay = 1.0 - self._smoothing
        self._mean_count += self._smoothing * count_change
        self._mean_ms += self._smoothing * ms_change
        self._variance = decay * (self._variance + self._smoothing * count_change**2)
        self._covariance = decay * (
            self._covariance + self._smoothing * count_change * ms_change
        )

    def batch_limit(self, target_ms: float) -> int | None:
        """Return the largest batch within ``target_ms``; None for no known limit.

        The result is at least 1; otherwise a slow engine would never run anything.
        """
        if self._is_empty:
            return None
        if self._variance < 1.0:
            # All reports have almost the same batch size, so the line has no slope yet.
            is_within = self._mean_ms <= target_ms
            return None if is_within else max(1, int(self._mean_count) - 1)
        slope = self._covariance / self._variance
        if slope <= 0.0:
            return None if self._mean_ms <= target_ms else 1
        base_ms = self._mean_ms - slope * self._mean_count
        return max(1, int((target_ms - base_ms) / slope))
