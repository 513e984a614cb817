"""Follow a group's demand, and decide when a better map is worth a change."""

from hyssopvane._internal.policy.demand_window import DemandWindow
from hyssopvane._internal.policy.expert_moves import measure_skew
from hyssopvane._internal.policy.move_worth import EvaluatedMove, find_move
from hyssopvane._internal.state.group import Counts
from hyssopvane._internal.state.ranks import ExpertLists
from hyssopvane._internal.state.routing import ExpertLayout

MIN_GAIN = 0.25
"""Part of a pass that a change must save.

Copying slows passes by 15 in 100 for some tenths of a second. What costs more: demand
that moves on while a change is under way waits for its end, in passes that take twice
as long.
"""

INITIAL_DEMAND_S = 3.0
"""Time that a demand is expected to last until it has been seen to move."""

DEMAND_WEIGHT = 0.3
"""Weight of the last demand in the time that one is expected to last."""

_SEARCH_INTERVAL_S = 0.12
_SEARCH_INTERVAL_PER_LIST_S = 0.0004
"""Pause between two looks for a better map, and what each list of experts adds to it.

One look takes 2 ms with 3 sets on 12 ranks and 40 ms with 12 sets on 64, and meanwhile
the leader takes no word of a rank. Demand is counted about as often as the first.
"""

_SHIFT_RATIO = 1.15
"""Rise of the skew from its least since the last look for a better map, after which
the next one is not put off: demand has moved on, and passes are long until a map
follows."""


class MapSearch:
    """Know what a group's requests choose, and look for a map that fits it."""

    def __init__(self) -> None:
        self._demand = DemandWindow()
        self._in_force_at: float | None = None
        """Time at which the last change came into force."""
        self._expected_duration_s = INITIAL_DEMAND_S
        self.searched_at = float("-inf")
        """Time of the last look for a better map."""
        self._min_skew = 1.0
        """Least mean skew of the sets since that look."""

    def clear(self) -> None:
        """Forget what was in demand."""
        self._demand.clear()

    def begin_epoch(self) -> None:
        """Begin anew with the first map: the group was formed."""
        self._demand.clear()
        self._in_force_at = None

    def observe(self, counts: Counts, *, now: float) -> None:
        """Take what the requests of one rank chose since its last word."""
        self._demand.observe(counts, now=now)

    def note_in_force(self, now: float) -> None:
        """Take note that a change has come into force."""
        self._in_force_at = now

    def note_started(self, now: float) -> None:
        """Learn how long the last demand has lasted: a change for another begins."""
        if self._in_force_at is not None:
            duration_s = now - self._in_force_at
            self._expected_duration_s += DEMAND_WEIGHT * (
                duration_s - self._expected_duration_s
            )

    def measure_skews(
        self, current: ExpertLists, paces: tuple[float, ...], now: float
    ) -> list[float]:
        """Return the busiest rank's time against the mean, by set of experts."""
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
        """Return a change that is worth its cost, if a look is due and finds one."""
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
        """Tell whether to look for a better map.

        To see that demand has moved on takes a twentieth of the time of such a look,
        so a large group need not wait for its next one.
        """
        self._min_skew = min(self._min_skew, skew)
        since_s = now - self.searched_at
        if since_s >= _SEARCH_INTERVAL_S + _SEARCH_INTERVAL_PER_LIST_S * lists:
            return True
        return since_s >= _SEARCH_INTERVAL_S and skew > _SHIFT_RATIO * self._min_skew

    def _estimate_duration(self, now: float) -> float:
        """Return the time that the present demand is expected to last.

        It is the time from a map in force to the next one that is worth making. A
        demand that has stayed for longer is expected to stay as long again.
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
