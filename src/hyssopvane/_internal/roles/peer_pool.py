"""Keep connections from an entry to the agents of its targets."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from random import Random

import trio

from hyssopvane._internal.protocol.messages import Heartbeat, Hello
from hyssopvane._internal.transport.addresses import parse_address
from hyssopvane._internal.transport.peer_connection import (
    ConnectionTimes,
    PeerConnection,
    PeerHandler,
)
from hyssopvane._internal.utils.logs import log_event

# After an agent's restart its slot is taken again within seconds; a first wait this
# short finds it soon, and the doubling keeps a whole zone's loss from becoming a storm
# of connection attempts when it comes back.
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 5.0
_CONNECT_TIMEOUT_S = 2.0
_RETIRE_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Name a peer and where it listens."""

    vm: str
    address: str


@dataclass(slots=True)
class _Peer:
    address: PeerAddress
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    retiring: bool = False


class PeerObserver(ABC):
    """Learn which peers can be reached."""

    @abstractmethod
    def connect_peer(self, hello: Hello) -> None:
        """Take note that a peer can be reached."""

    @abstractmethod
    def disconnect_peer(self, vm: str) -> None:
        """Take note that a peer can't be reached."""

    @abstractmethod
    def observe_heartbeat(self, vm: str, heartbeat: Heartbeat) -> None:
        """Take note of a peer's heartbeat."""


class PeerPool:
    """Hold one task and one connection for each peer."""

    def __init__(
        self,
        *,
        hello: Hello,
        handler: PeerHandler,
        observer: PeerObserver,
        times: ConnectionTimes,
        random: Random,
    ) -> None:
        self._hello = hello
        self._handler = handler
        self._observer = observer
        self._times = times
        self._random = random
        self._peers: dict[PeerAddress, _Peer] = {}
        self._connections: dict[str, PeerConnection] = {}

    def get_connection(self, vm: str) -> PeerConnection | None:
        """Return the connection to a peer, if there is one."""
        return self._connections.get(vm)

    def list_connections(self) -> dict[str, PeerConnection]:
        """Return the connections by the peer's VM."""
        return dict(self._connections)

    def update(self, peers: frozenset[PeerAddress], nursery: trio.Nursery) -> None:
        """Connect to new peers; leave the others once their streams have ended."""
        for address in self._peers.keys() - peers:
            nursery.start_soon(self._retire, self._peers.pop(address))
        for address in peers - self._peers.keys():
            peer = self._peers[address] = _Peer(address)
            nursery.start_soon(self._keep_connected, peer)

    async def _retire(self, peer: _Peer) -> None:
        # The list of VMs is late, and the subset changes with each entry that comes or
        # goes. To close a connection at once would cut the answers that it carries.
        peer.retiring = True
        vm = peer.address.vm
        connection = self._connections.pop(vm, None)
        if connection is not None:
            self._observer.disconnect_peer(vm)
            while connection.open_streams and not connection.lost:
                await trio.sleep(_RETIRE_INTERVAL_S)
        peer.scope.cancel()

    async def _keep_connected(self, peer: _Peer) -> None:
        backoff_s = _INITIAL_BACKOFF_S
        with peer.scope:
            while not peer.retiring:
                if await self._connect_once(peer.address):
                    backoff_s = _INITIAL_BACKOFF_S
                await trio.sleep(backoff_s * self._random.uniform(0.5, 1.0))
                backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)

    async def _connect_once(self, address: PeerAddress) -> bool:
        host, port = parse_address(address.address)
        try:
            with trio.fail_after(_CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host, port)
        except (OSError, trio.TooSlowError) as error:
            log_event("debug", "peer-unreachable", peer=address.vm, why=error)
            return False
        connection = PeerConnection(
            stream,
            hello=self._hello,
            handler=self._handler,
            times=self._times,
            opener=True,
        )
        return await self._run_connection(address.vm, connection)

    async def _run_connection(self, vm: str, connection: PeerConnection) -> bool:
        greeted = False
        try:
            async with trio.open_nursery() as nursery:
                hello = await nursery.start(connection.run)
                greeted = True
                self._connections[vm] = connection
                self._observer.connect_peer(hello)
                log_event("info", "peer-connected", peer=vm, role=hello.role)
        except* RuntimeError:
            # The task ended before it greeted: the peer refused the greeting.
            log_event("warning", "peer-refused", peer=vm)
        finally:
            if self._connections.get(vm) is connection:
                del self._connections[vm]
                self._observer.disconnect_peer(vm)
            if greeted:
                log_event("info", "peer-disconnected", peer=vm, why=connection.why_lost)
        return greeted
