"""Choose new copies of experts that relieve the busiest ranks of a group.

Demand shifts to other experts every few seconds. A map that is computed from scratch
needs seconds of copying and is out of date when it comes into force. A few new copies
on each rank are available within tenths of a second. They take most of the load off the
busiest ranks, since a few experts get most of the tokens.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from hyssopvane._internal.state.loads import SLOW_PACE
from hyssopvane._internal.state.ranks import ExpertLists

SMOOTHNESS = 8
"""Exponent of a rank's time in the cost of a set.

A search by the busiest rank's time alone stops as soon as two ranks are equally busy:
no single copy relieves both, whatever other copies would help.
"""

EVEN_SKEW = 1.2
"""Skew (busiest rank's time divided by the mean) up to which a set is left unchanged.

Demand shifts by more than that before a map comes into force, and removing the last
tenth would take more copies than everything before it.
"""

_MIN_SAVING = 0.02
"""Least saving of a step, as a fraction of the busiest rank's cost."""

_MAX_BUSY_RANKS = 3
"""Number of busiest ranks that are tried in turn if the first can't be relieved."""

_MAX_EXPERTS = 3
_MAX_RECEIVING_RANKS = 4
"""Experts of a busy rank, and ranks to copy them to, that are tried in one step.
Further ones hardly ever help, and would take too long in a group of many ranks.
"""


@dataclass(frozen=True, slots=True)
class MoveBounds:
    """Limit one change of a map."""

    places: int
    """Experts of one set that fit on a rank."""
    new_copies: int
    """New experts that a rank may get, over all sets together.

    A rank copies them one after the other. Copies for different sets go to different
    ranks, so that all sets gain within the time of one copy.
    """
    new_in_set: int
    """New experts of one set that a rank may get: there is no memory for more while the
    old map is in use.
    """
    paces: tuple[float, ...] = ()
    """Time that each rank takes for a token, relative to its usual time; empty means 1
    for all ranks.
    """


@dataclass(frozen=True, slots=True)
class Move:
    """Hold a new map and its effect on the skew."""

    experts: ExpertLists
    skews_before: tuple[float, ...]
    """Tokens of the busiest rank divided by the mean, by set."""
    skews_after: tuple[float, ...]
    most_new: int
    """New experts on the rank that gets the most."""


def measure_skew(
    ranks: Sequence[Sequence[int]],
    loads: Sequence[float],
    paces: Sequence[float] = (),
) -> float:
    """Return the busiest rank's time relative to an even spread at the usual pace."""
    return _SetLoad(ranks, loads, paces).measure_skew()


def choose_move(
    experts: ExpertLists, loads: Sequence[Sequence[float]], bounds: MoveBounds
) -> Move:
    """Return the map that results from a few new copies, given each set's loads."""
    search = MoveSearch(experts, loads, bounds)
    search.extend(bounds.new_copies)
    return search.get_move()


class MoveSearch:
    """Search for a better map with an increasing number of new copies on each rank."""

    def __init__(
        self,
        experts: ExpertLists,
        loads: Sequence[Sequence[float]],
        bounds: MoveBounds,
    ) -> None:
        self._bounds = bounds
        self._states = [
            _SetLoad(ranks, one, bounds.paces)
            for ranks, one in zip(experts, loads, strict=True)
        ]
        self._before = tuple(state.measure_skew() for state in self._states)
        self._new_copies = 0
        self._budgets = [0] * len(experts[0])

    def extend(self, new_copies: int) -> None:
        """Continue the search until each rank has `new_copies` new copies or none
        helps.
        """
        added = new_copies - self._new_copies
        self._new_copies = new_copies
        self._budgets = [budget + added for budget in self._budgets]
        open_sets = [state for state in self._states if state.total]
        while open_sets:
            # The time of a pass is the sum over the sets of their busiest ranks' times,
            # so the set with the largest skew gains the most from the next copy.
            worst = max(open_sets, key=_SetLoad.measure_skew)
            is_even = worst.measure_skew() <= EVEN_SKEW
            if is_even or not _improve(worst, self._budgets, self._bounds):
                open_sets.remove(worst)

    def get_move(self) -> Move:
        """Return the map found so far."""
        return Move(
            experts=tuple(
                tuple(tuple(sorted(held)) for held in state.held)
                for state in self._states
            ),
            skews_before=self._before,
            skews_after=tuple(state.measure_skew() for state in self._states),
            most_new=self._new_copies - min(self._budgets),
        )


@dataclass(frozen=True, slots=True)
class _Step:
    """Describe one change of a set: a new copy, a removed copy on the same rank, or
    both.
    """

    added: int | None
    dropped: int | None
    rank: int


class _SetLoad:
    """Track which ranks hold the experts of a set, and the time of each rank."""

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
        self.holders: list[list[int]] = [[] for _ in loads]
        for rank, experts in enumerate(ranks):
            for expert in experts:
                self.holders[expert].append(rank)
        self.times = [
            pace * sum(self.get_share(expert) for expert in experts)
            for experts, pace in zip(ranks, self.paces, strict=True)
        ]
        """Time that each rank takes for its tokens, in tokens at the usual pace."""

    def get_share(self, expert: int) -> float:
        """Return the tokens of an expert that each rank holding it gets."""
        return self.loads[expert] / len(self.holders[expert])

    def measure_skew(self) -> float:
        return max(self.times) * len(self.times) / self.total if self.total else 1.0

    def count_new(self, rank: int) -> int:
        return len(self.held[rank] - self.original[rank])

    def measure(self, step: _Step) -> dict[int, float]:
        """Return the time that a step adds to each affected rank."""
        added: dict[int, float] = {}
        if step.added is not None:
            self._shift(added, step.added, step.rank, more=1)
        if step.dropped is not None:
            self._shift(added, step.dropped, step.rank, more=-1)
        return added

    def apply(self, step: _Step) -> None:
        """Apply a step."""
        for rank, added in self.measure(step).items():
            self.times[rank] += added
        if step.added is not None:
            self.held[step.rank].add(step.added)
            self.holders[step.added].append(step.rank)
        if step.dropped is not None:
            self.held[step.rank].discard(step.dropped)
            self.holders[step.dropped].remove(step.rank)

    def _shift(
        self, added: dict[int, float], expert: int, rank: int, *, more: int
    ) -> None:
        holders = self.holders[expert]
        before = self.loads[expert] / len(holders)
        after = self.loads[expert] / (len(holders) + more)
        for one in holders:
            change = (after - before) * self.paces[one]
            if one == rank:
                change = -before * self.paces[one]
            added[one] = added.get(one, 0.0) + change
        if more > 0:
            added[rank] = added.get(rank, 0.0) + after * self.paces[rank]


def _improve(state: _SetLoad, budgets: list[int], bounds: MoveBounds) -> bool:
    """Apply the step that relieves one of the busiest ranks most; return false if none
    does.
    """
    order = sorted(range(len(state.times)), key=state.times.__getitem__)
    for busy in order[: -1 - _MAX_BUSY_RANKS : -1]:
        best = _find_best(state, budgets, bounds, busy, order)
        if best is None:
            continue
        _update_budget(state, budgets, best)
        state.apply(best)
        return True
    return False


def _find_best(
    state: _SetLoad,
    budgets: list[int],
    bounds: MoveBounds,
    busy: int,
    order: list[int],
) -> _Step | None:
    worst = max(state.times)
    # Costs are relative to the busiest rank's time, so that the powers stay small.
    least = -_MIN_SAVING * (state.times[busy] / worst) ** SMOOTHNESS
    best: _Step | None = None
    for step in _list_steps(state, budgets, bounds, busy, order):
        cost = 0.0
        for rank, added in state.measure(step).items():
            time = state.times[rank]
            if time + added > worst:
                break
            cost += ((time + added) / worst) ** SMOOTHNESS - (
                time / worst
            ) ** SMOOTHNESS
        else:
            if cost < least:
                best, least = step, cost
    return best


def _list_steps(
    state: _SetLoad,
    budgets: list[int],
    bounds: MoveBounds,
    busy: int,
    order: list[int],
) -> list[_Step]:
    hottest = sorted(state.held[busy], key=state.get_share, reverse=True)
    steps: list[_Step] = []
    for expert in hottest[:_MAX_EXPERTS]:
        # If another rank holds the expert too, it can be dropped from this rank: that
        # costs no copy, and it helps most on a slow rank.
        if len(state.holders[expert]) > 1:
            steps.append(_Step(None, expert, busy))
        if state.paces[busy] > SLOW_PACE and len(state.holders[expert]) > 1:
            continue
        tried = 0
        for rank in order:
            if tried == _MAX_RECEIVING_RANKS or rank == busy:
                break
            if not _may_copy(state, budgets, bounds, expert, rank):
                continue
            tried += 1
            dropped: int | None = None
            if len(state.held[rank]) >= bounds.places:
                dropped = _find_droppable(state, rank, expert)
                if dropped is None:
                    continue
            steps.append(_Step(expert, dropped, rank))
    return steps


def _may_copy(
    state: _SetLoad, budgets: list[int], bounds: MoveBounds, expert: int, rank: int
) -> bool:
    if expert in state.held[rank]:
        return False
    if expert in state.original[rank]:
        return True
    return budgets[rank] > 0 and state.count_new(rank) < bounds.new_in_set


def _update_budget(state: _SetLoad, budgets: list[int], step: _Step) -> None:
    original = state.original[step.rank]
    if step.added is not None:
        budgets[step.rank] -= step.added not in original
    if step.dropped is not None:
        # A planned copy that is dropped again need not be made.
        budgets[step.rank] += step.dropped not in original


def _find_droppable(state: _SetLoad, rank: int, expert: int) -> int | None:
    """Return the expert whose copy on a rank has the smallest share of tokens."""
    choices = [
        one for one in state.held[rank] if len(state.holders[one]) > 1 and one != expert
    ]
    return min(choices, key=state.get_share, default=None)
