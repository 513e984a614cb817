"""Decide which request goes to which replica, which one waits and which is refused."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import inf
from random import Random

from hyssopvane._internal.policy.group_room import GroupRoom
from hyssopvane._internal.policy.home_replicas import HomeReplicas
from hyssopvane._internal.policy.limit_shares import EntryCounter
from hyssopvane._internal.policy.limited_replicas import (
    LimitedReplicas,
    may_be_same_start,
)
from hyssopvane._internal.policy.opening_times import PATIENCE, OpeningTimes
from hyssopvane._internal.policy.queueing import FairQueue, QueuedItem
from hyssopvane._internal.policy.replica_choice import ReplicaChooser
from hyssopvane._internal.policy.replica_load import ReplicaLoad
from hyssopvane._internal.policy.replica_notices import ReplicaNotices
from hyssopvane._internal.state.limits import LimitNews
from hyssopvane._internal.state.loads import RankLoad
from hyssopvane._internal.state.routing import EngineModel, Incarnation, Replica

RETRY_AFTER_S = 0.5
"""Time until a caller is asked back while a service is overloaded.

The map of the experts has followed a change of demand by then, and some of the streams
that were in the way have ended.
"""

ELSEWHERE_AGAIN_S = 0.05
"""Time until a caller is asked back whose replicas take requests of other entries only:
a new connection reaches another entry."""

_EJECT_ABOVE = 0.35
"""Share of failures at which a replica is left out for a while.

Plain services fail about one request in seven for reasons of the request; a replica
that fails more than a third of them is at fault itself.
"""

_EJECT_S = 3.0
"""Time that a failing replica is left out before it is tried again."""

_SPREAD = 0.25
"""Part of the time to come back by which callers are told more or less."""

_MAX_EJECTED = 0.5
"""Share of a service's replicas that may be left out: the others must bear the load."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """Describe a request that waits for a place."""

    item: QueuedItem
    late_at: float
    """Time from which on its answer would miss the objective."""
    refuse_at: float
    """Time at which it is refused rather than held any longer."""
    prompt_tokens: int = 0
    """Tokens that a replica reads before the first one of its answer."""
    avoid: frozenset[Incarnation] = frozenset()
    """Starts of replicas that it was sent to already."""


@dataclass(frozen=True, slots=True)
class Place:
    """Tell where a request goes."""

    request_id: str
    replica: Replica


@dataclass(frozen=True, slots=True)
class Turned:
    """Tell that a request is refused, and when it is worth coming back."""

    request_id: str
    reason: str
    retry_after_s: float


class ServiceGate:
    """Hold the requests of one service at one entry until there is room.

    Made for more work than the engines can take: one request too many slows all of a
    group at once, and every stream pauses for longer than its reader waits. So room is
    counted over a whole group, from what its ranks tell, and each of several entries
    takes its part of what is free.
    """

    def __init__(
        self,
        *,
        random: Random,
        availability_zone: str,
        homes: HomeReplicas | None = None,
        entry_counter: EntryCounter | None = None,
        notices: ReplicaNotices | None = None,
    ) -> None:
        self._random = random
        self._homes = HomeReplicas() if homes is None else homes
        if entry_counter is None:
            entry_counter = EntryCounter(availability_zone=availability_zone)
        self.limits = LimitedReplicas(random=random, entry_counter=entry_counter)
        self.notices = ReplicaNotices() if notices is None else notices
        self._chooser = ReplicaChooser(
            random=random,
            availability_zone=availability_zone,
            homes=self._homes,
            limits=self.limits,
            notices=self.notices,
        )
        self._queue = FairQueue()
        self._late = FairQueue()
        """Requests that can't meet their objective any more.

        Made for a load that passes what the group can take for about a second, until
        its map follows the demand. Whoever came first would be served late, and hold
        up all who came after until these are late as well. So those who can still be
        served in time go first, and the others take what is left.
        """
        self._weights: dict[str, float] = {}
        self._waiting: dict[str, Waiting] = {}
        self._replicas: dict[str, ReplicaLoad] = {}
        self._by_address: dict[str, list[ReplicaLoad]] = {}
        self._groups: dict[str, GroupRoom] = {}
        self._wrong: set[Incarnation] = set()
        """Replicas at whose address another one answered."""
        self._engine: EngineModel | None = None
        self._pause_s = 0.0
        self.opening = OpeningTimes()

    def update(
        self, replicas: Iterable[Replica], engine: EngineModel | None, *, now: float
    ) -> list[str]:
        """Learn the replicas that may get work; return addresses of new starts."""
        self._engine = engine
        known = {replica.id: replica for replica in replicas}
        # A replica whose address was given to another one is still listed for a while.
        self._wrong &= {replica.incarnation for replica in known.values()}
        for replica_id in self._replicas.keys() - known.keys():
            self._drop(replica_id)
        restarted = []
        for replica in known.values():
            if replica.incarnation in self._wrong:
                continue
            found = self._replicas.get(replica.id)
            if found is not None and found.replica.address == replica.address:
                if found.register(replica):
                    restarted.append(replica.address)
                continue
            self._drop(replica.id)
            self._put(replica)
        present = (one.replica for one in self._replicas.values())
        self.notices.record_registered(present, now=now)
        return restarted

    def set_pause(self, pause_s: float) -> None:
        """Learn the longest pause between events that callers should get."""
        self._pause_s = pause_s
        for group in self._groups.values():
            group.passes.pause_s = pause_s

    def observe_load(self, load: RankLoad, *, now: float) -> bool:
        """Take one replica's load; tell whether it has started anew."""
        return bool(self.observe_loads([(load, now)]))

    def observe_loads(self, loads: Sequence[tuple[RankLoad, float]]) -> list[str]:
        """Take loads of one group, and when each was told; return new starts."""
        restarted = []
        for load, at in loads:
            for one in self._by_address.get(load.address, ()):
                before = one.group
                if one.observe(load, now=at):
                    restarted.append(load.address)
                    self.notices.record_registered([one.replica], now=at)
                if one.group != before:
                    self._leave_group(one.replica.id, before)
                    self._join_group(one)
        newest, at = max(loads, key=lambda one: one[1])
        if newest.group in self._groups:
            self._groups[newest.group].observe(newest, now=at, members=len(loads))
        return restarted

    def add(self, waiting: Waiting, *, weight: float) -> None:
        """Let a request wait."""
        self._waiting[waiting.item.request_id] = waiting
        self._weights[waiting.item.request_id] = weight
        self._queue.add(waiting.item, weight=weight)

    def remove(self, request_id: str) -> None:
        """Forget a request whose caller has gone."""
        self._waiting.pop(request_id, None)
        self._weights.pop(request_id, None)
        self._queue.remove(request_id)
        self._late.remove(request_id)

    def settle(self, now: float) -> list[Place | Turned]:
        """Place what there is room for, and refuse what has waited too long."""
        decisions: list[Place | Turned] = []
        self._move_late(now)
        for late, queue in ((False, self._queue), (True, self._late)):
            decisions += self._place(queue, now, late=late)
        decisions += self._turn_away(now)
        return decisions

    def finish(self, replica: Replica, *, failed: bool, now: float) -> None:
        """Take note that a request has left a replica."""
        one = self._find(replica)
        if one is None:
            return
        one.finish(failed=failed)
        self._groups[one.group].finish(now)
        if one.failures > _EJECT_ABOVE and self._may_eject(one, now):
            one.ejected_until = now + _EJECT_S
            one.failures = 0.0

    def note_served(self, replica: Replica) -> None:
        """Take note that a replica has begun to answer a request."""
        one = self._find(replica)
        if one is not None:
            self._groups[one.group].note_served()

    def mark_wrong(self, replica: Replica) -> None:
        """Drop a replica whose address now belongs to another one."""
        self._wrong.add(replica.incarnation)
        if self._find(replica) is not None:
            self._drop(replica.id)
            self.limits.remove(replica.address)

    def note_full(self, replica: Replica, *, now: float, until: float) -> None:
        """Send nothing to a replica that has just turned work away as it is full."""
        one = self._find(replica)
        if one is None:
            return
        one.full_until = max(one.full_until, until)
        if self._engine is not None:
            # A rank refuses when its group does.
            self._groups[one.group].note_refusal(now)

    def note_rest(self, replica: Replica, rest_s: float, *, now: float) -> bool:
        """Take the time without requests that a replica asks for; tell whether new."""
        return self.notices.note_rest(self._get_present(replica), rest_s, now=now)

    def note_leaving(self, replica: Replica, *, now: float) -> bool:
        """Take note that a replica has said that it leaves; tell whether new."""
        return self.notices.note_leaving(self._get_present(replica), now=now)

    def may_send(self, replica: Replica, now: float) -> bool:
        """Tell whether a request that was placed at a replica may still be sent."""
        one = self._replicas.get(replica.id)
        if one is None or one.replica.draining:
            return False
        return self.notices.takes_requests(replica, now)

    def measure_rest_s(self, now: float) -> float:
        """Return the time until a replica takes requests, 0 unless all are away."""
        if not len(self.notices):
            return 0.0
        soonest_s = inf
        for one in self._replicas.values():
            if self._is_leaving(one.replica) or not one.is_open(now):
                continue
            rest_s = self.notices.measure_rest_s(one.replica, now)
            away_s = max(rest_s, one.ejected_until - now)
            if away_s <= 0:
                return 0.0
            soonest_s = min(soonest_s, away_s)
        return soonest_s if soonest_s < inf else 0.0

    def note_limit(
        self, replica: Replica, per_s: float | None, *, now: float, age_s: float = 0.0
    ) -> bool:
        """Take the limit that a replica names; tell whether that is new."""
        one = self._find(replica)
        if one is None:
            return False
        received_at = now - age_s
        return self.limits.observe(one.replica, per_s, received_at=received_at, now=now)

    def note_news(self, news: LimitNews, *, now: float) -> bool:
        """Take what another entry tells of a limit; tell whether that is new."""
        told = False
        for one in self._by_address.get(news.replica, ()):
            if may_be_same_start(one.replica.started_ms, news.started_ms):
                told |= self.note_limit(
                    one.replica, news.per_s, now=now, age_s=news.age_s
                )
        return told

    def _find(self, replica: Replica) -> ReplicaLoad | None:
        """Return what is believed of this start of a replica, if it still runs."""
        one = self._replicas.get(replica.id)
        if one is None or replica.started_ms not in (0, one.replica.started_ms):
            return None
        return one

    def count_waiting(self) -> int:
        """Return the number of requests that wait."""
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
            "heard": sum(one.is_heard(now) for one in self._replicas.values()),
            "groups": len(groups),
        }

    @property
    def limit(self) -> float:
        """Return the requests that the service may have at once, over all entries."""
        return sum(group.get_limit(self._engine) for group in self._groups.values())

    def _put(self, replica: Replica) -> None:
        one = ReplicaLoad(replica)
        self._replicas[replica.id] = one
        self._by_address.setdefault(replica.address, []).append(one)
        self._join_group(one)

    def _drop(self, replica_id: str) -> None:
        one = self._replicas.pop(replica_id, None)
        if one is None:
            return
        same_address = self._by_address[one.replica.address]
        same_address.remove(one)
        if not same_address:
            del self._by_address[one.replica.address]
        self._homes.forget(one.replica.address)
        self._leave_group(replica_id, one.group)

    def _join_group(self, one: ReplicaLoad) -> None:
        if one.group not in self._groups:
            group = GroupRoom(random=self._random)
            if self._pause_s:
                group.passes.pause_s = self._pause_s
            self._groups[one.group] = group
        self._groups[one.group].members[one.replica.id] = one

    def _leave_group(self, replica_id: str, name: str) -> None:
        members = self._groups[name].members
        del members[replica_id]
        if not members:
            del self._groups[name]

    def _move_late(self, now: float) -> None:
        for request_id, waiting in self._waiting.items():
            if now >= waiting.late_at and request_id in self._queue:
                self._queue.remove(request_id)
                self._late.add(waiting.item, weight=self._weights[request_id])

    def _place(self, queue: FairQueue, now: float, *, late: bool) -> list[Place]:
        placed: list[Place] = []
        if not len(queue):
            return placed
        rooms = [
            (group, group.count_room(self._engine, now, late=late))
            for group in self._groups.values()
            if group.is_open(now)
        ]
        left = {id(group): room for group, room in rooms if room}
        while len(queue) and left:
            groups = [
                group
                for group, _ in rooms
                if left.get(id(group)) and group.may_read(self._engine, now)
            ]
            found = self._place_next(queue, groups, now)
            if found is None:
                break
            place, group, prompt_tokens = found
            placed.append(place)
            group.take(prompt_tokens, now=now)
            left[id(group)] -= 1
            if not left[id(group)]:
                del left[id(group)]
        return placed

    def _place_next(
        self, queue: FairQueue, groups: list[GroupRoom], now: float
    ) -> tuple[Place, GroupRoom, int] | None:
        item = queue.peek()
        assert item is not None
        waiting = self._waiting[item.request_id]
        for group in self._chooser.order_groups(groups, self._engine, now):
            one = self._chooser.choose(group, waiting.avoid, now)
            if one is not None:
                self.remove(item.request_id)
                one.start(now)
                self.limits.take(one.replica, now)
                return Place(item.request_id, one.replica), group, waiting.prompt_tokens
        return None

    def _turn_away(self, now: float) -> list[Turned]:
        turned = []
        serve = [group.serves(now) for group in self._groups.values()]
        closed = bool(serve) and all(one is False for one in serve)
        if closed or True in serve:
            self.opening.observe(is_open=not closed, now=now)
        excess = self._find_excess(now)
        rest_s = self.measure_rest_s(now)
        for waiting in list(self._waiting.values()):
            request_id = waiting.item.request_id
            if closed:
                reason, after_s = "group-broken", self._choose_return(waiting, now)
            elif request_id in excess:
                reason, after_s = "replicas-limited", self._spread(excess[request_id])
            elif rest_s and now + rest_s > waiting.refuse_at:
                reason, after_s = "replicas-resting", self._spread_after(rest_s)
            elif now >= waiting.refuse_at:
                reason, after_s = "overloaded", self._spread(RETRY_AFTER_S)
            else:
                continue
            self.remove(request_id)
            turned.append(Turned(request_id, reason, after_s))
        return turned

    def _choose_return(self, waiting: Waiting, now: float) -> float:
        wait_s = self.opening.measure_wait_s(now)
        spread_s = self._random.uniform(0, self.opening.measure_spread_s(now))
        return min(wait_s + spread_s, PATIENCE * (waiting.item.deadline - now))

    def _find_excess(self, now: float) -> dict[str, float]:
        """Return who waits in vain for limited replicas, and when to come back.

        Made for a service whose replicas all name a limit. They take what they take;
        who stands so far back that its turn comes after its time is told so at once,
        and comes back when those before it are through.
        """
        if not len(self.limits) or not self._waiting:
            return {}
        usable = self._chooser.list_usable(self._replicas.values(), now)
        shares = [self.limits.get_share(one.replica) for one in usable]
        limited = [share for share in shares if share is not None]
        if not limited or len(limited) < len(shares):
            return {}
        per_s = sum(limited)
        if not per_s:
            return dict.fromkeys(self._waiting, ELSEWHERE_AGAIN_S)
        first_s = min(self.limits.measure_due_s(one.replica, now) for one in usable)
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

    def _spread(self, after_s: float) -> float:
        # Many are refused in the same moment. Asked back for the same moment too, they
        # would bring all their prompts at once.
        return after_s * self._random.uniform(1 - _SPREAD, 1 + _SPREAD)

    def _spread_after(self, rest_s: float) -> float:
        # Whoever comes back before the end is refused again.
        spread_s = max(RETRY_AFTER_S, _SPREAD * rest_s)
        return rest_s + self._random.uniform(0, spread_s)

    def _may_eject(self, failing: ReplicaLoad, now: float) -> bool:
        others = [one for one in self._replicas.values() if one is not failing]
        ejected = [now < one.ejected_until for one in others]
        if sum(ejected) + 1 > _MAX_EJECTED * len(self._replicas):
            return False
        return any(
            not out and self.notices.takes_requests(one.replica, now)
            for one, out in zip(others, ejected, strict=True)
        )

    def _get_present(self, replica: Replica) -> Replica:
        """Return the present start of a replica that has answered.

        An answer that comes after the news of another start is of that start.
        """
        one = self._replicas.get(replica.id)
        return replica if one is None else one.replica

    def _is_leaving(self, replica: Replica) -> bool:
        return replica.draining or self.notices.is_leaving(replica)
