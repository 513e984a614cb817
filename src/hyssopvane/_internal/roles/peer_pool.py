"""Maintain the connections from an entry to the agents of its targets."""

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

# A restarted agent listens again within seconds, so a short first back-off finds it
# soon. The exponential back-off prevents a storm of connection attempts when a whole
# availability zone returns after an outage.
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 5.0
_CONNECT_TIMEOUT_S = 2.0
_RETIRE_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Identify a peer by its VM and the address it listens on."""

    vm: str
    address: str


@dataclass(slots=True)
class _Peer:
    address: PeerAddress
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    retiring: bool = False


class PeerObserver(ABC):
    """Observe which peers are connected, and their heartbeats."""

    @abstractmethod
    def connect_peer(self, hello: Hello) -> None:
        """Handle a new connection to a peer."""

    @abstractmethod
    def disconnect_peer(self, vm: str) -> None:
        """Handle the loss of the connection to a peer."""

    @abstractmethod
    def observe_heartbeat(self, vm: str, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat of a peer."""


class PeerPool:
    """Keep one connection to each peer, and reconnect when it is lost."""

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
        """Return the connection to a peer, or `None` when there is none."""
        return self._connections.get(vm)

    def list_connections(self) -> dict[str, PeerConnection]:
        """Return a copy of the connections by the peer's VM."""
        return dict(self._connections)

    def update(self, peers: frozenset[PeerAddress], nursery: trio.Nursery) -> None:
        """Connect to new peers; disconnect removed ones once their streams end."""
        for address in self._peers.keys() - peers:
            nursery.start_soon(self._retire, self._peers.pop(address))
        for address in peers - self._peers.keys():
            peer = self._peers[address] = _Peer(address)
            nursery.start_soon(self._keep_connected, peer)

    async def _retire(self, peer: _Peer) -> None:
        # The list of VMs lags, and the subset changes with each entry that starts or
        # stops. Closing the connection at once would cut off the answers in progress.
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
            # The task ended before the handshake: the peer refused the greeting.
            log_event("warning", "peer-refused", peer=vm)
        finally:
            if self._connections.get(vm) is connection:
                del self._connections[vm]
                self._observer.disconnect_peer(vm)
            if greeted:
                log_event("info", "peer-disconnected", peer=vm, why=connection.why_lost)
        return greeted
