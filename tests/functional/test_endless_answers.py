"""Test replicas that send bytes without end until the entry closes the connection."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import pytest
import trio

from hyssopvane._internal.transport.asgi_server import serve_asgi
from hyssopvane._internal.transport.replica_client import (
    ReplicaClient,
    ReplicaFailed,
    ReplicaUnreachable,
)
from tests.lib.direct_installation import HANG_S, HOST, make_configuration, make_route
from tests.lib.direct_replica import (
    STREAM_HEAD,
    DirectReplica,
    chunk,
    make_answer,
    make_event,
)
from tests.lib.direct_store import DirectStore
from tests.lib.flood_replica import FLOODS, PACED_BODIES, FloodReplica
from tests.lib.lag_meter import LagMeter
from tests.soak.fleet import Fleet, Member

DEADLINE_S = 2.0
"""Time that callers of the replica in trouble wait."""

OBJECTIVE_S = 0.5
"""Time in which other callers have their answers, as their route asks."""

LATE_S = 0.5
"""Time after a deadline until which its caller must have an answer."""

FLOODED = 12
OTHERS = 50
OTHERS_PAUSE_S = 0.06

MEMORY_BYTES = 64 * 1024 * 1024
"""Memory that these answers may cost an entry: a fifth of what the users give one."""


@dataclass
class FloodSite:
    """Hold one entry, a replica in trouble and sound ones."""

    entry: Member
    client: ReplicaClient
    store: DirectStore
    statuses: list[int] = field(default_factory=list)
    """Statuses of callers of the service in trouble, 0 for a broken answer."""
    took_s: list[float] = field(default_factory=list)
    other_statuses: list[int] = field(default_factory=list)
    others_took_s: list[float] = field(default_factory=list)

    async def send(self, path: str, *, deadline_s: float) -> tuple[int, float]:
        """Send a request; return its status and how long it took."""
        began_at, status = trio.current_time(), 0
        with suppress(ReplicaUnreachable, ReplicaFailed):
            async with self.client.call(
                self.entry.callers,
                method="GET",
                target=path.encode(),
                headers=(
                    (b"host", HOST.encode()),
                    (b"x-request-id", f"r-{began_at}".encode()),
                    (b"x-deadline-ms", str(int(deadline_s * 1_000)).encode()),
                ),
            ) as response:
                async for _ in response.iterate():
                    pass
                status = response.status
        return status, trio.current_time() - began_at

    async def send_flooded(self, path: str) -> None:
        """Send one request to the service in trouble."""
        status, took_s = await self.send(path, deadline_s=DEADLINE_S)
        self.statuses.append(status)
        self.took_s.append(took_s)

    async def send_other(self) -> None:
        """Send one request to the service whose replicas are all sound."""
        status, took_s = await self.send("/sound/7", deadline_s=DEADLINE_S)
        self.other_statuses.append(status)
        self.others_took_s.append(took_s)


async def answer_soundly(replica, stream, request) -> bool:
    if not request.target.startswith("/streams/"):
        await stream.send_all(make_answer(request))
        return True
    await stream.send_all(make_answer(request, body=b"", headers=STREAM_HEAD))
    for number in range(1, 4):
        await stream.send_all(chunk(make_event(number)))
    await stream.send_all(chunk(b""))
    return True


@asynccontextmanager
async def open_site(
    folder: Path, *flooding: FloodReplica, has_sound: bool = True, **changes: object
) -> AsyncIterator[FloodSite]:
    """Run an entry as a process beside a store, replicas in trouble and sound ones."""
    store, client = DirectStore(), ReplicaClient()
    document = make_configuration(
        1,
        routes=[
            make_route("floods", public=True, service="floods"),
            make_route(
                "streams",
                public=True,
                service="floods",
                kind="streaming",
                resumable=True,
            ),
            make_route("sound", public=True, service="sound"),
        ],
        services=[
            {"name": name, "health-check": "/healthz", "max-connections": 100}
            for name in ("floods", "sound")
        ],
    )
    store.put("op/config", document)
    async with trio.open_nursery() as nursery:
        serve = partial(serve_asgi, graceful_timeout_s=0.1, shutdown=trio.Event())
        address = await nursery.start(partial(serve, store, bind="127.0.0.1:0"))

        def register(name: str, service: str, replica: object) -> None:
            store.put(
                f"servers/{name}",
                {
                    "service": service,
                    "address": replica.address,
                    "zone": "zone-a",
                    "slots": 64,
                    "state": "ready",
                },
            )

        for name, service in (("i-1", "floods"), ("i-2", "sound"), ("i-3", "sound")):
            replica = DirectReplica(name, answer_soundly)
            await nursery.start(replica.serve)
            if has_sound or service == "sound":
                register(name, service, replica)
        fleet = Fleet(folder)
        loopback = {
            name: "127.0.0.1:0"
            for name in ("callers", "readiness", "messages", "metrics", "beliefs")
        }
        fleet.add(
            "entry",
            loopback
            | {
                "role": "direct-entry",
                "vm": "entry",
                "availability_zone": "zone-a",
                "store": address,
                "entry_port": 0,
                "agent_port": 9,
                "seeds": [],
                "grace_s": 2.0,
            }
            | changes,
        )
        site = FloodSite(fleet.entries[0], client, store)
        try:
            await fleet.start()
            for path in ("/floods/1", "/sound/1") if has_sound else ("/sound/1",):
                while (await site.send(path, deadline_s=DEADLINE_S))[0] != 200:
                    await trio.sleep(0.05)
            for number, replica in enumerate(flooding):
                register(f"i-{4 + number}", "floods", replica)
            await trio.sleep(0.5)
            yield site
        finally:
            fleet.close()
            with trio.CancelScope(shield=True):
                await client.close()
            nursery.cancel_scope.cancel()


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1_024
    raise AssertionError(f"no memory of process {pid}")


async def flood(site: FloodSite, path: str) -> float:
    """Send requests to both services; return by how much the test itself was late."""
    async with LagMeter() as meter, trio.open_nursery() as nursery:
        for number in range(OTHERS):
            nursery.start_soon(site.send_other)
            if number < FLOODED:
                nursery.start_soon(site.send_flooded, path)
            await trio.sleep(OTHERS_PAUSE_S)
    return meter.lag_s


@pytest.mark.parametrize("name", FLOODS)
def test_bytes_without_end_harm_no_other_caller(tmp_path, name):
    """Guard against an entry that reads on and on from one replica in trouble."""
    case = FLOODS[name]

    async def main():
        flooding = FloodReplica(case)
        with trio.fail_after(HANG_S), flooding.serve():
            async with open_site(tmp_path, flooding) as site:
                pid = site.entry.pid
                before = read_resident_bytes(pid)
                lag_s = await flood(site, case.path)
                assert flooding.accepted > 0
                assert set(site.other_statuses) == {200}
                assert max(site.others_took_s) <= OBJECTIVE_S + lag_s
                permitted = {200, 504} if case.waits else {200}
                for status, took_s in zip(site.statuses, site.took_s, strict=True):
                    # A stream that has begun can only be cut at its deadline.
                    is_cut = case.begins and status == 0 and took_s >= DEADLINE_S
                    assert status in permitted or is_cut
                assert max(site.took_s) <= DEADLINE_S + LATE_S + lag_s
                assert read_resident_bytes(pid) - before <= MEMORY_BYTES
                assert flooding.closed == flooding.accepted

    trio.run(main)


MEMORY_LIMIT_MB = 300
PACED_CALLERS = 60
PACED_DEADLINE_S = 4.0


@pytest.mark.parametrize("replicas", [1, 4])
@pytest.mark.parametrize("name", PACED_BODIES)
def test_bodies_that_grow_together_leave_room_for_other_services(
    tmp_path, name, replicas
):
    """Guard against answers of which each is small enough, and all are too large."""

    async def send(site):
        status, _ = await site.send("/floods/7", deadline_s=PACED_DEADLINE_S)
        site.statuses.append(status)

    async def main():
        flooding = [FloodReplica(PACED_BODIES[name]) for _ in range(replicas)]
        pressure = {"memory_limit_mb": MEMORY_LIMIT_MB}
        with trio.fail_after(HANG_S):
            async with AsyncExitStack() as stack:
                for one in flooding:
                    stack.enter_context(one.serve())
                site = await stack.enter_async_context(
                    open_site(
                        tmp_path, *flooding, has_sound=replicas == 1, pressure=pressure
                    )
                )
                async with trio.open_nursery() as nursery:
                    for _ in range(PACED_CALLERS):
                        nursery.start_soon(send, site)
                        nursery.start_soon(site.send_other)
                        await trio.sleep(0.08)
                assert set(site.other_statuses) == {200}
                limit = MEMORY_LIMIT_MB * 1_000_000
                assert read_resident_bytes(site.entry.pid) < limit
                assert site.statuses.count(200) >= (replicas == 1) * PACED_CALLERS / 2

    trio.run(main)
