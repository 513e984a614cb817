"""Weigh what a change of a map saves against what it costs."""

from dataclasses import dataclass

from hyssopvane._internal.policy.expert_moves import Move, MoveBounds, MoveSearch
from hyssopvane._internal.state.ranks import ExpertLists
from hyssopvane._internal.state.routing import ExpertLayout

COPY_SLOWDOWN = 0.15
"""Part by which passes take longer while a rank of the group copies experts: a figure
of the engines."""

_BITS = 8


@dataclass(frozen=True, slots=True)
class EvaluatedMove:
    """Hold a new map, and what it is worth."""

    move: Move
    saved: float
    """Part of a pass that it saves."""
    copy_s: float
    """Time of copying on the rank that gets most."""
    worth_s: float
    """Time that the group's passes are shorter in all, less what the change costs."""


def find_move(
    current: ExpertLists,
    loads: list[list[float]],
    layout: ExpertLayout,
    *,
    paces: tuple[float, ...],
    lasts_s: float,
    arming_s: float,
) -> EvaluatedMove:
    """Return the map that is worth most while demand stays for so many seconds.

    More copies ease the ranks more and are there later: one takes from 5 to 40 ms by
    the engines' links. So their number doubles for as long as what it saves, over the
    time that is left of the demand, grows by more than what copying costs.
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
    """Return the part of the work in a pass that a map saves."""
    sets = len(move.skews_before)
    before = sum(move.skews_before) / sets
    after = sum(move.skews_after) / sets
    return share * (before - after) / (1 - share + share * before)
