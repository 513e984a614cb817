"""Run the agent of a rank: publish its load, and change its group's expert map."""

import secrets
import time
from collections.abc import Iterable
from dataclasses import replace
from math import ceil
from random import Random
from typing import Any

import trio

from hyssopvane._internal.coordination.key_value import KeyValueStore
from hyssopvane._internal.coordination.rank_control import (
    OrderOutcome,
    RankControl,
    RankError,
)
from hyssopvane._internal.coordination.routing_feed import RoutingFeed, RoutingFormat
from hyssopvane._internal.models.settings import RankAgentSettings
from hyssopvane._internal.policy.count_meter import CountMeter
from hyssopvane._internal.policy.group_presence import (
    PRESENCE_INTERVAL_S,
    GroupPresence,
)
from hyssopvane._internal.policy.load_publisher import LoadPublisher
from hyssopvane._internal.policy.map_actions import (
    DelegateOrder,
    PingAgent,
    QueryAgent,
    QueryRank,
    SendMapChange,
    SendOrder,
)
from hyssopvane._internal.policy.map_changes import get_progress
from hyssopvane._internal.policy.map_coordinator import MapCoordinator
from hyssopvane._internal.policy.map_spread import split_among, split_by_zone
from hyssopvane._internal.policy.pass_meter import PassMeter
from hyssopvane._internal.policy.poll_intervals import (
    POLL_INTERVAL_S,
    choose_pause_s,
    get_poll_interval_s,
)
from hyssopvane._internal.protocol.group_messages import GroupMessage
from hyssopvane._internal.roles.process import Role
from hyssopvane._internal.roles.snapshot_exchange import SnapshotExchange
from hyssopvane._internal.state.group import (
    Counts,
    EntryState,
    ExpertsBySet,
    MapChange,
    OrderRequest,
    Presence,
    RankState,
)
from hyssopvane._internal.state.loads import GroupLoad, Roster
from hyssopvane._internal.state.ranks import (
    Arm,
    Hold,
    Prepare,
    RankOrder,
    RankReport,
    Release,
)
from hyssopvane._internal.transport.addresses import (
    bind_listener,
    format_address,
    replace_port,
)
from hyssopvane._internal.transport.datagrams import DatagramPort
from hyssopvane._internal.utils.deferred_metrics import DeferredMetrics
from hyssopvane._internal.utils.logs import log_event
from hyssopvane._internal.utils.token_bucket import TokenBucket

SAMPLED_RANKS = 12
"""Number of ranks whose counts are read and sent, spread evenly over the group.

Their requests are a representative sample of the group's.
"""

LOAD_QUERIES_PER_S = 4.0
"""Load queries of entries per second that an agent forwards to its leader.

Each query is about the whole group, and the leader answers it once per zone.
"""

LOG_INTERVAL_S = 1.0
"""Pause between two log lines in which a leader describes its group."""

STATE_BATCH_S = 0.002
"""Time for which a leader collects states of ranks before it decides on them.

All ranks confirm an arming within the same few milliseconds. Checking each of 64 ranks
for each of 64 states takes a leader with a third of a core longer than that.
"""

HOLD_DECISION_INTERVAL_S = 0.02
"""Pause between two decisions of a leader while a pass may be held.

Lost messages are sent again then, without waiting for the next poll of the own rank.
"""

_ORDER_RETRY_S = 0.08
_PREPARE_RETRY_S = 1.0
"""Time after which an order to prepare a map is sent again to a rank."""
MIN_SUSPENSION_S = 0.1
"""Minimum suspension of the machine that is detected; clocks differ by far less."""

MAX_POLL_GAP_S = 1.0
"""Time without a poll after which the process counts as stalled.

A process may be stopped while its machine and clocks continue. Polls are at most 0.2 s
apart. A process that was only slow loses no more than the map change in progress.
"""

_REPORT_DUE_SHARE = 0.9
"""Share of the poll interval after which the next report is due.

Agents poll more often during a map change. If each poll were reported, the leader would
receive a thousand messages per second from 63 ranks, and its loads would saturate its
link to the entries.
"""

_BITS = 8


class RankAgent(Role):
    """Poll one rank, report its state, and take part in its group's map changes."""

    def __init__(
        self,
        settings: RankAgentSettings,
        *,
        store: KeyValueStore,
        format: RoutingFormat,
        ranks: RankControl,
    ) -> None:
        self._settings = settings
        self.metrics_address = ""
        self._ranks = ranks
        self._store = store
        self._random = Random(secrets.randbits(63))
        self._metrics = DeferredMetrics(role=settings.role, vm=settings.vm)
        self._port = DatagramPort(settings.messages, count=self._metrics.count_event)
        self.feed = RoutingFeed(
            store,
            format,
            random=self._random,
            observe=self._update,
            count=self._metrics.count_event,
        )
        self._exchange = SnapshotExchange(self.feed, seeds=(), random=self._random)
        self._passes = PassMeter()
        self._coordinator = MapCoordinator(nonce=secrets.randbits(31))
        self._publisher = LoadPublisher(
            source=secrets.randbits(32), key=settings.replica
        )
        self._presence = GroupPresence()
        self._load_queries = TokenBucket(
            per_s=LOAD_QUERIES_PER_S, burst=LOAD_QUERIES_PER_S
        )
        self._counts = CountMeter()
        self._counted_at = float("-inf")
        """Time at which the counts were last read."""
        self._follows_store = False
        self._zones: dict[str, str] = {}
        """Availability zone of each agent of the service."""
        self._agents: tuple[str, ...] = ()
        """Addresses of the service's other agents."""
        self._found_agents = trio.Event()
        """Set when other agents become known for the first time."""
        self._report: RankReport | None = None
        self._group = ""
        """Last known group of the rank."""
        self._experts: ExpertsBySet = ()
        self._experts_version = (-1, -1, -1)
        """Start of the rank, epoch and map version that the experts belong to."""
        self._change: MapChange | None = None
        self._last_order: tuple[RankOrder | None, float] = (None, float("-inf"))
        self._reported_at = float("-inf")
        """Time of the last regular report to the leader or the entries."""
        self._was_open = False
        """Whether the group was open at the last poll."""
        self._logged_relays = ""
        self._state_requesters: set[str] = set()
        """Agents that wait for the next state, whatever it contains."""
        self._reported_progress: tuple[int, ...] = ()
        """Progress of the change that was last sent to the leader."""
        self._changed = trio.Event()
        self._states_changed = trio.Event()
        """Set when a rank has made progress with a change."""
        self._is_hold_task_running = False
        """Whether a task repeats decisions while a pass may be held."""
        self._nursery: trio.Nursery | None = None
        self._suspended_s = self._measure_suspension()
        self._polled_at = float("inf")
        """Time of the last poll; infinite before the first one, so no gap counts."""

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll the rank and exchange messages until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._exchange.start(nursery)
            await self._port.start(nursery, self._receive)
            nursery.start_soon(self._poll_rank)
            nursery.start_soon(self._lead_on_state_changes)
            nursery.start_soon(self._send_presence)
            nursery.start_soon(self._log_group)
            await nursery.start(self._serve_metrics)
            log_event("info", "started", replica=self._settings.replica)
            task_status.started()
            await trio.sleep_forever()

    async def _serve_metrics(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Load the HTTP server at the first connection to the metrics address.

        Loading takes 3 MB and 100 ms, and the metrics of few agents are ever queried.
        """
        with bind_listener(self._settings.metrics) as listener:
            listener.listen()
            self.metrics_address = format_address(listener.getsockname())
            task_status.started()
            await trio.lowlevel.wait_readable(listener)

            from hyssopvane._internal.roles.metrics_app import MetricsApp
            from hyssopvane._internal.transport.asgi_server import serve_listener

            await serve_listener(MetricsApp(self._metrics), listener)

    async def drain(self) -> None:
        """Return at once, since no requests pass through the agent."""
        log_event("info", "draining", phase=self._coordinator.phase.name)

    async def close(self) -> None:
        """Close all connections."""
        self._port.close()
        await self._exchange.close()
        self._metrics.close()
        await self._ranks.close()
        await self._store.close()

    def _update(self) -> None:
        for level, value in self.feed.measure_levels().items():
            self._metrics.set_level(level, value)
        port = self._settings.agent_port
        own = self._settings.messages
        self._zones = {
            replace_port(replica.address, port): replica.availability_zone
            for replica in self.feed.replicas.values()
            if replica.service == self._settings.service
        }
        knew_none = not self._agents
        self._agents = tuple(sorted(self._zones.keys() - {own}))
        if knew_none and self._agents:
            self._found_agents.set()
        table = self.feed.table
        spec = None if table is None else table.services.get(self._settings.service)
        if spec is not None and spec.engine is not None:
            self._coordinator.set_layout(spec.engine.layout)

    def _receive(self, message: GroupMessage, sender: str) -> None:
        now = trio.current_time()
        match message:
            case EntryState():
                self._handle_entry_state(message, now)
            case Roster() | GroupLoad():
                self._forward_load(message, sender, now)
            case Presence() if message.group != self._group:
                # A service may have several independent groups. The lowest rank of
                # another group does not lead this one.
                self._presence.remove(message.messages)
            case Presence():
                self._presence.observe(
                    message.messages, message.rank, now=now, leads=message.leads
                )
                if self._coordinator.record_agent(message.rank, now=now):
                    self._states_changed.set()
            case RankState():
                self._handle_rank_state(message, sender, now)
            case OrderRequest():
                self._handle_order_request(message, sender)
            case MapChange() if message.group != self._group:
                log_event("debug", "map-of-another-group", sender=sender)
            case MapChange():
                self._coordinator.record_map(message)
                self._change = message
                self._changed.set()
                if message.step and self._report is not None:
                    # The group is held until the rank is armed. An order that waited
                    # while the VM stood still is discarded.
                    self._detect_stall()
                    self._send_order_soon(self._report, now)
                self._spread_change(message, split_among(message.forward))
            case _:
                log_event("debug", "datagram-unexpected", sender=sender)

    def _handle_entry_state(self, state: EntryState, now: float) -> None:
        report = self._report
        if self._publisher.observe(state, now=now):
            log_event("info", "entry-found", entry=state.address, via=state.via)
        self.feed.end_watches_before(state.replicas_era)
        lacks_layout = self._follows_store and self.feed.table is None
        if lacks_layout and self.feed.is_store_lost and state.beliefs:
            # The store may refuse only this machine. A leading agent without the
            # layout of the experts changes no map, and all passes stay long. While the
            # store answers, a second copy would only delay the first.
            self._exchange.observe(state)
        if not state.lacks_load or state.via or report is None or not report.group:
            return
        leader = self._presence.find_leader(report.rank, now)
        if leader is not None and self._load_queries.take(now):
            # The leader may be cut off from this entry only.
            query = replace(state, via=self._settings.messages)
            self._send_soon(query, leader)

    def _forward_load(
        self, message: GroupLoad | Roster, sender: str, now: float
    ) -> None:
        report = self._report
        if report is None or not message.forward:
            return
        if sender == self._presence.find_leader(report.rank, now):
            self._send_soon(replace(message, forward=""), message.forward)

    def _handle_rank_state(self, state: RankState, sender: str, now: float) -> None:
        if state.group and state.group != self._group:
            self._presence.remove(state.messages)
            return
        complete = self._presence.complete_state(state, sender, now=now)
        if complete is None:
            self._metrics.count_event("state-incomplete")
            return
        has_progress = self._coordinator.observe(complete, now=now)
        if has_progress and self._coordinator.waits_for_ranks:
            # A pass is held until the last rank has reported that it is armed.
            # Waiting for the next poll of the own rank would cost a pass.
            self._states_changed.set()

    def _handle_order_request(self, request: OrderRequest, sender: str) -> None:
        if request.group != self._group or self._nursery is None:
            return
        if not request.step and request.release:
            self._answer_ping(sender)
            return
        if not request.step:
            self._state_requesters.add(sender)
            self._changed.set()
            return
        kind = Release if request.release else Hold
        order = kind(request.epoch, request.step)
        self._nursery.start_soon(self._give_order, self._settings.replica, order)

    def _answer_ping(self, sender: str) -> None:
        report = self._report
        if report is not None and report.group:
            own = self._settings.messages
            self._send_soon(
                Presence(own, report.group, report.epoch, report.rank), sender
            )

    async def _lead_on_state_changes(self) -> None:
        while True:
            await self._states_changed.wait()
            await trio.sleep(STATE_BATCH_S)
            self._states_changed = trio.Event()
            await self._lead(trio.current_time())

    async def _lead_while_holding(self) -> None:
        try:
            while self._coordinator.is_holding:
                await trio.sleep(HOLD_DECISION_INTERVAL_S)
                await self._lead(trio.current_time())
        finally:
            self._is_hold_task_running = False

    def _send_soon(self, message: GroupMessage, to: str) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._port.send, message, to)

    async def _poll_rank(self) -> None:
        lost = False
        last_step: int | None = None
        while True:
            counts: Counts = ()
            try:
                report = await self._ranks.read_report(self._settings.replica)
                if self._is_counting_due(report):
                    counts = await self._read_counts(report)
                await self._refresh_experts(report)
                if lost:
                    log_event("info", "replica-regained", epoch=report.epoch)
                lost = False
            except RankError as error:
                if not lost:
                    self._metrics.count_event("replica-lost")
                    log_event("warning", "replica-lost", why=error)
                lost = True
                self._report = None
                await trio.sleep(POLL_INTERVAL_S)
                continue
            self._report = report
            if report.group and report.group != self._group:
                self._presence.clear()
                self._group = report.group
            await self._handle_report(report, counts)
            pause_s = choose_pause_s(report, last_step)
            last_step = report.step
            if self._is_changing(report):
                # The next poll shows what the rank has copied or is armed for, and the
                # whole group waits until the last rank has reported it.
                pause_s = POLL_INTERVAL_S
            with trio.move_on_after(pause_s):
                await self._changed.wait()
            self._changed = trio.Event()

    def _is_counting_due(self, report: RankReport) -> bool:
        if self._state_requesters:
            # A pass is held until the leader has the state.
            return False
        now = trio.current_time()
        # Counts that are read but not sent would be missing from the demand.
        is_report_due = (
            now - self._reported_at
            >= _REPORT_DUE_SHARE * get_poll_interval_s(report.ranks)
        )
        pause_s = self._counts.compute_interval_s(
            senders=min(report.ranks, SAMPLED_RANKS),
            link_bytes_per_s=self._settings.link_bits_per_s / _BITS,
        )
        # The poll interval is about the interval of counts. Without the share every
        # other poll would be slightly early, and demand would be read half as often.
        is_count_due = now - self._counted_at >= _REPORT_DUE_SHARE * pause_s
        return is_report_due and is_count_due and _is_sampled(report)

    async def _read_counts(self, report: RankReport) -> Counts:
        counts = await self._ranks.read_counts(self._settings.replica)
        self._counted_at = trio.current_time()
        return self._counts.measure(
            counts, started_ms=report.started_ms, epoch=report.epoch
        )

    async def _refresh_experts(self, report: RankReport) -> None:
        wanted = (report.started_ms, report.epoch, report.map_version)
        if report.group and wanted != self._experts_version:
            self._experts = await self._ranks.read_experts(self._settings.replica)
            self._experts_version = wanted
            self._metrics.count_event("map-in-force")
            log_event(
                "info",
                "map-in-force",
                group=report.group,
                epoch=report.epoch,
                rank=report.rank,
                map=report.map_version,
                step=report.step,
            )

    async def _handle_report(self, report: RankReport, counts: Counts) -> None:
        now = trio.current_time()
        self._detect_stall()
        if report.active or report.queued or self._coordinator.has_work():
            self._passes.observe(report.step, now=now)
        else:
            self._passes.reset()
        state = self._make_state(report, counts)
        is_due = now - self._reported_at >= _REPORT_DUE_SHARE * get_poll_interval_s(
            report.ranks
        )
        has_opened = report.open and not self._was_open
        self._was_open = report.open
        is_due = is_due or has_opened
        if is_due:
            self._reported_at = now
        if not report.group:
            if is_due:
                await self._publish_load(report, [(state, 0.0)], now)
            return
        self._coordinator.observe(state, now=now, own=True)
        if self._coordinator.leads(now):
            if is_due:
                states = self._coordinator.list_states(now)
                await self._publish_load(report, states, now)
        progress = get_progress(state)
        requesters, self._state_requesters = self._state_requesters, set()
        if is_due or requesters or progress != self._reported_progress:
            await self._send_state(state, now, requesters)
            self._reported_progress = progress
        self._send_order_soon(report, now)
        await self._lead(now)

    async def _send_state(
        self, state: RankState, now: float, requesters: Iterable[str] = ()
    ) -> None:
        to, is_full = self._presence.choose_state_receivers(state, state.rank, now)
        # An agent that has just begun to lead is not among the receivers yet.
        others = sorted(set(requesters) - set(to))
        if is_full or others:
            await self._port.send(state, *others, *(to if is_full else ()))
        if not is_full and (to or not others):
            # Omit what hardly ever changes; addresses are the largest part of a state.
            short = replace(state, messages="", replica="", group="", experts=())
            await self._port.send(short, *to)

    async def _publish_load(
        self, report: RankReport, states: list[tuple[RankState, float]], now: float
    ) -> None:
        """Publish the load of ranks to the entries through one entry in each zone."""
        pass_s = self._passes.measure(now=now)
        for outgoing in self._publisher.build_messages(
            report, states, pass_s=pass_s, now=now
        ):
            await self._port.send(outgoing.message, *outgoing.to)
        relays = self._publisher.relays.describe()
        if relays != self._logged_relays:
            self._logged_relays = relays
            log_event("info", "load-relays", group=report.group, relays=relays)

    def _make_state(
        self, report: RankReport, counts: Counts, *, replica: str = ""
    ) -> RankState:
        return RankState(
            messages=self._settings.messages,
            replica=replica or self._settings.replica,
            group=report.group,
            epoch=report.epoch,
            rank=report.rank,
            ranks=report.ranks,
            open=report.open,
            active=report.active,
            queued=report.queued,
            pace=report.pace,
            step=report.step,
            map_version=report.map_version,
            prepared=report.prepared,
            armed_version=report.armed_version,
            armed_step=report.armed_step,
            held_step=report.held_step,
            experts=() if replica else self._experts,
            counts=counts,
            started_ms=report.started_ms,
        )

    def _is_changing(self, report: RankReport) -> bool:
        change = self._change
        return (
            change is not None
            and (change.group, change.epoch) == (report.group, report.epoch)
            and report.map_version < change.version
        )

    def _send_order_soon(self, report: RankReport, now: float) -> None:
        """Order the own rank to take the next step of the leader's map change."""
        change = self._change
        if change is None or change.epoch != report.epoch:
            return
        if change.group != report.group or report.map_version >= change.version:
            return
        order = _choose_order(change, report)
        if order is None or (
            order == self._last_order[0] and now < self._last_order[1]
        ):
            return
        repeat_s = _PREPARE_RETRY_S if isinstance(order, Prepare) else _ORDER_RETRY_S
        self._last_order = (order, now + repeat_s)
        assert self._nursery is not None
        self._nursery.start_soon(self._give_order, self._settings.replica, order)

    def _detect_stall(self) -> None:
        """Discard the state of map changes if machine or process was stalled."""
        now = trio.current_time()
        suspended_s = self._measure_suspension() - self._suspended_s
        self._suspended_s += suspended_s
        paused_s, self._polled_at = now - self._polled_at, now
        if suspended_s > MIN_SUSPENSION_S or paused_s > MAX_POLL_GAP_S:
            self._coordinator.discard_state()
            self._change = None
            log_event(
                "warning", "stood-still", seconds=round(suspended_s + paused_s, 2)
            )

    def _measure_suspension(self) -> float:
        # The monotonic clock does not count the time in which a machine is suspended.
        boot = time.clock_gettime(time.CLOCK_BOOTTIME)
        return boot - time.clock_gettime(time.CLOCK_MONOTONIC)

    async def _lead(self, now: float) -> None:
        self._detect_stall()
        phase = self._coordinator.phase
        actions = self._coordinator.decide(now)
        if self._coordinator.phase is not phase:
            log_event(
                "info",
                "map-phase",
                group=self._group,
                epoch=self._coordinator.epoch,
                before=phase.name.lower(),
                **self._coordinator.describe_change(),
            )
        for action in actions:
            if isinstance(action, SendMapChange):
                if not action.change.step:
                    # The leader's own rank is armed after all others.
                    self._change = action.change
                    self._changed.set()
                await self._send_change(action)
            elif isinstance(action, QueryAgent):
                request = OrderRequest(self._group, self._coordinator.epoch)
                await self._port.send(request, action.agent)
            elif isinstance(action, PingAgent):
                ping = OrderRequest(self._group, self._coordinator.epoch, release=True)
                await self._port.send(ping, action.agent)
            elif isinstance(action, QueryRank):
                assert self._nursery is not None
                self._nursery.start_soon(self._query_rank, action.replica)
            elif isinstance(action, DelegateOrder):
                await self._delegate(action)
            elif isinstance(action, SendOrder):
                assert self._nursery is not None
                self._nursery.start_soon(self._give_order, action.replica, action.order)
        if self._coordinator.is_holding and not self._is_hold_task_running:
            assert self._nursery is not None
            self._is_hold_task_running = True
            self._nursery.start_soon(self._lead_while_holding)

    async def _delegate(self, action: DelegateOrder) -> None:
        order = action.order
        is_release = isinstance(order, Release)
        request = OrderRequest(self._group, order.epoch, order.step, is_release)
        if action.agent == self._settings.messages:
            self._handle_order_request(request, action.agent)
        else:
            await self._port.send(request, action.agent)

    async def _send_change(self, action: SendMapChange) -> None:
        """Send a change to agents; a change with maps is forwarded by a few of them."""
        # The leader's own rank must not be armed before all others, so its agent never
        # gets the change as a message.
        to = [one for one in action.to if one != self._settings.messages]
        if not action.change.experts:
            await self._port.send(action.change, *to)
            return
        # Shuffle each time, so that an agent whose forwarding agent has failed gets the
        # next message through another one.
        self._random.shuffle(to)
        self._spread_change(action.change, split_by_zone(to, self._zones))

    def _spread_change(
        self, change: MapChange, parts: list[tuple[str, tuple[str, ...]]]
    ) -> None:
        if parts and self._nursery is not None:
            self._nursery.start_soon(self._send_paced, change, parts)

    async def _send_paced(
        self, change: MapChange, parts: list[tuple[str, tuple[str, ...]]]
    ) -> None:
        """Send a large message to agents in turn, at the rate of the link."""
        for agent, others in parts:
            size = await self._port.send(replace(change, forward=others), agent)
            await trio.sleep(size * _BITS / self._settings.link_bits_per_s)

    async def _query_rank(self, replica: str) -> None:
        try:
            report = await self._ranks.read_report(replica)
        except RankError as error:
            log_event("info", "rank-silent", replica=replica, why=error)
            return
        state = self._make_state(report, (), replica=replica)
        now = trio.current_time()
        self._coordinator.observe(state, now=now, queried=True)
        self._changed.set()
        if self._coordinator.waits_for_ranks:
            await self._lead(now)

    async def _give_order(self, replica: str, order: RankOrder) -> None:
        started_at = trio.current_time()
        start = self._coordinator.find_start(replica)
        outcome = await self._ranks.send_order(replica, order)
        self._metrics.count_event(f"order-{outcome.value}")
        self._changed.set()
        log_event(
            "info",
            "order",
            replica=replica,
            order=_describe_order(order),
            outcome=outcome.value,
            phase=self._coordinator.phase.name,
            took_ms=round((trio.current_time() - started_at) * 1_000, 1),
        )
        if outcome is OrderOutcome.DONE and self._coordinator.waits_for_ranks:
            self._coordinator.record_confirmed(replica, order, started_ms=start)
            await self._lead(trio.current_time())
        if (
            outcome is OrderOutcome.DONE
            and isinstance(order, Arm)
            and replica == self._settings.replica
        ):
            await self._report_armed(order)
        if outcome is OrderOutcome.UNKNOWN:
            self._last_order = (None, float("-inf"))

    async def _report_armed(self, order: Arm) -> None:
        """Report that the own rank is armed, without waiting for the next poll.

        The group is held until the last rank has reported it.
        """
        report = self._report
        if report is None or report.epoch != order.epoch:
            return
        if report.map_version == order.version:
            return
        self._report = replace(
            report, armed_version=order.version, armed_step=order.step
        )
        state = self._make_state(self._report, ())
        self._reported_progress = get_progress(state)
        await self._send_state(state, trio.current_time())

    async def _log_group(self) -> None:
        while True:
            await trio.sleep(LOG_INTERVAL_S)
            now = trio.current_time()
            if self._report is not None and self._coordinator.leads(now):
                log_event(
                    "info",
                    "group",
                    group=self._report.group,
                    epoch=self._report.epoch,
                    step=self._report.step,
                    pass_ms=round(self._passes.measure(now=now) * 1_000, 1),
                    **self._coordinator.describe(now),
                )

    async def _send_presence(self) -> None:
        """Send presence regularly, and at once when other agents become known.

        After a power loss, until a group has found its members, no map follows the
        demand, and a pass that was held by a killed leader does not continue.
        """
        while True:
            with trio.move_on_after(PRESENCE_INTERVAL_S):
                await self._found_agents.wait()
                self._found_agents = trio.Event()
            report = self._report
            now = trio.current_time()
            if report is None or not report.group:
                continue
            if not self._presence.sends_presence(report.rank, now):
                continue
            self._follow_store()
            leads = self._coordinator.leads(now)
            receivers = self._presence.choose_presence_receivers(
                report.rank, report.ranks, self._agents, now, leads=leads
            )
            presence = Presence(
                self._settings.messages, report.group, report.epoch, report.rank, leads
            )
            await self._port.send(presence, *receivers)

    def _follow_store(self) -> None:
        """Start to watch the store for the other agents and the layout of experts.

        Only agents that lead, or lead next, need them. If all 192 agents of a service
        watched the store, each registration would cost one call per agent.
        """
        if not self._follows_store and self._nursery is not None:
            self._follows_store = True
            self.feed.start(self._nursery)
            log_event("info", "store-followed")


def _is_sampled(report: RankReport) -> bool:
    stride = ceil(report.ranks / SAMPLED_RANKS)
    return bool(report.group) and report.rank % stride == 0


def _choose_order(change: MapChange, report: RankReport) -> RankOrder | None:
    if report.prepared != change.version:
        if change.step or report.busy:
            return None
        return Prepare(change.epoch, change.version, change.experts)
    if change.step and report.armed_step != change.step:
        return Arm(change.epoch, change.version, change.step)
    return None


def _describe_order(order: RankOrder) -> str:
    fields: dict[str, Any] = {
        name: getattr(order, name)
        for name in ("version", "step")
        if hasattr(order, name)
    }
    return type(order).__name__.lower() + "".join(
        f",{k}={v}" for k, v in fields.items()
    )
