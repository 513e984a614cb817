"""Open TCP connections that detect a silent remote end."""

import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio

from hyssopvane._internal.utils.stream_ends import follows_orderly_end

ACKNOWLEDGEMENT_TIMEOUT_MS = 4_000
"""Time without an acknowledgement after which the kernel ends a connection.

A machine without power or behind a network partition does not answer, and by default
the kernel retransmits for a quarter of an hour. The limit is longer than a lost packet
and its retransmissions take on a link that drops a few percent of packets.
"""

LATE_ANSWER_S = 0.05
"""Time for which a cancelled call still waits for an answer that is in flight: one
round trip, and a margin for a busy machine."""

_MAX_LATE_ANSWER_BYTES = 64 * 1024
_SLICE_BYTES = 16 * 1024
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


class NetworkError(Exception):
    """Report that a connection has failed."""


class ReadError(NetworkError):
    """Report that nothing more can be received."""


class WriteError(NetworkError):
    """Report that nothing more can be sent."""


def _read_port(stream: trio.SocketStream) -> int:
    try:
        return int(stream.socket.getsockname()[1])
    except OSError:
        return 0


async def open_stream(host: str, port: int) -> trio.SocketStream:
    """Connect to an IPv4 address and a port; raise `OSError` when that fails."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_tcp_timeouts(sock)
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def set_tcp_timeouts(sock: trio.socket.SocketType) -> None:
    """Make the kernel end a connection whose remote end no longer answers."""
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


class RawStream:
    """Wrap a connection, and record whether any byte was sent on it."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.port = _read_port(stream)
        """Local port, by which the remote end knows the connection."""
        self.sent = False
        """Whether any byte of the current request may have been sent."""
        self.exchanging = False
        """Whether a request was sent and its answer is not complete yet."""
        self.awaits_answer = False
        """Whether no byte of the answer to the current request has been read."""
        self.late_answer = b""
        """Bytes of an answer that were received after its call was cancelled."""
        self._has_broken = False
        """Whether a write failed, and not because the remote end had closed."""
        self.has_ended = False
        """Whether the remote end has closed or reset the connection, or is silent."""
        self.is_reset = False
        """Whether closing discards what is unsent and resets the connection."""
        self.observe_sent: Callable[[int], None] | None = None
        """Is told how many bytes the kernel has taken, None to send all at once."""
        self.wait_before_part: Callable[[], Awaitable[None]] | None = None
        """Waits before each further part of a request, None to send all at once."""
        self._sending: trio.CancelScope | None = None

    async def read(self, max_bytes: int) -> bytes:
        """Return received bytes, none at the end; raise `ReadError`."""
        try:
            data = bytes(await self._stream.receive_some(max_bytes))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.has_ended = True
            raise ReadError(repr(error.__cause__ or error)) from error
        self.has_ended = not data
        if not data and self._has_broken:
            raise ReadError("the connection broke while the request was being sent")
        return data

    async def write(self, buffer: bytes) -> None:
        """Send bytes; raise `WriteError`."""
        if not buffer:
            return
        self.sent = True
        try:
            is_single = self.wait_before_part is None or len(buffer) <= _SLICE_BYTES
            if self.observe_sent is None and is_single:
                await self._stream.send_all(buffer)
                return
            with trio.CancelScope() as self._sending:
                await self._send_slices(buffer)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.has_ended = True
            self._has_broken |= not follows_orderly_end(error)
            raise WriteError(repr(error.__cause__ or error)) from error
        finally:
            sending, self._sending = self._sending, None
        if sending is not None and sending.cancelled_caught:
            raise WriteError("the remote end does not read")

    async def _send_slices(self, buffer: bytes) -> None:
        for start in range(0, len(buffer), _SLICE_BYTES):
            if start and self.wait_before_part is not None:
                await self.wait_before_part()
            part = memoryview(buffer)[start : start + _SLICE_BYTES]
            await self._stream.send_all(part)
            if self.observe_sent is not None:
                self.observe_sent(len(part))

    def stop_sending(self) -> None:
        """Give up what is being sent; reset the connection if no answer has begun."""
        is_open = self._stream.socket.fileno() >= 0
        if self._sending is not None and is_open and self.is_readable():
            self._sending.cancel()
        else:
            self.abort()

    def abort(self) -> None:
        """Reset the connection at once; a task that uses it gets an error."""
        self._discard_unsent()
        self._stream.socket.close()

    async def aclose(self) -> None:
        """Close the connection; a call that awaits its answer reads a late one."""
        if self.sent and self.awaits_answer:
            self.awaits_answer = False
            self.late_answer = await self._read_late_answer()
        if self.exchanging:
            self._discard_unsent()
        await self._stream.aclose()

    def _discard_unsent(self) -> None:
        # After an orderly close the kernel goes on to send what it holds, and the
        # request would still arrive when a stalled VM resumes or a full link recovers.
        linger = struct.pack("ii", 1, 0)
        with suppress(OSError):
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.is_reset = True

    async def _read_late_answer(self) -> bytes:
        with trio.move_on_after(LATE_ANSWER_S):
            try:
                return bytes(await self._stream.receive_some(_MAX_LATE_ANSWER_BYTES))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return b""
        return b""

    @property
    def is_closed(self) -> bool:
        """Return whether this process has closed its descriptor."""
        return self._stream.socket.fileno() < 0

    def is_readable(self) -> bool:
        """Return whether there are unread bytes, or the remote end has closed."""
        return self._stream.socket.is_readable()
