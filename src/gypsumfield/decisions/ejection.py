"""Ejection of backend servers that fail or are much slower than their peers.

A backend server is ejected after consecutive failures, or when its usual time to the
first token is a multiple of the median of its peers. Only a share of the peers may be
ejected at once: when most of them appear unhealthy, the cause is probably elsewhere,
and the remaining ones would be overloaded. After its ejection time a backend server
receives single probes. A successful probe ends the ejection, a failed one doubles the
ejection time.
"""

from collections.abc import Callable
from collections.abc import Collection
from enum import Enum
from statistics import median
from typing import NamedTuple


class EjectionSettings(NamedTuple):
    """Thresholds and durations of ejections.

    Attributes:
        failure_limit: Consecutive failures that eject a backend server.
        slow_factor: Multiple of the peers' median first-token time that ejects it.
        min_samples: Answers required before a backend server can count as slow.
        smoothing: Weight of a new first-token time.
        max_ejected_ratio: Largest share of the peers ejected at once.
        ejection_ms: Duration of the first ejection.
        max_ejection_ms: Upper limit of the doubled duration.
        probe_timeout_ms: Time after which a probe without an outcome counts as lost.
    """

    failure_limit: int = 5
    slow_factor: float = 4.0
    min_samples: int = 10
    smoothing: float = 0.1
    max_ejected_ratio: float = 0.34
    ejection_ms: float = 5_000.0
    max_ejection_ms: float = 60_000.0
    probe_timeout_ms: float = 10_000.0


class BackendHealth(Enum):
    """Health of a backend server as recorded by an entry host."""

    USABLE = "usable"
    EJECTED = "ejected"
    PROBING = "probing"


class _Record:
    """Observations and ejection state of one backend server."""

    def __init__(self) -> None:
        self.health = BackendHealth.USABLE
        self.consecutive_failures = 0
        self.first_token_ms = 0.0
        self.samples = 0
        self.until_ms = 0.0
        self.ejection_count = 0
        self.probe_sent_ms: float | None = None


class Ejector:
    """Health of the backend servers of one service, as observed by one entry host.

    Args:
        settings: Thresholds and durations; None for the defaults.
        on_change: Called with server id, new health and reason, for the log.
    """

    def __init__(
        self,
        settings: EjectionSettings | None = None,
        on_change: Callable[[str, BackendHealth, str], None] | None = None,
    ) -> None:
        self.settings = settings or EjectionSettings()
        self._on_change = on_change or (lambda _host_id, _health, _reason: None)
        self._records: dict[str, _Record] = {}

    def set_servers(self, host_ids: Collection[str]) -> None:
        """Set the current backend servers as the peers; remove all others."""
        self._records = {
            host_id: self._records.get(host_id) or _Record()
            for host_id in sorted(host_ids)
        }

    def health(self, host_id: str) -> BackendHealth:
        """Return the health of a backend server; unknown ones are usable."""
        record = self._records.get(host_id)
        return BackendHealth.USABLE if record is None else record.health

    def excluded(self, now_ms: float) -> frozenset[str]:
        """Return the backend servers that must not receive a request now.

        A server whose ejection time has passed may receive one request, which
        `record_sent` makes its probe. It is excluded again while the probe is pending.
        """
        return frozenset(
            host_id
            for host_id, record in self._records.items()
            if not self._can_receive(record, now_ms)
        )

    def is_excluded(self, host_id: str, now_ms: float) -> bool:
        """Return whether a backend server must not receive a request now."""
        record = self._records.get(host_id)
        return record is not None and not self._can_receive(record, now_ms)

    def record_sent(self, host_id: str, now_ms: float) -> None:
        """Record a sent request, which is the probe if the server is ejected."""
        record = self._records.get(host_id)
        if record is None or record.health is BackendHealth.USABLE:
            return
        record.probe_sent_ms = now_ms
        self._change(host_id, BackendHealth.PROBING, "its ejection time has passed")

    def record_success(
        self, host_id: str, first_token_ms: float, now_ms: float
    ) -> None:
        """Record an answer and the time to its first token."""
        record = self._record(host_id)
        if record.health is BackendHealth.EJECTED:
            # The request was sent before the ejection.
            return
        record.consecutive_failures = 0
        if record.health is BackendHealth.PROBING:
            self._complete_probe(host_id, first_token_ms, now_ms)
            return
        record.samples += 1
        weight = max(self.settings.smoothing, 1.0 / record.samples)
        record.first_token_ms += weight * (first_token_ms - record.first_token_ms)
        if self._is_slow(host_id, record.first_token_ms):
            self._eject(host_id, "slower than its peers", now_ms)

    def record_failure(self, host_id: str, now_ms: float) -> None:
        """Record a failed attempt that the backend server is responsible for."""
        record = self._record(host_id)
        if record.health is BackendHealth.EJECTED:
            return
        record.consecutive_failures += 1
        if record.health is BackendHealth.PROBING:
            self._eject(host_id, "its probe failed", now_ms)
        elif record.consecutive_failures >= self.settings.failure_limit:
            self._eject(host_id, "consecutive failures", now_ms)

    def _record(self, host_id: str) -> _Record:
        return self._records.setdefault(host_id, _Record())

    def _can_receive(self, record: _Record, now_ms: float) -> bool:
        if record.health is BackendHealth.USABLE:
            return True
        if record.health is BackendHealth.EJECTED:
            return now_ms >= record.until_ms
        sent_ms = record.probe_sent_ms
        return sent_ms is None or now_ms - sent_ms >= self.settings.probe_timeout_ms

    def _peer_median_ms(self, host_id: str) -> float | None:
        times = [
            record.first_token_ms
            for other, record in self._records.items()
            if other != host_id and record.samples >= self.settings.min_samples
        ]
        return median(times) if times else None

    def _is_slow(self, host_id: str, first_token_ms: float) -> bool:
        if self._records[host_id].samples < self.settings.min_samples:
            return False
        peer_median_ms = self._peer_median_ms(host_id)
        if peer_median_ms is None:
            return False
        return first_token_ms > self.settings.slow_factor * max(peer_median_ms, 1.0)

    def _complete_probe(
        self, host_id: str, first_token_ms: float, now_ms: float
    ) -> None:
        if self._is_slow(host_id, first_token_ms):
            self._eject(host_id, "its probe was slow", now_ms)
            return
        record = self._records[host_id]
        record.probe_sent_ms = None
        record.first_token_ms = first_token_ms
        record.samples = 1
        self._change(host_id, BackendHealth.USABLE, "its probe was answered")

    def _eject(self, host_id: str, reason: str, now_ms: float) -> None:
        record = self._records[host_id]
        if record.health is BackendHealth.USABLE and not self._can_eject_one_more():
            return
        max_ejection_ms = self.settings.max_ejection_ms
        doublings = min(record.ejection_count, 16)
        record.until_ms = now_ms + min(
            max_ejection_ms, self.settings.ejection_ms * (1 << doublings)
        )
        record.ejection_count += 1
        record.probe_sent_ms = None
        self._change(host_id, BackendHealth.EJECTED, reason)

    def _can_eject_one_more(self) -> bool:
        ejected_count = sum(
            record.health is not BackendHealth.USABLE
            for record in self._records.values()
        )
        limit = int(len(self._records) * self.settings.max_ejected_ratio)
        return ejected_count + 1 <= limit

    def _change(self, host_id: str, health: BackendHealth, reason: str) -> None:
        self._records[host_id].health = health
        self._on_change(host_id, health, reason)
