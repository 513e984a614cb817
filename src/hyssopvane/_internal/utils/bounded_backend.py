"""Bound what httpcore reads at once, and check the heads of answers."""

from collections.abc import AsyncIterator, Iterable
from typing import Any

import httpcore

from hyssopvane._internal.utils.answer_heads import HeadChecker, InvalidHead
from hyssopvane._internal.utils.part_meter import PartMeter, TooManyParts
from hyssopvane._internal.utils.stream_ends import follows_orderly_end

READ_BYTES = 8 * 1024
"""Bytes that are parsed before other tasks run."""

MAX_HEAD_BYTES = 128 * 1024
"""Bytes of interim answers and of the head of an answer."""

_STREAM = "network_stream"


class AnswerTooLarge(Exception):
    """Report an answer that exceeds a limit, or comes in too many parts."""


class BoundedBackend(httpcore.AsyncNetworkBackend):
    """Open connections that read a little at a time."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return _BoundedStream(stream)

    async def sleep(self, seconds: float) -> None:
        await self._backend.sleep(seconds)


class _BoundedStream(httpcore.AsyncNetworkStream):
    """Wrap a connection, and check and bound the head of each answer."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._head_bytes_left: float = MAX_HEAD_BYTES
        self._head = HeadChecker()
        self._has_broken = False
        """Whether a write failed, and not because the remote end had closed."""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        data = await self._stream.read(min(max_bytes, READ_BYTES), timeout)
        if not data and self._has_broken:
            raise httpcore.ReadError("the connection broke within the request")
        self._head_bytes_left -= len(data)
        if self._head_bytes_left < 0:
            raise httpcore.ReadError("the head of the answer is too large")
        try:
            self._head.check(data)
        except InvalidHead as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._head_bytes_left = MAX_HEAD_BYTES
        self._head = HeadChecker()
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError as error:
            # The pool goes on to read, as the answer may have been sent before.
            self._has_broken |= not follows_orderly_end(error)
            raise

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)

    def end_head(self) -> None:
        """Count no more bytes until the next request."""
        self._head_bytes_left = float("inf")


def make_bounded_pool(**options: Any) -> httpcore.AsyncConnectionPool:
    """Return a pool whose connections read a little at a time."""
    return httpcore.AsyncConnectionPool(network_backend=BoundedBackend(), **options)


async def iterate_body(response: httpcore.Response) -> AsyncIterator[bytes]:
    """Yield the parts of a body; raise `AnswerTooLarge` if they are too small."""
    stream = response.extensions.get(_STREAM)
    if isinstance(stream, _BoundedStream):
        stream.end_head()
    meter = PartMeter()
    async for part in response.aiter_stream():
        try:
            meter.record_part(len(part))
        except TooManyParts as error:
            raise AnswerTooLarge(str(error)) from error
        await meter.yield_to_others()
        yield part


async def read_body(response: httpcore.Response, *, max_bytes: int) -> bytes:
    """Return a body; raise `AnswerTooLarge` when it exceeds a size."""
    body = bytearray()
    async for part in iterate_body(response):
        body += part
        if len(body) > max_bytes:
            raise AnswerTooLarge(f"the body exceeds {max_bytes} bytes")
    return bytes(body)
