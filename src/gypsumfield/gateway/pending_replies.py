"""Queries that were sent to other hosts by datagram and are not answered yet."""

import itertools
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

ReplyT = TypeVar("ReplyT")


class PendingReplies(Generic[ReplyT]):
    """Functions that receive the replies, by the number of their query."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._receivers: dict[int, Callable[[ReplyT], None]] = {}

    def add(self, receive: Callable[[ReplyT], None]) -> int:
        """Return the number of a new query; ``receive`` gets its reply."""
        number = next(self._numbers)
        self._receivers[number] = receive
        return number

    def discard(self, number: int) -> None:
        """Stop waiting for a reply."""
        self._receivers.pop(number, None)

    def resolve(self, number: int, reply: ReplyT) -> None:
        """Hand over a reply; a second or late one is ignored."""
        receive = self._receivers.pop(number, None)
        if receive is not None:
            receive(reply)
