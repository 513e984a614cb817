"""Test that a stream is forwarded in complete events only."""

from hypothesis import given
from hypothesis import strategies as st

from hyssopvane._internal.protocol.event_stream import EventSplitter

EVENTS = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 6)]


@given(st.lists(st.integers(1, 20), max_size=30), st.integers(0, 19))
def test_any_chunking_yields_complete_events_in_order(sizes, missing):
    """Split a stream at random positions, with a possibly truncated last event."""
    data = b"".join(EVENTS)
    data = data[: len(data) - missing]
    splitter = EventSplitter()
    found = []
    at = 0
    for size in [*sizes, len(data)]:
        found += splitter.feed(data[at : at + size])
        at += size
    assert [event.data for event in found] == EVENTS[: len(found)]
    assert [event.id for event in found] == [
        b"%d" % n for n in range(1, len(found) + 1)
    ]
    assert b"".join(event.data for event in found) + splitter.remainder == data
    assert len(found) == (len(EVENTS) if not missing else len(EVENTS) - 1)
