from hypothesis import given
from hypothesis import strategies as st

from gypsumfield.gateway.event_stream import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion:3\nid: 4\ndata: c\n\n"


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
