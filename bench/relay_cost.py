"""Measures the cost of relaying streams, against reading them from the engine.

Starts a platform, one engine and one entry host as separate processes. The same
streams are read directly from the engine and through the entry host, in turn.
Processor time is that of the entry host's process, so tokens per second and core
do not depend on the speed of the reader. They do depend on the engine's pace: one
read returns many tokens of a fast engine, but a single token of a paced one. Prints
one JSON object.
"""

import argparse
import hashlib
import json
import os
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any
from typing import NamedTuple

import gevent
from gevent import socket

from fleet_processes import ProcessFleet
from fleet_processes import Program
from gypsumfield.load.experiment import BackendGroup
from gypsumfield.load.experiment import FleetSize

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIBIBYTE = 1_024
MEGABYTE = 1_000_000
SOCKET_TIMEOUT_S = 120.0
READ_SIZE_BYTES = 65_536
IDLE_S = 3.0
KEY = "bench-key"
FAST_ENGINE = {
    "step_base_ms": 0.0,
    "step_per_generation_ms": 0.0,
    "step_per_1000_tokens_ms": 0.0,
    "prefill_per_token_ms": 0.0,
    "memory_limit_tokens": 10_000_000,
    "batch_limit": 1_000,
}
VALUES = {
    "availability_zones/zone-1": {"status": "in"},
    "profiles/bench": {"stall_timeout_ms": 60_000, "first_token_target_ms": 60_000},
    "services/assistant": {"kind": "model", "profile": "bench"},
    "cursor_keys/first": {"secret": "00" * 32, "is_current": True},
    "client_accounts/bench": {
        "key_digests": [hashlib.sha256(KEY.encode()).hexdigest()],
        "rate_per_s": 10_000,
        "burst": 10_000,
        "services": ["assistant"],
    },
}


def fleet_size(step_ms: float) -> FleetSize:
    """Return the size of a fleet: one entry host, one engine with this step time."""
    engine = FAST_ENGINE | {"step_base_ms": step_ms}
    return FleetSize(("zone-1",), 1, (BackendGroup("assistant", "model", 1, engine),))


class Round(NamedTuple):
    """Measurements of one round of concurrent streams, in the printed form.

    `way` is ``direct`` (from the engine) or ``relayed`` (through the entry host).
    """

    step_ms: float
    way: str
    stream_count: int
    token_count: int
    duration_s: float
    tokens_per_s: float
    entry_processor_s: float
    entry_tokens_per_core_s: float


def processor_s(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIBIBYTE / MEGABYTE
    raise SystemExit(f"process {pid} has no resident memory")


def read_stream(url: str, path: str, body: dict[str, Any], token_marker: bytes) -> int:
    """Send one request, read its stream to the end and return the token count.

    Each token contains `token_marker` once.
    """
    address = url.removeprefix("http://")
    host, _, port = address.partition(":")
    data = json.dumps(body).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        f"Authorization: Bearer {KEY}\r\nX-Request-Id: {os.urandom(8).hex()}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    received = bytearray()
    with socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S) as sock:
        sock.sendall(head.encode() + data)
        while chunk := sock.recv(READ_SIZE_BYTES):
            received += chunk
    if not received.startswith(b"HTTP/1.1 200"):
        raise SystemExit(f"{url}{path} answered {bytes(received[:300])!r}")
    return received.count(token_marker)


def run_round(
    step_ms: float,
    way: str,
    url: str,
    entry: Program,
    stream_count: int,
    stream_tokens: int,
) -> Round:
    """Read concurrent streams directly or relayed and return the measurements."""
    prompt = f"[tokens={stream_tokens}]"
    path = "/v1/generations" if way == "direct" else "/v1/completions"
    bodies: list[dict[str, Any]] = [
        {"model": "assistant", "prompt": prompt, "max_tokens": stream_tokens}
        | (
            {"generation_id": os.urandom(8).hex()}
            if way == "direct"
            else {"stream": True}
        )
        for _ in range(stream_count)
    ]
    used_before_s = processor_s(entry.process.pid)
    started_s = time.monotonic()
    streams = [
        gevent.spawn(read_stream, url, path, body, b'"text":"w') for body in bodies
    ]
    gevent.joinall(streams, raise_error=True)
    duration_s = time.monotonic() - started_s
    used_s = processor_s(entry.process.pid) - used_before_s
    token_count = sum(stream.value for stream in streams)
    expected_count = stream_count * stream_tokens
    if token_count != expected_count:
        raise SystemExit(
            f"{way}: {token_count} tokens received, expected {expected_count}"
        )
    return Round(
        step_ms=step_ms,
        way=way,
        stream_count=stream_count,
        token_count=token_count,
        duration_s=round(duration_s, 3),
        tokens_per_s=round(token_count / duration_s, 1),
        entry_processor_s=round(used_s, 3),
        entry_tokens_per_core_s=round(token_count / used_s, 1) if used_s else 0.0,
    )


def start_up_times_s(directory: Path, platform_url: str, count: int) -> list[float]:
    """Start and stop an entry host ``count`` times; return the times to readiness."""
    times_s = []
    for number in range(count):
        settings = {
            "host_id": f"starting-{number}",
            "availability_zone": "zone-1",
            "platform_url": platform_url,
            "log_path": str(directory / "starting.log"),
            "drain_notice_ms": 0,
        }
        program = Program("gypsumfield-entry", settings, directory)
        try:
            program.wait_ready()
            times_s.append(round(time.monotonic() - program.started_s, 3))
        finally:
            program.stop()
    return times_s


class FleetRun(NamedTuple):
    """Measurements of one fleet: memory in MB, start-up times in s, and rounds."""

    idle_mb: float
    loaded_mb: float
    starts_s: list[float]
    rounds: list[Round]


def run_fleet(step_ms: float, options: argparse.Namespace) -> FleetRun:
    """Start a fleet, measure it and stop it."""
    rounds = []
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        fleet = ProcessFleet(fleet_size(step_ms), VALUES, directory)
        with fleet as description:
            entry = fleet.entry_programs[0]
            time.sleep(IDLE_S)
            idle_mb = resident_mb(entry.process.pid)
            urls = {
                "direct": description["backend_servers"][0]["url"],
                "relayed": description["entry_hosts"][0]["url"],
            }
            tokens = options.tokens if step_ms == 0 else options.paced_tokens
            for count in options.streams * options.repeats:
                for way, url in urls.items():
                    rounds.append(run_round(step_ms, way, url, entry, count, tokens))
            loaded_mb = resident_mb(entry.process.pid)
            starts_s = start_up_times_s(
                directory, description["platform"], options.starts
            )
    return FleetRun(idle_mb, loaded_mb, starts_s, rounds)


def main() -> None:
    """Measure each step time of the options and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="+", default=[1, 16, 64])
    parser.add_argument("--steps-ms", type=float, nargs="+", default=[0.0, 20.0])
    parser.add_argument("--tokens", type=int, default=1_000)
    parser.add_argument("--paced-tokens", type=int, default=150)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--starts", type=int, default=5)
    options = parser.parse_args()
    runs = [run_fleet(step_ms, options) for step_ms in options.steps_ms]
    rounds = [round_ for run in runs for round_ in run.rounds]
    starts_s = [start_s for run in runs for start_s in run.starts_s]
    result = {
        "idle_resident_mb": [round(run.idle_mb, 1) for run in runs],
        "resident_after_load_mb": [round(run.loaded_mb, 1) for run in runs],
        "start_up_s": {"median": statistics.median(starts_s), "all": starts_s},
        "summary": summarise(rounds),
        "rounds": [round_._asdict() for round_ in rounds],
    }
    print(json.dumps(result))


def summarise(rounds: list[Round]) -> list[dict[str, float]]:
    """Return medians by step time and number of streams, direct and relayed."""
    summary_rows = []
    for step_ms, stream_count in sorted(
        {(round_.step_ms, round_.stream_count) for round_ in rounds}
    ):
        same_case = [round_ for round_ in rounds if round_.step_ms == step_ms]
        same_case = [
            round_ for round_ in same_case if round_.stream_count == stream_count
        ]
        direct = [round_.tokens_per_s for round_ in same_case if round_.way == "direct"]
        relayed = [round_ for round_ in same_case if round_.way == "relayed"]
        relayed_rate = statistics.median(round_.tokens_per_s for round_ in relayed)
        per_core = statistics.median(
            round_.entry_tokens_per_core_s for round_ in relayed
        )
        summary_rows.append(
            {
                "step_ms": step_ms,
                "streams": stream_count,
                "direct_tokens_per_s": statistics.median(direct),
                "relayed_tokens_per_s": relayed_rate,
                "relayed_to_direct": round(relayed_rate / statistics.median(direct), 3),
                "entry_tokens_per_core_s": per_core,
            }
        )
    return summary_rows


if __name__ == "__main__":
    main()
