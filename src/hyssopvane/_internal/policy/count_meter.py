"""Tell what a rank's requests chose since the last word on it."""

from hyssopvane._internal.state.group import Counts

MIN_INTERVAL_S = 0.12
"""Pause between two words on a rank's counts: about two passes."""

LINK_SHARE = 0.2
"""Part of a leader's link that the counts of all ranks may take: it brings the states
of the ranks and the orders' answers as well."""

BYTES_PER_COUNT = 0.7
"""Bytes of a count in a word, compressed: 2 KB for 12 sets of 256 experts."""


class CountMeter:
    """Turn counts since a rank's start into counts since the last look.

    Differences fit in a byte, where counts since a start need four. What goes along
    with a lost message is missing from a sample, and the next message brings the same.
    """

    def __init__(self) -> None:
        self._last: Counts = ()
        self._start: tuple[int, int] = (0, 0)

    def compute_interval_s(self, *, senders: int, link_bytes_per_s: float) -> float:
        """Return the pause between two words, when so many ranks tell their counts.

        Twelve ranks with 288 counts tell them every two passes. With 3,072 they would
        fill two thirds of a link of 3 Mbit/s, and no order would be answered in time.
        """
        round_bytes = senders * BYTES_PER_COUNT * len(self._last)
        return max(MIN_INTERVAL_S, round_bytes / (LINK_SHARE * link_bytes_per_s))

    def measure(self, counts: Counts, *, started_ms: int, epoch: int) -> Counts:
        """Return the choices since the last call, none after another start."""
        start = (started_ms, epoch)
        last, self._last = self._last, counts
        if start != self._start or len(last) != len(counts):
            self._start = start
            return ()
        added = tuple(map(int.__sub__, counts, last))
        return () if min(added, default=0) < 0 else added
