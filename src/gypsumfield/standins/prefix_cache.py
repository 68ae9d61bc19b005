"""Prompt prefix cache of the engine model, with delayed and incomplete events."""

from collections import OrderedDict
from typing import Literal
from typing import NamedTuple

import xxhash

from gypsumfield.engine_api import CacheEvent
from gypsumfield.prefixes import BLOCK_TOKENS

_HASH_RANGE = 2**64


class _TimedEvent(NamedTuple):
    event: CacheEvent
    occurred_ms: float


class PrefixCache:
    """Least-recently-used cache of prompt blocks.

    Args:
        limit_tokens: Capacity of the cache, in tokens.
        event_lag_ms: Delay between an event and its publication.
        event_gap_ratio: Share of events that are never published, from 0 to 1.
    """

    def __init__(
        self, limit_tokens: int, event_lag_ms: float, event_gap_ratio: float
    ) -> None:
        self._max_block_count = limit_tokens // BLOCK_TOKENS
        self._event_lag_ms = event_lag_ms
        self._event_gap_ratio = event_gap_ratio
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[_TimedEvent] = []
        self._last_sequence = 0

    def look_up_and_store(self, digests: tuple[str, ...], now_ms: float) -> int:
        """Look up a prompt and store its blocks.

        Args:
            digests: Digests of the prompt's prefixes, one for each block.
            now_ms: Current time.

        Returns:
            The number of prompt tokens that were cached before this call.
        """
        hit_count = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            hit_count += 1
        for digest in digests:
            self._store(digest, now_ms)
        while len(self._blocks) > self._max_block_count:
            evicted_digest, _ = self._blocks.popitem(last=False)
            self._record_event("evicted", evicted_digest, now_ms)
        return hit_count * BLOCK_TOKENS

    def published_events(
        self, after_sequence: int, now_ms: float
    ) -> tuple[CacheEvent, ...]:
        """Return the events after a sequence number that are published by now."""
        limit_ms = now_ms - self._event_lag_ms
        return tuple(
            timed.event
            for timed in self._events
            if timed.event.sequence > after_sequence and timed.occurred_ms <= limit_ms
        )

    def _store(self, digest: str, now_ms: float) -> None:
        if digest not in self._blocks:
            self._blocks[digest] = None
            self._record_event("stored", digest, now_ms)
        self._blocks.move_to_end(digest)

    def _record_event(
        self, kind: Literal["stored", "evicted"], digest: str, now_ms: float
    ) -> None:
        self._last_sequence += 1
        event_hash = xxhash.xxh64_intdigest(f"{self._last_sequence}:{digest}".encode())
        if event_hash / _HASH_RANGE < self._event_gap_ratio:
            return
        event = CacheEvent(self._last_sequence, kind, digest)
        self._events.append(_TimedEvent(event, now_ms))
