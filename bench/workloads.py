"""Requests for the policy benches: arrivals, accounts and output lengths."""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

from gypsumfield.decisions.workload import GenerationDemand

SERVICE = "assistant"
PROFILE = "dawn_briefing"
MAX_TOKENS_CHOICES = (1_024, 2_048, 4_096, 8_192)
MEDIAN_PROMPT_TOKENS = 150
LARGEST_PROMPT_TOKENS = 2_000
ACCOUNT_SHARES = (0.28, 0.2, 0.14, 0.1, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02)

SampleLength = Callable[[random.Random, float], float]


class BenchRequest(NamedTuple):
    """A request and its true output length, which policies cannot see.

    Attributes:
        arrived_ms: Time of arrival.
        demand: Demand as seen by the policies.
        output_tokens: True output length, known to the engine and the oracle.
    """

    arrived_ms: float
    demand: GenerationDemand
    output_tokens: int


class Account(NamedTuple):
    """A client account of a bench.

    Attributes:
        name: Name of the account.
        rate_per_s: Requests per second.
        length_factor: Its lengths relative to those of other accounts.
    """

    name: str
    rate_per_s: float
    length_factor: float = 1.0


def _heavy_tail(rng: random.Random, _progress: float) -> float:
    return rng.lognormvariate(math.log(200), 1.2)


def _bimodal(rng: random.Random, _progress: float) -> float:
    if rng.random() < 0.7:
        return rng.lognormvariate(math.log(20), 0.4)
    return rng.lognormvariate(math.log(900), 0.4)


def _drifting(rng: random.Random, progress: float) -> float:
    wave = math.sin(2 * math.pi * progress)
    return rng.lognormvariate(math.log(250) + 0.9 * wave, 0.8)


SHAPES: dict[str, SampleLength] = {
    "heavy_tail": _heavy_tail,
    "two_humped": _bimodal,
    "drifting": _drifting,
}


def mean_length(shape: str, seed: int = 1) -> float:
    """Return the mean output length of a shape in tokens, estimated by sampling."""
    rng = random.Random(seed)
    count = 4_000
    lengths = (
        _sample_length(rng, SHAPES[shape], n / count, 1.0, 8_192) for n in range(count)
    )
    return sum(lengths) / count


def usual_accounts(rate_per_s: float, seed: int) -> list[Account]:
    """Return ten accounts of different rates and lengths; a few have high rates."""
    rng = random.Random(seed)
    return [
        Account(f"account-{n}", rate_per_s * share, rng.lognormvariate(-0.06, 0.35))
        for n, share in enumerate(ACCOUNT_SHARES)
    ]


def make_requests(
    shape: str, accounts: list[Account], duration_ms: float, seed: int
) -> list[BenchRequest]:
    """Return Poisson arrivals of all accounts, in order of time."""
    requests = []
    for number, account in enumerate(accounts):
        rng = random.Random(seed * 1_000 + number)
        now_ms = 0.0
        while True:
            now_ms += rng.expovariate(account.rate_per_s) * 1_000.0
            if now_ms >= duration_ms:
                break
            progress = now_ms / duration_ms
            requests.append(_request(rng, shape, account, now_ms, progress))
    requests.sort(key=lambda request: request.arrived_ms)
    return [
        request._replace(demand=request.demand._replace(request_id=f"r{n}"))
        for n, request in enumerate(requests)
    ]


def _request(
    rng: random.Random, shape: str, account: Account, now_ms: float, progress: float
) -> BenchRequest:
    prompt = rng.lognormvariate(math.log(MEDIAN_PROMPT_TOKENS), 0.7)
    prompt_tokens = min(LARGEST_PROMPT_TOKENS, max(20, round(prompt)))
    max_tokens = rng.choice(MAX_TOKENS_CHOICES)
    demand = GenerationDemand(
        "", SERVICE, PROFILE, account.name, prompt_tokens, max_tokens
    )
    length = _sample_length(
        rng, SHAPES[shape], progress, account.length_factor, max_tokens
    )
    return BenchRequest(now_ms, demand, length)


def _sample_length(
    rng: random.Random, sample: SampleLength, progress: float, factor: float, limit: int
) -> int:
    return min(limit, max(1, round(sample(rng, progress) * factor)))
