"""Open TCP connections that notice when the other end has gone silent."""

import socket
import ssl
from typing import Any

import httpcore
import trio

ACKNOWLEDGEMENT_TIMEOUT_MS = 4_000
"""Time without an acknowledgement after which the kernel ends a connection.

A machine without power, or behind a partition, answers nothing: without this limit a
send is repeated for a quarter of an hour. Longer than a lost packet and its repeats
take on a link that drops a few in a hundred.
"""

LATE_ANSWER_S = 0.05
"""Time for which a call that is given up still takes an answer that is on its way: a
round trip, and some time of a busy machine."""

_MAX_LATE_ANSWER_BYTES = 64 * 1024
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


async def open_stream(host: str, port: int) -> trio.SocketStream:
    """Connect to an IP number and a port; raise `OSError` when that fails."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_tcp_timeouts(sock)
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def set_tcp_timeouts(sock: trio.socket.SocketType) -> None:
    """Have the kernel end a connection whose other end no longer answers."""
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


class RawStream(httpcore.AsyncNetworkStream):
    """Give httpcore a connection, and remember whether any byte was sent on it."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.sent = False
        """Whether any byte of the present request may have left."""
        self.awaits_answer = False
        """Whether nothing of the present request's answer has been read."""
        self.late_answer = b""
        """What came of an answer that nobody waited for any more."""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            with trio.fail_after(_get_timeout(timeout)):
                return bytes(await self._stream.receive_some(max_bytes))
        except trio.TooSlowError as error:
            raise httpcore.ReadTimeout("no byte came in time") from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError(repr(error.__cause__ or error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not buffer:
            return
        self.sent = True
        try:
            with trio.fail_after(_get_timeout(timeout)):
                await self._stream.send_all(buffer)
        except trio.TooSlowError as error:
            raise httpcore.WriteTimeout("the other end takes no bytes") from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError(repr(error.__cause__ or error)) from error

    async def aclose(self) -> None:
        if self.sent and self.awaits_answer:
            self.awaits_answer = False
            self.late_answer = await self._read_late_answer()
        await self._stream.aclose()

    async def _read_late_answer(self) -> bytes:
        with trio.move_on_after(LATE_ANSWER_S):
            try:
                return bytes(await self._stream.receive_some(_MAX_LATE_ANSWER_BYTES))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return b""
        return b""

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        raise NotImplementedError("replicas are reached without TLS")

    def get_extra_info(self, info: str) -> Any:
        if info == "is_readable":
            return self._is_readable()
        return None

    def _is_readable(self) -> bool:
        # Bytes or an end on a connection that waits for nothing: it can't be used.
        sock = self._stream.socket
        return sock.is_readable()


def _get_timeout(timeout: float | None) -> float:
    return float("inf") if timeout is None else timeout
