"""Runs a program that has exactly one command."""

import sys
from importlib.metadata import version
from typing import cast

from cleo.application import Application
from cleo.commands.command import Command
from cleo.io.inputs.argv_input import ArgvInput


def run_program(command: Command) -> int:
    """Run ``command`` on the process's arguments and return the exit status."""
    name = command.name or ""
    application = Application(name, version("gypsumfield"))
    application.auto_exits(False)
    application.add(command)
    # Naming the command makes it the only one. The library's own mode for that
    # fails on arguments that are no options.
    arguments = ArgvInput([name, name, *sys.argv[1:]])
    return cast("int", application.run(arguments))
