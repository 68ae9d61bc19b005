"""Measures the throughput and the peak memory of gypsumfield-timeline.

Uses the real logger to write the logs of several hosts whose clocks disagree. For
each size, runs the installed program over them twice, as a list and with --explain.
Prints one JSON object.
"""

import argparse
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from gypsumfield import events
from gypsumfield.adapters.logs import open_event_log
from gypsumfield.clock import Clock

MEGABYTE = 1_000_000
KIBIBYTE = 1_024
REQUEST_GAP_MS = 2.0
MESSAGE_SHARE = 0.2
LARGEST_CLOCK_ERROR_MS = 5_000.0


class Run(NamedTuple):
    """Result of one run of the program."""

    mode: str
    log_megabytes: float
    event_count: int
    duration_s: float
    megabytes_per_s: float
    peak_memory_mb: float


class LogWriter:
    """Writes the logs of a fleet whose clocks differ from the true time."""

    def __init__(self, directory: Path, host_count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 1_900_000_000_000.0
        self.event_count = 0
        self.hosts = [f"entry-{number}" for number in range(host_count)]
        self.paths = [str(directory / f"{host}.log") for host in self.hosts]
        self._emitters = [
            open_event_log(host, "manta", path, self._skewed_clock(), 1)
            for host, path in zip(self.hosts, self.paths, strict=True)
        ]

    def _skewed_clock(self) -> Clock:
        error_ms = self.rng.uniform(-LARGEST_CLOCK_ERROR_MS, LARGEST_CLOCK_ERROR_MS)
        return Clock(
            monotonic_ms=lambda: self.now_ms,
            wall_ms=lambda: self.now_ms + error_ms,
            sleep_ms=lambda _: None,
        )

    def write(self, megabytes: float) -> None:
        """Append events until all logs together hold at least ``megabytes``."""
        number = 0
        while self._size() < megabytes * MEGABYTE:
            for _ in range(2_000):
                number += 1
                self._write_request(number)

    def _write_request(self, number: int) -> None:
        host = self.rng.randrange(len(self.hosts))
        if self.rng.random() < MESSAGE_SHARE:
            self._write_message(number, host)
            return
        request_fields = {
            "request_id": f"r{number}",
            "account": f"account-{number % 10}",
            "service": "assistant",
        }
        engine = f"engine-{self.rng.randrange(9)}"
        for event in (
            events.RequestAdmitted(**request_fields),
            events.RequestSent(attempt=1, backend_server=engine, **request_fields),
            events.FirstToken(
                elapsed_ms=120.0, backend_server=engine, **request_fields
            ),
            events.RequestCompleted(
                elapsed_ms=2_345.6,
                token_count=80,
                backend_server=engine,
                **request_fields,
            ),
        ):
            self._emit(host, event)

    def _write_message(self, number: int, sender: int) -> None:
        receiver = (sender + 1 + self.rng.randrange(len(self.hosts) - 1)) % len(
            self.hosts
        )
        shared = {"message_id": f"m{number}", "kind": "heartbeat"}
        sent = events.MessageSent(receiver=self.hosts[receiver], **shared)
        received = events.MessageReceived(sender=self.hosts[sender], **shared)
        self._emit(sender, sent)
        self._emit(receiver, received)

    def _emit(self, host: int, event: events.Event) -> None:
        self.now_ms += self.rng.expovariate(1.0 / REQUEST_GAP_MS)
        self._emitters[host](event)
        self.event_count += 1

    def _size(self) -> int:
        return sum(os.path.getsize(path) for path in self.paths)


def run_program(mode: str, arguments: list[str], logs: LogWriter) -> Run:
    """Run the installed program once and return its throughput and peak memory."""
    program = Path(sys.executable).with_name("gypsumfield-timeline")
    start_s = time.monotonic()
    process = subprocess.Popen(
        [program, *logs.paths, *arguments], stdout=subprocess.DEVNULL
    )
    _, status, usage = os.wait4(process.pid, 0)
    duration_s = time.monotonic() - start_s
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode != 0:
        raise SystemExit(f"gypsumfield-timeline ended with {process.returncode}")
    megabytes = sum(os.path.getsize(path) for path in logs.paths) / MEGABYTE
    return Run(
        mode=mode,
        log_megabytes=round(megabytes, 1),
        event_count=logs.event_count,
        duration_s=round(duration_s, 2),
        megabytes_per_s=round(megabytes / duration_s, 2),
        peak_memory_mb=round(usage.ru_maxrss * KIBIBYTE / MEGABYTE, 1),
    )


def main() -> None:
    """Run the measurement for each size and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--megabytes", type=float, nargs="+", default=[20, 200])
    parser.add_argument("--hosts", type=int, default=8)
    parser.add_argument("--seed", type=int, default=7)
    options = parser.parse_args()
    runs = []
    for megabytes in options.megabytes:
        with tempfile.TemporaryDirectory() as directory:
            logs = LogWriter(Path(directory), options.hosts, options.seed)
            logs.write(megabytes)
            runs.append(run_program("list", [], logs))
            runs.append(run_program("explain", ["--explain", "r4000"], logs))
    results = [run._asdict() for run in runs]
    print(json.dumps({"seed": options.seed, "hosts": options.hosts, "runs": results}))


if __name__ == "__main__":
    main()
