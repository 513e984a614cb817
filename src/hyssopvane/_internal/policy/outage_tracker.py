"""Expect when a service whose groups are all closed serves requests again."""

MIN_WAIT_S = 2.0
"""Least time until a caller is asked back.

A rank has to start and its group to form. One that comes back too early is refused
again and has no try left; one that comes late has lost little.
"""

MAX_WAIT_SHARE = 1 / 3
"""Part of its time left that a caller may be asked to stay away: one that comes back
later has too little time to be served, whatever the answer is."""


class OutageTracker:
    """Follow the outages of one service at one entry.

    Made for the seconds after everything has lost power: entries are back before the
    groups have formed, and a crowd is refused at once. It must not come back before
    they serve, nor in one moment, nor take the places of those who come for the first
    time while no map follows the demand yet.
    """

    def __init__(self) -> None:
        self._started_at: float | None = None
        self._last_length_s = 0.0
        """Length of the last outage that was seen to end."""

    def observe(self, *, is_open: bool, now: float) -> None:
        """Take whether any group serves requests now."""
        if not is_open:
            if self._started_at is None:
                self._started_at = now
            return
        if self._started_at is not None:
            self._last_length_s = now - self._started_at
        self._started_at = None

    @property
    def in_outage(self) -> bool:
        """Tell whether no group has served lately, as far as known."""
        return self._started_at is not None

    def measure_wait_s(self, now: float) -> float:
        """Return the time until a caller who is refused now should come back."""
        elapsed_s = 0.0 if self._started_at is None else now - self._started_at
        # One that lasts for longer than the last one did may last as long again.
        return max(MIN_WAIT_S, self._last_length_s - elapsed_s, elapsed_s)

    def measure_jitter_s(self, now: float) -> float:
        """Return the time over which those who are refused now should come back.

        As long as the outage has lasted: then no more of them come at a time than
        others who come for the first time.
        """
        return 0.0 if self._started_at is None else now - self._started_at
