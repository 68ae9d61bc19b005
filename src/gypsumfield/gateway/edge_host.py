"""One edge host: started, drained and stopped as a whole."""

from typing import NamedTuple

import gevent

from gypsumfield.adapters.caller_server import CallerServer
from gypsumfield.adapters.caller_server import WorkGate
from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.events import HostDrained
from gypsumfield.events import HostDraining
from gypsumfield.events import HostPaused
from gypsumfield.events import HostStarted
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.engine_reports import EngineReportPoller
from gypsumfield.gateway.events import SettingsKept
from gypsumfield.gateway.events import SettingsReloaded
from gypsumfield.gateway.follower import StoreFollower
from gypsumfield.gateway.peers import PeerLink
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.protection import Protector
from gypsumfield.gateway.settings import EdgeSettings
from gypsumfield.ports import EmitEvent

# The balancer asks once a second and takes a host out after two misses; a
# connection on its way then still comes.
NOTICE_MS = 3_200.0
DRAIN_CHECK_MS = 50.0
# The process ends this long before it would be killed.
STOP_MARGIN_MS = 500.0
HOUSEKEEPING_MS = 250.0
# A housekeeping round this late means that the process did not run.
PAUSE_MS = 1_000.0
# Servers that left the list still finish what they have.
GONE_LIFETIME_MS = 10_000.0


class EdgeServers(NamedTuple):
    """Servers of an edge host, in the order in which they start."""

    readiness: CallerServer
    peers: CallerServer
    metrics: CallerServer
    callers: CallerServer


class EdgeComponents(NamedTuple):
    """Parts of an edge host that are started and stopped with it."""

    gate: WorkGate
    servers: EdgeServers
    follower: StoreFollower
    peers: PeerLink
    placer: Placer
    catalogue: Catalogue
    protector: Protector
    report_poller: EngineReportPoller


class EdgeHost:
    """One edge host.

    Attributes:
        components: Its parts.
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
        self._housekeeping: gevent.Greenlet | None = None

    def start(self) -> None:
        """Follow the store, find peers, and take callers."""
        components = self.components
        for server in components.servers:
            server.start()
        components.follower.start()
        components.peers.start()
        components.protector.start()
        components.report_poller.start()
        self._housekeeping = gevent.spawn(self._keep_house)
        self._emit(HostStarted(address=self._settings.caller_address))

    def drain(self) -> int:
        """Serve until no answer runs or the time is over, then stop.

        Returns:
            Number of answers that were cut.
        """
        gate = self.components.gate
        started_ms = self._clock.monotonic_ms()
        last_ms = started_ms + self._settings.bounds.stop_limit_ms - STOP_MARGIN_MS
        gate.begin_drain(started_ms)
        self._emit(HostDraining(in_flight_count=gate.in_flight_count))
        while self._clock.monotonic_ms() < last_ms:
            is_noticed = self._clock.monotonic_ms() - started_ms >= NOTICE_MS
            if is_noticed and not gate.in_flight_count:
                break
            self._clock.sleep_ms(DRAIN_CHECK_MS)
        cut_count = gate.in_flight_count
        self._emit(HostDrained(cut_count=cut_count))
        return cut_count

    def stop(self) -> None:
        """Stop at once."""
        components = self.components
        if self._housekeeping is not None:
            self._housekeeping.kill(block=False)
        for part in (
            components.follower,
            components.peers,
            components.protector,
            components.report_poller,
        ):
            part.stop()
        for server in components.servers:
            server.stop(timeout=0)

    def reload(self, settings: EdgeSettings) -> None:
        """Take over what may change while the host runs: seeds and bounds.

        Names and addresses are bound at the start. Changes of these are logged as
        deferred; the host goes on with those that it has.
        """
        running = self._settings
        taken = running._replace(seed_ips=settings.seed_ips, bounds=settings.bounds)
        pairs = zip(settings._fields, settings, taken, strict=True)
        deferred = [name for name, wanted, kept in pairs if wanted != kept]
        self._settings = taken
        self.components.peers.set_seeds(settings.seed_ips)
        self.components.peers.bounds = settings.bounds
        self._emit(
            SettingsReloaded(is_changed=taken != running, deferred=",".join(deferred))
        )

    def log_settings_kept(self, reason: str) -> None:
        """Go on with the settings that the host has; the file holds none that fit."""
        self._emit(SettingsKept(reason=reason))

    def _keep_house(self) -> None:
        last_ms = self._clock.monotonic_ms()
        while True:
            gevent.sleep(HOUSEKEEPING_MS / MS_PER_S)
            now_ms = self._clock.monotonic_ms()
            pause_ms = now_ms - last_ms - HOUSEKEEPING_MS
            last_ms = now_ms
            if pause_ms > PAUSE_MS:
                self._emit(HostPaused(pause_ms=pause_ms))
                self.components.follower.restart_watch()
            self.components.catalogue.remove_expired(GONE_LIFETIME_MS)
