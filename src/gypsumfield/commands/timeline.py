"""Program ``gypsumfield-timeline``: one time line from many processes' logs."""

import sys
from collections.abc import Iterator
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option

from gypsumfield.commands.losses import LossesCommand
from gypsumfield.commands.program import run_program
from gypsumfield.exceptions import SettingsError
from gypsumfield.timeline.explanation import collect_history
from gypsumfield.timeline.explanation import explain_request
from gypsumfield.timeline.filter import parse_time_ms
from gypsumfield.timeline.filter import TimelineFilter
from gypsumfield.timeline.merge import index_logs
from gypsumfield.timeline.merge import merge_logs
from gypsumfield.timeline.merge import TimedLine
from gypsumfield.timeline.merge import TimelineIndex
from gypsumfield.timeline.records import DamageReport
from gypsumfield.timeline.svg import draw_svg
from gypsumfield.timeline.text import draw_lanes
from gypsumfield.timeline.text import format_lines

EXIT_DONE = 0
EXIT_NOTHING_READ = 1
EXIT_BAD_OPTION = 2


class TimelineCommand(Command):
    """Command that merges logs and shows them."""

    name = "gypsumfield-timeline"
    description = "Merges the logs of many processes into one time line."
    arguments = [argument("logs", "Files of JSON lines.", multiple=True)]
    options = [
        option("request", None, "Only this request.", flag=False, multiple=True),
        option("account", None, "Only this account.", flag=False, multiple=True),
        option("backend-server", None, "Only this host id.", flag=False, multiple=True),
        option("availability-zone", None, "Only this zone.", flag=False, multiple=True),
        option("from", None, "Earliest time, ISO 8601 or ms.", flag=False),
        option("to", None, "Latest time, ISO 8601 or ms.", flag=False),
        option("explain", None, "Explain this request in words.", flag=False),
        option("lanes", None, "Draw a lane for each process as text."),
        option("svg", None, "Write a drawing to this file.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command; return the exit status."""
        try:
            wanted = self._read_filter()
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_BAD_OPTION
        damage = DamageReport()
        index = index_logs(self.argument("logs"), damage)
        status = EXIT_DONE if index.corrections_ms else EXIT_NOTHING_READ
        try:
            self._show(index, wanted, damage)
            sys.stdout.flush()
        except BrokenPipeError:
            # The reader, a pager for example, has seen enough.
            sys.stdout = None  # type: ignore[assignment]
        for skipped in damage.files():
            sys.stderr.write(skipped.describe() + "\n")
        return status

    def _read_filter(self) -> TimelineFilter:
        return TimelineFilter(
            requests=frozenset(self.option("request")),
            accounts=frozenset(self.option("account")),
            backend_servers=frozenset(self.option("backend-server")),
            availability_zones=frozenset(self.option("availability-zone")),
            from_ms=self._read_time("from"),
            to_ms=self._read_time("to"),
        )

    def _read_time(self, name: str) -> float | None:
        text = self.option(name)
        return parse_time_ms(text, f"--{name}") if text else None

    def _show(
        self, index: TimelineIndex, wanted: TimelineFilter, damage: DamageReport
    ) -> None:
        def lines() -> Iterator[TimedLine]:
            return wanted.select(merge_logs(index, damage))

        if self.option("svg"):
            Path(self.option("svg")).write_text(draw_svg(lines()), encoding="utf-8")
        elif self.option("explain"):
            _print(explain_request(collect_history(lines(), self.option("explain"))))
        elif self.option("lanes"):
            hosts = list(dict.fromkeys(key.host_id for key in index.corrections_ms))
            _print(draw_lanes(lines(), hosts))
        else:
            _print(format_lines(lines()))


def _print(lines: "Iterator[str] | list[str]") -> None:
    for line in lines:
        sys.stdout.write(line + "\n")


def main() -> int:
    """Run the program; its one verb has options of its own."""
    if sys.argv[1:2] == [LossesCommand.name]:
        del sys.argv[1]
        return run_program(LossesCommand())
    return run_program(TimelineCommand())
