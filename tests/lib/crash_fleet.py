"""Run entries as processes beside replicas that end, as some requests make them do."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import trio

from hyssopvane._internal.transport.asgi_server import serve_asgi
from hyssopvane._internal.transport.replica_client import (
    ReplicaClient,
    ReplicaFailed,
    ReplicaUnreachable,
)
from tests.lib.direct_installation import HOST, KEY, make_configuration
from tests.lib.direct_replica import DirectReplica, Received, make_answer
from tests.lib.direct_store import DirectStore
from tests.soak.fleet import Fleet, Member

CRASH = b"crash"
"""First bytes of the body of a request that ends each replica that runs it."""

RETURN_S = 0.3
"""Time after which a replica that has ended is back under a new id."""

WORK_S = 0.01


@dataclass
class Arrival:
    """Record a request that ends its replica, and reaches one."""

    at: float
    replica: str
    body: bytes


@dataclass
class CrashFleet:
    """Hold the running fleet, and record the replicas that ended under requests."""

    store: DirectStore
    fleet: Fleet
    nursery: trio.Nursery
    client: ReplicaClient
    arrivals: list[Arrival] = field(default_factory=list)
    crashed: list[float] = field(default_factory=list)
    """Times at which replicas ended because of a request."""
    starts: int = 0
    killed: bool = False
    """Whether the test has killed an entry."""
    scopes: dict[str, trio.CancelScope] = field(default_factory=dict)
    """Scopes of the running replicas, by id."""

    @property
    def entries(self) -> list[Member]:
        """Return the entries."""
        return self.fleet.entries

    async def start_replica(self) -> None:
        """Start a replica under a new id, and register it."""
        self.starts += 1
        replica = DirectReplica(f"i-{self.starts}", self._run)
        scope = trio.CancelScope()
        await self.nursery.start(self._serve, replica, scope)
        self.scopes[replica.id] = scope
        self.store.put(
            f"servers/{replica.id}",
            {
                "service": "checks",
                "address": replica.address,
                "zone": "zone-a",
                "slots": 6,
                "state": "ready",
            },
        )

    def end_replica(self, replica_id: str) -> None:
        """End a replica with all that runs on it; a new one starts later."""
        scope = self.scopes.pop(replica_id, None)
        if scope is not None:
            scope.cancel()
            self.nursery.start_soon(self._replace, replica_id)

    async def send(
        self,
        entry: Member,
        path: str,
        body: bytes,
        *,
        request_id: str,
        deadline_ms: int = 2_000,
    ) -> int:
        """Send a request; return the status, 0 without an answer."""
        fields = (
            (b"host", HOST.encode()),
            (b"x-request-id", request_id.encode()),
            (b"authorization", f"Bearer {KEY}".encode()),
            (b"x-deadline-ms", str(deadline_ms).encode()),
            (b"content-length", str(len(body)).encode()),
        )
        with suppress(ReplicaUnreachable, ReplicaFailed, OSError):
            async with self.client.call(
                entry.callers,
                method="POST",
                target=path.encode(),
                headers=fields,
                body=body,
            ) as response:
                await response.read(max_bytes=2**20)
                return response.status
        return 0

    def count_late(self, bound_s: float) -> int:
        """Return the arrivals later than a time after the third end."""
        if len(self.crashed) < 3:
            return 0
        third = sorted(self.crashed)[2]
        return sum(one.at > third + bound_s for one in self.arrivals)

    async def _serve(
        self,
        replica: DirectReplica,
        scope: trio.CancelScope,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        with scope:
            await replica.serve(task_status=task_status)

    async def _replace(self, replica_id: str) -> None:
        await trio.sleep(RETURN_S)
        self.store.remove(f"servers/{replica_id}")
        await self.start_replica()

    async def _run(
        self, replica: DirectReplica, stream: trio.SocketStream, request: Received
    ) -> bool:
        if request.body.startswith(CRASH):
            now = trio.current_time()
            self.arrivals.append(Arrival(now, replica.id, request.body))
            self.crashed.append(now)
            self.end_replica(replica.id)
            await trio.sleep_forever()
        await trio.sleep(WORK_S)
        await stream.send_all(make_answer(request))
        return True


@asynccontextmanager
async def open_crash_fleet(
    folder: Path, *, entries: int = 4, replicas: int = 8
) -> AsyncIterator[CrashFleet]:
    """Run a store and replicas in this process, and entries as processes.

    No agent runs, so no leader of a group tells the entries of each other.
    """
    store, client = DirectStore(), ReplicaClient()
    store.put("op/config", make_configuration(1))
    async with trio.open_nursery() as nursery:
        address = await nursery.start(
            partial(
                serve_asgi,
                store,
                bind="127.0.0.1:0",
                graceful_timeout_s=0.1,
                shutdown=trio.Event(),
            )
        )
        fleet = Fleet(folder)
        site = CrashFleet(store, fleet, nursery, client)
        for _ in range(replicas):
            await site.start_replica()
        ports = await _find_ports(entries)
        seeds = [f"127.0.0.1:{port}" for port in ports]
        for number, seed in enumerate(seeds):
            settings = {
                "role": "direct-entry",
                "vm": f"entry{number}",
                "availability_zone": "zone-a",
                "store": address,
                "callers": "127.0.0.1:0",
                "readiness": "127.0.0.1:0",
                "messages": "127.0.0.1:0",
                "metrics": "127.0.0.1:0",
                "beliefs": seed,
                "entry_port": 0,
                "agent_port": 9,
                "seeds": seeds,
                "grace_s": 2.0,
            }
            fleet.add(f"entry{number}", settings)
        try:
            await fleet.start()
            for entry in fleet.entries:
                while await site.send(entry, "/status/1", b"", request_id="r") != 200:
                    await trio.sleep(0.05)
            yield site
        finally:
            fleet.close()
            with trio.CancelScope(shield=True):
                await client.close()
            nursery.cancel_scope.cancel()


async def _find_ports(count: int) -> list[int]:
    """Return ports that are currently free on loopback."""
    probes = [trio.socket.socket() for _ in range(count)]
    for probe in probes:
        await probe.bind(("127.0.0.1", 0))
    found = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return found
