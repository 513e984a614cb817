"""Track a group's demand, and decide when a better map is worth a change."""

from hyssopvane._internal.policy.demand_window import DemandWindow
from hyssopvane._internal.policy.expert_moves import measure_skew
from hyssopvane._internal.policy.move_worth import EvaluatedMove, find_move
from hyssopvane._internal.state.group import Counts
from hyssopvane._internal.state.ranks import ExpertLists
from hyssopvane._internal.state.routing import ExpertLayout

MIN_GAIN = 0.25
"""Fraction of a pass that a change must save.

Copying lengthens passes by 15 percent for some tenths of a second. The larger cost: if
demand shifts during a change, it has to wait for the end of the change, in passes that
take twice as long.
"""

INITIAL_DEMAND_S = 3.0
"""Expected duration of a demand until the first shift has been observed."""

DEMAND_WEIGHT = 0.3
"""Weight of the last demand in the expected duration of a demand."""

_SEARCH_INTERVAL_S = 0.12
_SEARCH_INTERVAL_PER_LIST_S = 0.0004
"""Interval of searches for a better map, and its increase with each list of experts.

A search takes 2 ms with 3 sets on 12 ranks and 40 ms with 12 sets on 64, and the leader
processes no message of a rank meanwhile. Demand is counted about as often as the base
interval.
"""

_SHIFT_RATIO = 1.15
"""Ratio of the skew to its minimum since the last search above which the next search is
not delayed: demand has shifted, and passes are long until a map follows.
"""


class MapSearch:
    """Track which experts a group's requests choose, and search for a map that fits."""

    def __init__(self) -> None:
        self._demand = DemandWindow()
        self._in_force_at: float | None = None
        """Time at which the last change came into force."""
        self._expected_duration_s = INITIAL_DEMAND_S
        self.searched_at = float("-inf")
        """Time of the last search for a better map."""
        self._min_skew = 1.0
        """Minimum of the mean skew of the sets since the last search."""

    def clear(self) -> None:
        """Discard the observed demand."""
        self._demand.clear()

    def begin_epoch(self) -> None:
        """Start over with the first map, because the group was formed anew."""
        self._demand.clear()
        self._in_force_at = None

    def observe(self, counts: Counts, *, now: float) -> None:
        """Add the expert choices of one rank's requests since its last message."""
        self._demand.observe(counts, now=now)

    def record_in_force(self, now: float) -> None:
        """Record that a change has come into force."""
        self._in_force_at = now

    def record_started(self, now: float) -> None:
        """Record the start of a change, and learn how long the last demand lasted."""
        if self._in_force_at is not None:
            duration_s = now - self._in_force_at
            self._expected_duration_s += DEMAND_WEIGHT * (
                duration_s - self._expected_duration_s
            )

    def measure_skews(
        self, current: ExpertLists, paces: tuple[float, ...], now: float
    ) -> list[float]:
        """Return the busiest rank's time divided by the mean, by set of experts."""
        loads = self._demand.measure(sets=len(current), now=now)
        return _measure_skews(current, loads, paces)

    def find(
        self,
        current: ExpertLists,
        layout: ExpertLayout,
        *,
        paces: tuple[float, ...],
        arming_s: float,
        now: float,
    ) -> EvaluatedMove | None:
        """Return a change that is worth its cost, or None if no search is due or none
        is found.
        """
        loads = self._demand.measure(sets=len(current), now=now)
        skews = _measure_skews(current, loads, paces)
        if not skews:
            return None
        skew = sum(skews) / len(skews)
        if not self._is_due(skew, lists=layout.sets * len(current[0]), now=now):
            return None
        self.searched_at, self._min_skew = now, skew
        found = find_move(
            current,
            loads,
            layout,
            paces=paces,
            lasts_s=self._estimate_duration(now),
            arming_s=arming_s,
        )
        return found if found.saved >= MIN_GAIN and found.worth_s > 0 else None

    def _is_due(self, skew: float, *, lists: int, now: float) -> bool:
        """Return whether a search for a better map is due.

        Detecting a shift of demand takes a twentieth of the time of a search, so a
        large group need not wait for its next one.
        """
        self._min_skew = min(self._min_skew, skew)
        since_s = now - self.searched_at
        if since_s >= _SEARCH_INTERVAL_S + _SEARCH_INTERVAL_PER_LIST_S * lists:
            return True
        return since_s >= _SEARCH_INTERVAL_S and skew > _SHIFT_RATIO * self._min_skew

    def _estimate_duration(self, now: float) -> float:
        """Return the expected duration of the current demand.

        It is the time from a map in force to the next one that is worth making. A
        demand that has already lasted longer is expected to last as long again.
        """
        if self._in_force_at is None:
            return self._expected_duration_s
        return max(self._expected_duration_s, now - self._in_force_at)


def _measure_skews(
    current: ExpertLists, loads: list[list[float]], paces: tuple[float, ...]
) -> list[float]:
    if not loads:
        return []
    return [
        measure_skew(ranks, one, paces)
        for ranks, one in zip(current, loads, strict=True)
    ]
