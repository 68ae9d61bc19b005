"""Cost of the way through an entry host, beside the same stream straight.

Starts a platform, two engines, a ledger and two entry hosts as processes and
prints one JSON report. Usage: ``PYTHONPATH=tests python bench/relay.py``.
"""

import contextlib
import json
import os
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any
from typing import NamedTuple

import gevent

from httpcalls import call
from httpcalls import open_call
from processes import Processes
from processes import Program
from small_fleet import base_values
from small_fleet import bearer
from small_fleet import KEY

START_COUNT = 5
FIRST_TOKEN_COUNT = 200
STREAM_COUNT = 8
STREAM_TOKENS = 1_500
WITHDRAWAL_COUNT = 20
CALLERS_PER_HOST = 4
IDLE_S = 2.0
MS_PER_S = 1_000.0


class Usage(NamedTuple):
    """What one process has used: CPU seconds and resident bytes."""

    cpu_s: float
    resident_bytes: int


def read_usage(program: Program) -> Usage:
    """Return the usage of a running process from the kernel's files."""
    folder = Path(f"/proc/{program.process.pid}")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((folder / "statm").read_text().split()[1])
    return Usage(ticks / os.sysconf("SC_CLK_TCK"), pages * os.sysconf("SC_PAGE_SIZE"))


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


def measure_start(processes: Processes) -> dict[str, float]:
    """Return start-up time and idle memory of an entry host."""
    times_ms = []
    for number in range(START_COUNT):
        started = time.monotonic()
        program = processes.entry(number % 2)
        times_ms.append((time.monotonic() - started) * MS_PER_S)
        time.sleep(IDLE_S)
        resident_bytes = read_usage(program).resident_bytes
        program.end()
    return {
        "startup_median_ms": statistics.median(times_ms),
        "idle_resident_mb": resident_bytes / 1e6,
    }


def measure_first_token(processes: Processes) -> dict[str, float]:
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


def run_streams(start: Callable[[int], bytes], programs: list[Program]) -> float:
    """Return the tokens for each CPU second that the programs used."""
    before_s = sum(read_usage(program).cpu_s for program in programs)
    streams = [gevent.spawn(start, number) for number in range(STREAM_COUNT)]
    gevent.joinall(streams, raise_error=True)
    used_s = sum(read_usage(program).cpu_s for program in programs) - before_s
    tokens = sum(stream.value.count(b'"text":"w') for stream in streams)
    if tokens != STREAM_COUNT * STREAM_TOKENS:
        raise RuntimeError(f"{tokens} tokens came, not all")
    return tokens / used_s


def measure_tokens(processes: Processes) -> dict[str, float]:
    """Return tokens for each CPU second: engines straight, and an entry host."""
    engine = f"{processes.engines[0].ready['url']}/v1/generations"
    entry = f"{processes.entries[0].ready['url']}/v1/completions"

    def run_straight(number: int) -> bytes:
        body = straight(FIRST_TOKEN_COUNT + number, STREAM_TOKENS)
        return call("POST", engine, body, {"X-Request-Id": "x"}).body

    def run_through(_number: int) -> bytes:
        return call("POST", entry, through(STREAM_TOKENS), bearer()).body

    return {
        "straight_engine_tokens_per_cpu_s": run_streams(
            run_straight, processes.engines
        ),
        "through_entry_tokens_per_cpu_s": run_streams(
            run_through, processes.entries[:1]
        ),
    }


def measure_withdrawal(processes: Processes) -> dict[str, float]:
    """Return how long after a withdrawal the last request was admitted."""
    lags_ms = [_withdraw_once(processes) for _ in range(WITHDRAWAL_COUNT)]
    return {"median_ms": statistics.median(lags_ms), "largest_ms": max(lags_ms)}


def _withdraw_once(processes: Processes) -> float:
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
        processes = Processes(folder, stack, engine_step_ms=0.5)
        report = {
            "first_token": measure_first_token(processes),
            "tokens": measure_tokens(processes),
            "withdrawal": measure_withdrawal(processes),
            "entry_host": measure_start(processes),
        }
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
