"""Estimate when a service whose groups are all closed serves requests again."""

MIN_WAIT_S = 2.0
"""Minimum Retry-After during an outage, in seconds.

A rank has to start and its group to form. A caller that returns too early is refused
again and has no retry left; one that returns late loses little.
"""

MAX_WAIT_SHARE = 1 / 3
"""Maximum Retry-After as a fraction of a caller's remaining time: one that returns
later has too little time to be served."""


class OutageTracker:
    """Track the outages of one service at one entry.

    After a power loss, entries are back before the groups have formed, and many callers
    are refused at once. They should not return before the groups serve requests, nor
    all at the same moment, nor displace new callers while the expert map has not yet
    adapted to the demand.
    """

    def __init__(self) -> None:
        self._started_at: float | None = None
        self._last_length_s = 0.0
        """Length of the last outage whose end was observed, in seconds."""
        self._was_open = False

    def observe(self, *, is_open: bool, now: float) -> None:
        """Record whether any group serves requests now."""
        if not is_open:
            if self._started_at is None:
                self._started_at = now
            return
        self._was_open = True
        if self._started_at is not None:
            self._last_length_s = now - self._started_at
        self._started_at = None

    @property
    def in_outage(self) -> bool:
        """Return whether an outage is in progress, as far as this entry knows."""
        return self._started_at is not None

    @property
    def closed_at(self) -> float | None:
        """Return when the groups were seen to close; None if they were so before."""
        return self._started_at if self._was_open else None

    def measure_wait_s(self, now: float) -> float:
        """Return the seconds after which a caller refused now should retry."""
        elapsed_s = 0.0 if self._started_at is None else now - self._started_at
        # An outage that is longer than the last one may last as long again.
        return max(MIN_WAIT_S, self._last_length_s - elapsed_s, elapsed_s)

    def measure_jitter_s(self, now: float) -> float:
        """Return the range of the random delay added to a retry, in seconds.

        It is as long as the outage so far, so that callers return at no higher rate
        than new callers arrive.
        """
        return 0.0 if self._started_at is None else now - self._started_at
