"""Bounds the bytes of callers and servers that a host holds, for all requests together.

When they reach the limit, the answer that holds most is dropped: it is the one that
is most likely without end. Answers that state their length cannot be; they go last.
"""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from gypsumfield.exceptions import HeldMemoryError

# The rest is for the program, its beliefs, connections, and the copy of a body that is
# being completed. With a quarter, 100 unread answers of 3 MB took 63 of 64 MB.
HELD_SHARE = 0.2
BYTES_PER_MB = 1_048_576
# A caller on a lossy path sends or reads again within this time.
STALL_LIMIT_MS = 2_000.0


class HeldPart(Enum):
    """Parts of a request that are counted separately.

    Attributes:
        REQUEST: Body of the caller's request.
        HEAD: Headers and framing of an answer that were read without a byte of a body.
        ANSWER: Body of an answer, until it has been sent to the caller.
        EVENTS: Incomplete event of a stream.
    """

    REQUEST = "request"
    HEAD = "head"
    ANSWER = "answer"
    EVENTS = "events"


class Transfer(Protocol):
    """Connection over which a caller sends a body or reads an answer.

    Attributes:
        is_receiving: Whether a body is on its way.
    """

    is_receiving: bool

    @property
    def stalled_ms(self) -> float:
        """Time for which no byte has passed, 0 without a transfer."""
        ...

    def drop(self) -> None:
        """Close the connection."""


class HeldMemory:
    """What all requests of a host hold.

    Attributes:
        held_bytes: Bytes that are held now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        self._holds: set[Hold] = set()

    def open(self, transfer: Transfer | None = None) -> "Hold":
        """Return the account of one request; the caller releases it.

        Args:
            transfer: Connection of the caller, which is closed if it stalls while
                there is no room.
        """
        hold = Hold(self, transfer)
        self._holds.add(hold)
        return hold

    def make_room(self, size_bytes: int) -> bool:
        """Drop transfers, then answers, until so many bytes fit.

        Returns:
            Whether they do.
        """
        while self.held_bytes + size_bytes > self._limit_bytes:
            stalled = [hold for hold in self._holds if hold.is_stalled]
            if stalled:
                max(stalled, key=lambda hold: hold.stall_rank).drop_transfer()
                continue
            droppable = [hold for hold in self._holds if hold.can_drop]
            if not droppable:
                return False
            max(droppable, key=lambda hold: hold.drop_rank).drop()
        return True

    def discard(self, hold: "Hold") -> None:
        """Forget the account of a request that has ended."""
        self._holds.discard(hold)


class Hold:
    """What one request holds.

    Attributes:
        is_dropped: Whether its present answer was dropped.
    """

    def __init__(self, memory: HeldMemory, transfer: Transfer | None = None) -> None:
        self.is_dropped = False
        self._memory = memory
        self._transfer = transfer
        self._sizes = dict.fromkeys(HeldPart, 0)
        self._drop_answer: Callable[[], None] | None = None
        self._has_length = False

    def begin_answer(self, drop_answer: Callable[[], None]) -> None:
        """Begin to count an answer; ``drop_answer`` frees its bytes and ends it."""
        self.is_dropped = False
        self._drop_answer = drop_answer
        self._has_length = False
        self._clear_answer()

    def record_length(self) -> None:
        """Record that the answer states its length."""
        self._has_length = True

    def end_reading(self) -> None:
        """Record that the answer is complete, or was closed; it is not dropped now."""
        self._drop_answer = None
        self.resize(HeldPart.HEAD, 0)
        self.resize(HeldPart.EVENTS, 0)

    def record_complete(self, part: HeldPart, size_bytes: int) -> None:
        """Record bytes that exist already and that nobody may refuse any more."""
        self._memory.make_room(size_bytes - self._sizes[part])
        self._memory.held_bytes += size_bytes - self._sizes[part]
        self._sizes[part] = size_bytes

    def resize(self, part: HeldPart, size_bytes: int) -> None:
        """Record how many bytes a part holds.

        Raises:
            HeldMemoryError: There is no room for them, or the answer was dropped.
        """
        growth_bytes = size_bytes - self._sizes[part]
        has_room = growth_bytes <= 0 or self._memory.make_room(growth_bytes)
        if not has_room or (self.is_dropped and growth_bytes > 0):
            raise HeldMemoryError("the host holds as many bytes as it may")
        self._sizes[part] += growth_bytes
        self._memory.held_bytes += growth_bytes

    @property
    def is_stalled(self) -> bool:
        """Whether the transfer with the caller stalls and something is held for it."""
        return (
            self._transfer is not None
            and self._transfer.stalled_ms >= STALL_LIMIT_MS
            and any(self._sizes.values())
        )

    @property
    def stall_rank(self) -> tuple[bool, float]:
        """Rank among the stalled transfers; the highest one is dropped first."""
        if self._transfer is None:
            return False, 0.0
        return self._transfer.is_receiving, self._transfer.stalled_ms

    def drop_transfer(self) -> None:
        """Close the connection of the caller; its request ends soon after."""
        if self._transfer is not None:
            self._transfer.drop()
        self.is_dropped = True
        for part in HeldPart:
            self.resize(part, 0)

    @property
    def can_drop(self) -> bool:
        """Whether the answer is being read and holds something."""
        return self._drop_answer is not None and self.drop_rank[1] > 0

    @property
    def drop_rank(self) -> tuple[bool, int]:
        """Rank among the answers that may be dropped; the highest one goes first."""
        size_bytes = sum(self._sizes.values()) - self._sizes[HeldPart.REQUEST]
        return not self._has_length, size_bytes

    def drop(self) -> None:
        """Drop the answer that is being read."""
        drop_answer, self._drop_answer = self._drop_answer, None
        self.is_dropped = True
        self._clear_answer()
        if drop_answer is not None:
            drop_answer()

    def release(self) -> None:
        """Record that the request has ended and holds nothing any more."""
        self._drop_answer = None
        for part in HeldPart:
            self.resize(part, 0)
        self._memory.discard(self)

    def _clear_answer(self) -> None:
        for part in (HeldPart.HEAD, HeldPart.ANSWER, HeldPart.EVENTS):
            self.resize(part, 0)
