"""Program ``gypsumfield-local``: a complete small fleet in one process."""

import gevent.monkey

gevent.monkey.patch_all()

import sys  # noqa: E402

import msgspec  # noqa: E402
from cleo.commands.command import Command  # noqa: E402
from cleo.helpers import option  # noqa: E402

from gypsumfield.clock import system_clock  # noqa: E402
from gypsumfield.commands.entry import EXIT_ANSWERS_CUT  # noqa: E402
from gypsumfield.commands.entry import EXIT_BAD_SETTINGS  # noqa: E402
from gypsumfield.commands.entry import EXIT_CLEAN  # noqa: E402
from gypsumfield.commands.entry import wait_and_drain  # noqa: E402
from gypsumfield.commands.program import run_program  # noqa: E402
from gypsumfield.exceptions import SettingsError  # noqa: E402
from gypsumfield.local_fleet import LocalFleet  # noqa: E402
from gypsumfield.local_fleet import LocalPlan  # noqa: E402
from gypsumfield.standins.fleet import FleetPlan  # noqa: E402

MAX_PORT = 65_535


class LocalCommand(Command):
    """Command that serves a small fleet until SIGTERM or SIGINT."""

    name = "gypsumfield-local"
    description = (
        "Runs a complete small fleet in one process: platform stand-in, engines, "
        "ledgers and entry hosts. Prints one JSON line when it is ready."
    )
    options = [
        option("entry-hosts", None, "Number of entry hosts.", False, default="4"),
        option(
            "availability-zones",
            None,
            "Number of availability zones.",
            False,
            default="4",
        ),
        option(
            "seed",
            None,
            "Seed of the API keys, the cursor secret and the entry hosts.",
            False,
            default="0",
        ),
        option(
            "port",
            None,
            "Port of the first entry host, the others follow; 0 is any free port.",
            False,
            default="0",
        ),
        option(
            "platform-port",
            None,
            "Port of the platform stand-in; 0 is any free port.",
            False,
            default="0",
        ),
        option(
            "log",
            None,
            "File for the JSON log of the entry hosts; - is standard error.",
            False,
            default="",
        ),
    ]

    def handle(self) -> int:
        """Run the command and return the exit status."""
        try:
            plan = self._read_plan()
        except SettingsError as error:
            self.line_error(f"gypsumfield-local: {error}")
            return EXIT_BAD_SETTINGS
        fleet = LocalFleet(plan, system_clock())
        line = msgspec.json.encode(fleet.start())
        sys.stdout.write(line.decode() + "\n")
        sys.stdout.flush()
        cut_count = wait_and_drain(fleet.entry_hosts)
        fleet.stop()
        return EXIT_ANSWERS_CUT if cut_count else EXIT_CLEAN

    def _read_plan(self) -> LocalPlan:
        return LocalPlan(
            entry_host_count=self._read_integer("entry-hosts", 1, 64),
            stand_ins=FleetPlan(
                zone_count=self._read_integer("availability-zones", 1, 16),
                seed=self._read_integer("seed", 0, 2**31),
                platform_port=self._read_integer("platform-port", 0, MAX_PORT),
            ),
            first_entry_port=self._read_integer("port", 0, MAX_PORT),
            log_path=self.option("log"),
        )

    def _read_integer(self, name: str, minimum: int, maximum: int) -> int:
        text = self.option(name)
        if not text.isdigit() or not minimum <= int(text) <= maximum:
            raise SettingsError(
                f"option `--{name}` is {text!r}, expected {minimum} to {maximum}"
            )
        return int(text)


def main() -> int:
    """Run the program and return the exit status."""
    return run_program(LocalCommand())
