"""Run the agent: the only way to the target beside it."""

import secrets

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
from hyssopvane._internal.roles.peer_listener import serve_peers
from hyssopvane._internal.roles.topics import TopicRouter
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
        self.topics = TopicRouter()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen for entries until cancelled."""
        async with trio.open_nursery() as nursery:
            self.operators_address = await nursery.start(
                serve_operators, OperatorsApp(self), self.settings.operators
            )
            self.entries_address = await nursery.start(self._serve_entries)
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
        return await self.topics.answer(peer, topic, body)

    def receive_notice(self, peer: PeerConnection, topic: str, body: bytes) -> None:
        self.topics.receive(peer, topic, body)

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

    async def _serve_entries(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        settings = self.settings
        await serve_peers(
            settings.entries,
            hello=Hello(
                version=PROTOCOL_VERSION,
                role="agent",
                vm=settings.vm,
                availability_zone=settings.availability_zone,
                incarnation=self.incarnation,
                token=settings.token,
                service=settings.service,
            ),
            handler=self,
            times=ConnectionTimes(
                heartbeat_s=settings.heartbeat_s, silence_s=settings.silence_s
            ),
            connections=self._connections,
            task_status=task_status,
        )
