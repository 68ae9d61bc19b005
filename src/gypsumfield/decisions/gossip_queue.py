"""Bounded queue of updates, each of which is sent a fixed number of times."""

from typing import Generic
from typing import TypeVar

KeyT = TypeVar("KeyT")
UpdateT = TypeVar("UpdateT")

GOSSIP_QUEUE_LIMIT = 1_024


class GossipQueue(Generic[KeyT, UpdateT]):
    """Updates by key, the least often sent first; a newer one replaces an older."""

    def __init__(self) -> None:
        self._updates: dict[KeyT, UpdateT] = {}
        self._sent_counts: dict[KeyT, int] = {}

    def add(self, key: KeyT, update: UpdateT) -> None:
        """Queue an update in place of any older one of the same key."""
        self._updates.pop(key, None)
        self._updates[key] = update
        self._sent_counts[key] = 0
        if len(self._updates) > GOSSIP_QUEUE_LIMIT:
            oldest = next(iter(self._updates))
            del self._updates[oldest]
            del self._sent_counts[oldest]

    def take(self, limit: int, send_limit: int) -> list[UpdateT]:
        """Return up to ``limit`` updates and count them as sent once more.

        An update is removed once it has been sent ``send_limit`` times.
        """
        keys = sorted(self._sent_counts, key=lambda key: self._sent_counts[key])[:limit]
        taken = [self._updates[key] for key in keys]
        for key in keys:
            self._sent_counts[key] += 1
            if self._sent_counts[key] >= send_limit:
                del self._updates[key]
                del self._sent_counts[key]
        return taken
