"""Send requests that end each replica that runs them, and popular ones beside them."""

import re
from dataclasses import dataclass, field
from itertools import count
from random import Random

import trio

from hyssopvane._internal.transport.replica_client import ReplicaClient
from tests.soak.backends import CRASHING, FIXED_BODY, POPULAR, CrashArrival
from tests.soak.callers import Callers, Kind
from tests.soak.fleet import Member

LATE_S = 3.0
"""Time after the third end from which on few arrivals are permitted."""

PERMITTED_LATE = 3

_STARTS_S = (0.5, 5.0)
"""Times after the start of the load at which a further such request begins."""

_POPULAR_CALLERS = 4


@dataclass
class CrashingCallers:
    """Repeat requests that end their replicas, through all entries, until cancelled."""

    callers: Callers
    entries: list[Member]
    random: Random
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
        found = []
        for path in sorted({one.path for one in self.arrivals}):
            times = sorted(one.at for one in self.arrivals if one.path == path)
            late = [at for at in times if len(times) >= 3 and at > times[2] + LATE_S]
            if len(late) > PERMITTED_LATE:
                found.append(
                    f"{path} reached {len(late)} replicas later than {LATE_S:g} s "
                    f"after it had ended the third; {len(times)} in all"
                )
        for member in self.entries:
            refused = re.findall(
                rf"request=({POPULAR}-\d+) outcome=crashing", member.read_log()
            )
            if refused:
                found.append(
                    f"{member.name} refused {len(refused)} popular requests as "
                    f"crashing, {refused[0]} first"
                )
        return found
