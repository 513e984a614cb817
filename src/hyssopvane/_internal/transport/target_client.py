"""Call the target of an agent."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import httpcore

from hyssopvane._internal.protocol.messages import Headers
from hyssopvane._internal.utils.bounded_backend import (
    AnswerTooLarge,
    iterate_body,
    make_bounded_pool,
    read_body,
)

MAX_WHOLE_BYTES = 16 * 1024 * 1024
"""Largest body that is read whole; others are forwarded in parts."""

_CONNECT_TIMEOUT_S = 2.0
# One agent serves one target, and the scheduler's limit is far lower. This limit only
# keeps a fault from exhausting the file descriptors of the VM.
_MAX_CONNECTIONS = 1_000


class TargetUnreachable(Exception):
    """Report that no byte of a call reached the target."""


class TargetFailed(Exception):
    """Report that a call may have reached the target and has no complete answer."""


class TargetAnswer:
    """Hold the head of an answer whose body is still to be read."""

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response
        self.status = response.status
        self.headers = response.headers

    def aiter_stream(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body, and let other tasks run between them."""
        return iterate_body(self._response)

    async def aread(self) -> bytes:
        """Return the whole body, of at most `MAX_WHOLE_BYTES`."""
        return await read_body(self._response, max_bytes=MAX_WHOLE_BYTES)


class TargetClient:
    """Pool the connections to one target."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._host = address.encode()
        self._pool = make_bounded_pool(
            max_connections=_MAX_CONNECTIONS, keepalive_expiry=30.0
        )

    @asynccontextmanager
    async def call(
        self,
        *,
        method: str,
        path: bytes,
        headers: Headers,
        body: AsyncIterator[bytes] | bytes,
    ) -> AsyncIterator[TargetAnswer]:
        """Send a request and yield the response before its body is complete."""
        extensions: dict[str, Any] = {"timeout": {"connect": _CONNECT_TIMEOUT_S}}
        url = httpcore.URL(
            scheme=b"http", host=self._get_host(), port=self._get_port(), target=path
        )
        try:
            async with self._pool.stream(
                method,
                url,
                headers=[(b"host", self._host), *headers],
                content=body,
                extensions=extensions,
            ) as response:
                yield TargetAnswer(response)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise TargetUnreachable(str(error)) from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            AnswerTooLarge,
        ) as error:
            raise TargetFailed(f"{type(error).__name__}: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    def _get_host(self) -> bytes:
        host, _, _ = self._address.rpartition(":")
        return host.removeprefix("[").removesuffix("]").encode()

    def _get_port(self) -> int:
        return int(self._address.rpartition(":")[2])
