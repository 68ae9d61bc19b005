"""Streams of a fleet of three zones, one of which is partitioned, in virtual time.

Load: nine engines with memory for 34,312 tokens and 3.4 long streams per second, with
prompts of 3,079 tokens and outputs of 190 to 1,300, unevenly spread over the zones.
After 20 s the network between one zone and the others is partitioned, and callers lose
each stream that crosses the partition.
"""

import random

import pytest

from gypsumfield.decisions import placement
from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import planned_tokens
from gypsumfield.decisions.placement import select_engine
from gypsumfield.decisions.placement import StreamDemand

ZONES = ("kladno", "beroun", "mlada")
ZONE_WEIGHTS = (22.8, 17.9, 18.5)
ENGINES = 9
MEMORY_TOKENS = 34_312
PROMPT_TOKENS = 3_079
READING_MS = 214.0
STEP_MS = 9.5
STREAMS_PER_S = 3.4
PARTITION_MS = 20_000.0
TARGET_MS = 1_800.0


class Run:
    def __init__(self, now_ms, zone, engine, tokens):
        self.started_ms = now_ms
        self.zone = zone
        self.engine = engine
        self.tokens = tokens

    def generated_tokens(self, now_ms):
        return max(0, int((now_ms - self.started_ms - READING_MS) / STEP_MS))

    def is_reading_prompt(self, now_ms):
        return now_ms - self.started_ms < READING_MS

    def has_ended(self, now_ms):
        return self.generated_tokens(now_ms) >= self.tokens


def zone_of(engine):
    return ZONES[engine % len(ZONES)]


def loads(runs, now_ms):
    result = []
    for engine in range(ENGINES):
        engine_runs = [run for run in runs if run.engine == engine]
        committed = sum(
            planned_tokens(
                PROMPT_TOKENS, run.generated_tokens(now_ms), run.tokens, False
            )
            for run in engine_runs
        )
        waiting = PROMPT_TOKENS * sum(
            run.is_reading_prompt(now_ms) for run in engine_runs
        )
        result.append(
            EngineLoad(
                str(engine),
                zone_of(engine),
                24,
                MEMORY_TOKENS,
                len(engine_runs),
                committed,
                waiting,
            )
        )
    return result


def simulate(seed):
    """Return counts of running, cross-zone and unplaced streams at the partition."""
    rng = random.Random(seed)
    runs = []
    now_ms = unplaced = 0
    while (now_ms := now_ms + rng.expovariate(STREAMS_PER_S / 1_000.0)) < PARTITION_MS:
        runs = [run for run in runs if not run.has_ended(now_ms)]
        zone = rng.choices(ZONES, ZONE_WEIGHTS)[0]
        tokens = rng.randint(190, 1_300)
        peak = planned_tokens(PROMPT_TOKENS, 0, tokens, False)
        demand = StreamDemand(peak, zone, PROMPT_TOKENS, TARGET_MS)
        selected = select_engine(loads(runs, now_ms), demand, rng)
        if selected is None:
            unplaced += 1
        else:
            runs.append(Run(now_ms, zone, int(selected.server_id), tokens))
    running = [run for run in runs if not run.has_ended(PARTITION_MS)]
    cross_zone = [run for run in running if run.zone != zone_of(run.engine)]
    return len(running), len(cross_zone), unplaced


def total(seeds):
    return [sum(counts) for counts in zip(*map(simulate, seeds), strict=True)]


def test_few_streams_cross_the_partition_of_a_zone(monkeypatch):
    seeds = range(10)
    running, cross_zone, unplaced = total(seeds)
    assert unplaced == 0
    assert cross_zone <= 0.02 * running
    monkeypatch.setattr(placement, "REMOTE_ZONE_COST", 0.2)
    running_before, cross_zone_before, _ = total(seeds)
    assert cross_zone_before > 3 * max(1, cross_zone) * running_before / running


@pytest.mark.parametrize("full_zone", ZONES)
def test_a_full_zone_places_its_streams_in_remote_zones(full_zone):
    engines = [
        load._replace(committed_tokens=MEMORY_TOKENS if zone == full_zone else 0)
        for load in loads([], 0.0)
        for zone in [load.availability_zone]
    ]
    demand = StreamDemand(4_000, full_zone, PROMPT_TOKENS, TARGET_MS)
    full = [
        engine._replace(stream_count=8 if engine.committed_tokens else 0)
        for engine in engines
    ]
    selected = select_engine(full, demand, random.Random(1))
    assert selected is not None
    assert selected.availability_zone != full_zone
