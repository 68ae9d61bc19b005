"""Order of token events: a duplicate is dropped; after a gap the stream is resumed."""

from enum import Enum


class EventOrder(Enum):
    """Position of a token event in its sequence."""

    DELIVER = "deliver"
    DUPLICATE = "duplicate"
    GAP = "gap"


class SequenceGuard:
    """Checks the events of one generation by their sequence numbers.

    Attributes:
        last: Sequence number of the last delivered event; 0 before the first.
    """

    def __init__(self, last: int = 0) -> None:
        self.last = last

    def classify(self, sequence: int) -> EventOrder:
        """Return the position of an event; record it when it is to be delivered."""
        if sequence <= self.last:
            return EventOrder.DUPLICATE
        if sequence > self.last + 1:
            return EventOrder.GAP
        self.last = sequence
        return EventOrder.DELIVER
