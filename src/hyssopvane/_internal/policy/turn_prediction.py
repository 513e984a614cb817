"""Predict when waiting requests get a place, and when refused callers should retry.

Load: bursts of 1.6 times what a service can serve, for some seconds, at many entries.
A caller that waits in vain loses 2.4 objectives, and one that comes back too early
loses its only retry. A wrong prediction would refuse callers that can be served, so
refusals use the earliest turn that the measured variation allows.
"""

from bisect import bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import lru_cache
from itertools import accumulate
from math import exp, inf, sqrt

from hyssopvane._internal.policy.queueing import LOWER_PRIORITY_SHARE
from hyssopvane._internal.state.waiting import WaitingRow, hash_customer

ARRIVAL_WINDOW_S = 2.0
"""Time constant of the measured arrival rates.

Sixteen entries get some eight requests a second each; a shorter window would count too
few of them.
"""

PART_DECAY = 0.9
"""Factor by which older counts of what waits here and elsewhere lose weight."""

PART_PRIOR = 50.0
"""Number of waiting requests that this entry's part of the places counts for in its
part of the arrivals: a few waiting requests say nothing about it.
"""


@dataclass(frozen=True, slots=True)
class Turnover:
    """Describe how the places of one group or service come free, over all entries."""

    free: float = 0.0
    """Free places; negative if more requests run than allowed."""
    reserve: float = 0.0
    """Free places that late requests leave to others."""
    spare: float = 0.0
    """Places that late requests get before they are refused, as nobody needs them."""
    limit: float = 0.0
    per_s: float = 0.0
    """Places that come free in a second."""
    error: float = 0.0
    """Relative error of the rate, from the variation of the durations."""
    measured: bool = False
    """Whether enough requests have ended to measure the rate."""
    share: float = 1.0
    """This entry's part of the places while it is unknown what waits elsewhere."""


def add_turnovers(parts: Sequence[Turnover]) -> Turnover:
    """Return the turnover of a service from those of its open groups."""
    limit = sum(one.limit for one in parts)
    # A group whose zones are all evacuated has no places, whatever it has measured.
    known = [one for one in parts if one.measured and one.limit]
    if not known:
        return Turnover(limit=limit)
    # A group that is new here has measured nothing; its requests take as long as those
    # of the others.
    scale = limit / sum(one.limit for one in known)
    return Turnover(
        free=sum(one.free for one in parts),
        reserve=sum(one.reserve for one in parts),
        spare=sum(one.spare for one in parts),
        limit=limit,
        per_s=sum(one.per_s for one in known) * scale,
        error=max(one.error for one in known),
        measured=True,
        share=sum(one.share * one.limit for one in parts) / limit,
    )


@dataclass(frozen=True, slots=True)
class WaitingKey:
    """Name what the order of a waiting request depends on, besides its arrival."""

    priority: int
    customer: int
    """32-bit hash of the customer's name."""
    on_time: bool
    """Whether it can still meet its objective."""


@lru_cache(maxsize=1_024)
def make_key(priority: int, customer: str, on_time: bool) -> WaitingKey:
    """Return the key of a waiting request, given the customer's name."""
    return WaitingKey(priority, hash_customer(customer), on_time)


class _Queue:
    """Count the requests that can be on time, or those that can't."""

    def __init__(self) -> None:
        self.counts: dict[int, dict[int, float]] = {}
        """Requests at all entries by priority and customer."""
        self.own: dict[tuple[int, int], int] = {}
        """Requests at this entry by priority and customer."""
        self.totals: dict[int, float] = {}
        """Requests at all entries by priority."""
        self._sorted: dict[int, tuple[list[float], list[float]]] = {}
        """Customers' requests in ascending order, and their running sums."""

    def add(self, priority: int, customer: int, amount: float) -> None:
        counts = self.counts.setdefault(priority, {})
        counts[customer] = counts.get(customer, 0.0) + amount
        self.totals[priority] = self.totals.get(priority, 0.0) + amount
        self._sorted.pop(priority, None)

    def count_own(self) -> int:
        return sum(self.own.values())

    def count(self, least: float = inf) -> float:
        """Return the requests of all priorities up to the least urgent one given."""
        return sum(total for one, total in self.totals.items() if one <= least)

    def count_ahead(self, priority: int, customer: int, position: int) -> float:
        """Return the requests before the customer's own one at a position from 1."""
        own = self.own.get((priority, customer), 0)
        of_customer = self.counts.get(priority, {}).get(customer, 1.0)
        # Requests of the customer that wait elsewhere are spread among those here.
        place = position * max(1.0, of_customer / max(1, own))
        same = max(0.0, self._count_round(priority, place) - 1)
        urgent = lower = 0.0
        passed = -1
        for one, total in self.totals.items():
            passed += total > 0
            if one < priority:
                urgent += total
            elif one > priority:
                lower += total
        if urgent:
            share = LOWER_PRIORITY_SHARE / max(1, passed)
            return min(urgent + same, (same + 1) / share - 1)
        return same + min(lower, same * LOWER_PRIORITY_SHARE)

    def _count_round(self, priority: int, place: float) -> float:
        """Return the requests served once each customer has had `place` of them."""
        found = self._sorted.get(priority)
        if found is None:
            amounts = sorted(self.counts.get(priority, {}).values())
            found = amounts, list(accumulate(amounts, initial=0.0))
            self._sorted[priority] = found
        amounts, sums = found
        below = bisect_right(amounts, place)
        return sums[below] + place * (len(amounts) - below)


@dataclass(slots=True)
class Forecast:
    """Predict turns from what waited and what was free at one time."""

    at: float
    turnover: Turnover
    arrivals_per_s: Mapping[int, float]
    """Rate of new requests over all entries, by priority; empty if unknown."""
    arrivals_error: float = 0.0
    """Relative error of these rates."""
    part: float = 1.0
    """This entry's part of the places in `turnover`."""
    queues: Mapping[bool, _Queue] = field(
        default_factory=lambda: {True: _Queue(), False: _Queue()}
    )
    """What waits, by whether it can be on time."""
    positions: list[int] = field(default_factory=list)
    """Positions of the requests that the forecast was made from, from 1."""
    _rates: dict[tuple[int | None, bool], float] = field(default_factory=dict)

    def add(self, key: WaitingKey) -> int:
        """Count a request of this entry; return its position, from 1."""
        queue = self.queues[key.on_time]
        name = key.priority, key.customer
        position = queue.own.get(name, 0) + 1
        queue.own[name] = position
        queue.add(key.priority, key.customer, 1.0)
        return position

    def remove(self, key: WaitingKey) -> None:
        """Uncount a request of this entry that is refused."""
        queue = self.queues[key.on_time]
        queue.own[key.priority, key.customer] -= 1
        queue.add(key.priority, key.customer, -1.0)

    def measure_backlog_s(self, priority: int) -> float:
        """Return the time until what waits now with this priority has drained."""
        count = sum(queue.count(priority) for queue in self.queues.values())
        places = count - max(0.0, self.turnover.free)
        return max(0.0, places) / self.measure_spare_rate(priority)

    def measure_turn(
        self, key: WaitingKey, position: int, late_at: float, *, earliest: bool
    ) -> float:
        """Return the time at which a request gets a place; inf if never.

        `earliest` gives the earliest time that the errors of the inputs allow.
        """
        turnover = self.turnover
        if key.on_time:
            queue = self.queues[True]
            ahead = queue.count_ahead(key.priority, key.customer, position)
            per_s = self._measure_rate(key.priority, earliest=earliest)
            turn = self.at + _divide(ahead + 1 - turnover.free, per_s, earliest)
            if turn <= late_at:
                return turn
            # It will be the last of those that are late.
            name = key.priority, key.customer
            position = self.queues[False].own.get(name, 0) + 1
        ahead = self.queues[False].count_ahead(key.priority, key.customer, position)
        ahead += self.queues[True].count() - key.on_time
        if ahead < turnover.spare:
            return max(self.at, late_at)
        per_s = self._measure_rate(None, earliest=earliest)
        free = turnover.free - turnover.reserve
        turn = self.at + _divide(ahead + 1 - free, per_s, earliest)
        return max(turn, late_at)

    def measure_spare_rate(self, priority: int) -> float:
        """Return the rate of places that new requests leave for refused callers."""
        # Retries get at least what less urgent requests get: zero would tell all of
        # them to come at the latest time.
        least = self.turnover.per_s * LOWER_PRIORITY_SHARE
        return max(least, self._measure_rate(priority + 1, earliest=False))

    def _measure_rate(self, priority: int | None, *, earliest: bool) -> float:
        """Return the rate of places left by new requests that go first."""
        found = self._rates.get((priority, earliest))
        if found is not None:
            return found
        per_s = self.turnover.per_s
        before = sum(
            rate
            for one, rate in self.arrivals_per_s.items()
            if priority is None or one < priority
        )
        if earliest:
            per_s *= 1 + self.turnover.error
            before *= 1 - self.arrivals_error
        left = max(0.0, per_s - before)
        if priority is not None and before:
            left = max(left, per_s * LOWER_PRIORITY_SHARE)
        self._rates[priority, earliest] = left
        return left


def _divide(places: float, per_s: float, earliest: bool) -> float:
    """Return the seconds until this many places have come free."""
    if places <= 0:
        return 0.0
    if earliest:
        # As many places come free as requests happen to end: a count that varies by its
        # square root, twice which covers 19 of 20 cases.
        places = max(0.0, places - 2 * sqrt(places))
    if not places:
        return 0.0
    return places / per_s if per_s > 0 else inf


class TurnPredictor:
    """Measure what the forecasts of one service at one entry depend on."""

    def __init__(self) -> None:
        self._arrivals: dict[int, tuple[float, float]] = {}
        """Decayed number of arrivals and the time of the last one, by priority."""
        self._own_waiting = self._all_waiting = 0.0
        """Decayed sums of what waited here and at all entries."""

    def record_arrival(self, priority: int, now: float) -> None:
        """Count a new request that waits for a place or has got one."""
        self._arrivals[priority] = (self._count_arrivals(priority, now) + 1, now)

    def withdraw_arrival(self, priority: int, now: float) -> None:
        """Uncount a request that is refused, since it goes before no other one."""
        count = self._count_arrivals(priority, now)
        self._arrivals[priority] = (max(0.0, count - 1), now)

    def forecast(
        self,
        waiting: Sequence[WaitingKey],
        rows: Sequence[WaitingRow] | None,
        turnover: Turnover,
        now: float,
    ) -> Forecast:
        """Return a forecast from what waits here and, if known, at all entries."""
        if rows is None:
            # New requests here can't be compared with the places of all entries, so
            # only those that wait already go first.
            part = turnover.share
            turnover = replace(
                turnover,
                free=turnover.free * part,
                reserve=turnover.reserve * part,
                spare=turnover.spare * part,
                limit=turnover.limit * part,
                per_s=turnover.per_s * part,
            )
            forecast = Forecast(now, turnover, {})
        else:
            total = max(len(waiting), sum(row.requests for row in rows))
            part = self._measure_part(len(waiting), total, turnover.share)
            counts = {one: self._count_arrivals(one, now) for one in self._arrivals}
            scale = 1 / (ARRIVAL_WINDOW_S * part)
            rates = {one: count * scale for one, count in counts.items()}
            # A count with exponential decay varies like half of what it counts.
            error = min(1.0, 1 / sqrt(2 * sum(counts.values()) + 1))
            forecast = Forecast(now, turnover, rates, error, part)
        forecast.positions.extend(map(forecast.add, waiting))
        if rows is not None:
            _add_elsewhere(forecast, rows)
        return forecast

    def _measure_part(self, own: int, total: int, share: float) -> float:
        """Return this entry's part of the arrivals, from what waits."""
        self._own_waiting = self._own_waiting * PART_DECAY + own
        self._all_waiting = self._all_waiting * PART_DECAY + total
        part = (self._own_waiting + PART_PRIOR * share) / (
            self._all_waiting + PART_PRIOR
        )
        # A part that is too small would overestimate the arrivals and refuse callers.
        return max(share, part)

    def _count_arrivals(self, priority: int, now: float) -> float:
        count, at = self._arrivals.get(priority, (0.0, now))
        return count * exp((at - now) / ARRIVAL_WINDOW_S)


def _add_elsewhere(forecast: Forecast, rows: Sequence[WaitingRow]) -> None:
    """Count the requests of other entries.

    The sums include this entry's own, and don't tell which can be on time: the part is
    taken to be that of the requests here. Sums of a leader that has just started are
    too small, and are never less than what waits here.
    """
    on_time, late = forecast.queues[True], forecast.queues[False]
    own_on_time, own_late = on_time.count_own(), late.count_own()
    part = (own_on_time + 1) / (own_on_time + own_late + 2)
    for row in rows:
        name = row.priority, row.customer
        others = row.requests - on_time.own.get(name, 0) - late.own.get(name, 0)
        if others > 0:
            on_time.add(row.priority, row.customer, others * part)
            late.add(row.priority, row.customer, others * (1 - part))
