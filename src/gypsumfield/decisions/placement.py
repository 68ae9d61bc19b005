"""Selection of a backend server for one request that an edge host forwards.

It serves two kinds of load: streams of unknown length on engines that are short of
memory, and short calls on plain servers with few slots. An engine's load is computed
from the runs of this host and the updates of its peers. The engine's own report does
not replace them, because it may already be half a second old when it arrives: it only
adds the waiting requests and raises the committed memory if it shows more.
"""

import math
import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
from typing import TypeVar

from gypsumfield.decisions.pace import FIRST_EVENT_OVERHEAD_MS
from gypsumfield.decisions.pace import INITIAL_PACE
from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.pause_budget import slow_engine_cost
from gypsumfield.decisions.pause_budget import within_gap_limit

# Share of an engine's memory that may be planned; the rest absorbs the error of the
# predicted lengths.
PLANNED_MEMORY_RATIO = 0.95
# An engine that reserves memory before each stream refuses what does not fit, so a
# cautious plan would only leave memory unused.
RESERVED_MEMORY_RATIO = 1.05
# A recently started engine reads prompts more slowly for some seconds.
RECENT_START_READING_FACTOR = 3.0
# Cost added to a recently started engine, in shares of its memory.
RECENT_START_COST = 0.2
# Backup copies may fill an engine up to this share; beyond it the memory is better
# used for runs.
BACKUP_MEMORY_RATIO = 0.6
# A stream in a remote zone breaks when the network between the zones is partitioned.
# A remote zone is used when the local engines are fuller by this share of memory.
REMOTE_ZONE_COST = 1.0
# Time to the first event that costs as much as a full engine.
START_SCALE_MS = 1_200.0
# Cost of each request that waits on an engine: it shows that memory is short there.
WAITING_COST = 0.3
# Each running stream slows every decode step of the batch a little.
STREAM_COST = 0.01


# Memory is planned for the growth of a run within about 3 s. Later, other runs of the
# batch have ended and released theirs.
GROWTH_TOKENS = 350
# An engine truncates copies when its memory runs out, so little growth is planned.
COPY_GROWTH_TOKENS = 100


def planned_tokens(
    prompt_tokens: int, generated_tokens: int, expected_tokens: int, is_copy: bool
) -> int:
    """Return the memory, in tokens, that is planned for a run or a copy of one.

    Args:
        prompt_tokens: Tokens of the prompt.
        generated_tokens: Output tokens generated so far.
        expected_tokens: Predicted tokens of the whole output.
        is_copy: Whether it is a copy that grows with a run on another engine.
    """
    growth = COPY_GROWTH_TOKENS if is_copy else GROWTH_TOKENS
    remaining_tokens = max(expected_tokens - generated_tokens, growth // 4)
    return prompt_tokens + generated_tokens + min(growth, remaining_tokens)


class EngineLoad(NamedTuple):
    """Load of one engine that is a candidate for a stream.

    Attributes:
        server_id: Backend server id of the engine.
        availability_zone: Zone of the engine.
        slot_count: Requests that the engine runs at once.
        memory_tokens: Size of its key-value cache in tokens.
        stream_count: Runs on it that this host has recorded.
        committed_tokens: Memory planned for these runs and for copies of others.
        waiting_prompt_tokens: Prompt tokens that it has not read yet.
        is_cold: Whether it is in its cold start and accepts only little load.
        waiting_count: Requests that wait on it, by its own report.
        is_recently_started: Whether it was started recently.
        longest_gap_ms: Longest gap that its streams will have while a prompt is read;
            0 if unknown.
        slow_factor: How much slower than others it usually is, at least 1.
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
    longest_gap_ms: float = 0.0
    slow_factor: float = 1.0


class SampleSize(NamedTuple):
    """Number of engines with free capacity that one selection compares.

    If all hosts selected the best of all engines from the same outdated records,
    they would all select the same engine.

    Attributes:
        local_count: Engines of the host's own zone, whose records are more recent.
        remote_count: Engines of remote zones, used when no local engine has capacity.
    """

    local_count: int
    remote_count: int


# Two random candidates are enough to avoid the fullest engines (power of two choices).
# The records of the local zone are more recent and allow a third one.
LARGE_FLEET_SAMPLE = SampleSize(local_count=3, remote_count=2)


# Servers that one selection considers. Its cost must not grow with the fleet, and the
# best of a hundred servers is hardly worse than the best of thousands.
LOCAL_CANDIDATE_LIMIT = 64
REMOTE_CANDIDATE_LIMIT = 32

ServerT = TypeVar("ServerT")


def sample_candidates(
    servers: Sequence[ServerT], is_local: Callable[[ServerT], bool], rng: random.Random
) -> Sequence[ServerT]:
    """Return the servers that a selection considers: all, or a random sample.

    A sample is taken when there are more than `LOCAL_CANDIDATE_LIMIT` plus
    `REMOTE_CANDIDATE_LIMIT` servers. It bounds the processor time on a host with half
    a core and thousands of servers.

    Args:
        servers: All servers that can serve the request.
        is_local: Returns whether a server is in this host's zone.
        rng: Random source, seeded by the caller.
    """
    if len(servers) <= LOCAL_CANDIDATE_LIMIT + REMOTE_CANDIDATE_LIMIT:
        return servers
    local: list[ServerT] = []
    remote: list[ServerT] = []
    for server in servers:
        (local if is_local(server) else remote).append(server)
    local = rng.sample(local, min(LOCAL_CANDIDATE_LIMIT, len(local)))
    return local + rng.sample(remote, min(REMOTE_CANDIDATE_LIMIT, len(remote)))


class StreamDemand(NamedTuple):
    """Requirements of a stream that is placed on an engine.

    Attributes:
        peak_tokens: Memory that is planned for it.
        availability_zone: Zone of the host that serves it.
        prompt_tokens: Tokens to read before the first event.
        time_left_ms: Time left in which the first event meets the target latency.
        sample_size: Number of engines to compare; None compares all.
        pace: Observed speed of the engines.
        is_reserved: Whether the engine reserves the memory before the stream starts.
        max_pause_ms: Longest gap that streams of the service may have.
        memory_ratio: Share of an engine's memory that it may fill, if that is below
            the planned one; see `gypsumfield.decisions.memory_shares`.
    """

    peak_tokens: int
    availability_zone: str
    prompt_tokens: int = 0
    time_left_ms: float = math.inf
    sample_size: SampleSize | None = None
    pace: Pace = INITIAL_PACE
    is_reserved: bool = False
    max_pause_ms: float = math.inf
    memory_ratio: float = math.inf

    @property
    def is_long(self) -> bool:
        """Whether the stream runs long enough to meet a slow spell of its engine."""
        return self.peak_tokens - self.prompt_tokens >= GROWTH_TOKENS


def select_engine(
    engines: Sequence[EngineLoad], demand: StreamDemand, rng: random.Random
) -> EngineLoad | None:
    """Return the engine with the lowest cost for a stream, or None when none fits.

    An engine must have free capacity and be expected to send the first event in
    time. Cold engines are considered only when no warm engine fits. Of these, engines
    are preferred on which the prompt makes no stream exceed its longest gap.
    """
    fitting = [
        engine
        for engine in engines
        if has_capacity(engine, demand)
        and expected_start_ms(engine, demand) <= demand.time_left_ms
    ]
    warm = [engine for engine in fitting if not engine.is_cold]
    candidates = _prefer_short_gaps(warm or fitting, demand)
    if not candidates:
        return None
    return min(
        _sample(candidates, demand, rng),
        key=lambda engine: (
            _cost(engine, demand) + _pause_cost(engine, demand),
            rng.random(),
        ),
    )


def select_backup_engine(
    engines: Sequence[EngineLoad], demand: StreamDemand, rng: random.Random
) -> EngineLoad | None:
    """Return the engine that stores a copy of a run's key-value cache, or None.

    Args:
        engines: Candidates without the engine that runs the request.
        demand: Requirements of the run.
        rng: Random source for the sample and among equal costs.
    """
    fitting = [
        engine
        for engine in engines
        if not engine.is_cold
        and engine.committed_tokens + demand.peak_tokens
        <= engine.memory_tokens * BACKUP_MEMORY_RATIO
    ]
    return min(
        _sample(fitting, demand, rng),
        key=lambda engine: (engine.committed_tokens, rng.random()),
        default=None,
    )


def expected_start_ms(engine: EngineLoad, demand: StreamDemand) -> float:
    """Return the expected time from sending a stream to its first event, in ms."""
    tokens = engine.waiting_prompt_tokens + demand.prompt_tokens
    factor = RECENT_START_READING_FACTOR if engine.is_recently_started else 1.0
    return FIRST_EVENT_OVERHEAD_MS + tokens / demand.pace.prompt_tokens_per_ms * factor


def has_capacity(engine: EngineLoad, demand: StreamDemand) -> bool:
    """Return whether an engine has a free slot and enough memory for a stream.

    An engine without streams has capacity for any stream.
    """
    if engine.stream_count >= engine.slot_count:
        return False
    if engine.stream_count == 0:
        return True
    ratio = RESERVED_MEMORY_RATIO if demand.is_reserved else PLANNED_MEMORY_RATIO
    ratio = min(ratio, demand.memory_ratio)
    limit_tokens = engine.memory_tokens * ratio
    return engine.committed_tokens + demand.peak_tokens <= limit_tokens


def _sample(
    engines: Sequence[EngineLoad], demand: StreamDemand, rng: random.Random
) -> Sequence[EngineLoad]:
    size = demand.sample_size
    if size is None:
        return engines
    local = [
        engine
        for engine in engines
        if engine.availability_zone == demand.availability_zone
    ]
    remote = [
        engine
        for engine in engines
        if engine.availability_zone != demand.availability_zone
    ]
    if local:
        return rng.sample(local, min(size.local_count, len(local)))
    return rng.sample(remote, min(size.remote_count, len(remote)))


def _cost(engine: EngineLoad, demand: StreamDemand) -> float:
    memory_share = engine.committed_tokens / max(1, engine.memory_tokens)
    is_other_zone = engine.availability_zone != demand.availability_zone
    return (
        memory_share
        + STREAM_COST * engine.stream_count
        + WAITING_COST * engine.waiting_count
        + expected_start_ms(engine, demand) / START_SCALE_MS
        + REMOTE_ZONE_COST * is_other_zone
        + RECENT_START_COST * engine.is_recently_started
    )


def _prefer_short_gaps(
    engines: Sequence[EngineLoad], demand: StreamDemand
) -> Sequence[EngineLoad]:
    """Return the engines on which no stream exceeds its longest gap; all without any.

    A large fleet keeps its zone while an engine there is fast enough: otherwise all
    hosts would leave the zone together in a spell. Remote engines of unknown pace do
    not attract streams.
    """
    if demand.max_pause_ms == math.inf:
        return engines
    limit_ms = demand.max_pause_ms
    if demand.sample_size is None and not demand.is_reserved:
        return within_gap_limit(engines, _longest_gap_ms, limit_ms) or engines
    zone = demand.availability_zone
    local = [engine for engine in engines if engine.availability_zone == zone]
    remote = [
        engine
        for engine in engines
        if engine.availability_zone != zone and engine.longest_gap_ms > 0.0
    ]
    return (
        within_gap_limit(local, _longest_gap_ms, limit_ms)
        or within_gap_limit(remote, _longest_gap_ms, limit_ms)
        or engines
    )


def _longest_gap_ms(engine: EngineLoad) -> float:
    return engine.longest_gap_ms


def _pause_cost(engine: EngineLoad, demand: StreamDemand) -> float:
    if demand.max_pause_ms == math.inf or not demand.is_long:
        return 0.0
    return slow_engine_cost(engine.slow_factor)


class PlainLoad(NamedTuple):
    """Load of one plain server; ``active_count`` counts the calls of this host."""

    server_id: str
    availability_zone: str
    slot_count: int
    active_count: int
    is_cold: bool = False


def select_plain_server(
    servers: Sequence[PlainLoad], availability_zone: str, rng: random.Random
) -> PlainLoad | None:
    """Return the plain server with the lowest cost, or None when there are none.

    The cost is the share of busy slots plus a half for a server of a remote zone.
    On a tie the local zone goes first. Cold servers are considered only when there
    is no warm one.
    """
    warm = [server for server in servers if not server.is_cold] or servers

    def cost(server: PlainLoad) -> tuple[float, bool, float]:
        share = server.active_count / max(1, server.slot_count)
        is_other_zone = server.availability_zone != availability_zone
        return share + 0.5 * is_other_zone, is_other_zone, rng.random()

    return min(warm, key=cost, default=None)
