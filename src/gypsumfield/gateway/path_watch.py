"""Notices that this host has lost its path to a service, and that it is back."""

from collections.abc import Callable
from typing import NamedTuple

import gevent

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.paths import Paths
from gypsumfield.events import PathLost
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.events import PathRegained
from gypsumfield.gateway.model import BackendServer
from gypsumfield.interfaces import EmitEvent
from gypsumfield.loops import run_forever

NOT_SENT_CODE = "not_sent"
# One health check of one server, only for services whose path is lost.
CHECK_INTERVAL_MS = 300.0


class PathDependencies(NamedTuple):
    """Dependencies of `PathWatch`.

    Attributes:
        catalogue: Records of servers.
        check_server: Exchanges one call with a server; raises `BackendError`.
        clock: Monotonic clock.
        emit: Writes an event to the log.
    """

    catalogue: Catalogue
    check_server: Callable[[BackendServer], object]
    clock: Clock
    emit: EmitEvent


class PathWatch:
    """State of this host's paths, from its own requests and, while lost, from checks.

    Attributes:
        on_regained: Called with a service whose path is back.
    """

    def __init__(self, deps: PathDependencies) -> None:
        self.on_regained: Callable[[str], None] = lambda _service: None
        self._deps = deps
        self._paths = Paths()
        self._round_number = 0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the checks in a greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the checks."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def is_lost(self, service: str) -> bool:
        """Return whether this host reaches no server of a service."""
        return self._paths.is_lost(service)

    def lost_services(self) -> list[str]:
        """Return the services whose servers this host does not reach."""
        return self._paths.lost_services()

    def record_unreachable(self, server: BackendServer) -> None:
        """Record that a server accepted no connection."""
        now_ms = self._deps.clock.monotonic_ms()
        server_count = len(self._present_servers(server.service))
        if self._paths.record_unreachable(
            server.service, server.server_id, server_count, now_ms
        ):
            self._deps.emit(
                PathLost(service=server.service, backend_server=server.server_id)
            )

    def record_contact(self, server: BackendServer) -> None:
        """Record an answer of a server."""
        now_ms = self._deps.clock.monotonic_ms()
        lost_ms = self._paths.record_contact(server.service, now_ms)
        if lost_ms is not None:
            self._deps.emit(
                PathRegained(
                    service=server.service,
                    backend_server=server.server_id,
                    lost_ms=lost_ms,
                )
            )
            self.on_regained(server.service)

    def check_lost(self) -> None:
        """Check one server of each service whose path is lost."""
        self._round_number += 1
        for service in self.lost_services():
            servers = self._present_servers(service)
            if not servers:
                self._paths.forget(service)
                continue
            server = servers[self._round_number % len(servers)]
            if self._is_answering(server):
                self.record_contact(server)

    def _is_answering(self, server: BackendServer) -> bool:
        try:
            self._deps.check_server(server)
        except BackendError as error:
            # A call for which there is no permit ends when its connection is open.
            return error.code == NOT_SENT_CODE
        return True

    def _run(self) -> None:
        run_forever("path watch", self._run_round, self._deps.clock, self._deps.emit)

    def _run_round(self) -> None:
        gevent.sleep(CHECK_INTERVAL_MS / MS_PER_S)
        self.check_lost()

    def _present_servers(self, service: str) -> list[BackendServer]:
        catalogue = self._deps.catalogue
        return [
            record.server
            for record in catalogue.servers_of(service)
            if not catalogue.is_leaving(record)
        ]
