"""Split a stream of server-sent events into complete events."""

from dataclasses import dataclass

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold the bytes and the id of one complete event."""

    data: bytes
    id: bytes | None


class EventSplitter:
    """Buffer bytes until an event is complete.

    A replica may stop in the middle of an event. A partial event that was already sent
    to the caller could not be undone, and the next replica sends the event from its
    beginning.
    """

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Return the bytes of the incomplete last event."""
        return self._remainder

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete."""
        *whole, self._remainder = (self._remainder + data).split(_EVENT_END)
        return [StreamEvent(event + _EVENT_END, _find_id(event)) for event in whole]


def _find_id(event: bytes) -> bytes | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line.removeprefix(_ID_FIELD).strip()
    return None
