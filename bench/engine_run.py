"""One engine and the owner of its slots in virtual time.

The queue, the length model and the admission are those of production; the
engine is the model behind the stand-in. The owner sees progress and load
reports late, and learns of ends and of its own admissions at once.
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
    """How the owner admits.

    Attributes:
        can_admit: The decision.
        learns_limits: Whether the load reports' limits are learned from.
        sees_present: Whether progress is seen without a lag; for the oracle.
        passes_over: Whether others may pass by an account that crowds.
    """

    can_admit: CanAdmit
    learns_limits: bool = False
    sees_present: bool = False
    passes_over: bool = False


MakePolicy = Callable[[LengthModel, dict[str, BenchRequest]], Policy]


class RunResult(NamedTuple):
    """What one run measured."""

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
    """An admitted request on its way."""

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
        self.asked: dict[str, int] = {}
        self.tokens_in_time = 0
        self.batch_ms = 0.0
        self.busy_ms = 0.0


class EngineRun:
    """A queue before one engine, stepped in virtual time.

    Args:
        requests: Arrivals in order of time.
        make_policy: Makes the admission of this run.
        engine: Size and speed of the engine.
        profile: Targets and bounds.
        queue: The queue; the fair one when None.
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
        self._late_views: list[tuple[float, dict[str, int], EngineMemoryReport]] = []

    def run(self) -> RunResult:
        """Play all arrivals to the last answer."""
        while self._next_arrival < len(self.requests) or not self.engine.is_idle:
            self._take_arrivals()
            self._refuse_expired()
            self._look()
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
        count = self.measures
        count.asked[demand.account] = count.asked.get(demand.account, 0) + 1
        work = demand.prompt_tokens + request.output_tokens
        count.offered[demand.account] = count.offered.get(demand.account, 0.0) + work
        expected = demand.prompt_tokens + self.lengths.remaining(demand, 0).mean_tokens
        give_up_ms = request.arrived_ms + self.profile.queue_wait_limit_ms
        entry = QueueEntry(demand, expected, request.arrived_ms, give_up_ms)
        for refusal in self.queue.offer(self.now_ms, entry).refused:
            self._count_refused(refusal.entry)
        self._is_view_new = True

    def _refuse_expired(self) -> None:
        for refusal in self.queue.expire(self.now_ms):
            self._count_refused(refusal.entry)

    def _count_refused(self, entry: QueueEntry) -> None:
        account = entry.demand.account
        self.measures.refused[account] = self.measures.refused.get(account, 0) + 1

    def _look(self) -> None:
        """Take progress and load report, and let those of the past be seen."""
        if self.now_ms >= self._next_report_ms:
            self._next_report_ms = self.now_ms + REPORT_LAG_MS
            self._take_view()
        while self._late_views and self._late_views[0][0] <= self.now_ms:
            _, progress, sight = self._late_views.pop(0)
            self._see(progress, sight)

    def _take_view(self) -> None:
        report = self.engine.load_report(self.now_ms)
        progress = {
            state.submission.generation_id: state.generated_tokens
            for state in (*self.engine.running, *self.engine.waiting)
        }
        sight = EngineMemoryReport(
            report.memory_limit_tokens,
            report.memory_used_tokens,
            report.preemption_count,
            report.boot_id,
        )
        self.step_times.observe(report.running_count, report.step_time_ms)
        seen_ms = self.now_ms + REPORT_LAG_MS
        self._late_views.append((seen_ms, progress, sight))

    def _see(self, progress: dict[str, int], sight: EngineMemoryReport) -> None:
        accounted = 0
        for generation_id, tokens in progress.items():
            accounted += self.by_id[generation_id].demand.prompt_tokens + tokens
            stream = self.streams.get(generation_id)
            if stream is not None:
                self._learn_progress(stream, tokens)
        self.budget.observe(sight, accounted, self.now_ms)
        self._is_view_new = True

    def _learn_progress(self, stream: _Stream, tokens: int) -> None:
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
            elif self._is_held_back(entry.demand.account):
                excluded_accounts.add(entry.demand.account)
            else:
                return

    def _is_held_back(self, account: str) -> bool:
        """Return whether others may pass by the entry that was not admitted."""
        return self.policy.passes_over and is_heavy_account(self._running(), account)

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
        sees_present = self.policy.sees_present
        return [
            RunningGeneration(
                stream.request.demand,
                stream.present_tokens if sees_present else stream.known_tokens,
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
            raise RuntimeError(f"{entry.demand.request_id}: engine says {refusal}")
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
            # The last long answers run alone and say nothing of a full engine.
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
                over_ms = gap_ms - self.profile.between_tokens_target_ms
                stream.stall_ms += max(0.0, over_ms)
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
            account: round(measures.refused.get(account, 0) / asked, 4)
            for account, asked in sorted(measures.asked.items())
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
    """Return the sample that a share of ``chance`` does not exceed."""
    if not samples:
        return 0.0
    ordered = sorted(samples)
    return round(ordered[min(len(ordered) - 1, int(chance * len(ordered)))], 3)


def account_shares(
    offered: dict[str, float], served: dict[str, float]
) -> dict[str, float]:
    """Return the ratio of served to fair share by account.

    The fair shares fill up all accounts alike until the served total is used
    up or an account has all that it offered.
    """
    left = sum(served.values())
    shares = {}
    waiting = sorted(offered, key=lambda account: offered[account])
    while waiting:
        level = left / len(waiting)
        account = waiting.pop(0)
        fair = min(level, offered[account])
        left -= fair
        if fair > 0.0:
            shares[account] = round(served.get(account, 0.0) / fair, 4)
    return shares
