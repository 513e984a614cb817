"""Accept connections of the internal protocol."""

from functools import partial

import trio

from hyssopvane._internal.protocol.messages import Hello
from hyssopvane._internal.transport.addresses import bind_listener, format_address
from hyssopvane._internal.transport.peer_connection import (
    ConnectionTimes,
    PeerConnection,
    PeerHandler,
)

_BACKLOG = 1_024


async def serve_peers(
    bind: str,
    *,
    hello: Hello,
    handler: PeerHandler,
    times: ConnectionTimes,
    connections: set[PeerConnection] | None = None,
    stop: trio.Event | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run one task for each accepted connection until cancelled.

    New connections are no longer accepted once `stop` is set.
    """
    open_connections = set() if connections is None else connections

    async def serve(stream: trio.SocketStream) -> None:
        connection = PeerConnection(
            stream, hello=hello, handler=handler, times=times, opener=False
        )
        open_connections.add(connection)
        try:
            await connection.run()
        finally:
            open_connections.discard(connection)

    listener = bind_listener(bind)
    listener.listen(_BACKLOG)
    address = format_address(listener.getsockname())
    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(
                    trio.serve_listeners,
                    serve,
                    [trio.SocketListener(trio.socket.from_stdlib_socket(listener))],
                    handler_nursery=nursery,
                )
            )
            task_status.started(address)
            await (trio.Event() if stop is None else stop).wait()
            accepting.cancel_scope.cancel()
