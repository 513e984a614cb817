"""Cut a stream of server-sent events into whole events."""

from dataclasses import dataclass

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold the bytes of one whole event."""

    data: bytes
    id: bytes | None


class EventSplitter:
    """Collect bytes until an event is whole.

    A replica may stop in the middle of an event. What a caller got of it could not be
    taken back, and the next replica would send the event from its beginning.
    """

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Return the bytes of the event that is not whole yet."""
        return self._remainder

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        *whole, self._remainder = (self._remainder + data).split(_EVENT_END)
        return [StreamEvent(event + _EVENT_END, _find_id(event)) for event in whole]


def _find_id(event: bytes) -> bytes | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line.removeprefix(_ID_FIELD).strip()
    return None
