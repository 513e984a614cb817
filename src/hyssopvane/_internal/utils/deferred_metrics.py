"""Count at low cost, and create the metrics when they are first read."""

from array import array
from collections import Counter
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from hyssopvane._internal.utils.metrics import Metrics

_Key = TypeVar("_Key", str, tuple[str, str])

MOST_KEPT = 4_096
"""Durations kept for each service before the instruments are created: 32 KB."""


class DeferredMetrics:
    """Buffer counts and durations, and create the instruments on the first read.

    The instruments and their exporter cost a process 5 MB and 80 ms. There is an agent
    for each replica, and the metrics of most agents are never read. After a power
    failure callers wait for the start of each entry.
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
        """Durations of requests in seconds, by service."""
        self._turn_errors: dict[str, array[float]] = {}
        """Real minus predicted waits in seconds, by service."""
        self._return_waits: dict[tuple[str, str], array[float]] = {}
        """Waits of returning callers in seconds, by service and what they found."""
        self._metrics: Metrics | None = None

    def count_event(self, event: str, amount: int = 1) -> None:
        """Count an event that operators monitor."""
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
        """Set the current value of a gauge."""
        self._levels[level] = value

    def record_duration(self, *, service: str, seconds: float) -> None:
        """Record the time from the head of a request to the last byte of its answer."""
        self._record(self._durations, service, seconds)

    def record_turn_error(self, *, service: str, seconds: float) -> None:
        """Record how much longer than predicted a request waited for a place."""
        self._record(self._turn_errors, service, seconds)

    def record_return_wait(
        self, *, service: str, is_placed: bool, seconds: float
    ) -> None:
        """Record how long a returning caller waited for a place or its refusal."""
        found = "place" if is_placed else "refusal"
        self._record(self._return_waits, (service, found), seconds)

    def render(self) -> bytes:
        """Return all instruments in the Prometheus text format."""
        return self._flush().render()

    def close(self) -> None:
        """Shut down the instruments."""
        if self._metrics is not None:
            self._metrics.close()

    def _record(
        self, kept: dict[_Key, "array[float]"], key: _Key, seconds: float
    ) -> None:
        amounts = kept.setdefault(key, array("d"))
        amounts.append(seconds)
        if len(amounts) >= MOST_KEPT:
            self._flush()

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
            turn_errors=self._turn_errors,
            return_waits=self._return_waits,
        )
        for counter in (self._events, self._refusals, self._retries):
            counter.clear()
        self._requests.clear()
        self._durations.clear()
        self._turn_errors.clear()
        self._return_waits.clear()
        return self._metrics
