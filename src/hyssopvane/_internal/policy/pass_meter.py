"""Measure how long a group's passes take."""

from collections import deque

WINDOW_S = 0.6
"""Time over which passes are counted: a few of them at the usual pace."""

STALL_FACTOR = 4.0
"""Multiple of the mean pass time after which a group counts as stalled.

Load lengthens a pass by some tenths, and a shift of demand doubles it. A group makes no
pass for seconds if it is held, a rank has crashed or a machine is stalled. If that time
counted as the time of a pass, its requests would seem twenty times as expensive, and
callers would be refused for seconds after the group resumes.
"""


class PassMeter:
    """Measure the time of a pass by the number of passes begun."""

    def __init__(self) -> None:
        self._seen: deque[tuple[float, int]] = deque()

    def observe(self, step: int, *, now: float) -> None:
        """Record the number of the last pass that was begun."""
        if self._seen and step < self._seen[-1][1]:
            self._seen.clear()
        if not self._seen or step > self._seen[-1][1]:
            if self._is_stalled(now):
                self._seen.clear()
            self._seen.append((now, step))
        while len(self._seen) > 2 and self._seen[0][0] < now - WINDOW_S:
            self._seen.popleft()

    def reset(self) -> None:
        """Discard the recorded passes, because an idle group makes none."""
        self._seen.clear()

    def measure(self, *, now: float) -> float:
        """Return the mean time of a pass in seconds, or 0 if too few were seen."""
        if len(self._seen) < 2:
            return 0.0
        mean = self._measure_mean()
        # An overdue pass is more significant than those before it.
        overdue = now - self._seen[-1][0]
        return mean if self._is_stalled(now) else max(mean, overdue)

    def _measure_mean(self) -> float:
        (first_at, first), (last_at, last) = self._seen[0], self._seen[-1]
        return (last_at - first_at) / (last - first)

    def _is_stalled(self, now: float) -> bool:
        if len(self._seen) < 2:
            return False
        return now - self._seen[-1][0] > STALL_FACTOR * self._measure_mean()
