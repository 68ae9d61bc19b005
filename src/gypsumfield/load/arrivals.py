"""Generates the random requests of an experiment: times, accounts and lengths."""

import heapq
import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from gypsumfield.clock import MS_PER_S
from gypsumfield.load.experiment import Arrivals
from gypsumfield.load.experiment import Experiment
from gypsumfield.load.experiment import Lengths
from gypsumfield.load.experiment import LoadAccount
from gypsumfield.load.experiment import Phase
from gypsumfield.load.experiment import Traffic


class PlannedRequest(NamedTuple):
    """One request that is going to be sent.

    Attributes:
        at_ms: Time of sending, from the start of the experiment.
        traffic: Kind of traffic that the request belongs to.
        account: Client account that sends it.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the answer that the stand-in engine generates.
    """

    at_ms: float
    traffic: Traffic
    account: LoadAccount
    prompt_tokens: int
    output_tokens: int


def plan_requests(experiment: Experiment) -> Iterator[PlannedRequest]:
    """Yield all requests in order of time; a seed always gives the same requests."""
    total_share = sum(account.share for account in experiment.accounts)
    streams = [
        _plan_stream(experiment, traffic, account, account.share / total_share)
        for traffic in experiment.traffic
        for account in experiment.accounts
    ]
    yield from heapq.merge(*streams, key=lambda request: request.at_ms)


def draw_length(lengths: Lengths, rng: random.Random) -> int:
    """Draw one length in tokens, from 1 to the limit of the distribution."""
    median_tokens = lengths.median_tokens
    if lengths.kind == "two_humped" and rng.random() < lengths.second_share:
        median_tokens = lengths.second_median_tokens
    if lengths.kind != "constant":
        median_tokens *= math.exp(rng.gauss(0.0, lengths.spread))
    return max(1, min(lengths.limit_tokens, round(median_tokens)))


def factor_at(phases: tuple[Phase, ...], at_ms: float) -> float:
    """Return the factor of the phase at ``at_ms``; 1 before the first phase."""
    factor = 1.0
    for phase in phases:
        if phase.from_ms > at_ms:
            break
        factor = phase.factor
    return factor


def _plan_stream(
    experiment: Experiment, traffic: Traffic, account: LoadAccount, share: float
) -> Iterator[PlannedRequest]:
    rng = random.Random(f"{experiment.seed}/{traffic.name}/{account.name}")
    end_ms = experiment.duration_ms
    for at_ms in _arrival_times(traffic.arrivals, account, share, end_ms, rng):
        yield PlannedRequest(
            at_ms,
            traffic,
            account,
            draw_length(traffic.prompt, rng),
            draw_length(traffic.output, rng),
        )


def _arrival_times(
    arrivals: Arrivals,
    account: LoadAccount,
    share: float,
    end_ms: float,
    rng: random.Random,
) -> Iterator[float]:
    # Thinning: arrivals are generated at the highest rate and accepted in proportion
    # to the rate at their time.
    max_factor = _max_factor(arrivals.phases) * _max_factor(account.phases)
    if max_factor == 0.0:
        return
    mean_gap_ms = MS_PER_S / (arrivals.rate_per_s * share * max_factor)
    at_ms = 0.0
    accumulated = rng.random()
    while True:
        is_random = arrivals.kind == "poisson"
        at_ms += rng.expovariate(1.0 / mean_gap_ms) if is_random else mean_gap_ms
        if at_ms >= end_ms:
            return
        factor = factor_at(arrivals.phases, at_ms) * factor_at(account.phases, at_ms)
        if is_random:
            is_accepted = rng.random() * max_factor < factor
        else:
            accumulated += factor / max_factor
            is_accepted = accumulated >= 1.0
            accumulated -= math.floor(accumulated)
        if is_accepted:
            yield at_ms


def _max_factor(phases: tuple[Phase, ...]) -> float:
    return max([1.0, *(phase.factor for phase in phases)])
