"""Notices in answers of backend servers: that they leave, or accept no requests now."""

import math
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from gypsumfield.clock import Clock
from gypsumfield.decisions.brittle_servers import HostPosition
from gypsumfield.decisions.brittle_servers import place_share
from gypsumfield.decisions.brittle_servers import RefusalRecords
from gypsumfield.decisions.server_limits import LimitRecords
from gypsumfield.decisions.server_limits import LimitStatement
from gypsumfield.decisions.server_pauses import MAX_PAUSE_MS
from gypsumfield.decisions.server_pauses import ServerPauses
from gypsumfield.gateway.calls import AnswerMetadata
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.events import OddNotice
from gypsumfield.gateway.events import ServerBrittle
from gypsumfield.gateway.events import ServerLimit
from gypsumfield.gateway.events import ServerQuiet
from gypsumfield.gateway.model import BackendServer
from gypsumfield.interfaces import EmitEvent

# One odd notice is logged per server start. This many starts are recorded for it; odd
# notices of older ones may be logged again.
LOGGED_START_LIMIT = 256


class NoticeDependencies(NamedTuple):
    """Dependencies of `ServerNotices`.

    Attributes:
        catalogue: Registered servers; those that announce that they will leave are
            marked in it.
        clock: Monotonic clock.
        emit: Writes an event to the log.
    """

    catalogue: Catalogue
    clock: Clock
    emit: EmitEvent


class ServerNotices:
    """Records the notices of servers that answered this host.

    A server with status 503 and ``Retry-After`` asks for a pause, in which this host
    sends it no requests. A server in need names a limit on its requests in each answer.

    Attributes:
        limits: Limits that servers have named, to this host or to others.
        brittle: Requests a second that brittle servers can refuse.
        refusals: Last refusals of brittle servers.
        on_refusal: Called when a brittle server has refused a request of this host.
    """

    def __init__(self, deps: NoticeDependencies) -> None:
        self._deps = deps
        self.limits = LimitRecords()
        self.brittle = LimitRecords()
        self.refusals = RefusalRecords()
        self.on_refusal: Callable[[], None] = lambda: None
        self._pauses = ServerPauses()
        # Used as an ordered set: the oldest entry is evicted first.
        self._logged_odd_starts: dict[tuple[str, int], None] = {}

    def record_answer(
        self,
        server: BackendServer,
        status: int,
        metadata: AnswerMetadata,
        sent_ms: float | None = None,
    ) -> None:
        """Record the notices in the head of an answer.

        Args:
            server: The server to which the request was sent.
            status: HTTP status of the answer.
            metadata: Decoded headers about the server.
            sent_ms: Monotonic time at which a caller's request was sent; None for the
                answer to a call of this host, which may name a limit but not end it.
        """
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another server uses this address now.
            return
        if metadata.is_leaving:
            self._deps.catalogue.mark_leaving(
                server.server_id, "answer", server.started_wall_ms
            )
        if metadata.invalid_header:
            self._log_odd_notice(server, metadata.invalid_header)
        if status == HTTPStatus.SERVICE_UNAVAILABLE and metadata.pause_ms:
            self._start_pause(server, metadata.pause_ms)
        self._record_brittle(server, status, metadata, sent_ms)
        is_trusted = metadata.is_sealed or metadata.is_not_run
        is_end = sent_ms is not None and is_trusted and not metadata.has_limit
        if metadata.limit_per_s is not None or is_end:
            now_ms = self._deps.clock.monotonic_ms()
            earliest_ms = -math.inf if sent_ms is None else sent_ms
            statement = LimitStatement(metadata.limit_per_s, earliest_ms, now_ms)
            self.record_limit(
                server.server_id, server.started_wall_ms, statement, "answer"
            )

    def _record_brittle(
        self,
        server: BackendServer,
        status: int,
        metadata: AnswerMetadata,
        sent_ms: float | None,
    ) -> None:
        now_ms = self._deps.clock.monotonic_ms()
        is_end = sent_ms is not None and not metadata.is_brittle
        if metadata.is_brittle or is_end:
            # Without a valid number the server bears no refusal at all.
            number = metadata.refusals_per_s if metadata.is_brittle else None
            if metadata.is_brittle and number is None:
                number = 0.0
            earliest_ms = -math.inf if sent_ms is None else sent_ms
            statement = LimitStatement(number, earliest_ms, now_ms)
            self.record_brittle(
                server.server_id, server.started_wall_ms, statement, "answer"
            )
        is_refusal = metadata.is_not_run and status == HTTPStatus.SERVICE_UNAVAILABLE
        if is_refusal and metadata.is_brittle:
            start = (server.server_id, server.started_wall_ms)
            self.refusals.record(*start, now_ms, is_own=True)
            self.on_refusal()

    def record_brittle(
        self,
        server_id: str,
        started_wall_ms: int,
        statement: LimitStatement,
        source: str,
    ) -> None:
        """Record what a server said of the refusals that it bears; log a change."""
        now_ms = self._deps.clock.monotonic_ms()
        if self.brittle.record(server_id, started_wall_ms, statement, now_ms):
            record = self._deps.catalogue.find_server(server_id)
            self._deps.emit(
                ServerBrittle(
                    service=record.server.service if record else "",
                    backend_server=server_id,
                    refusals_per_s=statement.limit_per_s,
                    source=source,
                )
            )

    def is_brittle(self, server: BackendServer) -> bool:
        """Return whether a server says that it falls over when it refuses much."""
        start = (server.server_id, server.started_wall_ms)
        return self.brittle.limit_per_s(*start) is not None

    def place_share(self, server: BackendServer, position: HostPosition) -> int:
        """Return how many requests one host may have at a brittle server at a time."""
        start = (server.server_id, server.started_wall_ms)
        now_ms = self._deps.clock.monotonic_ms()
        refusal_count = self.refusals.count(*start, now_ms)
        return place_share(server.slot_count, position, refusal_count)

    def refusal_pause_ms(self, server: BackendServer) -> float:
        """Return the time for which a brittle server gets no requests, or 0."""
        start = (server.server_id, server.started_wall_ms)
        now_ms = self._deps.clock.monotonic_ms()
        return (
            self.refusals.pause_ms(*start, now_ms) if self.is_brittle(server) else 0.0
        )

    def record_limit(
        self,
        server_id: str,
        started_wall_ms: int,
        statement: LimitStatement,
        source: str,
    ) -> None:
        """Record what a server said about its limit; log a change.

        Args:
            server_id: Id of the server.
            started_wall_ms: Start of the server that made the statement.
            statement: The statement.
            source: Where it came from, for the log.
        """
        previous_per_s = self.limits.limit_per_s(server_id, started_wall_ms)
        now_ms = self._deps.clock.monotonic_ms()
        if not self.limits.record(server_id, started_wall_ms, statement, now_ms):
            return
        record = self._deps.catalogue.find_server(server_id)
        has_sent_time = statement.sent_ms > -math.inf
        self._deps.emit(
            ServerLimit(
                service=record.server.service if record else "",
                backend_server=server_id,
                limit_per_s=statement.limit_per_s,
                previous_per_s=previous_per_s,
                sent_ms_ago=now_ms - statement.sent_ms if has_sent_time else None,
                received_ms_ago=now_ms - statement.received_ms,
                source=source,
            )
        )

    def limit_per_s(self, server: BackendServer) -> float | None:
        """Return the limit on requests of all hosts to a server, or None."""
        return self.limits.limit_per_s(server.server_id, server.started_wall_ms)

    def pause_ms(self, server: BackendServer) -> float:
        """Return the rest of the pause of a server in ms, or 0."""
        return self._pauses.remaining_pause_ms(
            server.server_id,
            server.started_wall_ms,
            self._deps.clock.monotonic_ms(),
        )

    def service_pause_ms(
        self, service: str, permit_wait_ms: Callable[[BackendServer], float]
    ) -> float:
        """Return the time until the first server of a service accepts requests again.

        Args:
            service: The service.
            permit_wait_ms: Returns the time for which a server's limit is used up.

        Returns:
            Milliseconds, or 0 when at least one usable server accepts requests now.
        """
        catalogue = self._deps.catalogue
        times_ms = []
        for record in catalogue.servers_of(service):
            zone = record.server.availability_zone
            if catalogue.is_leaving(record) or zone in catalogue.evacuated_zones:
                continue
            remaining_ms = max(
                self.pause_ms(record.server), permit_wait_ms(record.server)
            )
            if remaining_ms <= 0.0:
                return 0.0
            times_ms.append(remaining_ms)
        return min(times_ms, default=0.0)

    def can_resume(self, server: BackendServer) -> bool:
        """Return whether a server may resume a run during its pause.

        This is for a run that can be resumed nowhere else.
        """
        return self._pauses.can_resume(server.server_id)

    def record_sent(self, server: BackendServer) -> None:
        """Record that a request is sent to a server."""
        self._pauses.record_sent(server.server_id, self._deps.clock.monotonic_ms())

    def _start_pause(self, server: BackendServer, asked_ms: float) -> None:
        now_ms = self._deps.clock.monotonic_ms()
        kept_ms = self._pauses.record_pause(
            server.server_id, server.started_wall_ms, asked_ms, now_ms
        )
        if asked_ms > MAX_PAUSE_MS:
            self._log_odd_notice(server, f"too long a quiet time: {asked_ms:.0f} ms")
        self._deps.emit(
            ServerQuiet(
                service=server.service,
                backend_server=server.server_id,
                asked_ms=asked_ms,
                kept_ms=kept_ms,
            )
        )

    def _log_odd_notice(self, server: BackendServer, text: str) -> None:
        start = (server.server_id, server.started_wall_ms)
        if start in self._logged_odd_starts:
            return
        self._logged_odd_starts[start] = None
        if len(self._logged_odd_starts) > LOGGED_START_LIMIT:
            del self._logged_odd_starts[next(iter(self._logged_odd_starts))]
        self._deps.emit(
            OddNotice(
                service=server.service, backend_server=server.server_id, text=text
            )
        )
