"""Holds streams back until an engine has room for them."""

from collections.abc import Collection

from gevent.event import Event as Signal

from gypsumfield.clock import Clock
from gypsumfield.clock import MS_PER_S
from gypsumfield.decisions.holding import HeldStream
from gypsumfield.decisions.holding import hold_ms
from gypsumfield.decisions.holding import return_after_ms
from gypsumfield.decisions.holding import time_left_ms
from gypsumfield.events import RequestQueued
from gypsumfield.exceptions import Refusal
from gypsumfield.exceptions import RefusedError
from gypsumfield.gateway.job import Job
from gypsumfield.gateway.placing import Place
from gypsumfield.gateway.placing import Placer
from gypsumfield.ports import EmitEvent


class _Waiter:
    """A stream that is held back."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.is_due = Signal()


class StreamQueue:
    """Holds streams back until an engine has room, the most urgent first."""

    def __init__(self, placer: Placer, clock: Clock, emit: EmitEvent) -> None:
        self._placer = placer
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

    def acquire(self, job: Job, peak_tokens: int, tried: Collection[str]) -> Place:
        """Return a place for a stream, waiting while it can be served in time.

        Raises:
            RefusedError: No engine has room in time; with when to come back.
        """
        place = None
        if not self._is_behind_others(job, None):
            place = self._place_in_time(job, peak_tokens, tried)
        if place is None:
            place = self._wait(job, peak_tokens, tried)
        if place is None and not job.abort.reason:
            # A late answer is worth less than one in time, but not nothing.
            place = self._placer.place_stream(job.service, peak_tokens, tried)
        if place is None:
            runs = self._placer.run_count(job.service)
            raise RefusedError(
                Refusal(
                    503,
                    "engines_full",
                    "no engine has room in time",
                    retry_after_ms=return_after_ms(runs, self.waiting_count),
                )
            )
        return place

    def _wait(self, job: Job, peak_tokens: int, tried: Collection[str]) -> Place | None:
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
                left_ms = hold_ms(self._held(job))
                if left_ms <= 0.0:
                    return None
                job.abort.attach(waiter.is_due.set)
                waiter.is_due.wait(left_ms / MS_PER_S)
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
    ) -> Place | None:
        return self._placer.place_stream(
            job.service,
            peak_tokens,
            tried,
            job.ask.prompt_tokens,
            time_left_ms(self._held(job)),
        )

    def _is_behind_others(self, job: Job, own: _Waiter | None) -> bool:
        for waiter in self._waiters:
            if waiter is own:
                return False
            if waiter.job.service != job.service:
                continue
            if own is not None or waiter.job.priority <= job.priority:
                return True
        return False

    def _held(self, job: Job) -> HeldStream:
        return HeldStream(
            waited_ms=self._clock.monotonic_ms() - job.started_ms,
            target_latency_ms=job.route.target_latency_ms,
            remaining_ms=job.remaining_ms(self._clock),
            prompt_tokens=job.ask.prompt_tokens,
        )
