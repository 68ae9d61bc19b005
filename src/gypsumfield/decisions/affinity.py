"""Records of the prompt prefixes that backend servers have probably cached.

Cache events arrive late and with gaps, so a record is only probable. Its confidence
decays with time. A gap in the sequence numbers lowers the confidence in all records of
the backend server, because the lost event may have been an eviction.
"""

import math
from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from gypsumfield.engine_api import CacheEvents

RECORD_HALF_LIFE_MS = 30_000.0
GAP_CONFIDENCE_FACTOR = 0.9
DIGEST_LIMIT = 2_048
# A prompt that this host sent is cached unless the engine was short of memory.
SENT_CONFIDENCE = 0.8


class _PrefixRecord(NamedTuple):
    confidence: float
    recorded_ms: float


class _ServerCache:
    """Cached prefixes of one boot of one backend server."""

    def __init__(self, boot_id: str) -> None:
        self.boot_id = boot_id
        self.sequence = 0
        self.gap_confidence = 1.0
        self.records: OrderedDict[str, _PrefixRecord] = OrderedDict()

    def add(self, digest: str, confidence: float, now_ms: float) -> None:
        # A gap lowers the confidence in earlier records only, not in later ones.
        self.records[digest] = _PrefixRecord(confidence / self.gap_confidence, now_ms)
        self.records.move_to_end(digest)
        if len(self.records) > DIGEST_LIMIT:
            self.records.popitem(last=False)

    def probability(self, digest: str, now_ms: float) -> float:
        record = self.records.get(digest)
        if record is None:
            return 0.0
        age_ms = max(0.0, now_ms - record.recorded_ms)
        decay = math.exp2(-age_ms / RECORD_HALF_LIFE_MS)
        return min(1.0, record.confidence * self.gap_confidence) * decay


class PrefixAffinity:
    """Prompt prefixes that each backend server has probably cached."""

    def __init__(self) -> None:
        self._caches: dict[str, _ServerCache] = {}

    def observe(self, host_id: str, events: CacheEvents, now_ms: float) -> None:
        """Apply published cache events; a new boot discards all earlier records."""
        cache = self._caches.get(host_id)
        if cache is None or cache.boot_id != events.boot_id:
            cache = self._caches[host_id] = _ServerCache(events.boot_id)
        for event in events.events:
            if event.sequence <= cache.sequence:
                continue
            missed_count = event.sequence - cache.sequence - 1
            cache.gap_confidence *= GAP_CONFIDENCE_FACTOR**missed_count
            cache.sequence = event.sequence
            if event.kind == "evicted":
                cache.records.pop(event.prefix_digest, None)
            else:
                cache.add(event.prefix_digest, 1.0, now_ms)
        if cache.gap_confidence < 0.01:
            cache.records.clear()
            cache.gap_confidence = 1.0

    def record_sent(self, host_id: str, digests: Sequence[str], now_ms: float) -> None:
        """Record that a prompt with these prefixes was sent to a backend server."""
        cache = self._caches.setdefault(host_id, _ServerCache(""))
        for digest in digests:
            if cache.probability(digest, now_ms) < SENT_CONFIDENCE:
                cache.add(digest, SENT_CONFIDENCE, now_ms)

    def after_sequence(self, host_id: str) -> int:
        """Return the last sequence number received, to request later events."""
        cache = self._caches.get(host_id)
        return 0 if cache is None else cache.sequence

    def cached_share(
        self, host_id: str, digests: Sequence[str], now_ms: float
    ) -> float:
        """Return the share of a prompt that a backend server has probably cached.

        Args:
            host_id: Id of the backend server.
            digests: Digests of the prompt's prefixes, shortest first.
            now_ms: Current time.
        """
        cache = self._caches.get(host_id)
        if cache is None or not digests:
            return 0.0
        best_share = 0.0
        for count, digest in enumerate(digests, start=1):
            probability = cache.probability(digest, now_ms)
            if probability <= 0.0:
                break
            best_share = max(best_share, probability * count / len(digests))
        return best_share

    def remove(self, host_id: str) -> None:
        """Remove all records of a backend server that is gone."""
        self._caches.pop(host_id, None)
