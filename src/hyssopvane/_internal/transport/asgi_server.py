"""Serve an ASGI application on a kernel or a fixed port."""

import socket
import sys

import trio
from hypercorn.config import Config
from hypercorn.trio.statsd import StatsdLogger
from hypercorn.typing import ASGIFramework

from hyssopvane._internal.transport.addresses import bind_listener, format_address
from hyssopvane._internal.transport.http_server import ConnectionPolicy, HttpServer

KEEP_ALIVE_S = 60.0
"""Time that an idle connection stays open."""

MAX_HEADER_BYTES = 16 * 1024
"""Largest head of an HTTP/1.1 request."""

MAX_HTTP2_HEADER_BYTES = 16 * 1024
"""Largest header list of an HTTP/2 request."""

MAX_HTTP2_STREAMS = 1_000
"""Requests at one time on an HTTP/2 connection."""

MAX_REQUESTS_PER_CONNECTION = 2**31
"""More than the numbers of streams that HTTP/2 has for one connection."""

BACKLOG = 1_024
"""Connections that the kernel holds until they are accepted."""


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

    Report the bound address as "ip:port". From `leaving` on callers are told to use
    another connection; `shutdown` closes the listener. Requests that still run
    `graceful_timeout_s` after the shutdown are cut.
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
    """Serve a listener whose answers need no draining; report its address."""
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
    """Serve a socket that listens already, until cancelled."""
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
    config.set_statsd_logger_class(StatsdLogger)
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = keep_alive_s
    # Hypercorn ends an HTTP/2 connection after its thousandth request, and with it the
    # answers that are still in progress there.
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.h2_max_concurrent_streams = MAX_HTTP2_STREAMS
    config.h2_max_header_list_size = MAX_HTTP2_HEADER_BYTES
    config.include_server_header = False
    # Hypercorn would end an HTTP/2 connection by GOAWAY after a thousand requests, with
    # the answers in progress on it, which common clients drop.
    config.keep_alive_max_requests = sys.maxsize
    return config
