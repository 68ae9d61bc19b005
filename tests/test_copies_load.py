"""Streams and copies of their memory on the engines of a grown fleet, in virtual time.

Load: 27 engines with memory for 26,980 tokens, which is what short streams and prompts
in reading leave of 36; 20 write-ups a second that read 3,079 tokens and make 190 to
1,300; every 3.3 s the notice of a sixth of the engines. Hosts know the engines' memory
by digests.
"""

import random

import pytest

from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import LARGE_FLEET_SAMPLE
from gypsumfield.decisions.placement import planned_tokens
from gypsumfield.decisions.placement import select_backup_engine
from gypsumfield.decisions.placement import select_engine
from gypsumfield.decisions.placement import select_rescue_engine
from gypsumfield.decisions.placement import StreamDemand
from gypsumfield.decisions.protection import should_copy_from_start

ENGINES = 27
MEMORY_TOKENS = 26_980
PROMPT_TOKENS = 3_079
PER_TICK = 1
STEP_MS = 8.5
TICK_MS = 50.0
LENGTH_MS = 30_000.0
AIM_MS = 1_800.0
NOTICE_PERIOD_MS = 3_300.0
NOTICE_MS = 1_500.0
BACK_MS = 4_000.0
COPY_MS = 190.0
DIGEST_MS = 200.0


class Run:
    def __init__(self, now_ms, tokens):
        self.arrived_ms = now_ms
        self.tokens = tokens
        self.made = 0.0
        self.engine = None
        self.copy = None

    def planned(self, is_copy):
        return planned_tokens(PROMPT_TOKENS, int(self.made), self.tokens, is_copy)


class Day:
    """One day; ``is_large`` decides whether runs have a copy from their start."""

    def __init__(self, is_large, seed):
        self.is_large = is_large
        self.rng = random.Random(seed)
        self.arrivals = self.rng
        self.most_arrivals = 2 * PER_TICK
        self.runs = []
        self.waiting = []
        self.leaves_ms = {}
        self.away_until_ms = {}
        self.known = []
        self.known_ms = -DIGEST_MS
        self.in_time = self.late = self.lost = 0

    def loads(self, now_ms):
        committed = dict.fromkeys(range(ENGINES), 0)
        counts = dict.fromkeys(range(ENGINES), 0)
        for run in self.runs:
            committed[run.engine] += run.planned(False)
            counts[run.engine] += 1
            if run.copy is not None:
                committed[run.copy] += run.planned(True)
        return [
            EngineLoad(str(e), "z", 24, MEMORY_TOKENS, counts[e], committed[e], 0)
            for e in range(ENGINES)
            if e not in self.leaves_ms and self.away_until_ms.get(e, 0.0) <= now_ms
        ]

    def play(self):
        now_ms = 0.0
        next_notice_ms = NOTICE_PERIOD_MS
        while now_ms < LENGTH_MS:
            for _ in range(self.arrivals.randint(0, self.most_arrivals)):
                self.waiting.append(Run(now_ms, self.rng.randint(190, 1_300)))
            if now_ms >= next_notice_ms:
                next_notice_ms += NOTICE_PERIOD_MS
                for engine in self.rng.sample(range(ENGINES), ENGINES // 6):
                    if self.away_until_ms.get(engine, 0.0) <= now_ms:
                        self.leaves_ms[engine] = now_ms + NOTICE_MS
                        self.copy_runs(engine, now_ms)
            self.end_engines(now_ms)
            self.place(now_ms)
            for run in list(self.runs):
                run.made += TICK_MS / STEP_MS
                if run.made >= run.tokens:
                    self.runs.remove(run)
            now_ms += TICK_MS
        return self

    def reserve(self, chosen, run, now_ms):
        """Return whether the engine has room, which hosts know by the last digest."""
        now = {load.server_id: load for load in self.loads(now_ms)}
        load = now.get(chosen.server_id)
        return load is not None and (
            load.committed_tokens + run.planned(False) <= MEMORY_TOKENS
        )

    def need(self, tokens):
        return StreamDemand(tokens, "z", sample_size=LARGE_FLEET_SAMPLE)

    def place(self, now_ms):
        if now_ms - self.known_ms >= DIGEST_MS:
            self.known_ms = now_ms
            self.known = self.loads(now_ms)
        for run in list(self.waiting):
            engines = self.known
            chosen = select_engine(engines, self.need(run.planned(False)), self.rng)
            if chosen is None or not self.reserve(chosen, run, now_ms):
                continue
            self.waiting.remove(run)
            run.engine = int(chosen.server_id)
            self.runs.append(run)
            if now_ms - run.arrived_ms + 600.0 <= AIM_MS:
                self.in_time += 1
            else:
                self.late += 1
            if should_copy_from_start(self.is_large):
                others = [e for e in engines if e.server_id != chosen.server_id]
                copy = select_backup_engine(
                    others, self.need(run.planned(True)), self.rng
                )
                run.copy = int(copy.server_id) if copy else None

    def copy_runs(self, engine, now_ms):
        """Copy what runs on an engine with a notice, one after the other."""
        room = int(NOTICE_MS / COPY_MS)
        for run in [run for run in self.runs if run.engine == engine]:
            if run.copy is not None and run.copy not in self.leaves_ms:
                continue
            run.copy = None
            if not room:
                continue
            need = self.need(run.planned(False))
            target = select_rescue_engine(self.loads(now_ms), need, self.rng)
            if target is not None:
                room -= 1
                run.copy = int(target.server_id)

    def end_engines(self, now_ms):
        for engine, end_ms in list(self.leaves_ms.items()):
            if end_ms > now_ms:
                continue
            del self.leaves_ms[engine]
            self.away_until_ms[engine] = now_ms + BACK_MS
            for run in [run for run in self.runs if run.engine == engine]:
                if run.copy is None or run.copy in self.leaves_ms:
                    self.runs.remove(run)
                    self.lost += 1
                else:
                    run.engine, run.copy = run.copy, None


@pytest.mark.parametrize("seed", range(3))
def test_memory_without_copies_from_the_start_serves_more_streams_in_time(seed):
    at_notice = Day(True, seed).play()
    from_start = Day(False, seed).play()
    owed = at_notice.in_time + at_notice.late + len(at_notice.waiting)
    assert at_notice.in_time / owed > 0.9
    assert at_notice.in_time > from_start.in_time
    assert at_notice.lost <= 0.05 * owed


class ReservedDay(Day):
    """A day on engines that grant a reservation by what they hold, not by plans."""

    def __init__(self, is_reserved, seed):
        super().__init__(True, seed)
        self.is_reserved = is_reserved
        self.arrivals = random.Random(seed)
        # Half as many again as engines bear: memory decides who is in time.
        self.most_arrivals = 3 * PER_TICK

    def need(self, tokens):
        return super().need(tokens)._replace(is_reserved=self.is_reserved)

    def reserve(self, chosen, run, now_ms):
        engine = int(chosen.server_id)
        here = [each for each in self.runs if engine in (each.engine, each.copy)]
        held = sum(PROMPT_TOKENS + int(each.made) for each in here)
        is_there = self.away_until_ms.get(engine, 0.0) <= now_ms
        is_there = is_there and engine not in self.leaves_ms
        return is_there and held + run.planned(False) <= MEMORY_TOKENS


@pytest.mark.parametrize("seed", range(3))
def test_memory_that_engines_reserve_themselves_is_used_up(seed):
    by_plan = ReservedDay(False, seed).play()
    by_engine = ReservedDay(True, seed).play()
    assert by_engine.in_time > 1.1 * by_plan.in_time
    assert len(by_engine.waiting) < len(by_plan.waiting)
    # Fuller engines have less room for copies at a notice; the balance counts.
    gained = by_engine.in_time - by_plan.in_time
    assert gained > by_engine.lost - by_plan.lost
