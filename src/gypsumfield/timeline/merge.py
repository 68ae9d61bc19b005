"""Merges many logs into one order, in memory that does not grow with the logs.

A first pass lists the processes and compares the times at which each message was
sent and received. A second pass merges the files by corrected time; each file is
read lazily.
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
from gypsumfield.timeline.records import LineFields
from gypsumfield.timeline.records import ParsedLine
from gypsumfield.timeline.records import read_log

# Entries of each table of deliveries; beyond it the oldest entry is evicted.
DELIVERY_LIMIT = 100_000

MESSAGE_SENT = "message_sent"
MESSAGE_RECEIVED = "message_received"


class ProcessKey(NamedTuple):
    """One run of a host's process in one log.

    Attributes:
        path: Path of the log.
        host_id: Id of the host that wrote the lines.
        boot: Number of restarts before this run in the log, from 0.
    """

    path: str
    host_id: str
    boot: int


class LocalLine(NamedTuple):
    """A line with its time by the clock of its process."""

    time_ms: float
    process: ProcessKey
    parsed: ParsedLine


class TimedLine(NamedTuple):
    """A line with its time in the common order.

    Attributes:
        time_ms: Corrected milliseconds since the Unix epoch.
        fields: The fields by which lines are ordered and filtered.
        raw: The bytes of the whole line.
    """

    time_ms: float
    fields: LineFields
    raw: bytes


class DeliveryKey(NamedTuple):
    """Identifies a message and its receiver, the same in both hosts' logs."""

    message_id: str
    receiver: str


class TimelineIndex(NamedTuple):
    """Result of the first pass.

    Attributes:
        corrections_ms: Milliseconds to add to the clock of each process.
        slack_ms: Largest time by which a message may still appear to be received
            before it was sent, after the corrections.
        message_count: Deliveries of which both the sending and the receiving
            were found.
    """

    corrections_ms: dict[ProcessKey, float]
    slack_ms: float
    message_count: int


def index_logs(paths: list[str], damage: DamageReport) -> TimelineIndex:
    """Read all logs once and estimate the clock correction of each process.

    Args:
        paths: Paths of the logs.
        damage: Receives the skipped lines of each log.
    """
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
    estimate = estimate_corrections(len(indexes), bounds)
    corrections_ms = {
        key: estimate.corrections_ms[position] for key, position in indexes.items()
    }
    return TimelineIndex(corrections_ms, estimate.slack_ms, pairing.matched_count)


def merge_logs(index: TimelineIndex, damage: DamageReport) -> Iterator[TimedLine]:
    """Yield all events by corrected time.

    No message is received before it was sent, unless its sending is missing in
    the logs.
    """
    logs = sorted({(key.path, key.host_id) for key in index.corrections_ms})
    streams = [_corrected_lines(path, host, index, damage) for path, host in logs]
    hosts = [host for _, host in logs]
    yield from _CausalMerge(hosts, streams, index.slack_ms).lines()


class _MessagePairing:
    """Finds the smallest time from sending to receiving of each pair of processes."""

    def __init__(self) -> None:
        self.smallest_ms: dict[tuple[int, int], float] = {}
        self.matched_count = 0
        self._sent: OrderedDict[DeliveryKey, tuple[int, float]] = OrderedDict()
        self._received: OrderedDict[DeliveryKey, tuple[int, float]] = OrderedDict()

    def add(self, process: int, line: LocalLine) -> None:
        delivery = _delivery_key(line.parsed.fields)
        if delivery is None:
            return
        if line.parsed.fields.event == MESSAGE_SENT:
            self._match(delivery, process, line.time_ms, self._sent, self._received)
        else:
            self._match(delivery, process, line.time_ms, self._received, self._sent)

    def _match(
        self,
        delivery: DeliveryKey,
        process: int,
        time_ms: float,
        same_side: OrderedDict[DeliveryKey, tuple[int, float]],
        other_side: OrderedDict[DeliveryKey, tuple[int, float]],
    ) -> None:
        counterpart = other_side.pop(delivery, None)
        if counterpart is None:
            _insert_bounded(same_side, delivery, (process, time_ms))
            return
        is_sender = same_side is self._sent
        counterpart_process, counterpart_ms = counterpart
        sender, receiver = (
            (process, counterpart_process)
            if is_sender
            else (counterpart_process, process)
        )
        if sender == receiver:
            return
        elapsed_ms = counterpart_ms - time_ms if is_sender else time_ms - counterpart_ms
        smallest_ms = self.smallest_ms.get((sender, receiver), elapsed_ms)
        self.smallest_ms[(sender, receiver)] = min(smallest_ms, elapsed_ms)
        self.matched_count += 1


class _BlockedLine(NamedTuple):
    """A received message that is delayed until its sending has been merged."""

    time_ms: float
    stream: int
    line: TimedLine


class _CausalMerge:
    """Merge that blocks a log at a received message until its sending is merged.

    Needed for equal times, and where clocks drift so that no constant correction
    fits. A blocked log continues when the sending has been merged, or when the
    logs of the sender are past the latest time at which it can have been sent. If no
    other log can continue, the earliest blocked message is released.
    """

    def __init__(
        self, hosts: list[str], streams: list[Iterator[TimedLine]], slack_ms: float
    ) -> None:
        self._streams = streams
        self._slack_ms = slack_ms + 2.0 * ROUNDING_MS
        self._streams_by_host: dict[str, list[int]] = defaultdict(list)
        for stream, host in enumerate(hosts):
            self._streams_by_host[host].append(stream)
        self._latest_read_ms = [0.0] * len(streams)
        self._sent: OrderedDict[DeliveryKey, bool] = OrderedDict()
        self._blocked: dict[DeliveryKey, _BlockedLine] = {}
        self._heap: list[tuple[float, int, int, TimedLine]] = []
        self._push_count = 0

    def lines(self) -> Iterator[TimedLine]:
        for stream in range(len(self._streams)):
            self._advance(stream, 0.0)
        while self._heap or self._blocked:
            if not self._heap:
                self._unblock(
                    min(
                        self._blocked,
                        key=lambda delivery: self._blocked[delivery].time_ms,
                    )
                )
            time_ms, _, stream, line = heapq.heappop(self._heap)
            delivery = _delivery_key(line.fields)
            if delivery is not None and self._must_block(delivery, line):
                self._blocked[delivery] = _BlockedLine(time_ms, stream, line)
                continue
            yield line._replace(time_ms=time_ms)
            if delivery is not None and line.fields.event == MESSAGE_SENT:
                _insert_bounded(self._sent, delivery, True)
                if delivery in self._blocked:
                    self._unblock(delivery, time_ms)
            self._advance(stream, time_ms)
            if self._blocked:
                self._unblock_overdue(line.fields.host_id, time_ms)

    def _must_block(self, delivery: DeliveryKey, line: TimedLine) -> bool:
        is_received = line.fields.event == MESSAGE_RECEIVED
        return (
            is_received and delivery not in self._sent and self._may_send_follow(line)
        )

    def _may_send_follow(self, received: TimedLine) -> bool:
        send_deadline_ms = received.time_ms + self._slack_ms
        senders = self._streams_by_host.get(received.fields.sender, [])
        return any(
            self._latest_read_ms[stream] <= send_deadline_ms for stream in senders
        )

    def _unblock_overdue(self, sender: str, time_ms: float) -> None:
        overdue = [
            delivery
            for delivery, blocked in self._blocked.items()
            if blocked.line.fields.sender == sender
            and not self._may_send_follow(blocked.line)
        ]
        for delivery in overdue:
            self._unblock(delivery, time_ms)

    def _unblock(self, delivery: DeliveryKey, earliest_ms: float = 0.0) -> None:
        blocked = self._blocked.pop(delivery)
        _insert_bounded(self._sent, delivery, True)
        self._push(max(blocked.time_ms, earliest_ms), blocked.stream, blocked.line)

    def _advance(self, stream: int, earliest_ms: float) -> None:
        line = next(self._streams[stream], None)
        if line is None:
            self._latest_read_ms[stream] = INFINITY_MS
            return
        self._latest_read_ms[stream] = line.time_ms
        self._push(max(line.time_ms, earliest_ms), stream, line)

    def _push(self, time_ms: float, stream: int, line: TimedLine) -> None:
        self._push_count += 1
        heapq.heappush(self._heap, (time_ms, self._push_count, stream, line))


def _delivery_key(fields: LineFields) -> DeliveryKey | None:
    if fields.event == MESSAGE_SENT:
        return DeliveryKey(fields.message_id, fields.receiver)
    if fields.event == MESSAGE_RECEIVED:
        return DeliveryKey(fields.message_id, fields.host_id)
    return None


def _insert_bounded(
    entries: "OrderedDict[DeliveryKey, tuple[int, float]] | "
    "OrderedDict[DeliveryKey, bool]",
    delivery: DeliveryKey,
    value: "tuple[int, float] | bool",
) -> None:
    entries[delivery] = value  # type: ignore[assignment]
    if len(entries) > DELIVERY_LIMIT:
        entries.popitem(last=False)


def _local_lines(path: str, damage: DamageReport) -> Iterator[LocalLine]:
    """Yield a log's lines with times that a step of the wall clock doesn't change.

    Only the first line of each process run is dated by the wall clock; the later
    ones follow by the monotonic clock. A line number that doesn't grow marks a
    restart of the process.
    """
    latest_lines: dict[str, tuple[ProcessKey, int, float]] = {}
    for parsed in read_log(path, damage):
        fields = parsed.fields
        previous = latest_lines.get(fields.host_id)
        if previous is None or fields.line <= previous[1]:
            boot = previous[0].boot + 1 if previous else 0
            process = ProcessKey(path, fields.host_id, boot)
            base_ms = fields.wall_ms - fields.monotonic_ms
        else:
            process, _, base_ms = previous
        latest_lines[fields.host_id] = (process, fields.line, base_ms)
        yield LocalLine(base_ms + fields.monotonic_ms, process, parsed)


def _corrected_lines(
    path: str, host_id: str, index: TimelineIndex, damage: DamageReport
) -> Iterator[TimedLine]:
    for line in _local_lines(path, damage):
        if line.process.host_id != host_id:
            continue
        correction_ms = index.corrections_ms.get(line.process, 0.0)
        time_ms = line.time_ms + correction_ms
        yield TimedLine(time_ms, line.parsed.fields, line.parsed.raw)
