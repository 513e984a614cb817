"""Run the entry, which accepts callers' HTTP requests and sends them to agents."""

import secrets
from collections.abc import Mapping
from functools import partial
from random import Random

import trio

from hyssopvane._internal.coordination.claims import ClaimWriter
from hyssopvane._internal.coordination.demand import DemandExchange
from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore
from hyssopvane._internal.coordination.own_rows import (
    LEAVING,
    LISTED_TOPIC,
    STAYING,
)
from hyssopvane._internal.coordination.quarantine import QuarantineSync
from hyssopvane._internal.coordination.vm_list import (
    VmRecord,
    VmRole,
    VmState,
)
from hyssopvane._internal.exceptions import HyssopvaneError
from hyssopvane._internal.models.refusals import RefusalReason
from hyssopvane._internal.models.settings import EntrySettings
from hyssopvane._internal.policy.scheduler import Scheduler
from hyssopvane._internal.policy.subsets import Member, SubsetMap
from hyssopvane._internal.protocol.demand import DEMAND_TOPIC
from hyssopvane._internal.protocol.messages import (
    PROTOCOL_VERSION,
    Heartbeat,
    Hello,
    Open,
)
from hyssopvane._internal.roles.caller_app import (
    CallerApp,
    CallerLimits,
    DirectorySource,
)
from hyssopvane._internal.roles.claim_router import ClaimRouter
from hyssopvane._internal.roles.dispatcher import Dispatcher
from hyssopvane._internal.roles.entry_links import EntryLinks
from hyssopvane._internal.roles.operator_queries import OperatorQueries
from hyssopvane._internal.roles.operators import (
    OperatedProcess,
    OperatorsApp,
)
from hyssopvane._internal.roles.peer_listener import serve_peers
from hyssopvane._internal.roles.peer_pool import PeerAddress, PeerObserver, PeerPool
from hyssopvane._internal.roles.refusing_app import (
    MalformedRequestHandler,
    RefusingApp,
    describe_late_request,
)
from hyssopvane._internal.roles.table_sharing import TableSharing
from hyssopvane._internal.roles.topics import TopicRouter
from hyssopvane._internal.state.claims import MAX_WINDOW_S
from hyssopvane._internal.state.directory import Directory
from hyssopvane._internal.state.shares import EntryId
from hyssopvane._internal.state.table import CustomerRow, Table
from hyssopvane._internal.state.vm_status import VmReport
from hyssopvane._internal.state.work import LoadReport, TargetInfo
from hyssopvane._internal.transport.asgi_server import serve_asgi, serve_until_cancelled
from hyssopvane._internal.transport.http_server import ConnectionPolicy
from hyssopvane._internal.transport.loop_watch import LoopWatch
from hyssopvane._internal.transport.peer_connection import (
    ConnectionTimes,
    PeerConnection,
    PeerHandler,
    PeerStream,
)
from hyssopvane._internal.utils.logs import log_event

# A connection to another entry costs heartbeats in both directions, and most are rarely
# used.
_IDLE_LINK_S = 30.0
_DEADLINE_CHECK_INTERVAL_S = 0.05
_AGENT_ROLE = "agent"
_ENTRY_ROLE = "entry"


class Entry(OperatedProcess, PeerHandler, PeerObserver):
    """Serve callers and send their requests to the agents of targets."""

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__(settings)
        self.settings = settings
        self.incarnation = secrets.randbits(63)
        self.leaving = False
        self.callers_address = ""
        self.peers_address = ""
        self.operators_address = ""
        self._callers_leaving = trio.Event()
        self._callers_shutdown = trio.Event()
        self._callers_closed = trio.Event()
        self._source = DirectorySource()
        self._times = ConnectionTimes(
            heartbeat_s=settings.heartbeat_s, silence_s=settings.silence_s
        )
        self._store = EtcdKeyValueStore(address=settings.platform)
        self._random = Random(self.incarnation)
        self.scheduler = Scheduler(
            random=self._random, availability_zone=settings.availability_zone
        )
        self._nursery: trio.Nursery | None = None
        self._listed_leaving: frozenset[str] = frozenset()
        self._subset = SubsetMap(Member(settings.vm, settings.availability_zone))
        self._quarantine = QuarantineSync(
            self._store,
            self.scheduler.planner.suspects,
            random=self._random,
            get_quarantine_s=self.scheduler.planner.get_quarantine_s,
            report=_log_quarantine_error,
        )
        self._pool = PeerPool(
            hello=self._make_hello(),
            handler=self,
            observer=self,
            times=self._times,
            random=self._random,
        )
        self.links = EntryLinks(
            hello=self._make_hello(),
            handler=self,
            times=self._times,
            idle_s=_IDLE_LINK_S,
        )
        self.topics = TopicRouter()
        self._demand = DemandExchange(
            self.scheduler.admission,
            own_vm=settings.vm,
            incarnation=self.incarnation,
            send_request=self.links.ask_once,
            get_customers=self._get_customers,
        )
        self.topics.add_question(DEMAND_TOPIC, self._answer_demand)
        self.sharing = TableSharing(
            self._store,
            self.links,
            self._pool,
            self.topics,
            self.pages,
            own_vm=settings.vm,
            incarnation=self.incarnation,
            random=self._random,
            observe=self._apply_table,
            vm_list=settings.vm_list,
            observe_vms=self._update_vms,
        )
        self._operator_queries = OperatorQueries(
            self,
            report=self._report_status,
            links=self.links,
            pool=self._pool,
            topics=self.topics,
        )
        self.claims = ClaimRouter(
            own_vm=settings.vm,
            links=self.links,
            topics=self.topics,
            writer=ClaimWriter(
                self._store, random=self._random, window_s=self._get_longest_window
            ),
            metrics=self.metrics,
        )
        self._loop = LoopWatch(self.metrics.count_event)
        self.dispatcher = Dispatcher(
            scheduler=self.scheduler,
            pool=self._pool,
            metrics=self.metrics,
            decision_log=self.decisions,
            claims=self.claims,
        )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve callers, peers and operators until cancelled."""
        self._loop.start()
        async with trio.open_nursery() as nursery:
            await self._store.start(nursery)
            self.links.start(nursery)
            self.claims.start(nursery)
            self._demand.start(nursery)
            self.peers_address = await nursery.start(self._serve_peers)
            self._nursery = nursery
            self.sharing.start(nursery)
            nursery.start_soon(self._quarantine.run)
            nursery.start_soon(
                partial(
                    self.dispatcher.watch_deadlines,
                    interval_s=_DEADLINE_CHECK_INTERVAL_S,
                )
            )
            self.operators_address = await nursery.start(
                serve_until_cancelled, OperatorsApp(self), self.settings.operators
            )
            self.callers_address = await nursery.start(self._serve_callers)
            log_event(
                "info",
                "started",
                callers=self.callers_address,
                peers=self.peers_address,
                operators=self.operators_address,
                incarnation=self.incarnation,
            )
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Leave the platform's balancer, then complete every request in progress."""
        self.leaving = True
        self._callers_leaving.set()
        log_event("info", "draining", open=self.scheduler.count_requests())
        # The balancer sends callers here until it has seen the readiness change. If the
        # listener closed before that, their connections would be refused.
        await trio.sleep(self.settings.shutdown_delay_s)
        self._callers_shutdown.set()
        await self._callers_closed.wait()

    async def close(self) -> None:
        """Close the connection to the store, and the metrics."""
        self._loop.close()
        await self._store.close()
        self.metrics.close()

    def is_ready(self) -> bool:
        """Return whether the entry has a table and is not shutting down."""
        return not self.leaving and self._source.directory is not None

    def describe(self) -> dict[str, object]:
        """Return the state shown to operators: identity, table, watches and targets."""
        directory = self._source.directory
        return {
            "role": "entry",
            "vm": self.settings.vm,
            "availability_zone": self.settings.availability_zone,
            "incarnation": self.incarnation,
            "leaving": self.leaving,
            "table_revision": directory.table.revision if directory else 0,
            "table_era": directory.table.era if directory else 0,
            "watches": self.sharing.spread.watches,
            "targets": self.scheduler.describe_targets(),
        }

    def describe_health(self) -> Heartbeat:
        return Heartbeat(
            sequence=0,
            table_revision=self.sharing.spread.table.revision,
            table_era=self.sharing.spread.table.era,
            leaving=self.leaving,
        )

    def _report_status(self) -> VmReport:
        return VmReport(
            self.settings.vm,
            self.sharing.spread.table.revision,
            digest=self.sharing.spread.reader.digest,
            leaving=self.leaving,
            running=self.scheduler.count_requests(),
            era=self.sharing.spread.table.era,
        )

    def receive_heartbeat(self, peer: PeerConnection, heartbeat: Heartbeat) -> None:
        if peer.peer is not None and peer.peer.role == _AGENT_ROLE:
            self.observe_heartbeat(peer.peer.vm, heartbeat)
        else:
            self.sharing.receive_heartbeat(peer, heartbeat)

    async def answer_question(
        self, peer: PeerConnection, topic: str, body: bytes
    ) -> bytes:
        return await self.topics.answer(peer, topic, body)

    def receive_notice(self, peer: PeerConnection, topic: str, body: bytes) -> None:
        self.topics.receive(peer, topic, body)

    async def serve_stream(self, stream: PeerStream, opening: Open) -> None:
        """Do nothing: entries get no requests over the internal protocol."""

    def connect_peer(self, hello: Hello) -> None:
        self.scheduler.connect_target(
            TargetInfo(
                name=hello.vm,
                service=hello.service,
                availability_zone=hello.availability_zone,
                incarnation=hello.incarnation,
            )
        )
        self.sharing.connect_agent(hello.vm, hello.service)
        if hello.vm in self._listed_leaving:
            self._notify_leaving(hello.vm)
        self.dispatcher.deliver_decisions()

    def disconnect_peer(self, vm: str) -> None:
        self.scheduler.disconnect_target(vm)
        self.sharing.disconnect_agent(vm)

    def observe_heartbeat(self, vm: str, heartbeat: Heartbeat) -> None:
        self.scheduler.observe_load(
            vm,
            LoadReport(
                running=heartbeat.running,
                tokens_in_flight=heartbeat.tokens_in_flight,
                leaving=heartbeat.leaving or vm in self._listed_leaving,
            ),
        )

    def _update_leaving(self, records: tuple[VmRecord, ...]) -> None:
        # The platform may list a VM as leaving long before its agent is signaled to
        # stop. The next heartbeat confirms it, or reports that the VM has returned.
        before = self._listed_leaving
        self._listed_leaving = frozenset(
            record.name for record in records if record.state is VmState.LEAVING
        )
        for vm in before ^ self._listed_leaving:
            self._notify_leaving(vm)

    def _notify_leaving(self, vm: str) -> None:
        # Entries with an older list still send requests there; the agent refuses them.
        connection = self._pool.get_connection(vm)
        if connection is None:
            return
        notice = LEAVING if vm in self._listed_leaving else STAYING
        connection.notify(LISTED_TOPIC, notice)
        if connection.last_heartbeat is not None:
            self.observe_heartbeat(vm, connection.last_heartbeat)

    def _make_hello(self) -> Hello:
        return Hello(
            version=PROTOCOL_VERSION,
            role="entry",
            vm=self.settings.vm,
            availability_zone=self.settings.availability_zone,
            incarnation=self.incarnation,
            token=self.settings.token,
        )

    def _get_customers(self) -> Mapping[str, CustomerRow]:
        directory = self._source.directory
        return directory.table.customers if directory else {}

    async def _answer_demand(self, peer: PeerConnection, body: bytes) -> bytes:
        if peer.peer is None or peer.peer.role != _ENTRY_ROLE:
            return b""
        return self._demand.answer(EntryId(peer.peer.vm, peer.peer.incarnation), body)

    def _get_longest_window(self) -> float:
        directory = self._source.directory
        services = directory.table.services.values() if directory else ()
        windows = (row.idempotency_window_s for row in services)
        return float(max(windows, default=MAX_WINDOW_S))

    async def _serve_callers(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        app = CallerApp(
            directory=self._source,
            dispatcher=self.dispatcher,
            metrics=self.metrics,
            limits=CallerLimits(max_body_bytes=self.settings.max_body_bytes),
        )
        await serve_asgi(
            app,
            bind=self.settings.callers,
            graceful_timeout_s=self.settings.longest_request_s,
            shutdown=self._callers_shutdown,
            leaving=self._callers_leaving,
            policy=self._make_connection_policy(),
            task_status=task_status,
        )
        self._callers_closed.set()

    def _make_connection_policy(self) -> ConnectionPolicy:
        return ConnectionPolicy(
            loop=self._loop,
            max_connections=self.settings.max_connections,
            app_when_full=RefusingApp(
                RefusalReason.TOO_MANY_CONNECTIONS, metrics=self.metrics
            ),
            app_when_late=RefusingApp(
                RefusalReason.ENTRY_LEAVING, metrics=self.metrics
            ),
            record_malformed=MalformedRequestHandler(self.metrics),
            describe_late=describe_late_request,
        )

    async def _serve_peers(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        await serve_peers(
            self.settings.peers,
            hello=self._make_hello(),
            handler=self,
            times=self._times,
            task_status=task_status,
        )

    def _apply_table(self, table: Table) -> None:
        self._source.directory = Directory(table)
        self.scheduler.update_table(table, now=trio.current_time())

    def _update_vms(self, records: tuple[VmRecord, ...]) -> None:
        assert self._nursery is not None
        self._pool.update(self._select_agents(records), self._nursery)
        self.links.update(_select_entries(records, own_vm=self.settings.vm))
        self._demand.update_entries(self.links.list_vms())
        self._operator_queries.update_vms(records)
        self._update_leaving(records)

    def _select_agents(self, records: tuple[VmRecord, ...]) -> frozenset[PeerAddress]:
        """Return the agents in this entry's subset and set those that get suspects."""
        chosen = self._subset.update(
            entries=_list_members(records, VmRole.ENTRY),
            targets=_list_members(records, VmRole.AGENT),
        )
        self.scheduler.planner.set_suspect_targets(self._subset.find_primary_targets())
        return frozenset(
            PeerAddress(record.name, record.address)
            for record in records
            if record.role is VmRole.AGENT and record.name in chosen
        )


def _list_members(records: tuple[VmRecord, ...], role: VmRole) -> list[Member]:
    return [
        Member(record.name, record.availability_zone, record.service)
        for record in records
        if record.role is role
    ]


def _log_quarantine_error(error: HyssopvaneError) -> None:
    log_event("warning", "quarantine-unavailable", why=error)


def _select_entries(records: tuple[VmRecord, ...], *, own_vm: str) -> dict[str, str]:
    return {
        record.name: record.address
        for record in records
        if record.role == _ENTRY_ROLE and record.name != own_vm
    }
