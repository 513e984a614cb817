"""Call replicas over pooled connections, and classify failures by what was sent."""

import errno
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import h11
import trio

from hyssopvane._internal.protocol.headers import index_headers
from hyssopvane._internal.protocol.messages import Headers
from hyssopvane._internal.transport.addresses import parse_address
from hyssopvane._internal.transport.buffer_guard import BufferGuard, GuardedCall
from hyssopvane._internal.transport.caller_presence import (
    ASSUMED_PRESENCE,
    CallerPresence,
)
from hyssopvane._internal.transport.client_connection import (
    ClientConnection,
    InvalidMessage,
)
from hyssopvane._internal.transport.raw_stream import (
    NetworkError,
    RawStream,
    open_stream,
)
from hyssopvane._internal.utils.answer_heads import HeadChecker, InvalidHead

CONNECT_TIMEOUT_S = 1.0
"""Time limit of connecting; it allows for one lost handshake packet, not for two."""

DEFAULT_IDLE_TIMEOUT_S = 8.0
"""Time that an idle connection is kept when the replica announces no timeout."""

MAX_READ_S = 20.0
"""Time limit of a body that makes steady progress: 16 MB at 6 Mbit/s."""

MAX_IDLE_CONNECTIONS = 8
"""Idle connections kept per replica; more than its concurrency would be useless."""

MIN_IDLE_TIMEOUT_S = 4.0
"""Time for which a replica that announces no timeout does not close idle connections.

Servers wait for 5 s or more as a rule. One that closes them sooner may have restarted.
"""

_KEEP_ALIVE_SHARE = 0.7
"""Share of the replica's idle timeout after which a connection is no longer used.

A request that is sent while the replica closes the connection may or may not have been
read, and a request that is not repeatable would fail needlessly.
"""


_STATUSES_WITHOUT_BODY = frozenset({204, 304})

_LOCAL_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
"""Errors by which this machine lacks descriptors, memory or ports for a connection."""


class ReplicaUnreachable(Exception):
    """Report that no byte of a request was sent to the replica."""


class ReplicaRefused(ReplicaUnreachable):
    """Report that no connection to the replica could be opened."""


class CallWithdrawn(Exception):
    """Report that a call was withdrawn before any byte of it was sent."""


class ReplicaFailed(Exception):
    """Report that a request was sent and has no complete answer."""


class ReplicaLost(ReplicaFailed):
    """Report that the connection ended before the answer was complete."""


@dataclass(slots=True)
class _PooledConnection:
    connection: ClientConnection
    stream: RawStream
    usable_until: float
    kept_until: float
    """Time before which the replica closes it only if it ends."""

    def describe_cancelled(self) -> "CancelledCall":
        """Return what was done with the connection."""
        stream = self.stream
        return CancelledCall(
            stream.port, stream.sent, stream.is_closed, stream.is_reset
        )


@dataclass(frozen=True, slots=True)
class CancelledCall:
    """Describe what was done with the connection of a cancelled call."""

    port: int
    """Local port of the connection."""
    sent: bool
    """Whether any byte of the request may have been sent."""
    closed: bool
    reset: bool
    """Whether the kernel discards what the replica has not received yet."""


class PartLimit:
    """Limit the time between two parts of a body, instead of the time of all parts.

    A large document takes more than a second over a slow link. With one limit for all
    of it, it would be requested again and again without ever being read to its end, and
    would saturate the link.
    """

    def __init__(self, scope: trio.CancelScope, *, part_s: float) -> None:
        self._scope = scope
        self._part_s = part_s
        self._final_deadline = scope.deadline + MAX_READ_S

    def extend_deadline(self) -> None:
        """Restart the limit for the next part, within the limit of the whole body."""
        next_at = trio.current_time() + self._part_s
        self._scope.deadline = min(next_at, self._final_deadline)


class AnswerHead:
    """Hold the status and headers of a response."""

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers
        self.fields = index_headers(headers)


class ReplicaResponse(AnswerHead):
    """Hold a response whose body is still to be read."""

    def __init__(
        self,
        status: int,
        headers: Headers,
        connection: ClientConnection,
        guarded: GuardedCall | None = None,
    ) -> None:
        super().__init__(status, headers)
        self._connection = connection
        self._guarded = guarded

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        framed = b"content-length" in self.fields or b"transfer-encoding" in self.fields
        return self.status not in _STATUSES_WITHOUT_BODY and not framed

    def make_failure(self, why: str) -> "ReplicaFailed":
        """Return the failure of an answer that is found to be incomplete."""
        has_ended = self._connection.stream.has_ended
        return (ReplicaLost if has_ended else ReplicaFailed)(why)

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; raise `ReplicaFailed` when it is incomplete."""
        while part := await self._read_part():
            yield part

    async def read(self, *, max_bytes: int, limit: "PartLimit | None" = None) -> bytes:
        """Return the body; raise `ReplicaFailed` when it exceeds `max_bytes`."""
        body, length = bytearray(), self._read_length()
        while part := await self._read_part():
            if not body and length is not None:
                # An answer to HEAD has a length and no body.
                await self._wait_for_room(length, max_bytes)
            body += part
            if limit is not None:
                limit.extend_deadline()
            if len(body) > max_bytes:
                raise ReplicaFailed(f"the body exceeds {max_bytes} bytes")
            if self._guarded is not None:
                self._guarded.hold(len(part))
                if length is None:
                    self.record_unfinished(len(body))
        if self._guarded is not None:
            # The request of the caller counts it from now on.
            self._guarded.hold(-len(body))
            self._guarded.end_reading()
        return bytes(body)

    def record_unfinished(self, size: int) -> None:
        """Record how much of the body is held until it, or an event, is complete."""
        if self._guarded is not None:
            self._guarded.record_unfinished(size)
            self._check_room()

    async def _wait_for_room(self, length: int, max_bytes: int) -> None:
        if length > max_bytes:
            raise ReplicaFailed(f"the body exceeds {max_bytes} bytes")
        if self._guarded is not None:
            await self._guarded.wait_for_room(length)

    def _check_room(self) -> None:
        if self._guarded is not None and self._guarded.is_given_up:
            raise ReplicaFailed("there is no room for the answer, which has no length")

    def _read_length(self) -> int | None:
        length = self.fields.get(b"content-length", b"")
        return int(length) if length.isdigit() else None

    async def _read_part(self) -> bytes:
        try:
            part = await self._connection.read_part()
            if self._guarded is not None:
                self._guarded.record_received(len(part))
            return part
        except (NetworkError, InvalidMessage) as error:
            self._check_room()
            raise _make_failure(error, self._connection.stream) from error


class ReplicaClient:
    """Pool the connections of one process to replicas, by address."""

    def __init__(self, *, guard: BufferGuard | None = None) -> None:
        self._guard = guard
        """Bounds what is held for slow replicas; None to send each body at once."""
        self._idle: dict[str, list[_PooledConnection]] = {}
        self.opened = 0
        """Number of connections opened since the start."""
        self.observe_closed: Callable[[str], None] = lambda address: None
        """Callback with the address of a replica that has closed all connections."""

    @asynccontextmanager
    async def call(
        self,
        address: str,
        *,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes = b"",
        service: str = "",
        presence: CallerPresence = ASSUMED_PRESENCE,
        may_send: Callable[[Callable[[], None]], bool] = lambda abort: True,
        observe_late: Callable[[AnswerHead], None] | None = None,
        observe_cancelled: Callable[[CancelledCall], None] | None = None,
    ) -> AsyncIterator[ReplicaResponse]:
        """Send a request and yield its response; close the connection when cancelled.

        Nothing is sent before the `presence` of the caller is known. `may_send` is
        called once the connection is open, with a function by which another task may
        end the call as if the connection had broken. `observe_late`
        gets the head of an answer that arrives as the call is cancelled, and
        `observe_cancelled` what was then done with the connection. Raise
        `CallWithdrawn`, `ReplicaUnreachable` or `ReplicaFailed`.
        """
        pooled = await self._acquire_for(presence, address)
        if not may_send(pooled.stream.abort):
            await pooled.connection.aclose()
            raise CallWithdrawn(address)
        pooled.stream.sent = False
        pooled.stream.wait_before_part = presence.wait_until_known
        pooled.stream.exchanging = True
        pooled.stream.awaits_answer = observe_late is not None
        guarded = self._open_account(address, pooled.stream, body, service)
        cancelled = False
        try:
            try:
                head = await pooled.connection.exchange(method, target, headers, body)
            except trio.Cancelled:
                late = _read_head(pooled.stream.late_answer)
                if observe_late is not None and late is not None:
                    observe_late(late)
                raise
            except (NetworkError, InvalidMessage) as error:
                if guarded is not None and guarded.is_cut:
                    # The replica has not ended, so this is no loss.
                    raise ReplicaFailed("the request is not read") from error
                if pooled.stream.sent:
                    raise _make_failure(error, pooled.stream) from error
                raise ReplicaUnreachable(_describe(error)) from error
            pooled.stream.awaits_answer = False
            if guarded is not None:
                guarded.end_sending()
            response = ReplicaResponse(
                head.status_code,
                tuple(head.headers.raw_items()),
                pooled.connection,
                guarded,
            )
            yield response
            await pooled.connection.finish()
            pooled.stream.exchanging = False
            pooled.stream.observe_sent = None
            pooled.stream.wait_before_part = None
            self._release(address, pooled, response)
            pooled = None  # type: ignore[assignment]
        except trio.Cancelled:
            cancelled = True
            raise
        finally:
            if guarded is not None:
                guarded.close()
            if pooled is not None:
                pooled.stream.observe_sent = None
                with trio.CancelScope(shield=True), trio.move_on_after(1):
                    await pooled.connection.aclose()
                if cancelled and observe_cancelled is not None:
                    observe_cancelled(pooled.describe_cancelled())

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to an address is still open."""
        return any(
            not pooled.connection.has_expired()
            for pooled in self._idle.get(address, ())
        )

    async def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            await self.close_idle(address)

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to an address whose replica is gone."""
        for pooled in self._idle.pop(address, ()):
            await pooled.connection.aclose()

    def _open_account(
        self, address: str, stream: RawStream, body: bytes, service: str
    ) -> GuardedCall | None:
        if self._guard is None:
            return None
        guarded = GuardedCall(
            self._guard,
            address,
            stream.stop_sending,
            service=service,
            abort=stream.abort,
        )
        guarded.begin_sending(len(body))
        stream.observe_sent = guarded.record_sent
        return guarded

    async def _acquire_for(
        self, presence: CallerPresence, address: str
    ) -> _PooledConnection:
        """Return a connection once the caller is known to be there."""
        await presence.wait_until_known()
        pooled = await self._acquire(address)
        # While the connection was being opened, the process may have stood still.
        while not presence.is_known():
            try:
                await presence.wait_until_known()
            except trio.Cancelled:
                pooled.stream.abort()
                raise
            if pooled.connection.has_expired():
                await pooled.connection.aclose()
                pooled = await self._acquire(address)
        return pooled

    async def _acquire(self, address: str) -> _PooledConnection:
        now = trio.current_time()
        idle = self._idle.get(address, [])
        has_closed = False
        while idle:
            pooled = idle.pop()
            is_open = not pooled.connection.has_expired()
            if now < pooled.usable_until and is_open:
                return pooled
            has_closed |= not is_open and now < pooled.kept_until
            await pooled.connection.aclose()
        if has_closed:
            self.observe_closed(address)
        host, port = parse_address(address)
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = RawStream(await open_stream(host, port))
        except (OSError, trio.TooSlowError) as error:
            if getattr(error, "errno", None) in _LOCAL_ERRORS:
                # This says nothing about the replica, which would count as cold.
                raise ReplicaUnreachable(repr(error)) from error
            raise ReplicaRefused(repr(error)) from error
        self.opened += 1
        return _PooledConnection(ClientConnection(stream), stream, now, now)

    def _release(
        self, address: str, pooled: _PooledConnection, response: ReplicaResponse
    ) -> None:
        idle = self._idle.setdefault(address, [])
        if (
            not pooled.connection.is_idle
            or _has_surplus(pooled)
            or len(idle) >= MAX_IDLE_CONNECTIONS
        ):
            trio.lowlevel.spawn_system_task(pooled.connection.aclose)
            return
        now, announced_s = trio.current_time(), _read_idle_timeout_s(response)
        if announced_s is None:
            pooled.usable_until = now + DEFAULT_IDLE_TIMEOUT_S
            pooled.kept_until = now + MIN_IDLE_TIMEOUT_S
        else:
            pooled.usable_until = pooled.kept_until = now + announced_s
        idle.append(pooled)


def _make_failure(error: Exception, stream: RawStream) -> ReplicaFailed:
    return (ReplicaLost if stream.has_ended else ReplicaFailed)(_describe(error))


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _read_head(data: bytes) -> AnswerHead | None:
    """Return the head of an answer, None when it is incomplete or malformed."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "replica")]))
    parser.send(h11.EndOfMessage())
    try:
        HeadChecker().check(data)
        parser.receive_data(data)
        event = parser.next_event()
    except (InvalidHead, h11.RemoteProtocolError):
        return None
    if not isinstance(event, h11.Response):
        return None
    return AnswerHead(event.status_code, tuple(event.headers))


def _has_surplus(pooled: _PooledConnection) -> bool:
    # A faulty replica may send bytes after a complete answer. They would be read as the
    # answer to the next request on this connection, whose caller would get another
    # caller's answer.
    return pooled.connection.has_surplus or pooled.stream.is_readable()


def _read_idle_timeout_s(response: ReplicaResponse) -> float | None:
    for part in response.fields.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name == b"timeout" and value.isdigit():
            return int(value) * _KEEP_ALIVE_SHARE
    return None
