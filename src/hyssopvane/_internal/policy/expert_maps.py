"""Assign the experts of a group to its ranks."""

import heapq
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

_EVEN_SKEW = 1.02
"""Ratio of the busiest rank's load to the mean at which the improvement stops.

Below this ratio, a move saves less than a hundredth of the time that tokens add to a
step, and each copy that it needs is read from a store that all groups share.
"""

_KEEP_SKEW = 1.02
"""Ratio of a rank's load to the mean up to which an expert stays on the rank instead of
moving to the least loaded one.
"""


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """Assign each expert to its ranks; the replicas of an expert share its tokens
    evenly.
    """

    ranks: int
    ranks_by_expert: tuple[tuple[int, ...], ...]
    """Ranks of each expert, in ascending order."""

    @property
    def experts(self) -> int:
        """Return the number of experts."""
        return len(self.ranks_by_expert)

    def measure_ranks(self, loads: Sequence[float]) -> list[float]:
        """Return the tokens of each rank."""
        tokens = [0.0] * self.ranks
        for load, holders in zip(loads, self.ranks_by_expert, strict=True):
            share = load / len(holders)
            for rank in holders:
                tokens[rank] += share
        return tokens

    def measure_skew(self, loads: Sequence[float]) -> float:
        """Return the tokens of the busiest rank divided by the mean."""
        tokens = self.measure_ranks(loads)
        total = sum(tokens)
        return max(tokens) * self.ranks / total if total else 1.0


@dataclass(frozen=True, slots=True)
class MoveSize:
    """Count the expert copies that a change of maps needs."""

    copies: int
    """New copies on all ranks together."""
    most_on_a_rank: int
    """New copies on the rank that gets the most; ranks fetch in parallel."""


def spread_evenly(*, ranks: int, experts: int) -> ExpertMap:
    """Return a map that assigns the experts to the ranks in round-robin order."""
    return ExpertMap(ranks, tuple((expert % ranks,) for expert in range(experts)))


def measure_move(old: ExpertMap, new: ExpertMap) -> MoveSize:
    """Return the number of copies to fetch for a change from one map to another."""
    fetched = [0] * new.ranks
    pairs = zip(old.ranks_by_expert, new.ranks_by_expert, strict=True)
    for before, after in pairs:
        for rank in set(after) - set(before):
            fetched[rank] += 1
    return MoveSize(sum(fetched), max(fetched))


def choose_map(
    loads: Sequence[float], *, slots: int, current: ExpertMap, keep: bool = True
) -> ExpertMap:
    """Return a map that balances the loads over the ranks.

    Expert popularity drifts with seasons, deadlines and makes of cars: a few experts
    get many times the mean, and a rank that holds two of them delays every other rank
    in every step. `slots` limits the copies on a rank by its memory. With `keep`,
    experts stay where they are if that costs little.
    """
    counts = _count_replicas(loads, ranks=current.ranks, slots=slots)
    placement = _Placement(loads, counts, current, slots, keep=keep)
    placement.place_all()
    return placement.build()


def list_improvements(
    loads: Sequence[float], *, slots: int, current: ExpertMap, budgets: Sequence[int]
) -> list[ExpertMap]:
    """Return maps with increasing numbers of new copies that relieve the busiest ranks.

    For small drifts this is cheaper than choosing a new map, which moves most experts
    even where two copies would be enough. Each iteration adds a replica of one of the
    busiest rank's experts, or swaps one of them for a lighter expert, whichever lowers
    the maximum more. `budgets` are the numbers of copies, in ascending order, at which
    a map is returned; a swap may exceed a budget by one copy. The list is shorter when
    no further change helps.
    """
    improvement = _Improvement(loads, current, slots)
    found: list[ExpertMap] = []
    for budget in budgets:
        before = improvement.copies
        while improvement.copies < budget and improvement.improve_once():
            pass
        if improvement.copies > before:
            found.append(improvement.build())
    return found


def _count_replicas(loads: Sequence[float], *, ranks: int, slots: int) -> list[int]:
    """Assign the free slots one by one to the expert with the largest share."""
    counts = [1] * len(loads)
    free = ranks * slots - len(loads)
    if free < 0:
        raise ValueError("the experts do not fit in the slots")
    mean = sum(loads) / ranks
    shares = [(-load, expert) for expert, load in enumerate(loads)]
    heapq.heapify(shares)
    while free > 0 and shares:
        share, expert = heapq.heappop(shares)
        # A share of at most half of a rank's mean fits on any rank; another copy of it
        # would only cost bytes.
        if -share <= mean / 2:
            break
        if counts[expert] == ranks:
            continue
        counts[expert] += 1
        free -= 1
        heapq.heappush(shares, (-loads[expert] / counts[expert], expert))
    return counts


class _Placement:
    """Assign replicas in order of decreasing load (longest processing time first)."""

    def __init__(
        self,
        loads: Sequence[float],
        counts: Sequence[int],
        current: ExpertMap,
        slots: int,
        *,
        keep: bool,
    ) -> None:
        self._shares = [load / n for load, n in zip(loads, counts, strict=True)]
        self._counts = counts
        self._current = current
        self._slots = slots
        self._keep = keep
        self._limit = _KEEP_SKEW * sum(loads) / current.ranks
        self._tokens = [0.0] * current.ranks
        self._used = [0] * current.ranks
        self._holders: list[set[int]] = [set() for _ in loads]

    def place_all(self) -> None:
        """Place every replica, in order of decreasing load."""
        order = sorted(range(len(self._shares)), key=lambda one: -self._shares[one])
        for expert in order:
            for _ in range(self._counts[expert]):
                self._add(expert, self._choose_rank(expert))

    def build(self) -> ExpertMap:
        """Return the resulting map."""
        holders = tuple(tuple(sorted(ranks)) for ranks in self._holders)
        return ExpertMap(self._current.ranks, holders)

    def _choose_rank(self, expert: int) -> int:
        free = [
            rank
            for rank, used in enumerate(self._used)
            if used < self._slots and rank not in self._holders[expert]
        ]
        if not free:
            return self._free_slot(expert)
        emptiest = min(free, key=lambda rank: self._tokens[rank])
        if not self._keep:
            return emptiest
        kept = [rank for rank in self._current.ranks_by_expert[expert] if rank in free]
        if not kept:
            return emptiest
        # Keep a rank that already has the weights as long as its load stays near the
        # mean: this saves the bytes of a copy and hardly changes the skew.
        best = min(kept, key=lambda rank: self._tokens[rank])
        filled = self._tokens[best] + self._shares[expert]
        return best if filled <= self._limit else emptiest

    def _free_slot(self, expert: int) -> int:
        """Move a lighter expert from a rank to a free slot, and return that rank."""
        spare = next(r for r, used in enumerate(self._used) if used < self._slots)
        for other in sorted(
            range(len(self._shares)), key=lambda one: self._shares[one]
        ):
            holders = self._holders[other]
            movable = sorted(holders - self._holders[expert])
            if movable and spare not in holders and other != expert:
                self._remove(other, movable[0])
                self._add(other, spare)
                return movable[0]
        raise ValueError("the replicas do not fit in the slots")

    def _add(self, expert: int, rank: int) -> None:
        self._holders[expert].add(rank)
        self._used[rank] += 1
        self._tokens[rank] += self._shares[expert]

    def _remove(self, expert: int, rank: int) -> None:
        self._holders[expert].remove(rank)
        self._used[rank] -= 1
        self._tokens[rank] -= self._shares[expert]


@dataclass(frozen=True, slots=True)
class _Change:
    """Hold one change of a map and its result."""

    worst: float
    """Tokens of the busier of the two changed ranks."""
    copies: int
    holders: tuple[tuple[int, frozenset[int]], ...]
    """Changed experts with their new ranks."""


class _Improvement:
    """Improve a map by one change at a time."""

    def __init__(self, loads: Sequence[float], current: ExpertMap, slots: int) -> None:
        self.copies = 0
        self._loads = loads
        self._ranks = current.ranks
        self._slots = slots
        self._holders = [frozenset(ranks) for ranks in current.ranks_by_expert]
        self._held = [set[int]() for _ in range(current.ranks)]
        for expert, ranks in enumerate(self._holders):
            for rank in ranks:
                self._held[rank].add(expert)
        self._tokens = current.measure_ranks(loads)
        self._mean = sum(loads) / current.ranks

    def build(self) -> ExpertMap:
        """Return the resulting map."""
        holders = tuple(tuple(sorted(ranks)) for ranks in self._holders)
        return ExpertMap(self._ranks, holders)

    def improve_once(self) -> bool:
        """Apply the best change; return false when no change helps."""
        busiest = max(range(self._ranks), key=lambda rank: self._tokens[rank])
        if self._tokens[busiest] <= _EVEN_SKEW * self._mean:
            return False
        changes = self._list_changes(busiest)
        best = min(changes, key=lambda one: (one.worst, one.copies), default=None)
        if best is None or best.worst >= self._tokens[busiest]:
            return False
        self._apply(best)
        return True

    def _list_changes(self, busiest: int) -> list[_Change]:
        # Only the least loaded ranks are tried as partners. Trying all pairs of ranks
        # would cost the square of the group's size and hardly find a better change.
        order = sorted(range(self._ranks), key=lambda rank: self._tokens[rank])
        changes: list[_Change] = []
        for expert in sorted(self._held[busiest]):
            for rank in order[:_MAX_PARTNERS]:
                if rank != busiest and rank not in self._holders[expert]:
                    changes += self._list_between(expert, busiest, rank)
        return changes

    def _list_between(self, expert: int, busiest: int, rank: int) -> list[_Change]:
        holders = self._holders[expert]
        moved = holders - {busiest} | {rank}
        changes: list[_Change] = []
        if len(self._held[rank]) < self._slots:
            added = holders | {rank}
            changes.append(self._measure(busiest, rank, 1, ((expert, added),)))
            changes.append(self._measure(busiest, rank, 1, ((expert, moved),)))
        for other in sorted(self._held[rank]):
            ranks = self._holders[other]
            if len(ranks) > 1:
                # Removing a replica of another expert frees a slot without a copy.
                freed = (other, ranks - {rank})
                replica = (expert, holders | {rank})
                changes.append(self._measure(busiest, rank, 1, (replica, freed)))
            if busiest not in ranks:
                swapped = (other, ranks - {rank} | {busiest})
                pair = ((expert, moved), swapped)
                changes.append(self._measure(busiest, rank, 2, pair))
        return changes

    def _measure(
        self,
        busiest: int,
        rank: int,
        copies: int,
        holders: tuple[tuple[int, frozenset[int]], ...],
    ) -> _Change:
        changed = {busiest: self._tokens[busiest], rank: self._tokens[rank]}
        for expert, after in holders:
            before = self._holders[expert]
            for one in before | after:
                tokens = changed.get(one, self._tokens[one])
                if one in before:
                    tokens -= self._loads[expert] / len(before)
                if one in after:
                    tokens += self._loads[expert] / len(after)
                changed[one] = tokens
        return _Change(max(changed.values()), copies, holders)

    def _apply(self, change: _Change) -> None:
        for expert, after in change.holders:
            before = self._holders[expert]
            for rank in before:
                self._held[rank].discard(expert)
                self._tokens[rank] -= self._loads[expert] / len(before)
            for rank in after:
                self._held[rank].add(expert)
                self._tokens[rank] += self._loads[expert] / len(after)
            self._holders[expert] = after
        self.copies += change.copies


_MAX_PARTNERS = 8
"""Number of ranks that are tried as partners of the busiest one."""


def add_missing_experts(
    rows: Sequence[Sequence[int]], *, experts: int, places: int
) -> tuple[tuple[int, ...], ...]:
    """Return the experts of each rank of a set, with those added that no rank has.

    An expert that other ranks have as well makes room for one on a full rank.
    """
    added = [list(row) for row in rows]
    holders = Counter(expert for row in rows for expert in row)
    for expert in range(experts):
        if holders[expert]:
            continue
        row = min(added, key=len)
        if len(row) >= places:
            row = max(added, key=lambda one: max(holders[other] for other in one))
            removed = max(row, key=lambda other: holders[other])
            holders[removed] -= 1
            row.remove(removed)
        row.append(expert)
        holders[expert] += 1
    return tuple(tuple(sorted(row)) for row in added)
