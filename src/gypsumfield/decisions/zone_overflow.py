"""Share of a zone's new streams that are placed in other zones before it is full.

Load: three zones with equal servers receive 79, 60 and 55 requests per second, and the
demand swings by 0.55 with a period of 17 s. Hosts know the load of engines up to 1 s
late. If a stream left its zone only when no engine there fits, streams would first wait
for prompts and refused reservations; if every host then chose the emptiest zone, that
zone would be full a second later.

A stream in a remote zone breaks when the network between the zones is partitioned.
Therefore the local zone must be nearly full and the remote one clearly emptier.
"""

import random
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import START_SCALE_MS
from gypsumfield.decisions.placement import StreamDemand
from gypsumfield.decisions.placement import WAITING_COST

# Loads are shares of the memory, as in `gypsumfield.decisions.placement`, with the
# expected wait. Overflow into a zone starts at these values and stops at the others.
START_LOCAL_LOAD = 0.8
STOP_LOCAL_LOAD = 0.65
START_ADVANTAGE = 0.25
STOP_ADVANTAGE = 0.1
# A zone with a higher load receives nothing, and an engine is not filled beyond it.
MAX_REMOTE_LOAD = 0.75
# Share of new streams per unit of advantage beyond `STOP_ADVANTAGE`, and its limit.
SHARE_PER_ADVANTAGE = 1.0
MAX_SHARE = 0.35
# Time until the streams that a zone sends are known to all hosts, twice the age of a
# view: the loads at the decision are old, and so are those at the next ones.
REACTION_MS = 2_000.0
# Share of a zone's free memory that the other zones may fill within `REACTION_MS`.
FILLED_SHARE = 0.5


class ZoneLoad(NamedTuple):
    """Load of the engines of one zone that may receive a stream.

    Attributes:
        load: Planned share of their memory, plus the expected wait in units of it.
        committed_tokens: Planned memory.
        free_tokens: Memory that streams of other zones may use. Engines of unknown
            load have none: nothing shows that they work.
    """

    load: float
    committed_tokens: int
    free_tokens: float


def zone_loads(engines: Sequence[EngineLoad], pace: Pace) -> dict[str, ZoneLoad]:
    """Return the load of each zone.

    Args:
        engines: Engines that may receive a stream.
        pace: Observed speed of the engines.
    """
    by_zone: dict[str, list[EngineLoad]] = {}
    for engine in engines:
        by_zone.setdefault(engine.availability_zone, []).append(engine)
    return {zone: _zone_load(members, pace) for zone, members in by_zone.items()}


def _zone_load(engines: Sequence[EngineLoad], pace: Pace) -> ZoneLoad:
    committed = sum(engine.committed_tokens for engine in engines)
    memory = sum(engine.memory_tokens for engine in engines)
    prompts = sum(engine.waiting_prompt_tokens for engine in engines)
    waiting = sum(engine.waiting_count for engine in engines)
    reading_ms = prompts / pace.prompt_tokens_per_ms / len(engines)
    load = (
        committed / max(1, memory)
        + reading_ms / START_SCALE_MS
        + WAITING_COST * waiting / len(engines)
    )
    free = sum(_free_tokens(engine) for engine in engines if is_attractive(engine))
    return ZoneLoad(load, committed, free)


def is_attractive(engine: EngineLoad) -> bool:
    """Return whether an engine may receive streams that overflow from another zone.

    An engine without any recorded load is idle, unreachable or just started, and
    every host would choose it.
    """
    is_known = engine.committed_tokens > 0
    is_slow = engine.is_cold or engine.is_recently_started
    return is_known and not is_slow and not engine.waiting_count


def accepts_overflow(engine: EngineLoad, demand: StreamDemand) -> bool:
    """Return whether an engine of another zone has room for an overflowing stream."""
    return is_attractive(engine) and _free_tokens(engine) >= demand.peak_tokens


def _free_tokens(engine: EngineLoad) -> float:
    limit_tokens = engine.memory_tokens * MAX_REMOTE_LOAD
    return max(0.0, limit_tokens - engine.committed_tokens)


class ZoneOverflow:
    """Zones into which the streams of one service overflow, with hysteresis.

    Args:
        own_zone: Zone of the host.

    Attributes:
        shares: Share of the new streams that goes to each remote zone.
    """

    def __init__(self, own_zone: str) -> None:
        self.shares: dict[str, float] = {}
        self._own_zone = own_zone

    def update(
        self, loads: Mapping[str, ZoneLoad], barred: Collection[str], run_ms: float
    ) -> None:
        """Decide which share of new streams goes to each remote zone.

        Args:
            loads: Load of each zone with usable engines.
            barred: Zones that get none: evacuated ones and those that may be cut off.
            run_ms: Time for which a typical stream occupies its engine.
        """
        local = loads.get(self._own_zone)
        if local is None:
            # All local engines have just refused memory: the zone is full.
            self.shares = {
                zone: share
                for zone, share in self.shares.items()
                if zone in loads and zone not in barred
            }
            return
        # All hosts of a zone apply the same share, and other zones may overflow too.
        sender_count = max(1, len(loads) - 1)
        sent_tokens = local.committed_tokens * REACTION_MS / max(1.0, run_ms)
        shares = {}
        for zone, remote in loads.items():
            if zone == self._own_zone or zone in barred:
                continue
            if not self._is_active(zone, local, remote):
                continue
            advantage = local.load - remote.load
            allowed_tokens = FILLED_SHARE * remote.free_tokens / sender_count
            shares[zone] = min(
                SHARE_PER_ADVANTAGE * (advantage - STOP_ADVANTAGE),
                allowed_tokens / max(1.0, sent_tokens),
            )
        total = sum(shares.values())
        scale = min(1.0, MAX_SHARE / total) if total else 0.0
        self.shares = {zone: share * scale for zone, share in shares.items()}

    def select_zone(self, rng: random.Random) -> str:
        """Return the zone that a new stream goes to, or empty for the local one."""
        position = rng.random()
        for zone, share in self.shares.items():
            position -= share
            if position < 0.0:
                return zone
        return ""

    def _is_active(self, zone: str, local: ZoneLoad, remote: ZoneLoad) -> bool:
        if remote.load > MAX_REMOTE_LOAD or remote.free_tokens <= 0.0:
            return False
        advantage = local.load - remote.load
        if zone in self.shares:
            return local.load > STOP_LOCAL_LOAD and advantage > STOP_ADVANTAGE
        return local.load >= START_LOCAL_LOAD and advantage >= START_ADVANTAGE
