"""Memory that less urgent streams leave free on engines, by the needs of all hosts.

It serves engines that are short of memory for a fleet of many hosts. Each host orders
its own queue by urgency, but these queues are short: a less urgent stream would take
the memory that a more urgent one waits for on another host.
"""

import math
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

# What other hosts lack counts until it is this old.
LACK_LIFETIME_MS = 2_500.0
# A host passes on what others lack only up to this age. The rest of the lifetime is for
# the hosts that receive it.
RELAY_LIFETIME_MS = 1_250.0
# Share of the less urgent streams that is placed as if nothing more urgent waited. Each
# kind must be served at least a quarter as often as all requests.
GUARANTEED_SHARE = 0.35
# A stream that runs for less than this share of a typical run keeps nobody from the
# memory: holding it back gains the more urgent ones nothing and loses the stream.
BRIEF_RUN_SHARE = 0.1
# Lowest share of an engine's memory that less urgent streams may fill.
MIN_MEMORY_RATIO = 0.5


class LackKey(NamedTuple):
    """Kind of stream, and its account or empty; priority 0 is the most urgent."""

    service: str
    priority: int
    account: str = ""


class Lack(NamedTuple):
    """Streams of one kind that lack memory.

    Attributes:
        waiting_count: Streams that wait for an engine.
        refused_count: Streams that were refused lately; their callers come back.
        peak_tokens: Largest memory that one of them needs.
        age_ms: Age of the oldest part of the statement.
        running_count: Streams of the kind that run.
    """

    waiting_count: int
    refused_count: int
    peak_tokens: int
    age_ms: float = 0.0
    running_count: int = 0

    @property
    def stream_count(self) -> int:
        """Streams that wait or come back."""
        return self.waiting_count + self.refused_count

    def plus(self, other: "Lack") -> "Lack":
        """Return what both lack together."""
        return Lack(
            self.waiting_count + other.waiting_count,
            self.refused_count + other.refused_count,
            max(self.peak_tokens, other.peak_tokens),
            max(self.age_ms, other.age_ms),
            self.running_count + other.running_count,
        )

    def without(self, other: "Lack") -> "Lack":
        """Return this lack less a part of it; no count falls below 0."""
        return self._replace(
            waiting_count=max(0, self.waiting_count - other.waiting_count),
            refused_count=max(0, self.refused_count - other.refused_count),
            running_count=max(0, self.running_count - other.running_count),
        )


Lacks = Mapping[LackKey, Lack]


class HostPlace(NamedTuple):
    """Where a statement comes from; the host is empty for the sum of a zone."""

    availability_zone: str
    host_id: str = ""


class FleetLacks:
    """What other hosts lack, each host counted once.

    Statements come from single hosts, as sums from the delegates of other zones, or as
    the sum of all hosts from the delegate of the own zone.

    Args:
        own_zone: Availability zone of this host.
    """

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._statements: dict[HostPlace, tuple[float, Lacks]] = {}
        self._total: tuple[float, Lacks] = (-math.inf, {})
        self._sent: Lacks = {}

    def record(self, place: HostPlace, lacks: Lacks, now_ms: float) -> None:
        """Replace the statement of a host, or the sum of another zone."""
        self._statements[place] = (now_ms, lacks)

    def record_total(self, lacks: Lacks, now_ms: float) -> None:
        """Replace the sum of all hosts, which includes what `record_sent` recorded."""
        total = {
            key: lack.without(self._sent[key]) if key in self._sent else lack
            for key, lack in lacks.items()
        }
        self._total = (now_ms, total)

    def record_sent(self, lacks: Lacks) -> None:
        """Record the own statement that was sent to the delegate."""
        self._sent = lacks

    def others(self, now_ms: float) -> Lacks:
        """Return what all other hosts lack."""
        stated = self._stated(now_ms, LACK_LIFETIME_MS, has_zones=True)
        received_ms, total = self._total
        counted = _unexpired(received_ms, total, now_ms, LACK_LIFETIME_MS)
        # At least one of the two is empty, except for the moment in which another host
        # becomes the delegate.
        return {
            key: max(
                (lacks[key] for lacks in (stated, counted) if key in lacks),
                key=lambda lack: lack.stream_count + lack.running_count,
            )
            for key in {**stated, **counted}
        }

    def to_pass_on(self, own: Lacks, now_ms: float, has_zones: bool) -> Lacks:
        """Return the sum of the own zone, or with ``has_zones`` of all hosts."""
        return merge([own, self._stated(now_ms, RELAY_LIFETIME_MS, has_zones)])

    def _stated(self, now_ms: float, lifetime_ms: float, has_zones: bool) -> Lacks:
        oldest_ms = now_ms - LACK_LIFETIME_MS
        self._statements = {
            place: statement
            for place, statement in self._statements.items()
            if statement[0] >= oldest_ms
        }
        summed_zones = {
            place.availability_zone for place in self._statements if not place.host_id
        }
        return merge(
            _unexpired(received_ms, lacks, now_ms, lifetime_ms)
            for place, (received_ms, lacks) in self._statements.items()
            if self._is_counted(place, summed_zones, has_zones)
        )

    def _is_counted(
        self, place: HostPlace, summed_zones: set[str], has_zones: bool
    ) -> bool:
        if place.availability_zone == self._own_zone:
            return bool(place.host_id)
        is_sum = not place.host_id
        return has_zones and is_sum == (place.availability_zone in summed_zones)


def merge(statements: Iterable[Lacks]) -> Lacks:
    """Return the sum of statements of different hosts."""
    total: dict[LackKey, Lack] = {}
    for lacks in statements:
        for key, lack in lacks.items():
            total[key] = lack.plus(total[key]) if key in total else lack
    return total


def _unexpired(
    received_ms: float, lacks: Lacks, now_ms: float, lifetime_ms: float
) -> Lacks:
    aged = {
        key: lack._replace(age_ms=lack.age_ms + now_ms - received_ms)
        for key, lack in lacks.items()
        if lack.stream_count or lack.running_count
    }
    return {key: lack for key, lack in aged.items() if lack.age_ms <= lifetime_ms}


def is_short(lacks: Lacks) -> bool:
    """Return whether any stream lacks memory."""
    return any(lack.stream_count for lack in lacks.values())


def more_urgent(lacks: Lacks, key: LackKey) -> Lack | None:
    """Return what more urgent streams of the same service lack, or None."""
    urgent = [
        lack
        for other, lack in lacks.items()
        if other.service == key.service and other.priority < key.priority
    ]
    total = Lack(0, 0, 0)
    for lack in urgent:
        total = total.plus(lack)
    return total if total.stream_count else None


def is_brief(run_ms: float, typical_run_ms: float) -> bool:
    """Return whether a stream releases its memory too soon to be held back."""
    return run_ms < BRIEF_RUN_SHARE * typical_run_ms


def memory_ratio(
    urgent: Lack | None, engine_count: int, memory_tokens: int, draw: float
) -> float:
    """Return the share of an engine's memory that a less urgent stream may fill.

    Each engine keeps room for one of the more urgent streams, or for more when there
    are more of them than engines.

    Args:
        urgent: What more urgent streams lack, or None.
        engine_count: Engines of the service.
        memory_tokens: Memory of each.
        draw: Random number from 0 to 1 that the stream keeps. A low one guarantees
            that it is placed as if nothing more urgent waited, so that its kind does
            not starve.
    """
    if urgent is None or draw < GUARANTEED_SHARE or memory_tokens <= 0:
        return math.inf
    streams_per_engine = math.ceil(urgent.stream_count / max(1, engine_count))
    headroom = urgent.peak_tokens * streams_per_engine / memory_tokens
    return max(MIN_MEMORY_RATIO, 1.0 - headroom)
