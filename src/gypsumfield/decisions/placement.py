"""Choice of a backend server for one request of the transparent surface.

Load answered: streams whose length is unknown, on engines whose memory is the
scarce resource, and short plain calls on servers with few slots. What a host
knows of an engine is its own runs and its peers' news, never the engine's own
report, which is half a second old when it arrives.
"""

import math
import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
from typing import TypeVar

from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.pace import START_MS
from gypsumfield.decisions.pace import START_PACE

# Share of an engine's memory that is planned with; the rest takes the error of
# the predicted lengths.
PLANNED_MEMORY_RATIO = 0.95
# Where an engine reserves memory before each stream it refuses by itself what does not
# fit; a plan that errs to the safe side would only leave memory unused.
RESERVED_MEMORY_RATIO = 1.05
# An engine that has just started reads slower for some seconds.
FRESH_READING_FACTOR = 3.0
# What an engine that has just started counts fuller than it is.
FRESH_COST = 0.2
# A copy that saves a run may be tried beyond that: its engine refuses what it has
# no room for.
RESCUE_MEMORY_RATIO = 1.15
# A backup may fill an engine up to this share; beyond it the memory is worth more
# to runs than to copies.
BACKUP_MEMORY_RATIO = 0.6
# A stream in another zone is lost when the zones lose each other; another zone is
# taken when the own one's engines are fuller by this share of a memory.
REMOTE_ZONE_COST = 1.0
# Time to the first event that weighs as much as a full engine.
START_SCALE_MS = 1_200.0
# A request that waits on an engine shows that its memory is short.
WAITING_COST = 0.3
# One running stream slows every step of the batch a little.
STREAM_COST = 0.01


# A run's memory is planned for what it grows to within about 3 s. Beyond that
# other runs of the batch end and give theirs back.
GROWTH_TOKENS = 350
# A copy is cut short by its engine when memory runs out, so little is planned.
COPY_GROWTH_TOKENS = 100


def planned_tokens(
    prompt_tokens: int, generated_tokens: int, expected_tokens: int, is_copy: bool
) -> int:
    """Return the memory that is planned for a run or a copy of one.

    Args:
        prompt_tokens: Tokens it reads.
        generated_tokens: Tokens it has made.
        expected_tokens: Predicted tokens of its whole output.
        is_copy: Whether it is a copy that grows with a run elsewhere.
    """
    growth = COPY_GROWTH_TOKENS if is_copy else GROWTH_TOKENS
    left_tokens = max(expected_tokens - generated_tokens, growth // 4)
    return prompt_tokens + generated_tokens + min(growth, left_tokens)


class EngineLoad(NamedTuple):
    """One engine as a candidate.

    Attributes:
        server_id: The engine.
        availability_zone: Zone it stands in.
        slot_count: Requests it works on at once.
        memory_tokens: Key-value memory.
        stream_count: Runs on it that this host knows of.
        committed_tokens: Memory planned for these runs and for copies of others.
        waiting_prompt_tokens: Prompts that it has still to read.
        is_cold: Whether it bears only a little load now.
        waiting_count: Requests that wait on it, by its own report.
        is_recently_started: Whether it has just started.
    """

    server_id: str
    availability_zone: str
    slot_count: int
    memory_tokens: int
    stream_count: int
    committed_tokens: int
    waiting_prompt_tokens: int
    is_cold: bool = False
    waiting_count: int = 0
    is_recently_started: bool = False


class SampleSize(NamedTuple):
    """How many engines with room a choice compares.

    Hosts that choose the best of all by the same stale news choose the same one.

    Attributes:
        near_count: Engines of the host's own zone, whose news is fresher.
        far_count: Engines of other zones, when the own zone has none with room.
    """

    near_count: int
    far_count: int


# Two random candidates are enough to avoid the fullest engines (power of two
# choices); the own zone's fresher news bears one more.
LARGE_FLEET_SAMPLE = SampleSize(near_count=3, far_count=2)


# Servers that one choice looks at. What it costs must not grow with the fleet, and the
# best of a hundred is hardly worse than the best of thousands.
NEAR_LOOKED_AT = 64
FAR_LOOKED_AT = 32

ServerT = TypeVar("ServerT")


def sample_candidates(
    servers: Sequence[ServerT], is_near: Callable[[ServerT], bool], rng: random.Random
) -> Sequence[ServerT]:
    """Return the servers that a choice looks at: all, or some of very many.

    Load answered: thousands of servers, on a host with half a core.
    """
    if len(servers) <= NEAR_LOOKED_AT + FAR_LOOKED_AT:
        return servers
    near: list[ServerT] = []
    far: list[ServerT] = []
    for server in servers:
        (near if is_near(server) else far).append(server)
    near = rng.sample(near, min(NEAR_LOOKED_AT, len(near)))
    return near + rng.sample(far, min(FAR_LOOKED_AT, len(far)))


class StreamDemand(NamedTuple):
    """What a stream asks of an engine.

    Attributes:
        peak_tokens: Memory that is planned for it.
        availability_zone: Zone of the host that carries it.
        prompt_tokens: Tokens to read before the first event.
        time_left_ms: Time in which the first event earns full credit.
        sample_size: How many engines to compare; None compares all.
        pace: Pace of the engines, as observed.
        is_reserved: Whether the engine reserves the memory before it is used.
    """

    peak_tokens: int
    availability_zone: str
    prompt_tokens: int = 0
    time_left_ms: float = math.inf
    sample_size: SampleSize | None = None
    pace: Pace = START_PACE
    is_reserved: bool = False


def select_engine(
    engines: Sequence[EngineLoad], need: StreamDemand, rng: random.Random
) -> EngineLoad | None:
    """Return the engine that serves a stream best, or None when none can.

    An engine must have room and be expected to bring the first event in time.
    Cold engines are candidates only when no warm one does.
    """
    fitting = [
        engine
        for engine in engines
        if has_room(engine, need)
        and expected_start_ms(engine, need) <= need.time_left_ms
    ]
    warm = [engine for engine in fitting if not engine.is_cold]
    candidates = warm or fitting
    if not candidates:
        return None
    return min(
        _sample(candidates, need, rng),
        key=lambda engine: (_cost(engine, need), rng.random()),
    )


def select_rescue_engine(
    engines: Sequence[EngineLoad], need: StreamDemand, rng: random.Random
) -> EngineLoad | None:
    """Return the engine to which a run on a leaving engine is copied, or None."""
    fitting = [
        engine
        for engine in engines
        if engine.stream_count < engine.slot_count
        and engine.committed_tokens + need.peak_tokens
        <= engine.memory_tokens * RESCUE_MEMORY_RATIO
    ]
    return min(
        _sample(fitting, need, rng),
        key=lambda engine: (_cost(engine, need), rng.random()),
        default=None,
    )


def select_backup_engine(
    engines: Sequence[EngineLoad], need: StreamDemand, rng: random.Random
) -> EngineLoad | None:
    """Return the engine that keeps a copy of a run's memory, or None.

    Args:
        engines: Candidates; not the engine that runs the request.
        need: The run.
        rng: Breaks ties.
    """
    fitting = [
        engine
        for engine in engines
        if not engine.is_cold
        and engine.committed_tokens + need.peak_tokens
        <= engine.memory_tokens * BACKUP_MEMORY_RATIO
    ]
    return min(
        _sample(fitting, need, rng),
        key=lambda engine: (engine.committed_tokens, rng.random()),
        default=None,
    )


def expected_start_ms(engine: EngineLoad, need: StreamDemand) -> float:
    """Return the expected time from sending a stream to its first event."""
    tokens = engine.waiting_prompt_tokens + need.prompt_tokens
    factor = FRESH_READING_FACTOR if engine.is_recently_started else 1.0
    return START_MS + tokens / need.pace.prompt_tokens_per_ms * factor


def has_room(engine: EngineLoad, need: StreamDemand) -> bool:
    """Return whether a stream fits by slots and predicted memory."""
    if engine.stream_count >= engine.slot_count:
        return False
    if engine.stream_count == 0:
        return True
    ratio = RESERVED_MEMORY_RATIO if need.is_reserved else PLANNED_MEMORY_RATIO
    planned_tokens = engine.memory_tokens * ratio
    return engine.committed_tokens + need.peak_tokens <= planned_tokens


def _sample(
    engines: Sequence[EngineLoad], need: StreamDemand, rng: random.Random
) -> Sequence[EngineLoad]:
    size = need.sample_size
    if size is None:
        return engines
    near = [e for e in engines if e.availability_zone == need.availability_zone]
    far = [e for e in engines if e.availability_zone != need.availability_zone]
    if near:
        return rng.sample(near, min(size.near_count, len(near)))
    return rng.sample(far, min(size.far_count, len(far)))


def _cost(engine: EngineLoad, need: StreamDemand) -> float:
    memory = engine.committed_tokens / max(1, engine.memory_tokens)
    is_other_zone = engine.availability_zone != need.availability_zone
    return (
        memory
        + STREAM_COST * engine.stream_count
        + WAITING_COST * engine.waiting_count
        + expected_start_ms(engine, need) / START_SCALE_MS
        + REMOTE_ZONE_COST * is_other_zone
        + FRESH_COST * engine.is_recently_started
    )


class PlainLoad(NamedTuple):
    """One plain server as a candidate; ``active_count`` counts this host's calls."""

    server_id: str
    availability_zone: str
    slot_count: int
    active_count: int
    is_cold: bool = False


def select_plain_server(
    servers: Sequence[PlainLoad], availability_zone: str, rng: random.Random
) -> PlainLoad | None:
    """Return the plain server with the fewest calls, own zone first on a tie."""
    warm = [server for server in servers if not server.is_cold] or servers

    def cost(server: PlainLoad) -> tuple[float, bool, float]:
        share = server.active_count / max(1, server.slot_count)
        is_other_zone = server.availability_zone != availability_zone
        return share + 0.5 * is_other_zone, is_other_zone, rng.random()

    return min(warm, key=cost, default=None)
