"""Which backend servers are thought to hold which prompt prefixes.

Cache events come late and with gaps, so what they tell is a belief: it fades
with time, and a gap in the sequence numbers weakens all beliefs about the
backend server, because the lost event may have been an eviction.
"""

import math
from collections import OrderedDict
from collections.abc import Sequence
from typing import NamedTuple

from gypsumfield.engine_api import CacheEvents

BELIEF_HALF_LIFE_MS = 30_000.0
GAP_TRUST = 0.9
DIGEST_LIMIT = 2_048
# What this host sent is cached unless memory was short.
SENT_TRUST = 0.8


class _Belief(NamedTuple):
    trust: float
    since_ms: float


class _Memory:
    """Beliefs about one boot of one backend server."""

    def __init__(self, boot_id: str) -> None:
        self.boot_id = boot_id
        self.sequence = 0
        self.gap_trust = 1.0
        self.beliefs: OrderedDict[str, _Belief] = OrderedDict()

    def note(self, digest: str, trust: float, now_ms: float) -> None:
        # A gap weakens what was known before it and not what comes after it.
        self.beliefs[digest] = _Belief(trust / self.gap_trust, now_ms)
        self.beliefs.move_to_end(digest)
        if len(self.beliefs) > DIGEST_LIMIT:
            self.beliefs.popitem(last=False)

    def chance(self, digest: str, now_ms: float) -> float:
        belief = self.beliefs.get(digest)
        if belief is None:
            return 0.0
        age_ms = max(0.0, now_ms - belief.since_ms)
        fading = math.exp2(-age_ms / BELIEF_HALF_LIFE_MS)
        return min(1.0, belief.trust * self.gap_trust) * fading


class PrefixAffinity:
    """Beliefs about the prompt prefixes of all backend servers."""

    def __init__(self) -> None:
        self._memories: dict[str, _Memory] = {}

    def observe(self, host_id: str, events: CacheEvents, now_ms: float) -> None:
        """Learn from published cache events; another boot starts anew."""
        memory = self._memories.get(host_id)
        if memory is None or memory.boot_id != events.boot_id:
            memory = self._memories[host_id] = _Memory(events.boot_id)
        for event in events.events:
            if event.sequence <= memory.sequence:
                continue
            missed = event.sequence - memory.sequence - 1
            memory.gap_trust *= GAP_TRUST**missed
            memory.sequence = event.sequence
            if event.kind == "evicted":
                memory.beliefs.pop(event.prefix_digest, None)
            else:
                memory.note(event.prefix_digest, 1.0, now_ms)
        if memory.gap_trust < 0.01:
            memory.beliefs.clear()
            memory.gap_trust = 1.0

    def note_sent(self, host_id: str, digests: Sequence[str], now_ms: float) -> None:
        """Note that a prompt with these prefixes was sent to a backend server."""
        memory = self._memories.setdefault(host_id, _Memory(""))
        for digest in digests:
            if memory.chance(digest, now_ms) < SENT_TRUST:
                memory.note(digest, SENT_TRUST, now_ms)

    def after_sequence(self, host_id: str) -> int:
        """Return the sequence number after which events are wanted."""
        memory = self._memories.get(host_id)
        return 0 if memory is None else memory.sequence

    def cached_share(
        self, host_id: str, digests: Sequence[str], now_ms: float
    ) -> float:
        """Return the expected share of a prompt that is cached there.

        Args:
            host_id: Backend server.
            digests: Digests of the prompt's prefixes, shortest first.
            now_ms: Present time.
        """
        memory = self._memories.get(host_id)
        if memory is None or not digests:
            return 0.0
        best = 0.0
        for count, digest in enumerate(digests, start=1):
            chance = memory.chance(digest, now_ms)
            if chance <= 0.0:
                break
            best = max(best, chance * count / len(digests))
        return best

    def remove(self, host_id: str) -> None:
        """Drop all beliefs about a backend server that is gone."""
        self._memories.pop(host_id, None)
