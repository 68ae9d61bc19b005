from hypothesis import given
from hypothesis import strategies as st

from gypsumfield.gateway.event_stream import EventCutter

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion:3\nid: 4\ndata: c\n\n"


@given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=6))
def test_events_are_the_same_however_the_bytes_arrive(cuts):
    cutter = EventCutter()
    edges = sorted({0, len(STREAM), *cuts})
    events = []
    for start, end in zip(edges, edges[1:], strict=False):
        events += cutter.feed(STREAM[start:end])
    assert [event.event_id for event in events] == ["1", "2", "4"]
    assert b"".join(event.data for event in events) == STREAM
    assert not cutter.has_rest


def test_a_part_of_an_event_is_kept_back():
    cutter = EventCutter()
    assert cutter.feed(b"id: 1\ndata: a\n") == []
    assert cutter.has_rest
    assert cutter.rest() == b"id: 1\ndata: a\n"
