"""Limit the share of a service's requests that may be repeated."""

from collections import deque
from collections.abc import Callable
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
    the limit no matter which of them receive the failing requests. What is allowed
    beyond that share is divided by the number of entries.
    """

    def __init__(
        self,
        *,
        share: float,
        slack: int,
        fleet_slack: int | None = None,
        count_entries: Callable[[], int] = lambda: 1,
    ) -> None:
        self._share = share
        self._slack = slack
        self._fleet_slack = fleet_slack
        """Repeats beyond the share that all entries together may make."""
        self._count_entries = count_entries
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
        allowed = self._share * len(counts.fresh) + self._get_slack()
        if len(counts.repeats) + 1 > allowed:
            return False
        counts.repeats.append(now)
        return True

    def _get_slack(self) -> int:
        if self._fleet_slack is None:
            return self._slack
        return min(self._slack, self._fleet_slack // self._count_entries())


def _expire(counts: _Counts, now: float) -> None:
    for times in (counts.fresh, counts.repeats):
        while times and times[0] <= now - WINDOW_S:
            times.popleft()
