"""Weighted fair queue over client accounts, by tokens served.

Each account has a virtual counter of tokens served divided by its weight. The account
with the smallest counter is served next. The counter of an account that returns to the
backlog is raised to the smallest one there, so that an idle account earns no credit.
The queue is bounded, and a request that cannot start in time is refused at once.
"""

import math
from collections import deque
from collections.abc import Collection
from collections.abc import Iterator
from typing import NamedTuple

from gypsumfield.decisions.workload import GenerationDemand

MIN_RETRY_AFTER_MS = 100.0
# Capacity becomes free in bursts, so the estimated wait is inexact. A request that
# might still start in time is not refused because of it.
EARLY_REFUSAL_FACTOR = 2.0
# One selection in this many serves the oldest entry below the highest priority.
_LOWER_PRIORITY_INTERVAL = 8
_RATE_DECAY = 0.98
_COUNTER_LIMIT = 2_048
_MIN_RATE_TOKENS = 1.0


class QueueEntry(NamedTuple):
    """A request in the queue.

    Attributes:
        demand: Account, priority and size of the request.
        expected_tokens: Prompt and predicted output, for the order and the wait.
        arrived_ms: Time at which it was offered.
        start_deadline_ms: Time at which it is refused unless it has started.
        weight: Share of its account relative to other accounts.
    """

    demand: GenerationDemand
    expected_tokens: float
    arrived_ms: float
    start_deadline_ms: float
    weight: float = 1.0


class QueueRefusal(NamedTuple):
    """Refusal of an entry; its request has not run.

    Attributes:
        entry: The refused entry.
        code: ``queue_full``, ``wait_too_long`` or ``wait_expired``.
        retry_after_ms: Time after which a retry is expected to start in time.
    """

    entry: QueueEntry
    code: str
    retry_after_ms: float


class OfferOutcome(NamedTuple):
    """Result of an offer to the queue.

    Attributes:
        is_accepted: Whether the offered entry is in the queue.
        refused: Refused entries: the offered one, or one that it displaced.
    """

    is_accepted: bool
    refused: tuple[QueueRefusal, ...] = ()


class _ServiceRate:
    """Tokens taken from the queue per ms, while it was not empty."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy_ms = 0.0
        self._since_ms = 0.0

    def start(self, now_ms: float) -> None:
        """Record that the queue is no longer empty."""
        self._since_ms = now_ms

    def take(self, tokens: float, now_ms: float) -> None:
        """Record that an entry left the queue to be served."""
        self._busy_ms = self._busy_ms * _RATE_DECAY + max(0.0, now_ms - self._since_ms)
        self._tokens = self._tokens * _RATE_DECAY + tokens
        self._since_ms = now_ms

    def wait_ms(self, tokens: float, now_ms: float, is_backlogged: bool) -> float:
        """Return the time to serve ``tokens``, in ms; 0 before any entry was served."""
        if self._tokens < _MIN_RATE_TOKENS:
            return 0.0
        blocked_ms = max(0.0, now_ms - self._since_ms) if is_backlogged else 0.0
        return tokens * (self._busy_ms + blocked_ms) / self._tokens


class FairQueue:
    """Requests of one service that wait on one entry host.

    Args:
        queue_limit: Largest number of entries.
    """

    def __init__(self, queue_limit: int) -> None:
        self.queue_limit = queue_limit
        self._queues: dict[tuple[int, str], deque[QueueEntry]] = {}
        self._counters: dict[str, float] = {}
        self._virtual_time = 0.0
        self._length = 0
        self._selection_count = 0
        self._rate = _ServiceRate()

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[QueueEntry]:
        for queue in self._queues.values():
            yield from queue

    def offer(self, now_ms: float, entry: QueueEntry) -> OfferOutcome:
        """Add an entry to the queue, or refuse it or another entry at once."""
        wait_ms = self.estimated_wait_ms(entry, now_ms)
        limit_ms = entry.start_deadline_ms - now_ms
        if wait_ms > EARLY_REFUSAL_FACTOR * limit_ms:
            return OfferOutcome(
                False, (QueueRefusal(entry, "wait_too_long", _retry_after_ms(wait_ms)),)
            )
        if self._length < self.queue_limit:
            self._append(entry, now_ms)
            return OfferOutcome(True)
        displaced = self._find_displaced(entry)
        if displaced is None:
            refusal = QueueRefusal(entry, "queue_full", _retry_after_ms(wait_ms))
            return OfferOutcome(False, (refusal,))
        self._remove(displaced)
        self._append(entry, now_ms)
        retry_ms = _retry_after_ms(self.estimated_wait_ms(displaced, now_ms))
        return OfferOutcome(True, (QueueRefusal(displaced, "queue_full", retry_ms),))

    def peek(
        self, now_ms: float, excluded_accounts: Collection[str] = ()
    ) -> QueueEntry | None:
        """Return the next entry without removing it.

        Expired entries are skipped; `expire` returns them.

        Args:
            now_ms: Current time.
            excluded_accounts: Accounts that may not be served now.
        """
        key = self._next_key(now_ms, excluded_accounts)
        if key is None:
            return None
        return _first_unexpired(self._queues[key], now_ms)

    def next(
        self, now_ms: float, excluded_accounts: Collection[str] = ()
    ) -> QueueEntry | None:
        """Remove the entry that `peek` returns and charge its expected tokens."""
        entry = self.peek(now_ms, excluded_accounts)
        if entry is not None:
            self.take(entry, now_ms)
        return entry

    def take(self, entry: QueueEntry, now_ms: float) -> None:
        """Remove an entry of the queue and charge its expected tokens."""
        account = entry.demand.account
        self._virtual_time = max(self._virtual_time, self._counters[account])
        self.charge(account, entry.expected_tokens, entry.weight)
        self._remove(entry)
        self._selection_count += 1
        self._rate.take(entry.expected_tokens, now_ms)

    def expire(self, now_ms: float) -> list[QueueRefusal]:
        """Remove all expired entries and return their refusals."""
        expired = [entry for entry in self if entry.start_deadline_ms <= now_ms]
        for entry in expired:
            self._remove(entry)
        return [
            QueueRefusal(
                entry,
                "wait_expired",
                _retry_after_ms(self.estimated_wait_ms(entry, now_ms)),
            )
            for entry in expired
        ]

    def next_expiry_ms(self) -> float | None:
        """Return the time at which the next entry expires; None when empty."""
        return min((entry.start_deadline_ms for entry in self), default=None)

    def cancel(self, request_id: str) -> bool:
        """Remove an entry whose caller is gone; return whether it was queued."""
        for entry in self:
            if entry.demand.request_id == request_id:
                self._remove(entry)
                return True
        return False

    def charge(self, account: str, tokens: float, weight: float = 1.0) -> None:
        """Add tokens, which may be negative, to the counter of an account.

        `next` charges the expected tokens. The difference to the tokens that were
        served is charged when the generation ends.
        """
        counter = self._counters.get(account, self._virtual_time)
        self._counters[account] = counter + tokens / weight

    def estimated_wait_ms(self, entry: QueueEntry, now_ms: float) -> float:
        """Return the time that a new entry would wait for its start, in ms."""
        tokens_ahead = self._tokens_ahead(entry)
        return self._rate.wait_ms(tokens_ahead, now_ms, self._length > 0)

    def _tokens_ahead(self, entry: QueueEntry) -> float:
        """Return the tokens of other entries that are served before ``entry``."""
        priority, account = entry.demand.priority, entry.demand.account
        own_queue = self._queues.get((priority, account), ())
        own_tokens = sum(queued.expected_tokens for queued in own_queue)
        start = self._joining_counter(account) + own_tokens / entry.weight
        total = own_tokens
        for (other_priority, other), queue in self._queues.items():
            is_own = (other_priority, other) == (priority, account)
            if is_own or other_priority < priority:
                continue
            backlog = sum(queued.expected_tokens for queued in queue)
            if other_priority == priority:
                lead = max(0.0, start - self._counters[other])
                backlog = min(backlog, lead * queue[0].weight)
            total += backlog
        return total

    def _joining_counter(self, account: str) -> float:
        """Return the counter with which an account would enter the backlog."""
        counter = self._counters.get(account, 0.0)
        if any(key[1] == account for key in self._queues):
            return counter
        backlogged = {key[1] for key in self._queues}
        floor = min(
            (self._counters[other] for other in backlogged), default=self._virtual_time
        )
        return max(counter, floor)

    def _append(self, entry: QueueEntry, now_ms: float) -> None:
        account = entry.demand.account
        self._counters[account] = self._joining_counter(account)
        if self._length == 0:
            self._rate.start(now_ms)
        key = (entry.demand.priority, account)
        self._queues.setdefault(key, deque()).append(entry)
        self._length += 1

    def _remove(self, entry: QueueEntry) -> None:
        key = (entry.demand.priority, entry.demand.account)
        queue = self._queues[key]
        queue.remove(entry)
        self._length -= 1
        if not queue:
            del self._queues[key]
        if len(self._counters) > _COUNTER_LIMIT:
            self._remove_settled_counters()

    def _remove_settled_counters(self) -> None:
        """Remove counters that would be raised when their accounts queue again."""
        backlogged = {key[1] for key in self._queues}
        floor = min(
            (self._counters[other] for other in backlogged), default=self._virtual_time
        )
        self._counters = {
            account: counter
            for account, counter in self._counters.items()
            if account in backlogged or counter > floor
        }

    def _next_key(
        self, now_ms: float, excluded_accounts: Collection[str]
    ) -> tuple[int, str] | None:
        unexpired = {
            key: first
            for key, queue in self._queues.items()
            if key[1] not in excluded_accounts
            and (first := _first_unexpired(queue, now_ms)) is not None
        }
        if not unexpired:
            return None
        highest = max(priority for priority, _ in unexpired)
        lower = [key for key in unexpired if key[0] < highest]
        if (
            lower
            and self._selection_count % _LOWER_PRIORITY_INTERVAL
            == _LOWER_PRIORITY_INTERVAL - 1
        ):
            return min(lower, key=lambda key: (unexpired[key].arrived_ms, key))
        best = [key for key in unexpired if key[0] == highest]
        return min(best, key=lambda key: (self._counters[key[1]], key[1]))

    def _find_displaced(self, entry: QueueEntry) -> QueueEntry | None:
        """Return the entry that ``entry`` displaces from a full queue, or None.

        It is the newest of the lowest-priority entries of the account with the largest
        backlog divided by its weight, if that backlog is larger than the one that the
        new entry's account would have.
        """
        backlogs: dict[str, float] = {}
        for queued in self:
            account = queued.demand.account
            backlogs[account] = backlogs.get(account, 0.0) + 1.0 / queued.weight
        if not backlogs:
            return None
        own = backlogs.get(entry.demand.account, 0.0) + 1.0 / entry.weight
        largest = max(backlogs, key=lambda account: (backlogs[account], account))
        if largest == entry.demand.account or backlogs[largest] <= own:
            return None
        waiting = [queued for queued in self if queued.demand.account == largest]
        return min(
            waiting, key=lambda queued: (queued.demand.priority, -queued.arrived_ms)
        )


def _first_unexpired(queue: deque[QueueEntry], now_ms: float) -> QueueEntry | None:
    return next((entry for entry in queue if entry.start_deadline_ms > now_ms), None)


def _retry_after_ms(wait_ms: float) -> float:
    """Return the time until the current backlog is served, with a lower limit."""
    return max(MIN_RETRY_AFTER_MS, float(math.ceil(wait_ms)))
