"""Measure time by a clock that goes on while the machine is suspended."""

import time

import trio


class BootClock(trio.abc.Clock):
    """Count the time for which the machine was suspended like any other time.

    Deadlines of callers go on meanwhile, which the usual steady clock leaves out.
    """

    def start_clock(self) -> None:
        """Do nothing, as the clock has been running since the machine started."""

    def current_time(self) -> float:
        """Return the time since the machine started, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - self.current_time()
