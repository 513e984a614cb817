"""Measure the longest pause of a stream and when it ended."""


class StreamPauses:
    """Track the times of a stream's events.

    A stream is late if a single pause between its events is too long, whatever the
    other pauses are; the duration of the whole answer doesn't show it.
    """

    def __init__(self) -> None:
        self.last_at: float | None = None
        """Time of the last event."""
        self.longest_s = 0.0
        """Longest time between two consecutive events so far, in seconds."""
        self.longest_at = 0.0
        """Time at which the longest pause ended."""

    def observe(self, now: float) -> None:
        """Record an event."""
        if self.last_at is not None and now - self.last_at > self.longest_s:
            self.longest_s, self.longest_at = now - self.last_at, now
        self.last_at = now
