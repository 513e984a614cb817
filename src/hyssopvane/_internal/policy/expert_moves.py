"""Choose few new copies of experts that ease the busiest ranks of a group.

Made for demand that moves to other experts every few seconds. A map that is worked out
anew needs seconds of copying and is out of date when it comes into force. One new copy
on each rank is there within tenths of a second, and since a few experts get most of
the tokens, a dozen copies of them take most of the load off the busiest rank.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from hyssopvane._internal.state.ranks import ExpertLists

SLOW_PACE = 1.5
"""Pace from which on a rank counts as slow; replicas of a service differ by less."""

_LEAST_GAIN = 0.01
"""Part of the mean by which a copy must lower the busiest rank."""


@dataclass(frozen=True, slots=True)
class MoveBounds:
    """Bound one change of a map."""

    places: int
    """Experts of a set that fit on a rank."""
    new_copies: int
    """New experts that a rank may get, over all sets together.

    A rank copies one after the other. Copies for different sets go to different ranks,
    so that all sets gain in the time of one copy.
    """
    new_in_set: int
    """New experts of one set that a rank may get: it has no room for more while the
    old map is in use."""
    paces: tuple[float, ...] = ()
    """Time that each rank takes for a token against its usual one; empty: 1 for all."""


@dataclass(frozen=True, slots=True)
class Move:
    """Hold a new map."""

    experts: ExpertLists
    skews_before: tuple[float, ...]
    """Tokens of the busiest rank against the mean, by set."""
    skews_after: tuple[float, ...]
    most_new: int
    """New experts on the rank that gets most."""


def measure_skew(
    ranks: Sequence[Sequence[int]],
    loads: Sequence[float],
    paces: Sequence[float] = (),
) -> float:
    """Return the time of the busiest rank against an even spread at the usual pace."""
    return _SetLoad(ranks, loads, paces).measure_skew()


def choose_move(
    experts: ExpertLists, loads: Sequence[Sequence[float]], bounds: MoveBounds
) -> Move:
    """Return the map that few new copies lead to, given each set's loads."""
    states = [
        _SetLoad(r, one, bounds.paces) for r, one in zip(experts, loads, strict=True)
    ]
    before = tuple(state.measure_skew() for state in states)
    budgets = [bounds.new_copies] * len(experts[0])
    open_sets = list(states)
    while open_sets:
        # A pass takes the sum over the sets of their busiest ranks: the worst set has
        # most to gain from the next copy.
        worst = max(open_sets, key=_SetLoad.measure_skew)
        if not _improve_once(worst, budgets, bounds):
            open_sets.remove(worst)
    return Move(
        experts=tuple(
            tuple(tuple(sorted(held)) for held in state.held) for state in states
        ),
        skews_before=before,
        skews_after=tuple(state.measure_skew() for state in states),
        most_new=bounds.new_copies - min(budgets),
    )


class _SetLoad:
    def __init__(
        self,
        ranks: Sequence[Sequence[int]],
        loads: Sequence[float],
        paces: Sequence[float],
    ) -> None:
        self.loads = loads
        self.total = sum(loads)
        self.paces = paces or (1.0,) * len(ranks)
        self.held = [set(experts) for experts in ranks]
        self.original = [frozenset(experts) for experts in ranks]
        self.copies = [0] * len(loads)
        for experts in ranks:
            for expert in experts:
                self.copies[expert] += 1
        self.times = [
            pace * sum(loads[expert] / self.copies[expert] for expert in experts)
            for experts, pace in zip(ranks, self.paces, strict=True)
        ]
        """Time that each rank takes for its tokens, in tokens at the usual pace."""

    def measure_skew(self) -> float:
        return max(self.times) * len(self.times) / self.total if self.total else 1.0

    def is_slow(self, rank: int) -> bool:
        return self.paces[rank] > SLOW_PACE

    def count_new(self, rank: int) -> int:
        return len(self.held[rank] - self.original[rank])

    def add(self, expert: int, rank: int) -> None:
        self._change(expert, rank, added=True)

    def drop(self, expert: int, rank: int) -> None:
        self._change(expert, rank, added=False)

    def _change(self, expert: int, rank: int, *, added: bool) -> None:
        before = self.loads[expert] / self.copies[expert]
        holders = [one for one, held in enumerate(self.held) if expert in held]
        for one in holders:
            self.times[one] -= before * self.paces[one]
        self.copies[expert] += 1 if added else -1
        if added:
            self.held[rank].add(expert)
            holders.append(rank)
        else:
            self.held[rank].discard(expert)
            holders.remove(rank)
        after = self.loads[expert] / self.copies[expert]
        for one in holders:
            self.times[one] += after * self.paces[one]


def _improve_once(state: _SetLoad, budgets: list[int], bounds: MoveBounds) -> bool:
    busiest = max(range(len(state.times)), key=state.times.__getitem__)
    worst = state.times[busiest]
    least = worst - _LEAST_GAIN * state.total / len(state.times)
    hottest = sorted(
        state.held[busiest],
        key=lambda expert: state.loads[expert] / state.copies[expert],
        reverse=True,
    )
    order = sorted(range(len(state.times)), key=state.times.__getitem__)
    for expert in hottest[:_TRIED_EXPERTS]:
        # A slow rank is best rid of an expert that another one has: with one more
        # copy elsewhere it would still have a part of it.
        may_drop = state.copies[expert] > 1
        if state.is_slow(busiest) and may_drop:
            if _try_drop(state, budgets, expert, busiest, least):
                return True
        for rank in order[:_TRIED_RANKS]:
            if expert in state.held[rank] or rank == busiest:
                continue
            if _try_copy(state, budgets, bounds, expert, rank, least):
                return True
        # Where another rank has the expert too, this one may do without it: that
        # costs no copy.
        if state.copies[expert] > 1 and _try_drop(
            state, budgets, expert, busiest, least
        ):
            return True
    return False


def _try_copy(
    state: _SetLoad,
    budgets: list[int],
    bounds: MoveBounds,
    expert: int,
    rank: int,
    least: float,
) -> bool:
    is_new = expert not in state.original[rank]
    if is_new and (budgets[rank] <= 0 or state.count_new(rank) >= bounds.new_in_set):
        return False
    dropped: int | None = None
    if len(state.held[rank]) >= bounds.places:
        dropped = _find_droppable(state, rank, expert)
        if dropped is None:
            return False
        state.drop(dropped, rank)
    state.add(expert, rank)
    if max(state.times) <= least:
        budgets[rank] -= is_new
        if dropped is not None and dropped not in state.original[rank]:
            budgets[rank] += 1
        return True
    state.drop(expert, rank)
    if dropped is not None:
        state.add(dropped, rank)
    return False


def _try_drop(
    state: _SetLoad, budgets: list[int], expert: int, rank: int, least: float
) -> bool:
    state.drop(expert, rank)
    if max(state.times) <= least:
        # A copy that was to be new need not be made.
        budgets[rank] += expert not in state.original[rank]
        return True
    state.add(expert, rank)
    return False


def _find_droppable(state: _SetLoad, rank: int, expert: int) -> int | None:
    """Return the expert whose copy on a rank is needed least."""
    choices = [
        one for one in state.held[rank] if state.copies[one] > 1 and one != expert
    ]
    return min(
        choices, key=lambda one: state.loads[one] / state.copies[one], default=None
    )


_TRIED_EXPERTS = 4
_TRIED_RANKS = 6
"""Experts of the busiest rank and partners of it that are tried in one turn: the rest
hardly ever helps, and a group of many ranks would take too long."""
