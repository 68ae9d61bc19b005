"""Weighted fair queue over client accounts, by tokens served.

Each account has a virtual counter of tokens served over its weight; the account
with the smallest counter is next. An account that returns to the backlog has
its counter lifted to the smallest one there, so that silence earns no credit.
The queue is bounded, and a request that cannot start in time is refused at once.
"""

import math
from collections import deque
from collections.abc import Collection
from collections.abc import Iterator
from typing import NamedTuple

from gypsumfield.decisions.workload import GenerationDemand

SMALLEST_RETRY_AFTER_MS = 100.0
# Room comes in bursts, so the estimated wait errs; a request that might still
# start in time is not refused for it.
EARLY_REFUSAL_FACTOR = 2.0
# One pick in this many goes to the oldest entry below the highest priority.
_LOWER_PRIORITY_TURN = 8
_RATE_KEEP = 0.98
_COUNTERS_KEPT = 2_048
_FEWEST_RATE_TOKENS = 1.0


class QueueEntry(NamedTuple):
    """A request that waits.

    Attributes:
        demand: What it asks for.
        expected_tokens: Prompt and predicted output, for order and wait.
        arrived_ms: When it was offered.
        start_deadline_ms: When it is refused unless it has started.
        weight: Share of its account relative to others.
    """

    demand: GenerationDemand
    expected_tokens: float
    arrived_ms: float
    start_deadline_ms: float
    weight: float = 1.0


class QueueRefusal(NamedTuple):
    """Final answer to an entry: it has not run.

    Attributes:
        entry: The refused entry.
        code: ``queue_full``, ``wait_too_long`` or ``wait_expired``.
        retry_after_ms: When a new try is expected to start in time.
    """

    entry: QueueEntry
    code: str
    retry_after_ms: float


class OfferOutcome(NamedTuple):
    """What an offer did.

    Attributes:
        is_accepted: Whether the offered entry waits now.
        refused: Entries that got their final answer: the offered one or one
            that had to make room for it.
    """

    is_accepted: bool
    refused: tuple[QueueRefusal, ...] = ()


class _ServiceRate:
    """Tokens taken from the queue for each ms during which entries waited."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy_ms = 0.0
        self._since_ms = 0.0

    def start(self, now_ms: float) -> None:
        """Note that the backlog begins."""
        self._since_ms = now_ms

    def take(self, tokens: float, now_ms: float) -> None:
        """Note that an entry left the queue to be served."""
        self._busy_ms = self._busy_ms * _RATE_KEEP + max(0.0, now_ms - self._since_ms)
        self._tokens = self._tokens * _RATE_KEEP + tokens
        self._since_ms = now_ms

    def wait_ms(self, tokens: float, now_ms: float, is_backlogged: bool) -> float:
        """Return how long ``tokens`` take; 0 while nothing is known."""
        if self._tokens < _FEWEST_RATE_TOKENS:
            return 0.0
        blocked_ms = max(0.0, now_ms - self._since_ms) if is_backlogged else 0.0
        return tokens * (self._busy_ms + blocked_ms) / self._tokens


class FairQueue:
    """Requests that wait on one entry host for one service.

    Args:
        queue_limit: Largest number of entries.
    """

    def __init__(self, queue_limit: int) -> None:
        self.queue_limit = queue_limit
        self._lines: dict[tuple[int, str], deque[QueueEntry]] = {}
        self._counters: dict[str, float] = {}
        self._virtual_time = 0.0
        self._length = 0
        self._picks = 0
        self._rate = _ServiceRate()

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[QueueEntry]:
        for line in self._lines.values():
            yield from line

    def offer(self, now_ms: float, entry: QueueEntry) -> OfferOutcome:
        """Take an entry, or refuse it or another one at once."""
        wait_ms = self.estimated_wait_ms(entry, now_ms)
        limit_ms = entry.start_deadline_ms - now_ms
        if wait_ms > EARLY_REFUSAL_FACTOR * limit_ms:
            return OfferOutcome(
                False, (QueueRefusal(entry, "wait_too_long", _come_back(wait_ms)),)
            )
        if self._length < self.queue_limit:
            self._append(entry, now_ms)
            return OfferOutcome(True)
        victim = self._displaced_by(entry)
        if victim is None:
            refusal = QueueRefusal(entry, "queue_full", _come_back(wait_ms))
            return OfferOutcome(False, (refusal,))
        self._remove(victim)
        self._append(entry, now_ms)
        retry_ms = _come_back(self.estimated_wait_ms(victim, now_ms))
        return OfferOutcome(True, (QueueRefusal(victim, "queue_full", retry_ms),))

    def peek(
        self, now_ms: float, excluded_accounts: Collection[str] = ()
    ) -> QueueEntry | None:
        """Return the entry that is next, without taking it.

        Entries whose time is over are passed by; `expire` gives them out.

        Args:
            now_ms: Present time.
            excluded_accounts: Accounts that may not be served now.
        """
        key = self._next_line(now_ms, excluded_accounts)
        if key is None:
            return None
        return _first_alive(self._lines[key], now_ms)

    def next(
        self, now_ms: float, excluded_accounts: Collection[str] = ()
    ) -> QueueEntry | None:
        """Take the entry that `peek` returns and charge its expected tokens."""
        entry = self.peek(now_ms, excluded_accounts)
        if entry is not None:
            self.take(entry, now_ms)
        return entry

    def take(self, entry: QueueEntry, now_ms: float) -> None:
        """Take a waiting entry and charge its expected tokens."""
        account = entry.demand.account
        self._virtual_time = max(self._virtual_time, self._counters[account])
        self.charge(account, entry.expected_tokens, entry.weight)
        self._remove(entry)
        self._picks += 1
        self._rate.take(entry.expected_tokens, now_ms)

    def expire(self, now_ms: float) -> list[QueueRefusal]:
        """Take out all entries whose time is over, with their final answer."""
        over = [entry for entry in self if entry.start_deadline_ms <= now_ms]
        for entry in over:
            self._remove(entry)
        return [
            QueueRefusal(
                entry,
                "wait_expired",
                _come_back(self.estimated_wait_ms(entry, now_ms)),
            )
            for entry in over
        ]

    def next_expiry_ms(self) -> float | None:
        """Return when the next entry's time is over."""
        return min((entry.start_deadline_ms for entry in self), default=None)

    def cancel(self, request_id: str) -> bool:
        """Take out an entry whose caller is gone; return whether it waited."""
        for entry in self:
            if entry.demand.request_id == request_id:
                self._remove(entry)
                return True
        return False

    def charge(self, account: str, tokens: float, weight: float = 1.0) -> None:
        """Correct what an account was served, up or down.

        `next` charges the expected tokens; the difference to the tokens that
        were served is charged when the generation ends.
        """
        counter = self._counters.get(account, self._virtual_time)
        self._counters[account] = counter + tokens / weight

    def estimated_wait_ms(self, entry: QueueEntry, now_ms: float) -> float:
        """Return how long a new entry would wait for its start."""
        tokens_ahead = self._tokens_ahead(entry)
        return self._rate.wait_ms(tokens_ahead, now_ms, self._length > 0)

    def _tokens_ahead(self, entry: QueueEntry) -> float:
        """Return the tokens that the order serves before ``entry``."""
        priority, account = entry.demand.priority, entry.demand.account
        own_line = self._lines.get((priority, account), ())
        own_tokens = sum(each.expected_tokens for each in own_line)
        start = self._lifted(account) + own_tokens / entry.weight
        total = own_tokens
        for (other_priority, other), line in self._lines.items():
            is_own = (other_priority, other) == (priority, account)
            if is_own or other_priority < priority:
                continue
            backlog = sum(each.expected_tokens for each in line)
            if other_priority == priority:
                lead = max(0.0, start - self._counters[other])
                backlog = min(backlog, lead * line[0].weight)
            total += backlog
        return total

    def _lifted(self, account: str) -> float:
        """Return the counter with which an account would join the backlog."""
        counter = self._counters.get(account, 0.0)
        if any(key[1] == account for key in self._lines):
            return counter
        backlogged = {key[1] for key in self._lines}
        floor = min(
            (self._counters[each] for each in backlogged), default=self._virtual_time
        )
        return max(counter, floor)

    def _append(self, entry: QueueEntry, now_ms: float) -> None:
        account = entry.demand.account
        self._counters[account] = self._lifted(account)
        if self._length == 0:
            self._rate.start(now_ms)
        key = (entry.demand.priority, account)
        self._lines.setdefault(key, deque()).append(entry)
        self._length += 1

    def _remove(self, entry: QueueEntry) -> None:
        key = (entry.demand.priority, entry.demand.account)
        line = self._lines[key]
        line.remove(entry)
        self._length -= 1
        if not line:
            del self._lines[key]
        if len(self._counters) > _COUNTERS_KEPT:
            self._forget_settled()

    def _forget_settled(self) -> None:
        """Drop counters that a return to the backlog would lift anyway."""
        backlogged = {key[1] for key in self._lines}
        floor = min(
            (self._counters[each] for each in backlogged), default=self._virtual_time
        )
        self._counters = {
            account: counter
            for account, counter in self._counters.items()
            if account in backlogged or counter > floor
        }

    def _next_line(
        self, now_ms: float, excluded_accounts: Collection[str]
    ) -> tuple[int, str] | None:
        alive = {
            key: first
            for key, line in self._lines.items()
            if key[1] not in excluded_accounts
            and (first := _first_alive(line, now_ms)) is not None
        }
        if not alive:
            return None
        highest = max(priority for priority, _ in alive)
        lower = [key for key in alive if key[0] < highest]
        if lower and self._picks % _LOWER_PRIORITY_TURN == _LOWER_PRIORITY_TURN - 1:
            return min(lower, key=lambda key: (alive[key].arrived_ms, key))
        best = [key for key in alive if key[0] == highest]
        return min(best, key=lambda key: (self._counters[key[1]], key[1]))

    def _displaced_by(self, entry: QueueEntry) -> QueueEntry | None:
        """Return the entry that makes room for ``entry`` in a full queue.

        It is the newest one of the account with the largest backlog over its
        weight, if that backlog is larger than what the new entry's account
        would have.
        """
        backlogs: dict[str, float] = {}
        for each in self:
            account = each.demand.account
            backlogs[account] = backlogs.get(account, 0.0) + 1.0 / each.weight
        if not backlogs:
            return None
        own = backlogs.get(entry.demand.account, 0.0) + 1.0 / entry.weight
        largest = max(backlogs, key=lambda account: (backlogs[account], account))
        if largest == entry.demand.account or backlogs[largest] <= own:
            return None
        waiting = [each for each in self if each.demand.account == largest]
        return min(waiting, key=lambda each: (each.demand.priority, -each.arrived_ms))


def _first_alive(line: deque[QueueEntry], now_ms: float) -> QueueEntry | None:
    return next((each for each in line if each.start_deadline_ms > now_ms), None)


def _come_back(wait_ms: float) -> float:
    """Return when the present backlog will be gone."""
    return max(SMALLEST_RETRY_AFTER_MS, float(math.ceil(wait_ms)))
