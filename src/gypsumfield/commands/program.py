"""Runs a program that has exactly one command."""

from importlib.metadata import version
from typing import cast

from cleo.application import Application
from cleo.commands.command import Command


def run_program(command: Command) -> int:
    """Run ``command`` on the process's arguments and return the exit status."""
    name = command.name or ""
    application = Application(name, version("gypsumfield"))
    application.auto_exits(False)
    application.add(command)
    # The library offers no public way to make a command the only one.
    application._default_command = name
    application._single_command = True
    return cast("int", application.run())
