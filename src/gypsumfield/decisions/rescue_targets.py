"""Selection of the engines that receive copies of runs on leaving engines.

Load: 29 engines serve the streams of 28 hosts. Every 3.3 s, 17 of 100 engines announce
that they leave in 1.5 to 2.1 s, each with three to five streams of different hosts.
Each host learns of the copies of other hosts up to 1 s late. If every host selects the
emptiest engines, they select the same ones, and these refuse most of the copies.
"""

import random
from collections.abc import Collection
from collections.abc import Sequence
from typing import NamedTuple

from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import StreamDemand

# Share of an engine's memory that may be planned when a copy saves a run: the engine
# refuses the copy when the memory is not free.
RESCUE_MEMORY_RATIO = 1.15
# Up to this share, copies are rarely refused, because the plan includes the growth of
# the runs. With 0.95, more copies go to remote zones and end after their notice: 36
# instead of 13 runs of 1,600 are lost in the load of `tests/test_rescue_targets.py`,
# with 22 streams a second.
COMFORTABLE_MEMORY_RATIO = 1.05
# Other hosts' records of a copy arrive within this time, and an engine that refused
# one has ended about one run.
RECENT_MS = 1_000.0
# Targets that are tried in any case for one run, and at most while the notice lasts.
MIN_COPY_TARGETS = 2
MAX_COPY_TARGETS = 6


class RecentCopies(NamedTuple):
    """What this host recently sent to engines.

    Attributes:
        receiving: Ids of engines that just received a copy.
        refusing: Ids of engines that just refused one.
    """

    receiving: Collection[str] = ()
    refusing: Collection[str] = ()


def select_rescue_target(
    engines: Sequence[EngineLoad],
    demand: StreamDemand,
    recent: RecentCopies,
    rng: random.Random,
) -> EngineLoad | None:
    """Return the engine that receives a copy of a run on a leaving engine, or None.

    Engines with enough planned memory come first, then those of the source's zone,
    because a copy to another zone takes twice as long. In a large fleet, the choice
    among equals is random and weighted by the number of copies that fit. In a small
    fleet, whose updates arrive fast, it is the emptiest one.

    Args:
        engines: Candidates, without the leaving ones.
        demand: Planned memory of the run, and the zone of its engine.
        recent: Recent copies of this host.
        rng: Random source, seeded by the caller.
    """
    fitting = [
        engine
        for engine in engines
        if engine.stream_count < engine.slot_count
        and _free_tokens(engine, RESCUE_MEMORY_RATIO) >= demand.peak_tokens
    ]
    if not fitting:
        return None

    def rank(engine: EngineLoad) -> tuple[bool, ...]:
        free_tokens = _free_tokens(engine, COMFORTABLE_MEMORY_RATIO)
        is_short = engine.waiting_count > 0 or free_tokens < demand.peak_tokens
        return (
            engine.server_id in recent.refusing,
            is_short,
            engine.is_cold or engine.is_recently_started,
            engine.availability_zone != demand.availability_zone,
            engine.server_id in recent.receiving,
        )

    first = min(map(rank, fitting))
    best = [engine for engine in fitting if rank(engine) == first]
    if demand.sample_size is None:
        return max(best, key=lambda e: (_free_tokens(e, 1.0), rng.random()))
    weights = [
        _free_tokens(engine, RESCUE_MEMORY_RATIO) / max(1, demand.peak_tokens)
        for engine in best
    ]
    return rng.choices(best, weights)[0]


def should_try_target(tried_count: int, notice_left_ms: float) -> bool:
    """Return whether a copy that other engines refused is sent to a further one.

    Args:
        tried_count: Engines that refused it.
        notice_left_ms: Time until the source engine is expected to be gone.
    """
    limit = MAX_COPY_TARGETS if notice_left_ms > 0.0 else MIN_COPY_TARGETS
    return tried_count < limit


def _free_tokens(engine: EngineLoad, ratio: float) -> float:
    return engine.memory_tokens * ratio - engine.committed_tokens
