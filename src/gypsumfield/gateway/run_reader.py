"""Reads the events of one run of a stream and checks the end of its answer."""

from collections.abc import Callable

from gypsumfield.adapters.backends import Exchange
from gypsumfield.event_stream import EventIds
from gypsumfield.event_stream import EventSplitter
from gypsumfield.event_stream import StreamEvent
from gypsumfield.exceptions import BackendError
from gypsumfield.held_memory import HeldPart
from gypsumfield.verdicts import RunVerdict


class RunReader:
    """Reads complete events from the answer of one engine.

    Args:
        exchange: Open exchange, of which only the headers have been read.
        check_unmarked_end: Called when the answer has ended with its connection;
            raises `BackendError` unless it is complete.
        received_ids: Ids of the events after which the run has to go on; None for a
            run that was not resumed.

    Attributes:
        has_ended: Whether the answer was read to its end and is complete.
    """

    def __init__(
        self,
        exchange: Exchange,
        check_unmarked_end: Callable[[], None],
        received_ids: EventIds | None,
    ) -> None:
        self.has_ended = False
        self._received_ids = received_ids
        self._is_joined = False
        self._exchange = exchange
        self._check_unmarked_end = check_unmarked_end
        self._splitter = EventSplitter()

    def read(self) -> list[StreamEvent]:
        """Wait for one chunk and return the pieces that it completes.

        Raises:
            BackendError: The engine failed, or broke the stream off.
        """
        chunk = self._exchange.read_chunk()
        if chunk:
            events = self._splitter.feed(chunk)
            buffered_bytes = self._splitter.buffered_bytes
            self._exchange.record_held(HeldPart.EVENTS, buffered_bytes)
            if self._received_ids and not self._is_joined:
                self._is_joined = self._received_ids.check_join(events)
            return events
        reason = ""
        if self._splitter.has_remainder:
            reason = "the stream ended inside an event"
        elif self._received_ids and not self._splitter.event_count:
            reason = "the resumption brought no event"
        elif not self._exchange.has_end_marker:
            if self._splitter.event_count:
                self._check_unmarked_end()
            else:
                reason = "the stream ended before its first event"
        if reason:
            raise BackendError(reason, RunVerdict.MAY_HAVE_RUN, "answer_truncated")
        self.has_ended = True
        return []

    def remainder(self) -> bytes:
        """Return the blank bytes after the last event."""
        return self._splitter.remainder()
