"""Ejection of backend servers that fail or are much slower than their peers.

A backend server is ejected after failures in a row, or when its usual first
token takes a multiple of its peers' median. At most a share of the peers is
ejected at once: when most of them look bad, the fault is likely elsewhere, and
the rest would fall over under the whole load. After its time an ejected backend
server gets single probes; a good one brings it back, a bad one doubles the time.
"""

from collections.abc import Callable
from collections.abc import Collection
from enum import Enum
from statistics import median
from typing import NamedTuple


class EjectionSettings(NamedTuple):
    """When to eject and for how long.

    Attributes:
        failure_limit: Failures in a row.
        slow_factor: Multiple of the peers' median first-token time.
        fewest_samples: Answers before a backend server counts as slow.
        smoothing: Weight of a new first-token time.
        largest_ejected_ratio: Share of the peers ejected at once.
        ejection_ms: Time of the first ejection.
        largest_ejection_ms: Bound on the doubled time.
        probe_timeout_ms: When a probe without an outcome counts as lost.
    """

    failure_limit: int = 5
    slow_factor: float = 4.0
    fewest_samples: int = 10
    smoothing: float = 0.1
    largest_ejected_ratio: float = 0.34
    ejection_ms: float = 5_000.0
    largest_ejection_ms: float = 60_000.0
    probe_timeout_ms: float = 10_000.0


class BackendHealth(Enum):
    """State of one backend server in the eyes of an entry host."""

    USABLE = "usable"
    EJECTED = "ejected"
    PROBING = "probing"


class _Record:
    """Evidence about one backend server."""

    def __init__(self) -> None:
        self.health = BackendHealth.USABLE
        self.failures_in_row = 0
        self.first_token_ms = 0.0
        self.samples = 0
        self.until_ms = 0.0
        self.ejection_count = 0
        self.probe_sent_ms: float | None = None


class Ejector:
    """Health of the backend servers of one service, seen from one entry host.

    Args:
        settings: When to eject and for how long.
        on_change: Called with host id, new state and reason; for the log.
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
        """Take the present backend servers as the peers; forget all others."""
        self._records = {
            host_id: self._records.get(host_id) or _Record()
            for host_id in sorted(host_ids)
        }

    def health(self, host_id: str) -> BackendHealth:
        """Return the state of a backend server."""
        record = self._records.get(host_id)
        return BackendHealth.USABLE if record is None else record.health

    def excluded(self, now_ms: float) -> frozenset[str]:
        """Return the backend servers that get no request now.

        One whose time is over is not among them while no probe is under way;
        `note_sent` makes the request that goes there the probe.
        """
        return frozenset(
            host_id
            for host_id, record in self._records.items()
            if not self._is_open(record, now_ms)
        )

    def is_excluded(self, host_id: str, now_ms: float) -> bool:
        """Return whether a backend server gets no request now."""
        record = self._records.get(host_id)
        return record is not None and not self._is_open(record, now_ms)

    def note_sent(self, host_id: str, now_ms: float) -> None:
        """Note that a request was sent; it is the probe of an ejected one."""
        record = self._records.get(host_id)
        if record is None or record.health is BackendHealth.USABLE:
            return
        record.probe_sent_ms = now_ms
        self._change(host_id, BackendHealth.PROBING, "its time is over")

    def note_success(self, host_id: str, first_token_ms: float, now_ms: float) -> None:
        """Note an answer and the time to its first token."""
        record = self._record(host_id)
        if record.health is BackendHealth.EJECTED:
            # The request was sent before the ejection.
            return
        record.failures_in_row = 0
        if record.health is BackendHealth.PROBING:
            self._judge_probe(host_id, first_token_ms, now_ms)
            return
        record.samples += 1
        weight = max(self.settings.smoothing, 1.0 / record.samples)
        record.first_token_ms += weight * (first_token_ms - record.first_token_ms)
        if self._is_slow(host_id, record.first_token_ms):
            self._eject(host_id, "slower than its peers", now_ms)

    def note_failure(self, host_id: str, now_ms: float) -> None:
        """Note an attempt that failed on the backend server's account."""
        record = self._record(host_id)
        if record.health is BackendHealth.EJECTED:
            return
        record.failures_in_row += 1
        if record.health is BackendHealth.PROBING:
            self._eject(host_id, "its probe failed", now_ms)
        elif record.failures_in_row >= self.settings.failure_limit:
            self._eject(host_id, "failures in a row", now_ms)

    def _record(self, host_id: str) -> _Record:
        return self._records.setdefault(host_id, _Record())

    def _is_open(self, record: _Record, now_ms: float) -> bool:
        if record.health is BackendHealth.USABLE:
            return True
        if record.health is BackendHealth.EJECTED:
            return now_ms >= record.until_ms
        sent_ms = record.probe_sent_ms
        return sent_ms is None or now_ms - sent_ms >= self.settings.probe_timeout_ms

    def _peers_median_ms(self, host_id: str) -> float | None:
        times = [
            record.first_token_ms
            for other, record in self._records.items()
            if other != host_id and record.samples >= self.settings.fewest_samples
        ]
        return median(times) if times else None

    def _is_slow(self, host_id: str, first_token_ms: float) -> bool:
        if self._records[host_id].samples < self.settings.fewest_samples:
            return False
        usual_ms = self._peers_median_ms(host_id)
        if usual_ms is None:
            return False
        return first_token_ms > self.settings.slow_factor * max(usual_ms, 1.0)

    def _judge_probe(self, host_id: str, first_token_ms: float, now_ms: float) -> None:
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
        if record.health is BackendHealth.USABLE and not self._may_eject_one_more():
            return
        longest_ms = self.settings.largest_ejection_ms
        doublings = min(record.ejection_count, 16)
        record.until_ms = now_ms + min(
            longest_ms, self.settings.ejection_ms * (1 << doublings)
        )
        record.ejection_count += 1
        record.probe_sent_ms = None
        self._change(host_id, BackendHealth.EJECTED, reason)

    def _may_eject_one_more(self) -> bool:
        ejected = sum(
            record.health is not BackendHealth.USABLE
            for record in self._records.values()
        )
        limit = int(len(self._records) * self.settings.largest_ejected_ratio)
        return ejected + 1 <= limit

    def _change(self, host_id: str, health: BackendHealth, reason: str) -> None:
        self._records[host_id].health = health
        self._on_change(host_id, health, reason)
