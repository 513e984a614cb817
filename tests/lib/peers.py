"""Connect both ends of an internal connection in memory."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

import trio
import trio.testing

from hyssopvane._internal.protocol.messages import (
    PROTOCOL_VERSION,
    Heartbeat,
    Hello,
    Open,
)
from hyssopvane._internal.transport.peer_connection import (
    ConnectionTimes,
    PeerConnection,
    PeerHandler,
    PeerStream,
)

TOKEN = "0123456789abcdef"
TIMES = ConnectionTimes(heartbeat_s=0.5, silence_s=3.0)
ServeStream = Callable[[PeerStream, Open], Awaitable[None]]


def make_hello(
    vm: str, *, version: int = PROTOCOL_VERSION, token: str = TOKEN
) -> Hello:
    """Return the hello message of a test peer."""
    return Hello(version, "test", vm, "arima", 1, token)


def make_opening(**changes: Any) -> Open:
    """Return an opening with minimal values, changed as given."""
    opening = Open(
        request_id="r",
        attempt=b"a" * 16,
        incarnation=1,
        customer="clerks",
        method="GET",
        path=b"/",
        headers=(),
        deadline_ms=1_000,
    )
    return replace(opening, **changes)


class RecordingHandler(PeerHandler):
    """Serve streams with a function and record heartbeats and notices."""

    def __init__(self, serve: ServeStream | None = None) -> None:
        self.serve = serve
        self.heartbeats: list[Heartbeat] = []
        self.health = Heartbeat(sequence=0)
        self.notices: list[tuple[str, bytes]] = []

    def describe_health(self) -> Heartbeat:
        return self.health

    def receive_heartbeat(self, peer: PeerConnection, heartbeat: Heartbeat) -> None:
        self.heartbeats.append(heartbeat)

    async def serve_stream(self, stream: PeerStream, opening: Open) -> None:
        if self.serve is not None:
            await self.serve(stream, opening)

    async def answer_question(
        self, peer: PeerConnection, topic: str, body: bytes
    ) -> bytes:
        return topic.encode() + b":" + body

    def receive_notice(self, peer: PeerConnection, topic: str, body: bytes) -> None:
        self.notices.append((topic, body))


@dataclass
class Pair:
    """Hold both ends of a connection, with their handlers and streams."""

    opener: PeerConnection
    accepter: PeerConnection
    opener_handler: RecordingHandler
    accepter_handler: RecordingHandler
    opener_stream: trio.abc.Stream
    accepter_stream: trio.abc.Stream


@asynccontextmanager
async def connect_pair(serve: ServeStream | None = None) -> AsyncIterator[Pair]:
    """Run both ends of a connection within the `async with` block."""
    near, far = trio.testing.memory_stream_pair()
    handlers = RecordingHandler(), RecordingHandler(serve)
    opener = PeerConnection(
        near, hello=make_hello("a"), handler=handlers[0], times=TIMES, opener=True
    )
    accepter = PeerConnection(
        far, hello=make_hello("b"), handler=handlers[1], times=TIMES, opener=False
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(accepter.run)
        await nursery.start(opener.run)
        yield Pair(opener, accepter, *handlers, near, far)
        nursery.cancel_scope.cancel()
