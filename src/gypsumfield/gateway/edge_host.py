"""Start, drain, reload and stop of one edge host."""

from typing import NamedTuple

import gevent

from gypsumfield.adapters.caller_server import CallerServer
from gypsumfield.adapters.caller_server import RequestTracker
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.adapters.listening import start_listening
from gypsumfield.adapters.loop_lag import LoopLag
from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.draining import STOP_MARGIN_MS
from gypsumfield.events import HostDrained
from gypsumfield.events import HostDraining
from gypsumfield.events import HostPaused
from gypsumfield.events import HostStarted
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.engine_reports import EngineReportPoller
from gypsumfield.gateway.events import SettingsKept
from gypsumfield.gateway.events import SettingsReloaded
from gypsumfield.gateway.follower import StoreFollower
from gypsumfield.gateway.path_watch import PathWatch
from gypsumfield.gateway.peers import PeerLink
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.protection import Protector
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.held_memory import HeldMemory
from gypsumfield.interfaces import EmitEvent
from gypsumfield.loops import run_forever

# The load balancer probes once a second and removes a host after two failures;
# connections that are being opened at that time still arrive.
BALANCER_NOTICE_MS = 3_200.0
DRAIN_CHECK_INTERVAL_MS = 50.0
MAINTENANCE_INTERVAL_MS = 250.0
# A maintenance round that is late by more than this means that the process was paused.
PAUSE_THRESHOLD_MS = 1_000.0
# Servers whose registration was deleted still finish their runs; their records are
# removed after this time.
GONE_SERVER_LIFETIME_MS = 10_000.0


class EdgeServers(NamedTuple):
    """HTTP servers of an edge host, in the order in which they start."""

    readiness: CallerServer
    peers: CallerServer
    metrics: CallerServer
    callers: CallerServer


class EdgeComponents(NamedTuple):
    """Components of an edge host.

    Attributes:
        request_tracker: Counts the answers in flight and holds the drain state.
        servers: HTTP servers.
        follower: Follows the store.
        peers: Exchanges messages with the other hosts.
        placer: Selects backend servers.
        catalogue: Configuration, evacuations and backend servers.
        paths: Notices lost paths to servers.
        protector: Copies runs away from engines that leave.
        report_poller: Queries engines for their reports.
        loop_lag: Measures how long greenlets hold up all others.
        held_memory: Bounds what all requests hold together.
        connections: Idle connections to backend servers.
    """

    request_tracker: RequestTracker
    servers: EdgeServers
    follower: StoreFollower
    peers: PeerLink
    placer: Placer
    catalogue: Catalogue
    paths: PathWatch
    protector: Protector
    report_poller: EngineReportPoller
    loop_lag: LoopLag
    held_memory: HeldMemory
    connections: ConnectionPool


class EdgeHost:
    """Runs the components of one edge host.

    Attributes:
        components: Components of the host.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        components: EdgeComponents,
        clock: Clock,
        emit: EmitEvent,
    ) -> None:
        self.components = components
        self._settings = settings
        self._clock = clock
        self._emit = emit
        self._maintenance: gevent.Greenlet | None = None
        self._maintained_ms = clock.monotonic_ms()

    def start(self) -> None:
        """Start the servers, then follow the store and find the peers.

        Raises:
            ListenError: One of the addresses cannot be used.
        """
        components = self.components
        components.loop_lag.start()
        for server in components.servers:
            ip, port = server.address
            start_listening(server.start, f"{ip}:{port}", self._clock, self._emit)
        components.follower.start()
        news_address = f"{self._settings.ip}:{self._settings.news_port}"
        start_listening(components.peers.start, news_address, self._clock, self._emit)
        components.paths.start()
        components.protector.start()
        components.report_poller.start()
        self._maintenance = gevent.spawn(self._run_maintenance)
        self._emit(HostStarted(address=self._settings.caller_address))

    def drain(self) -> int:
        """Serve until no answer is in flight or the time to stop is over.

        It takes at least `BALANCER_NOTICE_MS`, unless the time to stop is shorter.
        The components keep running until `stop` is called.

        Returns:
            Number of answers that are still in flight and will be cut.
        """
        request_tracker = self.components.request_tracker
        started_ms = self._clock.monotonic_ms()
        deadline_ms = started_ms + self._settings.bounds.stop_limit_ms - STOP_MARGIN_MS
        request_tracker.begin_drain(started_ms)
        self._emit(HostDraining(in_flight_count=request_tracker.in_flight_count))
        while self._clock.monotonic_ms() < deadline_ms:
            is_removed = self._clock.monotonic_ms() - started_ms >= BALANCER_NOTICE_MS
            if is_removed and not request_tracker.in_flight_count:
                break
            self._clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)
        cut_count = request_tracker.in_flight_count
        self._emit(HostDrained(cut_count=cut_count))
        return cut_count

    def stop(self) -> None:
        """Stop all components at once."""
        components = self.components
        if self._maintenance is not None:
            self._maintenance.kill(block=False)
        for component in (
            components.follower,
            components.peers,
            components.paths,
            components.protector,
            components.report_poller,
            components.loop_lag,
        ):
            component.stop()
        for server in components.servers:
            server.stop(timeout=0)
        components.connections.close()

    def reload(self, settings: EdgeSettings) -> None:
        """Adopt the settings that may change while the host runs: seeds and bounds.

        Names and addresses are fixed at the start. A change of one of them is logged
        as deferred, and the host continues with the value that it has.
        """
        current = self._settings
        adopted = current._replace(seed_ips=settings.seed_ips, bounds=settings.bounds)
        pairs = zip(settings._fields, settings, adopted, strict=True)
        deferred = [name for name, new, in_force in pairs if new != in_force]
        self._settings = adopted
        self.components.peers.set_seeds(settings.seed_ips)
        self.components.peers.bounds = settings.bounds
        self._emit(
            SettingsReloaded(is_changed=adopted != current, deferred=",".join(deferred))
        )

    def log_settings_kept(self, reason: str) -> None:
        """Log that the settings remain as they are, because the new ones are invalid.

        Args:
            reason: Why the settings file cannot be used.
        """
        self._emit(SettingsKept(reason=reason))

    def _run_maintenance(self) -> None:
        self._maintained_ms = self._clock.monotonic_ms()
        run_forever("maintenance", self._maintain, self._clock, self._emit)

    def _maintain(self) -> None:
        gevent.sleep(MAINTENANCE_INTERVAL_MS / MS_PER_S)
        now_ms = self._clock.monotonic_ms()
        pause_ms = now_ms - self._maintained_ms - MAINTENANCE_INTERVAL_MS
        self._maintained_ms = now_ms
        if pause_ms > PAUSE_THRESHOLD_MS:
            self._emit(HostPaused(pause_ms=pause_ms))
            self.components.follower.restart_watch()
        catalogue = self.components.catalogue
        catalogue.remove_expired(GONE_SERVER_LIFETIME_MS)
        self.components.connections.close_unused(
            {
                record.server.address
                for record in catalogue.servers()
                if not catalogue.is_leaving(record)
            }
        )
