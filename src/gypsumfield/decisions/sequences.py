"""Order of token events: duplicates are dropped, gaps are resumed."""

from enum import Enum


class EventOrder(Enum):
    """What to do with a token event."""

    DELIVER = "deliver"
    DUPLICATE = "duplicate"
    GAP = "gap"


class SequenceGuard:
    """Judges the events of one generation by their sequence numbers.

    Attributes:
        last: Sequence number of the last event to deliver; 0 before the first.
    """

    def __init__(self, last: int = 0) -> None:
        self.last = last

    def classify(self, sequence: int) -> EventOrder:
        """Return what to do with the event and note it when it is delivered."""
        if sequence <= self.last:
            return EventOrder.DUPLICATE
        if sequence > self.last + 1:
            return EventOrder.GAP
        self.last = sequence
        return EventOrder.DELIVER
