"""Choose the group and the replica that get a request."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from hyssopvane._internal.policy.group_capacity import GroupCapacity
from hyssopvane._internal.policy.home_replicas import HomeReplicas
from hyssopvane._internal.policy.limited_replicas import LimitedReplicas
from hyssopvane._internal.policy.replica_load import ReplicaLoad
from hyssopvane._internal.policy.replica_notices import ReplicaNotices
from hyssopvane._internal.policy.water_filling import (
    REQUEST_COST,
    choose_by_deficit,
    find_water_level,
)
from hyssopvane._internal.state.routing import EngineModel, Incarnation

LOCAL_ZONE_SLACK = 0.5 * REQUEST_COST
"""Cost by which replicas of the own zone may exceed all others: half a request."""


@dataclass(frozen=True, slots=True)
class _Candidate:
    """Describe a replica with a free slot."""

    load: ReplicaLoad
    cost: float
    """Requests at the replica; those with an unread prompt count twice."""
    free: int


class ReplicaChooser:
    """Place requests by loads that are some tenths of a second old.

    Many entries see the same loads, so the choice is drawn at random by weight: with a
    sorted order all entries would send to the replica that was best a moment ago.
    """

    def __init__(
        self,
        *,
        random: Random,
        availability_zone: str,
        homes: HomeReplicas,
        limits: LimitedReplicas,
        notices: ReplicaNotices,
    ) -> None:
        self._random = random
        self._zone = availability_zone
        self._homes = homes
        self._limits = limits
        self._notices = notices

    def order_groups(
        self, groups: list[GroupCapacity], engine: EngineModel | None, now: float
    ) -> list[GroupCapacity]:
        """Return a group drawn at random, followed by the others, the emptiest first.

        Many entries see the same loads of several groups. If each chose the emptiest
        group, all requests until the next loads would go to it and meet full ranks,
        while the other groups are half empty.
        """
        fullness = {id(one): one.get_utilization(engine, now) for one in groups}
        ordered = sorted(groups, key=lambda one: fullness[id(one)])
        if len(ordered) < 2 or engine is None:
            return ordered
        limits = [one.get_limit(engine) for one in ordered]
        arrivals = max(1.0, sum(one.estimate_arrivals(now) for one in ordered))
        costs = [fullness[id(one)] for one in ordered]
        level = find_water_level(costs, arrivals, limits)
        weights = [
            limit * max(0.0, level - cost)
            for cost, limit in zip(costs, limits, strict=True)
        ]
        first = self._random.choices(ordered, weights)[0]
        return [first, *(one for one in ordered if one is not first)]

    def choose(
        self, group: GroupCapacity, avoid: frozenset[Incarnation], now: float
    ) -> ReplicaLoad | None:
        """Return the replica of a group that gets a request, None if none may.

        Replicas in `avoid` are used only if no other is usable.
        """
        usable = self.list_usable(group.members.values(), now)
        if len(self._limits):
            usable = [one for one in usable if self._limits.may_send(one.replica, now)]
        # A rank's own requests cost only its own time, but all ranks wait for the
        # slowest: one request at a rank that runs at a twelfth of its pace costs as
        # much as twelve.
        usable = [one for one in usable if not one.is_slow(now)] or usable
        # The VM of a replica whose agent is silent may stand still.
        heard = [one for one in usable if one.is_fresh(now)]
        found = self._choose_among(heard, group, avoid, now)
        if found is None and len(heard) < len(usable):
            found = self._choose_among(usable, group, avoid, now)
        return found

    def _choose_among(
        self,
        usable: list[ReplicaLoad],
        group: GroupCapacity,
        avoid: frozenset[Incarnation],
        now: float,
    ) -> ReplicaLoad | None:
        fresh = [one for one in usable if one.replica.incarnation not in avoid]
        counts = [(one.count(now, group.entries), one) for one in fresh or usable]
        # A rank reads prompts one after the other. Of two ranks with the same number of
        # requests, the one whose requests are already generating output sends the next
        # first event sooner.
        room = [
            _Candidate(
                one, count + one.count_unread_prompts(), one.replica.slots - count
            )
            for count, one in counts
            if count < one.replica.slots
        ]
        if not room:
            return None
        return self._draw(room, group.estimate_arrivals(now))

    def list_usable(
        self, members: Iterable[ReplicaLoad], now: float
    ) -> list[ReplicaLoad]:
        """Return the replicas that accept requests, as far as known."""
        usable = [
            one
            for one in members
            if not one.replica.draining and one.takes_requests(now)
        ]
        if not len(self._notices):
            return usable
        notices = self._notices
        return [one for one in usable if notices.takes_requests(one.replica, now)]

    def _draw(self, room: list[_Candidate], arrivals: float) -> ReplicaLoad:
        local = [
            one for one in room if one.load.replica.availability_zone == self._zone
        ]
        # Replicas of the own zone get about their part of the arrivals. Traffic between
        # zones is charged, but a full rank next to a free one costs more.
        local_arrivals = arrivals * len(local) / len(room)
        highest = _find_water_level(room, arrivals) + LOCAL_ZONE_SLACK
        home = [one for one in local if self._homes.is_home(one.load.replica.address)]
        if home:
            least = min(one.cost for one in home)
            if least + REQUEST_COST <= highest:
                best = [one for one in home if one.cost == least]
                return self._random.choice(best).load
        if local and _find_water_level(local, local_arrivals) <= highest:
            room, arrivals = local, local_arrivals
        number = choose_by_deficit(
            [one.cost for one in room],
            arrivals,
            free=[one.free for one in room],
            random=self._random,
        )
        return room[number].load


def _find_water_level(room: list[_Candidate], arrivals: float) -> float:
    costs = [one.cost for one in room]
    return find_water_level(costs, max(1.0, arrivals) * REQUEST_COST)
