"""Merging of many logs into one order, in memory that does not grow with them.

A first pass finds the processes and compares the two ends of each message; a
second one merges the files, each read lazily, by corrected time.
"""

import heapq
from collections import defaultdict
from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

from gypsumfield.timeline.offsets import ClockBound
from gypsumfield.timeline.offsets import estimate_corrections
from gypsumfield.timeline.offsets import INFINITY_MS
from gypsumfield.timeline.offsets import ROUNDING_MS
from gypsumfield.timeline.records import DamageReport
from gypsumfield.timeline.records import LogLine
from gypsumfield.timeline.records import read_log
from gypsumfield.timeline.records import ReadLine

UNMATCHED_LIMIT = 100_000

MESSAGE_SENT = "message_sent"
MESSAGE_RECEIVED = "message_received"


class ProcessKey(NamedTuple):
    """One run of one host's process, as found in one log."""

    path: str
    host_id: str
    boot: int


class LocalLine(NamedTuple):
    """A line with its time by the process's own clock."""

    time_ms: float
    process: ProcessKey
    read: ReadLine


class TimedLine(NamedTuple):
    """A line with its place in the common order.

    Attributes:
        time_ms: Corrected milliseconds since the Unix epoch.
        fields: The fields that order and select lines.
        raw: The whole line.
    """

    time_ms: float
    fields: LogLine
    raw: bytes


class MessageEnd(NamedTuple):
    """Identity of one delivery, the same at both ends."""

    message_id: str
    receiver: str


class TimelineIndex(NamedTuple):
    """What the first pass found.

    Attributes:
        corrections_ms: Milliseconds to add to each process's own clock.
        slack_ms: Time by which a message may still seem to come too early.
        message_count: Messages of which both ends were found.
    """

    corrections_ms: dict[ProcessKey, float]
    slack_ms: float
    message_count: int


def index_logs(paths: list[str], damage: DamageReport) -> TimelineIndex:
    """Read all logs once and estimate the processes' clock corrections."""
    indexes: dict[ProcessKey, int] = {}
    pairing = _MessagePairing()
    streams = [_local_lines(path, damage) for path in paths]
    for line in heapq.merge(*streams, key=lambda line: line.time_ms):
        index = indexes.setdefault(line.process, len(indexes))
        pairing.add(index, line)
    bounds = [
        ClockBound(sender, receiver, smallest_ms)
        for (sender, receiver), smallest_ms in sorted(pairing.smallest_ms.items())
    ]
    found = estimate_corrections(len(indexes), bounds)
    corrections_ms = {key: found.corrections_ms[at] for key, at in indexes.items()}
    return TimelineIndex(corrections_ms, found.slack_ms, pairing.matched_count)


def merge_logs(index: TimelineIndex, damage: DamageReport) -> Iterator[TimedLine]:
    """Yield all events by corrected time, no message before it was sent."""
    logs = sorted({(key.path, key.host_id) for key in index.corrections_ms})
    streams = [_corrected_lines(path, host, index, damage) for path, host in logs]
    hosts = [host for _, host in logs]
    yield from _CausalMerge(hosts, streams, index.slack_ms).lines()


class _MessagePairing:
    """Smallest time from sending to receiving, for each pair of processes."""

    def __init__(self) -> None:
        self.smallest_ms: dict[tuple[int, int], float] = {}
        self.matched_count = 0
        self._sent: OrderedDict[MessageEnd, tuple[int, float]] = OrderedDict()
        self._received: OrderedDict[MessageEnd, tuple[int, float]] = OrderedDict()

    def add(self, process: int, line: LocalLine) -> None:
        end = _message_end(line.read.fields)
        if end is None:
            return
        if line.read.fields.event == MESSAGE_SENT:
            self._match(end, process, line.time_ms, self._sent, self._received)
        else:
            self._match(end, process, line.time_ms, self._received, self._sent)

    def _match(
        self,
        end: MessageEnd,
        process: int,
        time_ms: float,
        own_side: OrderedDict[MessageEnd, tuple[int, float]],
        other_side: OrderedDict[MessageEnd, tuple[int, float]],
    ) -> None:
        other = other_side.pop(end, None)
        if other is None:
            _remember(own_side, end, (process, time_ms))
            return
        is_sender = own_side is self._sent
        other_process, other_time_ms = other
        sender, receiver = (
            (process, other_process) if is_sender else (other_process, process)
        )
        if sender == receiver:
            return
        elapsed_ms = other_time_ms - time_ms if is_sender else time_ms - other_time_ms
        known_ms = self.smallest_ms.get((sender, receiver), elapsed_ms)
        self.smallest_ms[(sender, receiver)] = min(known_ms, elapsed_ms)
        self.matched_count += 1


class _HeldLine(NamedTuple):
    """A received message whose sending was not yet seen."""

    time_ms: float
    stream: int
    line: TimedLine


class _CausalMerge:
    """Merge that holds a process at a message whose sending comes later.

    Needed where clocks drift, so that no constant correction fits, and for
    equal times. A held process goes on when the sending was seen, or when the
    sender's log is past the time by which it must have come.
    """

    def __init__(
        self, hosts: list[str], streams: list[Iterator[TimedLine]], slack_ms: float
    ) -> None:
        self._streams = streams
        self._slack_ms = slack_ms + 2.0 * ROUNDING_MS
        self._streams_by_host: dict[str, list[int]] = defaultdict(list)
        for stream, host in enumerate(hosts):
            self._streams_by_host[host].append(stream)
        self._head_ms = [0.0] * len(streams)
        self._sent: OrderedDict[MessageEnd, bool] = OrderedDict()
        self._held: dict[MessageEnd, _HeldLine] = {}
        self._heap: list[tuple[float, int, int, TimedLine]] = []
        self._order = 0

    def lines(self) -> Iterator[TimedLine]:
        for stream in range(len(self._streams)):
            self._advance(stream, 0.0)
        while self._heap or self._held:
            if not self._heap:
                self._release(min(self._held, key=lambda end: self._held[end].time_ms))
            time_ms, _, stream, line = heapq.heappop(self._heap)
            end = _message_end(line.fields)
            if end is not None and self._must_hold(end, line):
                self._held[end] = _HeldLine(time_ms, stream, line)
                continue
            yield line._replace(time_ms=time_ms)
            if end is not None and line.fields.event == MESSAGE_SENT:
                _remember(self._sent, end, True)
                if end in self._held:
                    self._release(end, time_ms)
            self._advance(stream, time_ms)
            if self._held:
                self._release_overdue(line.fields.host_id, time_ms)

    def _must_hold(self, end: MessageEnd, line: TimedLine) -> bool:
        is_received = line.fields.event == MESSAGE_RECEIVED
        return is_received and end not in self._sent and self._may_come(line)

    def _may_come(self, received: TimedLine) -> bool:
        latest_ms = received.time_ms + self._slack_ms
        senders = self._streams_by_host.get(received.fields.sender, [])
        return any(self._head_ms[stream] <= latest_ms for stream in senders)

    def _release_overdue(self, sender: str, time_ms: float) -> None:
        overdue = [
            end
            for end, held in self._held.items()
            if held.line.fields.sender == sender and not self._may_come(held.line)
        ]
        for end in overdue:
            self._release(end, time_ms)

    def _release(self, end: MessageEnd, earliest_ms: float = 0.0) -> None:
        held = self._held.pop(end)
        _remember(self._sent, end, True)
        self._push(max(held.time_ms, earliest_ms), held.stream, held.line)

    def _advance(self, stream: int, earliest_ms: float) -> None:
        line = next(self._streams[stream], None)
        if line is None:
            self._head_ms[stream] = INFINITY_MS
            return
        self._head_ms[stream] = line.time_ms
        self._push(max(line.time_ms, earliest_ms), stream, line)

    def _push(self, time_ms: float, stream: int, line: TimedLine) -> None:
        self._order += 1
        heapq.heappush(self._heap, (time_ms, self._order, stream, line))


def _message_end(fields: LogLine) -> MessageEnd | None:
    if fields.event == MESSAGE_SENT:
        return MessageEnd(fields.message_id, fields.receiver)
    if fields.event == MESSAGE_RECEIVED:
        return MessageEnd(fields.message_id, fields.host_id)
    return None


def _remember(
    known: "OrderedDict[MessageEnd, tuple[int, float]] | OrderedDict[MessageEnd, bool]",
    end: MessageEnd,
    value: "tuple[int, float] | bool",
) -> None:
    known[end] = value  # type: ignore[assignment]
    if len(known) > UNMATCHED_LIMIT:
        known.popitem(last=False)


def _local_lines(path: str, damage: DamageReport) -> Iterator[LocalLine]:
    """Yield a log's lines with times that a step of the wall clock can't move."""
    latest: dict[str, tuple[ProcessKey, int, float]] = {}
    for read in read_log(path, damage):
        fields = read.fields
        known = latest.get(fields.host_id)
        if known is None or fields.line <= known[1]:
            boot = known[0].boot + 1 if known else 0
            process = ProcessKey(path, fields.host_id, boot)
            base_ms = fields.wall_ms - fields.monotonic_ms
        else:
            process, _, base_ms = known
        latest[fields.host_id] = (process, fields.line, base_ms)
        yield LocalLine(base_ms + fields.monotonic_ms, process, read)


def _corrected_lines(
    path: str, host_id: str, index: TimelineIndex, damage: DamageReport
) -> Iterator[TimedLine]:
    for line in _local_lines(path, damage):
        if line.process.host_id != host_id:
            continue
        correction_ms = index.corrections_ms.get(line.process, 0.0)
        time_ms = line.time_ms + correction_ms
        yield TimedLine(time_ms, line.read.fields, line.read.raw)
