"""Record of one other host of the fleet."""

from gypsumfield.gateway.host_updates import HostCard


class KnownHost:
    """Another host from which a message has arrived.

    Attributes:
        card: Its identity.
        heard_ms: When its last message arrived, in monotonic milliseconds.
        expected_ms: Monotonic time from which it should send at its present interval.
        is_reaching: Whether it watches the store and gets answers.
        is_fed: Whether it receives changes, from the store or from other hosts.
        zone_host_count: Hosts of its zone when it is a delegate there; else 0.
        is_speaker: Whether it represents its zone and sends in each heartbeat round.
        is_silent: Whether no message arrived within its silence limit.
    """

    __slots__ = (
        "card",
        "expected_ms",
        "heard_ms",
        "is_fed",
        "is_reaching",
        "is_silent",
        "is_speaker",
        "zone_host_count",
    )

    def __init__(self, card: HostCard, now_ms: float) -> None:
        self.card = card
        self.heard_ms = now_ms
        self.expected_ms = now_ms
        self.is_reaching = False
        self.is_fed = False
        self.zone_host_count = 0
        self.is_speaker = False
        self.is_silent = False
