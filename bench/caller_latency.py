"""Measures the time to the first token and how long a withdrawn key is admitted.

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


def engine_body(number: int, tokens: int) -> Any:
    """Return the body of a generation for an engine."""
    return {
        "generation_id": f"straight-{number}",
        "model": "assistant",
        "prompt": f"p [tokens={tokens}]",
        "max_tokens": tokens,
    }


def entry_body(tokens: int) -> Any:
    """Return the body of a completion for an entry host."""
    return {"model": "assistant", "prompt": f"p [tokens={tokens}]", "stream": True}


def measure_first_token(processes: MultiProcessFleet) -> dict[str, float]:
    """Return the times to the first token in ms, measured in turn.

    ``straight`` means directly from the engine, ``through`` through the entry host.
    """
    engine = f"{processes.engines[0].ready['url']}/v1/generations"
    entry = f"{processes.entries[0].ready['url']}/v1/completions"
    direct_ms = []
    relayed_ms = []
    for number in range(FIRST_TOKEN_COUNT):
        request_id = {"X-Request-Id": str(number)}
        direct_ms.append(time_first_token(engine, engine_body(number, 1), request_id))
        relayed_ms.append(time_first_token(entry, entry_body(1), bearer()))
    return {
        "straight_p50_ms": statistics.median(direct_ms),
        "through_p50_ms": statistics.median(relayed_ms),
        "straight_p95_ms": statistics.quantiles(direct_ms, n=20)[-1],
        "through_p95_ms": statistics.quantiles(relayed_ms, n=20)[-1],
    }


def measure_withdrawal(processes: MultiProcessFleet) -> dict[str, float]:
    """Return median and maximum of the ms from a withdrawal to the last admission."""
    lags_ms = [_withdraw_once(processes) for _ in range(WITHDRAWAL_COUNT)]
    return {"median_ms": statistics.median(lags_ms), "largest_ms": max(lags_ms)}


def _withdraw_once(processes: MultiProcessFleet) -> float:
    account = base_values()["client_accounts/carts"]
    account_url = (
        f"{processes.platform.ready['url']}/standin/values/client_accounts/carts"
    )
    call("PUT", account_url, account)
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
    call("PUT", account_url, account | {"key_digests": []})
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
