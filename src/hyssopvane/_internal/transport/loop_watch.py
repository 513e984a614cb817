"""Measure by how much the event loop of this process is late."""

from collections.abc import Callable
from contextlib import suppress
from math import inf

import trio

from hyssopvane._internal.utils.logs import log_event

MIN_LOGGED_S = 0.25
"""Delay of the event loop that is logged: half of the time after which no work may be
in progress for a caller that has left."""

_MIN_IDLE_S = 0.001
"""Time for which the loop waits only if there was nothing to do."""


class LoopWatch(trio.abc.Instrument):
    """Record when the event loop had handled everything, and by how much it is late.

    It is late when the process stood still, got no processor, or a task did not let
    others run.
    """

    def __init__(self, count_event: Callable[[str], None]) -> None:
        self._count_event = count_event
        # Bound once, as the loop polls a dozen times for each request.
        self._get_time: Callable[[], float] = trio.current_time
        self._polled_at = inf
        self._waits_since = inf
        self._due_at = inf
        self.idle_at = -inf
        """Time at which the loop last had nothing to do. What is found unread has come
        later."""
        self.late_s = 0.0
        """Delay of what is handled now."""

    def start(self) -> None:
        """Measure the event loop that runs."""
        self._get_time = trio.lowlevel.current_clock().current_time
        trio.lowlevel.add_instrument(self)

    def close(self) -> None:
        """Measure no more, if it was started."""
        with suppress(KeyError):
            trio.lowlevel.remove_instrument(self)

    def before_io_wait(self, timeout: float) -> None:
        self._due_at = inf
        if timeout > 0:
            self._waits_since = self._get_time()
            self._due_at = self._waits_since + timeout

    def after_io_wait(self, timeout: float) -> None:
        now = self._get_time()
        # The loop does not wait while tasks are ready to run.
        waits_since = self._waits_since if self._due_at < inf else now
        busy_s = waits_since - self._polled_at
        stopped_s = now - self._due_at
        self._polled_at = now
        if now - waits_since >= _MIN_IDLE_S:
            self.idle_at = waits_since
        self.late_s = max(0.0, stopped_s, busy_s)
        if self.late_s >= MIN_LOGGED_S:
            self._count_event("loop-late")
            log_event(
                "warning",
                "loop-late",
                late_s=round(self.late_s, 3),
                stopped_s=round(max(0.0, stopped_s), 3),
                busy_s=round(max(0.0, busy_s), 3),
            )
