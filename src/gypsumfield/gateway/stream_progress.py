"""Records the events of one stream: its latency, its pace and its end."""

from gypsumfield.events import FirstToken
from gypsumfield.events import RequestCompleted
from gypsumfield.events import RequestFailed
from gypsumfield.events import StreamResumed
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.attempt import AttemptDependencies
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import BackendServer
from gypsumfield.verdicts import RunVerdict

# An engine that crashes on a prompt does so before the first event is complete, or
# very soon after.
ANSWER_CONFIRMATION_MS = 500.0


class StreamProgress:
    """Times of one stream's events, and what they show about its engine.

    Attributes:
        sent_ms: Monotonic time at which the request was last sent.
        is_pace_sample: Whether the time to the first event shows the engine's speed.
    """

    def __init__(
        self, deps: AttemptDependencies, job: Job, tokens_per_event: int
    ) -> None:
        self.sent_ms = 0.0
        self.is_pace_sample = False
        self._deps = deps
        self._job = job
        self._tokens_per_event = tokens_per_event
        self._event_count = 0
        self._is_answer_recorded = False
        self._first_event_ms = 0.0
        self._last_event_ms = 0.0
        self._last_server_id = ""
        self._longest_gap_ms = 0.0

    def record_events(self, count: int, received_ms: float, server_id: str) -> None:
        """Record events that were sent to the caller, and when they were received."""
        if not self._event_count:
            self._record_first_event(received_ms, server_id)
        else:
            gap_ms = received_ms - self._last_event_ms
            self._longest_gap_ms = max(self._longest_gap_ms, gap_ms)
            if server_id == self._last_server_id:
                paces = self._deps.placer.engine_paces
                # Events that arrive together were delayed together.
                paces.record_gap(server_id, gap_ms / count)
        self._last_event_ms = received_ms
        self._last_server_id = server_id
        self._event_count += count
        if received_ms - self._first_event_ms >= ANSWER_CONFIRMATION_MS:
            self._record_answer(is_complete=False)

    def record_complete(self, server_id: str, is_single_run: bool) -> None:
        """Record the end of the stream; one engine may have run it from its start."""
        job, deps = self._job, self._deps
        token_count = self._event_count * self._tokens_per_event
        if self._event_count:
            self._record_answer(is_complete=True)
        if is_single_run:
            estimator = deps.placer.pace_estimator(job.service)
            elapsed_ms = self._last_event_ms - self._first_event_ms
            estimator.record_end(token_count - self._tokens_per_event, elapsed_ms)
        deps.emit(
            RequestCompleted(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                backend_server=server_id,
                elapsed_ms=deps.clock.monotonic_ms() - job.started_ms,
                token_count=token_count,
                longest_gap_ms=self._longest_gap_ms,
                max_pause_ms=job.route.max_pause_ms or 0.0,
            )
        )

    def record_resumed(
        self, server: BackendServer, event_count: int, begun_version: str
    ) -> None:
        """Log that the stream goes on at an engine after so many events."""
        self._deps.emit(
            StreamResumed(
                request_id=self._job.request_id,
                account=self._job.account_name,
                service=self._job.service,
                backend_server=server.server_id,
                after_sequence=event_count,
                begun_version=begun_version,
                software_version=server.software_version,
            )
        )

    def log_broken(self, error: BackendError | RefusedError, server_id: str) -> None:
        """Log that the caller's stream was cut off before its last event."""
        code = error.refusal.code if isinstance(error, RefusedError) else error.code
        self._deps.emit(
            RequestFailed(
                request_id=self._job.request_id,
                account=self._job.account_name,
                service=self._job.service,
                backend_server=server_id,
                code=code,
                verdict=RunVerdict.MAY_HAVE_RUN.value,
                reason=str(error),
            )
        )

    def _record_first_event(self, received_ms: float, server_id: str) -> None:
        job, deps = self._job, self._deps
        self._first_event_ms = received_ms
        if self.is_pace_sample:
            estimator = deps.placer.pace_estimator(job.service)
            prompt_ms = received_ms - self.sent_ms
            estimator.record_first_event(job.call.prompt_tokens, prompt_ms)
        deps.emit(
            FirstToken(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                backend_server=server_id,
                elapsed_ms=deps.clock.monotonic_ms() - job.started_ms,
            )
        )

    def _record_answer(self, is_complete: bool) -> None:
        if is_complete or not self._is_answer_recorded:
            self._is_answer_recorded = True
            begun_ms = self._first_event_ms
            self._deps.part_guard.record_answer(self._job, begun_ms, is_complete)
