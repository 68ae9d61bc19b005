"""Queue of streams that wait until an engine has enough free memory."""

import math
from collections.abc import Callable
from collections.abc import Collection

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.avoidance import ENGINE_FULL_MS
from gypsumfield.decisions.memory_shares import LackKey
from gypsumfield.decisions.permits import wait_limit_ms
from gypsumfield.decisions.queue_waits import QueuedStream
from gypsumfield.decisions.queue_waits import remaining_wait_ms
from gypsumfield.decisions.queue_waits import time_left_ms
from gypsumfield.decisions.software_versions import VersionRequirement
from gypsumfield.events import RequestQueued
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.attempt import refusal_after_failure
from gypsumfield.gateway.events import ReservationRefused
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.queue_entry import queue_rank
from gypsumfield.gateway.queue_entry import QueueEntry
from gypsumfield.gateway.scheduling import PlacementQuery
from gypsumfield.gateway.scheduling import Shortage
from gypsumfield.gateway.server_placement import ServerPlacement
from gypsumfield.interfaces import EmitEvent
from gypsumfield.verdicts import RunVerdict

# An engine that refuses a reservation is full. A stream waits in the queue after
# refusals by this many engines.
MAX_RESERVATION_ATTEMPTS = 3

Advise = Callable[[PlacementQuery], str | None]
Reserve = Callable[[BackendServer, int], str | None]
AcquirePermit = Callable[[Job, BackendServer, int], bool]
RefuseCondemned = Callable[[Job], None]


class StreamQueue:
    """Queues streams until an engine has free memory, the most urgent first."""

    def __init__(
        self,
        placer: Placer,
        reserve: Reserve,
        advise: Advise,
        acquire_permit: AcquirePermit,
        refuse_condemned: RefuseCondemned,
        shortage: Shortage,
        clock: Clock,
        emit: EmitEvent,
    ) -> None:
        """Create an empty queue.

        Args:
            placer: Selects engines.
            reserve: Reserves memory, in tokens, at an engine. Returns the name of
                the reservation, which is empty if the service has no reservations,
                or None if the engine lacks free memory.
            advise: Requests an engine from the zone's first delegate. Returns its
                id, an empty string if no engine is suitable, or None without
                advice.
            acquire_permit: Acquires a permit for a stream on an engine that has
                named a limit, out of a number of candidates. Returns whether it was
                granted.
            refuse_condemned: Raises `RefusedError` for a stream that must not be sent.
            shortage: Decides for streams that lack memory.
            clock: Monotonic clock.
            emit: Writes an event to the log.
        """
        self._placer = placer
        self._reserve = reserve
        self._advise = advise
        self._acquire_permit = acquire_permit
        self._refuse_condemned = refuse_condemned
        self._shortage = shortage
        self._clock = clock
        self._emit = emit
        self._queued: list[QueueEntry] = []

    @property
    def waiting_count(self) -> int:
        """Number of queued streams."""
        return len(self._queued)

    def _waiting_for(self, service: str) -> int:
        return sum(entry.job.service == service for entry in self._queued)

    def wake(self) -> None:
        """Let every queued stream retry its placement: memory may have become free."""
        for entry in self._queued:
            entry.retry_signal.set()

    def acquire(
        self,
        job: Job,
        requirement: VersionRequirement,
        peak_tokens: int,
        tried: Collection[str],
    ) -> ServerPlacement:
        """Return a placement for a stream, waiting while it can be served in time.

        Args:
            job: Call of the stream.
            requirement: Software version that it needs.
            peak_tokens: Memory that the stream needs at its end, in tokens.
            tried: Ids of servers that must not be selected.

        Raises:
            RefusedError: No engine has free memory in time, or the stream must not
                be sent; the refusal says when to retry.
        """
        self._refuse_condemned(job)
        self._refuse_without_version(job, requirement)
        self._refuse_if_paused(job)
        stream = self._shortage.waiting_stream(
            LackKey(job.service, job.priority, job.account_name),
            peak_tokens,
            job.expected_tokens,
        )
        entry = QueueEntry(job, requirement, stream)
        placement = None
        entry.is_above_share = self._shortage.is_above_share(stream.key)
        entry.memory_ratio = self._memory_ratio(entry)
        if not self._must_wait_behind_others(entry):
            placement = self._try_place_in_time(entry, peak_tokens, tried)
        if placement is None:
            self._refuse_without_path(job)
            self._refuse_if_hopeless(entry)
            placement = self._wait(entry, peak_tokens, tried)
        if placement is None and not job.abort.reason:
            # A late answer has less value for the caller, but still some.
            placement = self._try_place(entry, peak_tokens, tried, math.inf)
        if placement is None:
            self._refuse_if_paused(job)
            raise self._refusal_for_lack(entry)
        return placement

    def _refuse_if_hopeless(self, entry: QueueEntry) -> None:
        """Refuse a stream at once if others will use all memory that becomes free.

        Raises:
            RefusedError: The refusal says when to retry.
        """
        queued = self._queued_stream(entry.job)
        if entry.requirement.has_begun or remaining_wait_ms(queued) <= 0.0:
            return
        if not self._shortage.can_start_in_time(entry.stream, queued):
            self._refuse_if_paused(entry.job)
            raise self._refusal_for_lack(entry)

    def _refusal_for_lack(self, entry: QueueEntry) -> RefusedError:
        """Return the refusal of a stream for lack of memory, and record it.

        A caller that has left does not return: it is neither counted nor given a time
        that another one could have.
        """
        job, stream = entry.job, entry.stream
        if job.abort.reason:
            return RefusedError(Refusal(503, "engines_full", job.abort.reason))
        self._shortage.lacks.record_refusal(stream.key, stream.peak_tokens)
        return RefusedError(
            Refusal(
                503,
                "engines_full",
                "no engine has room in time",
                retry_after_ms=self._shortage.retry_after_ms(
                    job.service,
                    self._queued_stream(job),
                    self._waiting_for(job.service),
                ),
            )
        )

    def _refuse_without_version(
        self, job: Job, requirement: VersionRequirement
    ) -> None:
        """Refuse a stream at once if it can go on nowhere.

        Raises:
            RefusedError: There is no time to wait for; the caller may start again.
        """
        if not self._placer.has_version(job.service, requirement):
            is_known = not requirement.has_begun or requirement.version
            raise RefusedError(
                Refusal(
                    503,
                    "version_gone" if is_known else "version_unknown",
                    "no engine has the software version at which the stream began"
                    if is_known
                    else "no host knows the software version of the stream",
                )
            )

    def _refuse_without_path(self, job: Job) -> None:
        """Refuse a stream at once while this host reaches no engine.

        Raises:
            RefusedError: Another host may serve it.
        """
        if self._placer.has_lost_path(job.service):
            error = BackendError(
                "no engine is reachable", RunVerdict.NOT_RUN, "unreachable"
            )
            raise refusal_after_failure(error, is_late=False)

    def _refuse_if_paused(self, job: Job) -> None:
        """Refuse a stream at once if every engine is paused or has no permit in time.

        Raises:
            RefusedError: The refusal says when the first engine accepts requests.
        """
        waited_ms = self._clock.monotonic_ms() - job.started_ms
        max_wait_ms = wait_limit_ms(job.route.target_latency_ms, waited_ms)
        pause_ms = self._placer.pause_ms(job.service, max_wait_ms)
        if pause_ms > 0.0:
            raise RefusedError(
                Refusal(
                    503,
                    "engines_quiet",
                    "every engine has requested a pause or reached its limit",
                    retry_after_ms=pause_ms,
                )
            )

    def _wait(
        self, entry: QueueEntry, peak_tokens: int, tried: Collection[str]
    ) -> ServerPlacement | None:
        job = entry.job
        stream = entry.stream
        self._queued.append(entry)
        self._queued.sort(key=queue_rank)
        self._shortage.lacks.add_waiting(stream.key, stream.peak_tokens)
        self._emit(
            RequestQueued(
                request_id=job.request_id,
                account=job.account_name,
                service=job.service,
                queue_length=self.waiting_count,
            )
        )
        try:
            while not job.abort.reason:
                self._refuse_without_path(job)
                max_wait_ms = remaining_wait_ms(self._queued_stream(job))
                if max_wait_ms <= 0.0:
                    return None
                job.abort.attach(entry.retry_signal.set)
                entry.retry_signal.wait(min(max_wait_ms, ENGINE_FULL_MS) / MS_PER_S)
                entry.retry_signal.clear()
                self._refuse_condemned(job)
                self._refuse_without_version(job, entry.requirement)
                entry.is_above_share = self._shortage.is_above_share(stream.key)
                self._queued.sort(key=queue_rank)
                if self._must_wait_behind_others(entry):
                    continue
                placement = self._try_place_in_time(entry, peak_tokens, tried)
                if placement is not None:
                    return placement
            return None
        finally:
            job.abort.attach(None)
            self._queued.remove(entry)
            self._shortage.lacks.remove_waiting(stream.key, stream.peak_tokens)
            self.wake()

    def _try_place_in_time(
        self, entry: QueueEntry, peak_tokens: int, tried: Collection[str]
    ) -> ServerPlacement | None:
        remaining_ms = time_left_ms(self._queued_stream(entry.job))
        return self._try_place(entry, peak_tokens, tried, remaining_ms)

    def _try_place(
        self,
        entry: QueueEntry,
        peak_tokens: int,
        tried: Collection[str],
        remaining_ms: float,
    ) -> ServerPlacement | None:
        """Return a placement whose memory the engine has reserved, or None."""
        job = entry.job
        # The query refers to both lists, which grow with each attempt.
        full_engines: list[str] = []
        excluded = list(tried)
        memory_ratio = entry.memory_ratio = self._memory_ratio(entry)
        query = PlacementQuery(
            0,
            job.service,
            peak_tokens,
            job.call.prompt_tokens,
            remaining_ms,
            excluded,
            full_engines,
            *entry.requirement,
            memory_ratio=memory_ratio,
        )
        for _ in range(MAX_RESERVATION_ATTEMPTS):
            placement = self._placer.place_stream(query)
            if placement is None:
                if memory_ratio < math.inf:
                    self._shortage.record_held(entry.stream, memory_ratio)
                return None
            advice = self._advise(query)
            if advice == "":
                return None
            if advice is not None:
                placement = (
                    self._placer.place_at(advice, entry.requirement) or placement
                )
            if not self._acquire_permit(
                job, placement.server, placement.candidate_count
            ):
                if job.abort.reason:
                    return None
                excluded.append(placement.server.server_id)
                continue
            reservation = self._reserve_memory(job, placement, peak_tokens)
            if reservation is not None:
                return placement._replace(reservation=reservation)
            full_engines.append(placement.server.server_id)
        return None

    def _memory_ratio(self, entry: QueueEntry) -> float:
        """Return the share of an engine's memory that a stream may fill."""
        if entry.requirement.has_begun:
            return math.inf
        queued = self._queued_stream(entry.job)
        return self._shortage.memory_ratio(entry.stream, queued)

    def _reserve_memory(
        self, job: Job, placement: ServerPlacement, peak_tokens: int
    ) -> str | None:
        reason = "the engine lacks free memory"
        try:
            reservation = self._reserve(placement.server, peak_tokens)
        except BackendError as error:
            self._placer.record_failure(placement.server, is_unreachable=True)
            reservation, reason = None, str(error)
        if reservation is None:
            self._placer.record_full(placement.server)
            self._emit(
                ReservationRefused(
                    request_id=job.request_id,
                    account=job.account_name,
                    service=job.service,
                    backend_server=placement.server.server_id,
                    stream_count=placement.stream_count,
                    committed_tokens=placement.committed_tokens,
                    reason=reason,
                )
            )
        return reservation

    def _must_wait_behind_others(self, entry: QueueEntry) -> bool:
        """Return whether a stream that ranks higher waits for the same engines.

        A stream that has begun waits for those of its version only. No stream waits
        behind one that may fill less of an engine: that one is held back although an
        engine may have room.
        """
        for other in self._queued:
            if other is entry:
                return False
            if other.job.service != entry.job.service:
                continue
            if other.requirement != entry.requirement:
                continue
            if other.memory_ratio < entry.memory_ratio:
                continue
            if entry in self._queued or other.standing <= entry.standing:
                return True
        return False

    def _queued_stream(self, job: Job) -> QueuedStream:
        return QueuedStream(
            waited_ms=self._clock.monotonic_ms() - job.started_ms,
            target_latency_ms=job.route.target_latency_ms,
            remaining_ms=job.remaining_ms(self._clock),
            prompt_tokens=job.call.prompt_tokens,
            pace=self._placer.pace(job.service),
        )
