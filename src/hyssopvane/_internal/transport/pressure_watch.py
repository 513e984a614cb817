"""Measure how near an entry is to its limits, and close connections meanwhile."""

from collections.abc import Callable

import trio

from hyssopvane._internal.policy.entry_pressure import (
    PressureChange,
    PressureMonitor,
    Resource,
)
from hyssopvane._internal.transport.buffer_guard import BufferGuard
from hyssopvane._internal.transport.process_usage import ProcessUsage
from hyssopvane._internal.utils.deferred_metrics import DeferredMetrics
from hyssopvane._internal.utils.logs import log_event

LAG_INTERVAL_S = 0.25
USAGE_EVERY = 4
"""Number of measurements of the lag for each one of the other resources."""

_BITS_PER_BYTE = 8


class PressureWatch:
    """Tell which connections to close while the entry is near a limit."""

    def __init__(
        self,
        guard: BufferGuard,
        metrics: DeferredMetrics,
        *,
        memory_limit: int | None,
        link_bits_per_s: float | None,
        get_lag_limit_s: Callable[[], float | None],
    ) -> None:
        self._guard = guard
        self._metrics = metrics
        self._link_bits_per_s = link_bits_per_s
        self._get_lag_limit_s = get_lag_limit_s
        self._usage = ProcessUsage(memory_limit)
        self._monitor = PressureMonitor()

    async def run(self) -> None:
        """Measure until cancelled."""
        number, measured_at = 0, trio.current_time()
        before = self._guard.get_traffic()
        while True:
            due_at = trio.current_time() + LAG_INTERVAL_S
            await trio.sleep(LAG_INTERVAL_S)
            now = trio.current_time()
            limit_s = self._get_lag_limit_s()
            if limit_s is not None:
                self._report(self._monitor.observe_lag(now - due_at, limit_s))
            number += 1
            if number % USAGE_EVERY:
                continue
            traffic = self._guard.get_traffic()
            most = max(now - then for now, then in zip(traffic, before, strict=True))
            self._measure_usage(most / (now - measured_at))
            before, measured_at = traffic, now

    def close(self) -> None:
        """Release the file of the process's usage."""
        self._usage.close()

    def should_close(self, connections: int) -> bool:
        """Return whether a connection closes after the answer that begins now."""
        if not self._monitor.take_close(connections, now=trio.current_time()):
            return False
        self._metrics.count_event("connection-closed-near-limit")
        return True

    def _measure_usage(self, bytes_per_s: float) -> None:
        ledger = self._guard.ledger
        shares = {
            Resource.MEMORY: self._usage.measure_memory_share(),
            Resource.DESCRIPTORS: self._usage.measure_descriptor_share(),
            Resource.BUFFERS: ledger.total / ledger.limits.total_bytes,
        }
        if self._link_bits_per_s is not None:
            used = bytes_per_s * _BITS_PER_BYTE
            shares[Resource.LINK] = used / self._link_bits_per_s
        for resource, share in shares.items():
            if share is not None:
                self._report(self._monitor.observe(resource, share))

    def _report(self, change: PressureChange | None) -> None:
        if change is None:
            return
        if change.is_near:
            self._metrics.count_event("limit-neared")
        else:
            self._metrics.count_event("limit-left")
        log_event(
            "info",
            "limit-neared" if change.is_near else "limit-left",
            resource=change.resource.value,
            share=round(change.share, 3),
            near=",".join(sorted(self._monitor.near)) or "-",
            held=self._guard.ledger.total,
        )
