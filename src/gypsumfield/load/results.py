"""Results of a load run, as they are written to its file."""

import msgspec
from hdrh.histogram import HdrHistogram


class Times(msgspec.Struct, frozen=True):
    """A distribution of times.

    Attributes:
        count: Number of times.
        p50_ms: Median, 0 without any.
        p95_ms: 95th percentile.
        p99_ms: 99th percentile.
        max_ms: Largest.
        histogram: HdrHistogram in microseconds, compressed, as Base64.
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
        sent_count: Requests sent.
        outcomes: Requests by what became of them.
        refusals: Refusals by ``CODE VERDICT``.
        wrongful_refusal_count: Refusals of requests within their account's rate.
        token_count: Tokens received.
        stall_count: Silences above the threshold.
        stall_ms: Sum of these silences.
        first_token: Time to the first token.
        between_tokens: Time between tokens.
        answer: Time to the end of whole answers.
    """

    sent_count: int
    outcomes: dict[str, int]
    refusals: dict[str, int]
    wrongful_refusal_count: int
    token_count: int
    stall_count: int
    stall_ms: float
    first_token: Times
    between_tokens: Times
    answer: Times


class AccountResult(msgspec.Struct, frozen=True):
    """Results of one client account.

    Attributes:
        sent_count: Requests sent.
        within_rate_count: Requests that were within its rate when sent.
        whole_count: Whole answers.
        whole_within_rate_count: Whole answers to requests within its rate.
        wrongful_refusal_count: Refusals of requests within its rate.
        token_count: Tokens received.
        served_share: Whole answers within the rate by requests within it.
        largest_excess: Admitted requests above burst and rate, at the worst
            moment; a strict bound shows at most what clocks and the requests'
            way to the host account for.
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
    """What ended in one second of the run."""

    at_s: int
    whole_count: int
    refused_count: int
    broken_count: int
    token_count: int
    first_token_p95_ms: float


class FaultRecord(msgspec.Struct, frozen=True):
    """A fault that was applied."""

    at_ms: float
    label: str
    status: int


class LoadResult(msgspec.Struct, frozen=True):
    """Result file of one run.

    Attributes:
        experiment: Name of the experiment.
        seed: Its seed.
        duration_ms: How long requests were sent.
        largest_lag_ms: Largest delay of a request's sending behind its plan.
        entry_host_count: Entry hosts that were driven.
        preemption_count: Preemptions that the engines reported, None if they
            could not be asked; an engine that restarted counts from 0 again.
        worst_account: Account with the smallest served share.
        worst_account_share: That share.
        traffic: Results by kind of traffic.
        accounts: Results by account.
        seconds: Results over time.
        faults: What was done meanwhile.
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


def decode_histogram(times: Times) -> HdrHistogram:
    """Return the histogram of ``times``, in microseconds."""
    return HdrHistogram.decode(times.histogram)
