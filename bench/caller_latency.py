"""First token through an entry host, and how long a withdrawn key is admitted.

Starts a platform, two engines, a ledger and two entry hosts as processes and
prints one JSON report. Usage: ``PYTHONPATH=tests python bench/caller_latency.py``.
"""

import contextlib
import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import gevent

from httpcalls import call
from httpcalls import open_call
from processes import MultiProcessFleet
from small_fleet import base_values
from small_fleet import bearer
from small_fleet import KEY

FIRST_TOKEN_COUNT = 200
WITHDRAWAL_COUNT = 20
CALLERS_PER_HOST = 4
MS_PER_S = 1_000.0


def time_first_token(url: str, body: Any, headers: dict[str, str]) -> float:
    """Return the ms until the first event of a stream."""
    data = json.dumps(body).encode()
    started = time.monotonic()
    with open_call("POST", url, data, headers) as response:
        response.readline(b"\n")
        elapsed_ms = (time.monotonic() - started) * MS_PER_S
        response.read()
    return elapsed_ms


def straight(number: int, tokens: int) -> Any:
    """Return the body of a generation for an engine."""
    return {
        "generation_id": f"straight-{number}",
        "model": "assistant",
        "prompt": f"p [tokens={tokens}]",
        "max_tokens": tokens,
    }


def through(tokens: int) -> Any:
    """Return the body of a completion for an entry host."""
    return {"model": "assistant", "prompt": f"p [tokens={tokens}]", "stream": True}


def measure_first_token(processes: MultiProcessFleet) -> dict[str, float]:
    """Return first-token times straight and through, taken in turn."""
    engine = f"{processes.engines[0].ready['url']}/v1/generations"
    entry = f"{processes.entries[0].ready['url']}/v1/completions"
    straight_ms = []
    through_ms = []
    for number in range(FIRST_TOKEN_COUNT):
        request_id = {"X-Request-Id": str(number)}
        straight_ms.append(time_first_token(engine, straight(number, 1), request_id))
        through_ms.append(time_first_token(entry, through(1), bearer()))
    return {
        "straight_p50_ms": statistics.median(straight_ms),
        "through_p50_ms": statistics.median(through_ms),
        "straight_p95_ms": statistics.quantiles(straight_ms, n=20)[-1],
        "through_p95_ms": statistics.quantiles(through_ms, n=20)[-1],
    }


def measure_withdrawal(processes: MultiProcessFleet) -> dict[str, float]:
    """Return how long after a withdrawal the last request was admitted."""
    lags_ms = [_withdraw_once(processes) for _ in range(WITHDRAWAL_COUNT)]
    return {"median_ms": statistics.median(lags_ms), "largest_ms": max(lags_ms)}


def _withdraw_once(processes: MultiProcessFleet) -> float:
    account = base_values()["client_accounts/carts"]
    key = f"{processes.platform.ready['url']}/standin/values/client_accounts/carts"
    call("PUT", key, account)
    urls = [program.ready["url"] for program in processes.entries]
    for url in urls:
        while _read_balance(url) != 200:
            gevent.sleep(0.01)
    last_sent_s = [0.0]
    is_over = []

    def keep_calling(url: str) -> None:
        while not is_over:
            sent_s = time.monotonic()
            if _read_balance(url) == 200:
                last_sent_s[0] = max(last_sent_s[0], sent_s)
            gevent.sleep(0.001)

    callers = [
        gevent.spawn(keep_calling, url) for url in urls for _ in range(CALLERS_PER_HOST)
    ]
    gevent.sleep(0.1)
    withdrawn_s = time.monotonic()
    call("PUT", key, account | {"key_digests": []})
    gevent.sleep(0.5)
    is_over.append(True)
    gevent.joinall(callers, raise_error=True)
    return max(0.0, last_sent_s[0] - withdrawn_s) * MS_PER_S


def _read_balance(url: str) -> int:
    path = f"{url}/services/ledger/balances/c1"
    return call("GET", path, headers=bearer(KEY)).status


def main() -> None:
    """Run all measurements and print the report."""
    with contextlib.ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        processes = MultiProcessFleet(folder, stack, engine_step_ms=0.5)
        report = {
            "first_token": measure_first_token(processes),
            "withdrawal": measure_withdrawal(processes),
        }
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
