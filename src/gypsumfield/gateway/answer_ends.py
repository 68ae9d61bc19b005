"""Decides whether an answer that ends with its connection is complete.

A close of the connection looks the same whether the server has sent the whole answer or
has ended in the middle of it. The answer counts as complete only if the same start of
the server still answers afterwards and shows nothing that the caller lacks.
"""

from collections.abc import Callable
from typing import NamedTuple

from gypsumfield.aborts import AbortHandle
from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.calls import EngineRuns
from gypsumfield.gateway.calls import ServerIdentity
from gypsumfield.gateway.catalogue import Catalogue
from gypsumfield.gateway.events import UnmarkedEnd
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.permits import NO_PERMIT_REASON
from gypsumfield.gateway.permits import Permits
from gypsumfield.interfaces import EmitEvent
from gypsumfield.verdicts import RunVerdict

# The caller has everything but the end of its answer, and waits no longer than for an
# engine that pauses.
PERMIT_WAIT_MS = 1_000.0


class EndDependencies(NamedTuple):
    """Dependencies of `AnswerEnds`.

    Attributes:
        catalogue: Configuration in force and records of servers.
        permits: Permits for calls to servers that have named a limit.
        read_runs: Asks an engine for its start and its runs; raises `BackendError`.
        read_identity: Asks the server at an address for its id and its start; takes
            the server and the path of its health checks; raises `BackendError`.
        emit: Writes an event to the log.
    """

    catalogue: Catalogue
    permits: Permits
    read_runs: Callable[[BackendServer], EngineRuns]
    read_identity: Callable[[BackendServer, str], ServerIdentity]
    emit: EmitEvent


class AnswerEnds:
    """Checks the ends of answers that have neither a length nor chunks."""

    def __init__(self, deps: EndDependencies) -> None:
        self._deps = deps

    def check(self, job: Job, server: BackendServer, event_count: int = 0) -> None:
        """Check that an answer whose connection was closed is complete.

        Args:
            job: The call.
            server: The server that sent the answer.
            event_count: Events of the run that were received; 0 for a plain call.

        Raises:
            BackendError: Nothing shows that the server has sent the whole answer.
        """
        reason = self._unconfirmed_reason(job, server, event_count)
        self._deps.emit(
            UnmarkedEnd(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                backend_server=server.server_id,
                event_count=event_count,
                reason=reason,
            )
        )
        if reason:
            raise BackendError(reason, RunVerdict.MAY_HAVE_RUN, "answer_truncated")

    def _unconfirmed_reason(
        self, job: Job, server: BackendServer, event_count: int
    ) -> str:
        """Return why an answer may have been broken off, or an empty string."""
        deps = self._deps
        record = deps.catalogue.find_server(server.server_id)
        if record and record.server.started_wall_ms != server.started_wall_ms:
            return "the server has started again"
        if not deps.permits.acquire(
            server, PERMIT_WAIT_MS, AbortHandle(), job.request_id
        ):
            return NO_PERMIT_REASON
        spec = deps.catalogue.service_spec(server.service)
        try:
            if spec is not None and spec.engine is not None:
                return _missing_reason(
                    server, deps.read_runs(server), job.request_id, event_count
                )
            health_path = spec.health_path if spec else ""
            identity = deps.read_identity(server, health_path)
        except BackendError as error:
            return f"the server does not answer: {error}"
        started_wall_ms = identity.started_wall_ms or self._reported_start(server)
        if identity.server_id not in ("", server.server_id):
            return "another server has the address"
        if started_wall_ms not in (0, server.started_wall_ms):
            return "another start of the server answers"
        return ""

    def _reported_start(self, server: BackendServer) -> int:
        """Return the start that a server reports; health checks may lack it."""
        try:
            return self._deps.read_identity(server, "").started_wall_ms
        except BackendError:
            # The server has answered the health check; it need not have a report.
            return 0


def _missing_reason(
    server: BackendServer, runs: EngineRuns, request_id: str, event_count: int
) -> str:
    """Return what an engine shows to be missing from a stream, or an empty string.

    A run that has just ended may still be listed, with as many events or fewer.
    """
    if runs.started_wall_ms != server.started_wall_ms:
        return "another start of the engine answers"
    if runs.event_counts.get(request_id, 0) > event_count:
        return "the engine has made more events"
    return ""
