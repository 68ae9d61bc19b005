"""Decides whether an answer that ends with its connection is complete."""

from collections.abc import Callable
from typing import NamedTuple

from gypsumfield.exceptions import BackendError
from gypsumfield.gateway.events import UnmarkedEnd
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.model import CallKind
from gypsumfield.interfaces import EmitEvent
from gypsumfield.verdicts import RunVerdict


class EndDependencies(NamedTuple):
    """Dependencies of `AnswerEnds`.

    Attributes:
        has_crashed: Returns whether a server that was not leaving has ended.
        emit: Writes an event to the log.
    """

    has_crashed: Callable[[BackendServer], bool]
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
            BackendError: The server broke the answer off.
        """
        reason = ""
        if job.route.kind is CallKind.STREAM and self._deps.has_crashed(server):
            reason = "the engine ended with the stream"
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
