"""Entry host, which starts, drains and stops all of its components."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from gypsumfield.adapters.caller_server import CallerServer
from gypsumfield.adapters.connections import ConnectionPool
from gypsumfield.clock import Clock
from gypsumfield.events import HostDrained
from gypsumfield.events import HostDraining
from gypsumfield.events import HostStarted
from gypsumfield.interfaces import EmitEvent
from gypsumfield.settings import EntrySettings

DRAIN_CHECK_INTERVAL_MS = 20.0
# Slots and tokens are returned in messages. This is the time for sending them.
MESSAGE_FLUSH_MS = 50.0


class PeerNotifications(NamedTuple):
    """Functions that notify the peers before the host stops.

    Attributes:
        retire: Releases the ownerships of the host while its answers still run.
        leave: Announces that the host accepts no new requests.
    """

    retire: Callable[[], None]
    leave: Callable[[], None]


class HostIdentity(NamedTuple):
    """Data by which peers reach and identify the host.

    Attributes:
        boot_id: Unique id of this start of the process.
        control_address: ``IP:PORT`` of the control socket.
    """

    boot_id: str
    control_address: str


class BackgroundComponent(Protocol):
    """Component of the host that runs in its own greenlets."""

    def start(self) -> None:
        """Start the greenlets."""

    def stop(self) -> None:
        """Stop all greenlets."""


class EntryHost:
    """One entry host with its caller server and background components.

    Args:
        settings: Settings of the host.
        identity: Boot id and control address of the host.
        server: HTTP server for callers.
        background_components: Background components, started and stopped in this order.
        peer_notifications: Functions that notify the peers before the host stops.
        pool: Idle connections to backend servers.
        clock: Clock of the host.
        emit: Writes an event to the log.
    """

    def __init__(
        self,
        settings: EntrySettings,
        identity: HostIdentity,
        server: CallerServer,
        background_components: Sequence[BackgroundComponent],
        peer_notifications: PeerNotifications,
        pool: ConnectionPool,
        clock: Clock,
        emit: EmitEvent,
    ) -> None:
        self.settings = settings
        self.identity = identity
        self._peer_notifications = peer_notifications
        self._server = server
        self._background_components = background_components
        self._pool = pool
        self._clock = clock
        self._emit = emit

    def start(self) -> str:
        """Start to serve callers and to follow the platform.

        Returns:
            URL on which callers connect.
        """
        self._server.start()
        for component in self._background_components:
            component.start()
        url = f"http://{self._server.server_host}:{self._server.server_port}"
        self._emit(HostStarted(address=url))
        return url

    @property
    def in_flight_count(self) -> int:
        """Number of requests whose answer has not ended."""
        return self._server.request_tracker.in_flight_count

    def begin_drain(self) -> None:
        """Fail the health check, so that the load balancer sends no new requests."""
        if not self._server.request_tracker.is_draining:
            self._server.request_tracker.is_draining = True
            self._emit(HostDraining(in_flight_count=self.in_flight_count))

    def drain(self) -> int:
        """Wait until no answer runs, then stop.

        New connections are accepted for `EntrySettings.drain_notice_ms`, so that the
        load balancer notices the failing health check. Running answers may continue
        for `EntrySettings.drain_limit_ms`, or until their end if that is 0.

        Returns:
            Number of answers that were cut off.
        """
        self.begin_drain()
        self._clock.sleep_ms(self.settings.drain_notice_ms)
        self._server.close()
        # Both are announced together: until its peers learn that this host leaves,
        # they send slot requests to it, which a retired host must refuse.
        self._peer_notifications.retire()
        self._peer_notifications.leave()
        started_ms = self._clock.monotonic_ms()
        while self.in_flight_count and not self._is_drain_over(started_ms):
            self._clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)
        self._clock.sleep_ms(MESSAGE_FLUSH_MS)
        return self.stop()

    def stop(self) -> int:
        """Stop immediately and cut off running answers.

        Returns:
            Number of answers that were cut off.
        """
        cut_count = self.in_flight_count
        for component in self._background_components:
            component.stop()
        self._server.stop(timeout=0)
        self._pool.close()
        self._emit(HostDrained(cut_count=cut_count))
        return cut_count

    def _is_drain_over(self, started_ms: float) -> bool:
        limit_ms = self.settings.drain_limit_ms
        elapsed_ms = self._clock.monotonic_ms() - started_ms
        return limit_ms > 0 and elapsed_ms >= limit_ms
