"""Find the longest pause of a stream, and when it was."""


class StreamPauses:
    """Follow the times of a stream's events.

    A stream is late when one pause between its events is too long, whatever the others
    were. The time of the whole answer doesn't tell it.
    """

    def __init__(self) -> None:
        self._last_at: float | None = None
        self.longest_s = 0.0
        """Longest time between two events so far."""
        self.longest_at = 0.0
        """Time at which the longest pause ended."""

    def observe(self, now: float) -> None:
        """Take the time of an event."""
        if self._last_at is not None and now - self._last_at > self.longest_s:
            self.longest_s, self.longest_at = now - self._last_at, now
        self._last_at = now
