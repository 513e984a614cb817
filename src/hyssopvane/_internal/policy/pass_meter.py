"""Measure how long a group's passes take."""

from collections import deque

WINDOW_S = 0.6
"""Time over which passes are counted: a handful of them at the usual pace."""

STALL_FACTOR = 4.0
"""Times the mean pass after which a group counts as standing still.

Load makes a pass longer by some tenths, a shift of demand doubles it. A group that is
held, whose rank has crashed or whose machine stands still makes no pass for seconds.
Were that taken for the time of a pass, its requests would look twenty times as dear,
and callers would be refused for seconds after the group goes on.
"""


class PassMeter:
    """Learn the time of a pass from the number of passes begun."""

    def __init__(self) -> None:
        self._seen: deque[tuple[float, int]] = deque()

    def observe(self, step: int, *, now: float) -> None:
        """Take the number of the last pass that was begun."""
        if self._seen and step < self._seen[-1][1]:
            self._seen.clear()
        if not self._seen or step > self._seen[-1][1]:
            if self._is_stalled(now):
                self._seen.clear()
            self._seen.append((now, step))
        while len(self._seen) > 2 and self._seen[0][0] < now - WINDOW_S:
            self._seen.popleft()

    def reset(self) -> None:
        """Forget the passes so far: an idle group makes none."""
        self._seen.clear()

    def measure(self, *, now: float) -> float:
        """Return the mean time of a pass, 0 where too few were seen."""
        if len(self._seen) < 2:
            return 0.0
        mean = self._measure_mean()
        # A pass that is overdue tells more than those before it.
        overdue = now - self._seen[-1][0]
        return mean if self._is_stalled(now) else max(mean, overdue)

    def _measure_mean(self) -> float:
        (first_at, first), (last_at, last) = self._seen[0], self._seen[-1]
        return (last_at - first_at) / (last - first)

    def _is_stalled(self, now: float) -> bool:
        if len(self._seen) < 2:
            return False
        return now - self._seen[-1][0] > STALL_FACTOR * self._measure_mean()
