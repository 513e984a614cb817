"""Apply the shares of all entries to the groups of one service."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import floor

from hyssopvane._internal.policy.fleet_demand import DemandAtEntries, FleetDemand
from hyssopvane._internal.policy.group_capacity import GroupCapacity
from hyssopvane._internal.policy.place_shares import (
    PlaceShares,
    PriorityDemand,
    RowKey,
    compute_shares,
    draw_places,
    subtract_own,
)
from hyssopvane._internal.policy.queueing import FairQueue, QueuedItem
from hyssopvane._internal.state.routing import EngineModel
from hyssopvane._internal.state.waiting import (
    LATE_PRIORITY,
    OTHER_CUSTOMERS,
    WaitingRow,
    hash_customer,
    merge_rows,
)

MIN_REPORTING_SHARE = 0.75
"""Least part of the entries whose reports must be in the sums.

The places of the missing ones are left to them. With fewer reports, entries that are
not in the sums would take places that the others count as their own.
"""

MAX_MISSING_SHARE = 0.1
"""Most of the entries that may be missing in the sums, if that is more than one.

An entry that is dead or of an earlier release is missing for long. When more are, their
reports are lost, and sums that lack much of what waits divide places worse than even
shares: 0.88 of the most urgent requests on time against 0.90, of 16 entries.
"""


@dataclass(frozen=True, slots=True)
class ShareInputs:
    """Hold what the last shares were computed from, for the log."""

    free: float
    sums: DemandAtEntries
    own: Mapping[int, Mapping[int, int]]
    shares: PlaceShares
    entries: float


@dataclass(slots=True)
class GroupPlaces:
    """Count the places of one group that this entry may reserve now."""

    by_priority: dict[int, int]
    """Places by priority; a customer's turn comes by the order of the fair queue.

    The shares of customers decide how many places an entry has. If they decided as well
    who gets them, a customer with a long queue would gain whenever another one, with a
    few requests, has none for a moment.
    """
    left: int
    """Free places of the group; rows that any group may take can exceed them."""

    def allows(self, priority: int) -> bool:
        """Return whether a request of a priority may take a place."""
        return self.left > 0 and self.by_priority.get(priority, 0) > 0

    def take(self, priority: int) -> None:
        """Use one place for a request of a priority."""
        self.by_priority[priority] -= 1
        self.left -= 1


class SharedPlaces:
    """Compute the places of each group that this entry may use, by row."""

    def __init__(self) -> None:
        self._even_count = 0
        """Number of decisions that used even shares, as the sums were missing."""
        self._shared_count = 0
        """Number of decisions that used shares."""
        self._inputs: ShareInputs | None = None
        self._grouped: tuple[DemandAtEntries | None, dict[int, PriorityDemand]]
        self._grouped = (None, {})
        """The last sums, and the demand of the other entries in them, by priority."""
        self._exhausted: tuple[object, ...] | None = None
        """State in which this entry had no place left; None if it had one.

        Decisions are made a hundred times a second, mostly for a full group. While a
        group ramps up or requests of a stalled VM move, places come free with time, so
        each decision computes them.
        """

    def get_key(self, item: QueuedItem, *, late: bool) -> RowKey:
        """Return the row that counts a request."""
        priority = get_priority(item.priority, late=late)
        if late:
            # Late requests of all customers are served alike, in few rows.
            return priority, OTHER_CUSTOMERS
        return priority, hash_customer(item.customer)

    def count_rows(self, queue: FairQueue, late_queue: FairQueue) -> dict[RowKey, int]:
        """Return the number of waiting requests by row."""
        counts: dict[RowKey, int] = {}
        for one, late in ((queue, False), (late_queue, True)):
            for _, _, flow in one.iterate_flows():
                key = self.get_key(flow.find_newest(), late=late)
                counts[key] = counts.get(key, 0) + flow.size
        return counts

    def list_rows(
        self, queue: FairQueue, late_queue: FairQueue
    ) -> tuple[WaitingRow, ...]:
        """Return what waits, as it is reported to leaders."""
        return merge_rows(self.count_rows(queue, late_queue))

    def divide(
        self,
        groups: Sequence[GroupCapacity],
        demand: FleetDemand,
        queues: tuple[FairQueue, FairQueue],
        engine: EngineModel | None,
        now: float,
    ) -> dict[int, GroupPlaces] | None:
        """Return the places that this entry may reserve now, by group and priority.

        `queues` hold the requests that can be on time, and the late ones. Groups
        without a recent load are left out. Return None if the sums are missing, so
        that even shares apply. Requests that were placed since a group's last pass
        count as waiting, since the entry takes its share once per pass.
        """
        sums = demand.choose_sums(now)
        groups = [group for group in groups if group.has_fresh_load(now)]
        if sums is None or not groups:
            self._even_count += 1
            return None
        entries = max(group.entries for group in groups)
        if sums.reporting < _count_required(entries):
            self._even_count += 1
            return None
        self._shared_count += 1
        state = (
            engine,
            demand.changes,
            *(queue.changes for queue in queues),
            *((id(group), group.changes) for group in groups),
        )
        if state == self._exhausted:
            return {}
        rooms = {
            id(group): (group, free + group.reserved_rows.total())
            for group in groups
            if (free := group.measure_free(engine, now)) >= 1
        }
        places = {}
        if rooms:
            places = self._divide_rooms(
                rooms, sums, queues, engine, entries=entries, now=now
            )
        is_settled = all(group.is_settled(now) for group in groups)
        self._exhausted = state if is_settled and not places else None
        return places

    def find_next(
        self, queue: FairQueue, places: Sequence[GroupPlaces], *, late: bool
    ) -> QueuedItem | None:
        """Return the next request that may take a place of one of some groups."""
        return queue.find_next(
            lambda priority: any(
                one.allows(get_priority(priority, late=late)) for one in places
            )
        )

    def _divide_rooms(
        self,
        rooms: Mapping[int, tuple[GroupCapacity, float]],
        sums: DemandAtEntries,
        queues: tuple[FairQueue, FairQueue],
        engine: EngineModel | None,
        *,
        entries: float,
        now: float,
    ) -> dict[int, GroupPlaces]:
        total = sum(free for _, free in rooms.values())
        own: dict[int, dict[int, int]] = {}
        reserved = (group.reserved_rows for group, _ in rooms.values())
        for counts in (self.count_rows(*queues), *reserved):
            for (priority, customer), count in counts.items():
                rows = own.setdefault(priority, {})
                rows[customer] = rows.get(customer, 0) + count
        if self._grouped[0] is not sums:
            self._grouped = (sums, subtract_own(sums.rows, sums.own))
        shares = compute_shares(
            total * min(1.0, sums.reporting / entries),
            self._grouped[1],
            own,
            entries=entries,
            alike=1
            / max(group.measure_share(group.count(now)) for group, _ in rooms.values()),
            reserve=sum(
                group.measure_late_reserve(engine, group.get_limit(engine))
                for group, _ in rooms.values()
            ),
        )
        self._inputs = ShareInputs(total, sums, own, shares, entries)
        own_part = min(1.0, shares.total / total)
        places: dict[int, GroupPlaces] = {}
        for number, (group, free) in rooms.items():
            group.place_share = own_part
            left = _leave_reserved(shares, group, free / total)
            unused = int(free) - group.reserved_rows.total()
            if unused > 0 and any(left.values()):
                places[number] = GroupPlaces(left, unused)
        return places

    def take_counts(self) -> tuple[int, int]:
        """Return the decisions by shares and by even shares since the last call."""
        counts = self._shared_count, self._even_count
        self._shared_count = self._even_count = 0
        return counts

    def describe(self) -> dict[str, object]:
        """Return what the last shares were computed from, for the log."""
        inputs = self._inputs
        if inputs is None:
            return {}
        return {
            "free": round(inputs.free, 1),
            "entries": round(inputs.entries, 1),
            "reporting": inputs.sums.reporting,
            "waiting": _sum_up(
                (one.priority, one.requests) for one in inputs.sums.rows
            ),
            "own": _sum_up(
                (key, sum(rows.values())) for key, rows in inputs.own.items()
            ),
            "places": _sum_up((inputs.shares.complete | inputs.shares.partial).items()),
        }


def _count_required(entries: float) -> float:
    """Return the least number of entries whose reports must be in the sums."""
    missing = max(1.0, MAX_MISSING_SHARE * entries)
    return max(MIN_REPORTING_SHARE * entries, entries - missing)


def get_priority(priority: int, *, late: bool) -> int:
    """Return the priority of a request in rows."""
    return min(priority, LATE_PRIORITY - 1) + (LATE_PRIORITY if late else 0)


def _sum_up(amounts: Iterable[tuple[int, float]]) -> str:
    """Return sums by priority as text."""
    sums: defaultdict[int, float] = defaultdict(float)
    for priority, amount in amounts:
        sums[priority] += amount
    return ",".join(f"{key}:{sums[key]:.1f}" for key in sorted(sums)) or "-"


def _leave_reserved(
    shares: PlaceShares, group: GroupCapacity, part: float
) -> dict[int, int]:
    """Return the places of one group without those that the entry has reserved.

    The fractions move when requests arrive, and with them the priority that a draw
    selects. So the sum is limited as well.
    """
    places = draw_places(shares, part, group.draw)
    reserved: Counter[int] = Counter()
    for (priority, _), number in group.reserved_rows.items():
        reserved[priority] += number
    partial = shares.partial
    left = floor(sum(partial.values()) * part + group.draw)
    left -= sum(reserved[priority] for priority in partial)
    for priority, number in places.items():
        number = max(0, number - reserved[priority])
        if priority in partial:
            number = min(number, max(0, left))
            left -= number
        places[priority] = number
    return places
