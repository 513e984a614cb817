"""Measure which experts a group's requests choose."""

from collections import deque
from collections.abc import Iterable, Sequence

from hyssopvane._internal.state.group import Counts

WINDOW_S = 0.4
"""Time over which choices are counted, in seconds.

It spans a handful of passes. A longer window counts experts that are no longer in
demand, since demand moves within seconds. A single pass has thousands of choices, so
there is little noise.
"""

RECENT_WINDOW_S = 0.15
"""Time over which the newest demand is measured, in seconds; each rank reports its
counts at least once in it."""

SHIFT_THRESHOLD = 0.25
"""Fraction of differing choices above which demand has shifted.

It compares the newest demand with that of the whole window; after a shift only the
newest counts are used. Demand moves to other experts every few seconds, at any moment.
A change of the map computed just after a shift, from a window that is mostly older,
relieves the wrong experts and delays the right change by the time that it takes. A
shift moves two thirds of the choices; the random difference between samples of a
thousand choices is far below the threshold.
"""


class DemandWindow:
    """Sum the counts of all ranks and detect recent shifts.

    The sum is updated with each message. A large group's window holds dozens of
    messages with 1,536 counts each, and adding them up for each measurement would cost
    the leader more than receiving them.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, Counts]] = deque()
        self._totals: list[int] = []

    def clear(self) -> None:
        """Drop all samples, when the ranks have restarted."""
        self._samples.clear()
        self._totals.clear()

    def observe(self, counts: Counts, *, now: float) -> None:
        """Add the choices of one rank's requests since its last report."""
        if len(self._totals) != len(counts):
            self._totals = [0] * len(counts)
            self._samples.clear()
        self._samples.append((now, counts))
        self._totals = _add_counts(self._totals, counts)
        self._expire_samples(now)

    def measure(self, *, sets: int, now: float) -> list[list[float]]:
        """Return the current demand as choices by set and expert."""
        self._expire_samples(now)
        if not self._samples:
            return []
        totals = self._totals
        recent = self._sum_recent(now)
        if recent is not None and _measure_distance(recent, totals) > SHIFT_THRESHOLD:
            totals = recent
        experts = len(totals) // sets
        return [
            [float(total) for total in totals[at : at + experts]]
            for at in range(0, experts * sets, experts)
        ]

    def _sum_recent(self, now: float) -> list[int] | None:
        since = now - RECENT_WINDOW_S
        recent = [added for at, added in self._samples if at >= since]
        return [sum(one) for one in zip(*recent, strict=True)] if recent else None

    def _expire_samples(self, now: float) -> None:
        while self._samples and self._samples[0][0] < now - WINDOW_S:
            _, old = self._samples.popleft()
            self._totals = _add_counts(self._totals, (-one for one in old))


def _add_counts(totals: Iterable[int], added: Iterable[int]) -> list[int]:
    return [total + one for total, one in zip(totals, added, strict=True)]


def _measure_distance(some: Sequence[int], others: Sequence[int]) -> float:
    """Return the fraction of choices by which two demands differ, 0 to 1."""
    total, other_total = sum(some), sum(others)
    if not total or not other_total:
        return 0.0
    pairs = zip(some, others, strict=True)
    return sum(abs(a / total - b / other_total) for a, b in pairs) / 2
