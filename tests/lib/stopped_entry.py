"""Run an entry as a process that stands still while callers send and leave."""

import signal
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import trio

from hyssopvane._internal.transport.asgi_server import serve_asgi
from hyssopvane._internal.transport.replica_client import ReplicaClient
from tests.lib.direct_installation import HOST, KEY, make_configuration
from tests.lib.direct_replica import DirectReplica, answer_whole
from tests.lib.direct_store import DirectStore
from tests.lib.installation import KEY as CLERKS_KEY
from tests.lib.installation import commit_table, wait_for_targets
from tests.lib.leaving_callers import RawCaller
from tests.lib.processes import Cluster, Process
from tests.soak.fleet import Member

BOUND_S = 0.5
"""Time after which nothing may reach a replica for a caller that has left."""

DEADLINE_MS = 20_000

_MAX_BODY_BYTES = 1_000_000


class EntrySite(ABC):
    """Hold one entry process in front of replicas that answer at once."""

    path: str
    """Path of the requests that the replicas receive."""

    callers_address: str

    handover_s: float = 0.0
    """Time for which a process that runs may pass on that callers have left."""

    @abstractmethod
    def make_headers(
        self, request_id: str, *, deadline_ms: int = DEADLINE_MS
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers of a request with a name."""

    @abstractmethod
    def list_received(self) -> set[str]:
        """Return the names of the requests that have reached a replica."""

    @abstractmethod
    def send_signal(self, number: int) -> None:
        """Send a signal to the process that stands still."""

    @abstractmethod
    def read_log(self) -> str:
        """Return what the entry has logged."""

    async def probe(self, kind: type[RawCaller]) -> RawCaller:
        """Send a request on a new connection, and return it after the answer."""
        caller = await kind.open(self.callers_address)
        headers = self.make_headers("probe")
        await caller.send_request(self.path, headers=headers)
        await caller.read_until(b"whole answer")
        return caller

    @contextmanager
    def stop(self):
        """Let the process stand still in the block."""
        self.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.send_signal(signal.SIGCONT)

    async def wait_until_settled(self, kind: type[RawCaller]) -> None:
        """Wait until what came before has been handled, and the bound has passed."""
        for _ in range(3):
            await trio.aclose_forcefully((await self.probe(kind)).stream)
        await trio.sleep(BOUND_S)


@dataclass
class DirectSite(EntrySite):
    """Run a store and replicas in this process, and the entry as another one."""

    member: Member
    replicas: list[DirectReplica] = field(default_factory=list)
    path: str = "/status/7"

    @property
    def callers_address(self) -> str:  # type: ignore[override]
        return self.member.callers

    def make_headers(
        self, request_id: str, *, deadline_ms: int = DEADLINE_MS
    ) -> tuple[tuple[str, str], ...]:
        return (
            ("Host", HOST),
            ("X-Request-Id", request_id),
            ("Authorization", f"Bearer {KEY}"),
            ("X-Deadline-Ms", str(deadline_ms)),
        )

    def list_received(self) -> set[str]:
        received = (one for replica in self.replicas for one in replica.received)
        return {one.headers["x-request-id"] for one in received}

    def send_signal(self, number: int) -> None:
        self.member.send_signal(number)

    def read_log(self) -> str:
        return self.member.read_log()


@asynccontextmanager
async def open_direct_site(folder: Path) -> AsyncIterator[DirectSite]:
    """Run two replicas behind an entry of the direct path."""
    store = DirectStore()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(
            partial(
                serve_asgi,
                store,
                bind="127.0.0.1:0",
                graceful_timeout_s=1.0,
                shutdown=trio.Event(),
            )
        )
        configuration = make_configuration(1)
        configuration["limits"] |= {"max-body-bytes": _MAX_BODY_BYTES}  # type: ignore[operator]
        store.put("op/config", configuration)
        site = DirectSite(Member("entry", make_settings(address), folder))
        for number in range(2):
            replica = DirectReplica(f"i-{number}", answer_whole)
            await nursery.start(replica.serve)
            registration = {"service": "checks", "address": replica.address}
            registration |= {"state": "ready", "slots": 64, "zone": "a"}  # type: ignore[dict-item]
            store.put(f"servers/{replica.id}", registration)
            site.replicas.append(replica)
        try:
            await site.member.start()
            await _wait_until_ready(site.member.callers)
            yield site
        finally:
            site.member.kill()
        nursery.cancel_scope.cancel()


def make_settings(store: str) -> dict[str, object]:
    """Return the settings of an entry of the direct path, on ports of the kernel."""
    listeners = ("callers", "readiness", "messages", "metrics", "beliefs")
    ports: dict[str, object] = {name: "127.0.0.1:0" for name in listeners}
    identity = {"role": "direct-entry", "vm": "entry", "availability_zone": "a"}
    return ports | identity | {"store": store, "entry_port": 0, "agent_port": 9}


async def _wait_until_ready(address: str) -> None:
    client = ReplicaClient()
    headers = (
        (b"host", HOST.encode()),
        (b"x-request-id", b"ready"),
        (b"authorization", f"Bearer {KEY}".encode()),
        (b"content-length", b"0"),
    )
    status = 0
    while status != 200:
        async with client.call(
            address, method="POST", target=b"/status/7", headers=headers
        ) as response:
            await response.read(max_bytes=2**20)
            status = response.status
        await trio.sleep(0.02)
    await client.close()


@dataclass
class AgentSite(EntrySite):
    """Run an entry and an agent as processes, and their target in this one."""

    entry: Process
    stopped: Process
    callers_address: str
    replica: DirectReplica
    handover_s: float
    path: str = "/check/whole"

    def make_headers(
        self, request_id: str, *, deadline_ms: int = DEADLINE_MS
    ) -> tuple[tuple[str, str], ...]:
        return (
            ("Host", HOST),
            ("Authorization", f"Bearer {CLERKS_KEY}"),
            ("Hyssopvane-Deadline-Ms", str(deadline_ms)),
            ("X-Name", request_id),
        )

    def list_received(self) -> set[str]:
        return {one.headers.get("x-name", "") for one in self.replica.received}

    def send_signal(self, number: int) -> None:
        self.stopped.send_signal(number)

    def read_log(self) -> str:
        return "\n".join(self.entry.lines)


@asynccontextmanager
async def open_agent_site(
    folder: Path, *, stops_agent: bool
) -> AsyncIterator[AgentSite]:
    """Run a replica behind an agent and an entry, one of which will stand still."""
    replica = DirectReplica("target", answer_whole)
    cluster = Cluster(folder)

    def start() -> AgentSite:
        cluster.start_platform()
        commit_table(cluster.platform)
        agent = cluster.start_agent(
            "check-1", service="check", target=replica.address, silence_s=30.0
        )
        entry, callers = cluster.start_entry("entry-1", silence_s=30.0)
        wait_for_targets(cluster, "entry-1", 1)
        if stops_agent:
            return AgentSite(entry, agent, callers, replica, handover_s=BOUND_S)
        return AgentSite(entry, entry, callers, replica, handover_s=0.0)

    async with trio.open_nursery() as nursery:
        await nursery.start(replica.serve)
        try:
            yield await trio.to_thread.run_sync(start)
        finally:
            cluster.close()
        nursery.cancel_scope.cancel()
