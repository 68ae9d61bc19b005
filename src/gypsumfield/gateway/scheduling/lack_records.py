"""Records of the streams that lack memory, on this host and on the others."""

import math
from collections import Counter
from collections import deque
from collections.abc import Callable

from gypsumfield.clock import Clock
from gypsumfield.decisions.memory_shares import FleetLacks
from gypsumfield.decisions.memory_shares import HostPlace
from gypsumfield.decisions.memory_shares import is_short
from gypsumfield.decisions.memory_shares import Lack
from gypsumfield.decisions.memory_shares import LackKey
from gypsumfield.decisions.memory_shares import Lacks
from gypsumfield.decisions.memory_shares import merge
from gypsumfield.gateway.scheduling.messages import lacks_from_wire
from gypsumfield.gateway.scheduling.messages import wire_lacks
from gypsumfield.gateway.scheduling.messages import WireLack

# A refusal counts for this time: the shortage that caused it lasts, and its caller
# comes back.
RECENT_REFUSAL_MS = 1_000.0
# The sums of statements are computed this often at most. Queued streams ask for them at
# each change of a load, and a delegate has the statements of a whole zone.
SUM_INTERVAL_MS = 100.0
# Refusals that are remembered; a host that refuses more a second states these only.
MAX_REFUSALS = 256


class LackRecords:
    """What streams of this host and of others lack.

    Args:
        availability_zone: Zone of this host.
        clock: Monotonic clock.

    Attributes:
        running_streams: Returns the kind and account of each stream that runs here.
    """

    def __init__(self, availability_zone: str, clock: Clock) -> None:
        self._clock = clock
        self._waiting: Counter[tuple[LackKey, int]] = Counter()
        self._refusals: deque[tuple[float, LackKey, int]] = deque(maxlen=MAX_REFUSALS)
        self._fleet = FleetLacks(availability_zone)
        self._others: Lacks = {}
        self._summed_ms = -math.inf
        self._all_hosts: Lacks = {}
        self._merged_ms = -math.inf
        self.running_streams: Callable[[], list[LackKey]] = list

    def add_waiting(self, key: LackKey, peak_tokens: int) -> None:
        """Record that a stream of this host begins to wait."""
        self._waiting[key, peak_tokens] += 1

    def remove_waiting(self, key: LackKey, peak_tokens: int) -> None:
        """Record that a stream of this host no longer waits."""
        self._waiting[key, peak_tokens] -= 1
        self._waiting += Counter()

    def record_refusal(self, key: LackKey, peak_tokens: int) -> None:
        """Record that this host has refused a stream for lack of memory."""
        self._refusals.append((self._clock.monotonic_ms(), key, peak_tokens))

    def own(self) -> Lacks:
        """Return what the streams of this host lack, and what runs during a shortage.

        Without a shortage on any host there is nothing to divide.
        """
        oldest_ms = self._clock.monotonic_ms() - RECENT_REFUSAL_MS
        while self._refusals and self._refusals[0][0] < oldest_ms:
            self._refusals.popleft()
        lacks = merge(
            [
                *({key: Lack(n, 0, peak)} for (key, peak), n in self._waiting.items()),
                *({key: Lack(0, 1, peak)} for _, key, peak in self._refusals),
            ]
        )
        if not lacks and not is_short(self.others()):
            return {}
        counts = Counter(self.running_streams())
        running = {key: Lack(0, 0, 0, 0.0, count) for key, count in counts.items()}
        return merge([lacks, running])

    def others(self) -> Lacks:
        """Return what the streams of all other hosts lack."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._summed_ms >= SUM_INTERVAL_MS:
            self._others = self._fleet.others(now_ms)
            self._summed_ms = now_ms
        return self._others

    def all_hosts(self) -> Lacks:
        """Return what the streams of all hosts lack."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._merged_ms >= SUM_INTERVAL_MS:
            self._all_hosts = merge([self.own(), self.others()])
            self._merged_ms = now_ms
        return self._all_hosts

    def wire_own(self) -> list[WireLack]:
        """Return the statement of this host alone, for a delegate or a small fleet."""
        own = self.own()
        self._fleet.record_sent(own)
        return wire_lacks(own)

    def wire_sum(self, has_zones: bool) -> list[WireLack]:
        """Return the sum of the zone, or with ``has_zones`` of all hosts."""
        now_ms = self._clock.monotonic_ms()
        return wire_lacks(self._fleet.to_pass_on(self.own(), now_ms, has_zones))

    def store(self, place: HostPlace, lacks: list[WireLack]) -> None:
        """Record the statement of a host, or with an empty host that of its zone."""
        self._fleet.record(place, lacks_from_wire(lacks), self._clock.monotonic_ms())

    def store_total(self, lacks: list[WireLack]) -> None:
        """Record the sum of all hosts from the delegate of the zone."""
        self._fleet.record_total(lacks_from_wire(lacks), self._clock.monotonic_ms())
