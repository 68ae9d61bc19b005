"""Queues to compare with the fair one."""

from collections.abc import Collection

from gypsumfield.decisions.fairness import FairQueue
from gypsumfield.decisions.fairness import OfferOutcome
from gypsumfield.decisions.fairness import QueueEntry
from gypsumfield.decisions.fairness import QueueRefusal

RETRY_AFTER_MS = 1_000.0


class FirstComeQueue(FairQueue):
    """Serves in the order of arrival and refuses only when it is full."""

    def __init__(self, queue_limit: int) -> None:
        super().__init__(queue_limit)
        self._entries: list[QueueEntry] = []

    def __len__(self) -> int:
        return len(self._entries)

    def offer(self, now_ms: float, entry: QueueEntry) -> OfferOutcome:
        """Take an entry unless the queue is full."""
        if len(self._entries) >= self.queue_limit:
            refusal = QueueRefusal(entry, "queue_full", RETRY_AFTER_MS)
            return OfferOutcome(False, (refusal,))
        self._entries.append(entry)
        return OfferOutcome(True)

    def peek(
        self, now_ms: float, excluded_accounts: Collection[str] = ()
    ) -> QueueEntry | None:
        """Return the oldest entry whose time is not over."""
        alive = (
            entry
            for entry in self._entries
            if entry.start_deadline_ms > now_ms
            and entry.demand.account not in excluded_accounts
        )
        return next(alive, None)

    def next(
        self, now_ms: float, excluded_accounts: Collection[str] = ()
    ) -> QueueEntry | None:
        """Take the oldest entry whose time is not over."""
        entry = self.peek(now_ms, excluded_accounts)
        if entry is not None:
            self._entries.remove(entry)
        return entry

    def expire(self, now_ms: float) -> list[QueueRefusal]:
        """Take out all entries whose time is over."""
        over = [entry for entry in self._entries if entry.start_deadline_ms <= now_ms]
        self._entries = [
            each for each in self._entries if each.start_deadline_ms > now_ms
        ]
        return [QueueRefusal(entry, "wait_expired", RETRY_AFTER_MS) for entry in over]
