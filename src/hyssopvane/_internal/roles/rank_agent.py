"""Run the agent beside a rank: tell its load, and change its group's expert map."""

import secrets
import time
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
from hyssopvane._internal.policy.map_coordinator import (
    DEPUTIES,
    LOOK_S,
    Announce,
    AskRank,
    GiveOrder,
    MapCoordinator,
    get_progress,
    measure_look_s,
)
from hyssopvane._internal.policy.pass_meter import PassMeter
from hyssopvane._internal.protocol.group_messages import GroupMessage
from hyssopvane._internal.roles.metrics_app import MetricsApp
from hyssopvane._internal.roles.process import Role
from hyssopvane._internal.state.group import (
    Counts,
    EntryState,
    ExpertsBySet,
    MapChange,
    RankState,
)
from hyssopvane._internal.state.loads import GroupLoad, MemberLoad
from hyssopvane._internal.state.ranks import Arm, Prepare, RankOrder, RankReport
from hyssopvane._internal.transport.addresses import replace_port
from hyssopvane._internal.transport.asgi_server import serve_until_cancelled
from hyssopvane._internal.transport.datagrams import DatagramPort
from hyssopvane._internal.utils.logs import log_event
from hyssopvane._internal.utils.metrics import Metrics

IDLE_POLL_S = 0.2
"""As above, while the rank has nothing to do."""

COUNTS_EVERY = 2
"""Looks at the report for one look at the counts: one in two passes."""

COUNTED_RANKS = 12
"""Ranks of a group that read and tell their counts, spread evenly over the group.

Their requests are a fair sample of the group's. A message with the counts of 16 sets of
96 experts has 3 KB; from all of 24 ranks, eight times a second, these are 4.7 Mbit/s,
more than the link of the leader's machine may have.
"""

PRESENCE_S = 0.25
"""Pause between two messages to the group's other agents, from the lowest ranks."""

FAR_PRESENCE_S = 2.0
"""As above, from all other ranks, and to the agents of the service's other groups.

They only have to be found: a replica that is replaced may be given to any group.
"""

RELAYS = 5
"""Agents that a leader sends a new map to when there are more, to be passed on.

A link of 4 Mbit/s keeps some 12 KB waiting and drops the rest: of 23 datagrams of
2.4 KB sent at once five arrived, and no change of maps ever came about. With 63 ranks
a map has 4 KB and each relay passes on 12, which are sent at the pace of the link.
"""

ENTRY_GONE_S = 5.0
"""Silence after which an entry gets no more load: it speaks every two seconds."""

LOG_INTERVAL_S = 1.0
"""Pause between two lines on the state of the group, written by its leader."""

_RETRY_S = 0.08
_COPYING_S = 1.0
"""Time after which a rank that has taken an order to copy experts is asked again."""
STANDSTILL_S = 0.1
"""Time of suspension that counts: the clocks themselves differ by far less."""

PAUSE_S = 1.0
"""Time without a look after which the process counts as having stood still.

A process may be stopped while its machine and its clocks go on. Looks come every 0.2 s
at most; one that was only slow loses no more than the change it was about.
"""

_BLIND_S = 1.2
"""Time for which an entry that does not hear of the replica is told its load straight:
such an entry says so every 0.5 s."""

_DUE_SHARE = 0.9
"""Part of the pause between two looks after which the next word is due.

A change makes agents look more often. Were each look told, a thousand messages a second
would reach the leader of 63 ranks, and its loads would fill its link to the entries.
"""

_BITS = 8

_LOST_S = 1.0
"""Silence after which an agent is no longer taken for the leader."""
_GONE_S = 6.0
"""Silence after which an agent is told nothing more."""


class RankAgent(Role):
    """Stand beside one rank."""

    def __init__(
        self,
        settings: RankAgentSettings,
        *,
        store: KeyValueStore,
        format: RoutingFormat,
        ranks: RankControl,
    ) -> None:
        self._settings = settings
        self._ranks = ranks
        self._store = store
        self._port = DatagramPort(settings.messages)
        self._metrics = Metrics(role=settings.role, vm=settings.vm)
        self.feed = RoutingFeed(
            store,
            format,
            random=Random(secrets.randbits(63)),
            observe=self._update,
            count=self._metrics.count_event,
        )
        self._passes = PassMeter()
        self._coordinator = MapCoordinator(nonce=secrets.randbits(31))
        self._entries: dict[str, float] = {}
        self._blind: dict[str, float] = {}
        """Time at which an entry said last that it does not hear of the replica."""
        self._peers: dict[str, tuple[int, float]] = {}
        """Rank and time of the last message of the other agents, by their address."""
        self._agents: frozenset[str] = frozenset()
        self._report: RankReport | None = None
        self._group = ""
        """Group that the rank was last seen in."""
        self._experts: ExpertsBySet = ()
        self._experts_of = (-1, -1, -1)
        """Start of the rank, epoch and map version that the experts belong to."""
        self._change: MapChange | None = None
        self._ordered: tuple[RankOrder | None, float] = (None, float("-inf"))
        self._told_at = float("-inf")
        """Time of the last regular word to the leader or the entries."""
        self._told_progress: tuple[int, ...] = ()
        """Progress of the change that the leader was told last."""
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._slept_s = self._measure_sleep()
        self._looked_at = float("inf")
        """Time of the last look, which has no bound before the first one."""

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._port.start(nursery, self._receive)
            await self._store.start(nursery)
            self.feed.start(nursery)
            nursery.start_soon(self._watch_rank)
            nursery.start_soon(self._tell_presence)
            nursery.start_soon(self._log_group)
            await nursery.start(
                serve_until_cancelled, MetricsApp(self._metrics), self._settings.metrics
            )
            log_event("info", "started", replica=self._settings.replica)
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """End at once: nothing runs through the agent."""
        log_event("info", "draining", phase=self._coordinator.phase.name)

    async def close(self) -> None:
        """Close all connections."""
        self._port.close()
        self._metrics.close()
        await self._ranks.close()
        await self._store.close()

    def _update(self) -> None:
        port = self._settings.agent_port
        own = self._settings.messages
        addresses = {
            replace_port(replica.address, port)
            for replica in self.feed.replicas.values()
            if replica.service == self._settings.service
        }
        self._agents = frozenset(addresses - {own})
        table = self.feed.table
        spec = None if table is None else table.services.get(self._settings.service)
        if spec is not None and spec.engine is not None:
            self._coordinator.layout = spec.engine.layout

    def _receive(self, message: GroupMessage, sender: str) -> None:
        now = trio.current_time()
        match message:
            case EntryState():
                if message.address not in self._entries:
                    log_event("info", "entry-found", entry=message.address)
                self._entries[message.address] = now
                if message.unheard:
                    self._blind[message.address] = now
            case RankState() | MapChange() if message.group != self._group:
                # A service may have several groups, which have nothing to do with
                # each other: the lowest rank of another one leads nothing here.
                if isinstance(message, RankState):
                    self._peers.pop(message.messages, None)
            case RankState():
                self._peers[message.messages] = (message.rank, now)
                is_news = self._coordinator.observe(message, now=now)
                waits = is_news and self._coordinator.waits_for_ranks
                if waits and self._nursery is not None:
                    # Until the last rank has told that it is armed, a pass is held:
                    # waiting for the next look at the own rank would cost a pass.
                    self._nursery.start_soon(self._lead, now)
            case MapChange():
                self._change = message
                self._changed.set()
                if message.forward and self._nursery is not None:
                    passed_on = replace(message, forward=())
                    self._nursery.start_soon(
                        self._send_paced, passed_on, message.forward
                    )
            case _:
                log_event("debug", "datagram-unexpected", sender=sender)

    async def _watch_rank(self) -> None:
        number = 0
        lost = False
        while True:
            counts: Counts = ()
            try:
                report = await self._ranks.read_report(self._settings.replica)
                if number % COUNTS_EVERY == 0 and _tells_counts(report):
                    counts = await self._ranks.read_counts(self._settings.replica)
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
                await trio.sleep(LOOK_S)
                continue
            number += 1
            self._report = report
            self._group = report.group or self._group
            await self._use_report(report, counts)
            idle = not (report.active or report.queued or report.held_step)
            pause_s = measure_look_s(report.ranks)
            if self._is_changing(report):
                # What the rank has copied or is armed for shows at the next look, and
                # the whole group waits for the last rank to tell it.
                pause_s = LOOK_S
            with trio.move_on_after(IDLE_POLL_S if idle else pause_s):
                await self._changed.wait()
            self._changed = trio.Event()

    async def _refresh_experts(self, report: RankReport) -> None:
        wanted = (report.started_ms, report.epoch, report.map_version)
        if report.group and wanted != self._experts_of:
            self._experts = await self._ranks.read_experts(self._settings.replica)
            self._experts_of = wanted
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

    async def _use_report(self, report: RankReport, counts: Counts) -> None:
        now = trio.current_time()
        self._notice_standstill()
        if report.active or report.queued:
            self._passes.observe(report.step, now=now)
        else:
            self._passes.rest()
        state = self._make_state(report, counts)
        is_due = now - self._told_at >= _DUE_SHARE * measure_look_s(report.ranks)
        if is_due:
            self._told_at = now
        entries = self._list_entries(now) if is_due else ()
        if not report.group:
            await self._tell_load(report, [(state, 0.0)], entries, entries)
            return
        self._coordinator.observe(state, now=now, own=True)
        if self._coordinator.leads(now):
            heard = self._coordinator.list_heard(now)
            await self._tell_load(report, heard, entries, entries)
        else:
            blind = tuple(e for e in entries if now - self._told_blind(e) < _BLIND_S)
            await self._tell_load(report, [(state, 0.0)], entries, blind)
        leader = self._find_leader(report, now)
        progress = get_progress(state)
        if leader is not None and (is_due or progress != self._told_progress):
            # The experts travel with the presence: they change seldom.
            await self._port.send(replace(state, experts=()), leader)
            self._told_progress = progress
        await self._follow_change(report, now)
        await self._lead(now)

    def _list_entries(self, now: float) -> tuple[str, ...]:
        for address, heard_at in list(self._entries.items()):
            if now - heard_at > ENTRY_GONE_S:
                del self._entries[address]
                self._blind.pop(address, None)
                log_event("info", "entry-gone", entry=address)
        return tuple(self._entries)

    def _find_leader(self, report: RankReport, now: float) -> str | None:
        """Return the agent of the lowest rank that lives, unless it is this one."""
        lower = [
            (rank, address)
            for address, (rank, at) in self._peers.items()
            if rank < report.rank and now - at < _LOST_S
        ]
        return min(lower)[1] if lower else None

    def _told_blind(self, entry: str) -> float:
        return self._blind.get(entry, float("-inf"))

    async def _tell_load(
        self,
        report: RankReport,
        heard: list[tuple[RankState, float]],
        entries: tuple[str, ...],
        to: tuple[str, ...],
    ) -> None:
        """Tell entries the load of ranks, all of a group in one message."""
        if not to:
            return
        load = GroupLoad(
            group=report.group,
            epoch=report.epoch,
            ranks=report.ranks,
            open=report.open,
            step=report.step,
            pass_s=self._passes.measure(now=trio.current_time()),
            entries=entries,
            members=tuple(
                MemberLoad(
                    state.replica,
                    state.active,
                    state.queued,
                    state.pace,
                    age_s,
                    state.started_ms,
                )
                for state, age_s in heard
            ),
        )
        await self._port.send(load, *to)

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

    async def _follow_change(self, report: RankReport, now: float) -> None:
        """Bring the own rank to what the leader asks for."""
        change = self._change
        if change is None or change.epoch != report.epoch:
            return
        if change.group != report.group or report.map_version >= change.version:
            return
        order = _choose_order(change, report)
        if order is None or (order == self._ordered[0] and now < self._ordered[1]):
            return
        repeat_s = _COPYING_S if isinstance(order, Prepare) else _RETRY_S
        self._ordered = (order, now + repeat_s)
        assert self._nursery is not None
        self._nursery.start_soon(self._give_order, self._settings.replica, order)

    def _notice_standstill(self) -> None:
        """Forget what was going on when the machine has stood still meanwhile."""
        now = trio.current_time()
        slept_s = self._measure_sleep() - self._slept_s
        self._slept_s += slept_s
        paused_s, self._looked_at = now - self._looked_at, now
        if slept_s > STANDSTILL_S or paused_s > PAUSE_S:
            self._coordinator.forget()
            self._change = None
            log_event("warning", "stood-still", seconds=round(slept_s + paused_s, 2))

    def _measure_sleep(self) -> float:
        # The steady clock does not count the time in which a machine is suspended.
        boot = time.clock_gettime(time.CLOCK_BOOTTIME)
        return boot - time.clock_gettime(time.CLOCK_MONOTONIC)

    async def _lead(self, now: float) -> None:
        self._notice_standstill()
        for action in self._coordinator.decide(now):
            if isinstance(action, Announce):
                if not action.change.step:
                    # The leader's own rank is armed after all others.
                    self._change = action.change
                    self._changed.set()
                await self._announce(action)
            elif isinstance(action, AskRank):
                assert self._nursery is not None
                self._nursery.start_soon(self._ask_rank, action.replica)
            elif isinstance(action, GiveOrder):
                assert self._nursery is not None
                self._nursery.start_soon(self._give_order, action.replica, action.order)

    async def _announce(self, action: Announce) -> None:
        """Tell agents of a change, a large one by way of a few of them."""
        # The leader's own rank must not be armed before all others, so its agent is
        # never told by message.
        to = [one for one in action.to if one != self._settings.messages]
        relays, others = to[:RELAYS], tuple(to[RELAYS:])
        if not action.change.experts or not others:
            await self._port.send(action.change, *to)
            return
        for number, relay in enumerate(relays):
            told = replace(action.change, forward=others[number::RELAYS])
            await self._send_paced(told, (relay,))

    async def _send_paced(self, message: MapChange, to: tuple[str, ...]) -> None:
        """Send a large message to one agent after the other, as the link takes them."""
        for address in to:
            size = await self._port.send(message, address)
            await trio.sleep(size * _BITS / self._settings.link_bits_per_s)

    async def _ask_rank(self, replica: str) -> None:
        try:
            report = await self._ranks.read_report(replica)
        except RankError as error:
            log_event("info", "rank-silent", replica=replica, why=error)
            return
        state = self._make_state(report, (), replica=replica)
        now = trio.current_time()
        self._coordinator.observe(state, now=now, asked=True)
        self._changed.set()
        if self._coordinator.waits_for_ranks:
            await self._lead(now)

    def _list_peers(self, now: float) -> tuple[str, ...]:
        return tuple(a for a, (_, at) in self._peers.items() if now - at < _GONE_S)

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
            self._coordinator.note_done(replica, order, started_ms=start)
            await self._lead(trio.current_time())
        if outcome is OrderOutcome.UNKNOWN:
            self._ordered = (None, float("-inf"))

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

    async def _tell_presence(self) -> None:
        pause_s = PRESENCE_S
        told_all_at = float("-inf")
        while True:
            await trio.sleep(pause_s)
            report = self._report
            if report is None or not report.group:
                continue
            now = trio.current_time()
            to_all = now - told_all_at >= FAR_PRESENCE_S
            if to_all:
                told_all_at = now
            told = self._agents if to_all else self._list_peers(now)
            await self._port.send(self._make_state(report, ()), *told)
            pause_s = PRESENCE_S if report.rank <= DEPUTIES else FAR_PRESENCE_S


def _tells_counts(report: RankReport) -> bool:
    stride = ceil(report.ranks / COUNTED_RANKS)
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
