"""Run the agent, through which all requests reach the target on its VM."""

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
from hyssopvane._internal.roles.operator_queries import add_explain_topic
from hyssopvane._internal.roles.operators import (
    OperatedProcess,
    OperatorsApp,
)
from hyssopvane._internal.roles.peer_listener import serve_peers
from hyssopvane._internal.roles.target_refusal import find_refusal, make_refused
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
    """Serve the entries that send requests to one target."""

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__(settings)
        self.settings = settings
        # Each start has a new number. A request sent to an earlier start is refused,
        # since the tombstones of that start are lost.
        self.incarnation = secrets.randbits(63)
        self.leaving = False
        self.entries_address = ""
        self.operators_address = ""
        self._target = TargetClient(settings.target)
        self._store = EtcdKeyValueStore(address=settings.platform)
        self._running: dict[bytes, Attempt] = {}
        self._idle = trio.Event()
        self._register = AttemptRegister(self.incarnation)
        self._backoff = TargetBackoff()
        self._keyed = KeyedRuns(
            register=self._register,
            target=self._target,
            decision_log=self.decisions,
            backoff=self._backoff,
        )
        self._connections: set[PeerConnection] = set()
        self._stop_accepting = trio.Event()
        self.topics = TopicRouter()
        self.rows = HeldRows(vm=settings.vm, service=settings.service)
        self._row_senders: WeakSet[PeerConnection] = WeakSet()
        # A notice counts only while the entry's connection is open. Otherwise an entry
        # that died with an old list would keep the target out of service for ever.
        self._listed_leaving: set[PeerConnection] = set()
        self.topics.add_notice(LISTED_TOPIC, self._receive_listed)
        add_explain_topic(self.topics, self)
        self.topics.add_notice(OWN_ROWS_TOPIC, self._receive_rows)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve entries and operators until cancelled."""
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
        """Refuse new requests and wait until all running requests have ended."""
        self.leaving = True
        log_event("info", "draining", running=self._count_running())
        # Sent at once, not with the next heartbeat: until an entry knows, it sends
        # requests here that are refused and have to go to another target.
        for connection in self._connections:
            connection.queue_heartbeat()
        # An entry may have sent requests before it received that. If the connection
        # closed at once, they would be lost and their callers would get the outcome
        # "unknown", although a graceful shutdown must not cut off any request.
        await self._for_each_connection(PeerConnection.sync)
        await self._wait_idle()
        self._stop_accepting.set()
        await self._for_each_connection(PeerConnection.finish)

    async def close(self) -> None:
        """Close the connections to the target and the store, and the metrics."""
        await self._target.close()
        await self._store.close()
        self.metrics.close()

    def is_ready(self) -> bool:
        """Return whether the agent is not shutting down."""
        return not self.leaving

    @property
    def refuses_work(self) -> bool:
        """Return whether new requests are refused: at shutdown, by table or VM list.

        The agent decides this itself, since an entry with an old table or list of VMs
        still sends it requests. Such a request costs one extra hop but is not lost.
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
        """Return the state shown to operators: identity, table, row and load."""
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
        """Record the position of the table that an entry has."""
        # On a new connection a heartbeat may arrive before the rows.
        if peer in self._row_senders:
            self.rows.update_position(heartbeat.table_position)

    def _receive_rows(self, peer: PeerConnection, body: bytes) -> None:
        try:
            self.rows.accept(decode_own_rows(body))
        except (HyssopvaneError, ValueError) as error:
            # The rows received before stay in force.
            log_event("warning", "own-rows-refused", why=error)
        else:
            self._row_senders.add(peer)

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
            stream.send(make_refused(refusal, self._backoff))
            return
        attempt = self._running[opening.attempt] = Attempt(
            stream,
            opening,
            target=self._target,
            decision_log=self.decisions,
            register=self._register,
            backoff=self._backoff,
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
        why = find_refusal(self._backoff, leaving=self.refuses_work)
        if why is not None and opening.incarnation == self.incarnation:
            # The entry retries at another target after this refusal, so a copy of the
            # attempt that arrives late must find a tombstone.
            tombstone_refusal = self._register.add_tombstone(
                opening.attempt, owner=None, now=now
            )
            return why if tombstone_refusal.proves_not_run else tombstone_refusal
        refusal = self._register.accept(
            opening.attempt, incarnation=opening.incarnation, owner=None, now=now
        )
        if refusal is None:
            self._register.start(opening.attempt)
        return refusal

    def _count_running(self) -> int:
        return len(self._running) + self._keyed.active_count

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
