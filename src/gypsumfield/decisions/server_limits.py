"""Request limits that backend servers in need name in their answers.

A server that is short of capacity names the requests a second that it accepts from all
hosts together. Answers overtake each other, and what one host was told reaches the
others late, so each statement carries the span of time in which the server made it. A
lower limit is adopted unless it is certainly older than the one in force; a higher one,
or the end of the limit, only when it is certainly newer.
"""

import math
from typing import NamedTuple

# An older statement is not passed on to other hosts.
STATEMENT_LIFETIME_MS = 30_000.0
# A change is passed on in every heartbeat round for this time.
CHANGE_RESEND_MS = 3_000.0
# The end of a limit is recorded for longer than any statement from before it is passed
# on, so that such a statement does not restore the limit.
RECORD_LIFETIME_MS = 600_000.0


class LimitStatement(NamedTuple):
    """What one answer of a server says about its limit.

    Attributes:
        limit_per_s: Requests a second from all hosts; None for no limit.
        sent_ms: Monotonic time at which the request was sent: the statement is not
            older. Minus infinity when unknown.
        received_ms: Monotonic time at which the answer arrived: it is not newer.
    """

    limit_per_s: float | None
    sent_ms: float
    received_ms: float


class LimitRecord(NamedTuple):
    """The latest statement of one start of a server, and when its limit changed."""

    started_wall_ms: int
    statement: LimitStatement
    changed_ms: float


class LimitRecords:
    """Limits by server id; each is valid for one start of its server."""

    def __init__(self) -> None:
        self._records: dict[str, LimitRecord] = {}

    def record(
        self,
        server_id: str,
        started_wall_ms: int,
        statement: LimitStatement,
        now_ms: float,
    ) -> bool:
        """Record a statement, and return whether it changes the limit in force.

        Args:
            server_id: Id of the backend server.
            started_wall_ms: Wall-clock time of the server's start, which identifies it.
            statement: The statement of this start.
            now_ms: Monotonic time.
        """
        current = self._records.get(server_id)
        if current is None or started_wall_ms > current.started_wall_ms:
            if statement.limit_per_s is None:
                ended = self._records.pop(server_id, None)
                return ended is not None and ended.statement.limit_per_s is not None
            self._expire(now_ms)
            self._records[server_id] = LimitRecord(started_wall_ms, statement, now_ms)
            return True
        if started_wall_ms < current.started_wall_ms:
            return False
        merged = _merge(current.statement, statement)
        has_changed = merged.limit_per_s != current.statement.limit_per_s
        self._records[server_id] = LimitRecord(
            started_wall_ms, merged, now_ms if has_changed else current.changed_ms
        )
        return has_changed

    def limit_per_s(self, server_id: str, started_wall_ms: int) -> float | None:
        """Return the limit of a server's start, or None without one."""
        record = self._records.get(server_id)
        if record is None or record.started_wall_ms != started_wall_ms:
            return None
        return record.statement.limit_per_s

    def find(self, server_id: str) -> LimitRecord | None:
        """Return the record of a server, or None."""
        return self._records.get(server_id)

    def to_pass_on(self, now_ms: float) -> tuple[list[str], list[str]]:
        """Return the servers whose statements may be passed on to other hosts.

        Returns:
            Those whose limit changed in the last `CHANGE_RESEND_MS`, and the others.
        """
        changed: list[str] = []
        unchanged: list[str] = []
        for server_id, record in self._records.items():
            if record.statement.received_ms >= now_ms - STATEMENT_LIFETIME_MS:
                is_changed = record.changed_ms >= now_ms - CHANGE_RESEND_MS
                (changed if is_changed else unchanged).append(server_id)
        return changed, unchanged

    def _expire(self, now_ms: float) -> None:
        oldest_ms = now_ms - RECORD_LIFETIME_MS
        for server_id, record in list(self._records.items()):
            if record.statement.received_ms < oldest_ms:
                del self._records[server_id]


def _merge(current: LimitStatement, other: LimitStatement) -> LimitStatement:
    if other.limit_per_s == current.limit_per_s:
        return LimitStatement(
            current.limit_per_s,
            max(current.sent_ms, other.sent_ms),
            max(current.received_ms, other.received_ms),
        )
    is_lower = _as_number(other.limit_per_s) < _as_number(current.limit_per_s)
    is_adopted = (
        other.received_ms > current.sent_ms
        if is_lower
        else other.sent_ms >= current.received_ms
    )
    return other if is_adopted else current


def _as_number(limit_per_s: float | None) -> float:
    return math.inf if limit_per_s is None else limit_per_s
