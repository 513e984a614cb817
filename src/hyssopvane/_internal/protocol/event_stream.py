"""Split a stream of server-sent events into complete events."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event, with the comments before it."""

SLICE_BYTES = 8 * 1024
"""Bytes of a stream that are split before other tasks run."""

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"
_DATA_FIELD = b"data"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold the bytes and the id of one complete event."""

    data: bytes
    id: bytes | None


class EventTooLarge(Exception):
    """Report that a stream goes on without an event."""


class EventSplitter:
    """Buffer bytes until an event is complete.

    A replica may stop in the middle of an event. A partial event that was already sent
    to the caller could not be undone, and the next replica sends the event from its
    beginning.
    """

    def __init__(self) -> None:
        self._remainder = bytearray()
        self._idle_bytes = 0
        """Bytes since the last event with data."""

    @property
    def remainder(self) -> bytes:
        """Return the bytes of the incomplete last event."""
        return bytes(self._remainder)

    @property
    def unfinished_bytes(self) -> int:
        """Return the number of bytes of the incomplete last event."""
        return len(self._remainder)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete.

        Raise `EventTooLarge` when there is no event with data in `MAX_EVENT_BYTES`.
        """
        # The end of an event may have begun with the last byte before.
        start = max(0, len(self._remainder) - 1)
        self._remainder += data
        found: list[StreamEvent] = []
        done = 0
        while (end := self._remainder.find(_EVENT_END, start)) >= 0:
            event = bytes(self._remainder[done : end + len(_EVENT_END)])
            found.append(self._read_event(event))
            start = done = end + len(_EVENT_END)
        del self._remainder[:done]
        if self._idle_bytes + len(self._remainder) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"no event in {MAX_EVENT_BYTES} bytes")
        return found

    def _read_event(self, event: bytes) -> StreamEvent:
        event_id = None
        self._idle_bytes += len(event)
        for line in event.split(b"\n"):
            if line.startswith(_DATA_FIELD):
                self._idle_bytes = 0
            elif line.startswith(_ID_FIELD) and event_id is None:
                event_id = line.removeprefix(_ID_FIELD).strip()
        return StreamEvent(event, event_id)


def list_slices(part: bytes) -> list[bytes]:
    """Return a part of a stream in slices of at most `SLICE_BYTES`."""
    return [
        part[start : start + SLICE_BYTES] for start in range(0, len(part), SLICE_BYTES)
    ]
