"""Tell what a rank's requests chose since the last word on it."""

from hyssopvane._internal.state.group import Counts


class CountMeter:
    """Turn counts since a rank's start into counts since the last look.

    Differences fit in a byte, where counts since a start need four. What goes along
    with a lost message is missing from a sample, and the next message brings the same.
    """

    def __init__(self) -> None:
        self._last: Counts = ()
        self._start: tuple[int, int] = (0, 0)

    def measure(self, counts: Counts, *, started_ms: int, epoch: int) -> Counts:
        """Return the choices since the last call, none after another start."""
        start = (started_ms, epoch)
        last, self._last = self._last, counts
        if start != self._start or len(last) != len(counts):
            self._start = start
            return ()
        added = tuple(map(int.__sub__, counts, last))
        return () if min(added, default=0) < 0 else added
