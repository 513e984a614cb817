"""Decide which waiting requests are refused, and when their callers should retry."""

from collections.abc import Callable, Iterator, Mapping
from random import Random

from hyssopvane._internal.policy.cold_replicas import ColdReplicas
from hyssopvane._internal.policy.early_refusal import EarlyRefusal, RetryTime
from hyssopvane._internal.policy.fleet_demand import FleetDemand
from hyssopvane._internal.policy.gate_decisions import QueuedRequest, Rejection
from hyssopvane._internal.policy.group_capacity import GroupCapacity
from hyssopvane._internal.policy.group_formation import FormationTracker
from hyssopvane._internal.policy.limited_replicas import LimitedReplicas
from hyssopvane._internal.policy.outage_tracker import MAX_WAIT_SHARE, OutageTracker
from hyssopvane._internal.policy.replica_choice import ReplicaChooser
from hyssopvane._internal.policy.replica_load import ReplicaLoad
from hyssopvane._internal.policy.retry_spread import Backlog, RetrySpread
from hyssopvane._internal.policy.turn_prediction import Turnover
from hyssopvane._internal.policy.waiting_requests import WaitingRequests
from hyssopvane._internal.policy.zone_access import ZoneAccess
from hyssopvane._internal.state.routing import EngineModel, Replica

OVERLOADED_RETRY_AFTER_S = 0.5
"""Retry-After while a service is overloaded, in seconds.

By then the expert map has adapted to a change of demand, and some of the streams that
caused the overload have ended.
"""

OTHER_ENTRY_RETRY_AFTER_S = 0.05
"""Retry-After if the replicas take requests of other entries only, in seconds: a new
connection reaches another entry."""

_RETRY_JITTER = 0.25
"""Jitter of Retry-After as a fraction, in both directions."""


class GateRefusals:
    """Refuse the requests at one gate that can't be served, or have waited too long."""

    def __init__(
        self,
        *,
        random: Random,
        waiting: WaitingRequests,
        groups: Mapping[str, GroupCapacity],
        replicas: Mapping[str, ReplicaLoad],
        chooser: ReplicaChooser,
        limits: LimitedReplicas,
        cold: ColdReplicas,
        access: ZoneAccess,
        early: EarlyRefusal,
        remove: Callable[[str], None],
    ) -> None:
        self._random = random
        self._waiting = waiting
        self._groups = groups
        self._replicas = replicas
        self._chooser = chooser
        self._limits = limits
        self._cold = cold
        self._access = access
        self._early = early
        self._remove = remove
        """Removes a request from all that the gate knows of it."""
        self.outages = OutageTracker()
        self.formation = FormationTracker()
        self._spread = RetrySpread(random=random)

    def reject(
        self,
        engine: EngineModel | None,
        fleet: FleetDemand | None,
        backoff_s: float,
        now: float,
    ) -> list[Rejection]:
        """Return the refusals that are due.

        `backoff_s` is the time until a replica takes requests, 0 unless all are away.
        """
        rejected = []
        serve = [group.serves(now) for group in self._groups.values()]
        closed = bool(serve) and all(one is False for one in serve)
        if closed or True in serve:
            self.outages.observe(is_open=not closed, now=now)
        self._observe_formation(now)
        excess = self._find_unreachable_turns(now)
        backlog: Backlog | None = None
        without_turn = {} if closed else self._find_without_turn(engine, fleet, now)
        for waiting in list(self._waiting.values()):
            request_id = waiting.item.request_id
            retry: RetryTime | None = None
            obstacle = self._access.find_obstacle(waiting.zones)
            if closed and obstacle is None and self._waits_for_formation(waiting, now):
                continue
            if obstacle is not None:
                reason, after_s = obstacle, self._choose_zone_retry_after(waiting, now)
            elif closed and engine is not None and self.formation.limit_s:
                backlog = backlog or self._measure_backlog(engine, now, closed=True)
                retry = self._spread.choose(backlog, waiting.item.deadline, now)
                reason, after_s = "group-broken", retry.after_s
            elif closed:
                reason, after_s = (
                    "group-broken",
                    self._choose_outage_retry_after(waiting, now),
                )
            elif request_id in excess:
                reason, after_s = (
                    "replicas-limited",
                    self._add_jitter(excess[request_id]),
                )
            elif backoff_s and now + backoff_s > waiting.refuse_at:
                reason, after_s = "replicas-resting", self._add_delay(backoff_s)
            elif now >= waiting.refuse_at:
                reason, after_s = (
                    "overloaded",
                    self._add_jitter(OVERLOADED_RETRY_AFTER_S),
                )
                if fleet is not None:
                    retry = self._early.choose_retry(waiting.item, now)
                if retry is None and engine is not None and self._is_after_outage():
                    backlog = backlog or self._measure_backlog(
                        engine, now, closed=False
                    )
                    retry = self._spread.choose(backlog, waiting.item.deadline, now)
            elif request_id in without_turn:
                retry = without_turn[request_id]
                reason, after_s = "no-turn-in-time", retry.after_s
            else:
                continue
            predicted_s = self._early.get_predicted_s(request_id)
            self._remove(request_id)
            room_s = None
            if retry is not None:
                after_s, room_s = retry.after_s, retry.room_s
            rejected.append(Rejection(request_id, reason, after_s, predicted_s, room_s))
        return rejected

    def _observe_formation(self, now: float) -> None:
        if self.formation.limit_s:
            forming = any(group.is_forming(now) for group in self._groups.values())
            self.formation.observe(forming=forming, now=now)

    def _waits_for_formation(self, waiting: QueuedRequest, now: float) -> bool:
        """Return whether a request is worth serving once a group is formed."""
        if not self.formation.is_expected(now):
            return False
        if not waiting.is_return:
            return now < waiting.late_at
        # Most clients retry once. One that was cut off by the outage and is refused now
        # is lost, though it would still take a late answer.
        opens_at = self.formation.estimate_opening(self.outages.closed_at)
        return max(now, opens_at) < waiting.refuse_at

    def is_recovering(self, now: float) -> bool:
        """Return whether groups are about to open or have just opened."""
        self._observe_formation(now)
        return self.formation.is_expected(now) or self._is_after_outage()

    def _is_after_outage(self) -> bool:
        """Return whether callers of an outage may not have been served yet."""
        if not self.formation.limit_s:
            return False
        return any(group.ramp.is_recent for group in self._groups.values())

    def _measure_backlog(
        self, engine: EngineModel, now: float, *, closed: bool
    ) -> Backlog:
        """Return what the retries of callers refused now are spread over."""
        opens_at = now
        if closed and self.formation.is_expected(now):
            opens_at = self.formation.estimate_opening(self.outages.closed_at)
        elif closed:
            opens_at += self.outages.measure_wait_s(now)
        known = self._groups.values()
        serving = [one for one in known if one.is_open(now) or one.is_forming(now)]
        return Backlog(
            opens_at=opens_at,
            ahead=sum(
                self._waits_for_formation(one, now) if closed else now < one.refuse_at
                for one in self._waiting.values()
            ),
            places_per_s=sum(
                one.measure_entry_rate(engine) for one in serving or known
            ),
        )

    def _find_without_turn(
        self, engine: EngineModel | None, fleet: FleetDemand | None, now: float
    ) -> Mapping[str, RetryTime]:
        """Return the requests to refuse by prediction, with the times to retry."""
        if fleet is None or not self._early.is_due(now):
            return {}
        rows = fleet.list_waiting(now)
        turnovers = self._measure_turnovers(engine, now)
        return self._early.review(self._waiting.by_id, turnovers, rows, now)

    def _measure_turnovers(
        self, engine: EngineModel | None, now: float
    ) -> Iterator[Turnover]:
        """Yield how places of the open groups come free; for a new forecast only."""
        cold_rates: dict[str, float] = {}
        if len(self._cold):
            for replica_id, one in self._replicas.items():
                rate = self._cold.get_share(one.replica, now)
                if rate is not None:
                    cold_rates[replica_id] = rate
        for group in self._groups.values():
            if group.is_open(now):
                yield group.measure_turnover(engine, now, cold_rates)

    def _choose_outage_retry_after(self, waiting: QueuedRequest, now: float) -> float:
        wait_s = self.outages.measure_wait_s(now)
        spread_s = self._random.uniform(0, self.outages.measure_jitter_s(now))
        return min(wait_s + spread_s, MAX_WAIT_SHARE * (waiting.item.deadline - now))

    def _choose_zone_retry_after(self, waiting: QueuedRequest, now: float) -> float:
        # Nothing tells when the operator ends the evacuation. A caller that retries
        # once has the best chance as late as it waits, and not all come at one moment.
        left_s = MAX_WAIT_SHARE * (waiting.item.deadline - now)
        return max(0.0, left_s * self._random.uniform(0.5, 1.0))

    def _find_unreachable_turns(self, now: float) -> dict[str, float]:
        """Return waiting requests that can't be served in time, with their Retry-After.

        This applies when all replicas of a service are cold or report a rate limit.
        Their rate can't be exceeded, so a request whose turn comes after its time is
        refused at once, to be retried when those before it have been served.
        """
        if not (len(self._limits) or len(self._cold)) or not len(self._waiting):
            return {}
        usable = self._chooser.list_usable(self._replicas.values(), now)
        shares = [self._get_share(one.replica, now) for one in usable]
        limited = [share for share in shares if share is not None]
        if not limited or len(limited) < len(shares):
            return {}
        per_s = sum(limited)
        if not per_s:
            return dict.fromkeys(self._waiting.by_id, OTHER_ENTRY_RETRY_AFTER_S)
        first_s = min(
            max(
                self._limits.measure_due_s(one.replica, now),
                self._cold.measure_due_s(one.replica, now),
            )
            for one in usable
        )
        excess: dict[str, float] = {}
        kept = 0
        for waiting in sorted(
            self._waiting.values(), key=lambda one: one.item.priority
        ):
            turn_s = first_s + kept / per_s
            if now + turn_s > waiting.refuse_at:
                excess[waiting.item.request_id] = turn_s
            else:
                kept += 1
        return excess

    def _get_share(self, replica: Replica, now: float) -> float | None:
        """Return this entry's share of requests a second, None without a limit."""
        limit = self._limits.get_share(replica)
        cold = self._cold.get_share(replica, now)
        return min((one for one in (limit, cold) if one is not None), default=None)

    def _add_jitter(self, after_s: float) -> float:
        # Many callers are refused at the same moment. With the same Retry-After they
        # would send all their prompts at once.
        return after_s * self._random.uniform(1 - _RETRY_JITTER, 1 + _RETRY_JITTER)

    def _add_delay(self, backoff_s: float) -> float:
        # A caller that returns before the end of the back-off is refused again, so
        # jitter only adds.
        spread_s = max(OVERLOADED_RETRY_AFTER_S, _RETRY_JITTER * backoff_s)
        return backoff_s + self._random.uniform(0, spread_s)
