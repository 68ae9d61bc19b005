"""Whole events cut out of the bytes of a stream."""

from typing import NamedTuple

from gypsumfield.exceptions import BackendError
from gypsumfield.verdicts import RunVerdict

# Events are some hundred bytes; whatever grows above this never becomes one.
EVENT_LIMIT_BYTES = 1_048_576
_ENDS = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


class StreamEvent(NamedTuple):
    """One event with its closing blank line, and its id, which may be empty."""

    data: bytes
    event_id: str


class EventCutter:
    """Collects bytes and returns the events that are whole.

    A server may break off inside an event; only whole ones go to the caller, so
    that another run can go on after the last of them.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_rest(self) -> bool:
        """Whether a part of an event is left."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that they complete.

        Raises:
            BackendError: What is left is too long for an event.
        """
        self._buffer += data
        events = []
        while (end := self._find_end()) >= 0:
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            events.append(StreamEvent(event, _event_id(event)))
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            self._buffer.clear()
            raise BackendError(
                f"an event is above {EVENT_LIMIT_BYTES} bytes",
                RunVerdict.MAY_HAVE_RUN,
                "event_too_large",
            )
        return events

    def rest(self) -> bytes:
        """Return and drop what is left after the last whole event."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    def _find_end(self) -> int:
        ends = [
            position + len(mark)
            for mark in _ENDS
            if (position := self._buffer.find(mark)) >= 0
        ]
        return min(ends, default=-1)


def _event_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""
