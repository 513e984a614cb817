"""Run the agent: the only way to the target beside it."""

import secrets
import time
from collections.abc import Awaitable, Callable
from weakref import WeakSet

import trio

from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore
from hyssopvane._internal.coordination.own_rows import (
    LEAVING,
    LISTED_TOPIC,
    OWN_ROWS_TOPIC,
    HeldRows,
)
from hyssopvane._internal.coordination.spread_messages import decode_own_rows
from hyssopvane._internal.exceptions import HyssopvaneError
from hyssopvane._internal.models.refusals import AgentRefusal
from hyssopvane._internal.models.settings import AgentSettings
from hyssopvane._internal.policy.target_backoff import TargetBackoff
from hyssopvane._internal.protocol.messages import (
    PROTOCOL_VERSION,
    Heartbeat,
    Hello,
    Open,
)
from hyssopvane._internal.roles.attempt import Attempt
from hyssopvane._internal.roles.keyed_runs import KeyedRuns
from hyssopvane._internal.roles.map_agent import MAP_ORDER_TOPIC, make_map_agent
from hyssopvane._internal.roles.operators import (
    OperatedProcess,
    OperatorsApp,
)
from hyssopvane._internal.roles.peer_listener import serve_peers
from hyssopvane._internal.roles.read_back import add_explain_topic
from hyssopvane._internal.roles.resting_target import find_refusal, make_refused
from hyssopvane._internal.roles.topics import TopicRouter
from hyssopvane._internal.state.attempts import AttemptRegister
from hyssopvane._internal.transport.asgi_server import serve_until_cancelled
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
        self._store = EtcdKeyValueStore(address=settings.platform)
        self._running: dict[bytes, Attempt] = {}
        self._idle = trio.Event()
        self._register = AttemptRegister(self.incarnation)
        self._rest = TargetBackoff()
        self._keyed = KeyedRuns(
            register=self._register,
            target=self._target,
            memory=self.decisions,
            rest=self._rest,
        )
        self._connections: set[PeerConnection] = set()
        self._stop_accepting = trio.Event()
        self.topics = TopicRouter()
        self.rows = HeldRows(vm=settings.vm, service=settings.service)
        self._tellers: WeakSet[PeerConnection] = WeakSet()
        # What an entry said counts as long as its connection: one that died with an
        # old list must not keep the target out for ever.
        self._listed_leaving: set[PeerConnection] = set()
        self.topics.add_notice(LISTED_TOPIC, self._receive_listed)
        add_explain_topic(self.topics, self)
        self.topics.add_notice(OWN_ROWS_TOPIC, self._receive_rows)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen for entries until cancelled."""
        async with trio.open_nursery() as nursery:
            self._keyed.start(nursery)
            if self.settings.group:
                await self._start_map_agent(nursery)
            self.operators_address = await nursery.start(
                serve_until_cancelled, OperatorsApp(self), self.settings.operators
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

    async def _start_map_agent(self, nursery: trio.Nursery) -> None:
        await self._store.start(nursery)
        map_agent = make_map_agent(
            self.settings, target=self._target, store=self._store, metrics=self.metrics
        )
        self.topics.add_question(MAP_ORDER_TOPIC, map_agent.answer_order)
        nursery.start_soon(map_agent.run)

    async def drain(self) -> None:
        """Refuse new work and wait until all work in progress has ended."""
        self.leaving = True
        log_event("info", "draining", running=self._count_running())
        # Not with the next heartbeat: until an entry knows, it places work here that is
        # refused and has to go elsewhere.
        for connection in self._connections:
            connection.queue_heartbeat()
        # An entry may have sent work before it read that. Closed on at once, the
        # connection would take that work with it, and its caller would be told that
        # nobody knows whether it ran, in a shutdown that cuts off nothing.
        await self._for_each_connection(PeerConnection.sync)
        await self._wait_idle()
        self._stop_accepting.set()
        await self._for_each_connection(PeerConnection.finish)

    async def close(self) -> None:
        """Release the connections to the target and the instruments."""
        await self._target.close()
        await self._store.close()
        self.metrics.close()

    def is_ready(self) -> bool:
        """Tell whether the agent takes new work."""
        return not self.leaving

    @property
    def refuses_work(self) -> bool:
        """Tell whether new work is refused: at a shutdown, by the table or the list.

        The agent refuses by itself, since an entry whose table or list of VMs is old
        still sends it work; such a request then costs one hop and no answer.
        """
        self._listed_leaving &= self._connections
        listed = bool(self._listed_leaving)
        return self.leaving or listed or not self.rows.takes_work

    def _receive_listed(self, peer: PeerConnection, body: bytes) -> None:
        if body == LEAVING:
            self._listed_leaving.add(peer)
        else:
            self._listed_leaving.discard(peer)

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
            "table_revision": self.rows.revision,
            "table_era": self.rows.position.era,
            "takes_work": not self.refuses_work,
            "rows": self.rows.describe(),
            "running": self._count_running(),
            "entries": sorted(
                one.peer.vm for one in self._connections if one.peer is not None
            ),
        }

    def describe_health(self) -> Heartbeat:
        return Heartbeat(
            sequence=0,
            table_revision=self.rows.revision,
            table_era=self.rows.position.era,
            running=self._count_running(),
            leaving=self.refuses_work,
        )

    def receive_heartbeat(self, peer: PeerConnection, heartbeat: Heartbeat) -> None:
        """Take note of the table that an entry has."""
        # A heartbeat may overtake the rows on a connection that was just opened.
        if peer in self._tellers:
            self.rows.update_position(heartbeat.table_position)

    def _receive_rows(self, peer: PeerConnection, body: bytes) -> None:
        try:
            self.rows.accept(decode_own_rows(body))
        except (HyssopvaneError, ValueError) as error:
            # The rows that are held stay in force.
            log_event("warning", "own-rows-refused", why=error)
        else:
            self._tellers.add(peer)

    async def answer_question(
        self, peer: PeerConnection, topic: str, body: bytes
    ) -> bytes:
        return await self.topics.answer(peer, topic, body)

    def receive_notice(self, peer: PeerConnection, topic: str, body: bytes) -> None:
        self.topics.receive(peer, topic, body)

    async def serve_stream(self, stream: PeerStream, opening: Open) -> None:
        if opening.key:
            await self._keyed.serve(stream, opening, leaving=self.refuses_work)
            return
        refusal = self._accept(opening)
        if refusal is not None:
            self.metrics.count_refusal(refusal.value)
            stream.send(make_refused(refusal, self._rest))
            return
        attempt = self._running[opening.attempt] = Attempt(
            stream,
            opening,
            target=self._target,
            memory=self.decisions,
            register=self._register,
            rest=self._rest,
        )
        try:
            await attempt.run()
        finally:
            del self._running[opening.attempt]
            if not self._running:
                self._idle.set()

    async def _wait_idle(self) -> None:
        while self._count_running():
            while self._running:
                self._idle = trio.Event()
                await self._idle.wait()
            await self._keyed.wait_idle()

    async def _for_each_connection(
        self, act: Callable[[PeerConnection], Awaitable[None]]
    ) -> None:
        async with trio.open_nursery() as nursery:
            for connection in tuple(self._connections):
                nursery.start_soon(act, connection)

    def _accept(self, opening: Open) -> AgentRefusal | None:
        now = time.time()
        why = find_refusal(self._rest, leaving=self.refuses_work)
        if why is not None and opening.incarnation == self.incarnation:
            # The entry goes on to another target on the strength of this answer, so a
            # late copy must find a tombstone.
            told = self._register.add_tombstone(opening.attempt, owner=None, now=now)
            return why if told.proves_not_run else told
        refusal = self._register.accept(
            opening.attempt, incarnation=opening.incarnation, owner=None, now=now
        )
        if refusal is None:
            self._register.start(opening.attempt)
        return refusal

    def _count_running(self) -> int:
        return len(self._running) + self._keyed.busy

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
            stop=self._stop_accepting,
            task_status=task_status,
        )
