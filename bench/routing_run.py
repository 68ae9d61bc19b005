"""Simulation of several entry hosts and several engines of one zone, in virtual time.

Each entry host receives load reports and cache events late; the owner of an engine
admits as in production. One engine is slow during the middle third of the run.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from engine_run import account_shares
from engine_run import percentile
from gypsumfield.configuration import Profile
from gypsumfield.decisions.admission import make_admission
from gypsumfield.decisions.affinity import PrefixAffinity
from gypsumfield.decisions.ejection import Ejector
from gypsumfield.decisions.lengths import FinishedLength
from gypsumfield.decisions.lengths import LengthModel
from gypsumfield.decisions.routing import BackendView
from gypsumfield.decisions.workload import RunningGeneration
from gypsumfield.engine_api import LoadReport
from gypsumfield.prefixes import prefix_digests
from gypsumfield.standins.engine_model import EngineModel
from gypsumfield.standins.engine_model import EngineModelSettings
from gypsumfield.standins.engine_model import Submission
from workloads import BenchRequest

ZONE = "manta"
POLL_INTERVAL_MS = 250.0
RETRY_INTERVAL_MS = 20.0
ENGINE_ATTEMPT_LIMIT = 4
PREFIX_COUNT = 24
PREFIX_TOKENS = 480
CHARACTERS_PER_TOKEN = 4
SLOW_ENGINE = 0
SLOW_FACTOR = 6.0


class RoutedRequest(NamedTuple):
    """A request with its prompt and the number of the entry host that receives it."""

    request: BenchRequest
    host: int
    prompt: str
    digests: tuple[str, ...]


class RoutingResult(NamedTuple):
    """Measurements of one run."""

    preemptions: int
    stall_ms_p99: float
    between_tokens_ms_p99: float
    first_token_ms_p50: float
    first_token_ms_p95: float
    tokens_per_s: float
    worst_account_share: float
    refused: int


class EntryHost:
    """State of one entry host, as in production."""

    def __init__(self, number: int, engine_count: int, seed: int) -> None:
        self.rng = random.Random(seed * 100 + number)
        self.affinity = PrefixAffinity()
        self.ejector = Ejector()
        self.names = [f"engine-{n}" for n in range(engine_count)]
        self.ejector.set_servers(self.names)
        self.in_flight = [0] * engine_count
        self.reports: list[LoadReport | None] = [None] * engine_count
        self.reported_ms = [0.0] * engine_count
        self.sent: list[deque[tuple[float, float]]] = [
            deque() for _ in range(engine_count)
        ]
        self.turn = number

    def poll(self, engine_number: int, engine: EngineModel, now_ms: float) -> None:
        """Read the load report and the new cache events of one engine."""
        report = engine.load_report(now_ms)
        self.reports[engine_number] = report
        self.reported_ms[engine_number] = now_ms - report.report_age_ms
        sent = self.sent[engine_number]
        while sent and sent[0][0] <= self.reported_ms[engine_number]:
            sent.popleft()
        name = self.names[engine_number]
        events = engine.cache_events(self.affinity.after_sequence(name), now_ms)
        self.affinity.observe(name, events, now_ms)

    def views(self, routed: RoutedRequest, now_ms: float) -> list[BackendView]:
        """Return the views of all engines for one request."""
        views = []
        for engine_number, name in enumerate(self.names):
            report = self.reports[engine_number]
            view = BackendView(name, ZONE, self.in_flight[engine_number])
            if report is not None:
                view = view._replace(
                    memory_used_tokens=report.memory_used_tokens,
                    memory_limit_tokens=report.memory_limit_tokens,
                    report_age_ms=now_ms - self.reported_ms[engine_number],
                    running_count=report.running_count,
                    waiting_count=report.waiting_count,
                    step_time_ms=report.step_time_ms,
                    sent_tokens=sum(tokens for _, tokens in self.sent[engine_number]),
                )
            share = self.affinity.cached_share(name, routed.digests, now_ms)
            views.append(view._replace(cached_share=share))
        return views


ChooseEngines = Callable[[EntryHost, RoutedRequest, float], list[int]]


class _Stream:
    """A request that runs on an engine."""

    def __init__(self, routed: RoutedRequest, engine: int, sent_ms: float) -> None:
        self.routed = routed
        self.engine = engine
        self.sent_ms = sent_ms
        self.tokens = 0
        self.last_ms: float | None = None
        self.stall_ms = 0.0


class RoutingRun:
    """Simulated fleet with its event queue.

    Args:
        requests: Arrivals in order of time.
        choose: Routing policy; returns engines, best first.
        engine: Size and speed of each engine.
        engine_count: Number of engines.
        host_count: Number of entry hosts.
        profile: Targets and limits.
        seed: Seed of the random numbers.
    """

    def __init__(
        self,
        requests: list[RoutedRequest],
        choose: ChooseEngines,
        engine: EngineModelSettings,
        engine_count: int,
        host_count: int,
        profile: Profile,
        seed: int,
    ) -> None:
        self.requests = requests
        self.choose = choose
        self.profile = profile
        self.settings = engine
        self.engines = [EngineModel(engine, 0.0) for _ in range(engine_count)]
        self.is_stepping = [False] * engine_count
        self.hosts = [EntryHost(n, engine_count, seed) for n in range(host_count)]
        self.lengths = LengthModel()
        self.can_admit = make_admission(self.lengths, lambda _name: profile)
        self.streams: list[dict[str, _Stream]] = [{} for _ in range(engine_count)]
        self.waiting: list[deque[RoutedRequest]] = [deque() for _ in range(host_count)]
        self.now_ms = 0.0
        self._order = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._gaps_ms: list[float] = []
        self._first_ms: list[float] = []
        self._stall_ms: list[float] = []
        self._offered: dict[str, float] = {}
        self._served: dict[str, float] = {}
        self._refused = 0
        self._tokens_in_time = 0

    def run(self) -> RoutingResult:
        """Simulate all arrivals until the last answer ends."""
        last_ms = self.requests[-1].request.arrived_ms
        for routed in self.requests:
            self._schedule(
                routed.request.arrived_ms, lambda request=routed: self._arrive(request)
            )
        self._start_polls(last_ms)
        self._schedule(last_ms / 3, lambda: self._set_speed(SLOW_FACTOR))
        self._schedule(last_ms * 2 / 3, lambda: self._set_speed(1.0))
        while self._heap:
            self.now_ms, _, action = heapq.heappop(self._heap)
            action()
        return self._result(last_ms)

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._heap, (at_ms, self._order, action))

    def _start_polls(self, last_ms: float) -> None:
        for host_number in range(len(self.hosts)):
            for engine_number in range(len(self.engines)):
                phase = (host_number * 7 + engine_number * 3) % 25 / 25
                self._poll(host_number, engine_number, last_ms, phase)

    def _poll(self, host: int, engine: int, last_ms: float, phase: float) -> None:
        def poll() -> None:
            self.hosts[host].poll(engine, self.engines[engine], self.now_ms)
            if self.now_ms < last_ms:
                self._schedule(self.now_ms + POLL_INTERVAL_MS, poll)

        self._schedule(phase * POLL_INTERVAL_MS, poll)

    def _set_speed(self, factor: float) -> None:
        self.engines[SLOW_ENGINE].settings = msgspec.structs.replace(
            self.settings,
            step_base_ms=self.settings.step_base_ms * factor,
            step_per_generation_ms=self.settings.step_per_generation_ms * factor,
            step_per_1000_tokens_ms=self.settings.step_per_1000_tokens_ms * factor,
            prefill_per_token_ms=self.settings.prefill_per_token_ms * factor,
        )

    def _arrive(self, routed: RoutedRequest) -> None:
        request = routed.request
        account = request.demand.account
        work = request.demand.prompt_tokens + request.output_tokens
        self._offered[account] = self._offered.get(account, 0.0) + work
        self.waiting[routed.host].append(routed)
        if len(self.waiting[routed.host]) == 1:
            self._serve(routed.host)

    def _serve(self, host: int) -> None:
        """Place the requests that wait on an entry host, oldest first."""
        queue = self.waiting[host]
        while queue:
            waited_ms = self.now_ms - queue[0].request.arrived_ms
            if waited_ms >= self.profile.queue_wait_limit_ms:
                queue.popleft()
                self._refused += 1
            elif self._place(queue[0]):
                queue.popleft()
            else:
                self._schedule(
                    self.now_ms + RETRY_INTERVAL_MS, lambda: self._serve(host)
                )
                return

    def _place(self, routed: RoutedRequest) -> bool:
        host = self.hosts[routed.host]
        for engine_number in self.choose(host, routed, self.now_ms)[
            :ENGINE_ATTEMPT_LIMIT
        ]:
            running = [
                RunningGeneration(stream.routed.request.demand, stream.tokens)
                for stream in self.streams[engine_number].values()
            ]
            limit_tokens = self.settings.memory_limit_tokens
            if self.can_admit(running, routed.request.demand, limit_tokens):
                self._submit(host, routed, engine_number)
                return True
        return False

    def _submit(
        self, host: EntryHost, routed: RoutedRequest, engine_number: int
    ) -> None:
        demand = routed.request.demand
        submission = Submission(demand.request_id, routed.prompt, demand.max_tokens)
        refusal = self.engines[engine_number].submit(submission, self.now_ms)
        if refusal is not None:
            raise RuntimeError(f"{demand.request_id}: engine refused with {refusal}")
        self.streams[engine_number][demand.request_id] = _Stream(
            routed, engine_number, self.now_ms
        )
        host.in_flight[engine_number] += 1
        expected = self.lengths.remaining(demand, 0).mean_tokens
        host.sent[engine_number].append((self.now_ms, demand.prompt_tokens + expected))
        host.affinity.record_sent(
            host.names[engine_number], routed.digests, self.now_ms
        )
        host.ejector.record_sent(host.names[engine_number], self.now_ms)
        self._step(engine_number)

    def _step(self, engine_number: int) -> None:
        if self.is_stepping[engine_number] or self.engines[engine_number].is_idle:
            return
        self.is_stepping[engine_number] = True
        result = self.engines[engine_number].step(self.now_ms)

        def deliver() -> None:
            self.is_stepping[engine_number] = False
            for token in result.tokens:
                stream = self.streams[engine_number][token.generation_id]
                self._deliver(stream, token.sequence)
                if token.finish_reason is not None:
                    self._finish(stream, token.finish_reason == "stop")
            self._step(engine_number)

        self._schedule(self.now_ms + result.duration_ms, deliver)

    def _deliver(self, stream: _Stream, tokens: int) -> None:
        if stream.last_ms is None:
            arrived_ms = stream.routed.request.arrived_ms
            self._first_ms.append(self.now_ms - arrived_ms)
            host = self.hosts[stream.routed.host]
            name = host.names[stream.engine]
            host.ejector.record_success(name, self.now_ms - stream.sent_ms, self.now_ms)
        else:
            gap_ms = self.now_ms - stream.last_ms
            self._gaps_ms.append(gap_ms)
            excess_ms = gap_ms - self.profile.between_tokens_target_ms
            stream.stall_ms += max(0.0, excess_ms)
        stream.last_ms = self.now_ms
        stream.tokens = tokens
        if self.now_ms <= self.requests[-1].request.arrived_ms:
            self._tokens_in_time += 1

    def _finish(self, stream: _Stream, is_complete: bool) -> None:
        demand = stream.routed.request.demand
        del self.streams[stream.engine][demand.request_id]
        self.hosts[stream.routed.host].in_flight[stream.engine] -= 1
        finished = FinishedLength(demand, stream.tokens, is_complete)
        self.lengths.record(finished, self.now_ms)
        work = demand.prompt_tokens + stream.tokens
        self._served[demand.account] = self._served.get(demand.account, 0.0) + work
        self._stall_ms.append(stream.stall_ms)

    def _result(self, last_ms: float) -> RoutingResult:
        shares = account_shares(self._offered, self._served)
        return RoutingResult(
            preemptions=sum(engine.preemption_count for engine in self.engines),
            stall_ms_p99=percentile(self._stall_ms, 0.99),
            between_tokens_ms_p99=percentile(self._gaps_ms, 0.99),
            first_token_ms_p50=percentile(self._first_ms, 0.5),
            first_token_ms_p95=percentile(self._first_ms, 0.95),
            tokens_per_s=round(self._tokens_in_time * 1_000.0 / max(1.0, last_ms), 1),
            worst_account_share=min(shares.values(), default=1.0),
            refused=self._refused,
        )


def route_requests(
    requests: list[BenchRequest], host_count: int, seed: int
) -> list[RoutedRequest]:
    """Return the requests with an entry host and a prompt with a shared prefix each."""
    rng = random.Random(seed)
    prefixes = [
        f"prefix {n}: ".ljust(PREFIX_TOKENS * CHARACTERS_PER_TOKEN, chr(97 + n % 26))
        for n in range(PREFIX_COUNT)
    ]
    routed = []
    for request in requests:
        # A few prefixes occur much more often than the others.
        prefix = prefixes[min(PREFIX_COUNT - 1, int(rng.expovariate(0.2)))]
        demand = request.demand
        marker = f"{demand.request_id} [tokens={request.output_tokens}] "
        suffix = marker.ljust(demand.prompt_tokens * CHARACTERS_PER_TOKEN, ".")
        demand = demand._replace(prompt_tokens=PREFIX_TOKENS + demand.prompt_tokens)
        digests = prefix_digests(prefix + suffix)
        routed_request = request._replace(demand=demand)
        host = rng.randrange(host_count)
        routed.append(RoutedRequest(routed_request, host, prefix + suffix, digests))
    return routed
