"""Assign waiting requests to replicas that have room."""

from collections.abc import Callable, Collection, Mapping

from hyssopvane._internal.policy.cold_replicas import ColdReplicas
from hyssopvane._internal.policy.early_refusal import EarlyRefusal
from hyssopvane._internal.policy.fleet_demand import FleetDemand
from hyssopvane._internal.policy.gate_decisions import Assignment, QueuedRequest
from hyssopvane._internal.policy.group_capacity import GroupCapacity
from hyssopvane._internal.policy.limited_replicas import LimitedReplicas
from hyssopvane._internal.policy.queueing import FairQueue, QueuedItem
from hyssopvane._internal.policy.replica_choice import ReplicaChooser
from hyssopvane._internal.policy.running_attempts import MAX_SILENCE_S
from hyssopvane._internal.policy.shared_places import GroupPlaces, SharedPlaces
from hyssopvane._internal.policy.waiting_requests import WaitingRequests
from hyssopvane._internal.state.routing import EngineModel, Incarnation

_Search = tuple[frozenset[str] | None, frozenset[Incarnation], tuple[int, ...], bool]
"""Zones, avoided replicas, groups and whether replicas must be heard, for which no
place was found in one decision.

Otherwise a hundred requests for a full zone, beside others with room, would search all
replicas a hundred times in each decision.
"""

LAST_CHANCE_S = 0.2
"""Time before its refusal at which a late request may take a spare place.

Until then it waits in the usual order. Entries draw their parts of the places about
eight times a second, so one draw or two fall into this time. In 0.3 s, requests on time
lost 0.006 more under 1.8 times the usual demand.
"""


class RequestPlacement:
    """Place the waiting requests of one gate in the groups of its service."""

    def __init__(
        self,
        *,
        waiting: WaitingRequests,
        groups: Mapping[str, GroupCapacity],
        chooser: ReplicaChooser,
        limits: LimitedReplicas,
        cold: ColdReplicas,
        early: EarlyRefusal,
        remove: Callable[[str], None],
    ) -> None:
        self._waiting = waiting
        self._groups = groups
        self._chooser = chooser
        self._limits = limits
        self._cold = cold
        self._early = early
        self._remove = remove
        """Removes a request from all that the gate knows of it."""
        self.shares = SharedPlaces()
        self._spare_count = 0
        """Number of late requests that got a spare place."""
        self._engine: EngineModel | None = None

    def place(
        self, engine: EngineModel | None, fleet: FleetDemand | None, now: float
    ) -> list[Assignment]:
        """Return the assignments for which there is room.

        `fleet` is what waits at all entries; if it is None, each entry takes an even
        part of what is free. Otherwise customers are charged for what they get and less
        urgent priorities get their tenth, also while the sums are missing.
        """
        self._engine = engine
        placed = self._place(self._waiting.moving_queue, now, self._groups.values())
        places = self._divide_places(fleet, now)
        for queue in (self._waiting.queue, self._waiting.late_queue):
            groups: Collection[GroupCapacity] = self._groups.values()
            if places is not None:
                placed += self._place_by_shares(queue, places, now)
                groups = [one for one in groups if not one.has_fresh_load(now)]
            placed += self._place(queue, now, groups, charges=fleet is not None)
        if fleet is not None:
            placed += self._place_last(now)
        return placed

    def _place_last(self, now: float) -> list[Assignment]:
        """Assign late requests that are about to be refused to spare places."""
        placed: list[Assignment] = []
        queue = self._waiting.late_queue
        if not len(queue) or len(self._waiting.queue):
            return placed
        due = [
            one
            for one in self._waiting.values()
            if one.refuse_at <= now + LAST_CHANCE_S and one.item.request_id in queue
        ]
        searched: set[_Search] = set()
        for one in sorted(due, key=lambda one: one.refuse_at):
            groups = [
                group
                for group in self._groups.values()
                if group.is_open(now)
                and group.count_spare(self._engine, now)
                and group.allows_prompt(self._engine, now)
            ]
            if not groups:
                break
            found = self._place_next(one.item, groups, now, searched, charged=queue)
            if found is not None:
                place, group, prompt_tokens = found
                placed.append(place)
                group.reserve_place(prompt_tokens, now=now)
                self._spare_count += 1
        return placed

    def take_spare_count(self) -> int:
        """Return the late requests that got a spare place since the last call."""
        count, self._spare_count = self._spare_count, 0
        return count

    def _place(
        self,
        queue: FairQueue,
        now: float,
        groups: Collection[GroupCapacity],
        *,
        charges: bool = False,
    ) -> list[Assignment]:
        """Assign requests to groups of which this entry takes an even share."""
        placed: list[Assignment] = []
        if not len(queue) or not groups:
            return placed
        late, moving = (
            queue is self._waiting.late_queue,
            queue is self._waiting.moving_queue,
        )
        rooms = [
            (group, group.count_available(self._engine, now, late=late, moving=moving))
            for group in groups
            if group.is_open(now)
        ]
        left = {id(group): room for group, room in rooms if room}
        skipped: list[QueuedItem] = []
        searched: set[_Search] = set()
        charged = queue if charges else None
        usable: list[GroupCapacity] | None = None
        while len(queue) and left:
            if usable is None:
                usable = [
                    group
                    for group, _ in rooms
                    if left.get(id(group)) and group.allows_prompt(self._engine, now)
                ]
            item = queue.peek()
            assert item is not None
            found = self._place_next(item, usable, now, searched, charged=charged)
            if found is None:
                if not self._may_differ(item, groups, now):
                    break
                # There may be room for those behind it.
                queue.remove(item.request_id)
                skipped.append(item)
                continue
            place, group, prompt_tokens = found
            placed.append(place)
            group.reserve_place(prompt_tokens, now=now)
            usable = None
            left[id(group)] -= 1
            if not left[id(group)]:
                del left[id(group)]
        self._waiting.restore(skipped, queue)
        return placed

    def _divide_places(
        self, fleet: FleetDemand | None, now: float
    ) -> dict[int, GroupPlaces] | None:
        """Return the places that this entry may use; None for an even share."""
        queues = (self._waiting.queue, self._waiting.late_queue)
        if fleet is None or not any(map(len, queues)):
            return None
        groups = [group for group in self._groups.values() if group.is_open(now)]
        return self.shares.divide(groups, fleet, queues, self._engine, now)

    def _place_by_shares(
        self, queue: FairQueue, places: dict[int, GroupPlaces], now: float
    ) -> list[Assignment]:
        placed: list[Assignment] = []
        late = queue is self._waiting.late_queue
        usable = [group for group in self._groups.values() if id(group) in places]
        skipped: list[QueuedItem] = []
        searched: set[_Search] = set()
        has_changed = True
        while len(queue):
            if has_changed:
                usable = [
                    one
                    for one in usable
                    if places[id(one)].left > 0 and one.allows_prompt(self._engine, now)
                ]
                has_changed = False
            left = [places[id(group)] for group in usable]
            item = self.shares.find_next(queue, left, late=late)
            if item is None:
                break
            row = self.shares.get_key(item, late=late)
            groups = [group for group in usable if places[id(group)].allows(row[0])]
            found = self._place_next(item, groups, now, searched, charged=queue)
            if found is None and self._may_differ(item, groups, now):
                # There may be room for those behind it.
                queue.remove(item.request_id)
                skipped.append(item)
                continue
            if found is None:
                # None of these groups has a replica with a free slot.
                usable = [group for group in usable if group not in groups]
                continue
            place, group, prompt_tokens = found
            placed.append(place)
            group.reserve_place(prompt_tokens, now=now, row=row)
            places[id(group)].take(row[0])
            has_changed = True
        self._waiting.restore(skipped, queue)
        return placed

    def _may_differ(
        self, item: QueuedItem, groups: Collection[GroupCapacity], now: float
    ) -> bool:
        """Return whether requests behind one without a place may reach others."""
        waiting = self._waiting.by_id[item.request_id]
        if waiting.zones is not None:
            return True
        return _is_too_late_to_move(waiting, now) and any(
            not one.is_heard(now) for group in groups for one in group.members.values()
        )

    def _place_next(
        self,
        item: QueuedItem,
        groups: list[GroupCapacity],
        now: float,
        searched: set[_Search],
        *,
        charged: FairQueue | None = None,
    ) -> tuple[Assignment, GroupCapacity, int] | None:
        waiting = self._waiting.by_id[item.request_id]
        heard_only = _is_too_late_to_move(waiting, now)
        search = (waiting.zones, waiting.avoid, tuple(map(id, groups)), heard_only)
        if search in searched:
            self._cold.record_held(item.request_id, now)
            return None
        moving_s = now - item.arrived_at if waiting.moving else None
        self._chooser.zone_choice.begin()
        left_s = None if waiting.moving else waiting.late_at - now
        for group in self._chooser.order_groups(
            groups, self._engine, now, left_s=left_s
        ):
            one = self._chooser.choose(
                group,
                waiting.avoid,
                now,
                moving_s=moving_s,
                zones=waiting.zones,
                heard_only=heard_only,
            )
            if one is not None:
                predicted_s = self._early.get_predicted_s(item.request_id)
                if charged is not None:
                    # The customer's next request comes after those of others.
                    charged.serve(item.request_id)
                self._remove(item.request_id)
                self._chooser.zone_choice.record(one.replica)
                one.start(now)
                self._limits.take(one.replica, now)
                self._cold.reserve(one.replica, now)
                return (
                    Assignment(item.request_id, one.replica, predicted_s),
                    group,
                    waiting.prompt_tokens,
                )
        self._cold.record_held(item.request_id, now)
        if not waiting.moving:
            # Requests that move get a place depending on how long they have waited.
            searched.add(search)
        return None


def _is_too_late_to_move(waiting: QueuedRequest, now: float) -> bool:
    """Return whether its caller leaves before a VM is known to stand still.

    Another replica needs time to serve it after that.
    """
    if waiting.hold_until is None:
        return False
    return now + MAX_SILENCE_S > waiting.hold_until
