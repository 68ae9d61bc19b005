"""Program that checks settings files and published values before their use."""

import sys
from pathlib import Path

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option

from gypsumfield.commands.program import run_program
from gypsumfield.configuration import ClientAccount
from gypsumfield.configuration import Configuration
from gypsumfield.configuration import ConfigurationDelta
from gypsumfield.configuration import ConfigurationStore
from gypsumfield.exceptions import GypsumfieldError
from gypsumfield.exceptions import SettingsError
from gypsumfield.settings import EntrySettings
from gypsumfield.settings import read_settings

EXIT_GOOD = 0
EXIT_FAULTS = 1
EXIT_BAD_CALL = 2


class CheckCommand(Command):
    """Check settings files and files of published values."""

    name = "gypsumfield-check"
    description = "Checks settings files and files of published values."
    help = (
        "A values file holds one JSON object from key to value, as the platform "
        "publishes them.\n"
        "Exit status: 0 nothing at fault, 1 faults found, 2 bad call."
    )
    arguments = [
        argument("values", "Files of published values.", optional=True, multiple=True)
    ]
    options = [
        option(
            "settings",
            None,
            "Settings file of an entry host.",
            flag=False,
            multiple=True,
        )
    ]

    def handle(self) -> int:
        """Check all files and return the exit status."""
        settings_paths = self.option("settings")
        values_paths = self.argument("values")
        if not settings_paths and not values_paths:
            self.line_error("gypsumfield-check: no file is named")
            return EXIT_BAD_CALL
        faults = [
            *(fault for path in settings_paths for fault in check_settings(path)),
            *(fault for path in values_paths for fault in check_values_file(path)),
        ]
        for fault in faults:
            self.line_error(fault)
        if faults:
            return EXIT_FAULTS
        self.line(f"{len(settings_paths) + len(values_paths)} files, no fault")
        return EXIT_GOOD


def check_settings(path: str) -> list[str]:
    """Return what is at fault in an entry host's settings file."""
    try:
        read_settings(path, EntrySettings)
    except SettingsError as error:
        return [str(error)]
    return []


def check_values_file(path: str) -> list[str]:
    """Return what is at fault in a file of published values."""
    try:
        values = msgspec.json.decode(Path(path).read_bytes(), type=dict[str, object])
    except OSError as error:
        return [f"{path}: cannot be read: {error.strerror}"]
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return [f"{path}: {error}"]
    store = ConfigurationStore()
    store.apply(0, ConfigurationDelta(1, values))
    faults = [*store.current.rejected.values(), *_missing_names(store.current)]
    return [f"{path}: {fault}" for fault in faults]


def _missing_names(configuration: Configuration) -> list[str]:
    faults = [
        f"services/{name}: field `profile` names {service.profile!r}, "
        "which is not published"
        for name, service in configuration.services.items()
        if service.profile not in configuration.profiles
    ]
    for name, account in configuration.accounts.items():
        faults += _missing_services(name, account, configuration)
    return faults


def _missing_services(
    name: str, account: ClientAccount, configuration: Configuration
) -> list[str]:
    return [
        f"client_accounts/{name}: field `services` names {service!r}, "
        "which is not published"
        for service in account.services
        if service not in configuration.services
    ]


def main() -> int:
    """Run the program."""
    try:
        return run_program(CheckCommand())
    except GypsumfieldError as error:
        sys.stderr.write(f"gypsumfield-check: {error}\n")
        return EXIT_FAULTS


if __name__ == "__main__":
    sys.exit(main())
