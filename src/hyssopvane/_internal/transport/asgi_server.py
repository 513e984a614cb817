"""Serve an ASGI application on a fixed port or on one chosen by the kernel."""

import socket
import sys
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

from hyssopvane._internal.transport.addresses import bind_listener, format_address
from hyssopvane._internal.transport.http_server import ConnectionPolicy, HttpServer

KEEP_ALIVE_S = 60.0
"""Time until an idle connection is closed."""

MAX_HEADER_BYTES = 16 * 1024
"""Maximum size of the request line and headers of an HTTP/1.1 request."""

MAX_HTTP2_HEADER_BYTES = 16 * 1024
"""Maximum size of the header list of an HTTP/2 request."""

MAX_HTTP2_STREAMS = 1_000
"""Maximum number of concurrent requests on an HTTP/2 connection."""

MAX_REQUESTS_PER_CONNECTION = 2**31
"""More than the stream numbers that HTTP/2 has for one connection."""

BACKLOG = 1_024
"""Maximum number of connections that the kernel queues until they are accepted."""


class NoLogger:
    """Take the place of hypercorn's logger, and log nothing."""

    def __init__(self, config: Config) -> None:
        """Ignore the configuration."""

    async def access(self, request: Any, response: Any, request_time: float) -> None:
        """Ignore an answered request."""

    async def exception(self, message: str, *arguments: Any, **named: Any) -> None:
        """Ignore an error of the application, which answers its errors itself."""

    warning = exception
    info = exception


async def serve_asgi(
    app: ASGIFramework,
    *,
    bind: str,
    graceful_timeout_s: float,
    shutdown: trio.Event,
    leaving: trio.Event | None = None,
    keep_alive_s: float = KEEP_ALIVE_S,
    policy: ConnectionPolicy | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP/1.1 and HTTP/2 until `shutdown` is set and requests have ended.

    Report the bound address as "ip:port". Once `leaving` is set, answers ask callers to
    use another connection; `shutdown` closes the listener. Requests that still run
    `graceful_timeout_s` after the shutdown are cancelled.
    """
    listener = bind_listener(bind)
    listener.listen(BACKLOG)
    server = HttpServer(
        app,
        config=_make_config(keep_alive_s=keep_alive_s),
        policy=policy or ConnectionPolicy(),
        leaving=trio.Event() if leaving is None else leaving,
        shutdown=shutdown,
        graceful_timeout_s=graceful_timeout_s,
    )
    address = format_address(listener.getsockname())
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run, listener)
        task_status.started(address)


async def serve_until_cancelled(
    app: ASGIFramework,
    bind: str,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve without graceful shutdown until cancelled; report the bound address."""
    await serve_asgi(
        app,
        bind=bind,
        graceful_timeout_s=0.0,
        shutdown=trio.Event(),
        task_status=task_status,
    )


async def serve_listener(
    app: ASGIFramework,
    listener: socket.socket,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve on a listening socket until cancelled."""
    server = HttpServer(
        app,
        config=_make_config(keep_alive_s=KEEP_ALIVE_S),
        policy=ConnectionPolicy(),
        leaving=trio.Event(),
        shutdown=trio.Event(),
        graceful_timeout_s=0.0,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run, listener)
        task_status.started()


def _make_config(*, keep_alive_s: float) -> Config:
    config = Config()
    # Hypercorn's own logger, with neither of its logs, does the same at more cost.
    config.logger_class = NoLogger  # type: ignore[assignment]
    config.keep_alive_timeout = keep_alive_s
    # By default, hypercorn ends an HTTP/2 connection after its thousandth request, and
    # with it the answers in progress.
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.h2_max_concurrent_streams = MAX_HTTP2_STREAMS
    config.h2_max_header_list_size = MAX_HTTP2_HEADER_BYTES
    config.include_server_header = False
    # By default, hypercorn sends GOAWAY on an HTTP/2 connection after a thousand
    # requests. Common clients then drop the answers in progress.
    config.keep_alive_max_requests = sys.maxsize
    return config
