"""Evidence on which part of a request crashes the servers that run it.

The parts are the named parts of its prompt and its whole content, by which its repeats
are known. When a server crashes, the parts of each request that it had not begun to
answer are suspects, and so is the content of those that it was answering. An answer
clears the parts of its request of earlier crashes. A part with enough crashes since its
last answer is condemned together with the parts that were present in each of these
crashes: only a request that holds all of them is refused. So the most specific
explanation goes first: if repeats of one request explain all crashes, others with the
same named parts are served, and can clear these.

A crash weighs less against a content while something else may explain it: another
content that was being answered, or an engine that ended at the same moment without it.
"""

import math
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

# A request whose answer had begun is much more likely to have crashed its engine than
# one that still waited there.
ANSWERING_POINTS = 2
WAITING_POINTS = 1
SUSPECT_POINTS = 2
CONDEMNED_POINTS = 4
# Engines that share a machine or a rack crash together; that counts once.
SIMULTANEOUS_MS = 100.0
SUSPECT_LIFETIME_MS = 10_000.0
VERDICT_LIFETIME_MS = 600_000.0
# Longer than a verdict: after its end one more crash restores it.
RECORD_LIFETIME_MS = 3_600_000.0
CLEARED_LIFETIME_MS = 60_000.0
# A change is passed on in every heartbeat round for this time.
CHANGE_RESEND_MS = 3_000.0
MAX_RECORDS = 1_024
MAX_CRASHES_PER_PART = 6
MAX_PARTS_PER_REQUEST = 16
MAX_ANSWERED_PARTS = 4_096
MAX_CRASH_TIMES = 256


class PartCrash(NamedTuple):
    """One crash of an engine that held a request with a part.

    Attributes:
        crash_id: Identifies the start of the engine that ended with the crash.
        at_ms: Monotonic time of the crash.
        was_answering: Whether the answer to the request had begun.
        is_later: Whether the request was sent when its sender knew of an earlier crash
            of the same part, so that the engine had not ended together with that one.
    """

    crash_id: int
    at_ms: float
    was_answering: bool
    is_later: bool = False

    @property
    def points(self) -> int:
        """Weight of the crash as evidence."""
        return ANSWERING_POINTS if self.was_answering else WAITING_POINTS


class PartRecord(NamedTuple):
    """Evidence on one part.

    Attributes:
        crashes: Crashes since its last answer, the earliest first.
        answered_ms: Monotonic time at which its last answer began, or minus infinity.
        changed_ms: Monotonic time at which its crashes changed last.
        is_content: Whether it is the content of a request, not a named part.
    """

    crashes: tuple[PartCrash, ...] = ()
    answered_ms: float = -math.inf
    changed_ms: float = -math.inf
    is_content: bool = False

    @property
    def points(self) -> int:
        """Sum of the evidence, if nothing else explains the crashes."""
        return self.weighted_points(lambda _crash: False)

    def weighted_points(self, has_other_cause: Callable[[PartCrash], bool]) -> int:
        """Return the sum of the evidence; crashes at the same moment count once.

        Args:
            has_other_cause: Whether something else may explain a crash.
        """
        points = 0
        cluster_points = 0
        cluster_ms = -math.inf
        for crash in self.crashes:
            if crash.is_later or crash.at_ms - cluster_ms >= SIMULTANEOUS_MS:
                points += cluster_points
                cluster_ms, cluster_points = crash.at_ms, 0
            weight = WAITING_POINTS if has_other_cause(crash) else crash.points
            cluster_points = max(cluster_points, weight)
        return points + cluster_points

    @property
    def last_crash_ms(self) -> float:
        """Monotonic time of the last crash, or minus infinity."""
        return self.crashes[-1].at_ms if self.crashes else -math.inf


class Suspicion(Enum):
    """What the evidence says about a request."""

    NONE = "none"
    SUSPECTED = "suspected"
    CONDEMNED = "condemned"


class Assessment(NamedTuple):
    """What the evidence says about a request, by its worst part.

    Attributes:
        suspicion: The result.
        part: The part that it is based on; 0 for none.
        remaining_ms: Time for which it holds without new evidence.
    """

    suspicion: Suspicion = Suspicion.NONE
    part: int = 0
    remaining_ms: float = 0.0


class _RecentAnswers:
    """Start of the last answer by part; the part recorded first is removed first."""

    def __init__(self) -> None:
        self._begun_ms: dict[int, float] = {}

    def __contains__(self, part: int) -> bool:
        return part in self._begun_ms

    def record(self, part: int, begun_ms: float) -> None:
        previous_ms = self._begun_ms.pop(part, -math.inf)
        self._begun_ms[part] = max(previous_ms, begun_ms)
        if len(self._begun_ms) > MAX_ANSWERED_PARTS:
            del self._begun_ms[next(iter(self._begun_ms))]

    def find(self, part: int) -> float:
        return self._begun_ms.get(part, -math.inf)


class PartCrashes:
    """Crashes by part, as far as this host knows of them.

    Attributes:
        version: Number of changes so far that other hosts should learn of.
    """

    def __init__(self) -> None:
        self.version = 0
        self._records: dict[int, PartRecord] = {}
        self._answers = _RecentAnswers()
        # Nearly every request has a content of its own; apart, they push out no part.
        self._content_answers = _RecentAnswers()
        # Used as an ordered set, like the answers.
        self._crash_times_ms: dict[int, float] = {}

    def record_crash(
        self, parts: Collection[int], crash: PartCrash, now_ms: float
    ) -> None:
        """Record a crash of an engine that held a request with these parts."""
        unanswered_first = sorted(
            dict.fromkeys(parts), key=lambda part: part in self._answers
        )
        for part in unanswered_first[:MAX_PARTS_PER_REQUEST]:
            self.merge(part, [crash], -math.inf, now_ms)

    def record_content_crash(
        self, content: int, crash: PartCrash, sent_ms: float, now_ms: float
    ) -> None:
        """Record a crash of an engine that held a request with this content.

        Args:
            content: Number of the content.
            crash: The crash.
            sent_ms: Monotonic time at which the request was sent.
            now_ms: Monotonic time.
        """
        known = self._records.get(content, PartRecord()).crashes
        is_later = any(earlier.at_ms < sent_ms for earlier in known)
        crashes = [crash._replace(is_later=is_later)]
        self.merge(content, crashes, -math.inf, now_ms, is_content=True)

    def record_content_answer(
        self, content: int, begun_ms: float, now_ms: float
    ) -> None:
        """Record a complete answer to a request with this content."""
        self._content_answers.record(content, begun_ms)
        if content in self._records:
            self.merge(content, [], begun_ms, now_ms, is_content=True)

    def record_answer(
        self, parts: Iterable[int], begun_ms: float, now_ms: float
    ) -> bool:
        """Record an answer to a request; return whether it clears one of its parts.

        Args:
            parts: Parts of the request.
            begun_ms: Monotonic time at which the answer began.
            now_ms: Monotonic time.
        """
        has_cleared = False
        for part in parts:
            self._answers.record(part, begun_ms)
            if part in self._records:
                has_cleared |= self.merge(part, [], begun_ms, now_ms)
        return has_cleared

    def merge(
        self,
        part: int,
        crashes: Iterable[PartCrash],
        answered_ms: float,
        now_ms: float,
        is_content: bool = False,
    ) -> bool:
        """Add evidence on a part; return whether its crashes have changed.

        Evidence that the part's answers refute is passed on as a change, so that its
        sender learns of the answer.
        """
        current = self._records.get(part, PartRecord())
        answered_ms = max(
            answered_ms,
            current.answered_ms,
            self._answers.find(part),
            self._content_answers.find(part),
        )
        known = {crash.crash_id: crash for crash in current.crashes}
        is_refuted = False
        for crash in crashes:
            self._record_crash_time(crash)
            is_refuted |= crash.at_ms <= answered_ms
            earlier = known.get(crash.crash_id)
            if earlier is None:
                known[crash.crash_id] = crash
            elif crash.was_answering and not earlier.was_answering:
                known[crash.crash_id] = earlier._replace(was_answering=True)
        remaining = [crash for crash in known.values() if crash.at_ms > answered_ms]
        remaining.sort(key=lambda crash: crash.at_ms)
        merged = tuple(remaining[-MAX_CRASHES_PER_PART:])
        has_changed = merged != current.crashes
        if not (has_changed or is_refuted or part in self._records):
            if answered_ms > -math.inf:
                self._answers.record(part, answered_ms)
            return False
        changed_ms = now_ms if has_changed or is_refuted else current.changed_ms
        self._records[part] = PartRecord(
            merged, answered_ms, changed_ms, is_content or current.is_content
        )
        if has_changed or is_refuted:
            self.version += 1
            self._discard_old(now_ms)
        return has_changed

    def find(self, part: int) -> PartRecord | None:
        """Return the evidence on a part, or None."""
        return self._records.get(part)

    def suspicion_of(self, part: int, now_ms: float) -> Suspicion:
        """Return what the evidence says about a part, whatever else was present."""
        record = self._records.get(part, PartRecord())
        return self._assess_record(part, record, now_ms).suspicion

    def assess(self, parts: Iterable[int], now_ms: float) -> Assessment:
        """Return what the evidence says about a request with these parts."""
        worst = Assessment()
        held = dict.fromkeys(parts)
        for part in held:
            record = self._records.get(part)
            if record is None or not record.crashes:
                continue
            assessment = self._assess_record(part, record, now_ms)
            if assessment.suspicion is Suspicion.NONE:
                continue
            if worst.suspicion is Suspicion.CONDEMNED or not self._companions(
                record
            ).issubset(held):
                continue
            worst = assessment
        return worst

    def to_pass_on(self, now_ms: float) -> tuple[list[int], list[int]]:
        """Return the parts on which evidence may be passed on to other hosts.

        Returns:
            Those that changed in the last `CHANGE_RESEND_MS`, the latest first, and
            the others.
        """
        self._discard_old(now_ms)
        changed: list[int] = []
        unchanged: list[int] = []
        for part, record in self._records.items():
            is_changed = record.changed_ms >= now_ms - CHANGE_RESEND_MS
            (changed if is_changed else unchanged).append(part)
        changed.sort(key=lambda part: -self._records[part].changed_ms)
        return changed, unchanged

    def _assess_record(
        self, part: int, record: PartRecord, now_ms: float
    ) -> Assessment:
        age_ms = now_ms - record.last_crash_ms
        points = self.points_of(record)
        if points >= CONDEMNED_POINTS and age_ms < VERDICT_LIFETIME_MS:
            return Assessment(Suspicion.CONDEMNED, part, VERDICT_LIFETIME_MS - age_ms)
        if points >= SUSPECT_POINTS and age_ms < SUSPECT_LIFETIME_MS:
            return Assessment(Suspicion.SUSPECTED, part, SUSPECT_LIFETIME_MS - age_ms)
        return Assessment()

    def points_of(self, record: PartRecord) -> int:
        """Return the weight of the evidence on a part."""
        if not record.is_content:
            return record.points
        return record.weighted_points(
            lambda crash: (
                self._is_shared(crash, record) or self._is_in_group(crash, record)
            )
        )

    def _is_shared(self, crash: PartCrash, record: PartRecord) -> bool:
        """Return whether the engine was answering another suspect content too."""
        return any(
            other.crash_id == crash.crash_id and other.was_answering
            for another in self._records.values()
            if another.is_content and another is not record
            for other in another.crashes
        )

    def _is_in_group(self, crash: PartCrash, record: PartRecord) -> bool:
        """Return whether an engine without the content ended at the same moment."""
        own_ids = {own.crash_id for own in record.crashes}
        return any(
            abs(at_ms - crash.at_ms) < SIMULTANEOUS_MS and crash_id not in own_ids
            for crash_id, at_ms in self._crash_times_ms.items()
        )

    def _record_crash_time(self, crash: PartCrash) -> None:
        self._crash_times_ms.setdefault(crash.crash_id, crash.at_ms)
        if len(self._crash_times_ms) > MAX_CRASH_TIMES:
            del self._crash_times_ms[next(iter(self._crash_times_ms))]

    def _companions(self, record: PartRecord) -> set[int]:
        """Return the parts that were present in each crash of a record."""
        return {
            part
            for part, other in self._records.items()
            if _explains(other.crashes, record.crashes)
        }

    def _discard_old(self, now_ms: float) -> None:
        for part, record in list(self._records.items()):
            if record.crashes:
                is_old = now_ms - record.last_crash_ms > RECORD_LIFETIME_MS
            else:
                is_old = now_ms - record.changed_ms > CLEARED_LIFETIME_MS
            if is_old:
                del self._records[part]
        while len(self._records) > MAX_RECORDS:
            weakest = min(
                self._records,
                key=lambda part: (
                    self._records[part].points,
                    self._records[part].changed_ms,
                ),
            )
            del self._records[weakest]


def _explains(
    crashes: tuple[PartCrash, ...], other_crashes: tuple[PartCrash, ...]
) -> bool:
    """Return whether one part is as good an explanation of another's crashes."""
    answering = {crash.crash_id: crash.was_answering for crash in crashes}
    return all(
        answering.get(other.crash_id, False)
        or (other.crash_id in answering and not other.was_answering)
        for other in other_crashes
    )
