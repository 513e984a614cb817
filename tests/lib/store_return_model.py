"""Simulate processes that track a store which is restored from older copies."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

import trio

from hyssopvane._internal.coordination.routing_feed import UNCONFIRMED_S, RoutingFeed
from hyssopvane._internal.platform.store import PlatformStore
from hyssopvane._internal.platform.wire import PlatformFormat
from hyssopvane._internal.protocol.group_messages import (
    decode_message,
    decode_store_snapshot,
    encode_message,
    encode_store_snapshot,
)
from hyssopvane._internal.protocol.headers import index_headers
from hyssopvane._internal.roles.snapshot_exchange import SnapshotExchange
from hyssopvane._internal.state.group import EntryState
from hyssopvane._internal.transport.replica_client import (
    ReplicaFailed,
    ReplicaUnreachable,
)
from tests.lib.direct_installation import make_configuration
from tests.lib.direct_store import DirectStore, StoreCopy

CONFIG_APPLY_S = 2.0
RECOVERY_S = 3.0
"""Seconds during which no bound applies to a process.

They begin after a fault of the store or of the process's connection to it.
"""

EVACUATE_S = 5.0
MAX_STRETCH_S = 6.0
"""Seconds after which a process must know that a zone is evacuated.

The second are added while the process itself is cut off from the store.
"""

REWRITE_S = 2.0
"""Seconds after a restore within which lost changes are written again."""

EXCHANGE_INTERVAL_S = 0.5
"""Seconds between two messages of a process with the position of its snapshot."""

_CONFIGURATION = "op/config"
_EVACUATIONS = "op/evacuate/"
_LONGEST_ANSWER_S = 0.25


@dataclass
class _Response:
    status: int
    fields: dict[bytes, bytes]
    body: bytes

    async def read(self, *, max_bytes: int, limit: object = None) -> bytes:
        return self.body


class DirectStoreClient:
    """Call a stand-in for the store without sockets."""

    def __init__(self, store: DirectStore, random: Random) -> None:
        self._store = store
        self._random = random
        self.is_cut = False

    @asynccontextmanager
    async def call(
        self,
        address: str,
        *,
        method: str,
        target: bytes,
        headers: object,
        body: bytes = b"",
    ) -> AsyncIterator[_Response]:
        if self.is_cut:
            await trio.sleep(0.1)
            raise ReplicaUnreachable("the connection to the store is cut")
        sent: list[Any] = []

        async def receive() -> Any:
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message: Any) -> None:
            sent.append(message)

        path, _, query = target.decode().partition("?")
        scope = {"type": "http", "path": path, "query_string": query.encode()}
        await self._store(scope, receive, send)
        await trio.sleep(self._random.uniform(0, _LONGEST_ANSWER_S))
        if self.is_cut:
            raise ReplicaFailed("the connection to the store is cut")
        fields = index_headers(sent[0]["headers"])
        answer = b"".join(one.get("body", b"") for one in sent[1:])
        yield _Response(sent[0]["status"], fields, answer)

    async def close(self) -> None:
        pass


@dataclass
class Process:
    """Hold the state of one process that tracks the store, until its restart."""

    feed: RoutingFeed
    client: DirectStoreClient
    exchange: SnapshotExchange
    scope: trio.CancelScope
    in_contact_from: float
    started_at: float
    version: int = 0
    """Highest configuration version that was in force."""
    known_leaving: set[str] = field(default_factory=set)
    """Keys of the replicas that the process has seen leaving."""


class StoreReturnModel:
    """Change, copy and restore a store and check the state of its processes."""

    def __init__(
        self, seed: int, *, processes: int = 3, evacuates: bool = False
    ) -> None:
        self._random = Random(seed)
        self._store = DirectStore()
        self._count = processes
        self._processes: list[Process] = []
        self._accepted: list[tuple[float, int]] = []
        self._copies: list[tuple[float, StoreCopy]] = []
        self._stable_from = 0.0
        self._version = 0
        self._evacuates = evacuates
        self._evacuated: dict[str, float] = {}
        """Times at which the operator wrote the keys of evacuated zones."""
        self._replicas: dict[str, str] = {}
        """State that each replica wrote last; empty if the replica is gone."""
        self._nursery: trio.Nursery | None = None
        self.returns = 0

    async def run(self, *, seconds: float) -> None:
        """Apply random changes, wait until all is stable and compare with the store."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._configure()
            for _ in range(4):
                self._add_replica()
            for _ in range(self._count):
                self._processes.append(self._start_process())
            await trio.sleep(RECOVERY_S)
            nursery.start_soon(self._check_always)
            nursery.start_soon(self._take_copies)
            nursery.start_soon(self._exchange_snapshots)
            end = trio.current_time() + seconds
            while trio.current_time() < end:
                await trio.sleep(self._random.expovariate(1 / 0.6))
                self._apply_random_change()
            for process in self._processes:
                process.client.is_cut = False
            await trio.sleep(2 * UNCONFIRMED_S)
            self._check_settled()
            nursery.cancel_scope.cancel()

    def _apply_random_change(self) -> None:
        random = self._random
        random.choices(
            [
                self._configure,
                self._add_replica,
                self._drain,
                self._remove,
                self._restore_copy,
                self._cut,
                self._restart,
            ],
            weights=[30, 8, 8, 8, 10, 8, 4],
        )[0]()
        if self._evacuates and random.random() < 0.3:
            self._evacuate_or_take_back()

    def _evacuate_or_take_back(self) -> None:
        key = f"op/evacuate/zone-{self._random.choice('abc')}"
        if key in self._evacuated:
            del self._evacuated[key]
            self._store.remove(key)
        else:
            self._evacuated[key] = trio.current_time()
            self._store.put(key, {})

    def _configure(self) -> None:
        self._version += self._random.randint(1, 4)
        self._store.put(_CONFIGURATION, make_configuration(self._version))
        self._accepted.append((trio.current_time(), self._version))

    def _add_replica(self) -> None:
        key = f"servers/i-{len(self._replicas)}"
        self._register(key, "ready")

    def _drain(self) -> None:
        ready = [key for key, state in self._replicas.items() if state == "ready"]
        if len(ready) > 2:
            self._register(self._random.choice(ready), "draining")

    def _remove(self) -> None:
        leaving = [key for key, state in self._replicas.items() if state == "draining"]
        if leaving:
            key = self._random.choice(leaving)
            self._replicas[key] = ""
            if key in self._store.items:
                self._store.remove(key)

    def _register(self, key: str, state: str) -> None:
        number = int(key.rpartition("-")[2])
        self._replicas[key] = state
        self._store.put(
            key,
            {
                "service": "checks",
                "address": f"10.0.{number // 250}.{number % 250 + 1}:80",
                "zone": "zone-a",
                "slots": 6,
                "state": state,
            },
        )

    def _restore_copy(self) -> None:
        now = trio.current_time()
        # Restores don't overlap: lost changes are written again before the store loses
        # anything else.
        if now < self._stable_from:
            return
        old = [copy for at, copy in self._copies if now - at < 5.0]
        if not old:
            return
        self.returns += 1
        self._stable_from = now + RECOVERY_S
        self._store.restore_from(self._random.choice(old))
        self._copies.clear()
        assert self._nursery is not None
        self._nursery.start_soon(self._rewrite_lost)

    async def _rewrite_lost(self) -> None:
        """Write the changes of operators and replicas that the store has lost."""
        present = [key for key in self._store.items if key.startswith(_EVACUATIONS)]
        evacuations = dict.fromkeys([*present, *self._evacuated])
        keys = [_CONFIGURATION, *self._replicas, *evacuations]
        self._random.shuffle(keys)
        pause_s = self._random.uniform(0, REWRITE_S / len(keys))
        for key in keys:
            await trio.sleep(pause_s)
            self._rewrite_key(key)

    def _rewrite_key(self, key: str) -> None:
        value = self._store.items.get(key, (b"", 0))[0]
        if key.startswith(_EVACUATIONS):
            if key not in self._evacuated:
                self._store.remove(key)
            elif not value:
                self._store.put(key, {})
            return
        if key == _CONFIGURATION:
            document = make_configuration(self._version)
            if value != json.dumps(document).encode():
                self._store.put(key, document)
            return
        state = self._replicas[key]
        if not state and value:
            self._store.remove(key)
        elif state and (not value or json.loads(value)["state"] != state):
            self._register(key, state)

    def _cut(self) -> None:
        process = self._random.choice(self._processes)
        process.client.is_cut = not process.client.is_cut
        process.in_contact_from = float("inf")
        if not process.client.is_cut:
            process.in_contact_from = trio.current_time() + RECOVERY_S

    def _restart(self) -> None:
        index = self._random.randrange(len(self._processes))
        self._processes[index].scope.cancel()
        self._processes[index] = self._start_process()

    def _start_process(self) -> Process:
        random = Random(self._random.random())
        store = PlatformStore(address="store")
        client = DirectStoreClient(self._store, random)
        store._client = client  # type: ignore[assignment]
        feed = RoutingFeed(
            store,
            PlatformFormat(),
            random=random,
            observe=lambda: None,
            follows_evacuations=self._evacuates,
        )
        scope = trio.CancelScope()
        assert self._nursery is not None
        self._nursery.start_soon(self._run_feed, feed, scope)
        in_contact_from = trio.current_time() + RECOVERY_S
        return Process(
            feed,
            client,
            SnapshotExchange(feed, seeds=(), random=random),
            scope,
            in_contact_from,
            trio.current_time(),
        )

    async def _run_feed(self, feed: RoutingFeed, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                feed.start(nursery)

    async def _take_copies(self) -> None:
        while True:
            self._copies.append((trio.current_time(), self._store.copy()))
            await trio.sleep(0.3)

    async def _exchange_snapshots(self) -> None:
        while True:
            await trio.sleep(EXCHANGE_INTERVAL_S)
            for process in self._processes:
                for peer in self._processes:
                    if peer is not process:
                        await self._fetch_if_newer(process, peer)

    async def _fetch_if_newer(self, process: Process, peer: Process) -> None:
        state = EntryState(
            address="10.1.0.1:7000",
            beliefs="10.1.0.1:7001",
            configuration_version=peer.feed.configuration_version,
            replicas_revision=peer.feed.replicas_revision,
            replicas_era=peer.feed.replicas_position.era,
            evacuations_changed_at=peer.feed.evacuations_changed_at,
        )
        received = decode_message(encode_message(state))
        assert isinstance(received, EntryState)
        if process.exchange._is_newer(received):
            snapshot = encode_store_snapshot(peer.feed.export())
            assert self._nursery is not None
            self._nursery.start_soon(self._merge_late, process, snapshot)

    async def _merge_late(self, process: Process, body: bytes) -> None:
        await trio.sleep(self._random.uniform(0, _LONGEST_ANSWER_S))
        process.feed.merge(decode_store_snapshot(body))

    async def _check_always(self) -> None:
        while True:
            await trio.sleep(0.05)
            for process in self._processes:
                self._check(process)

    def _check(self, process: Process) -> None:
        now = trio.current_time()
        version = process.feed.configuration_version
        assert version >= process.version, f"{version} after {process.version}"
        process.version = version
        for key, replica in process.feed.replicas.items():
            if replica.draining and self._replicas[key] != "ready":
                process.known_leaving.add(key)
            else:
                assert key not in process.known_leaving, f"{key} is ready after it left"
        contact_from = min(one.in_contact_from for one in self._processes)
        since = max(process.started_at, contact_from, self._stable_from)
        self._check_evacuations(process, since, EVACUATE_S + MAX_STRETCH_S)
        if now < max(process.in_contact_from, self._stable_from):
            return
        due = [one for at, one in self._accepted if now - at > CONFIG_APPLY_S]
        assert version >= max(due), f"{version} in force, {max(due)} accepted"
        since = max(process.in_contact_from, self._stable_from)
        self._check_evacuations(process, since, EVACUATE_S)

    def _check_evacuations(
        self, process: Process, since: float, allowed_s: float
    ) -> None:
        late = {
            key.removeprefix(_EVACUATIONS)
            for key, at in self._evacuated.items()
            if trio.current_time() - max(at, since) > allowed_s
        }
        assert late <= self._list_zones(process), f"{late} not known"

    def _list_zones(self, process: Process) -> frozenset[str]:
        known = process.feed.evacuations
        return frozenset() if known is None else known.zones

    def _check_settled(self) -> None:
        expected = {key: state for key, state in self._replicas.items() if state}
        for process in self._processes:
            found = {
                key: "draining" if replica.draining else "ready"
                for key, replica in process.feed.replicas.items()
            }
            assert found == expected
            assert process.feed.configuration_version == self._version
            zones = {key.removeprefix(_EVACUATIONS) for key in self._evacuated}
            assert self._list_zones(process) == zones
