"""Simulate a group of ranks that run in lock-step on an expert map."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from hyssopvane._internal.standins.expert_rank import ExpertRank

BASE_STEP_MS = 4.5
DECISION_POLL_MS = 4.5
"""Time that one poll for a pending decision takes."""

MS_PER_TOKEN = 0.01
"""Time that each token adds to the step of the rank that holds its expert."""

HISTORY_LENGTH = 100_000


@dataclass(frozen=True, slots=True)
class ExpertMap:
    """Map each expert to its ranks, which share the expert's tokens evenly."""

    name: str
    ranks_by_expert: tuple[tuple[int, ...], ...]


@dataclass(frozen=True, slots=True)
class RankStep:
    """Record which map a rank used in a step."""

    step: int
    rank: int
    map: str


@dataclass(frozen=True, slots=True)
class StepReport:
    """Report the duration, skew and maps of one step."""

    step: int
    step_ms: float
    skew: float
    """Time of the slowest rank divided by the mean; 1 if all are equal."""
    maps_used: tuple[str, ...]
    """Map used by each rank that has begun the step, in rank order."""
    waiting: tuple[int, ...]
    """Ranks that wait for a decision and thereby delay the step."""


def spread_experts(name: str, *, ranks: int, experts: int) -> ExpertMap:
    """Return a map that assigns the experts to the ranks round-robin."""
    return ExpertMap(name, tuple((expert % ranks,) for expert in range(experts)))


class RankGroup:
    """Advance all ranks in lock-step, at the speed of the slowest."""

    def __init__(self, ranks: int, experts: int, *, checks_fence: bool = False) -> None:
        initial_map = spread_experts("initial", ranks=ranks, experts=experts)
        self.step = 0
        self.ranks = [
            ExpertRank(initial_map.name, checks_fence=checks_fence)
            for _ in range(ranks)
        ]
        self.history: deque[RankStep] = deque(maxlen=HISTORY_LENGTH)
        self.split_steps: list[int] = []
        """Steps in which ranks used different maps; a correct switch causes none."""
        self._checks_fence = checks_fence
        self._maps = {initial_map.name: initial_map}
        self._stalls_ms = [0.0] * ranks
        self._maps_in_step: set[str] = set()

    def add_map(self, expert_map: ExpertMap) -> None:
        """Register a map, so that ranks can be ordered to use it."""
        self._maps[expert_map.name] = expert_map

    def stall(self, rank: int, stall_ms: float) -> None:
        """Delay a rank in its next step."""
        self._stalls_ms[rank] += stall_ms

    def restart(self, rank: int, expert_map: str) -> None:
        """Replace a rank with a new one that starts with the given map."""
        replacement = ExpertRank(expert_map, checks_fence=self._checks_fence)
        replacement.step = self.step
        self.ranks[rank] = replacement

    def advance(self, loads: Sequence[float]) -> StepReport:
        """Run one step with these token counts by expert, or wait for a decision."""
        for index, rank in enumerate(self.ranks):
            if rank.step == self.step and rank.advance_step():
                self._record(index, rank)
        waiting = [i for i, rank in enumerate(self.ranks) if rank.step == self.step]
        if waiting:
            return self._make_report([DECISION_POLL_MS], waiting)
        self.step += 1
        self._maps_in_step.clear()
        times = self._compute_step_times(loads)
        self._stalls_ms = [0.0] * len(self.ranks)
        return self._make_report(times, waiting)

    def _record(self, index: int, rank: ExpertRank) -> None:
        self.history.append(RankStep(rank.step, index, rank.map))
        self._maps_in_step.add(rank.map)
        if len(self._maps_in_step) > 1 and rank.step not in self.split_steps[-1:]:
            self.split_steps.append(rank.step)

    def _compute_step_times(self, loads: Sequence[float]) -> list[float]:
        tokens = [0.0] * len(self.ranks)
        for index, rank in enumerate(self.ranks):
            ranks_by_expert = self._maps[rank.map].ranks_by_expert
            for load, holders in zip(loads, ranks_by_expert, strict=True):
                if index in holders:
                    tokens[index] += load / len(holders)
        return [
            BASE_STEP_MS + MS_PER_TOKEN * count + stall_ms
            for count, stall_ms in zip(tokens, self._stalls_ms, strict=True)
        ]

    def _make_report(self, times: list[float], waiting: list[int]) -> StepReport:
        slowest = max(times)
        return StepReport(
            step=self.step,
            step_ms=slowest,
            skew=slowest * len(times) / sum(times),
            maps_used=tuple(
                rank.map for i, rank in enumerate(self.ranks) if i not in waiting
            ),
            waiting=tuple(waiting),
        )
