"""Weigh the savings of a map change against its cost."""

from dataclasses import dataclass

from hyssopvane._internal.policy.expert_moves import Move, MoveBounds, MoveSearch
from hyssopvane._internal.state.ranks import ExpertLists
from hyssopvane._internal.state.routing import ExpertLayout

COPY_SLOWDOWN = 0.15
"""Fraction by which passes take longer while a rank of the group copies experts, a
figure of the engines.
"""

_BITS = 8


@dataclass(frozen=True, slots=True)
class EvaluatedMove:
    """Hold a new map and its worth."""

    move: Move
    saved: float
    """Fraction of a pass that the map saves."""
    copy_s: float
    """Copying time of the rank that gets the most copies."""
    worth_s: float
    """Total reduction of the group's pass times, less the cost of the change."""


def find_move(
    current: ExpertLists,
    loads: list[list[float]],
    layout: ExpertLayout,
    *,
    paces: tuple[float, ...],
    lasts_s: float,
    arming_s: float,
) -> EvaluatedMove:
    """Return the map with the highest worth if demand lasts for `lasts_s` seconds.

    More copies relieve the ranks more, but take longer: one takes from 5 to 40 ms,
    depending on the engines' links. The number of copies is doubled as long as the
    saving, over the remaining time of the demand, grows by more than the cost of
    copying.
    """
    one_copy_s = layout.expert_mb * _BITS / layout.link_mbps
    most = layout.sets * layout.new_copies
    bounds = MoveBounds(layout.places, most, layout.new_copies, paces)
    search = MoveSearch(current, loads, bounds)
    best: EvaluatedMove | None = None
    copies = 1
    while True:
        search.extend(copies)
        move = search.get_move()
        copy_s = move.most_new * one_copy_s
        saved = _measure_saved(move, layout.work_share)
        worth_s = saved * (lasts_s - copy_s - arming_s) - COPY_SLOWDOWN * copy_s
        if best is None or worth_s > best.worth_s:
            best = EvaluatedMove(move, saved, copy_s, worth_s)
        if worth_s < best.worth_s or move.most_new < copies or copies >= most:
            return best
        copies = min(most, 2 * copies)


def _measure_saved(move: Move, share: float) -> float:
    """Return the fraction of the work in a pass that a map saves."""
    sets = len(move.skews_before)
    before = sum(move.skews_before) / sets
    after = sum(move.skews_after) / sets
    return share * (before - after) / (1 - share + share * before)
