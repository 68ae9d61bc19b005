"""Splits the bytes of a server-sent event stream into complete events, in order."""

import re
from collections.abc import Iterable
from typing import NamedTuple

from gypsumfield.exceptions import BackendError
from gypsumfield.verdicts import RunVerdict

# Events have a few hundred bytes. More bytes than this without the end of an event
# never become a valid one.
EVENT_LIMIT_BYTES = 1_048_576
# Bytes between two events that belong to none: blank lines and comments. Servers send a
# few to keep a connection open.
FILLER_LIMIT_BYTES = 16_384
_EVENT_END_PATTERN = re.compile(rb"\n\r?\n")
# An end of an event that the next bytes complete begins at most this far back.
_PARTIAL_END_BYTES = 2
_ID_FIELD = b"id:"
FIRST_EVENT_NUMBER = 1
_NUMBER_PATTERN = re.compile(r"[0-9]{1,18}")
# Lines with a field name, which is empty in comments. The text of an error and the head
# of another answer have other lines. Possessive quantifiers rule out backtracking: the
# bytes come from another party, and a match holds up all other requests.
_EVENT_PATTERN = re.compile(rb"(?:[A-Za-z0-9_-]*+(?::[^\n]*+|\r?+)\n)++")
_FILLER_PATTERN = re.compile(rb"(?:(?::[^\n]*+|\r?+)\n)*+")
# A block without one of these fields tells a client nothing.
_CONTENT_PATTERN = re.compile(rb"(?:^|\n)(?:data|id)[:\r\n]")


class StreamEvent(NamedTuple):
    """A piece of a stream.

    Attributes:
        data: One event with its closing blank line, or bytes that belong to no event.
        event_id: Id of the event, which may be empty.
        is_filler: Whether it is no event: blank lines, comments, or fields that carry
            no data. It is passed on, but shows no progress.
    """

    data: bytes
    event_id: str
    is_filler: bool = False


class EventSplitter:
    """Buffers received bytes and returns each event once it is complete.

    A server can fail in the middle of an event. Only complete events are sent to
    the caller, so that another run can resume after the last of them. The work is in
    proportion to the number of bytes, however they are split.

    Attributes:
        event_count: Number of complete events so far.
    """

    def __init__(self) -> None:
        self.event_count = 0
        self._buffer = bytearray()
        # No event ends before this position.
        self._searched_bytes = 0
        self._filler_bytes = 0
        self._error: BackendError | None = None

    @property
    def has_remainder(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the pieces that they complete, in order.

        An error after complete pieces is raised by the next call.

        Raises:
            BackendError: The data are no events, an incomplete event exceeds
                ``EVENT_LIMIT_BYTES``, or more than ``FILLER_LIMIT_BYTES`` arrived
                without an event.
        """
        if self._error is not None:
            raise self._error.without_traceback()
        self._buffer += data
        pieces: list[StreamEvent] = []
        begin = 0
        try:
            # Without the end of a line, nothing becomes complete.
            while b"\n" in data and (piece := self._next_piece(begin)):
                begin += len(piece.data)
                pieces.append(piece)
            self._check_incomplete(len(self._buffer) - begin)
        except BackendError as error:
            if not pieces:
                raise
            self._error = error.without_traceback()
        del self._buffer[:begin]
        self._searched_bytes = max(0, self._searched_bytes - begin)
        return pieces

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event and clear the buffer."""
        remainder = bytes(self._buffer)
        self._clear()
        return remainder

    def _next_piece(self, begin: int) -> StreamEvent | None:
        """Return the piece that begins at a position; None if it is incomplete."""
        filler = _FILLER_PATTERN.match(self._buffer, begin)
        if filler and filler.end() > begin:
            return self._filler(bytes(self._buffer[begin : filler.end()]))
        searched_bytes = max(begin, self._searched_bytes)
        end = _EVENT_END_PATTERN.search(self._buffer, searched_bytes)
        if not end:
            partial_at = len(self._buffer) - _PARTIAL_END_BYTES
            self._searched_bytes = max(searched_bytes, partial_at)
            return None
        self._searched_bytes = end.end()
        block = bytes(self._buffer[begin : end.end()])
        if not _EVENT_PATTERN.fullmatch(block):
            raise _stream_error(
                "the stream contains something that is no event", "event_invalid"
            )
        if not _CONTENT_PATTERN.search(block):
            return self._filler(block)
        self._filler_bytes = 0
        self.event_count += 1
        return StreamEvent(block, _event_id(block))

    def _filler(self, data: bytes) -> StreamEvent:
        self._filler_bytes += len(data)
        if self._filler_bytes > FILLER_LIMIT_BYTES:
            raise _stream_error(
                f"{self._filler_bytes} bytes without an event", "event_missing"
            )
        return StreamEvent(data, "", is_filler=True)

    def _check_incomplete(self, size_bytes: int) -> None:
        if size_bytes > EVENT_LIMIT_BYTES:
            self._clear()
            raise _stream_error(
                f"an event is above {EVENT_LIMIT_BYTES} bytes", "event_too_large"
            )

    def _clear(self) -> None:
        self._buffer.clear()
        self._searched_bytes = 0


class EventIds:
    """Ids of the events that a caller has received.

    Servers count events in most streams; then a gap shows that events are missing.

    Args:
        last_id: Id of the last event that the caller received earlier, or empty.
    """

    def __init__(self, last_id: str) -> None:
        self._last = _number(last_id)
        self._is_counting = self._last == FIRST_EVENT_NUMBER

    @property
    def count(self) -> int:
        """Events so far, also before the caller resumed the stream; 0 if unknown."""
        return self._last if self._is_counting and self._last is not None else 0

    def record(self, events: Iterable[StreamEvent]) -> None:
        """Record events that were received."""
        for event in events:
            number = _number(event.event_id)
            if number is None:
                continue
            if self._last is None:
                self._is_counting = number == FIRST_EVENT_NUMBER
            else:
                self._is_counting = number == self._last + 1
            self._last = number

    def check_join(self, events: Iterable[StreamEvent]) -> bool:
        """Check that a resumed stream goes on with these events.

        Returns:
            Whether one of them shows that; false if none has an id.

        Raises:
            BackendError: The event was received before, or events before it were not.
        """
        numbers = (_number(event.event_id) for event in events)
        number = next((n for n in numbers if n is not None), None)
        if number is None:
            return False
        if self._last is None:
            return True
        is_missing = self._is_counting and number > self._last + 1
        if number <= self._last or is_missing:
            raise BackendError(
                f"the stream was resumed at event {number} after {self._last}",
                RunVerdict.MAY_HAVE_RUN,
                "resume_misplaced",
            )
        return True


def _stream_error(reason: str, code: str) -> BackendError:
    return BackendError(reason, RunVerdict.MAY_HAVE_RUN, code)


def _number(event_id: str) -> int | None:
    return int(event_id) if _NUMBER_PATTERN.fullmatch(event_id) else None


def _event_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""
