"""Streams of a fleet of three zones, one of which is cut off, in virtual time.

Load: nine engines with memory for 34,312 tokens, 3.4 write-ups a second that read 3,079
tokens and make 190 to 1,300, uneven over the zones; after 20 s one zone loses the
others, and each stream that crosses the cut is lost to its caller.
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
CUT_MS = 20_000.0
AIM_MS = 1_800.0


class Run:
    def __init__(self, now_ms, zone, engine, tokens):
        self.begun_ms = now_ms
        self.zone = zone
        self.engine = engine
        self.tokens = tokens

    def made(self, now_ms):
        return max(0, int((now_ms - self.begun_ms - READING_MS) / STEP_MS))

    def is_reading(self, now_ms):
        return now_ms - self.begun_ms < READING_MS

    def is_over(self, now_ms):
        return self.made(now_ms) >= self.tokens


def zone_of(engine):
    return ZONES[engine % len(ZONES)]


def loads(runs, now_ms):
    result = []
    for engine in range(ENGINES):
        here = [run for run in runs if run.engine == engine]
        committed = sum(
            planned_tokens(PROMPT_TOKENS, run.made(now_ms), run.tokens, False)
            for run in here
        )
        waiting = PROMPT_TOKENS * sum(run.is_reading(now_ms) for run in here)
        result.append(
            EngineLoad(
                str(engine),
                zone_of(engine),
                24,
                MEMORY_TOKENS,
                len(here),
                committed,
                waiting,
            )
        )
    return result


def play(seed):
    """Return the streams in flight at the cut, those across it, and those unplaced."""
    rng = random.Random(seed)
    runs = []
    now_ms = unplaced = 0
    while (now_ms := now_ms + rng.expovariate(STREAMS_PER_S / 1_000.0)) < CUT_MS:
        runs = [run for run in runs if not run.is_over(now_ms)]
        zone = rng.choices(ZONES, ZONE_WEIGHTS)[0]
        tokens = rng.randint(190, 1_300)
        peak = planned_tokens(PROMPT_TOKENS, 0, tokens, False)
        need = StreamDemand(peak, zone, PROMPT_TOKENS, AIM_MS)
        chosen = select_engine(loads(runs, now_ms), need, rng)
        if chosen is None:
            unplaced += 1
        else:
            runs.append(Run(now_ms, zone, int(chosen.server_id), tokens))
    running = [run for run in runs if not run.is_over(CUT_MS)]
    across = [run for run in running if run.zone != zone_of(run.engine)]
    return len(running), len(across), unplaced


def total(seeds):
    return [sum(each) for each in zip(*map(play, seeds), strict=True)]


def test_few_streams_cross_the_cut_of_a_zone(monkeypatch):
    seeds = range(10)
    running, across, unplaced = total(seeds)
    assert unplaced == 0
    assert across <= 0.02 * running
    monkeypatch.setattr(placement, "REMOTE_ZONE_COST", 0.2)
    running_before, across_before, _ = total(seeds)
    assert across_before > 3 * max(1, across) * running_before / running


@pytest.mark.parametrize("full_zone", ZONES)
def test_a_full_zone_sends_its_streams_elsewhere(full_zone):
    engines = [
        load._replace(committed_tokens=MEMORY_TOKENS if at == full_zone else 0)
        for load in loads([], 0.0)
        for at in [load.availability_zone]
    ]
    need = StreamDemand(4_000, full_zone, PROMPT_TOKENS, AIM_MS)
    full = [
        engine._replace(stream_count=8 if engine.committed_tokens else 0)
        for engine in engines
    ]
    chosen = select_engine(full, need, random.Random(1))
    assert chosen is not None
    assert chosen.availability_zone != full_zone
