"""Bounded queue of news that each go out a number of times."""

from typing import Generic
from typing import TypeVar

KeyT = TypeVar("KeyT")
NewsT = TypeVar("NewsT")

RUMOUR_LIMIT = 1_024


class RumourQueue(Generic[KeyT, NewsT]):
    """News by key, the least often sent first; the latest news of a key wins."""

    def __init__(self) -> None:
        self._news: dict[KeyT, NewsT] = {}
        self._sent: dict[KeyT, int] = {}

    def add(self, key: KeyT, news: NewsT) -> None:
        """Queue news, in place of any older of the same key."""
        self._news.pop(key, None)
        self._news[key] = news
        self._sent[key] = 0
        if len(self._news) > RUMOUR_LIMIT:
            oldest = next(iter(self._news))
            del self._news[oldest]
            del self._sent[oldest]

    def take(self, limit: int, repeat_count: int) -> list[NewsT]:
        """Return up to ``limit`` news and count them as sent once more."""
        keys = sorted(self._sent, key=lambda key: self._sent[key])[:limit]
        taken = [self._news[key] for key in keys]
        for key in keys:
            self._sent[key] += 1
            if self._sent[key] >= repeat_count:
                del self._news[key]
                del self._sent[key]
        return taken
