"""One entry host: started, drained and stopped as a whole."""

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
# Returned slots and tokens are messages; they get this long to leave.
FAREWELL_MS = 50.0


class Farewell(NamedTuple):
    """What the host tells its peers before it stops.

    Attributes:
        retire: Gives up what the host owns, while its answers still run.
        leave: Says that the host takes no new work.
    """

    retire: Callable[[], None]
    leave: Callable[[], None]


class HostIdentity(NamedTuple):
    """What others reach the host by.

    Attributes:
        boot_id: Boot of the process.
        control_address: ``IP:PORT`` of its control socket.
    """

    boot_id: str
    control_address: str


class Watch(Protocol):
    """Part of the host that runs in greenlets of its own."""

    def start(self) -> None:
        """Begin to run."""

    def stop(self) -> None:
        """End all greenlets."""


class EntryHost:
    """One entry host: started, drained and stopped as a whole."""

    def __init__(
        self,
        settings: EntrySettings,
        identity: HostIdentity,
        server: CallerServer,
        watches: Sequence[Watch],
        farewell: Farewell,
        pool: ConnectionPool,
        clock: Clock,
        emit: EmitEvent,
    ) -> None:
        self.settings = settings
        self.identity = identity
        self._farewell = farewell
        self._server = server
        self._watches = watches
        self._pool = pool
        self._clock = clock
        self._emit = emit

    def start(self) -> str:
        """Start to follow the platform and to serve.

        Returns:
            The URL for callers.
        """
        self._server.start()
        for watch in self._watches:
            watch.start()
        url = f"http://{self._server.server_host}:{self._server.server_port}"
        self._emit(HostStarted(address=url))
        return url

    @property
    def in_flight_count(self) -> int:
        """Requests whose answer has not ended."""
        return self._server.request_tracker.in_flight_count

    def begin_drain(self) -> None:
        """Turn the health page, so that the balancer sends nothing more."""
        if not self._server.request_tracker.is_draining:
            self._server.request_tracker.is_draining = True
            self._emit(HostDraining(in_flight_count=self.in_flight_count))

    def drain(self) -> int:
        """Serve until no answer runs, then stop.

        New connections are taken until the balancer has noticed; answers run
        as long as they need, or as the settings allow.

        Returns:
            Number of answers that were cut.
        """
        self.begin_drain()
        self._clock.sleep_ms(self.settings.drain_notice_ms)
        self._server.close()
        # Others ask a host that has retired in vain until they know that it leaves.
        self._farewell.retire()
        self._farewell.leave()
        started_ms = self._clock.monotonic_ms()
        while self.in_flight_count and not self._is_drain_over(started_ms):
            self._clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)
        self._clock.sleep_ms(FAREWELL_MS)
        return self.stop()

    def stop(self) -> int:
        """Stop at once.

        Returns:
            Number of answers that were cut.
        """
        cut_count = self.in_flight_count
        for watch in self._watches:
            watch.stop()
        self._server.stop(timeout=0)
        self._pool.close()
        self._emit(HostDrained(cut_count=cut_count))
        return cut_count

    def _is_drain_over(self, started_ms: float) -> bool:
        limit_ms = self.settings.drain_limit_ms
        elapsed_ms = self._clock.monotonic_ms() - started_ms
        return limit_ms > 0 and elapsed_ms >= limit_ms
