"""Test that one request ends few replicas of a fleet, and that no other one pays."""

import re
from collections import Counter
from contextlib import suppress
from itertools import count

import pytest
import trio

from tests.lib.crash_fleet import CRASH, open_crash_fleet
from tests.lib.direct_installation import HANG_S

PERMITTED_CRASHES = 3
"""Replicas that one request may end, by way of all entries together."""

LATE_S = 3.0
PERMITTED_LATE = 3
"""Arrivals of it at replicas that are permitted later than `LATE_S` after the third
end."""

PAUSE_S = 0.6
"""Time between two repeats of the request; its replicas are back before."""

PATHS = {"idempotent": "/status/7", "not-idempotent": "/bids/7"}


def run(folder, test, **changes):
    async def main():
        with trio.fail_after(HANG_S):
            async with open_crash_fleet(folder, **changes) as site:
                await test(site)

    trio.run(main)


async def repeat_crash(site, path, *, times, disturb=None):
    """Send the request that ends replicas by way of the entries in turn."""
    for number in range(times):
        entry = site.entries[number % len(site.entries)]
        if entry.is_running:
            await site.send(entry, path, CRASH, request_id=f"crash-{number}")
        if disturb is not None:
            await disturb(number)
        await trio.sleep(PAUSE_S)


@pytest.mark.parametrize("kind", PATHS)
def test_request_that_crashes_replicas_is_refused_by_all_entries(tmp_path, kind):
    """Guard against entries that each let a request end replicas of their own."""

    async def test(site):
        await repeat_crash(site, PATHS[kind], times=14)
        assert len(site.crashed) <= PERMITTED_CRASHES
        assert site.count_late(LATE_S) <= PERMITTED_LATE

    run(tmp_path, test)


async def restart(entry):
    entry.kill()
    await entry.start()


async def restart_all(site, number):
    """Restart all entries after the third end."""
    if number == 3:
        for entry in site.entries:
            await restart(entry)


async def kill_witness(site, number):
    """Kill the only entry that saw the third end, a second after it."""
    if len(site.crashed) == PERMITTED_CRASHES and not site.killed:
        await trio.sleep(1.0)
        site.entries[number % len(site.entries)].kill()
        site.killed = True


async def take_store_away(site, number):
    if number == 0:
        site.store.answer_status = 503


async def restart_all_without_store(site, number):
    await take_store_away(site, number)
    await restart_all(site, number)


async def return_store(site, number):
    """Restart all entries once the store that was away is back."""
    site.store.answer_status = 503 if number < 6 else 0
    if number == 8:
        for entry in site.entries:
            await restart(entry)


@pytest.mark.parametrize(
    "disturb",
    [
        restart_all,
        kill_witness,
        take_store_away,
        restart_all_without_store,
        return_store,
    ],
)
def test_what_one_entry_learns_about_a_request_outlives_it(tmp_path, disturb):
    """Guard against a request that ends more replicas when entries or the store fail.

    No agent runs, so no leader of a group names the entries to each other.
    """

    async def test(site):
        async def disturb_site(number):
            await disturb(site, number)

        await repeat_crash(site, "/bids/7", times=14, disturb=disturb_site)
        assert len(site.crashed) <= PERMITTED_CRASHES + PERMITTED_LATE
        assert site.count_late(LATE_S) <= PERMITTED_LATE

    run(tmp_path, test)


class Callers:
    """Send different bodies all the time, and count the answers."""

    def __init__(self, site, bodies, *, count=24):
        self.site = site
        self.bodies = bodies
        self.count = count
        self.statuses = []
        self._numbers = counted()

    async def run(self, number):
        while True:
            request_id = f"caller-{next(self._numbers)}"
            entry = self.site.entries[number % len(self.site.entries)]
            body = self.bodies[number % len(self.bodies)]
            status = await self.site.send(
                entry, "/status/7", body, request_id=request_id
            )
            self.statuses.append(status)
            await trio.sleep(0.02)

    def start(self, nursery):
        for number in range(self.count):
            nursery.start_soon(self.run, number)


def counted():
    return count()


def check_served(site, statuses):
    """Check that no caller was refused as crashing, and that nearly all were served.

    A request may still fail with 502 or 503 if two replicas end under it or have ended.
    """
    logs = "".join(entry.read_log() for entry in site.entries)
    assert not re.findall(r"request=caller-\S+ outcome=crashing", logs)
    assert len(statuses) > 300
    assert statuses.count(200) >= 0.95 * len(statuses)


def test_requests_beside_one_that_crashes_replicas_are_answered(tmp_path):
    """Guard against callers that are refused since they ran beside a crashing one."""

    async def test(site):
        bodies = [b"body %d" % number for number in range(8)]
        callers = Callers(site, bodies)
        async with trio.open_nursery() as nursery:
            callers.start(nursery)
            await repeat_crash(site, PATHS["idempotent"], times=10)
            nursery.cancel_scope.cancel()
        check_served(site, callers.statuses)

    run(tmp_path, test)


def test_several_requests_that_crash_replicas_end_few_each(tmp_path):
    """Guard against a request that goes on ending replicas since others do, too."""

    async def test(site):
        bodies = [CRASH + b"-%d" % number for number in range(3)]
        for number in range(18):
            entry = site.entries[number % len(site.entries)]
            body = bodies[number % len(bodies)]
            await site.send(
                entry, PATHS["idempotent"], body, request_id=f"crash-{number}"
            )
            await trio.sleep(PAUSE_S)
        counts = Counter(one.body for one in site.arrivals)
        assert counts.keys() == set(bodies)
        assert max(counts.values()) <= PERMITTED_CRASHES

    run(tmp_path, test)


def test_requests_on_replicas_that_end_for_other_reasons_are_answered(tmp_path):
    """Guard against a request of many callers that is blamed for ends of replicas."""

    async def test(site):
        callers = Callers(site, [b"body of all"])
        async with trio.open_nursery() as nursery:
            callers.start(nursery)
            for _ in range(10):
                await trio.sleep(0.5)
                with suppress(StopIteration):
                    site.end_replica(next(iter(site.scopes)))
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        check_served(site, callers.statuses)

    run(tmp_path, test)
