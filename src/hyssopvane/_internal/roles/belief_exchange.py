"""Pass what an entry has learnt from the store on to entries that can't read it.

The store may turn away some machines while it serves the operators and all others.
A machine that it turns away would go on with routes and keys that were removed, and
nobody would see it but the callers. What its peers know reaches it within a second.
"""

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

BELIEFS_PATH = "/beliefs"

SETTLE_S = 0.25
"""Time that the store's own news get before a peer is asked: they come within
milliseconds, and asking costs bytes between zones."""

FETCH_TIMEOUT_S = 1.0
MAX_BYTES = 16 * 1024 * 1024
SEED_INTERVAL_S = 0.5

_OK = 200


class BeliefExchange:
    """Ask peers for what is newer, and answer them."""

    def __init__(self, feed: RoutingFeed, *, seeds: tuple[str, ...]) -> None:
        self._feed = feed
        self._seeds = seeds
        self._client = ReplicaClient()
        self._nursery: trio.Nursery | None = None
        self._asking: set[str] = set()

    def start(self, nursery: trio.Nursery) -> None:
        """Ask the seeds until something is known."""
        self._nursery = nursery
        if self._seeds:
            nursery.start_soon(self._ask_seeds)

    async def close(self) -> None:
        """Close the connections to peers."""
        await self._client.close()

    def observe(self, peer: EntryState) -> None:
        """Take note of how new a peer's beliefs are."""
        if self._is_newer(peer) and peer.beliefs not in self._asking:
            assert self._nursery is not None
            self._asking.add(peer.beliefs)
            self._nursery.start_soon(self._ask_later, peer)

    async def answer(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer a peer."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        known = scope["path"] == BELIEFS_PATH
        body = encode_store_snapshot(self._feed.export()) if known else b""
        await send_response(send, status=_OK if known else 404, headers=(), body=body)

    def _is_newer(self, peer: EntryState) -> bool:
        feed = self._feed
        known = StorePosition(peer.replicas_era, peer.replicas_revision)
        return (
            peer.configuration_version > feed.configuration_version
            or known > feed.replicas_position
        )

    async def _ask_later(self, peer: EntryState) -> None:
        try:
            await trio.sleep(SETTLE_S)
            if self._is_newer(peer):
                await self._fetch(peer.beliefs)
        finally:
            self._asking.discard(peer.beliefs)

    async def _ask_seeds(self) -> None:
        # After a restart during an outage of the store, only peers know anything.
        await trio.sleep(SEED_INTERVAL_S)
        while not self._feed.is_ready():
            for seed in self._seeds:
                await self._fetch(seed)
            await trio.sleep(SEED_INTERVAL_S)

    async def _fetch(self, address: str) -> None:
        try:
            with trio.fail_after(FETCH_TIMEOUT_S) as scope:
                async with self._client.call(
                    address,
                    method="GET",
                    target=BELIEFS_PATH.encode(),
                    headers=((b"host", b"peer"),),
                ) as response:
                    limit = PartLimit(scope, part_s=FETCH_TIMEOUT_S)
                    body = await response.read(max_bytes=MAX_BYTES, limit=limit)
            beliefs = decode_store_snapshot(body)
        except (
            ReplicaUnreachable,
            ReplicaFailed,
            ProtocolError,
            trio.TooSlowError,
        ) as error:
            log_event("info", "beliefs-unavailable", peer=address, why=repr(error))
            return
        self._feed.merge(beliefs)
        log_event(
            "info",
            "beliefs-merged",
            peer=address,
            configuration_revision=beliefs.configuration_revision,
            replicas_revision=beliefs.replicas_revision,
            era=beliefs.replicas_era,
        )
