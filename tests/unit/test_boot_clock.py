"""Test the clock of entries."""

import time

import pytest
import trio

from hyssopvane._internal.utils import boot_clock
from hyssopvane._internal.utils.boot_clock import BootClock


@pytest.mark.parametrize("suspended_s", [0.0, 5.0])
def test_deadline_passes_while_the_machine_is_suspended(suspended_s, monkeypatch):
    """Guard against a deadline that is later by the time of a suspension."""
    suspensions = [0.0]

    def read_clock(clock):
        assert clock == time.CLOCK_BOOTTIME
        return time.monotonic() + suspensions[0]

    monkeypatch.setattr(boot_clock.time, "clock_gettime", read_clock)

    async def main():
        with trio.move_on_after(3.0) as scope:
            suspensions[0] = suspended_s
            await trio.sleep(0.01)
            await trio.sleep(0.01)
        return scope.cancelled_caught

    assert trio.run(main, clock=BootClock()) == (suspended_s > 3.0)
