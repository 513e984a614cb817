"""Test that a stream is forwarded in complete events only."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hyssopvane._internal.protocol.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLarge,
)

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


COMMENT = b": keep-alive\n\n"


@pytest.mark.parametrize(
    ("part", "is_stream"),
    [
        (EVENTS[0], True),
        (1_000 * COMMENT + EVENTS[0], True),
        (COMMENT, False),
        (b"id: 7\n\n", False),
        (b": line\n", False),
        (b"data: x", False),
    ],
)
def test_stream_without_events_fails(part, is_stream):
    """Guard against comments, or an event, without end, and against a limit that ends
    a long stream."""
    splitter = EventSplitter()
    count = 2 * MAX_EVENT_BYTES // len(part)
    if is_stream:
        for _ in range(count):
            splitter.feed(part)
        return
    with pytest.raises(EventTooLarge):
        for _ in range(count):
            splitter.feed(part)
