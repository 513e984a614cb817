"""Run the entry of the direct path: callers in front, replicas behind."""

import secrets
from dataclasses import replace
from itertools import count
from random import Random
from typing import Any

import trio

from hyssopvane._internal.coordination.key_value import KeyValueStore
from hyssopvane._internal.coordination.routing_feed import RoutingFeed, RoutingFormat
from hyssopvane._internal.models.settings import DirectEntrySettings
from hyssopvane._internal.policy.crash_suspects import CrashSuspects
from hyssopvane._internal.policy.load_inbox import LoadInbox
from hyssopvane._internal.policy.repeat_budget import RepeatBudget
from hyssopvane._internal.policy.store_watch import choose_watch_s
from hyssopvane._internal.protocol.group_messages import GroupMessage
from hyssopvane._internal.protocol.replica_headers import ReplicaHeaders
from hyssopvane._internal.roles.belief_exchange import BeliefExchange
from hyssopvane._internal.roles.direct_app import DirectApp
from hyssopvane._internal.roles.direct_call import Tools
from hyssopvane._internal.roles.gate_keeper import GateKeeper
from hyssopvane._internal.roles.metrics_app import MetricsApp
from hyssopvane._internal.roles.process import Role
from hyssopvane._internal.state.group import EntryState
from hyssopvane._internal.state.limits import ReplicaLimits
from hyssopvane._internal.state.loads import GroupLoad, Roster
from hyssopvane._internal.transport.addresses import replace_port
from hyssopvane._internal.transport.asgi_messages import (
    TEXT_TYPE,
    send_response,
    serve_lifespan,
)
from hyssopvane._internal.transport.asgi_server import serve_asgi, serve_until_cancelled
from hyssopvane._internal.transport.datagrams import DatagramPort
from hyssopvane._internal.transport.replica_client import ReplicaClient
from hyssopvane._internal.utils.deferred_metrics import DeferredMetrics
from hyssopvane._internal.utils.logs import log_event

RETURN_TOLD_S = 3.0
"""Time for which other entries are told that the store has come back: what lapsed
meanwhile is back within two seconds."""

LOOK_S = 0.25
"""Pause between two looks for groups whose load no longer comes."""

TELL_PEERS_EVERY = 2
"""Looks between two words to other entries on how new this one's beliefs are."""

TELL_LEADERS_EVERY = 4
"""Looks between two words to the agents that lead groups or lead them next: they tell
loads to whoever has spoken in the last seconds."""

_LISTEN_SHARE = 0.36
"""Part of the grace period in which new requests still come in.

The balancer takes an entry out after two missed readiness checks, a second apart.
"""


class DirectEntry(Role):
    """Serve callers straight from the replicas."""

    def __init__(
        self,
        settings: DirectEntrySettings,
        *,
        store: KeyValueStore,
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
            observe_restart=self._forget_connections,
        )
        self.feed = RoutingFeed(
            store,
            format,
            random=random,
            observe=self._update,
            count=self.metrics.count_event,
        )
        self.exchange = BeliefExchange(self.feed, seeds=settings.seeds)
        self._client = ReplicaClient()
        self._nursery: trio.Nursery | None = None
        self._port = DatagramPort(settings.messages, count=self.metrics.count_event)
        self._random = random
        self._inbox = LoadInbox(random=random)
        self._silent: frozenset[str] = frozenset()
        """Groups whose load did not come at the last look."""
        self.app = DirectApp(
            feed=self.feed,
            random=random,
            tools=Tools(
                names=names,
                gates=self.gates,
                client=self._client,
                metrics=self.metrics,
                suspects=CrashSuspects(),
                budget=RepeatBudget(
                    share=settings.repeat_share, slack=settings.repeat_slack
                ),
            ),
        )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve callers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._store.start(nursery)
            self.feed.start(nursery)
            self.gates.start(nursery)
            self.beliefs_address = await nursery.start(
                serve_until_cancelled, self.exchange.answer, self.settings.beliefs
            )
            self.exchange.start(nursery)
            await self._port.start(nursery, self._receive)
            nursery.start_soon(self._tell_state)
            self.readiness_address = await nursery.start(
                serve_until_cancelled, self._answer_balancer, self.settings.readiness
            )
            self.metrics_address = await nursery.start(
                serve_until_cancelled,
                MetricsApp(self.metrics),
                self.settings.metrics,
            )
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
        """Leave the balancer, then let every request in progress end whole."""
        self.leaving = True
        self._leaving_event.set()
        log_event("info", "draining", running=self.app.running)
        await trio.sleep(self.settings.grace_s * _LISTEN_SHARE)
        self.app.refusing = True
        self._shutdown.set()
        await self._callers_closed.wait()

    async def close(self) -> None:
        """Close all connections."""
        self._port.close()
        await self.exchange.close()
        await self._client.close()
        await self._store.close()
        self.metrics.close()

    def is_ready(self) -> bool:
        """Tell whether the entry takes new requests."""
        return not self.leaving and self.feed.is_ready()

    def _update(self) -> None:
        for level, value in self.feed.measure_levels().items():
            self.metrics.set_level(level, value)
        self.gates.update(self.feed.table, self.feed.replicas)

    def _forget_connections(self, address: str) -> None:
        """Close the connections that wait for a replica that is gone.

        They lead to its earlier start, and a request sent on one of them may hang until
        the connection times out.
        """
        self.metrics.count_event("replica-restarted")
        log_event("info", "replica-restarted", address=address)
        if self._nursery is not None:
            self._nursery.start_soon(self._client.close_idle, address)

    def _receive(self, message: GroupMessage, sender: str) -> None:
        match message:
            case EntryState():
                if message.store_returned_s is not None:
                    self.feed.note_return(
                        trio.current_time() - message.store_returned_s
                    )
                self.exchange.observe(message)
            case Roster():
                self._inbox.add_roster(message, now=trio.current_time())
                if message.relay:
                    self._pass_on(message, message)
            case GroupLoad():
                self._take_load(message)
            case ReplicaLimits():
                self.gates.observe_limits(message)
            case _:
                log_event("debug", "datagram-unexpected", sender=sender)

    def _take_load(self, load: GroupLoad) -> None:
        roster = self._inbox.accept(load, now=trio.current_time())
        if roster is None:
            self.metrics.count_event("load-unused")
            return
        self.gates.observe_load(load, roster)
        if load.relay:
            self._pass_on(load, roster)

    def _pass_on(self, message: GroupLoad | Roster, roster: Roster) -> None:
        """Send what a leader tells to the other entries of the zone."""
        near = [
            one.address
            for one in roster.entries
            if one.availability_zone == self.settings.availability_zone
            and one.address != self._port.address
        ]
        if near and self._nursery is not None:
            passed_on = replace(message, relay=False)
            self._nursery.start_soon(self._port.send, passed_on, *near)

    async def _tell_state(self) -> None:
        for number in count():
            now = trio.current_time()
            state = EntryState(
                address=self._port.address,
                beliefs=self.beliefs_address,
                configuration_version=self.feed.configuration_version,
                replicas_revision=self.feed.replicas_revision,
                replicas_era=self.feed.replicas_position.era,
                availability_zone=self.settings.availability_zone,
                store_returned_s=self._measure_return(now),
            )
            told = set()
            if number % TELL_PEERS_EVERY == 0:
                peers = self._choose_peers()
                told.update(peers)
                limits = self.gates.list_limits()
                if limits.reports and peers:
                    await self._port.send(limits, *peers)
            if number % TELL_LEADERS_EVERY == 0:
                told.update(map(self._find_agent, self._inbox.list_contacts()))
            await self._port.send(state, *told)
            self._note_silence(now)
            await self._complain(replace(state, lacks_load=True), now)
            await trio.sleep(LOOK_S)

    def _note_silence(self, now: float) -> None:
        silent = self._inbox.list_silent(now)
        for group in silent - self._silent:
            log_event("warning", "group-silent", group=group)
        for group in self._silent - silent:
            log_event("info", "group-heard", group=group)
        self._silent = silent

    def _measure_return(self, now: float) -> float | None:
        if self.feed.returned_at is None or now - self.feed.returned_at > RETURN_TOLD_S:
            return None
        return now - self.feed.returned_at

    def _choose_peers(self) -> list[str]:
        """Return the entries that are told how new this one's beliefs are.

        Those of the zone, and one of another: from zone to zone news then take about
        as long as inside one, and what an entry sends grows with its zone only.
        """
        others = [
            one
            for one in self._inbox.list_entries()
            if one.address != self._port.address
        ]
        zone = self.settings.availability_zone
        near = [one.address for one in others if one.availability_zone == zone]
        far = [one.address for one in others if one.availability_zone != zone]
        self.gates.observe_entries(self._port.address, near)
        self._store.watch_s = choose_watch_s(self._port.address, near)
        return near + self._random.sample(sorted(far), min(1, len(far)))

    async def _complain(self, state: EntryState, now: float) -> None:
        """Tell agents that the load of their replicas does not come.

        Without this a relay that has died, or a leader that is cut off from this entry
        alone, would leave the entry to guess the load of all ranks.
        """
        silent = self._inbox.choose_load_queries(now)
        ranked = self._list_ranked()
        replicas = [
            replica.address
            for replica in self.feed.replicas.values()
            if replica.service in ranked
        ]
        asked = silent + self._inbox.choose_replica_queries(replicas, now)
        if asked:
            self.metrics.count_event("load-missing", len(asked))
            await self._port.send(state, *map(self._find_agent, asked))

    def _find_agent(self, replica: str) -> str:
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
        await serve_asgi(
            self.app,
            bind=self.settings.callers,
            graceful_timeout_s=self.settings.grace_s,
            shutdown=self._shutdown,
            leaving=self._leaving_event,
            task_status=task_status,
        )
        self._callers_closed.set()

    async def _answer_balancer(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["path"] == self._ready_path:
            status = 200 if self.is_ready() else 503
            await send_response(send, status=status, headers=(TEXT_TYPE,), body=b"")
        else:
            await send_response(send, status=404, headers=(TEXT_TYPE,), body=b"")
