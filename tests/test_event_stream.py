"""Splitting of event streams, also of those that are wrong or split in odd places."""

import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

import gypsumfield.event_stream
from gypsumfield.event_stream import EventSplitter
from gypsumfield.event_stream import FILLER_LIMIT_BYTES
from gypsumfield.exceptions import BackendError

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion:3\nid: 4\ndata: c\n\n"
# Long after any linear search has ended.
CHILD_TIMEOUT_S = 20.0
WRONG_EVENT_PROGRAM = """
from gypsumfield.event_stream import EventSplitter
from gypsumfield.exceptions import BackendError
lines = b"data: x%(end)s" * %(count)d + b"data; x%(end)s" + b"%(end)s"
try:
    EventSplitter().feed(lines)
except BackendError as error:
    print(error.code)
"""
field_names = st.sampled_from([b"id", b"data", b"event", b"", b"retry", b"x-9_"])
lines = st.builds(
    lambda name, value, end: name + b": " + value + end,
    field_names,
    st.binary(max_size=12).map(lambda value: value.replace(b"\n", b" ")),
    st.sampled_from([b"\n", b"\r\n"]),
)
valid_streams = st.lists(
    st.builds(
        lambda event_lines, end: b"".join(event_lines) + end,
        st.lists(lines, min_size=1, max_size=5),
        st.sampled_from([b"\n", b"\r\n"]),
    ),
    max_size=4,
).map(b"".join)


def feed_all(pieces):
    """Return the events of pieces fed one by one, all returned bytes and the error."""
    splitter, returned, error_code = EventSplitter(), [], None
    try:
        for piece in pieces:
            returned += splitter.feed(piece)
        # An error of the last piece comes with the next call.
        returned += splitter.feed(b"")
    except BackendError as error:
        error_code = error.code
    events = [piece for piece in returned if not piece.is_filler]
    assert splitter.event_count == len(events)
    return events, b"".join(piece.data for piece in returned), error_code


def in_single_bytes(data):
    return [data[at : at + 1] for at in range(len(data))]


class CountingPattern:
    """A pattern that adds up how many bytes it was applied to."""

    def __init__(self, pattern):
        self.pattern = pattern
        self.byte_count = 0

    def search(self, data, position):
        match = self.pattern.search(data, position)
        self.byte_count += (match.end() if match else len(data)) - position
        return match

    def match(self, data, position):
        match = self.pattern.match(data, position)
        self.byte_count += match.end() - position
        return match

    def fullmatch(self, data):
        self.byte_count += len(data)
        return self.pattern.fullmatch(data)


@pytest.fixture
def counted_patterns(monkeypatch):
    """Count the bytes that the module's patterns read."""
    patterns = []
    for name in ("_EVENT_END_PATTERN", "_EVENT_PATTERN", "_FILLER_PATTERN"):
        patterns.append(CountingPattern(getattr(gypsumfield.event_stream, name)))
        monkeypatch.setattr(gypsumfield.event_stream, name, patterns[-1])
    return patterns


# Guards against an entry host that answers nothing any more after one wrong byte.
@pytest.mark.parametrize("end", [r"\r\n", r"\n"])
def test_one_wrong_byte_in_an_event_does_not_stop_the_process(end):
    program = WRONG_EVENT_PROGRAM % {"end": end, "count": 5_000}
    completed = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        timeout=CHILD_TIMEOUT_S,
        check=True,
    )
    assert completed.stdout.strip() == b"event_invalid"


# Guards against a search from the start of the buffer for each read.
@pytest.mark.parametrize("size", [1, 7, 4_096])
def test_the_work_for_one_long_event_is_linear_in_any_split(counted_patterns, size):
    data = b"data: 0123456789\r\n" * 2_000 + b"\r\n"
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    events, _, error = feed_all(pieces)
    assert (len(events), error) == (1, None)
    work = sum(pattern.byte_count for pattern in counted_patterns)
    # Each read looks at most at two bytes again.
    assert work <= 2 * len(data) + 4 * len(pieces)


# Guards against a search through the whole buffer for each event in it.
def test_the_work_for_many_short_events_is_linear(counted_patterns):
    data = b"data\n\n" * 5_000
    events, _, error = feed_all([data])
    assert (len(events), error) == (5_000, None)
    assert sum(pattern.byte_count for pattern in counted_patterns) <= 3 * len(data)


@given(stream=valid_streams, data=st.data())
def test_any_split_of_a_valid_stream_gives_the_same_events(stream, data):
    cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=6))
    boundaries = sorted({0, len(stream), *cuts})
    pieces = [
        stream[start:end]
        for start, end in zip(boundaries, boundaries[1:], strict=False)
    ]
    events, returned, error = feed_all([stream])
    assert (returned, error) == (stream, None)
    assert feed_all(pieces) == (events, returned, error)
    assert feed_all(in_single_bytes(stream)) == (events, returned, error)


@given(stream=valid_streams.filter(bool), data=st.data())
def test_any_wrong_byte_gives_events_or_an_error_in_any_split(stream, data):
    position = data.draw(st.integers(0, len(stream) - 1))
    wrong = data.draw(st.binary(min_size=1, max_size=1))
    spoiled = stream[:position] + wrong + stream[position + 1 :]
    events, returned, error = feed_all([spoiled])
    assert error in (None, "event_invalid")
    assert spoiled.startswith(returned)
    assert feed_all(in_single_bytes(spoiled)) == (events, returned, error)


# Guards against a stream that brings bytes without end but no event.
@pytest.mark.parametrize(
    "data",
    [b"\n", b"\r\n", b": ping\n\n", b"retry: 1\n\n", b"event: a\r\n\r\n"],
    ids=["line feeds", "CR LF", "comments", "retry", "event without data"],
)
@pytest.mark.parametrize("size", [1, 1_000, 65_536])
def test_bytes_without_an_event_end_in_an_error(data, size, counted_patterns):
    endless = b"id: 1\ndata: a\n\n" + data * (4 * FILLER_LIMIT_BYTES // len(data))
    pieces = [endless[at : at + size] for at in range(0, len(endless), size)]
    events, returned, error = feed_all(pieces)
    assert (len(events), error) == (1, "event_missing")
    assert len(returned) <= FILLER_LIMIT_BYTES + len(endless[:15])
    work = sum(pattern.byte_count for pattern in counted_patterns)
    assert work <= 5 * (2 * FILLER_LIMIT_BYTES + size)


def test_a_few_comments_between_events_are_passed_on():
    stream = b"id: 1\ndata: a\n\n" + b": ping\n\n" * 50 + b"id: 2\ndata: b\n\n"
    events, returned, error = feed_all([stream] * 20)
    assert (len(events), returned, error) == (40, stream * 20, None)


@given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=6))
def test_events_do_not_depend_on_the_chunks_that_arrive(cuts):
    splitter = EventSplitter()
    boundaries = sorted({0, len(STREAM), *cuts})
    events = []
    for start, end in zip(boundaries, boundaries[1:], strict=False):
        events += splitter.feed(STREAM[start:end])
    assert [event.event_id for event in events] == ["1", "2", "4"]
    assert b"".join(event.data for event in events) == STREAM
    assert not splitter.has_remainder


def test_an_incomplete_event_is_buffered():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == []
    assert splitter.has_remainder
    assert splitter.remainder() == b"id: 1\ndata: a\n"
