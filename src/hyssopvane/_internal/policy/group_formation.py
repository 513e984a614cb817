"""Decide whether requests wait for a group that is being formed."""

from math import inf


class FormationTracker:
    """Track the formation of a service's groups at one entry.

    The load handled here is that of the moment before groups open, after everything has
    lost power. Callers that are refused then are told to retry after seconds and are
    late, although the group may open in a tenth of a second. So a request waits as long
    as it can still be answered in time. It waits no longer: if the backlog of the whole
    outage were sent to a group when it opens, its passes would be too long for all
    callers that come later. If a rank is missing, nobody knows how long the outage
    lasts, and requests are refused at once.
    """

    def __init__(self) -> None:
        self.limit_s = 0.0
        """Longest time from the return of the last rank until a group is open.

        It is the time for which work on a lost rank stalls, and the time that a group
        takes to form. 0 if it is not known: then no request waits.
        """
        self.form_s = 0.0
        """Part of `limit_s` that the group takes to form."""
        self._started_at = inf

    def observe(self, *, forming: bool, now: float) -> None:
        """Record whether a closed group has all its ranks."""
        self._started_at = min(self._started_at, now) if forming else inf

    @property
    def is_forming(self) -> bool:
        """Return whether a closed group has all its ranks."""
        return self._started_at < inf

    def is_expected(self, now: float) -> bool:
        """Return whether a group is about to open."""
        return self._started_at <= now < self._started_at + self.limit_s

    def estimate_opening(self, closed_at: float | None) -> float:
        """Return the time at which a group is expected to open; inf if none forms.

        `closed_at` is the time at which the groups were seen to close. It is None if
        this entry has started since then. The power loss, this start and that of the
        ranks take about half of the time for which work on a lost rank stalls.
        """
        stall_s = self.limit_s - self.form_s
        left_s = stall_s / 2
        if closed_at is not None:
            left_s = min(stall_s, max(0.0, closed_at + stall_s - self._started_at))
        return self._started_at + left_s + self.form_s
