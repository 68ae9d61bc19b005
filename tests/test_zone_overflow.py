"""Overflow of streams between zones with uneven demand, in virtual time.

Load: three zones with ten, ten and nine equal engines receive 79, 60 and 55 of 194
requests per second. The demand of each swings by 0.55 with a period of 17 s, slightly
out of phase. A host knows the load of engines once a second, and its own streams.
"""

import math
import random

import pytest

from gypsumfield.decisions import zone_overflow
from gypsumfield.decisions.pace import Pace
from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import LARGE_FLEET_SAMPLE
from gypsumfield.decisions.placement import planned_tokens
from gypsumfield.decisions.placement import select_engine
from gypsumfield.decisions.placement import StreamDemand
from gypsumfield.decisions.zone_overflow import accepts_overflow
from gypsumfield.decisions.zone_overflow import zone_loads
from gypsumfield.decisions.zone_overflow import ZoneLoad
from gypsumfield.decisions.zone_overflow import ZoneOverflow

ZONES = ("z0", "z1", "z2")
ZONE_RATES = (79.0, 60.0, 55.0)
PHASES_MS = (0.0, 1_500.0, 3_000.0)
SWING = 0.55
PERIOD_MS = 17_000.0
ENGINES = 29
HOSTS = 28
SLOTS = 24
MEMORY_TOKENS = 26_968
PROMPT_TOKENS = 3_079
# Streams per request of the published rates, so that the loaded zone is short of memory
# at the peak while the others are not.
STREAM_SHARE = 0.1
STEP_MS = 9.0
PACE = Pace(STEP_MS, 14.0, 5_000.0)
READING_MS = PROMPT_TOKENS / PACE.prompt_tokens_per_ms
TICK_MS = 50.0
DURATION_MS = 2 * PERIOD_MS
VIEW_INTERVAL_MS = 1_000.0
TARGET_MS = 1_805.0
REFUSED_WAIT_MS = 250.0


class Run:
    def __init__(self, host, now_ms, tokens):
        self.host = host
        self.arrived_ms = now_ms
        self.retry_ms = now_ms
        self.tokens = tokens
        self.engine = None
        self.placed_ms = 0.0
        self.started_ms = 0.0
        self.is_remote = False

    def generated(self, now_ms):
        return max(0, int((now_ms - self.started_ms) / STEP_MS))

    def planned(self, now_ms):
        generated = self.generated(now_ms) if self.engine is not None else 0
        return planned_tokens(PROMPT_TOKENS, generated, self.tokens, False)


def zone_of(number):
    return ZONES[number % len(ZONES)]


class Host:
    def __init__(self, number):
        self.zone = zone_of(number)
        self.overflow = ZoneOverflow(self.zone)
        self.phase_ms = VIEW_INTERVAL_MS * number / HOSTS
        self.loads = []
        self.seen_ms = -VIEW_INTERVAL_MS
        self.taken_ms = 0.0
        self.starts = 0


class Fleet:
    """A load run; ``overflows`` decides whether zones overflow early."""

    def __init__(self, overflows, seed, barred=()):
        self.overflows = overflows
        self.barred = barred
        self.rng = random.Random(seed)
        self.arrivals = random.Random(seed + 1_000)
        self.hosts = [Host(number) for number in range(HOSTS)]
        self.runs = []
        self.waiting = []
        self.reading_until_ms = [0.0] * ENGINES
        self.full_until_ms = {}
        self.placed = []
        self.remote_shares = []

    def all_loads(self, now_ms):
        counts = [0] * ENGINES
        tokens = [600] * ENGINES
        for run in self.runs:
            counts[run.engine] += 1
            tokens[run.engine] += run.planned(now_ms)
        prompts = [
            int(max(0.0, end_ms - now_ms) * PACE.prompt_tokens_per_ms)
            for end_ms in self.reading_until_ms
        ]
        return [
            EngineLoad(
                str(e),
                zone_of(e),
                SLOTS,
                MEMORY_TOKENS,
                counts[e],
                tokens[e],
                prompts[e],
            )
            for e in range(ENGINES)
        ]

    def view(self, number, now_ms):
        host = self.hosts[number]
        if now_ms + host.phase_ms - host.seen_ms >= VIEW_INTERVAL_MS:
            host.seen_ms = now_ms + host.phase_ms
            host.seen_ms -= host.seen_ms % VIEW_INTERVAL_MS
            host.taken_ms = now_ms
            host.loads = self.all_loads(now_ms)
        own = [
            run
            for run in self.runs
            if run.host == number and run.placed_ms >= host.taken_ms
        ]
        loads = []
        for load in host.loads:
            if self.full_until_ms.get((number, load.server_id), 0.0) > now_ms:
                continue
            mine = [run for run in own if str(run.engine) == load.server_id]
            loads.append(
                load._replace(
                    stream_count=load.stream_count + len(mine),
                    committed_tokens=load.committed_tokens
                    + sum(run.planned(now_ms) for run in mine),
                    waiting_prompt_tokens=load.waiting_prompt_tokens
                    + PROMPT_TOKENS * len(mine),
                )
            )
        return loads

    def simulate(self):
        now_ms = 0.0
        while now_ms < DURATION_MS:
            for zone, rate in enumerate(ZONE_RATES):
                angle = 2 * math.pi * (now_ms - PHASES_MS[zone]) / PERIOD_MS
                expected = rate * STREAM_SHARE * TICK_MS / 1_000.0
                expected *= 1.0 + SWING * math.sin(angle)
                for _ in range(int(expected + self.arrivals.random())):
                    hosts = range(zone, HOSTS, len(ZONES))
                    tokens = self.arrivals.randint(190, 1_300)
                    host = self.arrivals.choice(hosts)
                    self.waiting.append(Run(host, now_ms, tokens))
            for run in list(self.waiting):
                if run.retry_ms <= now_ms:
                    self.place(run, now_ms)
            self.runs = [run for run in self.runs if run.generated(now_ms) < run.tokens]
            now_ms += TICK_MS
        return self

    def place(self, run, now_ms):
        host = self.hosts[run.host]
        loads = self.view(run.host, now_ms)
        demand = StreamDemand(
            run.planned(now_ms),
            host.zone,
            PROMPT_TOKENS,
            TARGET_MS - (now_ms - run.arrived_ms),
            LARGE_FLEET_SAMPLE,
            PACE,
            True,
        )
        selected = None
        if self.overflows and run.retry_ms == run.arrived_ms:
            before = set(host.overflow.shares)
            zones = zone_loads(loads, PACE)
            host.overflow.update(zones, self.barred, PACE.run_ms)
            host.starts += len(set(host.overflow.shares) - before)
            share = sum(host.overflow.shares.values())
            self.remote_shares.append((now_ms, host.zone, share))
            zone = host.overflow.select_zone(self.rng)
            remote = [
                e
                for e in loads
                if e.availability_zone == zone and accepts_overflow(e, demand)
            ]
            selected = select_engine(remote, demand, self.rng)
        selected = selected or select_engine(loads, demand, self.rng)
        if selected is None:
            if now_ms - run.arrived_ms > TARGET_MS:
                self.waiting.remove(run)
                self.placed.append((run, math.inf))
            else:
                run.retry_ms = now_ms + REFUSED_WAIT_MS
            return
        engine = int(selected.server_id)
        used = 600 + sum(
            PROMPT_TOKENS + other.generated(now_ms)
            for other in self.runs
            if other.engine == engine
        )
        if used + run.planned(now_ms) > MEMORY_TOKENS:
            self.full_until_ms[run.host, selected.server_id] = now_ms + REFUSED_WAIT_MS
            run.retry_ms = now_ms + TICK_MS
            return
        self.waiting.remove(run)
        start_ms = max(now_ms, self.reading_until_ms[engine]) + READING_MS
        self.reading_until_ms[engine] = start_ms
        run.engine, run.placed_ms, run.started_ms = engine, now_ms, start_ms
        run.is_remote = zone_of(engine) != host.zone
        self.runs.append(run)
        self.placed.append((run, start_ms - run.arrived_ms))

    def delayed(self, zone):
        """Return the streams of a zone that no engine accepted at the first attempt."""
        return sum(
            run.retry_ms > run.arrived_ms
            for run, _ in self.placed
            if self.hosts[run.host].zone == zone
        )


@pytest.fixture(scope="module")
def fleets():
    """Return load runs without and with overflow, of the same demand."""
    return {
        overflows: [Fleet(overflows, seed).simulate() for seed in range(8)]
        for overflows in (False, True)
    }


def delayed(fleets, zone):
    return sum(fleet.delayed(zone) for fleet in fleets)


def test_fewer_streams_of_the_loaded_zone_wait(fleets):
    assert delayed(fleets[True], "z0") < 0.8 * delayed(fleets[False], "z0")


def test_the_streams_of_the_other_zones_do_not_wait_instead(fleets):
    total, before = (
        sum(delayed(fleets[overflows], zone) for zone in ZONES)
        for overflows in (True, False)
    )
    assert total < 0.9 * before


def test_few_streams_leave_their_zone(fleets):
    placed = [run for fleet in fleets[True] for run, _ in fleet.placed]
    assert sum(run.is_remote for run in placed) < 0.05 * len(placed)


def test_overflow_does_not_start_again_within_a_wave(fleets):
    # Two waves, and two remote zones for each.
    hosts = [host for fleet in fleets[True] for host in fleet.hosts]
    assert max(host.starts for host in hosts) <= 2 * 2
    assert sum(host.starts for host in hosts) <= 2 * len(hosts)


def test_streams_stay_at_home_after_the_wave(fleets):
    for fleet in fleets[True]:
        for now_ms, zone, share in fleet.remote_shares:
            wave_ms = (now_ms - PHASES_MS[ZONES.index(zone)]) % PERIOD_MS
            # Demand is lowest at three quarters; the wave has ended by then.
            if 0.75 * PERIOD_MS <= wave_ms < PERIOD_MS:
                assert share == 0.0


def test_a_zone_that_is_cut_off_receives_nothing():
    fleet = Fleet(True, 1, barred={"z2"}).simulate()
    assert all("z2" not in host.overflow.shares for host in fleet.hosts)


FULL = ZoneLoad(0.95, 230_000, 0.0)
EMPTY = ZoneLoad(0.3, 80_000, 120_000.0)


def shares_after(*rounds, barred=(), run_ms=5_000.0):
    overflow = ZoneOverflow("z0")
    for loads in rounds:
        overflow.update(loads, barred, run_ms)
    return overflow.shares


def test_a_nearly_full_zone_overflows_into_a_clearly_emptier_one():
    share = shares_after({"z0": FULL, "z1": EMPTY})["z1"]
    assert 0.0 < share <= zone_overflow.MAX_SHARE


def test_a_greater_difference_gives_a_greater_share():
    small, large = (
        shares_after({"z0": FULL, "z1": EMPTY._replace(load=load)})["z1"]
        for load in (0.65, 0.55)
    )
    assert large > small


@pytest.mark.parametrize(
    ("local", "remote"),
    [
        (FULL._replace(load=zone_overflow.START_LOCAL_LOAD - 0.01), EMPTY),
        (FULL, EMPTY._replace(load=FULL.load - zone_overflow.START_ADVANTAGE + 0.01)),
        (FULL._replace(load=2.0), EMPTY._replace(load=0.76)),
        (FULL, EMPTY._replace(free_tokens=0.0)),
    ],
    ids=["local_not_full", "small_advantage", "remote_loaded", "no_known_room"],
)
def test_without_a_clear_advantage_streams_stay(local, remote):
    assert shares_after({"z0": local, "z1": remote}) == {}


def test_overflow_goes_on_until_the_lower_threshold():
    between = {"z0": FULL._replace(load=0.7), "z1": EMPTY._replace(load=0.5)}
    below = {"z0": FULL._replace(load=0.6), "z1": EMPTY}
    started = {"z0": FULL, "z1": EMPTY}
    assert shares_after(between) == {}
    assert shares_after(started, between)["z1"] > 0.0
    assert shares_after(started, below) == {}


@pytest.mark.parametrize("barred", [["z1"], ("z1", "z2")])
def test_a_barred_zone_ends_overflow_at_once(barred):
    loads = {"z0": FULL, "z1": EMPTY}
    assert shares_after(loads, barred=barred) == {}
    overflow = ZoneOverflow("z0")
    overflow.update(loads, (), 5_000.0)
    overflow.update(loads, barred, 5_000.0)
    assert overflow.shares == {}


def test_all_zones_together_do_not_fill_a_remote_zone():
    # Each of two full zones sends what its hosts decide within the reaction time.
    loads = {"z0": FULL, "z1": EMPTY._replace(free_tokens=8_000.0), "z2": FULL}
    for run_ms in (500.0, 5_000.0):
        share = shares_after(loads, run_ms=run_ms)["z1"]
        sent = 2 * share * FULL.committed_tokens * zone_overflow.REACTION_MS / run_ms
        assert sent <= 8_000.0 * zone_overflow.FILLED_SHARE * 1.001


def engine(name, zone, committed, **fields):
    return EngineLoad(name, zone, SLOTS, MEMORY_TOKENS, 3, committed, 0)._replace(
        **fields
    )


def test_engines_of_unknown_load_do_not_attract():
    near = engine("e1", "z0", 26_000)
    unknown = engine("e2", "z1", 0, stream_count=0)
    assert shares_after(zone_loads([near, unknown], PACE)) == {}
    known = engine("e3", "z1", 4_000)
    loads = zone_loads([near, unknown, known], PACE)
    assert loads["z1"].free_tokens == pytest.approx(MEMORY_TOKENS * 0.75 - 4_000)
    assert not accepts_overflow(unknown, StreamDemand(4_000, "z0"))
    assert accepts_overflow(known, StreamDemand(4_000, "z0"))


@pytest.mark.parametrize(
    "fields",
    [{"is_cold": True}, {"is_recently_started": True}, {"waiting_count": 1}],
    ids=["cold", "just_started", "short_of_memory"],
)
def test_engines_in_difficulty_receive_no_overflow(fields):
    load = engine("e1", "z1", 4_000, **fields)
    assert not accepts_overflow(load, StreamDemand(4_000, "z0"))


def test_prompts_that_wait_count_as_load():
    idle = zone_loads([engine("e1", "z0", 10_000)], PACE)["z0"]
    busy = engine("e1", "z0", 10_000, waiting_prompt_tokens=10_000)
    assert zone_loads([busy], PACE)["z0"].load > idle.load + 0.5


def test_without_a_usable_engine_in_the_zone_nothing_is_decided():
    assert shares_after({"z1": EMPTY}) == {}
