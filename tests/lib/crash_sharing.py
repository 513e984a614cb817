"""Send a crashing request to one entry after the other, in any state of the store."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import trio

from hyssopvane._internal.coordination.quarantine import PAGE_KEY
from hyssopvane._internal.protocol.suspect_pages import format_page
from tests.lib.crash_fleet import CRASH, CRASHING_PART, CrashFleet, open_crash_fleet
from tests.lib.direct_installation import HANG_S
from tests.lib.direct_store import DirectStore

LATE_S = 3.0
"""Time after the last permitted end from which on no other entry may run it.

The users permit three arrivals then; each of these cases leaves somebody who knows.
"""

ENDS_OF_BODY = 3
ENDS_OF_PART = 5

PAUSE_S = 0.6
"""Time between two requests; replicas that have ended are back before."""

REQUESTS_PER_ENTRY = 7
"""Requests to one entry before the next one gets any: more than `LATE_S`."""

SOUND_PAUSE_S = 0.05

Disturb = Callable[[CrashFleet, int], Awaitable[None]]


async def disturb_nothing(site: CrashFleet, number: int) -> None:
    pass


async def restart_all(site: CrashFleet, number: int) -> None:
    """Restart all entries after the first one has refused the request."""
    if number == REQUESTS_PER_ENTRY - 1:
        for entry in site.entries:
            entry.kill()
            await entry.start()


async def lose_witness(site: CrashFleet, number: int) -> None:
    """Kill the only entry that saw the ends, and start another one."""
    if number == REQUESTS_PER_ENTRY - 1:
        site.entries[0].kill()
        await site.entries[1].start()


async def restore_store(site: CrashFleet, number: int) -> None:
    """Restore the store from a copy that is older than the first end."""
    if site.copy is None:
        site.copy = site.store.copy()
    if number == REQUESTS_PER_ENTRY - 2:
        site.restore_store()


async def restore_empty_page(site: CrashFleet, number: int) -> None:
    """Restore the store from a copy whose page lacks what was learnt since."""
    if number == 0:
        site.copy = site.store.copy()
        page = format_page({}, offset=0.0)
        site.copy.items[PAGE_KEY] = (page, site.copy.revision)
    await restore_store(site, number)


async def restore_store_twice(site: CrashFleet, number: int) -> None:
    await restore_store(site, number)
    if number == 2 * REQUESTS_PER_ENTRY - 2:
        site.restore_store()


async def restore_store_and_restart(site: CrashFleet, number: int) -> None:
    """Restart all entries but the first one after a restore."""
    await restore_store(site, number)
    if number == REQUESTS_PER_ENTRY - 1:
        for entry in site.entries[1:]:
            entry.kill()
            await entry.start()


async def silence_watches(site: CrashFleet, number: int) -> None:
    """Leave all watches without an answer, while the store answers other calls."""
    site.store.silent_watches = True


async def silence_watches_after_restore(site: CrashFleet, number: int) -> None:
    await restore_store(site, number)
    await silence_watches(site, number)


async def silence_watches_and_lose_seed(site: CrashFleet, number: int) -> None:
    """Leave watches without an answer, and kill one of the entries that all know."""
    await silence_watches(site, number)
    if number == 0:
        site.entries[1].kill()


async def silence_store(site: CrashFleet, number: int) -> None:
    """Leave all calls of the store without an answer."""
    site.store.lose_answers = True


@dataclass(frozen=True)
class Case:
    """Define what the store tells and what happens to it."""

    era: int = 1
    disturb: Disturb = disturb_nothing
    stops: bool = False
    """Whether only one entry runs until the others start."""
    entries: int = 4
    seeds: int | None = None
    """Number of entries that all others know; None for all of them."""

    def make_store(self) -> DirectStore:
        """Return a store; without an era, its answers have no header for it."""
        store = DirectStore(era=self.era)
        if not self.era:
            store.hides_first_era = True
        return store


CASES = {
    "no-era": Case(era=0),
    "era": Case(),
    "era-restart": Case(disturb=restart_all),
    "era-witness-lost": Case(disturb=lose_witness, stops=True),
    "first-restore": Case(era=0, disturb=restore_store),
    "restore": Case(disturb=restore_store),
    "restore-empty-page": Case(era=0, disturb=restore_empty_page),
    "two-restores": Case(era=0, disturb=restore_store_twice),
    "restore-restart": Case(era=0, disturb=restore_store_and_restart),
    "silent-watches": Case(era=0, disturb=silence_watches),
    "restore-silent-watches": Case(era=0, disturb=silence_watches_after_restore),
    "silent-store": Case(disturb=silence_store),
    "silent-watches-few-seeds": Case(disturb=silence_watches, entries=6, seeds=3),
    "silent-watches-lost-seed": Case(
        disturb=silence_watches_and_lose_seed, entries=6, seeds=3
    ),
    "silent-store-few-seeds": Case(disturb=silence_store, entries=6, seeds=3),
}


async def send_sound(site: CrashFleet) -> None:
    """Send sound requests by way of all entries until cancelled."""
    number = 0
    while True:
        number += 1
        entry = site.entries[number % len(site.entries)]
        if entry.is_running:
            await site.send(
                entry,
                "/status/sound",
                b"sound body %d" % (number % 8),
                request_id=f"sound-{number}",
                parts=["a1", f"e{number:x}"],
            )
        await trio.sleep(SOUND_PAUSE_S)


async def send_crashing(site: CrashFleet, disturb: Disturb, *, by_part: bool) -> None:
    """Send a crashing request to one entry after the other."""
    for number in range(REQUESTS_PER_ENTRY * len(site.entries)):
        entry = site.entries[number // REQUESTS_PER_ENTRY]
        if entry.is_running:
            await site.send(
                entry,
                f"/status/{number if by_part else 7}",
                b"body %d" % number if by_part else CRASH,
                request_id=f"crash-{number}",
                parts=["a1", CRASHING_PART, f"f{number:x}"] if by_part else (),
            )
        await disturb(site, number)
        await trio.sleep(PAUSE_S)


async def check_sharing(folder: Path, case: Case, *, by_part: bool) -> None:
    """Check that no entry runs a request, or a part, that another one refuses."""
    ends = ENDS_OF_PART if by_part else ENDS_OF_BODY
    with trio.fail_after(HANG_S):
        async with open_crash_fleet(
            folder,
            entries=case.entries,
            store=case.make_store(),
            seed_count=case.seeds,
        ) as site:
            if case.stops:
                for entry in site.entries[1:]:
                    entry.kill()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_sound, site)
                await send_crashing(site, case.disturb, by_part=by_part)
                nursery.cancel_scope.cancel()
            assert len(site.crashed) <= ends
            assert site.count_late(LATE_S, ends=ends) == 0
            logs = "".join(entry.read_log() for entry in site.entries)
            assert not re.findall(r"request=sound-\S+ outcome=crashing", logs)
