"""Queue requests at the gate of their service until it assigns or rejects them."""

import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from math import inf
from random import Random

import trio

from hyssopvane._internal.policy.entry_demand import EntryDemand
from hyssopvane._internal.policy.gate_decisions import (
    Assignment,
    QueuedRequest,
    Rejection,
)
from hyssopvane._internal.policy.home_replicas import HomeReplicas
from hyssopvane._internal.policy.limit_shares import EntryCounter, RateBound
from hyssopvane._internal.policy.replica_notices import ReplicaNotices
from hyssopvane._internal.policy.service_gate import ServiceGate
from hyssopvane._internal.policy.zone_choice import OTHER_SOONER, OWN, OWN_FULL
from hyssopvane._internal.policy.zone_evacuations import choose_ramp_s
from hyssopvane._internal.state.limits import LimitReport, ReplicaLimits
from hyssopvane._internal.state.loads import (
    MAX_LOAD_AGE_S,
    GroupLoad,
    RankLoad,
    Roster,
    split_load,
)
from hyssopvane._internal.state.routing import Replica, RoutingTable, ServiceSpec
from hyssopvane._internal.state.suspects import RequestIdentity
from hyssopvane._internal.state.waiting import WaitingRow
from hyssopvane._internal.utils.logs import log_event

DISPATCH_INTERVAL_S = 0.01
"""Pause between two checks for requests that have waited too long."""

EXPIRE_INTERVAL_S = 0.5
"""Pause between two checks for expired notices of replicas."""

STALL_INTERVAL_S = 0.1
"""Pause between two checks for attempts at VMs that no longer answer."""


SHARES_LOG_INTERVAL_S = 1.0
"""Least pause between two log lines about shares of places, or about zones."""


class _Waiter:
    def __init__(self) -> None:
        self.event = trio.Event()
        self.decision: Assignment | Rejection | None = None


class GateKeeper:
    """Hold one gate for each service, and wake the requests that they decide on."""

    def __init__(
        self,
        *,
        random: Random,
        availability_zone: str,
        observe_restart: Callable[[str], None] = lambda address: None,
        stall_s: float | None = None,
        prefers_own_zone: bool = False,
    ) -> None:
        self._stall_s = stall_s
        self._prefers_own_zone = prefers_own_zone
        self._observe_restart = observe_restart
        """Callback with the address of a replica that restarted under its ID."""
        self.observe_ended: Callable[[Replica], None] = lambda replica: None
        """Callback with a replica whose registration has ended unannounced."""
        self.cold_bound: RateBound | None = None
        """Bound on the requests to cold replicas; None if there is none."""
        self.report_cold: Callable[[Iterable[ServiceGate]], None] = lambda gates: None
        """Callback that logs and counts changes of cold replicas."""
        self.homes = HomeReplicas()
        self.entry_counter = EntryCounter(availability_zone=availability_zone)
        self._notices = ReplicaNotices()
        self._demand = EntryDemand()
        self._make_gate = partial(
            ServiceGate,
            random=random,
            availability_zone=availability_zone,
            homes=self.homes,
            entry_counter=self.entry_counter,
            notices=self._notices,
        )
        self._gates: dict[str, ServiceGate] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._table: RoutingTable | None = None
        """Routing table from which the gates' ramps were computed."""
        self._waiters: dict[str, _Waiter] = {}
        self._shares_logged_at: dict[str, float] = {}
        """Time of the last log line about shares, by service."""
        self._zone_counts: dict[str, Counter[str]] = {}
        """Choices between zones since the last log line, by service."""
        self._zones_logged_at: dict[str, float] = {}
        """Time of the last log line about zones, by service."""
        self._services: dict[str, str] = {}
        """Service by the address of its replica."""
        self._nursery: trio.Nursery | None = None
        self._has_waiting = trio.Event()
        """Set when a request waits after the first look at it."""

    def start(self, nursery: trio.Nursery) -> None:
        """Start the dispatch, the expiry of notices and the check for stalled VMs."""
        self._nursery = nursery
        nursery.start_soon(self._dispatch_regularly)
        nursery.start_soon(self._move_stalled_attempts)
        nursery.start_soon(self._expire_notices)

    def update(self, table: RoutingTable | None, replicas: dict[str, Replica]) -> None:
        """Apply a new routing table and a new list of replicas."""
        # Ignore replicas that name a service which is not configured. A gate for each
        # name would also let an outsider exhaust the memory.
        services = {} if table is None else table.services
        by_service: dict[str, list[Replica]] = {}
        for replica in replicas.values():
            if replica.service in services:
                by_service.setdefault(replica.service, []).append(replica)
        self._services = {
            one.address: one.service for known in by_service.values() for one in known
        }
        for name in by_service.keys() | self._gates.keys():
            spec = services.get(name)
            self.get_gate(name).cold.configure(spec, self.cold_bound)
            for ended in self.get_gate(name).find_ended(by_service.get(name, ())):
                self.observe_ended(ended)
            restarted = self.get_gate(name).update(
                by_service.get(name, ()),
                None if spec is None else spec.engine,
                now=trio.current_time(),
            )
            limit_s, form_s = self._get_formation_times_s(spec)
            self.get_gate(name).set_formation_limit(limit_s, form_s=form_s)
            for address in restarted:
                self._observe_restart(address)
        for name, gate in self._gates.items():
            has_priorities = table is not None and table.has_priorities(name)
            gate.set_prioritized(has_priorities)
            # Elsewhere, entries take even parts as they did before this rule.
            gate.set_follows_requests(has_priorities or gate.formation.limit_s > 0)
        self._set_ramps(table)
        for route in () if table is None else table.routes:
            if route.pause_s:
                for part in route.split:
                    self.get_gate(part.service).set_pause(route.pause_s)
        self.dispatch()

    def _get_formation_times_s(self, spec: ServiceSpec | None) -> tuple[float, float]:
        if self._stall_s is None or spec is None or spec.engine is None:
            return 0.0, 0.0
        form_s = spec.engine.form_s
        return (self._stall_s + form_s if form_s else 0.0), form_s

    def get_gate(self, service: str) -> ServiceGate:
        """Return the gate of a service."""
        if service not in self._gates:
            gate = self._gates[service] = self._make_gate()
            gate.zone_choice.is_enabled = self._prefers_own_zone
            if self._table is not None:
                gate.evacuations.ramp_s = choose_ramp_s(self._table, service)
            if self._evacuated:
                gate.set_evacuated_zones(self._evacuated, now=trio.current_time())
        return self._gates[service]

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Set the zones to whose replicas nothing may be sent."""
        self._evacuated = zones
        for gate in self._gates.values():
            gate.set_evacuated_zones(zones, now=trio.current_time())

    def _set_ramps(self, table: RoutingTable | None) -> None:
        if table is None or table is self._table:
            return
        self._table = table
        for name, gate in self._gates.items():
            gate.evacuations.ramp_s = choose_ramp_s(table, name)

    def observe_load(self, load: GroupLoad, roster: Roster) -> None:
        """Apply the load that the leading agent of a group publishes."""
        now = trio.current_time()
        self.entry_counter.observe(load.entries, now=now)
        by_service: dict[str, list[tuple[RankLoad, float]]] = {}
        for member, age_s in split_load(load, roster):
            service = self._services.get(member.address)
            if service is not None:
                at = now - age_s
                if age_s >= MAX_LOAD_AGE_S:
                    # It may be much older, and then says nothing new.
                    at = self._gates[service].bound_load_time(member.address, at)
                by_service.setdefault(service, []).append((member, at))
        for service, members in by_service.items():
            fleet = self._gates[service].fleet
            if fleet is not None and load.waiting is not None:
                fleet.observe(
                    load.waiting,
                    now=now,
                    group=roster.group,
                    reporting=load.reporting,
                )
            # What waits is looked at within a hundredth of a second anyway; a look at
            # each load costs more than it brings.
            starts_ms = [one.started_ms for one, _ in members]
            started_s = time.time() - max(starts_ms) / 1_000 if all(starts_ms) else None
            restarts = self._gates[service].observe_loads(members, started_s=started_s)
            for restarted in restarts:
                self._observe_restart(restarted)

    def find_service(self, address: str) -> str | None:
        """Return the service of the replica at an address."""
        return self._services.get(address)

    def observe_closed(self, address: str) -> None:
        """Record that a replica has closed all idle connections to it."""
        service = self._services.get(address)
        if service is not None:
            self._gates[service].record_closed(address, now=trio.current_time())

    def list_waiting(self) -> dict[str, tuple[WaitingRow, ...]]:
        """Return what waits at the gates of services with several priorities."""
        return {
            name: gate.list_rows()
            for name, gate in self._gates.items()
            if gate.fleet is not None
        }

    def log_shares(self, count_event: Callable[[str, int], None]) -> None:
        """Count decisions by shares, and log their inputs once a second a service."""
        now = trio.current_time()
        for name, gate in self._gates.items():
            if gate.fleet is None:
                continue
            shared, even = gate.shares.take_counts()
            if shared:
                count_event("places-shared", shared)
            if even:
                count_event("places-even", even)
            spare = gate.take_spare_count()
            if spare:
                count_event("place-spare", spare)
            logged_at = self._shares_logged_at.get(name, -inf)
            if shared + even and now >= logged_at + SHARES_LOG_INTERVAL_S:
                self._shares_logged_at[name] = now
                log_event(
                    "info",
                    "place-shares",
                    service=name,
                    shared=shared,
                    even=even,
                    **gate.shares.describe(),
                )

    def log_zone_choices(self, count_event: Callable[[str, int], None]) -> None:
        """Count choices between zones, and log them where a request left the own."""
        now = trio.current_time()
        for name, gate in self._gates.items():
            new = gate.zone_choice.take_counts()
            for choice, number in new.items():
                count_event(f"zone-{choice}", number)
            counts = self._zone_counts.setdefault(name, Counter())
            counts.update(new)
            logged_at = self._zones_logged_at.get(name, -inf)
            if counts.keys() <= {OWN} or now < logged_at + SHARES_LOG_INTERVAL_S:
                continue
            self._zones_logged_at[name] = now
            del self._zone_counts[name]
            log_event(
                "info",
                "zone-choice",
                service=name,
                own=counts[OWN],
                other_sooner=counts[OTHER_SOONER],
                own_full=counts[OWN_FULL],
                **gate.zone_choice.describe(),
            )

    def observe_entries(self, own: str, local: Iterable[str]) -> None:
        """Set the addresses of the entries in the own zone."""
        self.homes.update(own, local)
        self.entry_counter.update(own, local)

    def observe_demand(self, address: str, requests: int) -> None:
        """Apply the number of requests that another entry has."""
        self._demand.observe(address, requests, now=trio.current_time())

    def measure_demand(self) -> int:
        """Return the number of requests of services that report no load.

        The places that this entry uses of such services follow its part of them.
        """
        own = sum(gate.count_unreported() for gate in self._gates.values())
        share = self._demand.estimate_share(
            own, entries=self.entry_counter.estimate(), now=trio.current_time()
        )
        for gate in self._gates.values():
            gate.set_demand_share(share)
        return own

    def observe_answer(
        self, service: str, replica: Replica, per_s: float | None
    ) -> None:
        """Apply the request limit in an answer of a replica; None ends the limit."""
        gate = self.get_gate(service)
        if per_s is None and not len(gate.limits):
            return
        if gate.record_limit(replica, per_s, now=trio.current_time()):
            _log_limit(replica.address, per_s, gate, source="answer")

    def observe_backoff(self, service: str, replica: Replica, backoff_s: float) -> None:
        """Apply the back-off that an answer of a replica asks for."""
        gate = self.get_gate(service)
        if gate.record_backoff(replica, backoff_s, now=trio.current_time()):
            log_event(
                "info",
                "replica-resting",
                replica=replica.id,
                rest_s=backoff_s,
                resting=self._notices.count_backing_off(trio.current_time()),
            )

    def observe_leaving(self, service: str, replica: Replica) -> None:
        """Record that an answer of a replica reports leaving."""
        gate = self.get_gate(service)
        if gate.record_leaving(replica, now=trio.current_time()):
            log_event("info", "replica-leaving", replica=replica.id)

    def observe_limits(self, message: ReplicaLimits) -> None:
        """Apply the request limits that another entry reports."""
        now = trio.current_time()
        for report in message.reports:
            service = self._services.get(report.replica)
            if service is None:
                continue
            gate = self._gates[service]
            if gate.observe_peer_limit(report, now=now):
                _log_limit(
                    report.replica,
                    report.per_s,
                    gate,
                    source="entry",
                    age_s=report.age_s,
                )

    def list_limits(self) -> ReplicaLimits:
        """Return the request limits to report to other entries; expire old ones."""
        now = trio.current_time()
        reports: list[LimitReport] = []
        for gate in self._gates.values():
            for address in gate.limits.expire(now):
                log_event("info", "limit-expired", replica=address)
            reports += gate.limits.list_updates(now)
        return ReplicaLimits(tuple(reports))

    async def wait_for_assignment(
        self, service: str, waiting: QueuedRequest, *, weight: float
    ) -> Assignment | Rejection:
        """Wait until a request is assigned or rejected."""
        gate = self.get_gate(service)
        request_id = waiting.item.request_id
        waiter = self._waiters[request_id] = _Waiter()
        gate.add(waiting, weight=weight)
        self._dispatch(gate)
        if waiter.decision is None:
            self._has_waiting.set()
        try:
            await waiter.event.wait()
        except trio.Cancelled:
            gate.remove(request_id)
            if isinstance(waiter.decision, Assignment):
                # Assigned and cancelled at the same time: only this call releases it.
                self.finish(
                    service,
                    waiter.decision.replica,
                    failed=False,
                    failed_since=trio.current_time(),
                )
            raise
        finally:
            del self._waiters[request_id]
        assert waiter.decision is not None
        return waiter.decision

    def reject_waiting(
        self,
        service: str,
        is_refused: Callable[[RequestIdentity], bool],
        reason: str,
        retry_after_s: float,
    ) -> None:
        """Reject all waiting requests of a service that must be refused."""
        gate = self.get_gate(service)
        for request_id in gate.list_waiting(is_refused):
            gate.remove(request_id)
            waiter = self._waiters[request_id]
            waiter.decision = Rejection(request_id, reason, retry_after_s)
            waiter.event.set()

    def start_task(self, function: Callable[[], Awaitable[None]]) -> None:
        """Run a function beside the call that needs its result."""
        assert self._nursery is not None
        self._nursery.start_soon(function)

    def finish(
        self,
        service: str,
        replica: Replica,
        *,
        failed: bool,
        failed_since: float | None = None,
    ) -> None:
        """Release the place of a request at a replica.

        `failed_since` is the time at which an attempt that has failed got its place.
        """
        gate = self.get_gate(service)
        gate.finish(
            replica,
            failed=failed,
            now=trio.current_time(),
            failed_since=failed_since,
        )
        self._dispatch(gate)

    def dispatch(self) -> None:
        """Decide on all waiting requests."""
        for gate in self._gates.values():
            self._dispatch(gate)

    def _dispatch(self, gate: ServiceGate) -> None:
        if not gate.count_waiting():
            return
        was_in_outage = gate.outages.in_outage
        was_forming = gate.formation.is_forming
        decisions = gate.dispatch(trio.current_time())
        if gate.outages.in_outage != was_in_outage:
            _log_outage(gate, decided=len(decisions))
        if gate.formation.is_forming and not was_forming:
            log_event(
                "info",
                "groups-forming",
                limit_s=gate.formation.limit_s,
                **gate.describe(trio.current_time()),
            )
        for decision in decisions:
            waiter = self._waiters[decision.request_id]
            waiter.decision = decision
            waiter.event.set()

    async def _dispatch_regularly(self) -> None:
        while True:
            # A hundred wake-ups a second with nothing to do took a quarter of what an
            # entry without requests costs.
            await self._has_waiting.wait()
            await trio.sleep(DISPATCH_INTERVAL_S)
            self.dispatch()
            if not any(gate.count_waiting() for gate in self._gates.values()):
                self._has_waiting = trio.Event()

    async def _move_stalled_attempts(self) -> None:
        while True:
            await trio.sleep(STALL_INTERVAL_S)
            now = trio.current_time()
            for gate in self._gates.values():
                self._move_from_silent_vms(gate, now)

    def _move_from_silent_vms(self, gate: ServiceGate, now: float) -> None:
        is_vm_silent = partial(gate.is_vm_silent, now=now)
        stalled = gate.attempts.find_stalled(is_vm_silent, now=now)
        silent = gate.find_silent_vms(now)
        for replica in (*(one.replica for one in stalled), *silent):
            if gate.record_stall(replica, now=now):
                log_event(
                    "warning",
                    "vm-stalled",
                    replica=replica.id,
                    vm_age_ms=round(gate.measure_silence_s(replica, now) * 1_000),
                    silent=gate.count_silent(replica, now),
                )
        is_vm_unheard = partial(gate.is_vm_unheard, now=now)
        is_heard = partial(gate.is_heard, now=now)
        for attempt in gate.attempts.find_hopeless(is_vm_unheard, is_heard, now=now):
            attempt.give_up()
        for attempt in stalled:
            attempt.move()

    async def _expire_notices(self) -> None:
        while True:
            await trio.sleep(EXPIRE_INTERVAL_S)
            for replica_id in self._notices.expire(trio.current_time()):
                log_event("info", "replica-rested", replica=replica_id)
            self.report_cold(self._gates.values())


def _log_outage(gate: ServiceGate, *, decided: int) -> None:
    closed = gate.outages.in_outage
    log_event(
        "warning" if closed else "info",
        "groups-closed" if closed else "groups-open",
        decided=decided,
        **gate.describe(trio.current_time()),
    )


def _log_limit(
    address: str, per_s: float | None, gate: ServiceGate, **fields: object
) -> None:
    log_event(
        "info",
        "limit-ended" if per_s is None else "limit-named",
        replica=address,
        per_s="-" if per_s is None else per_s,
        limited=len(gate.limits),
        **fields,
    )
