"""A crowd on engines that are short of memory, played with the hosts' own decisions."""

import math
import random
from collections import Counter
from collections import defaultdict
from typing import NamedTuple

from gypsumfield.decisions.memory_shares import Lack
from gypsumfield.decisions.memory_shares import LackKey
from gypsumfield.decisions.memory_shares import merge
from gypsumfield.decisions.placement import EngineLoad
from gypsumfield.decisions.placement import SampleSize
from gypsumfield.decisions.placement import select_engine
from gypsumfield.decisions.placement import StreamDemand
from gypsumfield.decisions.queue_waits import estimated_retry_after_ms
from gypsumfield.decisions.queue_waits import QueuedStream
from gypsumfield.decisions.queue_waits import remaining_wait_ms
from gypsumfield.decisions.queue_waits import start_ms
from gypsumfield.decisions.retry_times import CALLER_WAIT_SHARE
from gypsumfield.decisions.retry_times import FleetSupply
from gypsumfield.decisions.retry_times import RefusedCaller
from gypsumfield.decisions.retry_times import RetryPromises

HOSTS, ENGINES, MEMORY_TOKENS, SLOTS = 76, 23, 26_855, 24
STEP_MS, RETRY_STEP_MS, VIEW_STEP_MS = 10.0, 250.0, 1_000.0
CROWD_FROM_MS, CROWD_TO_MS, END_MS = 15_000.0, 20_000.0, 40_000.0
# Engines in a slow spell; it takes the crowd to fill their memory.
TOKEN_MS = 14.0
RUN_MS = 752 * TOKEN_MS


class Kind(NamedTuple):
    """A kind of request; see docs/design/hard-load.md."""

    priority: int
    per_second: float
    prompt_tokens: int
    output_tokens: int
    target_ms: float
    caller_ms: float

    @property
    def run_ms(self):
        return self.prompt_tokens / 14.0 + self.output_tokens * TOKEN_MS

    @property
    def peak_tokens(self):
        return self.prompt_tokens + min(350, self.output_tokens)


SUMMARY = Kind(0, 12.4, 3_079, 752, 4_013.0, 39_126.0)
VERDICT = Kind(1, 13.9, 2_550, 8, 1_509.0, 6_037.0)


class Stream:
    def __init__(self, kind, host, now_ms, account=""):
        self.kind = kind
        self.key = LackKey("engine", kind.priority, account)
        self.host = host
        self.first_ms = self.started_ms = now_ms
        self.try_ms = now_ms
        self.deadline_ms = now_ms + kind.caller_ms
        self.is_second = False
        self.draw = 0.0

    def queued(self, now_ms):
        return QueuedStream(
            now_ms - self.started_ms,
            self.kind.target_ms,
            self.deadline_ms - now_ms,
            self.kind.prompt_tokens,
        )


class Load:
    """Plays the crowd; ``retry_after`` and ``memory_ratio`` are the decisions."""

    def __init__(
        self,
        retry_after,
        memory_ratio,
        seed,
        kinds=(SUMMARY, VERDICT),
        crowd=SUMMARY,
        accounts=("",),
    ):
        self.rng = random.Random(seed)
        # The same crowd for each decision that is compared.
        self.arrivals_rng = random.Random(seed)
        self.retry_after = retry_after
        self.memory_ratio = memory_ratio
        self.kinds = kinds
        self.accounts = accounts
        self.crowd_kind = crowd
        self.now_ms = 0.0
        self.runs = [[] for _ in range(ENGINES)]
        self.views = []
        self.shared = {}
        self.queues = [[] for _ in range(HOSTS)]
        self.returning = []
        self.refused_at = []
        self.counts = Counter()
        self.told = []

    def run_count(self):
        return sum(map(len, self.runs))

    def play(self):
        while self.now_ms < END_MS:
            self.now_ms += STEP_MS
            for runs in self.runs:
                runs[:] = [run for run in runs if run[0] > self.now_ms]
            if self.now_ms % VIEW_STEP_MS < STEP_MS:
                self.views = [
                    EngineLoad(f"e{n}", "z", SLOTS, MEMORY_TOKENS, len(r), _used(r), 0)
                    for n, r in enumerate(self.runs)
                ]
                self.shared = self.shortage()
            self._arrive()
            for queue in self.queues:
                queue.sort(key=lambda s: (s.kind.priority, s.started_ms))
                for stream in list(queue):
                    self._serve(stream, queue)
        return self

    def shortage(self):
        """Return what all hosts state."""
        recent_ms = self.now_ms - 1_000.0
        return merge(
            [
                *(
                    {stream.key: Lack(1, 0, stream.kind.peak_tokens)}
                    for queue in self.queues
                    for stream in queue
                ),
                *(
                    {stream.key: Lack(0, 1, stream.kind.peak_tokens)}
                    for at_ms, stream in self.refused_at
                    if at_ms > recent_ms
                ),
                *(
                    {key: Lack(0, 0, 0, 0.0, 1)}
                    for runs in self.runs
                    for _, _, key in runs
                ),
            ]
        )

    def _arrive(self):
        is_crowd = CROWD_FROM_MS < self.now_ms <= CROWD_TO_MS
        for kind in self.kinds:
            factor = 2.0 if is_crowd and kind is self.crowd_kind else 1.0
            if (
                self.arrivals_rng.random()
                < kind.per_second * factor * STEP_MS / 1_000.0
            ):
                host = self.arrivals_rng.randrange(HOSTS)
                # The first account sends half of the streams, and so on.
                number = int(-math.log2(1.0 - self.arrivals_rng.random()))
                account = self.accounts[min(number, len(self.accounts) - 1)]
                stream = Stream(kind, host, self.now_ms, account)
                stream.draw = self.arrivals_rng.random()
                self.queues[stream.host].append(stream)
                self._count("sent", stream)
        for stream in [s for s in self.returning if s.started_ms <= self.now_ms]:
            self.returning.remove(stream)
            stream.host = self.rng.randrange(HOSTS)
            stream.try_ms = self.now_ms
            self.queues[stream.host].append(stream)

    def _serve(self, stream, queue):
        may_wait = remaining_wait_ms(stream.queued(self.now_ms)) > 0.0
        is_next = stream.try_ms <= self.now_ms and queue[0] is stream
        if may_wait and not is_next:
            return
        stream.try_ms = self.now_ms + RETRY_STEP_MS
        if self._place(stream):
            queue.remove(stream)
            self._count("served", stream)
            late_ms = self.now_ms - stream.first_ms + stream.kind.prompt_tokens / 14.0
            self._count("in time", stream, late_ms <= stream.kind.target_ms)
        elif remaining_wait_ms(stream.queued(self.now_ms)) <= 0.0:
            queue.remove(stream)
            self._refuse(stream)

    def _place(self, stream):
        full = set()
        kind = stream.kind
        ratio = self.memory_ratio(self, stream) if self.memory_ratio else math.inf
        demand = StreamDemand(
            kind.peak_tokens,
            "z",
            sample_size=SampleSize(3, 2),
            is_reserved=True,
            memory_ratio=ratio,
        )
        for _ in range(3):
            engines = [e for e in self.views if e.server_id not in full]
            best = select_engine(engines, demand, self.rng)
            if best is None:
                return False
            runs = self.runs[int(best.server_id[1:])]
            if _used(runs) + kind.prompt_tokens + kind.output_tokens <= MEMORY_TOKENS:
                tokens = kind.prompt_tokens + kind.output_tokens
                runs.append((self.now_ms + kind.run_ms, tokens, stream.key))
                return True
            full.add(best.server_id)
        return False

    def _count(self, what, stream, number=1):
        self.counts[what, stream.kind] += number
        self.counts[what, stream.key.account] += number

    def _refuse(self, stream):
        self.refused_at.append((self.now_ms, stream))
        if stream.is_second:
            self._count("refused twice", stream)
            return
        remaining_ms = stream.deadline_ms - self.now_ms
        retry_ms = self.retry_after(self, stream, remaining_ms)
        self.told.append(retry_ms / remaining_ms)
        self._count("refused", stream)
        stream.started_ms = self.now_ms + min(
            retry_ms, CALLER_WAIT_SHARE * remaining_ms
        )
        stream.is_second = True
        self.returning.append(stream)


def same_time_for_all(load, stream, _remaining_ms):
    waiting = len(load.queues[stream.host])
    return estimated_retry_after_ms(load.run_count(), waiting, RUN_MS)


def promised_times():
    promises = defaultdict(RetryPromises)

    def retry_after(load, stream, remaining_ms):
        return promises[stream.host].promise(
            FleetSupply(load.run_count(), RUN_MS, HOSTS),
            len(load.queues[stream.host]),
            RefusedCaller(remaining_ms, start_ms(stream.queued(load.now_ms))),
            load.now_ms,
            load.rng.random(),
        )

    return retry_after


def _used(runs):
    return sum(tokens for _, tokens, _ in runs)
