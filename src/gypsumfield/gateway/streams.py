"""Relays a caller's stream from an engine and resumes it if that fails or leaves."""

from collections.abc import Iterator

from gypsumfield.decisions.placement import planned_tokens
from gypsumfield.event_stream import EventIds
from gypsumfield.event_stream import StreamEvent
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.attempt import log_placement
from gypsumfield.gateway.attempt import open_answer
from gypsumfield.gateway.attempt import OpenAnswer
from gypsumfield.gateway.attempt import read_whole_body
from gypsumfield.gateway.attempt import record_failure
from gypsumfield.gateway.attempt import refusal_after_failure
from gypsumfield.gateway.attempt import SUCCESS_STATUSES
from gypsumfield.gateway.calls import ResumePoint
from gypsumfield.gateway.calls import SendOptions
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.part_guard import PartGuard
from gypsumfield.gateway.plain_calls import BufferedAnswer
from gypsumfield.gateway.run_copies import RunCopies
from gypsumfield.gateway.run_ends import NOT_ENDED_CODE
from gypsumfield.gateway.run_ends import PreviousRun
from gypsumfield.gateway.run_reader import RunReader
from gypsumfield.gateway.server_placement import ServerPlacement
from gypsumfield.gateway.stream_dependencies import StreamDependencies
from gypsumfield.gateway.stream_progress import StreamProgress
from gypsumfield.gateway.stream_retries import may_retry
from gypsumfield.gateway.stream_version import StreamVersion
from gypsumfield.verdicts import RunVerdict

# Resumptions of a stream without a further event.
MAX_FUTILE_RESUMES = 4


class Stream:
    """One caller's stream, across all engines that run it one after the other.

    Attributes:
        job: Call of the stream.
        server: Engine that runs it now.
        run: Ledger entry of the run, which counts its load on the engine.
        last_event_id: Id of the last event sent to the caller, or empty.
        event_count: Events sent to the caller.
        last_received_ms: Monotonic time of the last event received from the engine.
        copies: Copies of its key-value cache on other engines.
        version: Software version to which it is bound.
        headers: Headers of the answer for the caller, once it is open.
    """

    def __init__(self, deps: StreamDependencies, job: Job) -> None:
        self.job = job
        self.last_event_id = job.call.last_event_id
        self.event_count = 0
        self.last_received_ms = deps.attempts.clock.monotonic_ms()
        self.copies = RunCopies(deps.copies, job)
        self.headers: list[tuple[str, str]] = []
        self.version = StreamVersion(job, deps.takeover, deps.attempts.engine_starts)
        self.server: BackendServer
        self.run: Run
        self._deps = deps
        self._answer: OpenAnswer | None = None
        self._unsent: list[StreamEvent] = []
        self._received_ids = EventIds(job.call.last_event_id)
        self._futile_resume_count = 0
        self._reader: RunReader | None = None
        self._tried_ids: list[str] = []
        self._run_count = 0
        self._has_ended = False
        self._is_at_engine = False
        self._run_error: BackendError | None = None
        self._previous_run = PreviousRun(deps.run_ends, job)
        self._progress = StreamProgress(
            deps.attempts, job, deps.tokens_per_event(job.service)
        )

    def open(self) -> BufferedAnswer | None:
        """Start the stream on an engine and wait for its first event.

        Returns:
            The whole answer if it is not a success, else None.

        Raises:
            RefusedError: No engine could run the stream.
        """
        self.version.take_up()
        try:
            return self._open_until_first_event()
        except BaseException:
            self.close()
            raise

    def events(self) -> Iterator[bytes]:
        """Yield the stream's bytes, in complete events.

        Raises:
            BackendError: The stream broke and cannot be resumed.
            RefusedError: The stream broke and no engine can resume it in time.
        """
        while True:
            try:
                while self._unsent:
                    batch, self._unsent = self._unsent, []
                    yield b"".join(event.data for event in batch)
                    self._record_sent_events(batch)
                if self._has_ended:
                    break
                self._read_events()
            except BackendError as error:
                self._resume_elsewhere(error)
        if self._reader and (remainder := self._reader.remainder()):
            yield remainder
        self._progress.record_complete(self.server.server_id, self._run_count == 1)

    def close(self) -> None:
        """End the stream, even if its answer has not been read completely."""
        self._deps.registry.discard(self)
        is_complete = self._has_ended and not self._unsent
        if self._answer is not None:
            exchange = self._answer.exchange
            (exchange.finish if is_complete else exchange.close)()
            self._answer = None
        self._reader = None
        self.copies.close()
        self.version.close(is_complete)
        if hasattr(self, "run"):
            self._deps.ledger.end(self.run)

    @property
    def generated_tokens(self) -> int:
        """Tokens sent to the caller."""
        return self.event_count * self._deps.tokens_per_event(self.job.service)

    def _open_until_first_event(self) -> BufferedAnswer | None:
        peak_tokens = self._planned_tokens()
        resume = ResumePoint(self.last_event_id) if self.last_event_id else None
        while True:
            placement = self._acquire_placement(peak_tokens)
            try:
                answer = self._send_to(placement.server, resume, placement.reservation)
                if answer.status not in SUCCESS_STATUSES:
                    return self._read_failure(answer)
                self.headers = self._deps.attempts.wire.answer_headers(answer.headers)
                while not self._has_unsent_event and not self._has_ended:
                    self._read_events()
            except BackendError as error:
                self._record_failure(error)
                if not self._run_count:
                    self._deps.attempts.part_guard.refuse_condemned(self.job)
                if error.verdict is not RunVerdict.NOT_RUN:
                    self._run_error = error.without_traceback()
                if not self._may_retry(error):
                    raise self._final_refusal(self._run_error or error) from error
                continue
            return None

    def _final_refusal(self, error: BackendError) -> RefusedError:
        pause_ms = self._deps.attempts.placer.pause_ms(self.job.service)
        return refusal_after_failure(error, self._remaining_ms() <= 0.0, pause_ms)

    def _acquire_placement(self, peak_tokens: int) -> ServerPlacement:
        """Return a placement, queueing while the stream can still start in time."""
        try:
            placement = self._deps.queue.acquire(
                self.job, self.version.requirement, peak_tokens, self._tried_ids
            )
        except RefusedError:
            if self._run_error is None:
                raise
            # The refusal would state that the stream has not run.
            raise self._final_refusal(self._run_error) from None
        is_resumed = bool(self.last_event_id)
        attempt = len(self._tried_ids) + 1
        log_placement(self._deps.attempts, self.job, placement, attempt, is_resumed)
        self._progress.is_pace_sample = placement.is_pace_sample
        return placement

    def _send_to(
        self, server: BackendServer, resume: ResumePoint | None, reservation: str = ""
    ) -> OpenAnswer:
        """Send the request to an engine and read the headers of its answer.

        Raises:
            BackendError: The attempt failed, or the run before may still go on.
        """
        if self._answer is not None:
            self._answer.exchange.close()
        if copy := self._previous_run.end(server):
            resume = copy._replace(last_event_id=self.last_event_id)
            reservation = ""
        call = self.job.call
        self.server = server
        self.run = Run(server.server_id, call.prompt_tokens, self.job.expected_tokens)
        self.run.generated_tokens = self.generated_tokens
        self._reader = None
        self._unsent = []
        self._tried_ids.append(server.server_id)
        self._run_count += 1
        self._is_at_engine = True
        self._deps.ledger.begin(self.run)
        self.last_received_ms = self._deps.attempts.clock.monotonic_ms()
        self._progress.sent_ms = self.last_received_ms
        self._previous_run.begin(server, self.last_received_ms)
        self._deps.registry.add(self)
        if not self.job.route.is_resumable:
            self.copies.select_backup(
                server, self.job.expected_tokens, self.generated_tokens
            )
        options = SendOptions(
            server.server_id,
            self.version.requirement,
            max(1.0, self._remaining_ms()),
            self.job.account_name,
            resume=resume,
            backup_address=self.copies.backup_address,
            reservation=reservation,
        )
        try:
            self._answer = open_answer(self._deps.attempts, self.job, server, options)
        except BackendError as error:
            if error.verdict is RunVerdict.NOT_RUN:
                self._run_count -= 1
                self._previous_run.discard()
            raise
        self._reader = RunReader(
            self._answer.exchange,
            self._check_unmarked_end,
            self._received_ids if self.event_count else None,
        )
        return self._answer

    def _planned_tokens(self) -> int:
        prompt, expected = self.job.call.prompt_tokens, self.job.expected_tokens
        return planned_tokens(prompt, self.generated_tokens, expected, is_copy=False)

    @property
    def can_resume_elsewhere(self) -> bool:
        """Whether the stream could be resumed if its engine failed now."""
        return self.job.route.is_resumable or self.copies.has_usable_backup

    def _read_events(self) -> None:
        """Read one chunk and store what it completes; only events are progress."""
        assert self._reader is not None and self._answer is not None
        self._unsent += self._reader.read()
        self._has_ended = self._reader.has_ended
        if self._has_unsent_event:
            self.last_received_ms = self._deps.attempts.clock.monotonic_ms()
            self.version.record_events(self.server, self._answer.connected_ms)
            self._deps.ledger.mark_prompt_processed(self.run)

    @property
    def _has_unsent_event(self) -> bool:
        return any(not piece.is_filler for piece in self._unsent)

    def _check_unmarked_end(self) -> None:
        received_count = max(self.event_count, self._received_ids.count)
        self._deps.attempts.answer_ends.check(self.job, self.server, received_count)

    def _read_failure(self, answer: OpenAnswer) -> BufferedAnswer:
        body = read_whole_body(self._deps.attempts, self.job, self.server, answer)
        self._has_ended = True
        headers = self._deps.attempts.wire.answer_headers(answer.headers)
        self.close()
        return BufferedAnswer(answer.status, headers, body)

    def _resume_elsewhere(self, error: BackendError) -> None:
        """Resume on another engine after a failure, or raise the last error."""
        self.version.record_failure(self.server)
        self._record_failure(error)
        while True:
            self._futile_resume_count += 1
            is_futile = self._futile_resume_count > MAX_FUTILE_RESUMES
            # The caller may take the stream up once a run that goes on has ended.
            is_final = is_futile or error.code == NOT_ENDED_CODE
            if is_final or self.job.abort.reason or self._remaining_ms() <= 0.0:
                raise error.without_traceback()
            copies = self.copies.resume_points()
            if copies:
                self._resume_copy(copies)
                return
            if self._resume_at_other_host():
                return
            if not self.job.route.is_resumable or not self._may_retry(error):
                raise error.without_traceback()
            placement = self._acquire_placement(self._planned_tokens())
            resume = ResumePoint(self.last_event_id)
            try:
                self._resume_on(placement.server, resume, placement.reservation)
                return
            except BackendError as failure:
                self._record_failure(failure)
                error = failure.without_traceback()

    def _resume_at_other_host(self) -> bool:
        """Let the stream go on through a host that has a path; return if it does."""
        placer = self._deps.attempts.placer
        if not (self.job.route.is_resumable and placer.should_forward(self.job)):
            return False
        forwarded = self._deps.forward(self.job, self.last_event_id)
        if forwarded is None:
            return False
        if self._answer is not None:
            self._answer.exchange.close()
        self._answer = forwarded.answer
        self._reader = RunReader(
            forwarded.answer.exchange, self._check_unmarked_end, self._received_ids
        )
        self._deps.registry.discard(self)
        return True

    def _resume_copy(self, copies: list[tuple[BackendServer, ResumePoint]]) -> None:
        now_ms = self._deps.attempts.clock.monotonic_ms()
        # The retry is counted but not limited: the run cannot continue without it.
        share = self._deps.retry_share(self.job.service)
        share.take(now_ms, self._deps.host_count())
        for number, (server, resume) in enumerate(copies, 1):
            point = resume._replace(last_event_id=self.last_event_id)
            try:
                self._resume_on(server, point)
                return
            except BackendError as error:
                is_last = number == len(copies)
                if error.verdict is not RunVerdict.NOT_RUN or is_last:
                    raise
                self._record_failure(error)

    def stop_if_condemned(self, guard: PartGuard) -> None:
        """Take the stream off an engine that it would crash with its first event."""
        is_unanswered = self._is_at_engine and not self.event_count
        if is_unanswered and (reason := guard.condemned_reason(self.job)):
            self.job.abort.abort(reason)

    def abandon_engine(self) -> None:
        """Stop reading from an unreachable engine if the stream can be resumed.

        Otherwise it waits: an engine behind a partition continues the run, and a late
        answer is better than none.
        """
        can_resume = self.job.route.is_resumable or bool(self.copies.resume_points())
        if can_resume and self._answer is not None:
            self._previous_run.record_unreachable()
            self._answer.exchange.abandon()

    def _resume_on(
        self, server: BackendServer, resume: ResumePoint, reservation: str = ""
    ) -> None:
        answer = self._send_to(server, resume, reservation)
        self.copies.release_on_demand_copy()
        if answer.status not in SUCCESS_STATUSES:
            raise BackendError(
                f"the engine answered {answer.status} to a resumption",
                RunVerdict.MAY_HAVE_RUN,
                "resume_refused",
            )
        version = self.version.requirement.version
        self._progress.record_resumed(server, self.event_count, version)

    def _may_retry(self, error: BackendError) -> bool:
        refused_count = len(self._tried_ids) - self._run_count
        return may_retry(self._deps, self.job, error, self._run_count, refused_count)

    def _remaining_ms(self) -> float:
        return self.job.remaining_ms(self._deps.attempts.clock)

    def _record_failure(self, error: BackendError) -> None:
        self._is_at_engine = False
        self._deps.ledger.end(self.run)
        record_failure(
            self._deps.attempts,
            self.job,
            self.server,
            len(self._tried_ids),
            error,
            self._progress.sent_ms,
            self.event_count,
        )

    def _record_sent_events(self, batch: list[StreamEvent]) -> None:
        events = [piece for piece in batch if not piece.is_filler]
        if not events:
            return
        if not self.event_count:
            elapsed_ms = self.last_received_ms - self.job.started_ms
            self._deps.attempts.placer.record_success(self.server, elapsed_ms)
        self._progress.record_events(
            len(events), self.last_received_ms, self.server.server_id
        )
        self.event_count += len(events)
        self._futile_resume_count = 0
        self._received_ids.record(events)
        self.last_event_id = events[-1].event_id or self.last_event_id
        self.run.generated_tokens = self.generated_tokens
        self.copies.record_generated(self.generated_tokens)

    def log_broken_stream(self, error: BackendError | RefusedError) -> None:
        """Log that the caller's stream was cut off before its last event."""
        self._progress.log_broken(error, self.server.server_id)
