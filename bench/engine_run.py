"""Simulation of one engine and the owner of its slots, in virtual time.

The queue, the length model and the admission are those of production; the engine is the
model of the stand-in. The owner receives progress and load reports with a delay, but
learns at once of ends and of its own admissions.
"""

from collections.abc import Callable
from typing import NamedTuple

from gypsumfield.configuration import Profile
from gypsumfield.decisions.admission import CanAdmit
from gypsumfield.decisions.admission import is_heavy_account
from gypsumfield.decisions.engine_limits import EngineMemoryReport
from gypsumfield.decisions.engine_limits import MemoryBudget
from gypsumfield.decisions.engine_limits import StepTimeModel
from gypsumfield.decisions.fairness import FairQueue
from gypsumfield.decisions.fairness import QueueEntry
from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.lengths import LengthModel
from gypsumfield.decisions.lengths import LengthProgress
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.decisions.workload import RunningGeneration
from gypsumfield.standins.engine_model import EngineModel
from gypsumfield.standins.engine_model import EngineModelSettings
from gypsumfield.standins.engine_model import StepResult
from gypsumfield.standins.engine_model import Submission
from workloads import BenchRequest

REPORT_LAG_MS = 100.0

CHARACTERS_PER_TOKEN = 4


class Policy(NamedTuple):
    """Admission policy of the owner.

    Attributes:
        can_admit: Decides whether an engine admits one more generation.
        learns_limits: Whether limits are learned from the load reports.
        sees_current_progress: Whether progress is known without delay; for the oracle.
        skips_heavy_accounts: Whether entries of heavy accounts may be skipped.
    """

    can_admit: CanAdmit
    learns_limits: bool = False
    sees_current_progress: bool = False
    skips_heavy_accounts: bool = False


MakePolicy = Callable[[LengthModel, dict[str, BenchRequest]], Policy]


class RunResult(NamedTuple):
    """Measurements of one run."""

    preemptions: int
    stall_ms_p99: float
    between_tokens_ms_p50: float
    between_tokens_ms_p95: float
    between_tokens_ms_p99: float
    first_token_ms_p95: float
    tokens_per_s: float
    worst_account_share: float
    refused: int
    largest_refused_share: float
    account_shares: dict[str, float]
    refused_shares: dict[str, float]
    mean_batch: float


class _Stream:
    """A request that runs on the engine."""

    __slots__ = (
        "expected_tokens",
        "known_tokens",
        "last_ms",
        "present_tokens",
        "request",
        "stall_ms",
    )

    def __init__(self, request: BenchRequest, expected_tokens: float) -> None:
        self.request = request
        self.expected_tokens = expected_tokens
        self.known_tokens = 0
        self.present_tokens = 0
        self.last_ms: float | None = None
        self.stall_ms = 0.0


class _Measures:
    """Samples of one run."""

    def __init__(self) -> None:
        self.gaps_ms: list[float] = []
        self.first_token_ms: list[float] = []
        self.stall_ms: list[float] = []
        self.served: dict[str, float] = {}
        self.offered: dict[str, float] = {}
        self.refused: dict[str, int] = {}
        self.offered_count: dict[str, int] = {}
        self.tokens_in_time = 0
        self.batch_ms = 0.0
        self.busy_ms = 0.0


class EngineRun:
    """Simulation of a queue and one engine, in virtual time.

    Args:
        requests: Arrivals in order of time.
        make_policy: Returns the admission policy of this run.
        engine: Size and speed of the engine.
        profile: Targets and limits.
        queue: The queue; a fair one when None.
    """

    def __init__(
        self,
        requests: list[BenchRequest],
        make_policy: MakePolicy,
        engine: EngineModelSettings,
        profile: Profile,
        queue: FairQueue | None = None,
    ) -> None:
        self.requests = requests
        self.profile = profile
        self.lengths = LengthModel()
        by_id = {request.demand.request_id: request for request in requests}
        self.policy = make_policy(self.lengths, by_id)
        self.queue = FairQueue(profile.queue_limit) if queue is None else queue
        self.engine = EngineModel(engine, 0.0)
        self.budget = MemoryBudget()
        self.step_times = StepTimeModel()
        self.by_id = by_id
        self.streams: dict[str, _Stream] = {}
        self.measures = _Measures()
        self.now_ms = 0.0
        self._next_arrival = 0
        self._next_report_ms = 0.0
        self._is_view_new = True
        self._delayed_views: list[tuple[float, dict[str, int], EngineMemoryReport]] = []

    def run(self) -> RunResult:
        """Simulate all arrivals until the last answer ends."""
        while self._next_arrival < len(self.requests) or not self.engine.is_idle:
            self._take_arrivals()
            self._refuse_expired()
            self._update_view()
            self._admit()
            if self.engine.is_idle:
                self._skip_idle_time()
                continue
            self._step()
        return self._result()

    def _take_arrivals(self) -> None:
        while self._next_arrival < len(self.requests):
            request = self.requests[self._next_arrival]
            if request.arrived_ms > self.now_ms:
                return
            self._next_arrival += 1
            self._offer(request)

    def _offer(self, request: BenchRequest) -> None:
        demand = request.demand
        measures = self.measures
        measures.offered_count[demand.account] = (
            measures.offered_count.get(demand.account, 0) + 1
        )
        work = demand.prompt_tokens + request.output_tokens
        measures.offered[demand.account] = (
            measures.offered.get(demand.account, 0.0) + work
        )
        expected = demand.prompt_tokens + self.lengths.remaining(demand, 0).mean_tokens
        start_deadline_ms = request.arrived_ms + self.profile.queue_wait_limit_ms
        entry = QueueEntry(demand, expected, request.arrived_ms, start_deadline_ms)
        for refusal in self.queue.offer(self.now_ms, entry).refused:
            self._count_refused(refusal.entry)
        self._is_view_new = True

    def _refuse_expired(self) -> None:
        for refusal in self.queue.expire(self.now_ms):
            self._count_refused(refusal.entry)

    def _count_refused(self, entry: QueueEntry) -> None:
        account = entry.demand.account
        self.measures.refused[account] = self.measures.refused.get(account, 0) + 1

    def _update_view(self) -> None:
        """Store progress and load report; apply those whose delay has passed."""
        if self.now_ms >= self._next_report_ms:
            self._next_report_ms = self.now_ms + REPORT_LAG_MS
            self._store_view()
        while self._delayed_views and self._delayed_views[0][0] <= self.now_ms:
            _, progress, memory_report = self._delayed_views.pop(0)
            self._apply_view(progress, memory_report)

    def _store_view(self) -> None:
        report = self.engine.load_report(self.now_ms)
        progress = {
            state.submission.generation_id: state.generated_tokens
            for state in (*self.engine.running, *self.engine.waiting)
        }
        memory_report = EngineMemoryReport(
            report.memory_limit_tokens,
            report.memory_used_tokens,
            report.preemption_count,
            report.boot_id,
        )
        self.step_times.observe(report.running_count, report.step_time_ms)
        visible_ms = self.now_ms + REPORT_LAG_MS
        self._delayed_views.append((visible_ms, progress, memory_report))

    def _apply_view(
        self, progress: dict[str, int], memory_report: EngineMemoryReport
    ) -> None:
        accounted = 0
        for generation_id, tokens in progress.items():
            accounted += self.by_id[generation_id].demand.prompt_tokens + tokens
            stream = self.streams.get(generation_id)
            if stream is not None:
                self._record_progress(stream, tokens)
        self.budget.observe(memory_report, accounted, self.now_ms)
        self._is_view_new = True

    def _record_progress(self, stream: _Stream, tokens: int) -> None:
        demand = stream.request.demand
        progress = LengthProgress(demand, stream.known_tokens, tokens)
        self.lengths.record_progress(progress)
        stream.known_tokens = tokens

    def _admit(self) -> None:
        if not self._is_view_new:
            return
        self._is_view_new = False
        excluded_accounts: set[str] = set()
        while (entry := self.queue.peek(self.now_ms, excluded_accounts)) is not None:
            if self._may_admit(entry.demand):
                self.queue.next(self.now_ms, excluded_accounts)
                self._submit(entry)
            elif self._should_skip(entry.demand.account):
                excluded_accounts.add(entry.demand.account)
            else:
                return

    def _should_skip(self, account: str) -> bool:
        """Return whether other accounts may be served before this heavy account."""
        return self.policy.skips_heavy_accounts and is_heavy_account(
            self._running(), account
        )

    def _may_admit(self, demand: GenerationDemand) -> bool:
        limit_tokens = self.engine.settings.memory_limit_tokens
        if self.policy.learns_limits and self.now_ms > 2 * REPORT_LAG_MS:
            limit_tokens = self.budget.limit_tokens(self.now_ms)
            target_ms = self.profile.between_tokens_target_ms
            batch_limit = self.step_times.batch_limit(target_ms)
            if batch_limit is not None and len(self.streams) >= batch_limit:
                return False
        return self.policy.can_admit(self._running(), demand, limit_tokens)

    def _running(self) -> list[RunningGeneration]:
        sees_current_progress = self.policy.sees_current_progress
        return [
            RunningGeneration(
                stream.request.demand,
                stream.present_tokens if sees_current_progress else stream.known_tokens,
            )
            for stream in self.streams.values()
        ]

    def _submit(self, entry: QueueEntry) -> None:
        request = self.by_id[entry.demand.request_id]
        prompt = f"{entry.demand.request_id} [tokens={request.output_tokens}]"
        prompt = prompt.ljust(entry.demand.prompt_tokens * CHARACTERS_PER_TOKEN, ".")
        submission = Submission(
            entry.demand.request_id, prompt, entry.demand.max_tokens
        )
        refusal = self.engine.submit(submission, self.now_ms)
        if refusal is not None:
            raise RuntimeError(
                f"{entry.demand.request_id}: engine refused with {refusal}"
            )
        self.streams[entry.demand.request_id] = _Stream(request, entry.expected_tokens)

    def _skip_idle_time(self) -> None:
        if self._next_arrival < len(self.requests):
            arrival_ms = self.requests[self._next_arrival].arrived_ms
            self.now_ms = max(self.now_ms, arrival_ms)

    def _step(self) -> None:
        result = self.engine.step(self.now_ms)
        self.now_ms += result.duration_ms
        self.measures.busy_ms += result.duration_ms
        self.measures.batch_ms += result.duration_ms * len(result.tokens)
        if self.now_ms <= self.requests[-1].arrived_ms:
            # The last long answers run alone and don't represent a full engine.
            self.measures.tokens_in_time += len(result.tokens)
        self._deliver(result)

    def _deliver(self, result: StepResult) -> None:
        for token in result.tokens:
            stream = self.streams[token.generation_id]
            if stream.last_ms is None:
                wait_ms = self.now_ms - stream.request.arrived_ms
                self.measures.first_token_ms.append(wait_ms)
            else:
                gap_ms = self.now_ms - stream.last_ms
                self.measures.gaps_ms.append(gap_ms)
                excess_ms = gap_ms - self.profile.between_tokens_target_ms
                stream.stall_ms += max(0.0, excess_ms)
            stream.last_ms = self.now_ms
            stream.present_tokens = token.sequence
            if token.finish_reason is not None:
                self._finish(stream, token.sequence, token.finish_reason == "stop")

    def _finish(self, stream: _Stream, output_tokens: int, is_complete: bool) -> None:
        demand = stream.request.demand
        del self.streams[demand.request_id]
        finished = FinishedLength(
            demand, output_tokens, is_complete, known_tokens=stream.known_tokens
        )
        self.lengths.record(finished, self.now_ms)
        work = demand.prompt_tokens + output_tokens
        self.queue.charge(demand.account, work - stream.expected_tokens)
        served = self.measures.served
        served[demand.account] = served.get(demand.account, 0.0) + work
        self.measures.stall_ms.append(stream.stall_ms)
        self._is_view_new = True

    def _result(self) -> RunResult:
        measures = self.measures
        last_ms = max(1.0, self.requests[-1].arrived_ms if self.requests else 0.0)
        refused_shares = {
            account: round(measures.refused.get(account, 0) / offered_count, 4)
            for account, offered_count in sorted(measures.offered_count.items())
        }
        shares = account_shares(measures.offered, measures.served)
        return RunResult(
            preemptions=self.engine.preemption_count,
            stall_ms_p99=percentile(measures.stall_ms, 0.99),
            between_tokens_ms_p50=percentile(measures.gaps_ms, 0.5),
            between_tokens_ms_p95=percentile(measures.gaps_ms, 0.95),
            between_tokens_ms_p99=percentile(measures.gaps_ms, 0.99),
            first_token_ms_p95=percentile(measures.first_token_ms, 0.95),
            tokens_per_s=round(measures.tokens_in_time * 1_000.0 / last_ms, 1),
            worst_account_share=min(shares.values(), default=1.0),
            refused=sum(measures.refused.values()),
            largest_refused_share=max(refused_shares.values(), default=0.0),
            account_shares=shares,
            refused_shares=refused_shares,
            mean_batch=round(measures.batch_ms / max(1.0, measures.busy_ms), 2),
        )


def percentile(samples: list[float], chance: float) -> float:
    """Return the quantile ``chance`` of the samples, rounded; 0 without samples."""
    if not samples:
        return 0.0
    ordered = sorted(samples)
    return round(ordered[min(len(ordered) - 1, int(chance * len(ordered)))], 3)


def account_shares(
    offered: dict[str, float], served: dict[str, float]
) -> dict[str, float]:
    """Return the ratio of served to fair share by account.

    The served total is distributed equally over all accounts; an account gets at most
    what it offered, and the rest is distributed over the others.
    """
    remaining = sum(served.values())
    shares = {}
    waiting = sorted(offered, key=lambda account: offered[account])
    while waiting:
        level = remaining / len(waiting)
        account = waiting.pop(0)
        fair = min(level, offered[account])
        remaining -= fair
        if fair > 0.0:
            shares[account] = round(served.get(account, 0.0) / fair, 4)
    return shares
