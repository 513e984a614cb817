"""Connect to other entries on demand."""

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
# For requests that are minutes apart: two seconds of heartbeats on an idle connection
# cost as much as opening it again (736 and 392 bytes).
_ONCE_IDLE_S = 1.0


class EntryLinks(Neighbours):
    """Hold at most one connection to each other entry.

    At the design size of 960 entries there can't be a connection for each pair:
    heartbeats alone would use up the control budget. Idle connections are closed.
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
        """Run the connections and close idle ones in a nursery."""
        self._nursery = nursery
        nursery.start_soon(self._close_idle)

    def update(self, addresses: Mapping[str, str]) -> None:
        """Set the addresses of the other entries by VM; disconnect removed entries."""
        self._addresses = addresses
        for vm in self._connections.keys() - addresses.keys():
            self._connections[vm].close()

    def list_vms(self) -> tuple[str, ...]:
        """Return the names of the other entries."""
        return tuple(sorted(self._addresses))

    async def ask(self, vm: str, topic: str, body: bytes) -> bytes:
        """Query an entry; raise `PeerLost` when there is no answer."""
        connection = await self._get_connection(vm, self._idle_s)
        return await connection.ask(topic, body)

    async def ask_once(self, vm: str, topic: str, body: bytes) -> bytes:
        """Query an entry as `ask` does, and close the connection soon after."""
        connection = await self._get_connection(vm, _ONCE_IDLE_S)
        return await connection.ask(topic, body)

    async def notify(self, vm: str, topic: str, body: bytes) -> None:
        """Send an entry a notice; raise `PeerLost` when it can't be reached."""
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
            raise PeerLost("the list of VMs has no such entry", context=vm)
        host, port = parse_address(address)
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host, port)
        except (OSError, trio.TooSlowError) as error:
            raise PeerLost("can't connect to the entry", context=vm) from error
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
