"""Software version to which one stream is bound from its first event."""

import gevent

from gypsumfield.decisions.software_versions import ANY_VERSION
from gypsumfield.decisions.software_versions import begun_at
from gypsumfield.gateway.engine_starts import EngineStarts
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.stream_takeover import StreamTakeover


class StreamVersion:
    """Binds a stream to the version of the engine that makes its first event.

    The registration may be behind the engine, so the version counts only once the
    registered start has answered after the connection was opened. Until then other
    hosts are not told, and the stream does not go on elsewhere.

    Attributes:
        requirement: Software version that an engine must have to run the stream.
    """

    def __init__(
        self, job: Job, takeover: StreamTakeover, starts: EngineStarts
    ) -> None:
        self.requirement = ANY_VERSION
        self._job = job
        self._takeover = takeover
        self._starts = starts
        self._first_server: BackendServer | None = None
        self._connected_ms = 0.0
        self._is_proved = False
        self._is_given_up = False
        self._is_closed = False

    def take_up(self) -> None:
        """Bind a stream that the caller takes up again; may block for other hosts."""
        self.requirement = self._takeover.requirement(self._job)

    def record_events(self, server: BackendServer, connected_ms: float) -> None:
        """Record that the caller gets events from a server.

        Args:
            server: The server.
            connected_ms: Monotonic time at which the connection to it was open.
        """
        if self._first_server is not None:
            return
        self._first_server = server
        self._connected_ms = connected_ms
        if self.requirement.has_begun:
            # The start was checked before the request was sent.
            self._record_proof()
            return
        self.requirement = begun_at(server.software_version)
        if self._starts.is_proved(server, connected_ms):
            self._record_proof()
        else:
            gevent.spawn(self._prove_in_time, server)

    def close(self, is_complete: bool) -> None:
        """Record that the stream has ended; the caller may take up an incomplete one.

        Args:
            is_complete: Whether the caller got all of it.
        """
        self._is_closed = True
        server = self._first_server
        if server and self._needs_proof:
            if self._starts.is_proved(server, self._connected_ms):
                self._record_proof()
            self._is_given_up = is_complete
        if self._is_proved:
            self._takeover.record_ended(self._job)

    def record_failure(self, server: BackendServer) -> None:
        """Forget the version unless the registered start has run the stream.

        May block for the answer of the engine, if it still runs.
        """
        if server is not self._first_server or self._is_proved:
            return
        is_proved = self._starts.prove(self._job, server, self._connected_ms)
        if is_proved and not self._is_proved:
            self._record_proof()
        self._is_given_up = True
        if not self._is_proved:
            self.requirement = begun_at("")

    @property
    def _needs_proof(self) -> bool:
        return not (self._is_proved or self._is_given_up)

    def _prove_in_time(self, server: BackendServer) -> None:
        is_proved = self._starts.prove_in_time(
            self._job, server, self._connected_ms, lambda: self._needs_proof
        )
        if is_proved and self._needs_proof:
            self._record_proof()
            if self._is_closed:
                self._takeover.record_ended(self._job)

    def _record_proof(self) -> None:
        self._is_proved = True
        self._takeover.record_begun(self._job, self.requirement.version)
