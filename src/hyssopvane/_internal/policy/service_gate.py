"""Decide which requests are sent to which replica, which wait and which are refused."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from math import inf
from random import Random

from hyssopvane._internal.policy.cold_replicas import ColdReplicas
from hyssopvane._internal.policy.early_refusal import EarlyRefusal
from hyssopvane._internal.policy.fleet_demand import FleetDemand
from hyssopvane._internal.policy.gate_decisions import (
    Assignment,
    QueuedRequest,
    Rejection,
)
from hyssopvane._internal.policy.gate_refusals import GateRefusals
from hyssopvane._internal.policy.group_capacity import MAX_SILENT_SHARE, GroupCapacity
from hyssopvane._internal.policy.group_ramp import MAX_RAMP_S
from hyssopvane._internal.policy.home_replicas import HomeReplicas
from hyssopvane._internal.policy.limit_shares import EntryCounter
from hyssopvane._internal.policy.limited_replicas import (
    LimitedReplicas,
    may_be_same_start,
)
from hyssopvane._internal.policy.replica_choice import ReplicaChooser
from hyssopvane._internal.policy.replica_load import ReplicaLoad
from hyssopvane._internal.policy.replica_notices import ReplicaNotices
from hyssopvane._internal.policy.request_placement import RequestPlacement
from hyssopvane._internal.policy.running_attempts import MAX_SILENCE_S, RunningAttempts
from hyssopvane._internal.policy.waiting_requests import WaitingRequests
from hyssopvane._internal.policy.zone_access import ZoneAccess
from hyssopvane._internal.policy.zone_evacuations import ZoneEvacuations
from hyssopvane._internal.state.limits import LimitReport
from hyssopvane._internal.state.loads import RankLoad
from hyssopvane._internal.state.routing import EngineModel, Incarnation, Replica
from hyssopvane._internal.state.suspects import RequestIdentity
from hyssopvane._internal.state.waiting import WaitingRow

_EJECT_FAILURE_SHARE = 0.35
"""Failure rate above which a replica is ejected.

Plain services fail about one request in seven for reasons of the request; a replica
that fails more than a third of its requests is at fault itself.
"""

_EJECT_S = 3.0
"""Time for which a failing replica is ejected before it is tried again, in seconds."""

_MAX_EJECTED_SHARE = 0.5
"""Maximum share of a service's replicas that may be ejected: the others must carry the
load."""


class ServiceGate:
    """Queue the requests of one service at one entry until there is room.

    Work beyond the engines' capacity has to wait here: one request too many slows a
    whole group at once, and every stream pauses for longer than its reader accepts. So
    room is computed over a whole group, from the loads that its ranks report, and each
    of several entries takes its part of what is free.
    """

    def __init__(
        self,
        *,
        random: Random,
        availability_zone: str,
        homes: HomeReplicas | None = None,
        entry_counter: EntryCounter | None = None,
        notices: ReplicaNotices | None = None,
        cold: ColdReplicas | None = None,
    ) -> None:
        self._random = random
        self._homes = HomeReplicas() if homes is None else homes
        if entry_counter is None:
            entry_counter = EntryCounter(availability_zone=availability_zone)
        self.limits = LimitedReplicas(random=random, entry_counter=entry_counter)
        if cold is None:
            cold = ColdReplicas(random=random, entry_counter=entry_counter)
        self.cold = cold
        self.notices = ReplicaNotices() if notices is None else notices
        self._chooser = ReplicaChooser(
            random=random,
            availability_zone=availability_zone,
            homes=self._homes,
            limits=self.limits,
            cold=self.cold,
            notices=self.notices,
        )
        self._waiting = WaitingRequests()
        self._replicas: dict[str, ReplicaLoad] = {}
        self.cold.loads = self._replicas
        self._by_address: dict[str, list[ReplicaLoad]] = {}
        self._groups: dict[str, GroupCapacity] = {}
        self._replaced: set[Incarnation] = set()
        """Incarnations of replicas whose address another replica has taken over."""
        self._engine: EngineModel | None = None
        self._pause_s = 0.0
        self._demand_share: float | None = None
        self._follows_requests = True
        self.attempts = RunningAttempts()
        self.evacuations = ZoneEvacuations()
        self._access = ZoneAccess()
        self.fleet: FleetDemand | None = None
        """What waits at all entries; None if the service's routes have one priority."""
        self._early = EarlyRefusal(random=random)
        self._placement = RequestPlacement(
            waiting=self._waiting,
            groups=self._groups,
            chooser=self._chooser,
            limits=self.limits,
            cold=self.cold,
            early=self._early,
            remove=self.remove,
        )
        self._refusals = GateRefusals(
            random=random,
            waiting=self._waiting,
            groups=self._groups,
            replicas=self._replicas,
            chooser=self._chooser,
            limits=self.limits,
            cold=self.cold,
            access=self._access,
            early=self._early,
            remove=self.remove,
        )
        self.outages = self._refusals.outages
        self.formation = self._refusals.formation
        self.shares = self._placement.shares
        self.zone_choice = self._chooser.zone_choice

    def update(
        self, replicas: Iterable[Replica], engine: EngineModel | None, *, now: float
    ) -> list[str]:
        """Update the replicas that may get work; return addresses of restarted ones."""
        self._engine = engine
        known = {replica.id: replica for replica in replicas}
        # A replica whose address another one has taken over stays listed for a while.
        self._replaced &= {replica.incarnation for replica in known.values()}
        for replica_id in self._replicas.keys() - known.keys():
            self._remove_replica(replica_id)
        restarted = []
        for replica in known.values():
            if replica.incarnation in self._replaced:
                continue
            found = self._replicas.get(replica.id)
            if found is not None and found.replica.address == replica.address:
                if found.register(replica):
                    restarted.append(replica.address)
                    self._groups[found.group].record_restart()
                continue
            self._remove_replica(replica.id)
            self._add_replica(replica)
        if self.cold.is_on:
            listed = [
                (replica, self._replicas[replica.id].replica.started_ms)
                for replica in known.values()
                if replica.id in self._replicas
            ]
            self.cold.observe_listed(listed, now=now)
        present = (one.replica for one in self._replicas.values())
        self.notices.record_registered(present, now=now)
        self._apply_zone_shares(now)
        return restarted

    def set_evacuated_zones(self, zones: Iterable[str], *, now: float) -> None:
        """Set the zones to whose replicas nothing may be sent."""
        if self.evacuations.update(zones, now=now):
            self._apply_zone_shares(now)

    def set_pause(self, pause_s: float) -> None:
        """Set the longest acceptable pause between a stream's events, in seconds."""
        self._pause_s = pause_s
        for group in self._groups.values():
            group.passes.pause_s = pause_s

    def set_prioritized(self, prioritized: bool) -> None:
        """Set whether the service's routes have different priorities."""
        if not prioritized:
            self.fleet = None
        elif self.fleet is None:
            self.fleet = FleetDemand()
        self._waiting.set_keeps_turns(prioritized)
        self._update_ramps()

    @property
    def is_prioritized(self) -> bool:
        """Return whether the service's routes have different priorities."""
        return self.fleet is not None

    def set_formation_limit(self, limit_s: float, *, form_s: float = 0.0) -> None:
        """Set the longest time until a group whose ranks are back opens, 0 if unknown.

        A group that opens ramps up then, too. `form_s` is the part of the time that the
        group takes to form.
        """
        self.formation.limit_s = limit_s
        self.formation.form_s = form_s
        self._update_ramps()

    def _update_ramps(self) -> None:
        is_on = self.fleet is not None or self.formation.limit_s > 0
        for group in self._groups.values():
            group.ramp.is_on = is_on

    def set_follows_requests(self, follows: bool) -> None:
        """Set whether an entry with most of the requests takes more than an even part.

        Without a configuration that says otherwise it does.
        """
        self._follows_requests = follows
        for group in self._groups.values():
            group.follows_requests = follows

    def list_rows(self) -> tuple[WaitingRow, ...]:
        """Return what waits here by priority and customer, to report it to leaders."""
        rows = self.shares.list_rows(self._waiting.queue, self._waiting.late_queue)
        if self.fleet is not None:
            self.fleet.record_reported(rows)
        return rows

    def set_demand_share(self, share: float | None) -> None:
        """Set this entry's part of the requests to services that report no load."""
        share = share if self._engine is None else None
        self._demand_share = share
        for group in self._groups.values():
            group.demand_share = share

    def count_unreported(self) -> int:
        """Return the requests that wait or run, 0 if the service has an engine."""
        if self._engine is not None:
            return 0
        running = sum(one.own for one in self._replicas.values())
        return len(self._waiting) + running

    def observe_load(self, load: RankLoad, *, now: float) -> bool:
        """Record the load of one replica; return whether it has restarted."""
        return bool(self.observe_loads([(load, now)]))

    def observe_loads(
        self,
        loads: Sequence[tuple[RankLoad, float]],
        *,
        started_s: float | None = None,
    ) -> list[str]:
        """Record timed loads of one group; return addresses of restarted replicas.

        `started_s` is the time since the last rank started, by the clocks of both
        machines; None if ranks don't report it.
        """
        restarted = []
        for load, at in loads:
            for one in self._by_address.get(load.address, ()):
                before = one.group
                has_restarted = one.observe(load, now=at)
                if has_restarted:
                    restarted.append(load.address)
                    self.notices.record_registered([one.replica], now=at)
                    self.cold.observe_start(one.replica, now=at)
                if one.group != before:
                    self._leave_group(one.replica.id, before)
                    self._join_group(one)
                if has_restarted:
                    self._groups[one.group].record_restart()
        newest, at = max(loads, key=lambda one: one[1])
        if newest.group in self._groups:
            just_started = started_s is None or (
                # A start in the future tells that the clocks differ, and nothing else.
                abs(started_s) < self.formation.limit_s + MAX_RAMP_S
            )
            self._groups[newest.group].observe(
                newest, now=at, members=len(loads), just_started=just_started
            )
        return restarted

    def bound_load_time(self, address: str, at: float) -> float:
        """Return the time of a load that was reported at `at` or before.

        It is that of the last load of the replica, if there was one.
        """
        known = (one.observed_at for one in self._by_address.get(address, ()))
        last_at = max(known, default=-inf)
        return last_at if last_at > -inf else at

    def add(self, waiting: QueuedRequest, *, weight: float) -> None:
        """Add a request to the queue.

        A caller that returns after an outage is late anyway and has mostly no retry
        left, so it waits for as long as it can be served.
        """
        if (
            waiting.is_return
            and waiting.hold_until is not None
            and self._refusals.is_recovering(waiting.item.arrived_at)
        ):
            refuse_at = max(waiting.refuse_at, waiting.hold_until)
            waiting = replace(waiting, refuse_at=refuse_at)
        self._waiting.add(waiting, weight=weight)
        if self.fleet is not None and not waiting.moving:
            self._early.add(waiting)
        if waiting.prompt_tokens and not waiting.moving:
            for group in self._groups.values():
                group.observe_output(waiting.item.tokens - waiting.prompt_tokens)

    def remove(self, request_id: str) -> None:
        """Remove a request whose caller has disconnected."""
        self._waiting.remove(request_id)
        self.cold.forget(request_id)
        self._early.remove(request_id)

    def dispatch(self, now: float) -> list[Assignment | Rejection]:
        """Assign requests while there is room; refuse those that waited too long."""
        decisions: list[Assignment | Rejection] = []
        if self.evacuations.is_due(now):
            self._apply_zone_shares(now)
        for group in self._groups.values():
            group.ramp.advance(now)
        after_outage = any(group.ramp.is_recent for group in self._groups.values())
        self._waiting.demote_late(now, after_outage=after_outage)
        decisions += self._placement.place(self._engine, self.fleet, now)
        backoff_s = self.measure_backoff_s(now)
        decisions += self._refusals.reject(self._engine, self.fleet, backoff_s, now)
        return decisions

    def finish(
        self,
        replica: Replica,
        *,
        failed: bool,
        now: float,
        failed_since: float | None = None,
    ) -> None:
        """Record that a request has left a replica.

        `failed_since` is the time at which it got its place, if the attempt failed or
        the request moves to another replica.
        """
        if self.fleet is None:
            failed_since = None
        one = self._find(replica)
        if one is None:
            current = self._replicas.get(replica.id)
            if current is not None and failed_since is not None:
                # The replica has restarted meanwhile.
                self._groups[current.group].finish(now, failed_since=failed_since)
            return
        one.finish(failed=failed)
        self._groups[one.group].finish(now, failed_since=failed_since)
        if one.failures > _EJECT_FAILURE_SHARE and self._may_eject(one, now):
            one.ejected_until = now + _EJECT_S
            one.failures = 0.0

    def record_served(self, replica: Replica) -> None:
        """Record that a replica has begun to answer a request."""
        one = self._find(replica)
        if one is not None:
            self._groups[one.group].record_served()

    def mark_replaced(self, replica: Replica) -> None:
        """Remove a replica whose address now belongs to another one."""
        self._replaced.add(replica.incarnation)
        self.cold.discard(replica)
        if self._find(replica) is not None:
            self._remove_replica(replica.id)
            self.limits.remove(replica.address)

    def record_full(self, replica: Replica, *, now: float, until: float) -> None:
        """Send nothing to a replica until a time; it has just refused work as full."""
        one = self._find(replica)
        if one is None:
            return
        one.full_until = max(one.full_until, until)
        if self._engine is not None:
            # A rank refuses requests when its group does.
            self._groups[one.group].record_refusal(now)

    def record_backoff(self, replica: Replica, backoff_s: float, *, now: float) -> bool:
        """Record a back-off that a replica asks for; return whether one begins."""
        return self.notices.record_backoff(
            self._get_present(replica), backoff_s, now=now
        )

    def record_closed(self, address: str, *, now: float) -> None:
        """Record that a replica has closed all of this entry's idle connections."""
        for one in self._by_address.get(address, ()):
            if not one.replica.started_ms:
                # Otherwise its registration or load names a new start.
                self.cold.record_lost(one.replica, now=now)

    def record_leaving(self, replica: Replica, *, now: float) -> bool:
        """Record that a replica said it is leaving; return whether this is new."""
        return self.notices.record_leaving(self._get_present(replica), now=now)

    def may_send(self, replica: Replica, now: float) -> bool:
        """Return whether a request that was assigned to a replica may still be sent."""
        one = self._replicas.get(replica.id)
        if one is None or one.replica.draining or not one.zone_share:
            return False
        if one.replica.address != replica.address:
            # Its id is registered elsewhere now, perhaps in another zone.
            return False
        return self.notices.takes_requests(replica, now)

    def is_departing(self, replica: Replica) -> bool:
        """Return whether a replica is expected to end, or is not listed any more."""
        one = self._find(replica)
        return one is None or self._is_leaving(one.replica)

    def find_ended(self, registered: Iterable[Replica]) -> list[Replica]:
        """Return the replicas that a new list has no more, and that did not leave."""
        present = {replica.id: replica.started_ms for replica in registered}
        return [
            one.replica
            for one in self._replicas.values()
            # A load may name a start that is not registered yet.
            if present.get(one.replica.id)
            not in (one.registered_ms, one.replica.started_ms)
            and not self._is_leaving(one.replica)
        ]

    def list_incarnations(self, ids: Iterable[str]) -> frozenset[Incarnation]:
        """Return the present incarnations of replicas, given their ids."""
        found = (self._replicas.get(replica_id) for replica_id in ids)
        return frozenset(one.replica.incarnation for one in found if one is not None)

    def list_waiting(self, is_refused: Callable[[RequestIdentity], bool]) -> list[str]:
        """Return the ids of the waiting requests that must be refused."""
        return [
            request_id
            for request_id, waiting in self._waiting.by_id.items()
            if waiting.identity is not None and is_refused(waiting.identity)
        ]

    def find_group(self, replica_id: str) -> GroupCapacity | None:
        """Return the group in which a replica works in lockstep with others."""
        one = self._replicas.get(replica_id)
        if one is None or not one.group:
            return None
        return self._groups[one.group]

    def is_vm_silent(self, replica: Replica, now: float) -> bool:
        """Return whether a replica's agent is silent while its group is heard."""
        one = self._find(replica)
        if one is None or not self.is_vm_unheard(replica, now):
            return False
        return self._groups[one.group].is_gathered(now)

    def is_vm_unheard(self, replica: Replica, now: float) -> bool:
        """Return whether a replica's agent is silent, and was heard before.

        A replica that answers works, even if its agent does not.
        """
        one = self._find(replica)
        if one is None or one.observed_at == -inf:
            return False
        return one.heard_at < now - MAX_SILENCE_S

    def find_load(self, replica: Replica) -> ReplicaLoad | None:
        """Return what is known of a replica's load if this incarnation still runs."""
        return self._find(replica)

    def measure_silence_s(self, replica: Replica, now: float) -> float:
        """Return the time since a replica's agent was heard, infinite if never."""
        one = self._find(replica)
        return inf if one is None else now - one.observed_at

    def is_heard(self, replica: Replica, now: float) -> bool:
        """Return whether a replica is heard, or has no agent that reports it."""
        one = self._find(replica)
        return one is None or one.is_heard(now)

    def count_silent(self, replica: Replica, now: float) -> int:
        """Return the number of members of a replica's group that are not heard."""
        group = self.find_group(replica.id)
        if group is None:
            return 0
        return sum(not one.is_heard(now) for one in group.members.values())

    def find_silent_vms(self, now: float) -> list[Replica]:
        """Return the replicas that neither their agents nor answers show to be alive.

        Another entry may have found that a VM stands still, while this one has no
        request there. If most of a group is silent, the network is at fault.
        """
        silent_since = now - MAX_SILENCE_S
        found: list[Replica] = []
        for group in self._groups.values():
            silent = [
                one.replica
                for one in group.members.values()
                if self.is_vm_silent(one.replica, now)
                and not self.attempts.was_heard(one.replica, since=silent_since)
            ]
            if len(silent) <= MAX_SILENT_SHARE * len(group.members):
                found += silent
        return found

    def record_stall(self, replica: Replica, *, now: float) -> bool:
        """Send nothing to a replica until its agent is heard; return whether new."""
        one = self._find(replica)
        if one is None or one.is_stalled:
            return False
        one.stalled_at = now
        self._groups[one.group].record_stall(now)
        return True

    def measure_backoff_s(self, now: float) -> float:
        """Return the seconds until a replica takes requests, 0 unless all are away."""
        if not len(self.notices):
            return 0.0
        soonest_s = inf
        for one in self._replicas.values():
            if self._is_leaving(one.replica) or not one.is_open(now):
                continue
            if not one.zone_share:
                continue
            backoff_s = self.notices.measure_backoff_s(one.replica, now)
            away_s = max(backoff_s, one.ejected_until - now)
            if away_s <= 0:
                return 0.0
            soonest_s = min(soonest_s, away_s)
        return soonest_s if soonest_s < inf else 0.0

    def record_limit(
        self, replica: Replica, per_s: float | None, *, now: float, age_s: float = 0.0
    ) -> bool:
        """Record the rate limit that a replica reports; return whether it is new."""
        one = self._find(replica)
        if one is None:
            return False
        received_at = now - age_s
        return self.limits.observe(one.replica, per_s, received_at=received_at, now=now)

    def observe_peer_limit(self, news: LimitReport, *, now: float) -> bool:
        """Record a limit received from another entry; return whether it is new."""
        is_new = False
        for one in self._by_address.get(news.replica, ()):
            if may_be_same_start(one.replica.started_ms, news.started_ms):
                is_new |= self.record_limit(
                    one.replica, news.per_s, now=now, age_s=news.age_s
                )
        return is_new

    def _find(self, replica: Replica) -> ReplicaLoad | None:
        """Return the state of a replica if this incarnation of it still runs."""
        one = self._replicas.get(replica.id)
        if one is None or replica.started_ms not in (0, one.replica.started_ms):
            return None
        return one

    def take_spare_count(self) -> int:
        """Return the late requests that got a spare place since the last call."""
        return self._placement.take_spare_count()

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def describe(self, now: float) -> Mapping[str, object]:
        """Return the inputs of the last decisions, for the log."""
        groups = self._groups.values()
        passes = [group.passes.pass_s for group in groups if group.passes.pass_s]
        return {
            "in_flight": sum(group.count(now) for group in groups),
            "limit": round(self.limit, 1),
            "waiting": len(self._waiting),
            "pass_ms": round(max(passes, default=0.0) * 1_000, 1),
            "heard": sum(one.is_fresh(now) for one in self._replicas.values()),
            "groups": len(groups),
        }

    @property
    def limit(self) -> float:
        """Maximum number of requests in flight at the service, over all entries."""
        return sum(group.get_limit(self._engine) for group in self._groups.values())

    def _add_replica(self, replica: Replica) -> None:
        one = ReplicaLoad(replica)
        self._replicas[replica.id] = one
        self._by_address.setdefault(replica.address, []).append(one)
        self._join_group(one)

    def _remove_replica(self, replica_id: str) -> None:
        one = self._replicas.pop(replica_id, None)
        if one is None:
            return
        same_address = self._by_address[one.replica.address]
        same_address.remove(one)
        if not same_address:
            del self._by_address[one.replica.address]
        self._homes.remove(one.replica.address)
        self._leave_group(replica_id, one.group)

    def _join_group(self, one: ReplicaLoad) -> None:
        if one.group not in self._groups:
            group = GroupCapacity(random=self._random)
            group.demand_share = self._demand_share
            group.follows_requests = self._follows_requests
            group.ramp.is_on = self.fleet is not None or self.formation.limit_s > 0
            if self._pause_s:
                group.passes.pause_s = self._pause_s
            self._groups[one.group] = group
        self._groups[one.group].add_member(one)
        if self.evacuations.is_active:
            self._groups[one.group].update_zone_shares()

    def _leave_group(self, replica_id: str, name: str) -> None:
        group = self._groups[name]
        group.remove_member(replica_id)
        if not group.members:
            del self._groups[name]
        elif self.evacuations.is_active:
            group.update_zone_shares()

    def _apply_zone_shares(self, now: float) -> None:
        shares = self.evacuations.measure_shares(now)
        for one in self._replicas.values():
            one.zone_share = shares.get(one.replica.availability_zone, 1.0)
        for group in self._groups.values():
            group.update_zone_shares()
        self.zone_choice.update(self._replicas.values())
        self._access.update(self._replicas.values(), self.evacuations.is_evacuated)

    def _may_eject(self, failing: ReplicaLoad, now: float) -> bool:
        others = [one for one in self._replicas.values() if one is not failing]
        ejected = [now < one.ejected_until for one in others]
        if sum(ejected) + 1 > _MAX_EJECTED_SHARE * len(self._replicas):
            return False
        return any(
            not out and one.zone_share and self.notices.takes_requests(one.replica, now)
            for one, out in zip(others, ejected, strict=True)
        )

    def _get_present(self, replica: Replica) -> Replica:
        """Return the current incarnation of a replica that has answered.

        An answer that arrives after a restart was reported is attributed to the new
        incarnation.
        """
        one = self._replicas.get(replica.id)
        return replica if one is None else one.replica

    def _is_leaving(self, replica: Replica) -> bool:
        return replica.draining or self.notices.is_leaving(replica)
