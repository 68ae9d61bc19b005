"""One other host of the fleet, as this host hears it."""

from gypsumfield.gateway.news import HostCard


class KnownHost:
    """Another host that was heard.

    Attributes:
        card: Who it is.
        heard_ms: When it was heard last.
        expected_ms: Since when it is expected to tell at its present rate.
        is_reaching: Whether it watches the store and is answered.
        is_fed: Whether it learns of changes, from the store or from another zone.
        zone_host_count: Hosts of its zone that it speaks for; 0 for no delegate.
        is_speaker: Whether it speaks for its zone and tells in each round.
        is_silent: Whether it has not been heard for too long.
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
