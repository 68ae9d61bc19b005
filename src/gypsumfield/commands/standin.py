"""Program ``gypsumfield-standin``: runs one stand-in in one process."""

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


class EngineFileSettings(
    EngineSettings,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field="kind",
    tag="engine",
):
    """Settings file of an engine stand-in, with the field ``kind``."""


class PlainFileSettings(
    PlainSettings,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field="kind",
    tag="plain",
):
    """Settings file of a plain service stand-in, with the field ``kind``."""


class PlatformFileSettings(
    PlatformSettings,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field="kind",
    tag="platform",
):
    """Settings file of a platform stand-in, with the field ``kind``."""


StandinFileSettings = EngineFileSettings | PlainFileSettings | PlatformFileSettings
Standin = EngineStandin | PlainStandin | PlatformStandin


class ReadyLine(msgspec.Struct, frozen=True):
    """Line that the program prints when the stand-in serves."""

    ready: bool
    kind: str
    url: str


def build_standin(settings: StandinFileSettings) -> Standin:
    """Return the stand-in for the given settings. It is not yet started."""
    if isinstance(settings, EngineFileSettings):
        return EngineStandin(settings)
    if isinstance(settings, PlainFileSettings):
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
        """Run the command and return the exit status."""
        path = self.option("settings")
        if not path:
            self.line_error("option `--settings` is missing, expected a file")
            return EXIT_BAD_SETTINGS
        try:
            # A union of types is not accepted for a parameter of type `type[T]`.
            settings = read_settings(path, cast("type[Any]", StandinFileSettings))
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_BAD_SETTINGS
        stopped = Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, stopped.set)
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
    """Run the program and return the exit status."""
    return run_program(StandinCommand())
