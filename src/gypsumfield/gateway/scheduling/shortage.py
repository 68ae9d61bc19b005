"""Memory shortage on the engines: what refused callers are told."""

import random
from collections import defaultdict
from collections.abc import Callable

from gypsumfield.clock import Clock
from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.queue_waits import estimated_retry_after_ms
from gypsumfield.decisions.queue_waits import QueuedStream
from gypsumfield.decisions.queue_waits import start_ms
from gypsumfield.decisions.retry_times import FleetSupply
from gypsumfield.decisions.retry_times import RefusedCaller
from gypsumfield.decisions.retry_times import RetryPromises


class Shortage:
    """Decides for streams that lack memory, by the figures of the whole fleet.

    Args:
        run_count: Returns the runs on all engines of a service.
        pace: Returns the observed speed of a service's engines.
        supplying_hosts: Returns how many hosts share the engines; None while this
            host does not receive the fleet's figures.
        clock: Monotonic clock.
        rng: Random source.
    """

    def __init__(
        self,
        run_count: Callable[[str], int],
        pace: Callable[[str], Pace],
        supplying_hosts: Callable[[], int | None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._run_count = run_count
        self._pace = pace
        self._supplying_hosts = supplying_hosts
        self._clock = clock
        self._rng = rng
        self._promises: defaultdict[str, RetryPromises] = defaultdict(RetryPromises)

    def retry_after_ms(
        self, service: str, stream: QueuedStream, waiting_count: int
    ) -> float:
        """Return the time after which the caller of a refused stream should retry.

        Args:
            service: Service of the stream.
            stream: The refused stream.
            waiting_count: Streams that wait on this host.
        """
        run_count = self._run_count(service)
        run_ms = self._pace(service).run_ms
        host_count = self._supplying_hosts()
        if host_count is None:
            return estimated_retry_after_ms(run_count, waiting_count, run_ms)
        return self._promises[service].promise(
            FleetSupply(run_count, run_ms, host_count),
            waiting_count,
            RefusedCaller(stream.remaining_ms, start_ms(stream)),
            self._clock.monotonic_ms(),
            self._rng.random(),
        )
