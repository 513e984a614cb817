"""Compute the expert choices of a rank's requests since its last report."""

from hyssopvane._internal.state.group import Counts

MIN_INTERVAL_S = 0.12
"""Minimum interval in seconds between two reports of a rank's counts: about two
passes."""

LINK_SHARE = 0.2
"""Fraction of a leader's link that the counts of all ranks may use. The link also
carries the ranks' states and the answers to orders."""

BYTES_PER_COUNT = 0.7
"""Compressed size of one count in a report: 2 KB for 12 sets of 256 experts."""


class CountMeter:
    """Convert counts since a rank's start into counts since the last measurement.

    A difference fits in one byte, a count since the start needs four. The differences
    in a lost message are missing from that sample; the next message carries a sample of
    the same kind.
    """

    def __init__(self) -> None:
        self._last: Counts = ()
        self._start: tuple[int, int] = (0, 0)

    def compute_interval_s(self, *, senders: int, link_bytes_per_s: float) -> float:
        """Return the interval between two reports when `senders` ranks report counts.

        Twelve ranks with 288 counts report every two passes. At that rate 3,072 counts
        would use two thirds of a 3 Mbit/s link, and no order would be answered in time.
        """
        round_bytes = senders * BYTES_PER_COUNT * len(self._last)
        return max(MIN_INTERVAL_S, round_bytes / (LINK_SHARE * link_bytes_per_s))

    def measure(self, counts: Counts, *, started_ms: int, epoch: int) -> Counts:
        """Return the choices since the last call, or () after another start."""
        start = (started_ms, epoch)
        last, self._last = self._last, counts
        if start != self._start or len(last) != len(counts):
            self._start = start
            return ()
        added = tuple(map(int.__sub__, counts, last))
        return () if min(added, default=0) < 0 else added
