"""Wire format of what hosts tell each other about streams and the engines' memory."""

import math

import msgspec

from gypsumfield.decisions.account_shares import bounded
from gypsumfield.decisions.memory_shares import Lack
from gypsumfield.decisions.memory_shares import LackKey
from gypsumfield.decisions.memory_shares import Lacks
from gypsumfield.decisions.software_versions import VersionRequirement

# Counts from other hosts are bounded, so that sums of them fit an integer on the wire.
# No fleet has as many streams, and no engine as much memory in tokens.
MAX_COUNT = 1_000_000_000


class PlacementQuery(msgspec.Struct, frozen=True, array_like=True):
    """Query for the engine of a stream; see `gypsumfield.gateway.placing.Placer`.

    Attributes:
        number: Identifies the query to its sender.
        service: Service of the stream.
        peak_tokens: Memory that is planned for the stream, in tokens.
        prompt_tokens: Tokens to process before its first event.
        time_left_ms: Time left in which its first event meets the target latency.
        excluded: Engines that it must not use.
        full: Engines that have just refused it for lack of memory.
        has_begun: Whether its caller may have an event already.
        begun_version: Software version at which it began, or empty.
        memory_ratio: Share of an engine's memory that it may fill; hosts of earlier
            builds ignore it.
    """

    number: int
    service: str
    peak_tokens: int
    prompt_tokens: int
    time_left_ms: float
    excluded: list[str] = []
    full: list[str] = []
    has_begun: bool = False
    begun_version: str = ""
    memory_ratio: float = math.inf

    @property
    def requirement(self) -> VersionRequirement:
        """Software version that the engine must have."""
        return VersionRequirement(self.has_begun, self.begun_version)

    def with_number(self, number: int) -> "PlacementQuery":
        """Return a copy with another number."""
        return msgspec.structs.replace(self, number=number)


class Advice(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a query: an engine, or empty when none has free capacity in time."""

    number: int
    server_id: str


class WireLack(msgspec.Struct, frozen=True, array_like=True):
    """Streams of one kind that lack memory; see `gypsumfield.decisions.memory_shares`.

    Attributes:
        service: Their service.
        priority: Their priority, 0 first.
        waiting_count: Streams that wait for an engine.
        refused_count: Streams that were refused lately.
        peak_tokens: Largest memory that one of them needs.
        age_ms: Age of the oldest part of the statement when it was sent.
        account: Client account of the streams, or empty for several.
        running_count: Streams of this kind and account that run.
    """

    service: str
    priority: int
    waiting_count: int
    refused_count: int
    peak_tokens: int
    age_ms: int = 0
    account: str = ""
    running_count: int = 0


def wire_lacks(lacks: Lacks) -> list[WireLack]:
    """Return the wire form of what streams lack."""
    return [
        WireLack(
            key.service,
            key.priority,
            lack.waiting_count,
            lack.refused_count,
            lack.peak_tokens,
            int(lack.age_ms),
            key.account,
            lack.running_count,
        )
        for key, lack in bounded(lacks).items()
    ]


def lacks_from_wire(wire: list[WireLack]) -> Lacks:
    """Return what streams lack from its wire form, within `MAX_COUNT`."""
    return {
        LackKey(lack.service, lack.priority, lack.account): Lack(
            _bounded_count(lack.waiting_count),
            _bounded_count(lack.refused_count),
            _bounded_count(lack.peak_tokens),
            _bounded_count(lack.age_ms),
            _bounded_count(lack.running_count),
        )
        for lack in wire
    }


def _bounded_count(count: int) -> int:
    return min(MAX_COUNT, max(0, count))
