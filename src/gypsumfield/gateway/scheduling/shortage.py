"""Memory shortage on the engines: who waits, who leaves room, who returns when."""

import math
import random
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from gypsumfield.clock import Clock
from gypsumfield.decisions.account_shares import below_share
from gypsumfield.decisions.memory_shares import is_brief
from gypsumfield.decisions.memory_shares import Lack
from gypsumfield.decisions.memory_shares import LackKey
from gypsumfield.decisions.memory_shares import memory_ratio
from gypsumfield.decisions.memory_shares import more_urgent
from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.queue_waits import estimated_retry_after_ms
from gypsumfield.decisions.queue_waits import QueuedStream
from gypsumfield.decisions.queue_waits import remaining_wait_ms
from gypsumfield.decisions.queue_waits import start_ms
from gypsumfield.decisions.retry_times import can_start_in_time
from gypsumfield.decisions.retry_times import FleetSupply
from gypsumfield.decisions.retry_times import RefusedCaller
from gypsumfield.decisions.retry_times import RetryPromises
from gypsumfield.gateway.events import MemoryHeldForUrgent
from gypsumfield.gateway.model import EngineSpec
from gypsumfield.gateway.scheduling.lack_records import LackRecords
from gypsumfield.interfaces import EmitEvent

# Time between two log lines about streams that are held back, for each kind.
HELD_LOG_INTERVAL_MS = 1_000.0


class ShortageDependencies(NamedTuple):
    """Dependencies of `Shortage`.

    Attributes:
        lacks: Streams that lack memory, here and on other hosts.
        run_count: Returns the runs on all engines of a service.
        pace: Returns the observed speed of a service's engines.
        engine_spec: Returns the capacity of each engine of a service, or None.
        engine_count: Returns the number of engines of a service.
        supplying_hosts: Returns how many hosts share the engines; None while this
            host does not receive the fleet's figures.
        clock: Monotonic clock.
        rng: Random source.
        emit: Writes an event to the log.
    """

    lacks: LackRecords
    run_count: Callable[[str], int]
    pace: Callable[[str], Pace]
    engine_spec: Callable[[str], EngineSpec | None]
    engine_count: Callable[[str], int]
    supplying_hosts: Callable[[], int | None]
    clock: Clock
    rng: random.Random
    emit: EmitEvent


class WaitingStream(NamedTuple):
    """A stream that is to be placed, as the shortage concerns it.

    Attributes:
        key: Its kind and account.
        peak_tokens: Memory that is planned for it.
        output_tokens: Predicted length of its output, or 0.
        draw: Random number that it keeps; see `memory_ratio`.
    """

    key: LackKey
    peak_tokens: int
    output_tokens: int
    draw: float


class _Held:
    """Attempts of one kind that were held back since the last log line."""

    def __init__(self) -> None:
        self.count = 0
        self.logged_ms = -math.inf


class Shortage:
    """Decides for streams that lack memory, by the figures of the whole fleet.

    Attributes:
        lacks: Streams that lack memory, here and on other hosts.
    """

    def __init__(self, deps: ShortageDependencies) -> None:
        self.lacks = deps.lacks
        self._deps = deps
        self._promises: defaultdict[str, RetryPromises] = defaultdict(RetryPromises)
        self._held: defaultdict[LackKey, _Held] = defaultdict(_Held)

    def waiting_stream(
        self, key: LackKey, peak_tokens: int, output_tokens: int
    ) -> WaitingStream:
        """Return the description of a stream with a number drawn for it."""
        draw = self._deps.rng.random()
        return WaitingStream(key, peak_tokens, output_tokens, draw)

    def memory_ratio(self, stream: WaitingStream, queued: QueuedStream) -> float:
        """Return the share of an engine's memory that a stream may fill now."""
        urgent = self._preferred(stream.key)
        spec = self._deps.engine_spec(stream.key.service)
        if urgent is None or spec is None:
            return math.inf
        pace = queued.pace
        if stream.output_tokens:
            run_ms = start_ms(queued) + stream.output_tokens * pace.step_ms
            if is_brief(run_ms, pace.run_ms):
                return math.inf
        engine_count = self._deps.engine_count(stream.key.service)
        return memory_ratio(urgent, engine_count, spec.memory_tokens, stream.draw)

    def record_held(self, stream: WaitingStream, ratio: float) -> None:
        """Record that no engine had memory for a stream within a lower share."""
        # The account is left out: many accounts would exceed one line a second.
        held = self._held[stream.key._replace(account="")]
        held.count += 1
        now_ms = self._deps.clock.monotonic_ms()
        urgent = self._preferred(stream.key)
        if urgent is None or now_ms - held.logged_ms < HELD_LOG_INTERVAL_MS:
            return
        self._deps.emit(
            MemoryHeldForUrgent(
                service=stream.key.service,
                priority=stream.key.priority,
                memory_ratio=ratio,
                urgent_count=urgent.stream_count,
                held_count=held.count,
            )
        )
        held.logged_ms, held.count = now_ms, 0

    def can_start_in_time(self, stream: WaitingStream, queued: QueuedStream) -> bool:
        """Return whether a stream that has to wait may still start in time.

        Without statements of other hosts it may: only their streams make it hopeless
        before the queue of this host shows it.
        """
        if not self.lacks.others():
            return True
        ahead_count = sum(
            lack.waiting_count
            for key, lack in self.lacks.all_hosts().items()
            if key.service == stream.key.service and key.priority <= stream.key.priority
        )
        supply = self._supply(stream.key.service)
        if supply is None:
            return True
        engine_count = self._deps.engine_count(stream.key.service)
        wait_ms = remaining_wait_ms(queued)
        return can_start_in_time(supply, engine_count, ahead_count, wait_ms)

    def retry_after_ms(
        self, service: str, stream: QueuedStream, waiting_count: int
    ) -> float:
        """Return the time after which the caller of a refused stream should retry.

        Promises divide the rate at which busy engines release memory. While an engine
        is idle, or none is known, the stream was refused for a passing reason, and the
        promises would be too long.

        Args:
            service: Service of the stream.
            stream: The refused stream.
            waiting_count: Streams that wait on this host.
        """
        supply = self._supply(service)
        engine_count = self._deps.engine_count(service)
        if supply is None or not 0 < engine_count <= supply.run_count:
            return estimated_retry_after_ms(
                self._deps.run_count(service),
                waiting_count,
                self._deps.pace(service).run_ms,
            )
        return self._promises[service].promise(
            supply,
            waiting_count,
            RefusedCaller(stream.remaining_ms, start_ms(stream)),
            self._deps.clock.monotonic_ms(),
            self._deps.rng.random(),
        )

    def is_above_share(self, key: LackKey) -> bool:
        """Return whether a stream's account leaves memory to other accounts now."""
        return self._below_share(key) is not None

    def _preferred(self, key: LackKey) -> Lack | None:
        """Return what streams lack that get memory before a stream.

        The order of this host's own queue serves its own urgent streams first, so that
        their needs count on other hosts only.
        """
        urgent = more_urgent(self.lacks.others(), key)
        below = self._below_share(key)
        return urgent.plus(below) if urgent and below else urgent or below

    def _below_share(self, key: LackKey) -> Lack | None:
        """Return what accounts below their share lack, if this one is above its own.

        Without statements of other hosts the shares are unknown.
        """
        if not key.account or not self.lacks.others():
            return None
        return below_share(self.lacks.all_hosts(), key)

    def _supply(self, service: str) -> FleetSupply | None:
        host_count = self._deps.supplying_hosts()
        if host_count is None:
            return None
        run_count = self._deps.run_count(service)
        return FleetSupply(run_count, self._deps.pace(service).run_ms, host_count)
