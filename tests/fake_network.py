"""In-memory network in virtual time, for tests of the decisions of several hosts.

It can drop, delay, reorder and duplicate messages, and partition the hosts. Each
message is encoded and decoded, so that no two hosts share an object.
"""

import heapq
from collections.abc import Callable
from collections.abc import Iterable
from itertools import count
from random import Random
from typing import Any

from gypsumfield.clock import ManualClock
from gypsumfield.envelopes import decode_body
from gypsumfield.envelopes import decode_envelope
from gypsumfield.envelopes import encode_message
from gypsumfield.messages import ControlMessage

Deliver = Callable[[str, Any], None]


class FakeNetwork:
    """Delivers messages between attached hosts; `advance` moves the time.

    Attributes:
        clock: Virtual clock of all hosts.
        drop_probability: Probability that a message is lost.
        duplicate_probability: Probability that a message arrives twice.
        delay_limit_ms: Maximum delay of a message. Each one has a random delay, so
            that messages can overtake each other.
        sent_count: Number of messages sent, including lost ones.
        sent_bytes: Total length of these messages.
    """

    def __init__(self, seed: int = 0) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.drop_probability = 0.0
        self.duplicate_probability = 0.0
        self.delay_limit_ms = 5.0
        self.sent_count = 0
        self.sent_bytes = 0
        self._hosts: dict[str, Deliver] = {}
        self._groups: dict[str, int] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    @property
    def now_ms(self) -> float:
        return self.clock.now_ms

    def attach(self, host_id: str, deliver: Deliver) -> None:
        """Call ``deliver(sender, message)`` for each message to a host."""
        self._hosts[host_id] = deliver

    def detach(self, host_id: str) -> None:
        """Remove a host; messages that are in flight to it are lost."""
        self._hosts.pop(host_id, None)

    def partition(self, groups: Iterable[Iterable[str]]) -> None:
        """Partition the network into groups; all other hosts form one more group."""
        self._groups = {
            host: number for number, group in enumerate(groups, 1) for host in group
        }

    def heal(self) -> None:
        """End the partition."""
        self._groups = {}

    def is_connected(self, sender: str, receiver: str) -> bool:
        return self._groups.get(sender, 0) == self._groups.get(receiver, 0)

    def call_at(self, at_ms: float, function: Callable[[], None]) -> None:
        """Call ``function`` at a virtual time in milliseconds."""
        heapq.heappush(self._events, (at_ms, next(self._order), function))

    def send(self, sender: str, receiver: str, message: ControlMessage) -> bool:
        """Send a message.

        Like the sockets, returns whether the host is attached, not whether the message
        arrives.
        """
        frame = encode_message(sender, "", 1, 0, message)
        self.sent_count += 1
        self.sent_bytes += len(frame)
        copies = 1 + (self.random.random() < self.duplicate_probability)
        for _ in range(copies):
            if self.random.random() < self.drop_probability:
                continue
            delay_ms = self.random.uniform(0.0, self.delay_limit_ms)
            self.call_at(
                self.now_ms + delay_ms, lambda: self._deliver(sender, receiver, frame)
            )
        return receiver in self._hosts

    def advance(self, duration_ms: float) -> None:
        """Advance the clock by ``duration_ms`` and run all events within that time."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, function = heapq.heappop(self._events)
            self.clock.now_ms = max(self.now_ms, at_ms)
            function()
        self.clock.now_ms = end_ms

    def _deliver(self, sender: str, receiver: str, frame: bytes) -> None:
        deliver = self._hosts.get(receiver)
        if deliver is None or not self.is_connected(sender, receiver):
            return
        deliver(sender, decode_body(decode_envelope(frame)))
