"""Program ``gypsumfield-check``: validates settings and published values."""

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

EXIT_VALID = 0
EXIT_ERRORS = 1
EXIT_BAD_ARGUMENTS = 2


class CheckCommand(Command):
    """Command that validates settings files and files of published values."""

    name = "gypsumfield-check"
    description = "Validates settings files and files of published values."
    help = (
        "A values file holds one JSON object that maps keys to values, as the "
        "platform publishes them.\n"
        "Exit status: 0 no errors, 1 errors found, 2 invalid arguments."
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
        """Validate all files, print the errors and return the exit status."""
        settings_paths = self.option("settings")
        values_paths = self.argument("values")
        if not settings_paths and not values_paths:
            self.line_error("gypsumfield-check: no file given")
            return EXIT_BAD_ARGUMENTS
        errors = [
            *(message for path in settings_paths for message in check_settings(path)),
            *(message for path in values_paths for message in check_values_file(path)),
        ]
        for message in errors:
            self.line_error(message)
        if errors:
            return EXIT_ERRORS
        self.line(f"{len(settings_paths) + len(values_paths)} files, no errors")
        return EXIT_VALID


def check_settings(path: str) -> list[str]:
    """Return the errors in the settings file of an entry host."""
    try:
        read_settings(path, EntrySettings)
    except SettingsError as error:
        return [str(error)]
    return []


def check_values_file(path: str) -> list[str]:
    """Return the errors in a file of published values."""
    try:
        values = msgspec.json.decode(Path(path).read_bytes(), type=dict[str, object])
    except OSError as error:
        return [f"{path}: cannot be read: {error.strerror}"]
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return [f"{path}: {error}"]
    store = ConfigurationStore()
    store.apply(0, ConfigurationDelta(1, values))
    errors = [*store.current.rejected.values(), *_unpublished_names(store.current)]
    return [f"{path}: {message}" for message in errors]


def _unpublished_names(configuration: Configuration) -> list[str]:
    errors = [
        f"services/{name}: field `profile` names {service.profile!r}, "
        "which is not published"
        for name, service in configuration.services.items()
        if service.profile not in configuration.profiles
    ]
    for name, account in configuration.accounts.items():
        errors += _unpublished_services(name, account, configuration)
    return errors


def _unpublished_services(
    name: str, account: ClientAccount, configuration: Configuration
) -> list[str]:
    return [
        f"client_accounts/{name}: field `services` names {service!r}, "
        "which is not published"
        for service in account.services
        if service not in configuration.services
    ]


def main() -> int:
    """Run the program and return the exit status."""
    try:
        return run_program(CheckCommand())
    except GypsumfieldError as error:
        sys.stderr.write(f"gypsumfield-check: {error}\n")
        return EXIT_ERRORS


if __name__ == "__main__":
    sys.exit(main())
