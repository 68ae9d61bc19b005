"""Record of one other host of the fleet."""

from gypsumfield.gateway.host_updates import HostCard


class KnownHost:
    """Another host from which a message has arrived.

    Attributes:
        card: Its identity.
        received_ms: When its last message arrived, in monotonic milliseconds.
        expected_ms: Monotonic time from which it should send at its present interval.
        is_store_reachable: Whether it watches the store and gets answers.
        is_receiving_changes: Whether changes reach it, from the store or other hosts.
        zone_host_count: Hosts of its zone when it is a delegate there; else 0.
        is_zone_representative: Whether it represents its zone and sends in each
            heartbeat round.
        lost_services: Services whose servers it does not reach.
        is_silent: Whether no message arrived within its silence limit.
    """

    __slots__ = (
        "card",
        "expected_ms",
        "received_ms",
        "is_receiving_changes",
        "is_store_reachable",
        "is_silent",
        "is_zone_representative",
        "lost_services",
        "zone_host_count",
    )

    def __init__(self, card: HostCard, now_ms: float) -> None:
        self.card = card
        self.received_ms = now_ms
        self.expected_ms = now_ms
        self.is_store_reachable = False
        self.is_receiving_changes = False
        self.zone_host_count = 0
        self.is_zone_representative = False
        self.lost_services: list[str] = []
        self.is_silent = False
