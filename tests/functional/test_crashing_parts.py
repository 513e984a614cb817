"""Test that requests of which one part ends replicas are found out by that part."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count

import pytest
import trio

from tests.lib.crash_fleet import (
    CRASHING_PART,
    OTHER_KEY,
    CrashFleet,
    CrashKind,
    open_crash_fleet,
)
from tests.lib.direct_installation import HANG_S, KEY

PERMITTED_CRASHES = 5
"""Replicas that may end before the part has to be known."""

LATE_S = 3.0
PERMITTED_LATE = 3
"""Arrivals that are permitted later than `LATE_S` after the fifth end."""

SETTLED_S = 2 * LATE_S
"""Time after the last end from which on sound requests are answered as before."""

REPEATS = 24
PAUSE_S = 0.45
"""Time between two requests of the part; replicas are back before."""

POPULAR_PARTS = ("a1", "b2", "c3")


@dataclass(frozen=True)
class Series:
    """Define requests that have one part in common, of which no two are alike."""

    entries: int = 4
    path: str = "/status"
    place: int = 1
    """Position of the part among the parts of the prompt."""
    kind: CrashKind = CrashKind.SILENT
    keys: tuple[str, ...] = (KEY,)
    pause_s: float = PAUSE_S
    repeats: int = REPEATS
    next_on_refusal: bool = False
    """Whether the next entry is tried only when one refuses."""
    varied: bool = False
    """Whether the other parts change from request to request."""
    most_crashes: int = PERMITTED_CRASHES

    def list_parts(self, number: int) -> list[str]:
        """Return the parts of a request; the last one is its own."""
        shared = list(POPULAR_PARTS)
        if self.varied:
            shared = [f"{part}{number % 5}" for part in POPULAR_PARTS]
        shared.insert(self.place, CRASHING_PART)
        return [*shared, f"f{number:x}"]


@dataclass
class SoundCallers:
    """Send sound requests with the key and the other parts of the series."""

    site: CrashFleet
    count: int = 16
    answers: list[tuple[float, int]] = field(default_factory=list)

    async def run(self, number: int, numbers: "count[int]") -> None:
        while True:
            entry = self.site.entries[number % len(self.site.entries)]
            name = next(numbers)
            if entry.is_running:
                at = trio.current_time()
                status = await self.site.send(
                    entry,
                    f"/status/sound-{name}",
                    b"sound body %d" % name,
                    request_id=f"sound-{name}",
                    parts=[*POPULAR_PARTS, f"e{name:x}"],
                )
                self.answers.append((at, status))
            await trio.sleep(0.05)

    def start(self, nursery: trio.Nursery) -> None:
        numbers = count()
        for number in range(self.count):
            nursery.start_soon(self.run, number, numbers)

    def check(self) -> None:
        """Check that none is refused as crashing, and all are served in the end."""
        logs = "".join(entry.read_log() for entry in self.site.entries)
        assert not re.findall(r"request=sound-\S+ outcome=crashing", logs)
        assert len(self.answers) > 300
        settled_at = max(self.site.crashed) + SETTLED_S
        settled = [status for at, status in self.answers if at > settled_at]
        assert len(settled) > 100
        assert settled.count(200) >= 0.95 * len(settled)


def run(
    folder, test: Callable[[CrashFleet], Awaitable[None]], **changes: object
) -> None:
    async def main():
        with trio.fail_after(HANG_S):
            async with open_crash_fleet(folder, replicas=12, **changes) as site:
                await test(site)

    trio.run(main)


async def send_series(site: CrashFleet, series: Series, disturb=None) -> None:
    """Send the requests of a series one after the other."""
    site.crash_kind = series.kind
    chosen = 0
    for number in range(series.repeats):
        if not series.next_on_refusal:
            chosen = number
        entry = site.entries[chosen % len(site.entries)]
        if disturb is not None:
            await disturb(site, number)
        if entry.is_running:
            status = await site.send(
                entry,
                f"{series.path}/{number}",
                b"body %d" % number,
                request_id=f"bad-{number}",
                parts=series.list_parts(number),
                key=series.keys[number % len(series.keys)],
            )
            chosen += status == 503
        await trio.sleep(series.pause_s)


def check_crashes(site: CrashFleet, series: Series) -> None:
    assert len(site.crashed) >= 1
    assert len(site.crashed) <= series.most_crashes
    assert site.count_late(LATE_S, ends=PERMITTED_CRASHES) <= PERMITTED_LATE


SERIES = {
    "one-entry": Series(entries=1),
    "in-turn": Series(),
    "burst": Series(pause_s=0.15, repeats=60, most_crashes=8),
    "stream-cut-after-event": Series(path="/streams", kind=CrashKind.AFTER_EVENT),
    "stream-cut-in-event": Series(path="/streams", kind=CrashKind.IN_EVENT),
    "stream-without-length": Series(path="/streams", kind=CrashKind.UNFRAMED),
    "cut-in-head": Series(kind=CrashKind.IN_HEAD),
    "first-part": Series(place=0),
    "third-part": Series(place=2),
    "two-customers": Series(keys=(KEY, OTHER_KEY)),
    "other-parts-change": Series(varied=True),
    "not-repeatable": Series(path="/bids"),
    "next-entry-on-refusal": Series(next_on_refusal=True),
}


@pytest.mark.parametrize("name", SERIES)
def test_part_that_crashes_replicas_is_refused_by_all_entries(tmp_path, name):
    """Guard against requests with one such part that are known by their body only."""
    series = SERIES[name]

    async def test(site):
        callers = SoundCallers(site)
        async with trio.open_nursery() as nursery:
            callers.start(nursery)
            await trio.sleep(1.0)
            await send_series(site, series)
            check_crashes(site, series)
            left_s = max(site.crashed) + SETTLED_S + 1.5 - trio.current_time()
            await trio.sleep(max(0.0, left_s))
            nursery.cancel_scope.cancel()
        callers.check()

    run(tmp_path, test, entries=series.entries)


async def restart_in_turn(site, number):
    """Kill and restart three entries, one after the other."""
    if number in (2, 5, 8):
        entry = site.entries[number // 3]
        entry.kill()
        await entry.start()


async def take_store_away(site, number):
    if number == 0:
        site.store.answer_status = 503


async def restart_at_once(site, number):
    """Kill all entries at one moment, as a loss of power does, and restart them."""
    if number in (2, 8):
        for entry in site.entries:
            entry.kill()
        for entry in site.entries:
            await entry.start()


async def restart_without_store(site, number):
    await take_store_away(site, number)
    await restart_in_turn(site, number)


@pytest.mark.parametrize(
    "disturb",
    [restart_in_turn, restart_at_once, take_store_away, restart_without_store],
)
def test_part_stays_known_when_entries_or_the_store_fail(tmp_path, disturb):
    """Guard against a part that crashes more replicas while knowledge is being lost."""
    series = Series()

    async def test(site):
        callers = SoundCallers(site)
        async with trio.open_nursery() as nursery:
            callers.start(nursery)
            await trio.sleep(1.0)
            await send_series(site, series, disturb)
            check_crashes(site, series)
            nursery.cancel_scope.cancel()

    run(tmp_path, test)


def test_parts_of_other_customers_are_not_refused(tmp_path):
    """Guard against a customer that has a part of others refused by listing it."""

    async def test(site):
        callers = SoundCallers(site)
        async with trio.open_nursery() as nursery:
            callers.start(nursery)
            await trio.sleep(1.0)
            await send_series(site, Series(keys=(OTHER_KEY,)))
            check_crashes(site, Series())
            await trio.sleep(SETTLED_S)
            nursery.cancel_scope.cancel()
        callers.check()

    run(tmp_path, test)


def test_parts_on_replicas_that_end_for_other_reasons_are_served(tmp_path):
    """Guard against popular parts that are blamed for ends of replicas."""

    async def test(site):
        callers = SoundCallers(site)
        async with trio.open_nursery() as nursery:
            callers.start(nursery)
            await trio.sleep(0.5)
            for _ in range(10):
                await trio.sleep(0.5)
                site.crashed.append(trio.current_time())
                site.end_replica(next(iter(site.scopes)))
            await trio.sleep(SETTLED_S + 1.5)
            nursery.cancel_scope.cancel()
        callers.check()

    run(tmp_path, test)


def test_sound_parts_are_served_after_all_machines_lost_power(tmp_path):
    """Guard against parts that are blamed when replicas and entries end at once."""

    async def test(site):
        callers = SoundCallers(site)
        async with trio.open_nursery() as nursery:
            callers.start(nursery)
            await trio.sleep(1.5)
            for _ in range(2):
                for replica_id in list(site.scopes):
                    site.end_replica(replica_id)
                for entry in site.entries:
                    entry.kill()
                for entry in site.entries:
                    await entry.start()
                # The time from which on all machines are back.
                site.crashed.append(trio.current_time())
                await trio.sleep(1.0)
            await trio.sleep(SETTLED_S + 1.5)
            nursery.cancel_scope.cancel()
        callers.check()

    run(tmp_path, test)
