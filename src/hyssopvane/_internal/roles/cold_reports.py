"""Log which replicas are cold, and count the requests that were held back."""

from collections.abc import Iterable

import trio

from hyssopvane._internal.policy.service_gate import ServiceGate
from hyssopvane._internal.utils.deferred_metrics import DeferredMetrics
from hyssopvane._internal.utils.logs import log_event


class ColdReports:
    """Report the cold replicas of all services of one entry."""

    def __init__(self, metrics: DeferredMetrics) -> None:
        self._metrics = metrics
        self._is_level_set = False

    def report(self, gates: Iterable[ServiceGate]) -> None:
        """Log the changes since the last call, and update counter and level."""
        now = trio.current_time()
        number = held = 0
        for gate in gates:
            if not gate.cold.is_on:
                continue
            changes = gate.cold.expire(now)
            number += gate.cold.count_cold(now)
            held += gate.cold.take_held_count()
            for change in changes:
                log_event(
                    "info",
                    "replica-cold" if change.left_s else "replica-warm",
                    replica=change.replica,
                    source=change.source.value,
                    left_s=round(change.left_s, 2),
                    cold=gate.cold.count_cold(now),
                )
        if held:
            self._metrics.count_event("cold-held", held)
        if number or self._is_level_set:
            self._metrics.set_level("cold-replicas", number)
            self._is_level_set = number > 0
