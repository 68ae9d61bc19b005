"""What one entry host knows of backend servers, and its choice among them."""

import math
import random
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Sequence

from gypsumfield.clock import Clock
from gypsumfield.decisions.affinity import PrefixAffinity
from gypsumfield.decisions.ejection import BackendHealth
from gypsumfield.decisions.ejection import Ejector
from gypsumfield.decisions.lengths import LengthModel
from gypsumfield.decisions.routing import BackendView
from gypsumfield.decisions.routing import rank_backends
from gypsumfield.decisions.routing import RoutingRules
from gypsumfield.decisions.workload import GenerationDemand
from gypsumfield.directory import BackendDirectory
from gypsumfield.engine_api import CacheEvents
from gypsumfield.engine_api import LoadReport
from gypsumfield.events import BackendHealthChanged
from gypsumfield.interfaces import EmitEvent
from gypsumfield.platform_api import Member


class _Knowledge:
    """Latest report of one backend server and what was sent there since."""

    def __init__(self) -> None:
        self.report: LoadReport | None = None
        self.taken_ms = -math.inf
        self.in_flight_count = 0
        self.sent: list[tuple[float, float]] = []

    def sent_tokens(self) -> float:
        """Return the memory of requests sent since the report was taken."""
        return sum(tokens for _sent_ms, tokens in self.sent)

    def forget_sent_before(self, taken_ms: float) -> None:
        """Drop what the report already counts."""
        self.sent = [each for each in self.sent if each[0] > taken_ms]


class BackendSelector:
    """Ranks the backend servers that may get a request.

    Args:
        own_zone: Zone of the entry host.
        directory: Knows which backend servers may get new work.
        lengths: Learned output lengths.
        clock: Time.
        rng: Source of the draws.
        emit: Takes events.
    """

    def __init__(
        self,
        own_zone: str,
        directory: BackendDirectory,
        lengths: LengthModel,
        clock: Clock,
        rng: random.Random,
        emit: EmitEvent,
    ) -> None:
        self._own_zone = own_zone
        self._directory = directory
        self._lengths = lengths
        self._clock = clock
        self._rng = rng
        self._emit = emit
        self._affinity = PrefixAffinity()
        self._knowledge: defaultdict[str, _Knowledge] = defaultdict(_Knowledge)
        self._ejectors: dict[str, Ejector] = {}

    def rank(
        self,
        demand: GenerationDemand,
        tried: frozenset[str],
        digests: Sequence[str],
    ) -> list[Member]:
        """Return eligible backend servers for a request, best first."""
        members = {
            member.host_id: member
            for member in self._directory.eligible_backends(demand.service)
        }
        ejector = self._ejector(demand.service)
        ejector.set_servers(members)
        now_ms = self._clock.monotonic_ms()
        excluded = tried | ejector.excluded(now_ms)
        views = [self._view(member, digests, now_ms) for member in members.values()]
        rules = RoutingRules(self._own_zone, frozenset(), excluded)
        order = rank_backends(views, demand, rules, self._rng)
        return [members[view.host_id] for view in order]

    def note_sent(
        self, demand: GenerationDemand, host_id: str, digests: Sequence[str]
    ) -> None:
        """Note that a request goes to a backend server."""
        now_ms = self._clock.monotonic_ms()
        knowledge = self._knowledge[host_id]
        knowledge.in_flight_count += 1
        expected = self._lengths.remaining(demand, 0).mean_tokens
        knowledge.sent.append((now_ms, demand.prompt_tokens + expected))
        self._ejector(demand.service).note_sent(host_id, now_ms)
        self._affinity.note_sent(host_id, digests, now_ms)

    def note_ended(self, host_id: str) -> None:
        """Note that a request no longer runs on a backend server."""
        knowledge = self._knowledge[host_id]
        knowledge.in_flight_count = max(0, knowledge.in_flight_count - 1)

    def note_success(
        self, demand: GenerationDemand, host_id: str, first_token_ms: float
    ) -> None:
        """Note that a backend server answered."""
        now_ms = self._clock.monotonic_ms()
        self._ejector(demand.service).note_success(host_id, first_token_ms, now_ms)

    def note_failure(self, demand: GenerationDemand, host_id: str) -> None:
        """Note that a backend server failed."""
        now_ms = self._clock.monotonic_ms()
        self._ejector(demand.service).note_failure(host_id, now_ms)

    def observe_load(
        self, host_id: str, report: LoadReport, requested_ms: float
    ) -> None:
        """Take in a load report that was asked for at ``requested_ms``."""
        knowledge = self._knowledge[host_id]
        taken_ms = requested_ms - report.report_age_ms
        if taken_ms < knowledge.taken_ms:
            return
        knowledge.report = report
        knowledge.taken_ms = taken_ms
        knowledge.forget_sent_before(taken_ms)

    def observe_cache(self, host_id: str, events: CacheEvents) -> None:
        """Take in published cache events."""
        self._affinity.observe(host_id, events, self._clock.monotonic_ms())

    def cache_sequence(self, host_id: str) -> int:
        """Return the sequence number after which cache events are wanted."""
        return self._affinity.after_sequence(host_id)

    def in_flight_count(self, host_id: str) -> int:
        """Return how many requests of this entry host run on a backend server."""
        return self._knowledge[host_id].in_flight_count

    def keep(self, host_ids: set[str]) -> None:
        """Forget backend servers that have left the fleet."""
        for host_id in self._knowledge.keys() - host_ids:
            if self._knowledge[host_id].in_flight_count == 0:
                del self._knowledge[host_id]
                self._affinity.remove(host_id)

    def health(self, service: str, host_id: str) -> BackendHealth:
        """Return a backend server's state in the eyes of this entry host."""
        return self._ejector(service).health(host_id)

    def _ejector(self, service: str) -> Ejector:
        ejector = self._ejectors.get(service)
        if ejector is None:
            ejector = Ejector(on_change=self._health_logger(service))
            self._ejectors[service] = ejector
        return ejector

    def _health_logger(self, service: str) -> Callable[[str, BackendHealth, str], None]:
        def log_change(host_id: str, health: BackendHealth, reason: str) -> None:
            self._emit(
                BackendHealthChanged(
                    service=service,
                    backend_server=host_id,
                    health=health.value,
                    reason=reason,
                )
            )

        return log_change

    def _view(
        self, member: Member, digests: Sequence[str], now_ms: float
    ) -> BackendView:
        knowledge = self._knowledge[member.host_id]
        view = BackendView(
            host_id=member.host_id,
            availability_zone=member.availability_zone,
            in_flight_count=knowledge.in_flight_count,
            report_age_ms=now_ms - knowledge.taken_ms,
            sent_tokens=knowledge.sent_tokens(),
            cached_share=self._affinity.cached_share(member.host_id, digests, now_ms),
        )
        report = knowledge.report
        if report is None:
            return view
        return view._replace(
            memory_used_tokens=report.memory_used_tokens,
            memory_limit_tokens=report.memory_limit_tokens,
            is_cold=report.is_cold,
            running_count=report.running_count,
            waiting_count=report.waiting_count,
            step_time_ms=report.step_time_ms,
        )
