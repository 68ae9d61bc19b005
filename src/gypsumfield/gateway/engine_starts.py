"""Proves which start of an engine runs a stream.

An engine may start again under its id with another software version, and answers for a
while before its registration says so. A connection does not outlive a start: if the
registered start still answers after the connection was opened, it accepted the
connection, and made whatever arrives on it.
"""

from collections.abc import Callable
from typing import NamedTuple

from gevent.event import AsyncResult

from gypsumfield.aborts import AbortHandle
from gypsumfield.clock import Clock
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.calls import EngineRuns
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.permits import NO_PERMIT_REASON
from gypsumfield.gateway.permits import Permits
from gypsumfield.verdicts import RunVerdict

OTHER_START_CODE = "other_start"
# With the permit for the request itself, the caller's stream pauses twice as long.
PERMIT_WAIT_MS = 1_000.0
# Reports are polled twice a second, and reach the other hosts within another half.
POLL_WAIT_MS = 1_200.0
PROOF_CHECK_MS = 200.0
MAX_SEEN_STARTS = 4_096
# An engine registers within its heartbeat interval, and changes arrive in some hundred
# milliseconds: by then a start before the connection would be known.
REGISTRATION_LAG_MS = 3_000.0


class StartDependencies(NamedTuple):
    """Dependencies of `EngineStarts`.

    Attributes:
        permits: Permits for calls to servers that have named a limit.
        read_runs: Asks an engine for its start and its runs; raises `BackendError`.
        is_limited: Whether a server limits requests, or wants none for now.
        is_registered: Whether the store is reached and has this start of a server.
        clock: Monotonic clock.
    """

    permits: Permits
    read_runs: Callable[[BackendServer], EngineRuns]
    is_limited: Callable[[BackendServer], bool]
    is_registered: Callable[[BackendServer], bool]
    clock: Clock


class _SeenStart(NamedTuple):
    """Start that an engine has named, and when it was asked."""

    started_wall_ms: int
    asked_ms: float


class EngineStarts:
    """Remembers which start of each engine answered last, and asks engines for it."""

    def __init__(self, deps: StartDependencies) -> None:
        self._deps = deps
        # The engine that was asked longest ago first.
        self._seen: dict[str, _SeenStart] = {}
        self._asking: dict[str, AsyncResult] = {}

    def record(self, server_id: str, started_wall_ms: int, asked_ms: float) -> None:
        """Record the start that an engine names in its report.

        Args:
            server_id: The engine.
            started_wall_ms: Its start, or 0 if the report names none.
            asked_ms: Monotonic time at which it was asked.
        """
        if not started_wall_ms:
            return
        seen = self._seen.pop(server_id, None)
        if seen is None or seen.asked_ms < asked_ms:
            seen = _SeenStart(started_wall_ms, asked_ms)
        self._seen[server_id] = seen
        while len(self._seen) > MAX_SEEN_STARTS:
            del self._seen[next(iter(self._seen))]

    def read_runs(self, server: BackendServer) -> EngineRuns:
        """Ask an engine for its start and its runs, and remember its start.

        Raises:
            BackendError: It did not answer.
        """
        asked_ms = self._deps.clock.monotonic_ms()
        runs = self._deps.read_runs(server)
        self.record(server.server_id, runs.started_wall_ms, asked_ms)
        return runs

    def is_proved(self, server: BackendServer, connected_ms: float) -> bool:
        """Return whether the registered start accepted a connection.

        Args:
            server: The engine, as it was registered before the connection was opened.
            connected_ms: Monotonic time at which the connection was open.
        """
        seen = self._seen.get(server.server_id)
        if seen is None or seen.asked_ms < connected_ms:
            return False
        return seen.started_wall_ms == server.started_wall_ms

    def check(self, job: Job, server: BackendServer, connected_ms: float) -> None:
        """Check that the start of an engine that is registered accepted a connection.

        Raises:
            BackendError: Another start answers, or none; the request was not sent.
        """
        try:
            self._ask_after(job.abort, job.request_id, server, connected_ms)
        except BackendError as error:
            raise BackendError(str(error), RunVerdict.NOT_RUN, error.code) from error
        if not self.is_proved(server, connected_ms):
            raise BackendError(
                "another start of the engine answers",
                RunVerdict.NOT_RUN,
                OTHER_START_CODE,
            )

    def prove(self, job: Job, server: BackendServer, connected_ms: float) -> bool:
        """Ask an engine, unless it is proved, which start accepted a connection."""
        try:
            self._ask_after(AbortHandle(), job.request_id, server, connected_ms)
        except BackendError:
            # The failure of the stream is in the log; this adds nothing to it.
            return False
        return self.is_proved(server, connected_ms)

    def prove_in_time(
        self,
        job: Job,
        server: BackendServer,
        connected_ms: float,
        is_needed: Callable[[], bool],
    ) -> bool:
        """Wait for a proof that costs nothing, and ask the engine if none comes.

        Hosts poll the reports of busy engines for each other. An engine that limits
        requests is not asked: its registration counts once another one would have
        arrived.

        Args:
            job: The call of the stream.
            server: The engine.
            connected_ms: Monotonic time at which the connection was open.
            is_needed: Whether the stream still needs the proof.
        """
        while not self.is_proved(server, connected_ms):
            if not is_needed():
                return False
            elapsed_ms = self._deps.clock.monotonic_ms() - connected_ms
            is_limited = self._deps.is_limited(server)
            if is_limited and elapsed_ms >= REGISTRATION_LAG_MS:
                return self._deps.is_registered(server)
            if not is_limited and elapsed_ms >= POLL_WAIT_MS:
                return self.prove(job, server, connected_ms)
            self._deps.clock.sleep_ms(PROOF_CHECK_MS)
        return True

    def _ask_after(
        self,
        abort: AbortHandle,
        request_id: str,
        server: BackendServer,
        connected_ms: float,
    ) -> None:
        """Make sure that an engine was asked after a time, by whichever stream.

        Raises:
            BackendError: It did not answer.
        """
        while True:
            seen = self._seen.get(server.server_id)
            if seen is not None and seen.asked_ms >= connected_ms:
                return
            asking = self._asking.get(server.server_id)
            if asking is None:
                self._ask(abort, request_id, server)
                return
            # It may have been asked before the connection was opened.
            outcome = asking.get()
            if isinstance(outcome, BackendError):
                raise outcome.without_traceback()
            if outcome >= connected_ms:
                return

    def _ask(self, abort: AbortHandle, request_id: str, server: BackendServer) -> None:
        result = self._asking[server.server_id] = AsyncResult()
        asked_ms = self._deps.clock.monotonic_ms()
        try:
            permits = self._deps.permits
            if not permits.acquire(server, PERMIT_WAIT_MS, abort, request_id):
                raise BackendError(NO_PERMIT_REASON, RunVerdict.NOT_RUN, "no_permit")
            asked_ms = self._deps.clock.monotonic_ms()
            self.read_runs(server)
            result.set(asked_ms)
        except BackendError as error:
            result.set(error.without_traceback())
            raise
        finally:
            del self._asking[server.server_id]
            if not result.ready():
                result.set(0.0)
