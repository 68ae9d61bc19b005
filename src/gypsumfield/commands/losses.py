"""Command ``losses`` of ``gypsumfield-timeline``: unserved requests by cause."""

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
# The longest pause between two events of an answer that the users' requirements
# still accept as on time.
DEFAULT_GAP_MS = "180"


class LossesCommand(Command):
    """Command that counts requests that were not fully served, by cause."""

    name = "losses"
    description = "Counts the requests that were not fully served, by cause."
    arguments = [argument("logs", "Files of JSON lines.", multiple=True)]
    options = [
        option(
            "gap-ms",
            None,
            "Longest pause within an answer that is on time, in ms.",
            False,
            default=DEFAULT_GAP_MS,
        ),
        option(
            "worth",
            None,
            "Worth of each request of a route, ROUTE=NUMBER.",
            False,
            multiple=True,
        ),
        option("json", None, "Write JSON."),
        option("svg", None, "Write a plot to this SVG file.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command and return the exit status."""
        try:
            gap_ms = _parse_number("--gap-ms", self.option("gap-ms"))
            worth_by_route = dict(_parse_worth(text) for text in self.option("worth"))
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_BAD_OPTION
        damage = DamageReport()
        counter = LossCounter(gap_ms, worth_by_route)
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
        for damaged_file in damage.files():
            sys.stderr.write(damaged_file.describe() + "\n")
        unread_files = [
            damaged_file for damaged_file in damage.files() if damaged_file.reason
        ]
        is_nothing_read = len(unread_files) == len(self.argument("logs"))
        return EXIT_NOTHING_READ if is_nothing_read else EXIT_DONE


def _parse_worth(text: str) -> tuple[str, float]:
    route, separator, number = text.rpartition("=")
    if not separator or not route:
        raise SettingsError(f"--worth: {text!r} is not ROUTE=NUMBER")
    return route, _parse_number("--worth", number)


def _parse_number(option_name: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError as error:
        raise SettingsError(f"{option_name}: {text!r} is not a number") from error
    if not 0.0 <= value < 1e9:
        raise SettingsError(f"{option_name}: {text!r} is out of range")
    return value
