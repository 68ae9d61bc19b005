"""Prompt prefix cache of the engine model, with its late and gappy events."""

from collections import OrderedDict
from typing import Literal
from typing import NamedTuple

import xxhash

from gypsumfield.engine_api import CacheEvent
from gypsumfield.prefixes import BLOCK_TOKENS

_HASH_RANGE = 2**64


class _TimedEvent(NamedTuple):
    event: CacheEvent
    happened_ms: float


class PrefixCache:
    """Least-recently-used cache of prompt blocks.

    Args:
        limit_tokens: Memory of the cache.
        event_lag_ms: How late its events are published.
        event_gap_ratio: Share of its events that are never published.
    """

    def __init__(
        self, limit_tokens: int, event_lag_ms: float, event_gap_ratio: float
    ) -> None:
        self._limit_blocks = limit_tokens // BLOCK_TOKENS
        self._event_lag_ms = event_lag_ms
        self._event_gap_ratio = event_gap_ratio
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[_TimedEvent] = []
        self._latest_sequence = 0

    def use(self, digests: tuple[str, ...], now_ms: float) -> int:
        """Look up a prompt, store its blocks and return the cached token count."""
        hit_count = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            hit_count += 1
        for digest in digests:
            self._store(digest, now_ms)
        while len(self._blocks) > self._limit_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record("evicted", evicted, now_ms)
        return hit_count * BLOCK_TOKENS

    def published(self, after_sequence: int, now_ms: float) -> tuple[CacheEvent, ...]:
        """Return the events after a sequence number, as far as they are out."""
        limit_ms = now_ms - self._event_lag_ms
        return tuple(
            timed.event
            for timed in self._events
            if timed.event.sequence > after_sequence and timed.happened_ms <= limit_ms
        )

    def _store(self, digest: str, now_ms: float) -> None:
        if digest not in self._blocks:
            self._blocks[digest] = None
            self._record("stored", digest, now_ms)
        self._blocks.move_to_end(digest)

    def _record(
        self, kind: Literal["stored", "evicted"], digest: str, now_ms: float
    ) -> None:
        self._latest_sequence += 1
        draw = xxhash.xxh64_intdigest(f"{self._latest_sequence}:{digest}".encode())
        if draw / _HASH_RANGE < self._event_gap_ratio:
            return
        event = CacheEvent(self._latest_sequence, kind, digest)
        self._events.append(_TimedEvent(event, now_ms))
