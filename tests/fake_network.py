"""In-memory network on virtual time for tests of several hosts' decisions.

It drops, delays, reorders, duplicates and parts. Messages go through their wire
form, so that nobody shares an object with another host.
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
    """Carries messages between attached hosts; `advance` moves the time.

    Attributes:
        clock: The virtual time of all hosts.
        drop_probability: Chance that a message is lost.
        duplicate_probability: Chance that a message arrives twice.
        delay_limit_ms: Longest delay; delays differ, so messages overtake.
        sent_count: Messages handed to the network.
        sent_bytes: Their length.
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
        """Let ``deliver(sender, message)`` take what is sent to a host."""
        self._hosts[host_id] = deliver

    def detach(self, host_id: str) -> None:
        """Lose the host and all that is on its way to it."""
        self._hosts.pop(host_id, None)

    def partition(self, groups: Iterable[Iterable[str]]) -> None:
        """Cut the groups off from each other; unnamed hosts form one more."""
        self._groups = {
            host: number for number, group in enumerate(groups, 1) for host in group
        }

    def heal(self) -> None:
        """Connect all hosts again."""
        self._groups = {}

    def is_connected(self, sender: str, receiver: str) -> bool:
        return self._groups.get(sender, 0) == self._groups.get(receiver, 0)

    def call_at(self, at_ms: float, function: Callable[[], None]) -> None:
        """Call ``function`` when the time has come."""
        heapq.heappush(self._events, (at_ms, next(self._order), function))

    def send(self, sender: str, receiver: str, message: ControlMessage) -> bool:
        """Take a message; like the sockets, it tells nothing of the arrival."""
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
        """Run everything that happens within ``duration_ms``."""
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
