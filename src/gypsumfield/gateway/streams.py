"""Streams: placed on an engine, relayed event by event, carried on when it leaves."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from gypsumfield.decisions.fleet_shares import RetryShare
from gypsumfield.decisions.placement import planned_tokens
from gypsumfield.events import FirstToken
from gypsumfield.events import RequestCompleted
from gypsumfield.events import RequestFailed
from gypsumfield.events import StreamResumed
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.attempt import AttemptDependencies
from gypsumfield.gateway.attempt import log_placement
from gypsumfield.gateway.attempt import note_failure
from gypsumfield.gateway.attempt import open_answer
from gypsumfield.gateway.attempt import OpenAnswer
from gypsumfield.gateway.attempt import refusal_after_failure
from gypsumfield.gateway.attempt import SUCCESS_STATUSES
from gypsumfield.gateway.calls import ResumePoint
from gypsumfield.gateway.calls import SendOptions
from gypsumfield.gateway.event_stream import EventCutter
from gypsumfield.gateway.event_stream import StreamEvent
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.ledger import Ledger
from gypsumfield.gateway.ledger import Run
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.placing import ServerPlacement
from gypsumfield.gateway.plain_calls import ANSWER_LIMIT_BYTES
from gypsumfield.gateway.plain_calls import BufferedAnswer
from gypsumfield.gateway.run_copies import CopyDependencies
from gypsumfield.gateway.run_copies import RunCopies
from gypsumfield.gateway.stream_queue import StreamQueue
from gypsumfield.gateway.stream_registry import StreamRegistry
from gypsumfield.verdicts import RunVerdict

# Engines that refuse a stream are full or leaving; one more is tried than the
# balancer would.
REFUSED_TRIES = 3


class StreamDependencies(NamedTuple):
    """What streams use.

    Attributes:
        attempts: Sending.
        queue: Places on engines.
        ledger: Runs in flight.
        retry_share: This host's part of the repeats of a service.
        host_count: Hosts that may exist; None while too little is known of them.
        tokens_per_event: Tokens in one event of a service's streams.
        copies: Copies of runs.
        registry: Streams that run now, for moves.
    """

    attempts: AttemptDependencies
    queue: StreamQueue
    ledger: Ledger
    retry_share: Callable[[str], RetryShare]
    host_count: Callable[[], int | None]
    tokens_per_event: Callable[[str], int]
    copies: CopyDependencies
    registry: StreamRegistry


class Stream:
    """One caller's stream, over all engines that carry it.

    Attributes:
        job: The request.
        server: Engine that carries it now.
        run: Its part of that engine's load.
        last_event_id: Last event that has left for the caller.
        event_count: Events that have left.
        heard_ms: When the engine was heard last.
        copies: Copies of its memory on other engines.
    """

    def __init__(self, ports: StreamDependencies, job: Job) -> None:
        self.job = job
        self.last_event_id = job.call.last_event_id
        self.event_count = 0
        self.heard_ms = ports.attempts.clock.monotonic_ms()
        self.copies = RunCopies(ports.copies, job)
        self.server: BackendServer
        self.run: Run
        self._ports = ports
        self._answer: OpenAnswer | None = None
        self._pending: list[StreamEvent] = []
        self._cutter = EventCutter()
        self._tried: list[str] = []
        self._run_count = 0
        self._is_over = False
        self._sent_ms = 0.0
        self._shows_prefill_rate = False
        self._first_event_ms = 0.0
        self._delivered_ms = 0.0
        self._longest_gap_ms = 0.0

    def open(self) -> BufferedAnswer | list[tuple[str, str]]:
        """Bring the stream to its first event.

        Returns:
            The headers for the caller; or a whole answer when the engine gave
            one that is no stream.

        Raises:
            RefusedError: No engine serves it.
        """
        clock = self._ports.attempts.clock
        self._ports.retry_share(self.job.service).note_request(clock.monotonic_ms())
        try:
            return self._open_first()
        except BaseException:
            self.close()
            raise

    def events(self) -> Iterator[bytes]:
        """Yield the stream's bytes, whole events at a time.

        Raises:
            BackendError: The stream broke and cannot go on.
        """
        while True:
            try:
                while self._pending:
                    batch, self._pending = self._pending, []
                    yield b"".join(event.data for event in batch)
                    self._note_delivered(batch)
                if self._is_over:
                    break
                self._read_events()
            except BackendError as error:
                self._carry_on(error)
        rest = self._cutter.rest()
        if rest:
            yield rest
        self._note_complete()

    def close(self) -> None:
        """End the stream, whatever has been read of it."""
        self._ports.registry.discard(self)
        if self._answer is not None:
            if self._is_over and not self._pending:
                self._answer.exchange.finish()
            else:
                self._answer.exchange.close()
            self._answer = None
        self.copies.close()
        if hasattr(self, "run"):
            self._ports.ledger.end(self.run)

    @property
    def generated_tokens(self) -> int:
        """Tokens that have left for the caller."""
        return self.event_count * self._ports.tokens_per_event(self.job.service)

    def _open_first(self) -> BufferedAnswer | list[tuple[str, str]]:
        peak_tokens = self._planned_tokens()
        resume = ResumePoint(self.last_event_id) if self.last_event_id else None
        while True:
            place = self._acquire(peak_tokens)
            try:
                answer = self._open_at(place.server, resume, place.reservation)
                if answer.status not in SUCCESS_STATUSES:
                    return self._read_failure(answer)
                headers = self._ports.attempts.wire.answer_headers(answer.headers)
                while not self._pending and not self._is_over:
                    self._read_events()
            except BackendError as error:
                self._note_failure(error)
                if not self._may_retry(error):
                    quiet_ms = self._ports.attempts.placer.quiet_ms(self.job.service)
                    is_late = self._remaining_ms() <= 0.0
                    raise refusal_after_failure(error, is_late, quiet_ms) from error
                continue
            return headers

    def _acquire(self, peak_tokens: int) -> ServerPlacement:
        """Return a place at an engine, waiting for one while that is of use."""
        place = self._ports.queue.acquire(self.job, peak_tokens, self._tried)
        is_resumed = bool(self.last_event_id)
        attempt = len(self._tried) + 1
        log_placement(self._ports.attempts, self.job, place, attempt, is_resumed)
        self._shows_prefill_rate = place.shows_prefill_rate
        return place

    def _open_at(
        self, server: BackendServer, resume: ResumePoint | None, reservation: str = ""
    ) -> OpenAnswer:
        """Send the request to an engine and read the head of its answer."""
        call = self.job.call
        self.server = server
        self.run = Run(server.server_id, call.prompt_tokens, self.job.expected_tokens)
        self.run.generated_tokens = self.generated_tokens
        self._cutter = EventCutter()
        self._tried.append(server.server_id)
        self._run_count += 1
        self._ports.ledger.begin(self.run)
        self.heard_ms = self._sent_ms = self._ports.attempts.clock.monotonic_ms()
        self._ports.registry.add(self)
        if not self.job.route.is_resumable:
            self.copies.select_backup_engine(
                server, self.job.expected_tokens, self.generated_tokens
            )
        order = SendOptions(
            server.server_id,
            max(1.0, self._remaining_ms()),
            self.job.account_name,
            resume=resume,
            backup_address=self.copies.backup_address,
            reservation=reservation,
        )
        try:
            self._answer = open_answer(self._ports.attempts, self.job, server, order)
        except BackendError as error:
            if error.verdict is RunVerdict.NOT_RUN:
                self._run_count -= 1
            raise
        return self._answer

    def _planned_tokens(self) -> int:
        job, generated = self.job, self.generated_tokens
        prompt = job.call.prompt_tokens
        return planned_tokens(prompt, generated, job.expected_tokens, is_copy=False)

    @property
    def is_safe(self) -> bool:
        """Whether it could go on, were its engine gone now."""
        return self.job.route.is_resumable or self.copies.has_backup

    def _read_events(self) -> None:
        """Read until at least one event is whole or the answer has ended."""
        assert self._answer is not None
        chunk = self._answer.exchange.read_chunk()
        self.heard_ms = self._ports.attempts.clock.monotonic_ms()
        if not chunk:
            self._is_over = True
            return
        self._pending = self._cutter.feed(chunk)
        if self._pending:
            self._ports.ledger.mark_prompt_processed(self.run)

    def _read_failure(self, answer: OpenAnswer) -> BufferedAnswer:
        body = answer.exchange.read_body(ANSWER_LIMIT_BYTES, True)
        self._is_over = True
        headers = self._ports.attempts.wire.answer_headers(answer.headers)
        self.close()
        return BufferedAnswer(answer.status, headers, body)

    def _carry_on(self, error: BackendError) -> None:
        """Go on at another engine after a break, or raise the error."""
        self._note_failure(error)
        if self.job.abort.reason or self._remaining_ms() <= 0.0:
            raise error
        copies = self.copies.resume_points()
        if copies:
            self._resume_at_copy(copies)
            return
        if not self.job.route.is_resumable or not self._may_retry(error):
            raise error
        place = self._acquire(self._planned_tokens())
        resume = ResumePoint(self.last_event_id)
        self._open_again(place.server, resume, place.reservation)

    def _resume_at_copy(self, copies: list[tuple[BackendServer, ResumePoint]]) -> None:
        now_ms = self._ports.attempts.clock.monotonic_ms()
        # Counted, but never refused: it is the only way for the run to go on.
        share = self._ports.retry_share(self.job.service)
        share.take(now_ms, self._ports.host_count())
        for number, (server, resume) in enumerate(copies, 1):
            point = resume._replace(last_event_id=self.last_event_id)
            try:
                self._open_again(server, point)
                return
            except BackendError as error:
                is_last = number == len(copies)
                if error.verdict is not RunVerdict.NOT_RUN or is_last:
                    raise
                self._note_failure(error)

    def break_off(self) -> None:
        """End the wait for an engine that is out of reach, if there is a way on.

        Without one the stream waits: behind a partition its engine still works,
        and a late answer is worth more than none.
        """
        has_way_on = self.job.route.is_resumable or bool(self.copies.resume_points())
        if has_way_on and self._answer is not None:
            self._answer.exchange.abandon()

    def _open_again(
        self, server: BackendServer, resume: ResumePoint, reservation: str = ""
    ) -> None:
        if self._answer is not None:
            self._answer.exchange.close()
        answer = self._open_at(server, resume, reservation)
        self.copies.drop_standby()
        if answer.status not in SUCCESS_STATUSES:
            raise BackendError(
                f"the engine answered {answer.status} to a resumption",
                RunVerdict.MAY_HAVE_RUN,
                "resume_refused",
            )
        self._ports.attempts.emit(
            StreamResumed(
                request_id=self.job.request_id,
                account=self.job.account_name,
                service=self.job.service,
                backend_server=server.server_id,
                after_sequence=self.event_count,
            )
        )

    def _may_retry(self, error: BackendError) -> bool:
        if self.job.abort.reason or self._remaining_ms() <= 0.0:
            return False
        if error.verdict is RunVerdict.NOT_RUN:
            if len(self._tried) > self._run_count + REFUSED_TRIES:
                return False
        elif not (
            self.job.route.is_resumable
            and self._run_count < self.job.route.max_attempts
        ):
            return False
        now_ms = self._ports.attempts.clock.monotonic_ms()
        share = self._ports.retry_share(self.job.service)
        return share.take(now_ms, self._ports.host_count())

    def _remaining_ms(self) -> float:
        return self.job.remaining_ms(self._ports.attempts.clock)

    def _note_failure(self, error: BackendError) -> None:
        self._ports.ledger.end(self.run)
        note_failure(
            self._ports.attempts, self.job, self.server, len(self._tried), error
        )

    def _note_delivered(self, batch: list[StreamEvent]) -> None:
        if not self.event_count:
            self._first_event_ms = self.heard_ms
            if self._shows_prefill_rate:
                learner = self._ports.attempts.placer.learner(self.job.service)
                reading_ms = self.heard_ms - self._sent_ms
                learner.note_first_event(self.job.call.prompt_tokens, reading_ms)
            now_ms = self._ports.attempts.clock.monotonic_ms()
            elapsed_ms = now_ms - self.job.started_ms
            self._ports.attempts.placer.note_success(self.server, elapsed_ms)
            self._ports.attempts.emit(
                FirstToken(
                    request_id=self.job.request_id,
                    account=self.job.account_name,
                    service=self.job.service,
                    backend_server=self.server.server_id,
                    elapsed_ms=elapsed_ms,
                )
            )
        else:
            gap_ms = self.heard_ms - self._delivered_ms
            self._longest_gap_ms = max(self._longest_gap_ms, gap_ms)
        self._delivered_ms = self.heard_ms
        self.event_count += len(batch)
        self.last_event_id = batch[-1].event_id or self.last_event_id
        self.run.generated_tokens = self.generated_tokens
        self.copies.note_generated(self.generated_tokens)

    def _note_complete(self) -> None:
        if self._run_count == 1:
            learner = self._ports.attempts.placer.learner(self.job.service)
            first_tokens = self._ports.tokens_per_event(self.job.service)
            elapsed_ms = self._delivered_ms - self._first_event_ms
            learner.note_end(self.generated_tokens - first_tokens, elapsed_ms)
        now_ms = self._ports.attempts.clock.monotonic_ms()
        self._ports.attempts.emit(
            RequestCompleted(
                request_id=self.job.request_id,
                account=self.job.account_name,
                service=self.job.service,
                backend_server=self.server.server_id,
                elapsed_ms=now_ms - self.job.started_ms,
                token_count=self.generated_tokens,
                longest_gap_ms=self._longest_gap_ms,
            )
        )

    def log_broken_stream(self, error: BackendError | RefusedError) -> None:
        """Log that the caller's stream ends without its end."""
        code = error.refusal.code if isinstance(error, RefusedError) else error.code
        self._ports.attempts.emit(
            RequestFailed(
                request_id=self.job.request_id,
                account=self.job.account_name,
                service=self.job.service,
                backend_server=self.server.server_id,
                code=code,
                verdict=RunVerdict.MAY_HAVE_RUN.value,
                reason=str(error),
            )
        )
