"""Holds streams back until an engine has room for them."""

import math
from collections.abc import Callable
from collections.abc import Collection

from gevent.event import Event as Signal

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.avoidance import ENGINE_FULL_MS
from gypsumfield.decisions.queue_waits import estimated_retry_after_ms
from gypsumfield.decisions.queue_waits import QueuedStream
from gypsumfield.decisions.queue_waits import remaining_wait_ms
from gypsumfield.decisions.queue_waits import time_left_ms
from gypsumfield.events import RequestQueued
from gypsumfield.exceptions import BackendError
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.events import ReservationRefused
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.model import BackendServer
from gypsumfield.gateway.news import PlaceQuestion
from gypsumfield.gateway.placing import Placer
from gypsumfield.gateway.placing import ServerPlacement
from gypsumfield.ports import EmitEvent

# Engines that refuse to reserve memory are full; a request asks this many before
# it waits for a place to come free.
RESERVE_TRIES = 3

Advise = Callable[[PlaceQuestion], str | None]
Reserve = Callable[[BackendServer, int], str | None]


class _Waiter:
    """A stream that is held back."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.is_due = Signal()


class StreamQueue:
    """Holds streams back until an engine has room, the most urgent first."""

    def __init__(
        self,
        placer: Placer,
        reserve: Reserve,
        advise: Advise,
        clock: Clock,
        emit: EmitEvent,
    ) -> None:
        """Start with nobody waiting.

        Args:
            placer: Chooses engines.
            reserve: Reserves tokens of memory at an engine; returns the name of
                the reservation, which is empty where engines reserve none, or
                None without room.
            advise: Names the engine to take, or empty for none, or None without
                advice.
            clock: Time.
            emit: Log.
        """
        self._placer = placer
        self._reserve = reserve
        self._advise = advise
        self._clock = clock
        self._emit = emit
        self._waiters: list[_Waiter] = []

    @property
    def waiting_count(self) -> int:
        """Streams that are held back now."""
        return len(self._waiters)

    def wake(self) -> None:
        """Look at all held streams again; a place may have come free."""
        for waiter in self._waiters:
            waiter.is_due.set()

    def acquire(
        self, job: Job, peak_tokens: int, tried: Collection[str]
    ) -> ServerPlacement:
        """Return a place for a stream, waiting while it can be served in time.

        Raises:
            RefusedError: No engine has room in time; with when to come back.
        """
        self._check_quiet(job)
        place = None
        if not self._is_behind_others(job, None):
            place = self._place_in_time(job, peak_tokens, tried)
        if place is None:
            place = self._wait(job, peak_tokens, tried)
        if place is None and not job.abort.reason:
            # A late answer is worth less than one in time, but not nothing.
            place = self._place(job, peak_tokens, tried, math.inf)
        if place is None:
            self._check_quiet(job)
            runs = self._placer.run_count(job.service)
            run_ms = self._placer.pace(job.service).run_ms
            raise RefusedError(
                Refusal(
                    503,
                    "engines_full",
                    "no engine has room in time",
                    retry_after_ms=estimated_retry_after_ms(
                        runs, self.waiting_count, run_ms
                    ),
                )
            )
        return place

    def _check_quiet(self, job: Job) -> None:
        """Refuse a stream at once when every engine has asked for quiet.

        Raises:
            RefusedError: With when the first engine takes requests again.
        """
        quiet_ms = self._placer.quiet_ms(job.service)
        if quiet_ms > 0.0:
            raise RefusedError(
                Refusal(
                    503,
                    "engines_quiet",
                    "every engine is full and wants no requests",
                    retry_after_ms=quiet_ms,
                )
            )

    def _wait(
        self, job: Job, peak_tokens: int, tried: Collection[str]
    ) -> ServerPlacement | None:
        waiter = _Waiter(job)
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda each: (each.job.priority, each.job.started_ms))
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
                left_ms = remaining_wait_ms(self._held(job))
                if left_ms <= 0.0:
                    return None
                job.abort.attach(waiter.is_due.set)
                waiter.is_due.wait(min(left_ms, ENGINE_FULL_MS) / MS_PER_S)
                waiter.is_due.clear()
                if self._is_behind_others(job, waiter):
                    continue
                place = self._place_in_time(job, peak_tokens, tried)
                if place is not None:
                    return place
            return None
        finally:
            job.abort.attach(None)
            self._waiters.remove(waiter)
            self.wake()

    def _place_in_time(
        self, job: Job, peak_tokens: int, tried: Collection[str]
    ) -> ServerPlacement | None:
        return self._place(job, peak_tokens, tried, time_left_ms(self._held(job)))

    def _place(
        self, job: Job, peak_tokens: int, tried: Collection[str], left_ms: float
    ) -> ServerPlacement | None:
        """Return a place whose memory the engine has reserved, or None."""
        full: list[str] = []
        question = PlaceQuestion(
            0,
            job.service,
            peak_tokens,
            job.call.prompt_tokens,
            left_ms,
            list(tried),
            full,
        )
        for _ in range(RESERVE_TRIES):
            place = self._placer.place_stream(question)
            if place is None:
                return None
            advice = self._advise(question)
            if advice == "":
                return None
            if advice is not None:
                place = self._placer.place_at(advice) or place
            reservation = self._reserve_memory(job, place, peak_tokens)
            if reservation is not None:
                return place._replace(reservation=reservation)
            full.append(place.server.server_id)
        return None

    def _reserve_memory(
        self, job: Job, place: ServerPlacement, peak_tokens: int
    ) -> str | None:
        reason = "no room"
        try:
            reservation = self._reserve(place.server, peak_tokens)
        except BackendError as error:
            self._placer.note_failure(place.server, is_unreachable=True)
            reservation, reason = None, str(error)
        if reservation is None:
            self._placer.note_full(place.server)
            self._emit(
                ReservationRefused(
                    request_id=job.request_id,
                    account=job.account_name,
                    service=job.service,
                    backend_server=place.server.server_id,
                    stream_count=place.stream_count,
                    committed_tokens=place.committed_tokens,
                    reason=reason,
                )
            )
        return reservation

    def _is_behind_others(self, job: Job, own: _Waiter | None) -> bool:
        for waiter in self._waiters:
            if waiter is own:
                return False
            if waiter.job.service != job.service:
                continue
            if own is not None or waiter.job.priority <= job.priority:
                return True
        return False

    def _held(self, job: Job) -> QueuedStream:
        return QueuedStream(
            waited_ms=self._clock.monotonic_ms() - job.started_ms,
            target_latency_ms=job.route.target_latency_ms,
            remaining_ms=job.remaining_ms(self._clock),
            prompt_tokens=job.call.prompt_tokens,
            pace=self._placer.pace(job.service),
        )
