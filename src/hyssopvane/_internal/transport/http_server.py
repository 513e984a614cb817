"""Accept HTTP connections up to a limit, and drain them at a shutdown."""

import socket
from collections.abc import Callable
from copy import copy
from dataclasses import dataclass
from functools import partial

import trio
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

from hyssopvane._internal.transport.http_connection import (
    ConnectionEnd,
    HttpConnection,
    RecordEnd,
    SelectApp,
)
from hyssopvane._internal.transport.listener_filter import drop_new_connections
from hyssopvane._internal.transport.loop_watch import LoopWatch
from hyssopvane._internal.transport.watched_input import enable_timestamps
from hyssopvane._internal.utils.logs import log_event

MAX_REFUSED_CONNECTIONS = 100
"""Connections over the limit that get an answer; more are closed without one."""

_REFUSED_KEEP_ALIVE_S = 2.0
_DRAIN_INTERVAL_S = 0.05

SKIP_IDLE_WAIT_AFTER_S = 5.0
"""Time after the listener closed from which GOAWAY needs no minimum idle time.

A caller that sends one request after the other on an HTTP/2 connection is refused each
time, and could otherwise delay the shutdown.
"""


def log_connection_end(end: ConnectionEnd) -> None:
    """Log an ended connection, at level info when bytes arrived after its end."""
    log_event(
        "info" if end.unread_bytes else "debug",
        "connection-ended",
        reason=end.reason,
        age_s=round(end.age_s, 3),
        free_s=round(end.idle_s, 3),
        unread_bytes=end.unread_bytes,
    )


@dataclass(frozen=True, slots=True)
class ConnectionPolicy:
    """Set the connection limit of a server and its answers outside the application."""

    max_connections: int | None = None
    app_when_full: ASGIFramework | None = None
    """Answers the requests on connections over the limit."""
    app_when_late: ASGIFramework | None = None
    """Answers new requests on busy HTTP/2 connections once the listener is closed."""
    record_malformed: Callable[[], bytes] = bytes
    """Counts a malformed request and returns header lines for the answer."""
    describe_late: Callable[[], bytes] = bytes
    """Returns header lines for the answer to a request that arrives as its connection
    ends; the request is not read."""
    record_end: RecordEnd = log_connection_end
    """Records each idle connection that the server ended."""
    should_close: Callable[[int], bool] = lambda connections: False
    """Returns whether to close an HTTP/1.1 connection after the answer that begins; the
    argument is the number of open connections."""
    loop: LoopWatch | None = None
    """Measures how late requests are read, None to take them for received then."""
    bounds_buffers: bool = False
    """Whether an application that sends a part waits until the kernel has taken it, on
    HTTP/2 as well, and may raise `ReaderStalled` to discard the rest of an answer."""


class HttpServer:
    """Accept connections and run each one in a task of its own."""

    def __init__(
        self,
        app: ASGIFramework,
        *,
        config: Config,
        policy: ConnectionPolicy,
        leaving: trio.Event,
        shutdown: trio.Event,
        graceful_timeout_s: float,
    ) -> None:
        self._app = app
        self._config = config
        self._policy = policy
        self._leaving = leaving
        self._shutdown = shutdown
        self._graceful_timeout_s = graceful_timeout_s
        self._connections: set[HttpConnection] = set()
        self._refused_count = 0
        self._refused_config = copy(config)
        self._refused_config.keep_alive_timeout = _REFUSED_KEEP_ALIVE_S

    async def run(
        self,
        listener: socket.socket,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until `shutdown` is set and all requests have ended."""
        if self._policy.loop is not None:
            enable_timestamps(listener)
        with listener:
            async with trio.open_nursery() as handlers:
                async with trio.open_nursery() as accepting:
                    accepting.start_soon(self._accept, listener.dup(), handlers)
                    accepting.start_soon(self._drain_before_closing)
                    task_status.started()
                    await self._shutdown.wait()
                    accepting.cancel_scope.cancel()
                self._accept_pending(listener, handlers)
                listener.close()
                log_event("info", "listener-closed", open=len(self._connections))
                now = trio.current_time()
                handlers.cancel_scope.deadline = now + self._graceful_timeout_s
                await self._drain()

    async def _accept(self, listener: socket.socket, handlers: trio.Nursery) -> None:
        wrapped = trio.SocketListener(trio.socket.from_stdlib_socket(listener))
        await trio.serve_listeners(self._handle, [wrapped], handler_nursery=handlers)

    def _accept_pending(self, listener: socket.socket, handlers: trio.Nursery) -> None:
        # The kernel has established these connections. Closing the listener would reset
        # them, with the requests that were already sent. No connection may be added
        # after the last one is accepted here.
        try:
            drop_new_connections(listener)
        except OSError as error:
            log_event("warning", "listener-unfiltered", why=error)
        listener.setblocking(False)
        while True:
            try:
                accepted, _ = listener.accept()
            except OSError:
                return
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
            handlers.start_soon(self._handle, stream)

    async def _handle(self, stream: trio.SocketStream) -> None:
        if self._is_full():
            await self._refuse(stream)
            return
        connection = self._make_connection(stream, self._select_app, self._config)
        self._connections.add(connection)
        try:
            await _run_isolated(connection)
        finally:
            self._connections.discard(connection)

    async def _refuse(self, stream: trio.SocketStream) -> None:
        app = self._policy.app_when_full
        if app is None or self._refused_count >= MAX_REFUSED_CONNECTIONS:
            await stream.aclose()
            return
        self._refused_count += 1
        try:
            select_app = partial(_return_app, app)
            await _run_isolated(
                self._make_connection(
                    stream, select_app, self._refused_config, ending=True
                )
            )
        finally:
            self._refused_count -= 1

    def _make_connection(
        self,
        stream: trio.SocketStream,
        select_app: SelectApp,
        config: Config,
        *,
        ending: bool = False,
    ) -> HttpConnection:
        leaving = self._leaving
        if ending:
            leaving = trio.Event()
            leaving.set()
        return HttpConnection(
            select_app,
            stream,
            config=config,
            leaving=leaving,
            record_malformed=self._policy.record_malformed,
            describe_late=self._policy.describe_late,
            record_end=self._policy.record_end,
            should_close=self._should_close,
            bounds_buffers=self._policy.bounds_buffers,
            loop=self._policy.loop,
        )

    def _should_close(self) -> bool:
        return self._policy.should_close(len(self._connections))

    def _is_full(self) -> bool:
        limit = self._policy.max_connections
        return limit is not None and len(self._connections) >= limit

    def _select_app(self, http2: bool) -> ASGIFramework:
        # A caller that keeps one HTTP/2 connection busy never lets it become idle, and
        # the VM could not be replaced before the time limit, which cuts answers. New
        # requests on it are refused as not run, so the caller retries them elsewhere.
        # On HTTP/1.1 the answer itself ends the connection.
        late = http2 and self._shutdown.is_set()
        if late and self._policy.app_when_late is not None:
            return self._policy.app_when_late
        return self._app

    async def _drain_before_closing(self) -> None:
        await self._leaving.wait()
        while True:
            await self._end_idle_connections(closed_at=None, skip_idle_wait=False)
            await trio.sleep(_DRAIN_INTERVAL_S)

    async def _drain(self) -> None:
        # From now on, answers ask their callers to use another connection.
        self._leaving.set()
        # Yield, as a connection is counted only once its task has started.
        await trio.sleep(0)
        closed_at = trio.current_time()
        skip_idle_wait_from = closed_at + SKIP_IDLE_WAIT_AFTER_S
        while self._connections or self._refused_count:
            skip_idle_wait = trio.current_time() >= skip_idle_wait_from
            await self._end_idle_connections(
                closed_at=closed_at, skip_idle_wait=skip_idle_wait
            )
            await trio.sleep(_DRAIN_INTERVAL_S)

    async def _end_idle_connections(
        self, *, closed_at: float | None, skip_idle_wait: bool
    ) -> None:
        for connection in tuple(self._connections):
            await connection.end_if_idle(
                closed_at=closed_at, skip_idle_wait=skip_idle_wait
            )


async def _run_isolated(connection: HttpConnection) -> None:
    # An error on one connection must not end the process with all requests.
    try:
        await connection.run()
    except Exception as error:
        log_event("error", "connection-failed", why=repr(error))


def _return_app(app: ASGIFramework, http2: bool) -> ASGIFramework:
    return app
