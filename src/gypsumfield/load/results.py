"""Results of a load run in the form of the result file."""

import msgspec
from hdrh.histogram import HdrHistogram


class DurationSummary(msgspec.Struct, frozen=True):
    """Summary of a distribution of durations; percentiles are 0 if it is empty.

    Attributes:
        count: Number of durations.
        p50_ms: Median, the 50th percentile.
        p95_ms: 95th percentile.
        p99_ms: 99th percentile.
        max_ms: Largest duration.
        histogram: HdrHistogram in microseconds, compressed and Base64-encoded.
    """

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float
    histogram: str


class TrafficResult(msgspec.Struct, frozen=True):
    """Results of one kind of traffic.

    Attributes:
        sent_count: Number of requests sent.
        outcomes: Number of requests by kind of outcome.
        refusals: Number of refusals by ``CODE VERDICT``.
        wrongful_refusal_count: Refusals of requests within the rate of their account
            that were not due to the key or the input.
        token_count: Number of tokens received.
        stall_count: Number of gaps between tokens above the stall threshold.
        stall_ms: Sum of these gaps.
        first_token: Time from sending to the first token.
        between_tokens: Time between successive tokens.
        answer: Time from sending to the end of whole answers.
    """

    sent_count: int
    outcomes: dict[str, int]
    refusals: dict[str, int]
    wrongful_refusal_count: int
    token_count: int
    stall_count: int
    stall_ms: float
    first_token: DurationSummary
    between_tokens: DurationSummary
    answer: DurationSummary


class AccountResult(msgspec.Struct, frozen=True):
    """Results of one client account.

    Attributes:
        sent_count: Number of requests sent.
        within_rate_count: Requests that were within the account's rate when sent.
        whole_count: Number of whole answers.
        whole_within_rate_count: Whole answers to requests within the rate.
        wrongful_refusal_count: Refusals of requests within the rate that were not due
            to the key or the input.
        token_count: Number of tokens received.
        served_share: Ratio of ``whole_within_rate_count`` to ``within_rate_count``; 1
            if no request was within the rate.
        largest_excess: Largest number of admitted requests above burst and rate at
            any time. If the hosts enforce the bound strictly, only clock differences
            and the time of requests on the network make it exceed 0.
    """

    sent_count: int
    within_rate_count: int
    whole_count: int
    whole_within_rate_count: int
    wrongful_refusal_count: int
    token_count: int
    served_share: float
    largest_excess: float


class SecondResult(msgspec.Struct, frozen=True):
    """Requests that ended in one second of the run."""

    at_s: int
    whole_count: int
    refused_count: int
    broken_count: int
    token_count: int
    first_token_p95_ms: float


class FaultRecord(msgspec.Struct, frozen=True):
    """A fault that was applied during the run.

    Attributes:
        at_ms: Time since the start of the run.
        label: Short description of the fault.
        status: HTTP status of the stand-in; 0 if it was unreachable.
    """

    at_ms: float
    label: str
    status: int


class LoadResult(msgspec.Struct, frozen=True):
    """Result file of one run.

    Attributes:
        experiment: Name of the experiment.
        seed: Seed of the experiment.
        duration_ms: Time during which requests were sent.
        largest_lag_ms: Largest delay between the planned and the actual time of
            sending a request.
        entry_host_count: Number of entry hosts that received requests.
        preemption_count: Preemptions that the engines reported during the run; None
            if no engine is known or one couldn't be queried. An engine that
            restarted counts from 0 again.
        worst_account: Account with the smallest ``served_share``.
        worst_account_share: Its ``served_share``.
        traffic: Results by kind of traffic.
        accounts: Results by account.
        seconds: Results for each second of the run.
        faults: Faults that were applied.
    """

    experiment: str
    seed: int
    duration_ms: float
    largest_lag_ms: float
    entry_host_count: int
    preemption_count: int | None
    worst_account: str
    worst_account_share: float
    traffic: dict[str, TrafficResult]
    accounts: dict[str, AccountResult]
    seconds: list[SecondResult]
    faults: list[FaultRecord]


def decode_histogram(summary: DurationSummary) -> HdrHistogram:
    """Decode the histogram of a summary; its values are in microseconds."""
    return HdrHistogram.decode(summary.histogram)
