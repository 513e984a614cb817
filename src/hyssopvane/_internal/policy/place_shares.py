"""Divide the free places of a service's groups by priority, customer and entry.

Each entry sees the same free places and the same sums of what waits at all entries. If
each took an even part, an entry that has only the least urgent work would serve it
while urgent work waits at another one, and an entry that gets all requests would leave
most places empty. So all entries apply one rule to the same numbers, and each takes its
own part of the result. The load handled here is a burst that exceeds the groups' limit
for some seconds, with requests that come to the entries unevenly.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf, sqrt

from hyssopvane._internal.policy.queueing import LOWER_PRIORITY_SHARE
from hyssopvane._internal.state.waiting import (
    LATE_PRIORITY,
    OTHER_CUSTOMERS,
    WaitingRow,
)

RowKey = tuple[int, int]
"""Priority and customer."""

MAX_POOLED = 1_000
"""Most customers that a row of other customers is taken for."""

BURST_DEVIATIONS = 2.0
"""Standard deviations above what is expected at which requests show growing demand.

Without them, an entry that has one request more than the mean by chance counts it for
all entries and lowers its own share, while no other entry raises its share in return:
the shares of 16 entries added up to 0.77 of the free places.
"""

_EPSILON = 1e-9
"""Tolerance for sums of fractions."""


@dataclass(frozen=True, slots=True)
class PlaceShares:
    """Hold the parts of the free places that this entry may use, by priority."""

    complete: dict[int, int]
    """Priorities with a place for each request of all entries, and the own requests."""
    partial: dict[int, float]
    """Places for the others; a part has a fraction."""

    @property
    def total(self) -> float:
        """Return the sum of all shares."""
        return sum(self.complete.values()) + sum(self.partial.values())


def _count_pooled(requests: Mapping[int, float]) -> int:
    """Return the least number of customers that the row of other customers adds up.

    The customers with the fewest requests are added up, so each has at most as many as
    the smallest one with a row of its own.
    """
    pooled = requests.get(OTHER_CUSTOMERS)
    if pooled is None or len(requests) < 2:
        return 1
    smallest = min(
        number for customer, number in requests.items() if customer != OTHER_CUSTOMERS
    )
    return min(MAX_POOLED, max(1, round(pooled / max(1.0, smallest))))


class PriorityDemand:
    """Hold what waits with one priority at the other entries, by customer."""

    __slots__ = ("least", "own_reported", "pooled", "requests", "total")

    def __init__(self, requests: dict[int, float], *, own_reported: float) -> None:
        self.requests = requests
        self.total = sum(requests.values())
        self.least = min(requests.values(), default=inf)
        self.own_reported = own_reported
        """Requests of this entry in the sums."""
        self.pooled = _count_pooled(requests)
        """Least number of customers that the row of other customers adds up."""

    def divide(self, own: Mapping[int, int], places: float, factor: float) -> float:
        """Return the part of scarce places for the requests at this entry.

        Customers get places by max-min fairness. Own requests count `factor` times.
        """
        known = self.requests
        demands = {
            customer: known.get(customer, 0.0) + requests * factor
            for customer, requests in own.items()
        }
        customers = len(known.keys() | demands.keys())
        level = places / customers
        if self.pooled > 1 or level > min(self.least, *demands.values()):
            level = self._find_level(demands, places)
        part = 0.0
        for customer, demand in demands.items():
            most = level * self.pooled if customer == OTHER_CUSTOMERS else level
            part += own[customer] * (most / demand if demand > most else 1.0)
        return part

    def _find_level(self, demands: Mapping[int, float], places: float) -> float:
        """Return the places that each customer gets at most."""
        merged = {**self.requests, **demands}
        above = list(merged.values())
        if self.pooled > 1:
            each = merged.pop(OTHER_CUSTOMERS) / self.pooled
            above = [*merged.values(), *[each] * self.pooled]
        # Each round leaves out customers that get all they want, until none is left.
        while True:
            level = places / len(above)
            rest = [number for number in above if number > level]
            if len(rest) == len(above) or not rest:
                return level
            places -= sum(above) - sum(rest)
            above = rest


def subtract_own(
    waiting: Iterable[WaitingRow], reported: Iterable[WaitingRow]
) -> dict[int, PriorityDemand]:
    """Return what waits at the other entries; it is computed once for new sums.

    `reported` are the rows of this entry in the sums.
    """
    requests: dict[int, dict[int, float]] = {}
    for row in waiting:
        requests.setdefault(row.priority, {})[row.customer] = row.requests
    own: dict[int, float] = {}
    absent: dict[int, float] = {}
    for row in reported:
        known = requests.get(row.priority)
        if known is None:
            continue
        customer = row.customer if row.customer in known else OTHER_CUSTOMERS
        count = known.get(customer, 0.0)
        own[row.priority] = own.get(row.priority, 0.0) + row.requests
        missing = max(0.0, row.requests - count)
        absent[row.priority] = absent.get(row.priority, 0.0) + missing
        if customer in known:
            known[customer] = max(0.0, count - row.requests)
    for priority, number in absent.items():
        # The sums hold an earlier report, with as many requests of other customers.
        # Counted as those of other entries, they would lower this entry's share.
        known = requests[priority]
        rest = sum(known.values())
        factor = max(0.0, 1 - number / rest) if rest else 0.0
        requests[priority] = {key: count * factor for key, count in known.items()}
    return {
        priority: PriorityDemand(
            {customer: number for customer, number in rows.items() if number},
            own_reported=own.get(priority, 0.0),
        )
        for priority, rows in requests.items()
    }


_NONE = PriorityDemand({}, own_reported=0.0)


def compute_shares(
    free: float,
    others: Mapping[int, PriorityDemand],
    own: Mapping[int, Mapping[int, int]],
    *,
    entries: float,
    alike: float,
    reserve: float = 0.0,
) -> PlaceShares:
    """Return the own part of the free places of all groups, by priority.

    `own` are the requests at this entry, and `others` those at the other ones of
    `entries` entries, by priority and customer. `alike` is the number of entries that
    would have all requests if each had as many as this one. Late requests leave
    `reserve` places free. The shares of all entries add up to about the free places.
    """
    totals = {priority: one.total for priority, one in others.items()}
    factors: dict[int, float] = {}
    for priority, rows in own.items():
        known = others.get(priority, _NONE)
        requests = sum(rows.values())
        factor = _estimate_factor(requests, known, entries=entries, alike=alike)
        factors[priority] = factor
        totals[priority] = known.total + requests * factor
    granted = _divide_by_priority(free, totals, reserve)
    complete: dict[int, int] = {}
    partial: dict[int, float] = {}
    for priority, rows in own.items():
        if granted[priority] >= totals[priority] - _EPSILON:
            complete[priority] = sum(rows.values())
            continue
        known = others.get(priority, _NONE)
        part = known.divide(rows, granted[priority], factors[priority])
        partial[priority] = part
    return PlaceShares(complete, partial)


def draw_places(shares: PlaceShares, part: float, draw: float) -> dict[int, int]:
    """Return whole places by priority of one group with `part` of all free places.

    One draw between 0 and 1 decides about all fractions. So the places add up to the
    sum of the shares, rounded up or down, and a single free place that all entries
    share goes to about one of them. Any group may take priorities that are complete.
    """
    places = dict(shares.complete)
    filled, before = draw, 0
    for priority, share in shares.partial.items():
        filled += share * part
        # Rounds down, as all numbers are positive.
        after = int(filled)
        places[priority] = after - before
        before = after
    return places


def _estimate_factor(
    own: int, others: PriorityDemand, *, entries: float, alike: float
) -> float:
    """Return the factor by which own requests count in the demand of all entries.

    The sums are some tenths of a second old. As a rule, others have placed some of the
    requests in them, and got about as many new ones. If this entry has more than it
    reported and than the mean of all entries, by more than chance, demand grows
    everywhere, and entries like this one have as many new requests. Without this, all
    entries would send their first requests to the same free place.
    """
    mean = (others.total + others.own_reported) / entries
    expected = max(others.own_reported, mean)
    excess = max(0.0, own - expected - BURST_DEVIATIONS * sqrt(mean))
    return 1.0 + (alike - 1.0) * excess / own


def _divide_by_priority(
    free: float, totals: Mapping[int, float], reserve: float
) -> dict[int, float]:
    """Return the places for each priority, the most urgent first.

    Those that are passed over get a tenth together, so that none waits in vain. Late
    requests get what all others leave.
    """
    order = sorted(totals)
    lower = [number for number in order[1:] if number < LATE_PRIORITY]
    least = free * LOWER_PRIORITY_SHARE / max(1, len(lower))
    granted = dict.fromkeys(order, 0.0)
    granted.update({number: min(totals[number], least) for number in lower})
    left = max(0.0, free - sum(granted.values()))
    is_late = False
    for number in order:
        if number >= LATE_PRIORITY and not is_late:
            is_late = True
            left = max(0.0, left - reserve)
        extra = min(left, totals[number] - granted[number])
        granted[number] += extra
        left -= extra
    return granted
