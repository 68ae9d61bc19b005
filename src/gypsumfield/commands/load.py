"""Program ``gypsumfield-load``: runs experiments and compares their results."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
from importlib.metadata import version  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import cast  # noqa: E402

import msgspec  # noqa: E402
from cleo.application import Application  # noqa: E402
from cleo.commands.command import Command  # noqa: E402
from cleo.helpers import argument  # noqa: E402
from cleo.helpers import option  # noqa: E402

from gypsumfield.clock import system_clock  # noqa: E402
from gypsumfield.exceptions import SettingsError  # noqa: E402
from gypsumfield.load.compare import format_comparison  # noqa: E402
from gypsumfield.load.compare import format_summary  # noqa: E402
from gypsumfield.load.driver import Fleet  # noqa: E402
from gypsumfield.load.driver import LoadDriver  # noqa: E402
from gypsumfield.load.experiment import read_experiment  # noqa: E402
from gypsumfield.load.results import LoadResult  # noqa: E402
from gypsumfield.settings import read_settings  # noqa: E402

EXIT_BAD_INPUT = 2
READY_EXPERIMENTS = Path(__file__).parents[1] / "data"


class RunCommand(Command):
    """Command that runs an experiment."""

    name = "run"
    description = "Runs an experiment against a fleet and writes its result."
    help = (
        "The experiment is a JSON file or the name of a ready one. The fleet is "
        "the ready line of gypsumfield-local in a file; - is standard input."
    )
    arguments = [argument("experiment", "File, or name of a ready experiment.")]
    options = [
        option("fleet", None, "JSON file with the fleet's URLs.", flag=False),
        option("out", None, "Directory for result and report.", flag=False),
        option("no-report", None, "Write the result alone, without plots."),
    ]

    def handle(self) -> int:
        """Run the command; return the exit status."""
        if not self.option("fleet") or not self.option("out"):
            self.line_error("gypsumfield-load: options --fleet and --out are needed")
            return EXIT_BAD_INPUT
        try:
            experiment = read_experiment(_experiment_path(self.argument("experiment")))
            fleet = _read_fleet(self.option("fleet"))
            driver = LoadDriver(experiment, fleet, system_clock(), self.line_error)
            result = driver.run()
        except (SettingsError, OSError) as error:
            self.line_error(f"gypsumfield-load: {error}")
            return EXIT_BAD_INPUT
        directory = Path(self.option("out"))
        directory.mkdir(parents=True, exist_ok=True)
        encoded = msgspec.json.format(msgspec.json.encode(result), indent=2)
        (directory / "result.json").write_bytes(encoded)
        if not self.option("no-report"):
            _write_report(result, directory)
        for line in format_summary(result):
            sys.stdout.write(line + "\n")
        return 0


class ReportCommand(Command):
    """Command that writes the report of a result."""

    name = "report"
    description = "Writes the HTML report of a result with its plots."
    arguments = [argument("result", "Result file of a run.")]
    options = [option("out", None, "Directory for the report.", flag=False)]

    def handle(self) -> int:
        """Run the command; return the exit status."""
        path = Path(self.argument("result"))
        try:
            result = read_settings(str(path), LoadResult)
        except SettingsError as error:
            self.line_error(f"gypsumfield-load: {error}")
            return EXIT_BAD_INPUT
        _write_report(result, Path(self.option("out") or path.parent))
        return 0


class CompareCommand(Command):
    """Command that compares two results."""

    name = "compare"
    description = "Prints the figures of two results side by side."
    arguments = [
        argument("before", "Result file of the first run."),
        argument("after", "Result file of the second run."),
    ]

    def handle(self) -> int:
        """Run the command; return the exit status."""
        try:
            before = read_settings(self.argument("before"), LoadResult)
            after = read_settings(self.argument("after"), LoadResult)
        except SettingsError as error:
            self.line_error(f"gypsumfield-load: {error}")
            return EXIT_BAD_INPUT
        for line in format_comparison(before, after):
            sys.stdout.write(line + "\n")
        return 0


def _experiment_path(name: str) -> str:
    ready = READY_EXPERIMENTS / f"{name}.json"
    return str(ready) if ready.exists() else name


def _read_fleet(path: str) -> Fleet:
    return read_settings("/dev/stdin" if path == "-" else path, Fleet)


def _write_report(result: LoadResult, directory: Path) -> None:
    # The plotting library is slow to load, and not every command needs it.
    from gypsumfield.load.report import write_report

    write_report(result, directory)


def main() -> int:
    """Run the program."""
    application = Application("gypsumfield-load", version("gypsumfield"))
    application.auto_exits(False)
    for command in (RunCommand(), ReportCommand(), CompareCommand()):
        application.add(command)
    return cast("int", application.run())
