"""Run the agent: the only way to the target beside it."""

import secrets
from functools import partial

import trio

from hyssopvane._internal.models.refusals import AgentRefusal
from hyssopvane._internal.models.settings import AgentSettings
from hyssopvane._internal.protocol.messages import (
    PROTOCOL_VERSION,
    Heartbeat,
    Hello,
    Open,
    Refused,
)
from hyssopvane._internal.roles.attempt import Attempt
from hyssopvane._internal.roles.operators import (
    OperatedProcess,
    OperatorsApp,
    serve_operators,
)
from hyssopvane._internal.transport.asgi_server import bind_listener, format_address
from hyssopvane._internal.transport.peer_connection import (
    ConnectionTimes,
    PeerConnection,
    PeerHandler,
    PeerStream,
)
from hyssopvane._internal.transport.target_client import TargetClient
from hyssopvane._internal.utils.logs import log_event


class Agent(OperatedProcess, PeerHandler):
    """Serve the entries that send work to one target."""

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__(settings)
        self.settings = settings
        # A new number for each start: what was meant for an earlier start, whose
        # tombstones are gone, is refused.
        self.incarnation = secrets.randbits(63)
        self.leaving = False
        self.entries_address = ""
        self.operators_address = ""
        self._target = TargetClient(settings.target)
        self._running: dict[bytes, Attempt] = {}
        self._idle = trio.Event()
        self._connections: set[PeerConnection] = set()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen for entries until cancelled."""
        listener_socket = bind_listener(self.settings.entries)
        listener_socket.listen(1024)
        self.entries_address = format_address(listener_socket.getsockname())
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(listener_socket))
        async with trio.open_nursery() as nursery:
            self.operators_address = await nursery.start(
                serve_operators, OperatorsApp(self), self.settings.operators
            )
            nursery.start_soon(
                partial(
                    trio.serve_listeners,
                    self._serve_entry,
                    [listener],
                    handler_nursery=nursery,
                )
            )
            log_event(
                "info",
                "started",
                entries=self.entries_address,
                operators=self.operators_address,
                target=self.settings.target,
                incarnation=self.incarnation,
            )
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Refuse new work and wait until all work in progress has ended."""
        self.leaving = True
        log_event("info", "draining", running=len(self._running))
        while self._running:
            self._idle = trio.Event()
            await self._idle.wait()

    async def close(self) -> None:
        """Release the connections to the target and the instruments."""
        await self._target.close()
        self.metrics.close()

    def is_ready(self) -> bool:
        """Tell whether the agent takes new work."""
        return not self.leaving

    def describe(self) -> dict[str, object]:
        """Return what is in force here."""
        return {
            "role": "agent",
            "vm": self.settings.vm,
            "availability_zone": self.settings.availability_zone,
            "service": self.settings.service,
            "target": self.settings.target,
            "incarnation": self.incarnation,
            "leaving": self.leaving,
            "running": len(self._running),
            "entries": sorted(
                one.peer.vm for one in self._connections if one.peer is not None
            ),
        }

    def describe_health(self) -> Heartbeat:
        return Heartbeat(sequence=0, running=len(self._running), leaving=self.leaving)

    def receive_heartbeat(self, peer: PeerConnection, heartbeat: Heartbeat) -> None:
        """Do nothing: an agent asks nothing of its entries' health."""

    async def answer_question(
        self, peer: PeerConnection, topic: str, body: bytes
    ) -> bytes:
        return b""

    def receive_notice(self, peer: PeerConnection, topic: str, body: bytes) -> None:
        """Ignore a notice of a topic that this version does not know."""

    async def serve_stream(self, stream: PeerStream, opening: Open) -> None:
        refusal = self._find_refusal(opening)
        if refusal is not None:
            self.metrics.count_refusal(refusal.value)
            stream.send(Refused(refusal.value))
            return
        attempt = self._running[opening.attempt] = Attempt(
            stream, opening, target=self._target, memory=self.decisions
        )
        try:
            await attempt.run()
        finally:
            del self._running[opening.attempt]
            if not self._running:
                self._idle.set()

    def _find_refusal(self, opening: Open) -> AgentRefusal | None:
        if opening.incarnation != self.incarnation:
            return AgentRefusal.WRONG_INCARNATION
        if self.leaving:
            return AgentRefusal.LEAVING
        if opening.attempt in self._running:
            return AgentRefusal.DUPLICATE_ATTEMPT
        return None

    async def _serve_entry(self, socket_stream: trio.SocketStream) -> None:
        connection = PeerConnection(
            socket_stream,
            hello=Hello(
                version=PROTOCOL_VERSION,
                role="agent",
                vm=self.settings.vm,
                availability_zone=self.settings.availability_zone,
                incarnation=self.incarnation,
                token=self.settings.token,
                service=self.settings.service,
            ),
            handler=self,
            times=ConnectionTimes(
                heartbeat_s=self.settings.heartbeat_s, silence_s=self.settings.silence_s
            ),
            opener=False,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
