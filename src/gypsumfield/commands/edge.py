"""Program of one edge host, configured by the platform's settings file."""

import os
import signal
import sys
from pathlib import Path

import gevent
from gevent.event import Event

from gypsumfield.adapters.allocator import return_large_blocks
from gypsumfield.adapters.logs import open_event_stream
from gypsumfield.clock import Clock
from gypsumfield.clock import system_clock
from gypsumfield.exceptions import ListenError
from gypsumfield.exceptions import SettingsError
from gypsumfield.gateway.composition import build_edge_host
from gypsumfield.gateway.edge_host import EdgeHost
from gypsumfield.gateway.log_writer import BoundedWriter
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.interfaces import EmitEvent
from gypsumfield.platform.settings import read_edge_settings
from gypsumfield.platform.settings import settings_path

EXIT_CLEAN = 0
EXIT_BAD_SETTINGS = 2
EXIT_ANSWERS_CUT = 3
EXIT_ADDRESS_UNUSABLE = 4
# A changed settings file must take effect within the same time as a changed
# configuration.
SETTINGS_CHECK_INTERVAL_S = 1.0


def main() -> int:
    """Run the host until SIGTERM or SIGINT and return the exit status."""
    try:
        path = settings_path()
        settings = read_edge_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"gypsumfield-edge: {error}\n")
        return EXIT_BAD_SETTINGS
    return_large_blocks()
    clock = system_clock()
    emit = _open_log(settings, clock)
    host = build_edge_host(settings, clock, emit)
    stop = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop.set)
    try:
        host.start()
    except ListenError as error:
        sys.stderr.write(f"gypsumfield-edge: {error}\n")
        return EXIT_ADDRESS_UNUSABLE
    SettingsWatch(path, host, path.read_bytes()).start()
    stop.wait()
    return EXIT_ANSWERS_CUT if host.drain() else EXIT_CLEAN


def _open_log(settings: EdgeSettings, clock: Clock) -> EmitEvent:
    writer = BoundedWriter(sys.stdout.fileno())
    return open_event_stream(
        settings.host_id, settings.availability_zone, writer, clock
    )


class SettingsWatch:
    """Reloads the settings file when its content has changed.

    The file is checked periodically and after every SIGHUP.

    Args:
        path: Path of the settings file.
        host: Host that adopts changed settings.
        data: Content from which the host was built.
    """

    def __init__(self, path: Path, host: EdgeHost, data: bytes) -> None:
        self._path = path
        self._host = host
        self._data = data

    def start(self) -> None:
        """Start to check the file."""
        gevent.signal_handler(signal.SIGHUP, self.reload_if_changed)
        gevent.spawn(self._run)

    def reload_if_changed(self) -> None:
        """Reload the file if its content has changed.

        If the file is unreadable or invalid, the host keeps its settings and logs
        the error.
        """
        try:
            data = self._path.read_bytes()
            if data == self._data:
                return
            self._data = data
            settings = read_edge_settings(self._path)
        except (OSError, SettingsError) as error:
            self._host.log_settings_kept(str(error))
            return
        self._host.reload(settings)

    def _run(self) -> None:
        while True:
            gevent.sleep(SETTINGS_CHECK_INTERVAL_S)
            self.reload_if_changed()


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    os._exit(status)
