"""Simulate a replica of the direct path and its faults over raw HTTP."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

import h11
import trio


@dataclass
class Received:
    """Hold a request as the replica received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Behave = Callable[["DirectReplica", trio.SocketStream, Received], Awaitable[bool]]
"""Answer a request; return whether the connection stays open."""


@dataclass
class DirectReplica:
    """Receive requests on loopback, and answer them with the function of a test."""

    id: str
    behave: Behave
    address: str = ""
    received: list[Received] = field(default_factory=list)
    running: int = 0
    cancelled: int = 0
    """Requests whose connection was closed while they ran."""

    async def serve(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            await self._serve_requests(stream)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* h11.RemoteProtocolError:
            # The peer disconnected within a request.
            await trio.aclose_forcefully(stream)

    async def _serve_requests(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            request = await _read_request(connection, stream)
            if request is None:
                return
            self.received.append(request)
            if not await self._run(stream, request):
                await stream.aclose()
                return
            connection = h11.Connection(h11.SERVER)

    async def _run(self, stream: trio.SocketStream, request: Received) -> bool:
        kept = True

        async def work() -> None:
            nonlocal kept
            kept = await self.behave(self, stream, request)
            nursery.cancel_scope.cancel()

        async def watch() -> None:
            with suppress(ConnectionError):
                await stream.socket.recv(1, trio.socket.MSG_PEEK)
            self.cancelled += 1
            nursery.cancel_scope.cancel()

        self.running += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(work)
                nursery.start_soon(watch)
        finally:
            self.running -= 1
        return kept


async def _read_request(
    connection: h11.Connection, stream: trio.SocketStream
) -> Received | None:
    request: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65_536))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert request is not None
            headers = {name.decode(): value.decode() for name, value in request.headers}
            return Received(
                request.method.decode(), request.target.decode(), headers, body
            )
        else:
            return None


def make_answer(
    request: Received,
    *,
    status: int = 200,
    body: bytes = b"whole answer",
    signed: bool = True,
    headers: tuple[tuple[str, str], ...] = (),
    request_id: str | None = None,
    length: int | None = None,
) -> bytes:
    """Return an HTTP answer as bytes."""
    lines = [f"HTTP/1.1 {status} Word"]
    echoed = (
        request.headers.get("x-request-id", "") if request_id is None else request_id
    )
    fields = [("X-Request-Id", echoed)]
    if signed:
        fields.append(("X-Response-Signature", "signature-of-the-replica"))
    fields += list(headers)
    if not any(name == "Transfer-Encoding" for name, _ in fields):
        size = len(body) if length is None else length
        fields.append(("Content-Length", str(size)))
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def answer_whole(
    replica: DirectReplica, stream: trio.SocketStream, request: Received
) -> bool:
    """Send a complete and signed answer."""
    await stream.send_all(make_answer(request))
    return True


def make_event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: token%d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM_HEAD = (("Transfer-Encoding", "chunked"), ("Content-Type", "text/event-stream"))
