"""Count the places of a group that requests on time have left free for a while.

Load: usual demand, at which a few requests become late by chance. Late requests leave a
tenth of the places to requests on time, so they were refused beside free places. A
place that was free at each load of the window is one that nobody on time needed.
"""

from collections import deque

WINDOW_S = 2.0
"""Time for which a place must have been free.

It spans most of the time for which a request runs, and several objectives. With one
second, 0.823 of the requests were on time when the most urgent demand was 1.8 times the
usual, against 0.826.
"""

MAX_GAP_S = 0.5
"""Longest time between two loads of a window, beyond which it begins anew."""


class SparePlaces:
    """Track the most requests that ran in a group at the loads of a window."""

    def __init__(self) -> None:
        self._loads: deque[tuple[float, int]] = deque()
        """Times of the loads, and the requests that ran."""

    def observe(self, running: int, now: float) -> None:
        """Record how many requests run."""
        if self._loads and now - self._loads[-1][0] > MAX_GAP_S:
            self._loads.clear()
        self._loads.append((now, running))
        # One load from before the window is kept, so that the window is covered.
        while len(self._loads) > 1 and self._loads[1][0] <= now - WINDOW_S:
            self._loads.popleft()

    def measure(self, limit: float, running: int, now: float) -> float:
        """Return the places that were free all the time; 0 if that is unknown."""
        if not self._loads or self._loads[0][0] > now - WINDOW_S:
            return 0.0
        most = max(count for _, count in self._loads)
        return max(0.0, limit - max(most, running))
