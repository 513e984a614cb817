"""Count at little cost until somebody collects what was counted."""

from array import array
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopvane._internal.utils.metrics import Metrics

MOST_KEPT = 4_096
"""Durations that are kept before the instruments are made for them: 32 KB."""


class DeferredMetrics:
    """Hold what was counted, and make the instruments when they are first read.

    The instruments and their exporter take 5 MB and 80 ms of a process. There is an
    agent beside each replica, and hardly any of them is ever asked. After a loss of
    power callers wait for each entry's start.
    """

    def __init__(self, *, role: str, vm: str) -> None:
        self._role = role
        self._vm = vm
        self._events: Counter[str] = Counter()
        self._refusals: Counter[str] = Counter()
        self._retries: Counter[str] = Counter()
        self._requests: Counter[tuple[str, str]] = Counter()
        self._levels: dict[str, int] = {}
        self._durations: dict[str, array[float]] = {}
        """Seconds of each request, by service."""
        self._metrics: Metrics | None = None

    def count_event(self, event: str, amount: int = 1) -> None:
        """Count something an operator may want to watch."""
        self._events[event] += amount

    def count_refusal(self, reason: str) -> None:
        """Count a refusal by its reason."""
        self._refusals[reason] += 1

    def count_retry(self, reason: str) -> None:
        """Count a retry by its reason."""
        self._retries[reason] += 1

    def count_request(self, *, service: str, outcome: str) -> None:
        """Count an answered request."""
        self._requests[service, outcome] += 1

    def set_level(self, level: str, value: int) -> None:
        """Tell how something stands that goes up and down."""
        self._levels[level] = value

    def record_duration(self, *, service: str, seconds: float) -> None:
        """Record the time of a request from its head to its last byte."""
        kept = self._durations.setdefault(service, array("d"))
        kept.append(seconds)
        if len(kept) >= MOST_KEPT:
            self._flush()

    def render(self) -> bytes:
        """Return all instruments in the Prometheus text format."""
        return self._flush().render()

    def close(self) -> None:
        """Release the instruments."""
        if self._metrics is not None:
            self._metrics.close()

    def _flush(self) -> "Metrics":
        from hyssopvane._internal.utils.metrics import Metrics

        if self._metrics is None:
            self._metrics = Metrics(role=self._role, vm=self._vm)
        self._metrics.add(
            events=self._events,
            refusals=self._refusals,
            retries=self._retries,
            requests=self._requests,
            levels=self._levels,
            durations=self._durations,
        )
        for counted in (self._events, self._refusals, self._retries):
            counted.clear()
        self._requests.clear()
        self._durations.clear()
        return self._metrics
