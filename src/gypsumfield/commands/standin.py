"""Program ``gypsumfield-standin``: one stand-in in one process."""

import gevent.monkey

gevent.monkey.patch_all()

import signal  # noqa: E402
import sys  # noqa: E402
from typing import Any  # noqa: E402
from typing import cast  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402
from cleo.commands.command import Command  # noqa: E402
from cleo.helpers import option  # noqa: E402
from gevent.event import Event  # noqa: E402

from gypsumfield.commands.program import run_program  # noqa: E402
from gypsumfield.exceptions import SettingsError  # noqa: E402
from gypsumfield.settings import read_settings  # noqa: E402
from gypsumfield.standins.engine import EngineSettings  # noqa: E402
from gypsumfield.standins.engine import EngineStandin  # noqa: E402
from gypsumfield.standins.plain import PlainSettings  # noqa: E402
from gypsumfield.standins.plain import PlainStandin  # noqa: E402
from gypsumfield.standins.platform import PlatformSettings  # noqa: E402
from gypsumfield.standins.platform import PlatformStandin  # noqa: E402

EXIT_BAD_SETTINGS = 2


class EngineProcess(
    EngineSettings,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field="kind",
    tag="engine",
):
    """Settings file of an engine stand-in: its settings and its kind."""


class PlainProcess(
    PlainSettings,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field="kind",
    tag="plain",
):
    """Settings file of a plain service stand-in: its settings and its kind."""


class PlatformProcess(
    PlatformSettings,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field="kind",
    tag="platform",
):
    """Settings file of a platform stand-in: its settings and its kind."""


StandinProcess = EngineProcess | PlainProcess | PlatformProcess
Standin = EngineStandin | PlainStandin | PlatformStandin


class ReadyLine(msgspec.Struct, frozen=True):
    """Line that the program prints once it serves."""

    ready: bool
    kind: str
    url: str


def build_standin(settings: StandinProcess) -> Standin:
    """Return the stand-in that the settings describe, not yet started."""
    if isinstance(settings, EngineProcess):
        return EngineStandin(settings)
    if isinstance(settings, PlainProcess):
        return PlainStandin(settings)
    return PlatformStandin(settings)


class StandinCommand(Command):
    """Command that serves one stand-in until SIGTERM or SIGINT."""

    name = "gypsumfield-standin"
    description = "Serves one stand-in (platform, engine or plain) for tests."
    options = [
        option(
            "settings",
            description="JSON file; field `kind` is platform, engine or plain.",
            flag=False,
        )
    ]

    def handle(self) -> int:
        """Run the command; return the exit status."""
        path = self.option("settings")
        if not path:
            self.line_error("option `--settings` is missing, expected a file")
            return EXIT_BAD_SETTINGS
        try:
            # Type variables do not take a union of types as a type.
            settings = read_settings(path, cast("type[Any]", StandinProcess))
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_BAD_SETTINGS
        stopped = Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, stopped.set)
        standin = build_standin(settings)
        url = standin.start()
        kind = type(settings).__struct_config__.tag
        line = msgspec.json.encode(ReadyLine(True, str(kind), url))
        sys.stdout.write(line.decode() + "\n")
        sys.stdout.flush()
        stopped.wait()
        standin.stop()
        return 0


def main() -> int:
    """Run the program."""
    return run_program(StandinCommand())
