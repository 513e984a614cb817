"""Call the target of an agent."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import httpcore

from hyssopvane._internal.protocol.messages import Headers

_CONNECT_TIMEOUT_S = 2.0
# One agent serves one target, and the scheduler's limit is far lower. This limit only
# keeps a fault from exhausting the file descriptors of the VM.
_MAX_CONNECTIONS = 1_000


class TargetUnreachable(Exception):
    """Report that no byte of a call reached the target."""


class TargetFailed(Exception):
    """Report that a call may have reached the target and has no complete answer."""


class TargetClient:
    """Pool the connections to one target."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._host = address.encode()
        self._pool = httpcore.AsyncConnectionPool(
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
    ) -> AsyncIterator[httpcore.Response]:
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
                yield response
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise TargetUnreachable(str(error)) from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
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
