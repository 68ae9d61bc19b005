"""Logs of a small fleet whose clocks disagree, written by the real logger."""

import random
from pathlib import Path
from typing import NamedTuple

from gypsumfield import events
from gypsumfield.adapters.logs import open_event_log
from gypsumfield.clock import Clock
from gypsumfield.interfaces import EmitEvent

EPOCH_MS = 1_900_000_000_000.0


class HostClock(NamedTuple):
    """One host's clock against the true time."""

    offset_ms: float
    drift: float = 0.0

    def read_ms(self, true_ms: float) -> float:
        return EPOCH_MS + self.offset_ms + true_ms * (1.0 + self.drift)


class FleetLogs:
    """Hosts that log against one true time, each by its own clock."""

    def __init__(self, directory: Path, clocks: dict[str, HostClock]) -> None:
        self.true_ms = 0.0
        self.paths = [str(directory / f"{host}.log") for host in clocks]
        self.emit: dict[str, EmitEvent] = {
            host: open_event_log(
                host, "manta", str(directory / f"{host}.log"), self._clock(clock), 1
            )
            for host, clock in clocks.items()
        }

    def _clock(self, clock: HostClock) -> Clock:
        return Clock(
            monotonic_ms=lambda: clock.read_ms(self.true_ms) - EPOCH_MS / 2,
            wall_ms=lambda: clock.read_ms(self.true_ms),
            sleep_ms=lambda _: None,
        )

    def exchange(self, rng: random.Random, message_count: int) -> None:
        """Log messages with random delays, in the order of the true time."""
        hosts = list(self.emit)
        moments = []
        for number in range(message_count):
            sender, receiver = rng.sample(hosts, 2)
            sent_ms = rng.uniform(0.0, 100.0 * message_count)
            received_ms = sent_ms + rng.expovariate(1 / 5.0)
            name = f"m{number}"
            sent = events.MessageSent(message_id=name, receiver=receiver, kind="k")
            received = events.MessageReceived(message_id=name, sender=sender, kind="k")
            moments.append((sent_ms, sender, sent))
            moments.append((received_ms, receiver, received))
        for self.true_ms, host, event in sorted(moments, key=lambda moment: moment[0]):
            self.emit[host](event)
