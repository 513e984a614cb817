"""Stand in for a server that answers each request with the same bytes."""

import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from functools import partial

import h11
import trio

RESET = struct.pack("ii", 1, 0)
"""Socket option of a connection that is closed with a reset."""

REQUEST_ID = b"%id"
"""Stands for the ID of the request in an answer."""


@dataclass(frozen=True)
class RawAnswer:
    """Define the bytes of an answer, and how the connection ends."""

    data: bytes
    is_reset: bool = False


@dataclass
class RawReplica:
    """Answer each request on a connection of its own."""

    answer: RawAnswer
    address: str = ""
    received: int = 0

    async def handle(self, stream: trio.SocketStream) -> None:
        """Read a request, answer it and close the connection."""
        with suppress(trio.BrokenResourceError, h11.RemoteProtocolError):
            request_id = await _read_request_id(stream)
            if request_id is None:
                return
            self.received += 1
            await stream.send_all(self.answer.data.replace(REQUEST_ID, request_id))
            if self.answer.is_reset:
                # What was sent is read before the reset discards it.
                await trio.sleep(0.02)
                stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, RESET)


async def _read_request_id(stream: trio.SocketStream) -> bytes | None:
    connection, request_id = h11.Connection(h11.SERVER), b"-"
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65_536))
        elif isinstance(event, h11.Request):
            request_id = dict(event.headers).get(b"x-request-id", b"-")
        elif isinstance(event, h11.EndOfMessage):
            return request_id
        elif isinstance(event, h11.ConnectionClosed):
            return None


@asynccontextmanager
async def serve_raw(answer: RawAnswer) -> AsyncIterator[RawReplica]:
    """Run a replica until the end of the context."""
    replica = RawReplica(answer)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(trio.serve_tcp, replica.handle, 0, host="127.0.0.1")
        )
        replica.address = "{}:{}".format(*listeners[0].socket.getsockname())
        yield replica
        nursery.cancel_scope.cancel()
