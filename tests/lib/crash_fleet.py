"""Run entries as processes beside replicas that end, as some requests make them do."""

import json
import os
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial
from pathlib import Path

import trio

from hyssopvane._internal.transport.asgi_server import serve_asgi
from hyssopvane._internal.transport.replica_client import (
    ReplicaClient,
    ReplicaFailed,
    ReplicaUnreachable,
)
from tests.lib.direct_installation import (
    CUSTOMER,
    HOST,
    KEY,
    ROUTES,
    make_configuration,
    make_route,
)
from tests.lib.direct_replica import (
    STREAM_HEAD,
    DirectReplica,
    Received,
    chunk,
    make_answer,
    make_event,
)
from tests.lib.direct_store import DirectStore, StoreCopy
from tests.soak.fleet import Fleet, Member

CRASH = b"crash"
"""First bytes of the body of a request that ends each replica that runs it."""

CRASHING_PART = "dead"
"""Part of a prompt under which each replica ends."""

OTHER_KEY = "key-of-the-auctions"

STREAM_EVENTS = 3

RETURN_S = 0.3
"""Time after which a replica that has ended is back under a new id."""

WORK_S = 0.01


CONFIGURATION = make_configuration(
    1,
    routes=[
        *ROUTES,
        make_route("streams", kind="streaming", resumable=True),
    ],
    tenants=[
        {"name": CUSTOMER, "api-keys": [KEY], "priority": 1},
        {"name": "auctions", "api-keys": [OTHER_KEY], "priority": 1},
    ],
)


class CrashKind(StrEnum):
    """Name how far an answer gets before its replica ends."""

    SILENT = "silent"
    IN_HEAD = "in-head"
    AFTER_EVENT = "after-event"
    UNFRAMED = "unframed"
    """After an event of a stream with neither a length nor chunks."""
    IN_EVENT = "in-event"
    """Within an event of a stream with neither a length nor chunks."""


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
    crash_kind: CrashKind = CrashKind.SILENT
    copy: StoreCopy | None = None
    """Copy from which the store can be restored."""

    @property
    def entries(self) -> list[Member]:
        """Return the entries."""
        return self.fleet.entries

    def restore_store(self) -> None:
        """Restore the store from the copy; live replicas register again at once."""
        assert self.copy is not None
        live = {
            key: json.loads(value)
            for key, (value, _) in self.store.items.items()
            if key.startswith("servers/")
        }
        self.store.restore_from(self.copy)
        for key in list(self.store.items):
            if key.startswith("servers/") and key not in live:
                self.store.remove(key)
        for key, document in live.items():
            self.store.put(key, document)

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
        parts: Sequence[str] = (),
        key: str = KEY,
    ) -> int:
        """Send a request; return the status, 0 without a whole answer."""
        fields = (
            (b"host", HOST.encode()),
            (b"x-request-id", request_id.encode()),
            (b"authorization", f"Bearer {key}".encode()),
            (b"x-deadline-ms", str(deadline_ms).encode()),
            (b"content-length", str(len(body)).encode()),
        )
        if parts:
            listed = ",".join(f"{part}:100" for part in parts)
            fields += ((b"x-prompt-prefix", listed.encode()),)
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

    def count_late(self, bound_s: float, *, ends: int = 3) -> int:
        """Return the arrivals later than a time after a number of ends."""
        if len(self.crashed) < ends:
            return 0
        last = sorted(self.crashed)[ends - 1]
        return sum(one.at > last + bound_s for one in self.arrivals)

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
        parts = list_parts(request)
        if request.body.startswith(CRASH) or CRASHING_PART in parts:
            now = trio.current_time()
            self.arrivals.append(Arrival(now, replica.id, request.body))
            self.crashed.append(now)
            await self._begin_answer(stream, request)
            self.end_replica(replica.id)
            await trio.sleep_forever()
        await trio.sleep(WORK_S)
        if not request.target.startswith("/streams/"):
            await stream.send_all(make_answer(request))
            return True
        await stream.send_all(make_answer(request, body=b"", headers=STREAM_HEAD))
        for number in range(1, STREAM_EVENTS + 1):
            await stream.send_all(chunk(make_event(number)))
        await stream.send_all(chunk(b""))
        return True

    async def _begin_answer(self, stream: trio.SocketStream, request: Received) -> None:
        """Send what a caller gets of an answer before its replica ends."""
        match self.crash_kind:
            case CrashKind.SILENT:
                return
            case CrashKind.IN_HEAD:
                await stream.send_all(make_answer(request)[:40])
            case CrashKind.AFTER_EVENT:
                head = make_answer(request, body=b"", headers=STREAM_HEAD)
                await stream.send_all(head + chunk(make_event(1)))
            case CrashKind.UNFRAMED | CrashKind.IN_EVENT:
                head = make_answer(request, body=b"", headers=STREAM_HEAD)
                unframed = head.replace(b"Transfer-Encoding: chunked\r\n", b"")
                cut = (
                    make_event(2)[:-4] if self.crash_kind == CrashKind.IN_EVENT else b""
                )
                await stream.send_all(unframed + make_event(1) + cut)
        # The entry reads this before the connection ends.
        await trio.sleep(WORK_S)


def list_parts(request: Received) -> list[str]:
    """Return the ids of the parts of a prompt."""
    listed = request.headers.get("x-prompt-prefix", "")
    return [part.partition(":")[0] for part in listed.split(",")]


@asynccontextmanager
async def open_crash_fleet(
    folder: Path,
    *,
    entries: int = 4,
    replicas: int = 8,
    store: DirectStore | None = None,
    seed_count: int | None = None,
) -> AsyncIterator[CrashFleet]:
    """Run a store and replicas in this process, and entries as processes.

    `seed_count` is the number of entries that all others know; None for all of them.
    No agent runs, so no leader of a group tells the entries of each other.
    """
    store, client = store or DirectStore(), ReplicaClient()
    store.put("op/config", CONFIGURATION)
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
        addresses = await _find_addresses(entries)
        seeds = addresses[:seed_count]
        for number, own_address in enumerate(addresses):
            settings = {
                "role": "direct-entry",
                "vm": f"entry{number}",
                "availability_zone": "zone-a",
                "store": address,
                "callers": "127.0.0.1:0",
                "readiness": "127.0.0.1:0",
                "messages": "127.0.0.1:0",
                "metrics": "127.0.0.1:0",
                "beliefs": own_address,
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


async def _find_addresses(count: int) -> list[str]:
    """Return free addresses on loopback, on a host that no other process uses.

    On the host of all tests, another one may take a port before its entry does.
    """
    pid = os.getpid()
    host = f"127.{1 + pid // 65_536 % 254}.{pid // 256 % 256}.{1 + pid % 254}"
    probes = [trio.socket.socket() for _ in range(count)]
    for probe in probes:
        await probe.bind((host, 0))
    found = [f"{host}:{probe.getsockname()[1]}" for probe in probes]
    for probe in probes:
        probe.close()
    return found
