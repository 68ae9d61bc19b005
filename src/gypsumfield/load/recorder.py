"""Records the outcomes of the requests of a load run and builds its result."""

from collections import Counter
from collections import defaultdict

from hdrh.histogram import HdrHistogram

from gypsumfield.clock import MS_PER_S
from gypsumfield.load.arrivals import PlannedRequest
from gypsumfield.load.client import RequestOutcome
from gypsumfield.load.experiment import Experiment
from gypsumfield.load.oracle import BoundMeter
from gypsumfield.load.oracle import RateOracle
from gypsumfield.load.results import AccountResult
from gypsumfield.load.results import DurationSummary
from gypsumfield.load.results import FaultRecord
from gypsumfield.load.results import LoadResult
from gypsumfield.load.results import SecondResult
from gypsumfield.load.results import TrafficResult
from gypsumfield.verdicts import RunVerdict

MAX_RECORDED_US = 3_600_000_000
SIGNIFICANT_FIGURES = 3
US_PER_MS = 1_000
KEY_REFUSAL_STATUSES = frozenset({401, 403})
BAD_INPUT_STATUSES = frozenset({400, 404, 413})
UNFINISHED = "unfinished"


class _TrafficRecord:
    """Counters and histograms of one kind of traffic."""

    def __init__(self) -> None:
        self.sent_count = 0
        self.outcomes: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.wrongful_count = 0
        self.token_count = 0
        self.stall_count = 0
        self.stall_ms = 0.0
        self.first_token = _create_histogram()
        self.between_tokens = _create_histogram()
        self.answer = _create_histogram()

    def result(self) -> TrafficResult:
        unfinished_count = self.sent_count - self.outcomes.total()
        if unfinished_count:
            self.outcomes[UNFINISHED] = unfinished_count
        return TrafficResult(
            sent_count=self.sent_count,
            outcomes=dict(sorted(self.outcomes.items())),
            refusals=dict(sorted(self.refusals.items())),
            wrongful_refusal_count=self.wrongful_count,
            token_count=self.token_count,
            stall_count=self.stall_count,
            stall_ms=self.stall_ms,
            first_token=_summarize(self.first_token),
            between_tokens=_summarize(self.between_tokens),
            answer=_summarize(self.answer),
        )


class _AccountRecord:
    """Counters of one account, with its oracle and its meter."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.oracle = RateOracle(rate_per_s, burst, 0.0)
        self.meter = BoundMeter(rate_per_s, burst, 0.0)
        self.sent_count = 0
        self.within_count = 0
        self.whole_count = 0
        self.whole_within_count = 0
        self.wrongful_count = 0
        self.token_count = 0

    def result(self) -> AccountResult:
        served_share = (
            self.whole_within_count / self.within_count if self.within_count else 1
        )
        return AccountResult(
            sent_count=self.sent_count,
            within_rate_count=self.within_count,
            whole_count=self.whole_count,
            whole_within_rate_count=self.whole_within_count,
            wrongful_refusal_count=self.wrongful_count,
            token_count=self.token_count,
            served_share=float(served_share),
            largest_excess=self.meter.largest_excess,
        )


class _SecondRecord:
    """Counters of the requests that ended in one second."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.token_count = 0
        self.first_tokens_ms: list[float] = []


class Recorder:
    """Records requests when they are sent and when they end.

    Times are milliseconds since the start of the run.
    """

    def __init__(self, experiment: Experiment) -> None:
        self._experiment = experiment
        self._traffic = {
            traffic.name: _TrafficRecord() for traffic in experiment.traffic
        }
        self._accounts = {
            account.name: _AccountRecord(account.rate_per_s, account.burst)
            for account in experiment.accounts
        }
        self._seconds: defaultdict[int, _SecondRecord] = defaultdict(_SecondRecord)
        self._largest_lag_ms = 0.0
        self.sent_count = 0
        self.outcomes: Counter[str] = Counter()

    def record_sent(self, request: PlannedRequest, now_ms: float) -> bool:
        """Record a request that is sent now.

        Returns:
            Whether the request is within the rate of its account.
        """
        self.sent_count += 1
        self._largest_lag_ms = max(self._largest_lag_ms, now_ms - request.at_ms)
        self._traffic[request.traffic.name].sent_count += 1
        account = self._accounts[request.account.name]
        account.sent_count += 1
        is_within_rate = account.oracle.take_token(now_ms)
        account.within_count += is_within_rate
        return is_within_rate

    def record_ended(
        self,
        request: PlannedRequest,
        is_within_rate: bool,
        outcome: RequestOutcome,
        now_ms: float,
    ) -> None:
        """Record the outcome of a request.

        Args:
            request: The request.
            is_within_rate: What `record_sent` returned for it.
            outcome: The outcome.
            now_ms: Time at which the answer ended.
        """
        self.outcomes[outcome.kind] += 1
        traffic = self._traffic[request.traffic.name]
        account = self._accounts[request.account.name]
        self._record_traffic(traffic, outcome)
        account.token_count += outcome.token_count
        if outcome.kind == "whole":
            account.whole_count += 1
            account.whole_within_count += is_within_rate
        if not is_not_run(outcome):
            # The request was admitted between sending and ending; the time of sending
            # is the earliest possible.
            account.meter.admit(now_ms - outcome.elapsed_ms)
        if is_wrongful(outcome, is_within_rate):
            traffic.wrongful_count += 1
            account.wrongful_count += 1
        self._record_second(outcome, now_ms)

    def _record_traffic(self, record: _TrafficRecord, outcome: RequestOutcome) -> None:
        record.outcomes[outcome.kind] += 1
        record.token_count += outcome.token_count
        if outcome.kind == "refused":
            record.refusals[f"{outcome.code} {outcome.verdict}".strip()] += 1
        if outcome.kind == "whole":
            _record_duration(record.answer, outcome.elapsed_ms)
        if outcome.first_token_ms is not None:
            _record_duration(record.first_token, outcome.first_token_ms)
        for gap_ms in outcome.gaps_ms:
            _record_duration(record.between_tokens, gap_ms)
            if gap_ms > self._experiment.stall_threshold_ms:
                record.stall_count += 1
                record.stall_ms += gap_ms

    def _record_second(self, outcome: RequestOutcome, now_ms: float) -> None:
        second = self._seconds[int(now_ms // MS_PER_S)]
        second.counts[outcome.kind] += 1
        second.token_count += outcome.token_count
        if outcome.first_token_ms is not None:
            second.first_tokens_ms.append(outcome.first_token_ms)

    def result(
        self,
        entry_host_count: int,
        preemption_count: int | None,
        faults: list[FaultRecord],
    ) -> LoadResult:
        """Return the result of the run.

        Args:
            entry_host_count: Number of entry hosts that received requests.
            preemption_count: Preemptions during the run; None if unknown.
            faults: Faults that were applied.
        """
        accounts = {name: record.result() for name, record in self._accounts.items()}
        worst_account = min(accounts, key=lambda name: accounts[name].served_share)
        return LoadResult(
            experiment=self._experiment.name,
            seed=self._experiment.seed,
            duration_ms=self._experiment.duration_ms,
            largest_lag_ms=self._largest_lag_ms,
            entry_host_count=entry_host_count,
            preemption_count=preemption_count,
            worst_account=worst_account,
            worst_account_share=accounts[worst_account].served_share,
            traffic={name: record.result() for name, record in self._traffic.items()},
            accounts=accounts,
            seconds=self._second_results(),
            faults=faults,
        )

    def _second_results(self) -> list[SecondResult]:
        if not self._seconds:
            return []
        results = []
        for at_s in range(max(self._seconds) + 1):
            record = self._seconds.get(at_s) or _SecondRecord()
            whole_count = record.counts["whole"]
            refused_count = record.counts["refused"]
            broken_count = record.counts.total() - whole_count - refused_count
            results.append(
                SecondResult(
                    at_s=at_s,
                    whole_count=whole_count,
                    refused_count=refused_count,
                    broken_count=broken_count,
                    token_count=record.token_count,
                    first_token_p95_ms=_p95(record.first_tokens_ms),
                )
            )
        return results


def is_not_run(outcome: RequestOutcome) -> bool:
    """Return whether it is certain that no server ran the request.

    That is so if no entry host was reachable or if the refusal says so.
    """
    if outcome.kind == "unreachable":
        return True
    return outcome.kind == "refused" and outcome.verdict == RunVerdict.NOT_RUN.value


def is_wrongful(outcome: RequestOutcome, is_within_rate: bool) -> bool:
    """Return whether the request was refused without a fault of the caller.

    A refusal is wrongful if the request was within the rate of its account, unless
    it was refused because of its key or its input.
    """
    caller_fault_statuses = KEY_REFUSAL_STATUSES | BAD_INPUT_STATUSES
    is_refused = outcome.kind in ("refused", "unreachable")
    return is_refused and is_within_rate and outcome.status not in caller_fault_statuses


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_FIGURES)


def _record_duration(histogram: HdrHistogram, duration_ms: float) -> None:
    duration_us = int(duration_ms * US_PER_MS)
    histogram.record_value(max(1, min(duration_us, MAX_RECORDED_US)))


def _summarize(histogram: HdrHistogram) -> DurationSummary:
    count = int(histogram.get_total_count())

    def value_ms(percentile: float) -> float:
        if count == 0:
            return 0.0
        return float(histogram.get_value_at_percentile(percentile)) / US_PER_MS

    encoded = histogram.encode()
    text = encoded.decode() if isinstance(encoded, bytes) else str(encoded)
    return DurationSummary(
        count, value_ms(50.0), value_ms(95.0), value_ms(99.0), value_ms(100.0), text
    )


def _p95(values_ms: list[float]) -> float:
    if not values_ms:
        return 0.0
    ordered = sorted(values_ms)
    return ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))]
