"""Runs programs of the package as child processes of a test, ended by their own id."""

import contextlib
import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from httpcalls import call
from small_fleet import base_values
from small_fleet import wait_for

WAIT_LIMIT_S = 30.0
# Both entry hosts are in one zone, because the backend servers of a killed owner pass
# to a host of the same zone.
ZONE = "manta"


class Program:
    """One running program and the ready line that it printed."""

    def __init__(self, name: str, *arguments: str) -> None:
        self.process = subprocess.Popen(
            [program_path(name), *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        assert line, f"{name} printed no ready line"
        self.ready: Any = json.loads(line)

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def wait(self) -> int:
        return self.process.wait(WAIT_LIMIT_S)

    def end(self) -> None:
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
        self.process.wait(WAIT_LIMIT_S)
        assert self.process.stdout is not None
        self.process.stdout.close()


def program_path(name: str) -> str:
    return str(Path(sys.executable).parent / name)


def run_to_end(name: str, *arguments: str) -> tuple[int, str]:
    """Run a program until it exits; return its exit status and standard error."""
    completed = subprocess.run(
        [program_path(name), *arguments],
        capture_output=True,
        text=True,
        timeout=WAIT_LIMIT_S,
    )
    return completed.returncode, completed.stderr


@contextlib.contextmanager
def program(name: str, *arguments: str) -> Iterator[Program]:
    started_program = Program(name, *arguments)
    try:
        yield started_program
    finally:
        started_program.end()


class MultiProcessFleet:
    """Fleet of a platform, two engines, a ledger and two entry hosts as processes."""

    def __init__(
        self, folder: Path, stack: contextlib.ExitStack, engine_step_ms: float = 5.0
    ) -> None:
        self._folder = folder
        self._stack = stack
        self.platform = self.stand_in("platform", values=base_values([ZONE]))
        self.engines = [
            self.stand_in(
                "engine", f"engine-{i}", engine={"step_base_ms": engine_step_ms}
            )
            for i in range(2)
        ]
        self.ledger = self.stand_in("plain")
        self.entries = [self.entry(i) for i in range(2)]
        self.publish_members()
        for entry in self.entries:
            wait_for(lambda entry=entry: self.has_all_members(entry.ready["url"]))

    def run(self, name: str, file_name: str, settings: dict) -> Program:
        path = self._folder / f"{file_name}.json"
        path.write_text(json.dumps(settings))
        return self._stack.enter_context(program(name, "--settings", str(path)))

    def stand_in(self, kind: str, name: str = "", **settings) -> Program:
        return self.run("gypsumfield-standin", name or kind, {"kind": kind} | settings)

    def entry(self, number: int) -> Program:
        settings = {
            "host_id": f"entry-{number}",
            "availability_zone": ZONE,
            "hold_down_ms": 2_400.0,
            "lease_ms": 1_200.0,
            "platform_url": self.platform.ready["url"],
            "log_path": str(self._folder / f"entry-{number}.log"),
        }
        return self.run("gypsumfield-entry", settings["host_id"], settings)

    def publish_members(self) -> None:
        backends = [
            ("engine-0", "assistant", self.engines[0]),
            ("engine-1", "assistant", self.engines[1]),
            ("ledger-0", "ledger", self.ledger),
        ]
        hosts = [
            {
                "host_id": host_id,
                "role": "backend",
                "availability_zone": ZONE,
                "address": backend.ready["url"].removeprefix("http://"),
                "services": [service],
            }
            for host_id, service, backend in backends
        ]
        hosts += [
            {
                "host_id": entry.ready["host_id"],
                "role": "entry",
                "availability_zone": ZONE,
                "address": entry.ready["url"].removeprefix("http://"),
                "boot_id": entry.ready["boot_id"],
                "control_address": entry.ready["control_address"],
            }
            for entry in self.entries
        ]
        url = f"{self.platform.ready['url']}/standin/members"
        assert call("PUT", url, {"hosts": hosts}).status == 200

    def has_all_members(self, url: str) -> bool:
        page = call("GET", f"{url}/statusz").json
        is_ready = call("GET", f"{url}/readyz").status == 200
        return is_ready and len(page["members"].get(ZONE, ())) == 2

    def generations(self) -> dict:
        return {
            name: run
            for engine in self.engines
            for name, run in call("GET", f"{engine.ready['url']}/standin/runs")
            .json["generations"]
            .items()
        }
