"""Reach other entries over connections that are opened when they are needed."""

from collections.abc import Mapping

import trio

from hyssopvane._internal.coordination.spread import Neighbours
from hyssopvane._internal.exceptions import PeerLost
from hyssopvane._internal.protocol.messages import Hello
from hyssopvane._internal.transport.addresses import parse_address
from hyssopvane._internal.transport.peer_connection import (
    ConnectionTimes,
    PeerConnection,
    PeerHandler,
)

_CONNECT_TIMEOUT_S = 1.0
# After a question that is asked once in minutes, heartbeats of two seconds cost what it
# costs to open the connection again (736 and 392 bytes).
_ONCE_IDLE_S = 1.0


class EntryLinks(Neighbours):
    """Hold at most one connection to each other entry.

    At the target 960 entries can't keep a connection for each pair: heartbeats alone
    would use up the control budget. A connection lives while it is used.
    """

    def __init__(
        self,
        *,
        hello: Hello,
        handler: PeerHandler,
        times: ConnectionTimes,
        idle_s: float,
    ) -> None:
        self._hello = hello
        self._handler = handler
        self._times = times
        self._idle_s = idle_s
        self._addresses: Mapping[str, str] = {}
        self._connections: dict[str, PeerConnection] = {}
        self._keep_until: dict[str, float] = {}
        self._locks: dict[str, trio.Lock] = {}
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Run the connections in a nursery."""
        self._nursery = nursery
        nursery.start_soon(self._close_idle)

    def update(self, addresses: Mapping[str, str]) -> None:
        """Learn the addresses of the other entries by VM."""
        self._addresses = addresses
        for vm in self._connections.keys() - addresses.keys():
            self._connections[vm].close()

    def list_vms(self) -> tuple[str, ...]:
        """Return the names of the other entries."""
        return tuple(sorted(self._addresses))

    async def ask(self, vm: str, topic: str, body: bytes) -> bytes:
        """Ask an entry a question; raise `PeerLost` when there is no answer."""
        connection = await self._get_connection(vm, self._idle_s)
        return await connection.ask(topic, body)

    async def ask_once(self, vm: str, topic: str, body: bytes) -> bytes:
        """Ask as `ask` does, where the next question is far away."""
        connection = await self._get_connection(vm, _ONCE_IDLE_S)
        return await connection.ask(topic, body)

    async def notify(self, vm: str, topic: str, body: bytes) -> None:
        """Tell an entry something; raise `PeerLost` when it can't be reached."""
        connection = await self._get_connection(vm, self._idle_s)
        connection.notify(topic, body)

    async def _get_connection(self, vm: str, keep_s: float) -> PeerConnection:
        async with self._locks.setdefault(vm, trio.Lock()):
            keep_until = trio.current_time() + keep_s
            self._keep_until[vm] = max(keep_until, self._keep_until.get(vm, 0.0))
            connection = self._connections.get(vm)
            if connection is None or connection.lost:
                connection = await self._connect(vm)
            return connection

    async def _connect(self, vm: str) -> PeerConnection:
        address = self._addresses.get(vm)
        if address is None or self._nursery is None:
            raise PeerLost("no such entry is known", context=vm)
        host, port = parse_address(address)
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host, port)
        except (OSError, trio.TooSlowError) as error:
            raise PeerLost("the entry can't be reached", context=vm) from error
        connection = PeerConnection(
            stream,
            hello=self._hello,
            handler=self._handler,
            times=self._times,
            opener=True,
        )
        self._nursery.start_soon(self._run, vm, connection)
        self._connections[vm] = connection
        return connection

    async def _run(self, vm: str, connection: PeerConnection) -> None:
        try:
            await connection.run()
        finally:
            if self._connections.get(vm) is connection:
                del self._connections[vm]

    async def _close_idle(self) -> None:
        while True:
            await trio.sleep(_ONCE_IDLE_S)
            now = trio.current_time()
            for vm, connection in list(self._connections.items()):
                if self._keep_until[vm] < now and not connection.open_streams:
                    connection.close()
