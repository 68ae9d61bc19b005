"""Verb ``losses`` of ``gypsumfield-timeline``: what was not served, by cause."""

import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option

from gypsumfield.exceptions import SettingsError
from gypsumfield.timeline.losses import draw_losses
from gypsumfield.timeline.losses import encode_losses
from gypsumfield.timeline.losses import LossCounter
from gypsumfield.timeline.records import DamageReport
from gypsumfield.timeline.records import read_log

EXIT_DONE = 0
EXIT_NOTHING_READ = 1
EXIT_BAD_OPTION = 2
# The longest pause of the users' sheets that is still on time.
DEFAULT_GAP_MS = "180"


class LossesCommand(Command):
    """Command that sorts losses by cause."""

    name = "losses"
    description = "Sorts the requests that were not served in full by cause."
    arguments = [argument("logs", "Files of JSON lines.", multiple=True)]
    options = [
        option("gap-ms", None, "Longest pause on time.", False, default=DEFAULT_GAP_MS),
        option(
            "worth",
            None,
            "Worth of a route's requests, ROUTE=NUMBER.",
            False,
            multiple=True,
        ),
        option("json", None, "Write JSON."),
        option("svg", None, "Write a plot to this file.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command; return the exit status."""
        try:
            gap_ms = _number("--gap-ms", self.option("gap-ms"))
            worth_of = dict(_read_worth(text) for text in self.option("worth"))
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_BAD_OPTION
        damage = DamageReport()
        counter = LossCounter(gap_ms, worth_of)
        for path in self.argument("logs"):
            counter.read(read_log(path, damage))
        losses = counter.losses()
        if self.option("svg"):
            Path(self.option("svg")).write_text(draw_losses(losses), encoding="utf-8")
        if self.option("json"):
            sys.stdout.write(encode_losses(losses) + "\n")
        else:
            for loss in losses:
                sys.stdout.write(
                    f"{loss.request_count:7d} {loss.worth:10g}  {loss.cause}, "
                    f"for example {loss.example}\n"
                )
        for skipped in damage.files():
            sys.stderr.write(skipped.describe() + "\n")
        is_unread = [skipped for skipped in damage.files() if skipped.reason]
        is_nothing_read = len(is_unread) == len(self.argument("logs"))
        return EXIT_NOTHING_READ if is_nothing_read else EXIT_DONE


def _read_worth(text: str) -> tuple[str, float]:
    route, mark, number = text.rpartition("=")
    if not mark or not route:
        raise SettingsError(f"--worth: {text!r} is not ROUTE=NUMBER")
    return route, _number("--worth", number)


def _number(option_name: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError as error:
        raise SettingsError(f"{option_name}: {text!r} is no number") from error
    if not 0.0 <= value < 1e9:
        raise SettingsError(f"{option_name}: {text!r} is out of range")
    return value
