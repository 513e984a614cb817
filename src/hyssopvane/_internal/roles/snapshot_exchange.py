"""Share the state of the store with peers that can't read it.

The store may refuse some machines while it serves the operators and all others. A
refused machine would continue with removed routes and keys, and only callers would
notice. The snapshot of its peers reaches it within a second.
"""

from random import Random
from typing import Any

import trio

from hyssopvane._internal.coordination.routing_feed import RoutingFeed
from hyssopvane._internal.exceptions import ProtocolError
from hyssopvane._internal.protocol.group_messages import (
    decode_store_snapshot,
    encode_store_snapshot,
)
from hyssopvane._internal.state.group import EntryState
from hyssopvane._internal.state.store_position import StorePosition
from hyssopvane._internal.transport.asgi_messages import (
    send_response,
    serve_lifespan,
)
from hyssopvane._internal.transport.replica_client import (
    PartLimit,
    ReplicaClient,
    ReplicaFailed,
    ReplicaUnreachable,
)
from hyssopvane._internal.utils.logs import log_event

SNAPSHOT_PATH = "/beliefs"

FETCH_DELAY_S = 0.25
"""Wait for an update from the store itself before a peer is queried.

Such updates arrive within milliseconds, and a query costs traffic between zones.
"""

FETCH_TIMEOUT_S = 1.0
MAX_BYTES = 16 * 1024 * 1024
SEED_INTERVAL_S = 0.5

_OK = 200


class SnapshotExchange:
    """Fetch newer snapshots of the store from peers, and serve the own one.

    One is fetched at a time. A snapshot may take most of a second of the machine's
    link, and all other traffic of the machine waits behind what is fetched.
    """

    def __init__(
        self, feed: RoutingFeed, *, seeds: tuple[str, ...], random: Random
    ) -> None:
        self._feed = feed
        self._seeds = seeds
        self._random = random
        self._client = ReplicaClient()
        self._nursery: trio.Nursery | None = None
        self._newer: dict[str, EntryState] = {}
        """States of peers that have newer snapshots, by the address to fetch from."""
        self._is_fetching = False
        """Whether a task fetches the snapshots of these peers."""
        self._turn = trio.Lock()
        """Held while a snapshot is fetched."""

    def start(self, nursery: trio.Nursery) -> None:
        """Start to poll the seeds until a configuration is known."""
        self._nursery = nursery
        if self._seeds:
            nursery.start_soon(self._fetch_from_seeds)

    async def close(self) -> None:
        """Close the connections to peers."""
        await self._client.close()

    def observe(self, peer: EntryState) -> None:
        """Fetch the snapshot of a peer if its state is newer than the own one."""
        if not self._is_newer(peer):
            return
        self._newer[peer.beliefs] = peer
        if not self._is_fetching:
            assert self._nursery is not None
            self._is_fetching = True
            self._nursery.start_soon(self._fetch_newer)

    async def answer(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer a peer's request with the own snapshot."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        known = scope["path"] == SNAPSHOT_PATH
        body = encode_store_snapshot(self._feed.export()) if known else b""
        await send_response(send, status=_OK if known else 404, headers=(), body=body)

    def _is_newer(self, peer: EntryState) -> bool:
        feed = self._feed
        known = StorePosition(peer.replicas_era, peer.replicas_revision)
        evacuations = feed.evacuations
        return (
            peer.configuration_version > feed.configuration_version
            or known > feed.replicas_position
            or (
                evacuations is not None
                and peer.evacuations_changed_at > evacuations.position
            )
        )

    async def _fetch_newer(self) -> None:
        tried: set[str] = set()
        try:
            await trio.sleep(FETCH_DELAY_S)
            while True:
                async with self._turn:
                    address = self._choose_peer(tried)
                    if address is None:
                        return
                    tried.add(address)
                    await self._fetch(address)
        finally:
            self._is_fetching = False

    def _choose_peer(self, tried: set[str]) -> str | None:
        """Return the address of a peer with the newest snapshot, None if none is newer.

        It is drawn among those of the same age, as many processes hear the same peers.
        """
        self._newer = {
            address: peer
            for address, peer in self._newer.items()
            if self._is_newer(peer) and address not in tried
        }
        if not self._newer:
            return None
        newest = max(map(_get_age_key, self._newer.values()))
        return self._random.choice(
            [
                address
                for address, peer in self._newer.items()
                if _get_age_key(peer) == newest
            ]
        )

    async def _fetch_from_seeds(self) -> None:
        # After a restart during a store outage only peers have the configuration.
        await trio.sleep(SEED_INTERVAL_S)
        while not self._feed.is_ready():
            for seed in self._seeds:
                async with self._turn:
                    if not self._feed.is_ready():
                        await self._fetch(seed)
            await trio.sleep(SEED_INTERVAL_S)

    async def _fetch(self, address: str) -> None:
        began_at = trio.current_time()
        try:
            with trio.fail_after(FETCH_TIMEOUT_S) as scope:
                async with self._client.call(
                    address,
                    method="GET",
                    target=SNAPSHOT_PATH.encode(),
                    headers=((b"host", b"peer"),),
                ) as response:
                    limit = PartLimit(scope, part_s=FETCH_TIMEOUT_S)
                    body = await response.read(max_bytes=MAX_BYTES, limit=limit)
            snapshot = decode_store_snapshot(body)
        except (
            ReplicaUnreachable,
            ReplicaFailed,
            ProtocolError,
            trio.TooSlowError,
        ) as error:
            log_event(
                "info",
                "beliefs-unavailable",
                peer=address,
                why=repr(error),
                took_ms=_to_ms(began_at),
            )
            return
        self._feed.merge(snapshot)
        log_event(
            "info",
            "beliefs-merged",
            peer=address,
            configuration_revision=snapshot.configuration_revision,
            replicas_revision=snapshot.replicas_revision,
            era=snapshot.replicas_era,
            bytes=len(body),
            took_ms=_to_ms(began_at),
        )


def _to_ms(since: float) -> int:
    return round((trio.current_time() - since) * 1_000)


def _get_age_key(peer: EntryState) -> tuple[int, StorePosition, StorePosition]:
    """Return a key that is higher for a newer snapshot."""
    return (
        peer.configuration_version,
        StorePosition(peer.replicas_era, peer.replicas_revision),
        peer.evacuations_changed_at,
    )
