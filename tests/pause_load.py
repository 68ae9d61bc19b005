"""Plays streams on engines of uneven speed with slow spells, placed by many hosts."""

import random
from dataclasses import dataclass
from dataclasses import field

from gypsumfield.decisions.pause_budget import EventTimes
from gypsumfield.decisions.pause_budget import PolledEvents
from gypsumfield.decisions.pause_budget import predicted_gap_ms
from gypsumfield.decisions.pause_budget import service_usual_ms
from gypsumfield.decisions.pause_budget import slow_factor
from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import LARGE_FLEET_SAMPLE
from gypsumfield.decisions.placement import planned_tokens
from gypsumfield.decisions.placement import select_engine
from gypsumfield.decisions.placement import StreamDemand

EVENT_MS = 31.0
PROMPT_TOKENS_PER_MS = 14.0
MEMORY_TOKENS = 26_968
SLOT_COUNT = 24
HOST_COUNT = 28
TICK_MS = 5.0
# Rate a second, prompt tokens and events of the two kinds of streams.
KINDS = ((14.0, 3_079, 187), (15.0, 2_550, 3))
POLL_MS = 500.0
VIEW_MS = 1_000.0


@dataclass
class Run:
    """One stream on its engine, and the times of its events."""

    host: int
    prompt_tokens: int
    event_total: int
    planned: int
    started_ms: float
    unread: float
    progress: float = 0.0
    event_count: int = 0
    last_event_ms: float = 0.0
    longest_gap_ms: float = 0.0


@dataclass
class Engine:
    """One engine; its speed changes with spells and while it reads prompts."""

    number: int
    zone: str
    nature: float
    spell_until_ms: float = 0.0
    next_spell_ms: float = 0.0
    runs: list[Run] = field(default_factory=list)
    gaps: dict[int, EventTimes] = field(default_factory=dict)
    times: EventTimes = field(default_factory=lambda: EventTimes(1))
    polled: PolledEvents = field(default_factory=PolledEvents)
    snapshot: dict[str, int] = field(default_factory=dict)


class PauseLoad:
    """Plays the load on 29 engines; ``max_pause_ms`` of infinity is without the part.

    Attributes:
        ended: Long streams that began after the warm-up and have ended.
        placed: Streams placed on each engine after the warm-up.
        peak_count: Largest number of runs on an engine after the warm-up.
    """

    def __init__(self, max_pause_ms, seed, warm_up_ms=20_000.0):
        self.max_pause_ms = max_pause_ms
        self.rng = random.Random(seed)
        self.warm_up_ms = warm_up_ms
        # The same spells and arrivals, whatever the placements are.
        self.load_rng = random.Random(seed + 1)
        self.engines = [
            Engine(n, f"z{n % 3}", 1.3 if n // 3 % 3 == 0 else 1.0) for n in range(29)
        ]
        for engine in self.engines:
            engine.next_spell_ms = self.load_rng.uniform(0.0, 20_000.0)
        self.views = [{} for _ in range(HOST_COUNT)]
        self.view_due = [self.rng.uniform(0.0, VIEW_MS) for _ in range(HOST_COUNT)]
        self.ended = []
        self.placed = [0] * len(self.engines)
        self.peak_count = 0
        self.waiting = []
        self.now_ms = 0.0

    def run(self, duration_ms):
        """Play the load for a time."""
        next_ms = [self.load_rng.expovariate(kind[0] / 1_000.0) for kind in KINDS]
        while self.now_ms < duration_ms:
            self.now_ms += TICK_MS
            for number, (rate, *kind) in enumerate(KINDS):
                while next_ms[number] <= self.now_ms:
                    next_ms[number] += self.load_rng.expovariate(rate / 1_000.0)
                    host = self.load_rng.randrange(HOST_COUNT)
                    self.waiting.append((host, *kind))
            self.update_views()
            self.waiting = [stream for stream in self.waiting if not self.place(stream)]
            for engine in self.engines:
                self.advance(engine)

    def update_views(self):
        """Give each host, once a second, the loads and paces of now."""
        for engine in self.engines:
            if self.now_ms % 200.0 < TICK_MS:
                for host, gaps in engine.gaps.items():
                    own_ms = gaps.own_ms(self.now_ms)
                    engine.times.record_peer(str(host), own_ms, self.now_ms)
            # Engines renew their report at other times than they are polled.
            if (self.now_ms + 17.0 * engine.number) % POLL_MS < TICK_MS:
                counts = engine.polled.record(engine.snapshot, self.now_ms)
                engine.times.record_polled(counts, self.now_ms)
            if (self.now_ms + 71.0 * engine.number) % POLL_MS < TICK_MS:
                engine.snapshot = {str(id(r)): r.event_count for r in engine.runs}
        loads = None
        for host, due_ms in enumerate(self.view_due):
            if due_ms <= self.now_ms:
                loads = loads or {e.number: self.load(e) for e in self.engines}
                self.views[host] = dict(loads)
                self.view_due[host] += VIEW_MS

    def load(self, engine):
        usual_ms = engine.times.usual_ms
        event_ms = engine.times.current_ms(self.now_ms) or usual_ms
        service_ms = service_usual_ms(e.times.usual_ms for e in self.engines)
        return EngineLoad(
            str(engine.number),
            engine.zone,
            SLOT_COUNT,
            MEMORY_TOKENS,
            len(engine.runs),
            sum(run.planned for run in engine.runs),
            int(sum(run.unread for run in engine.runs)),
            longest_gap_ms=predicted_gap_ms(event_ms),
            slow_factor=slow_factor(usual_ms, service_ms),
        )

    def place(self, stream):
        """Place a stream by the view of its host; return whether an engine fits."""
        host, prompt_tokens, event_total = stream
        planned = planned_tokens(prompt_tokens, 0, event_total * 4, is_copy=False)
        demand = StreamDemand(
            planned,
            f"z{host % 3}",
            prompt_tokens,
            sample_size=LARGE_FLEET_SAMPLE,
            max_pause_ms=self.max_pause_ms,
        )
        view = self.views[host]
        chosen = select_engine(list(view.values()), demand, self.rng)
        if chosen is None:
            return False
        view[int(chosen.server_id)] = chosen._replace(
            stream_count=chosen.stream_count + 1,
            committed_tokens=chosen.committed_tokens + planned,
            waiting_prompt_tokens=chosen.waiting_prompt_tokens + prompt_tokens,
        )
        engine = self.engines[int(chosen.server_id)]
        run = Run(host, prompt_tokens, event_total, planned, self.now_ms, prompt_tokens)
        engine.runs.append(run)
        if self.now_ms >= self.warm_up_ms:
            self.placed[engine.number] += 1
            self.peak_count = max(self.peak_count, len(engine.runs))
        return True

    def advance(self, engine):
        """Let an engine work for one tick."""
        if self.now_ms >= engine.next_spell_ms:
            engine.spell_until_ms = self.now_ms + self.load_rng.uniform(2e3, 4e3)
            engine.next_spell_ms += self.load_rng.uniform(14e3, 26e3)
        slowness = engine.nature * (2.5 if self.now_ms < engine.spell_until_ms else 1)
        reading = next((run for run in engine.runs if run.unread > 0.0), None)
        step = TICK_MS / (EVENT_MS * slowness * (2.0 if reading else 1.0))
        for run in engine.runs:
            if run.unread <= 0.0:
                run.progress += step
                if int(run.progress) > run.event_count:
                    self.record_event(engine, run)
        if reading is not None:
            reading.unread -= PROMPT_TOKENS_PER_MS * TICK_MS / slowness
        engine.runs = [run for run in engine.runs if run.event_count < run.event_total]

    def record_event(self, engine, run):
        run.event_count += 1
        if run.event_count > 1:
            gap_ms = self.now_ms - run.last_event_ms
            run.longest_gap_ms = max(run.longest_gap_ms, gap_ms)
            gaps = engine.gaps.setdefault(run.host, EventTimes(1))
            gaps.record_gap(gap_ms, self.now_ms)
        run.last_event_ms = self.now_ms
        is_long = run.event_total > 100
        if run.event_count == run.event_total and run.started_ms >= self.warm_up_ms:
            self.ended += [run] * is_long

    def late_share(self, limit_ms):
        """Return the share of long streams with a gap over a limit."""
        late = sum(run.longest_gap_ms > limit_ms for run in self.ended)
        return late / len(self.ended)
