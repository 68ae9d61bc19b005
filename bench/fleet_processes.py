"""Fleet of separate processes for measurements, one for each program that runs.

Closing the fleet ends every process by its own id.
"""

import json
import subprocess
import sys
import time
import urllib.request
from pathlib import Path
from types import TracebackType
from typing import Any

from gypsumfield.load.experiment import FleetSize

READY_LIMIT_S = 30.0
READY_CHECK_INTERVAL_S = 0.05
END_LIMIT_S = 30.0
OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


class Program:
    """One process; its program prints a JSON line when it is ready."""

    def __init__(self, name: str, settings: dict[str, Any], directory: Path) -> None:
        path = directory / f"{name}-{time.monotonic_ns()}.json"
        path.write_text(json.dumps(settings))
        program = Path(sys.executable).with_name(name)
        self.started_s = time.monotonic()
        self.process = subprocess.Popen(
            [program, "--settings", path], stdout=subprocess.PIPE
        )
        self.ready: dict[str, Any] = {}

    def wait_ready(self) -> str:
        """Wait for the JSON line of the program; return the URL that it serves."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise SystemExit(f"{self.process.args} ended before it was ready")
        self.ready = json.loads(line)
        return str(self.ready["url"])

    def stop(self) -> None:
        """End the process by its own id; kill it after ``END_LIMIT_S``."""
        self.process.terminate()
        try:
            self.process.wait(END_LIMIT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class ProcessFleet:
    """Platform, backend servers and entry hosts, one process for each of them."""

    def __init__(self, size: FleetSize, values: dict[str, Any], directory: Path):
        self._size = size
        self._directory = directory
        self._programs: list[Program] = []
        self.entry_programs: list[Program] = []
        self.log_paths: list[Path] = []
        self._platform_url = ""
        self._members: list[dict[str, Any]] = []
        self._values = values

    def __enter__(self) -> dict[str, Any]:
        """Start all processes and return URLs and identities of the hosts."""
        try:
            return self._start()
        except BaseException:
            self._stop()
            raise

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Drain the entry hosts, then end the other processes."""
        self._stop()

    def _start(self) -> dict[str, Any]:
        platform = self._start_program(
            "gypsumfield-standin", {"kind": "platform", "values": self._values}
        )
        self._platform_url = platform.wait_ready()
        backends = self._start_backends()
        entries = self._start_entries()
        put(f"{self._platform_url}/standin/members", {"hosts": self._members})
        for entry in entries:
            wait_status(f"{entry['url']}/readyz", 200)
        return {
            "platform": self._platform_url,
            "entry_hosts": entries,
            "backend_servers": backends,
        }

    def _start_backends(self) -> list[dict[str, Any]]:
        zones = self._size.availability_zones
        started = []
        for group in self._size.backends:
            for number in range(group.count):
                settings: dict[str, Any] = {"kind": "plain"}
                if group.kind == "model":
                    settings = {
                        "kind": "engine",
                        "models": {group.service: "1"},
                        "engine": {**group.engine, "seed": number},
                    }
                program = self._start_program("gypsumfield-standin", settings)
                zone = zones[number % len(zones)]
                host = {
                    "host_id": f"{group.service}-{number + 1}",
                    "availability_zone": zone,
                    "service": group.service,
                }
                started.append((program, host))
        return [self._add_backend(program, host) for program, host in started]

    def _add_backend(self, program: Program, host: dict[str, Any]) -> dict[str, Any]:
        url = program.wait_ready()
        self._members.append(
            {
                "host_id": host["host_id"],
                "role": "backend",
                "availability_zone": host["availability_zone"],
                "address": url.removeprefix("http://"),
                "services": [host["service"]],
            }
        )
        return host | {"url": url}

    def _start_entries(self) -> list[dict[str, Any]]:
        zones = self._size.availability_zones
        for number in range(self._size.entry_host_count):
            host_id = f"entry-{number + 1}"
            log_path = self._directory / f"{host_id}.log"
            self.log_paths.append(log_path)
            settings = {
                "host_id": host_id,
                "availability_zone": zones[number % len(zones)],
                "platform_url": self._platform_url,
                "log_path": str(log_path),
                "seed": number,
            }
            program = self._start_program("gypsumfield-entry", settings)
            self.entry_programs.append(program)
        return [self._add_entry(program) for program in self.entry_programs]

    def _add_entry(self, program: Program) -> dict[str, Any]:
        url = program.wait_ready()
        ready = program.ready
        host = {key: ready[key] for key in ("host_id", "availability_zone")}
        self._members.append(
            host
            | {
                "role": "entry",
                "address": url.removeprefix("http://"),
                "control_address": ready.get("control_address", ""),
                "boot_id": ready.get("boot_id", ""),
            }
        )
        return host | {"url": url}

    def _start_program(self, name: str, settings: dict[str, Any]) -> Program:
        program = Program(name, settings, self._directory)
        self._programs.append(program)
        return program

    def _stop(self) -> None:
        for program in reversed(self._programs):
            program.stop()


def put(url: str, value: Any) -> None:
    """Send a JSON value by PUT."""
    request = urllib.request.Request(url, json.dumps(value).encode(), method="PUT")
    with OPENER.open(request, timeout=READY_LIMIT_S) as response:
        response.read()


def get(url: str) -> bytes:
    """Return the body of the answer to a GET request."""
    with OPENER.open(url, timeout=READY_LIMIT_S) as response:
        return bytes(response.read())


def wait_status(url: str, status: int) -> None:
    """Wait until a URL answers with a status; exit after ``READY_LIMIT_S``."""
    deadline_s = time.monotonic() + READY_LIMIT_S
    while True:
        try:
            with OPENER.open(url, timeout=READY_LIMIT_S) as response:
                if response.status == status:
                    return
        except OSError:
            pass
        if time.monotonic() > deadline_s:
            raise SystemExit(f"{url} did not answer {status}")
        time.sleep(READY_CHECK_INTERVAL_S)
