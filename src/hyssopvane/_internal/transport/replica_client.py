"""Call replicas over kept connections, and tell what a failure proves."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import h11
import httpcore
import trio

from hyssopvane._internal.protocol.headers import index_headers
from hyssopvane._internal.protocol.messages import Headers
from hyssopvane._internal.transport.addresses import parse_address
from hyssopvane._internal.transport.raw_stream import (
    RawStream,
    open_stream,
)

CONNECT_TIMEOUT_S = 1.0
"""Time for a connection; one lost packet of the handshake fits in, two don't."""

DEFAULT_IDLE_TIMEOUT_S = 8.0
"""Time that an idle connection is kept where the replica names none."""

MAX_READ_S = 20.0
"""Time that a body may take whose parts keep coming: 16 MB at 6 Mbit/s."""

MAX_IDLE_CONNECTIONS = 8
"""Idle connections kept to a replica; more than it works on at once helps nobody."""

_KEEP_ALIVE_SHARE = 0.7
"""Part of the replica's own time after which a connection is no longer used.

A request that crosses the replica's close may or may not have been read, and one that
may not be repeated would fail for nothing.
"""


# httpcore compares the origins of a connection and its requests; the connection here is
# made beforehand, so one name serves for all.
_ORIGIN = httpcore.Origin(b"http", b"replica", 80)


class ReplicaUnreachable(Exception):
    """Tell that no byte of a request left for the replica."""


class CallWithdrawn(Exception):
    """Tell that a call was given up before a byte of it left."""


class ReplicaFailed(Exception):
    """Tell that a request was sent and has no whole answer."""


@dataclass(slots=True)
class _PooledConnection:
    connection: httpcore.AsyncHTTP11Connection
    stream: RawStream
    usable_until: float


class PartLimit:
    """Bound the time between two parts of a body instead of the whole of it.

    A large document takes more than a second over a thin link. With one bound for all
    of it, it would be asked for again and again, never read to its end, and would fill
    the link meanwhile.
    """

    def __init__(self, scope: trio.CancelScope, *, part_s: float) -> None:
        self._scope = scope
        self._part_s = part_s
        self._final_deadline = scope.deadline + MAX_READ_S

    def extend_deadline(self) -> None:
        """Allow as long again for the next part, within the longest time in all."""
        next_at = trio.current_time() + self._part_s
        self._scope.deadline = min(next_at, self._final_deadline)


class AnswerHead:
    """Hold the status and the headers of a response."""

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers
        self.fields = index_headers(headers)


class ReplicaResponse(AnswerHead):
    """Read one response."""

    def __init__(self, response: httpcore.Response) -> None:
        super().__init__(response.status, tuple(response.headers))
        self._response = response

    async def iterate(self) -> AsyncIterator[bytes]:
        """Give the parts of the body; raise `ReplicaFailed` when it breaks off."""
        try:
            async for part in self._response.aiter_stream():
                yield part
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise ReplicaFailed(f"{type(error).__name__}: {error}") from error

    async def read(self, *, max_bytes: int, limit: "PartLimit | None" = None) -> bytes:
        """Return the whole body."""
        parts: list[bytes] = []
        size = 0
        async for part in self.iterate():
            size += len(part)
            if limit is not None:
                limit.extend_deadline()
            if size > max_bytes:
                raise ReplicaFailed(f"the body is over {max_bytes} bytes")
            parts.append(part)
        return b"".join(parts)


class ReplicaClient:
    """Keep the connections of one process to replicas, by address."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_PooledConnection]] = {}
        self.opened = 0
        """Connections that were opened since the start."""

    @asynccontextmanager
    async def call(
        self,
        address: str,
        *,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes = b"",
        may_send: Callable[[], bool] = lambda: True,
        observe_late: Callable[[AnswerHead], None] | None = None,
    ) -> AsyncIterator[ReplicaResponse]:
        """Send a request and give its response; a cancelled call closes the connection.

        Whether it may still be sent is asked once the connection is open. The head of
        an answer that comes as the call is cancelled goes to `observe_late`. Raise
        `CallWithdrawn`, `ReplicaUnreachable` or `ReplicaFailed`.
        """
        pooled = await self._acquire(address)
        if not may_send():
            await pooled.connection.aclose()
            raise CallWithdrawn(address)
        pooled.stream.sent = False
        request = httpcore.Request(
            method,
            httpcore.URL(
                scheme=_ORIGIN.scheme,
                host=_ORIGIN.host,
                port=_ORIGIN.port,
                target=target,
            ),
            headers=list(headers),
            content=body,
        )
        response: httpcore.Response | None = None
        pooled.stream.awaits_answer = observe_late is not None
        try:
            try:
                response = await pooled.connection.handle_async_request(request)
            except trio.Cancelled:
                late = _read_head(pooled.stream.late_answer)
                if observe_late is not None and late is not None:
                    observe_late(late)
                raise
            except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                why = f"{type(error).__name__}: {error}"
                if pooled.stream.sent:
                    raise ReplicaFailed(why) from error
                raise ReplicaUnreachable(why) from error
            pooled.stream.awaits_answer = False
            wrapped = ReplicaResponse(response)
            yield wrapped
            await response.aclose()
            self._release(address, pooled, wrapped)
            pooled = None  # type: ignore[assignment]
        finally:
            if pooled is not None:
                with trio.CancelScope(shield=True), trio.move_on_after(1):
                    await pooled.connection.aclose()

    async def close(self) -> None:
        """Close the connections that wait for a request."""
        for address in tuple(self._idle):
            await self.close_idle(address)

    async def close_idle(self, address: str) -> None:
        """Close the waiting connections to an address whose replica has gone."""
        for pooled in self._idle.pop(address, ()):
            await pooled.connection.aclose()

    async def _acquire(self, address: str) -> _PooledConnection:
        now = trio.current_time()
        idle = self._idle.get(address, [])
        while idle:
            pooled = idle.pop()
            if now < pooled.usable_until and not pooled.connection.has_expired():
                return pooled
            await pooled.connection.aclose()
        host, port = parse_address(address)
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = RawStream(await open_stream(host, port))
        except (OSError, trio.TooSlowError) as error:
            raise ReplicaUnreachable(repr(error)) from error
        self.opened += 1
        connection = httpcore.AsyncHTTP11Connection(_ORIGIN, stream)
        return _PooledConnection(connection, stream, now)

    def _release(
        self, address: str, pooled: _PooledConnection, response: ReplicaResponse
    ) -> None:
        idle = self._idle.setdefault(address, [])
        if (
            not pooled.connection.is_idle()
            or _has_surplus(pooled)
            or len(idle) >= MAX_IDLE_CONNECTIONS
        ):
            # Closed by hand: the pool of httpcore does not know this connection.
            trio.lowlevel.spawn_system_task(pooled.connection.aclose)
            return
        pooled.usable_until = trio.current_time() + _read_idle_timeout_s(response)
        idle.append(pooled)


def _read_head(data: bytes) -> AnswerHead | None:
    """Return the head of an answer, None where it is not whole or no answer."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "replica")]))
    parser.send(h11.EndOfMessage())
    try:
        parser.receive_data(data)
        event = parser.next_event()
    except h11.RemoteProtocolError:
        return None
    if not isinstance(event, h11.Response):
        return None
    return AnswerHead(event.status_code, tuple(event.headers))


def _has_surplus(pooled: _PooledConnection) -> bool:
    # A faulty replica sends bytes behind a whole answer. They would be read as the
    # answer to the next request on this connection, whose caller would get another
    # caller's answer. httpcore looks at the socket only, not at what it has read.
    state: Any = pooled.connection._h11_state
    surplus: bytes = state.trailing_data[0]
    return bool(surplus) or pooled.stream.get_extra_info("is_readable")


def _read_idle_timeout_s(response: ReplicaResponse) -> float:
    for part in response.fields.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name == b"timeout" and value.isdigit():
            return int(value) * _KEEP_ALIVE_SHARE
    return DEFAULT_IDLE_TIMEOUT_S
