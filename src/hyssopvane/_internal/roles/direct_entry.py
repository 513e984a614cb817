"""Run the entry of the direct path, which forwards callers' requests to replicas."""

import secrets
from dataclasses import replace
from functools import partial
from itertools import count
from random import Random
from typing import Any

import trio

from hyssopvane._internal.coordination.key_value import KeyValueStore
from hyssopvane._internal.coordination.routing_feed import RoutingFeed, RoutingFormat
from hyssopvane._internal.models.direct_refusals import DirectRefusal
from hyssopvane._internal.models.settings import DirectEntrySettings
from hyssopvane._internal.policy.allowed_regions import AllowedRegions
from hyssopvane._internal.policy.cold_replicas import WINDOW_S
from hyssopvane._internal.policy.demand_reports import DemandReports
from hyssopvane._internal.policy.entry_pressure import (
    make_buffer_limits,
    measure_lag_limit_s,
)
from hyssopvane._internal.policy.limit_shares import RateBound
from hyssopvane._internal.policy.load_inbox import LoadInbox
from hyssopvane._internal.policy.repeat_budget import RepeatBudget
from hyssopvane._internal.policy.store_watch import choose_watch_s
from hyssopvane._internal.policy.suspect_rules import LOST_CONNECTIONS
from hyssopvane._internal.policy.suspects import MAX_LONG_RECORDS, SuspectTracker
from hyssopvane._internal.protocol.group_messages import GroupMessage
from hyssopvane._internal.protocol.replica_headers import ReplicaHeaders
from hyssopvane._internal.roles.cold_reports import ColdReports
from hyssopvane._internal.roles.crash_evidence import CrashAccount
from hyssopvane._internal.roles.direct_app import DirectApp
from hyssopvane._internal.roles.direct_request import CallDependencies
from hyssopvane._internal.roles.gate_keeper import GateKeeper
from hyssopvane._internal.roles.metrics_app import MetricsApp
from hyssopvane._internal.roles.process import Role
from hyssopvane._internal.roles.snapshot_exchange import SnapshotExchange
from hyssopvane._internal.roles.suspect_exchange import SUSPECTS_PATH
from hyssopvane._internal.roles.suspect_sharing import SuspectSharing
from hyssopvane._internal.state.group import EntryState
from hyssopvane._internal.state.limits import ReplicaLimits
from hyssopvane._internal.state.loads import GroupLoad, Roster
from hyssopvane._internal.state.routing import RoutingTable
from hyssopvane._internal.state.suspects import SuspectId
from hyssopvane._internal.transport.addresses import replace_port
from hyssopvane._internal.transport.asgi_messages import (
    TEXT_TYPE,
    send_response,
    serve_lifespan,
)
from hyssopvane._internal.transport.asgi_server import serve_asgi, serve_until_cancelled
from hyssopvane._internal.transport.buffer_guard import BufferGuard
from hyssopvane._internal.transport.datagrams import DatagramPort
from hyssopvane._internal.transport.http_server import ConnectionPolicy
from hyssopvane._internal.transport.loop_watch import LoopWatch
from hyssopvane._internal.transport.pressure_watch import PressureWatch
from hyssopvane._internal.transport.process_usage import read_memory_limit
from hyssopvane._internal.transport.replica_client import ReplicaClient
from hyssopvane._internal.utils.deferred_metrics import DeferredMetrics
from hyssopvane._internal.utils.logs import log_event

RETURN_REPORT_S = 3.0
"""Time for which the store's return is reported to other entries.

Registrations that expired during the outage are restored within two seconds.
"""

REPORT_INTERVAL_S = 0.25
"""Pause between two reports of the entry's state, and checks for missing loads."""

PEER_REPORT_EVERY = 2
"""Number of report intervals between two reports to other entries.

The reports say how new this entry's snapshot of the store is.
"""

LEADER_REPORT_EVERY = 4
"""Number of report intervals between two state reports to leading and next agents.

Agents publish loads to the entries that sent a report within the last seconds.
"""

_ACCEPT_SHARE = 0.36
"""Share of the grace period in which new requests are still accepted.

The balancer removes an entry after two failed readiness checks, one second apart.
"""


class DirectEntry(Role):
    """Serve callers by forwarding their requests directly to replicas."""

    def __init__(
        self,
        settings: DirectEntrySettings,
        *,
        store: KeyValueStore,
        suspects_store: KeyValueStore,
        format: RoutingFormat,
        names: ReplicaHeaders,
        ready_path: str,
    ) -> None:
        self.settings = settings
        self.leaving = False
        self.callers_address = ""
        self.readiness_address = ""
        self.metrics_address = ""
        self.beliefs_address = ""
        self._ready_path = ready_path
        self._store = store
        self._leaving_event = trio.Event()
        self._shutdown = trio.Event()
        self._callers_closed = trio.Event()
        random = Random(secrets.randbits(63))
        self.metrics = DeferredMetrics(role=settings.role, vm=settings.vm)
        self.gates = GateKeeper(
            random=random,
            availability_zone=settings.availability_zone,
            observe_restart=self._close_idle_connections,
            stall_s=settings.stall_s,
            prefers_own_zone=settings.prefers_own_zone,
        )
        self.feed = RoutingFeed(
            store,
            format,
            random=random,
            observe=self._update,
            count=self.metrics.count_event,
            follows_evacuations=settings.evacuate_s is not None,
        )
        self.exchange = SnapshotExchange(self.feed, seeds=settings.seeds, random=random)
        tracker = SuspectTracker(
            rules=LOST_CONNECTIONS,
            max_records=MAX_LONG_RECORDS,
            observe_quarantine=self._refuse_waiting,
        )
        self._suspects = SuspectSharing(
            tracker,
            suspects_store,
            random=random,
            seeds=settings.seeds,
            start_task=self.gates.start_task,
            metrics=self.metrics,
        )
        self._tracker = tracker
        crashes = CrashAccount(
            tracker, self.metrics, gates=self.gates, trials=self._suspects.trials
        )
        self.gates.observe_ended = crashes.record_ended
        if settings.cold_over is not None:
            self.gates.cold_bound = RateBound(
                WINDOW_S, settings.cold_over, settings.cold_slack
            )
            self.gates.entry_counter.expect(1 + len(settings.seeds))
            self.gates.report_cold = ColdReports(self.metrics).report
        self.guard = self._make_guard()
        self._watch = self._make_watch()
        self._loop = LoopWatch(self.metrics.count_event)
        self._client = ReplicaClient(guard=self.guard)
        if settings.cold_over is not None:
            self._client.observe_closed = self.gates.observe_closed
        self._nursery: trio.Nursery | None = None
        self._port = DatagramPort(settings.messages, count=self.metrics.count_event)
        self._random = random
        self._inbox = LoadInbox(random=random)
        self._found_replicas = trio.Event()
        """Set when replicas become known for the first time."""
        self._demand_reports = DemandReports()
        self._silent: frozenset[str] = frozenset()
        """Groups whose load was missing at the last check."""
        self._regions = AllowedRegions(settings.regions)
        self._checked_table: RoutingTable | None = None
        """Last configuration whose regions were checked."""
        self.app = DirectApp(
            feed=self.feed,
            random=random,
            regions=self._regions,
            guard=self.guard,
            dependencies=CallDependencies(
                names=names,
                gates=self.gates,
                client=self._client,
                metrics=self.metrics,
                crashes=crashes,
                budget=RepeatBudget(
                    share=settings.repeat_share,
                    slack=settings.repeat_slack,
                    fleet_slack=settings.fleet_repeat_slack,
                    count_entries=self.gates.entry_counter.estimate,
                ),
            ),
            wait_until_informed=self._suspects.wait_until_informed,
        )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve callers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._loop.start()
            await self._store.start(nursery)
            self.feed.start(nursery)
            self.gates.start(nursery)
            self.beliefs_address = await nursery.start(
                serve_until_cancelled, self._answer_entry, self.settings.beliefs
            )
            self.exchange.start(nursery)
            self._suspects.start(nursery, own_address=self.beliefs_address)
            await self._port.start(nursery, self._receive)
            nursery.start_soon(self._send_state)
            self.readiness_address = await nursery.start(
                serve_until_cancelled, self._answer_balancer, self.settings.readiness
            )
            self.metrics_address = await nursery.start(
                serve_until_cancelled,
                MetricsApp(self.metrics),
                self.settings.metrics,
            )
            if self.guard is not None:
                nursery.start_soon(self.guard.run)
            if self._watch is not None:
                nursery.start_soon(self._watch.run)
            self.callers_address = await nursery.start(self._serve_callers)
            log_event(
                "info",
                "started",
                callers=self.callers_address,
                readiness=self.readiness_address,
                metrics=self.metrics_address,
                beliefs=self.beliefs_address,
                messages=self._port.address,
            )
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Fail readiness checks, then complete all requests in progress."""
        ends_at = trio.current_time() + self.settings.drain_limit_s
        self.leaving = True
        self._leaving_event.set()
        log_event("info", "draining", running=self.app.running)
        await trio.sleep(self.settings.grace_s * _ACCEPT_SHARE)
        self.app.refuse_new(ends_at=ends_at)
        self._shutdown.set()
        await self._callers_closed.wait()

    async def close(self) -> None:
        """Close all connections."""
        self._loop.close()
        self._port.close()
        await self.exchange.close()
        await self._suspects.close()
        await self._client.close()
        if self._watch is not None:
            self._watch.close()
        await self._store.close()
        self.metrics.close()

    def is_ready(self) -> bool:
        """Return whether the entry accepts new requests."""
        return not self.leaving and self.feed.is_ready()

    def _make_guard(self) -> BufferGuard | None:
        pressure = self.settings.find_pressure()
        if pressure is None:
            return None
        memory_bytes = pressure.memory_bytes or read_memory_limit()
        return BufferGuard(make_buffer_limits(memory_bytes), self.metrics)

    def _make_watch(self) -> PressureWatch | None:
        pressure = self.settings.find_pressure()
        if pressure is None or self.guard is None:
            return None
        return PressureWatch(
            self.guard,
            self.metrics,
            memory_limit=pressure.memory_bytes,
            link_bits_per_s=pressure.link_bits_per_s,
            get_lag_limit_s=self._measure_lag_limit_s,
        )

    def _measure_lag_limit_s(self) -> float | None:
        table = self.feed.table
        if table is None:
            return None
        return measure_lag_limit_s(
            route.pause_s or route.objective_s for route in table.routes
        )

    def _update(self) -> None:
        for level, value in self.feed.measure_levels().items():
            self.metrics.set_level(level, value)
        if self.feed.evacuations is not None:
            self.gates.set_evacuated_zones(self.feed.evacuations.zones)
        self._check_regions()
        self.gates.update(self.feed.table, self.feed.replicas)
        if self._list_ranked() and self.feed.replicas:
            self._found_replicas.set()

    def _check_regions(self) -> None:
        """Warn once for a configuration that names regions if none are known here."""
        table = self.feed.table
        if table is None or table is self._checked_table:
            return
        self._checked_table = table
        routes, customers = self._regions.count_unlimited(table)
        if routes or customers:
            self.metrics.count_event("regions-unknown")
            log_event(
                "warning",
                "regions-unknown",
                version=table.version,
                routes=routes,
                customers=customers,
            )

    def _refuse_waiting(self, suspect: SuspectId, quarantine_s: float) -> None:
        is_refused = partial(self._tracker.is_refused, now=trio.current_time())
        self.gates.reject_waiting(
            suspect.service, is_refused, DirectRefusal.CRASHING, quarantine_s
        )

    def _close_idle_connections(self, address: str) -> None:
        """Close the idle connections to a replica that has restarted.

        They belong to its previous process. A request sent on one of them may hang
        until the connection times out.
        """
        self.metrics.count_event("replica-restarted")
        log_event("info", "replica-restarted", address=address)
        if self._nursery is not None:
            self._nursery.start_soon(self._client.close_idle, address)

    def _receive(self, message: GroupMessage, sender: str) -> None:
        match message:
            case EntryState():
                if message.store_returned_s is not None:
                    self.feed.record_return(
                        trio.current_time() - message.store_returned_s
                    )
                if message.unreported_requests is not None:
                    self.gates.observe_demand(
                        message.address, message.unreported_requests
                    )
                self.exchange.observe(message)
                self._suspects.observe(message)
            case Roster():
                self._inbox.add_roster(message, now=trio.current_time())
                if message.relay:
                    self._forward(message, message)
            case GroupLoad():
                self._handle_load(message)
            case ReplicaLimits():
                self.gates.observe_limits(message)
            case _:
                log_event("debug", "datagram-unexpected", sender=sender)

    def _handle_load(self, load: GroupLoad) -> None:
        roster = self._inbox.accept(load, now=trio.current_time())
        if roster is None:
            self.metrics.count_event("load-unused")
            return
        self.gates.observe_load(load, roster)
        if load.relay:
            self._forward(load, roster)

    def _forward(self, message: GroupLoad | Roster, roster: Roster) -> None:
        """Forward a message of a leader to the other entries of the zone."""
        local = [
            one.address
            for one in roster.entries
            if one.availability_zone == self.settings.availability_zone
            and one.address != self._port.address
        ]
        if local and self._nursery is not None:
            forwarded = replace(message, relay=False)
            self._nursery.start_soon(self._port.send, forwarded, *local)

    async def _send_state(self) -> None:
        for number in count():
            now = trio.current_time()
            state = EntryState(
                address=self._port.address,
                beliefs=self.beliefs_address,
                configuration_version=self.feed.configuration_version,
                replicas_revision=self.feed.replicas_revision,
                replicas_era=self.feed.replicas_position.era,
                availability_zone=self.settings.availability_zone,
                store_returned_s=self._get_return_age_s(now),
                unreported_requests=self.gates.measure_demand(),
                evacuations_changed_at=self.feed.evacuations_changed_at,
            )
            if number % PEER_REPORT_EVERY == 0:
                peers = self._choose_peers()
                await self._port.send(state, *set(peers))
                limits = self.gates.list_limits()
                if limits.reports and peers:
                    await self._port.send(limits, *peers)
            await self._report_to_leaders(state, number)
            self.gates.log_shares(self.metrics.count_event)
            self.gates.log_zone_choices(self.metrics.count_event)
            self._log_silent_groups(now)
            await self._query_loads(replace(state, lacks_load=True), now)
            await self._pause_reports()

    async def _pause_reports(self) -> None:
        """Wait until the next reports are due.

        The first ones are due when replicas become known: after a power loss, a later
        query for their loads would delay the first requests.
        """
        if self._found_replicas.is_set():
            await trio.sleep(REPORT_INTERVAL_S)
            return
        with trio.move_on_after(REPORT_INTERVAL_S):
            await self._found_replicas.wait()

    async def _report_to_leaders(self, state: EntryState, number: int) -> None:
        """Send the state to leading agents every second, and what waits more often."""
        is_regular = number % LEADER_REPORT_EVERY == 0
        if not is_regular:
            # Leaders know the rest from the regular reports.
            state = EntryState(
                state.address, "", 0, 0, availability_zone=state.availability_zone
            )
        for report in self._demand_reports.choose(
            self._inbox.list_group_contacts(),
            self.gates.list_waiting(),
            number=number,
            is_regular=is_regular,
            find_service=self.gates.find_service,
        ):
            agents = set(map(self._get_agent_address, report.replicas))
            await self._port.send(replace(state, waiting=report.waiting), *agents)

    def _log_silent_groups(self, now: float) -> None:
        silent = self._inbox.list_silent(now)
        for group in silent - self._silent:
            log_event("warning", "group-silent", group=group)
        for group in self._silent - silent:
            log_event("info", "group-heard", group=group)
        self._silent = silent

    def _get_return_age_s(self, now: float) -> float | None:
        if (
            self.feed.returned_at is None
            or now - self.feed.returned_at > RETURN_REPORT_S
        ):
            return None
        return now - self.feed.returned_at

    def _choose_peers(self) -> list[str]:
        """Return the entries that are informed how new this one's snapshot is.

        They are those of the zone and one of another zone. Updates then take about as
        long between zones as within one, and an entry's traffic grows only with the
        size of its zone.
        """
        others = [
            one
            for one in self._inbox.list_entries()
            if one.address != self._port.address
        ]
        zone = self.settings.availability_zone
        local = [one.address for one in others if one.availability_zone == zone]
        remote = [one.address for one in others if one.availability_zone != zone]
        self.gates.observe_entries(self._port.address, local)
        self._store.watch_s = choose_watch_s(self._port.address, local)
        return local + self._random.sample(sorted(remote), min(1, len(remote)))

    async def _query_loads(self, state: EntryState, now: float) -> None:
        """Tell agents that the load of their replicas is missing.

        Otherwise the entry would have to estimate the load of all ranks after a relay
        failed or the leader's link to this entry alone broke.
        """
        silent = self._inbox.choose_load_queries(now)
        ranked = self._list_ranked()
        replicas = [
            replica.address
            for replica in self.feed.replicas.values()
            if replica.service in ranked
        ]
        queried = silent + self._inbox.choose_replica_queries(replicas, now)
        if queried:
            self.metrics.count_event("load-missing", len(queried))
            await self._port.send(state, *map(self._get_agent_address, queried))

    def _get_agent_address(self, replica: str) -> str:
        return replace_port(replica, self.settings.agent_port)

    def _list_ranked(self) -> set[str]:
        table = self.feed.table
        if table is None:
            return set()
        return {
            name for name, spec in table.services.items() if spec.engine is not None
        }

    async def _serve_callers(
        self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        policy = ConnectionPolicy(loop=self._loop)
        if self._watch is not None:
            policy = replace(
                policy, should_close=self._watch.should_close, bounds_buffers=True
            )
        await serve_asgi(
            self.app,
            bind=self.settings.callers,
            graceful_timeout_s=self.settings.grace_s,
            shutdown=self._shutdown,
            leaving=self._leaving_event,
            policy=policy,
            task_status=task_status,
        )
        self._callers_closed.set()

    async def _answer_entry(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http" and scope["path"] == SUSPECTS_PATH:
            await self._suspects.answer(scope, receive, send)
        else:
            await self.exchange.answer(scope, receive, send)

    async def _answer_balancer(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["path"] == self._ready_path:
            status = 200 if self.is_ready() else 503
            await send_response(send, status=status, headers=(TEXT_TYPE,), body=b"")
        else:
            await send_response(send, status=404, headers=(TEXT_TYPE,), body=b"")
