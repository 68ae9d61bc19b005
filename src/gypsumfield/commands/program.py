"""Runner for programs that have exactly one command."""

import sys
from importlib.metadata import version
from typing import cast

from cleo.application import Application
from cleo.commands.command import Command
from cleo.io.inputs.argv_input import ArgvInput


def run_program(command: Command) -> int:
    """Run ``command`` with the command line arguments and return the exit status."""
    name = command.name or ""
    application = Application(name, version("gypsumfield"))
    application.auto_exits(False)
    application.add(command)
    # The command name is inserted as the first argument. The single-command mode of
    # the library is not used, because it fails on positional arguments.
    arguments = ArgvInput([name, name, *sys.argv[1:]])
    return cast("int", application.run(arguments))
