"""Program of one edge host on the users' platform."""

import os
import signal
import sys
from pathlib import Path

import gevent
from gevent.event import Event

from gypsumfield.adapters.logs import open_event_stream
from gypsumfield.clock import Clock
from gypsumfield.clock import system_clock
from gypsumfield.exceptions import SettingsError
from gypsumfield.gateway.composition import build_edge_host
from gypsumfield.gateway.events import SettingsReloaded
from gypsumfield.gateway.log_writer import BoundedWriter
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.platform.settings import read_edge_settings
from gypsumfield.platform.settings import settings_path
from gypsumfield.ports import EmitEvent

EXIT_CLEAN = 0
EXIT_BAD_SETTINGS = 2
EXIT_ANSWERS_CUT = 3


def main() -> int:
    """Run the host until SIGTERM or SIGINT and return the exit status."""
    try:
        path = settings_path()
        settings = read_edge_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"gypsumfield-edge: {error}\n")
        return EXIT_BAD_SETTINGS
    clock = system_clock()
    emit = _open_log(settings, clock)
    host = build_edge_host(settings, clock, emit)
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    gevent.signal_handler(signal.SIGHUP, _reload, path, settings, emit)
    host.start()
    stop.wait()
    return EXIT_ANSWERS_CUT if host.drain() else EXIT_CLEAN


def _open_log(settings: EdgeSettings, clock: Clock) -> EmitEvent:
    writer = BoundedWriter(sys.stdout.fileno())
    return open_event_stream(
        settings.host_id, settings.availability_zone, writer, clock
    )


def _reload(path: Path, known: EdgeSettings, emit: EmitEvent) -> None:
    """Read the settings again; what binds a running host does not change."""
    try:
        settings = read_edge_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"gypsumfield-edge: kept the settings: {error}\n")
        return
    emit(SettingsReloaded(is_changed=settings != known))


if __name__ == "__main__":
    status = main()
    sys.stdout.flush()
    os._exit(status)
