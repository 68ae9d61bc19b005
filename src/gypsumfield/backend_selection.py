"""Records load and health of backend servers and ranks them for a request."""

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


class _ServerRecord:
    """Latest load report of one backend server, and the requests sent since."""

    def __init__(self) -> None:
        self.report: LoadReport | None = None
        self.measured_ms = -math.inf
        self.in_flight_count = 0
        self.sent: list[tuple[float, float]] = []

    def sent_tokens(self) -> float:
        """Return the expected memory, in tokens, of requests sent since the report."""
        return sum(tokens for _sent_ms, tokens in self.sent)

    def remove_sent_before(self, measured_ms: float) -> None:
        """Remove the requests that the report already counts."""
        self.sent = [
            sent_request for sent_request in self.sent if sent_request[0] > measured_ms
        ]


class BackendSelector:
    """Ranks the eligible backend servers for a request.

    Args:
        local_zone: Availability zone of the entry host.
        directory: Lists the backend servers that are eligible for new work.
        lengths: Estimates output lengths.
        clock: Monotonic clock.
        rng: Random source, seeded by the caller.
        emit: Writes an event to the log.
    """

    def __init__(
        self,
        local_zone: str,
        directory: BackendDirectory,
        lengths: LengthModel,
        clock: Clock,
        rng: random.Random,
        emit: EmitEvent,
    ) -> None:
        self._local_zone = local_zone
        self._directory = directory
        self._lengths = lengths
        self._clock = clock
        self._rng = rng
        self._emit = emit
        self._affinity = PrefixAffinity()
        self._records: defaultdict[str, _ServerRecord] = defaultdict(_ServerRecord)
        self._ejectors: dict[str, Ejector] = {}

    def rank(
        self,
        demand: GenerationDemand,
        tried: frozenset[str],
        digests: Sequence[str],
    ) -> list[Member]:
        """Return the eligible backend servers for a request, best first.

        Args:
            demand: The request's expected load.
            tried: Host ids to leave out, because the request failed there.
            digests: Digests of the prompt's prefixes, shortest first.
        """
        members = {
            member.host_id: member
            for member in self._directory.eligible_backends(demand.service)
        }
        ejector = self._ejector_of(demand.service)
        ejector.set_servers(members)
        now_ms = self._clock.monotonic_ms()
        excluded = tried | ejector.excluded(now_ms)
        views = [
            self._build_view(member, digests, now_ms) for member in members.values()
        ]
        rules = RoutingRules(self._local_zone, frozenset(), excluded)
        ranked_views = rank_backends(views, demand, rules, self._rng)
        return [members[view.host_id] for view in ranked_views]

    def record_sent(
        self, demand: GenerationDemand, host_id: str, digests: Sequence[str]
    ) -> None:
        """Record that a request is being sent to a backend server."""
        now_ms = self._clock.monotonic_ms()
        record = self._records[host_id]
        record.in_flight_count += 1
        expected_tokens = self._lengths.remaining(demand, 0).mean_tokens
        record.sent.append((now_ms, demand.prompt_tokens + expected_tokens))
        self._ejector_of(demand.service).record_sent(host_id, now_ms)
        self._affinity.record_sent(host_id, digests, now_ms)

    def record_ended(self, host_id: str) -> None:
        """Record that a request of this host has ended on a backend server."""
        record = self._records[host_id]
        record.in_flight_count = max(0, record.in_flight_count - 1)

    def record_success(
        self, demand: GenerationDemand, host_id: str, first_token_ms: float
    ) -> None:
        """Record a success, with the time from sending to the first token."""
        now_ms = self._clock.monotonic_ms()
        self._ejector_of(demand.service).record_success(host_id, first_token_ms, now_ms)

    def record_failure(self, demand: GenerationDemand, host_id: str) -> None:
        """Record a failure of a backend server, which may eject it."""
        now_ms = self._clock.monotonic_ms()
        self._ejector_of(demand.service).record_failure(host_id, now_ms)

    def observe_load(
        self, host_id: str, report: LoadReport, requested_ms: float
    ) -> None:
        """Record a load report, unless a newer one is already recorded.

        Args:
            host_id: Host id of the backend server.
            report: Load report of the server.
            requested_ms: Monotonic time when the report was requested; minus the
                report's age it gives the time of the measurement.
        """
        record = self._records[host_id]
        measured_ms = requested_ms - report.report_age_ms
        if measured_ms < record.measured_ms:
            return
        record.report = report
        record.measured_ms = measured_ms
        record.remove_sent_before(measured_ms)

    def observe_cache(self, host_id: str, events: CacheEvents) -> None:
        """Record cache events that a backend server published."""
        self._affinity.observe(host_id, events, self._clock.monotonic_ms())

    def cache_sequence(self, host_id: str) -> int:
        """Return the sequence number after which to request cache events."""
        return self._affinity.after_sequence(host_id)

    def in_flight_count(self, host_id: str) -> int:
        """Return the number of this host's requests that run on a backend server."""
        return self._records[host_id].in_flight_count

    def remove_departed(self, host_ids: set[str]) -> None:
        """Remove the records of backend servers that have left the fleet.

        A server keeps its record while requests of this host run there.

        Args:
            host_ids: Host ids of the backend servers still in the fleet.
        """
        for host_id in self._records.keys() - host_ids:
            if self._records[host_id].in_flight_count == 0:
                del self._records[host_id]
                self._affinity.remove(host_id)

    def health(self, service: str, host_id: str) -> BackendHealth:
        """Return the health of a backend server as observed by this entry host."""
        return self._ejector_of(service).health(host_id)

    def _ejector_of(self, service: str) -> Ejector:
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

    def _build_view(
        self, member: Member, digests: Sequence[str], now_ms: float
    ) -> BackendView:
        record = self._records[member.host_id]
        view = BackendView(
            host_id=member.host_id,
            availability_zone=member.availability_zone,
            in_flight_count=record.in_flight_count,
            report_age_ms=now_ms - record.measured_ms,
            sent_tokens=record.sent_tokens(),
            cached_share=self._affinity.cached_share(member.host_id, digests, now_ms),
        )
        report = record.report
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
