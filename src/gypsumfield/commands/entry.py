"""Program ``gypsumfield-entry``: one entry host."""

from gevent import monkey

monkey.patch_all()

import signal  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402
from cleo.commands.command import Command  # noqa: E402
from cleo.helpers import option  # noqa: E402
from gevent.event import Event  # noqa: E402

from gypsumfield.adapters.allocator import return_large_blocks  # noqa: E402
from gypsumfield.adapters.logs import open_event_log  # noqa: E402
from gypsumfield.clock import system_clock  # noqa: E402
from gypsumfield.commands.program import run_program  # noqa: E402
from gypsumfield.composition import build_entry_host  # noqa: E402
from gypsumfield.entry_host import EntryHost  # noqa: E402
from gypsumfield.exceptions import GypsumfieldError  # noqa: E402
from gypsumfield.settings import EntrySettings  # noqa: E402
from gypsumfield.settings import read_settings  # noqa: E402

EXIT_CLEAN = 0
EXIT_BAD_SETTINGS = 2
EXIT_ANSWERS_CUT = 3


class ReadyLine(msgspec.Struct, frozen=True):
    """Line that the program prints when the host accepts requests."""

    ready: bool
    host_id: str
    availability_zone: str
    url: str
    boot_id: str
    control_address: str


class EntryCommand(Command):
    """Command that serves callers as one entry host until SIGTERM or SIGINT."""

    name = "gypsumfield-entry"
    description = "Serves callers as one entry host until SIGTERM or SIGINT."
    help = (
        "SIGTERM or SIGINT starts a drain: the health check answers 503, running "
        "answers end, then the program exits with 0. A second signal stops it "
        "immediately.\n"
        "Exit status: 0 clean, 2 invalid settings, 3 answers were cut off."
    )
    options = [
        option("settings", None, "JSON file with the host's settings.", flag=False)
    ]

    def handle(self) -> int:
        """Run the host and return the exit status."""
        path = self.option("settings")
        if not path:
            self.line_error("gypsumfield-entry: option --settings is missing")
            return EXIT_BAD_SETTINGS
        return_large_blocks()
        try:
            host = open_host(read_settings(path, EntrySettings))
            url = host.start()
        except (GypsumfieldError, OSError) as error:
            self.line_error(f"gypsumfield-entry: {error}")
            return EXIT_BAD_SETTINGS
        print_ready(host, url)
        cut_count = wait_and_drain([host])
        return EXIT_ANSWERS_CUT if cut_count else EXIT_CLEAN


def open_host(settings: EntrySettings) -> EntryHost:
    """Open the log and return an entry host that is not yet started."""
    clock = system_clock()
    log_event = open_event_log(
        settings.host_id, settings.availability_zone, settings.log_path, clock
    )
    return build_entry_host(settings, clock, log_event)


def print_ready(host: EntryHost, url: str) -> None:
    """Print the ready line of a host that serves at ``url``."""
    line = ReadyLine(
        ready=True,
        host_id=host.settings.host_id,
        availability_zone=host.settings.availability_zone,
        url=url,
        boot_id=host.identity.boot_id,
        control_address=host.identity.control_address,
    )
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    sys.stdout.flush()


def wait_and_drain(hosts: list[EntryHost]) -> int:
    """Wait for SIGTERM or SIGINT, then drain all hosts.

    A second signal ends the drains and stops the hosts immediately.

    Returns:
        Number of answers that were cut off.
    """
    first_signal = Event()
    second_signal = Event()

    def record_signal() -> None:
        (second_signal if first_signal.is_set() else first_signal).set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, record_signal)
    first_signal.wait()
    drains = [gevent.spawn(host.drain) for host in hosts]
    abort = gevent.spawn(second_signal.wait)
    gevent.wait([gevent.spawn(gevent.joinall, drains), abort], count=1)
    return sum(
        _finish_drain(host, drain) for host, drain in zip(hosts, drains, strict=True)
    )


def _finish_drain(host: EntryHost, drain: gevent.Greenlet) -> int:
    if drain.ready():
        return int(drain.get())
    drain.kill()
    return host.stop()


def main() -> int:
    """Run the program and return the exit status."""
    return run_program(EntryCommand())


if __name__ == "__main__":
    sys.exit(main())
