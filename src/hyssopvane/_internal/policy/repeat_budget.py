"""Limit the share of a service's requests that may be repeated."""

from collections import deque
from dataclasses import dataclass, field

WINDOW_S = 10.0
"""Seconds over which repeats are counted against fresh requests."""


@dataclass(slots=True)
class _Counts:
    fresh: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class RepeatBudget:
    """Allow repeats as a share of this entry's own fresh requests.

    In an outage in which every request fails, unlimited repeats would double the load
    on replicas that are about to recover. A share of what each entry itself has sent
    needs no communication between entries, and the sum over all entries stays within
    the limit no matter which of them receive the failing requests.
    """

    def __init__(self, *, share: float, slack: int) -> None:
        self._share = share
        self._slack = slack
        self._services: dict[str, _Counts] = {}

    def add_fresh(self, service: str, *, now: float) -> None:
        """Count a caller's request."""
        counts = self._services.setdefault(service, _Counts())
        counts.fresh.append(now)
        _expire(counts, now)

    def take(self, service: str, *, now: float) -> bool:
        """Return whether one repeat is allowed, and count it if so."""
        counts = self._services.setdefault(service, _Counts())
        _expire(counts, now)
        if len(counts.repeats) >= self._share * len(counts.fresh) + self._slack:
            return False
        counts.repeats.append(now)
        return True


def _expire(counts: _Counts, now: float) -> None:
    for times in (counts.fresh, counts.repeats):
        while times and times[0] <= now - WINDOW_S:
            times.popleft()
