"""Choose the group and the replica that get a request."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from hyssopvane._internal.policy.cold_replicas import ColdReplicas
from hyssopvane._internal.policy.group_capacity import GroupCapacity
from hyssopvane._internal.policy.home_replicas import HomeReplicas
from hyssopvane._internal.policy.limited_replicas import LimitedReplicas
from hyssopvane._internal.policy.replica_load import ReplicaLoad
from hyssopvane._internal.policy.replica_notices import ReplicaNotices
from hyssopvane._internal.policy.slot_owners import count_own_slots, find_position
from hyssopvane._internal.policy.water_filling import (
    REQUEST_COST,
    choose_by_deficit,
    find_water_level,
)
from hyssopvane._internal.policy.zone_choice import GroupRoom, ZoneChoice
from hyssopvane._internal.state.routing import EngineModel, Incarnation, Replica

LOCAL_ZONE_SLACK = 0.5 * REQUEST_COST
"""Cost by which replicas of the own zone may exceed all others: half a request."""

_SLOTS_LEFT_TO_HOME = 2
"""Free slots of a replica that requests which move leave to its home entry.

Several other entries may take one at the same moment.
"""

_HOME_TURN_S = 0.15
"""Time for which they leave them: about two passes, after which loads show what the
home entry has placed.
"""


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
        cold: ColdReplicas,
        notices: ReplicaNotices,
    ) -> None:
        self._random = random
        self._zone = availability_zone
        self.zone_choice = ZoneChoice(availability_zone)
        self._homes = homes
        self._limits = limits
        self._cold = cold
        self._notices = notices

    def order_groups(
        self,
        groups: list[GroupCapacity],
        engine: EngineModel | None,
        now: float,
        *,
        left_s: float | None = None,
    ) -> list[GroupCapacity]:
        """Return a group drawn at random, followed by the others, the emptiest first.

        Many entries see the same loads of several groups. If each chose the emptiest
        group, all requests until the next loads would go to it and meet full ranks,
        while the other groups are half empty.

        A group of the own zone comes before the drawn one unless its first event would
        be too late there. `left_s` is the time that the request may wait to be on time;
        None disregards zones.
        """
        if len(groups) < 2 or engine is None:
            return groups
        rooms = []
        for one in groups:
            limit = one.get_limit(engine)
            fullness = one.count(now) / max(1.0, limit)
            rooms.append(GroupRoom(one, fullness, limit, one.estimate_arrivals(now)))
        rooms.sort(key=lambda one: one.fullness)
        weights = None
        if left_s is not None:
            weights = self.zone_choice.weigh(rooms, engine, left_s=left_s)
        if weights is None:
            return self._draw_first(rooms)
        [own] = self._random.choices(rooms, weights)
        rest = [one for one in rooms if one is not own]
        return [own.group, *self._draw_first(rest)]

    def _draw_first(self, rooms: list[GroupRoom]) -> list[GroupCapacity]:
        limits = [one.limit for one in rooms]
        if len(rooms) < 2 or not any(limits):
            return [one.group for one in rooms]
        arrivals = max(1.0, sum(one.arrivals for one in rooms))
        level = find_water_level([one.fullness for one in rooms], arrivals, limits)
        weights = [one.limit * max(0.0, level - one.fullness) for one in rooms]
        [first] = self._random.choices(rooms, weights)
        return [first.group, *(one.group for one in rooms if one is not first)]

    def choose(
        self,
        group: GroupCapacity,
        avoid: frozenset[Incarnation],
        now: float,
        *,
        moving_s: float | None = None,
        zones: frozenset[str] | None = None,
        heard_only: bool = False,
    ) -> ReplicaLoad | None:
        """Return the replica of a group that gets a request, None if none may.

        Replicas in `avoid` are used only if no other is usable. `moving_s` is the time
        for which a request that moves has waited; it has no time for a second VM that
        stands still. `zones` are those that the request may reach, None for all.
        `heard_only` leaves out replicas that are not heard, as long as agents tell.
        """
        usable = self.list_usable(group.members.values(), now)
        if zones is not None:
            usable = [one for one in usable if one.replica.availability_zone in zones]
        if len(self._limits):
            usable = [one for one in usable if self._limits.may_send(one.replica, now)]
        if len(self._cold):
            usable = self._cold.filter_due(usable, now)
        # A rank's own requests cost only its own time, but all ranks wait for the
        # slowest: one request at a rank that runs at a twelfth of its pace costs as
        # much as twelve.
        usable = [one for one in usable if not one.is_slow(now)] or usable
        if group.probed:
            usable = [
                one
                for one in usable
                if not one.is_probed(now) or self._may_probe(one, group, now)
            ]
        # The VM of a replica that is not heard may stand still. What is sent there
        # can't be taken back, and arrives when the VM resumes.
        heard = [one for one in usable if one.is_heard(now)]
        room = self._find_room(heard, group, avoid, now)
        if moving_s is not None:
            return self._choose_for_move(room, group, moving_s)
        waits = heard_only and group.has_agents(now)
        if not room and len(heard) < len(usable) and not waits:
            # If nobody is heard, any of them may be the leader that stands still.
            usable = [one for one in usable if not one.sent_at]
            room = self._find_room(usable, group, avoid, now)
        if not room:
            return None
        # A request that does not reach its replica helps nobody.
        room = [one for one in room if not one.load.is_unreached(now)] or room
        # A slot of another entry is used if there is no own one: no request waits
        # beside a free slot.
        room = [one for one in room if self._owns_slot(one, group, now)] or room
        return self._draw(room, group.estimate_arrivals(now))

    def _owns_slot(self, one: _Candidate, group: GroupCapacity, now: float) -> bool:
        """Return whether a free slot of a replica is this entry's to use."""
        load = one.load
        if not self._homes.own or load.load is None or not load.is_fresh(now):
            # Without a load the entry counts by its own requests alone.
            return True
        # An entry that takes a larger part of the places owns as much of the slots.
        entries = group.entries
        if group.place_share:
            entries = min(entries, 1 / group.place_share)
        position = find_position(
            self._homes.measure_score(load.replica.address),
            is_home=self._is_home(load.replica),
            entries=entries,
        )
        # A slot that this entry has freed is known to no other one yet.
        unseen = len(load.sent_at)
        shown = one.free + unseen - load.freed
        own = load.freed + count_own_slots(shown, position, entries=entries)
        return unseen < own

    def _choose_for_move(
        self, room: list[_Candidate], group: GroupCapacity, moving_s: float
    ) -> ReplicaLoad | None:
        """Return a replica for a request that moves, None if it has to wait for one.

        All entries find out at the same time that a VM stands still, and all see the
        same free slots. If each drew among all replicas, some would get more requests
        than they can run, and their callers would leave. So each entry uses the
        replicas whose home it is, and leaves the last slots of others to their homes.
        When these have had their turn, the other entries take turns.
        """
        # A request that moves reaches its replica only when its first attempt has been
        # ended, and loads may not include it until then.
        room = [one for one in room if one.load.own < one.load.replica.slots]
        home = [one for one in room if self._is_home(one.load.replica)]
        if home:
            least = min(one.cost for one in home)
            return self._random.choice([one for one in home if one.cost == least]).load
        has_home = any(
            self._is_home(one.replica)
            for one in group.members.values()
            if not one.is_stalled
        )
        waits = has_home and moving_s < _HOME_TURN_S
        others = [
            one
            for one in room
            if one.free > _SLOTS_LEFT_TO_HOME
            or (not waits and group.has_turn(one.load.replica.address))
        ]
        # One at a time, as others may have sent requests that no load shows yet.
        others = [one for one in others if not one.load.sent_at]
        if not others:
            return None
        return self._random.choices(others, [one.free for one in others])[0].load

    def _may_probe(self, one: ReplicaLoad, group: GroupCapacity, now: float) -> bool:
        """Return whether a replica whose VM has resumed may get a request.

        All entries hear of it at the same moment, and none knows what the others send.
        Its home entry goes first.
        """
        if one.probes:
            return False
        if self._is_home(one.replica):
            return True
        return now - one.resumed_at >= _HOME_TURN_S and group.has_turn(
            one.replica.address
        )

    def _is_home(self, replica: Replica) -> bool:
        if replica.availability_zone != self._zone:
            return False
        return self._homes.is_home(replica.address)

    def _find_room(
        self,
        usable: list[ReplicaLoad],
        group: GroupCapacity,
        avoid: frozenset[Incarnation],
        now: float,
    ) -> list[_Candidate]:
        fresh = [one for one in usable if one.replica.incarnation not in avoid]
        counts = [
            (one.count(now, group.entries), one.open_slots, one)
            for one in fresh or usable
        ]
        # A rank reads prompts one after the other. Of two ranks with the same number of
        # requests, the one whose requests are already generating output sends the next
        # first event sooner.
        return [
            _Candidate(one, count + one.count_unread_prompts(), slots - count)
            for count, slots, one in counts
            if count < slots
        ]

    def list_usable(
        self, members: Iterable[ReplicaLoad], now: float
    ) -> list[ReplicaLoad]:
        """Return the replicas that accept requests, as far as known."""
        usable = [
            one
            for one in members
            if one.zone_share and not one.replica.draining and one.takes_requests(now)
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
        elif local:
            self.zone_choice.mark_later()
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
