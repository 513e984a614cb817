"""Count events at little cost until somebody collects them."""

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hyssopvane._internal.utils.metrics import Metrics


class DeferredMetrics:
    """Hold counters of events, and make the instruments when they are first read.

    The instruments and their exporter take 5 MB and 80 ms of a process. There is an
    agent beside each replica, and hardly any of them is ever asked.
    """

    def __init__(self, *, role: str, vm: str) -> None:
        self._role = role
        self._vm = vm
        self._pending: Counter[str] = Counter()
        self._metrics: Metrics | None = None

    def count_event(self, event: str, amount: int = 1) -> None:
        """Count something an operator may want to watch."""
        self._pending[event] += amount

    def render(self) -> bytes:
        """Return all counters in the Prometheus text format."""
        from hyssopvane._internal.utils.metrics import Metrics

        if self._metrics is None:
            self._metrics = Metrics(role=self._role, vm=self._vm)
        self._metrics.count_events(self._pending)
        self._pending.clear()
        return self._metrics.render()

    def close(self) -> None:
        """Release the instruments."""
        if self._metrics is not None:
            self._metrics.close()
