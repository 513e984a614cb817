"""Send requests that end each replica that runs them, and popular ones beside them."""

import re
from dataclasses import dataclass, field
from itertools import count
from random import Random

import trio

from hyssopvane._internal.transport.replica_client import ReplicaClient
from tests.soak.backends import (
    CRASHING,
    CRASHING_PART,
    FIXED_BODY,
    POPULAR,
    CrashArrival,
)
from tests.soak.callers import Callers, Kind
from tests.soak.fleet import Member

LATE_S = 3.0
"""Time after the third end from which on few arrivals are permitted."""

PERMITTED_LATE = 3

_STARTS_S = (0.5, 5.0)
"""Times after the start of the load at which a further such request begins."""

TURN_S = 3.5
"""Time for which one entry gets the request that begins after a return of the store."""

_TURN_PAUSE_S = 0.4

_POPULAR_CALLERS = 4

SOUND = "sound"
_SOUND_PARTS = ("a1", "b2")
"""Parts that sound requests share with those that end their replicas."""


@dataclass
class CrashingCallers:
    """Repeat requests that end their replicas, through all entries, until cancelled."""

    callers: Callers
    entries: list[Member]
    random: Random
    store_returned: trio.Event
    """Set when the store has come back from an older copy."""
    arrivals: list[CrashArrival] = field(default_factory=list)
    popular: int = 0
    """Number of popular requests that were sent."""

    async def run(self) -> None:
        """Send crashing and popular requests."""
        async with trio.open_nursery() as nursery:
            for number, start_s in enumerate(_STARTS_S):
                for route in ("status", "bids"):
                    path = f"/{route}/{CRASHING}-{number}"
                    nursery.start_soon(self._repeat, path, start_s)
            nursery.start_soon(self._repeat_after_return)
            numbers = count()
            for _ in range(_POPULAR_CALLERS):
                nursery.start_soon(self._send_popular, numbers)

    async def _repeat(self, path: str, start_s: float) -> None:
        client = ReplicaClient()
        kind = Kind(path, at_most_once=path.startswith("/bids"), body=FIXED_BODY)
        try:
            await trio.sleep(start_s)
            for number in count():
                member = self.random.choice(self.entries)
                name = f"{path.replace('/', '-')}-{number}"
                await self.callers.send(client, member, kind, name)
                await trio.sleep(self.random.uniform(0.1, 1.0))
        finally:
            with trio.CancelScope(shield=True):
                await client.close()

    async def _repeat_after_return(self) -> None:
        """Repeat a request at one entry after the other, which each hear of it only."""
        await self.store_returned.wait()
        kind = Kind(f"/status/{CRASHING}-returned", body=FIXED_BODY)
        client = ReplicaClient()
        began_at = trio.current_time()
        try:
            for number in count():
                turn = int((trio.current_time() - began_at) / TURN_S)
                member = self.entries[turn % len(self.entries)]
                name = f"{CRASHING}-returned-{number}"
                await self.callers.send(client, member, kind, name)
                await trio.sleep(_TURN_PAUSE_S)
        finally:
            with trio.CancelScope(shield=True):
                await client.close()

    async def _send_popular(self, numbers: "count[int]") -> None:
        client = ReplicaClient()
        kind = Kind(f"/status/{POPULAR}", body=FIXED_BODY)
        try:
            while True:
                member = self.random.choice(self.entries)
                name = f"{POPULAR}-{next(numbers)}"
                await self.callers.send(client, member, kind, name)
                self.popular += 1
                await trio.sleep(self.random.uniform(0.0, 0.1))
        finally:
            with trio.CancelScope(shield=True):
                await client.close()

    def check(self) -> list[str]:
        """Return a violation for each request that ends too many replicas or pays."""
        return [
            *find_late_arrivals(self.arrivals, ends=3),
            *find_refused(self.entries, POPULAR),
            *find_dropped(self.entries),
        ]


@dataclass
class CrashingParts:
    """Send requests of which one part ends their replicas, and sound ones beside them.

    No two of them are alike, but for the parts.
    """

    callers: Callers
    entries: list[Member]
    random: Random
    arrivals: list[CrashArrival] = field(default_factory=list)

    async def run(self) -> None:
        """Send requests with crashing parts and with sound ones."""
        async with trio.open_nursery() as nursery:
            for number, start_s in enumerate(_STARTS_S):
                for route in ("status", "drafts"):
                    part = f"{CRASHING_PART}{route}{number}"
                    parts = (*_SOUND_PARTS, part)[-1 - number :]
                    nursery.start_soon(self._repeat, route, part, parts, start_s, 1.0)
            for number in range(_POPULAR_CALLERS):
                route = ("status", "drafts")[number % 2]
                name = f"{SOUND}-{number}"
                nursery.start_soon(self._repeat, route, name, _SOUND_PARTS, 0.0, 0.1)

    async def _repeat(
        self,
        route: str,
        name: str,
        parts: tuple[str, ...],
        start_s: float,
        pause_s: float,
    ) -> None:
        client = ReplicaClient()
        try:
            await trio.sleep(start_s)
            for number in count():
                member = self.random.choice(self.entries)
                kind = Kind(
                    f"/{route}/{name}-{number}",
                    streamed=route == "drafts",
                    parts=parts,
                )
                await self.callers.send(client, member, kind, f"{name}-{number}")
                await trio.sleep(self.random.uniform(0.1, 1.0) * pause_s)
        finally:
            with trio.CancelScope(shield=True):
                await client.close()

    def check(self) -> list[str]:
        """Return a violation for each part that ends too many replicas or pays."""
        return [
            *find_late_arrivals(self.arrivals, ends=5),
            *find_refused(self.entries, SOUND),
        ]


def find_late_arrivals(arrivals: list[CrashArrival], *, ends: int) -> list[str]:
    """Return a violation for each cause that went on after a number of ends."""
    found = []
    for cause in sorted({one.cause for one in arrivals}):
        times = sorted(one.at for one in arrivals if one.cause == cause)
        known = len(times) >= ends
        late = [at for at in times if known and at > times[ends - 1] + LATE_S]
        if len(late) > PERMITTED_LATE:
            found.append(
                f"{cause} reached {len(late)} replicas later than {LATE_S:g} s "
                f"after it had ended {ends}; {len(times)} in all"
            )
    return found


def find_dropped(entries: list[Member]) -> list[str]:
    """Return a violation for each entry that took a page for one of an earlier era.

    An adapter of the store returns nothing of an era that has ended.
    """
    found = []
    for member in entries:
        eras = re.findall(
            r"event=suspects-page-dropped era=(\d+) .*known_era=(\d+)",
            member.read_log(),
        )
        count = sum(int(era) < int(known) for era, known in eras)
        if count:
            found.append(f"{member.name} dropped {count} pages as of an earlier era")
    return found


def find_refused(entries: list[Member], prefix: str) -> list[str]:
    """Return a violation for each entry that refuses sound requests as crashing."""
    found = []
    for member in entries:
        refused = re.findall(
            rf"request=({prefix}-\S+) outcome=crashing", member.read_log()
        )
        if refused:
            found.append(
                f"{member.name} refused {len(refused)} {prefix} requests as "
                f"crashing, {refused[0]} first"
            )
    return found
