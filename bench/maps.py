"""Compare the choice of expert maps with simple baselines on drifting loads."""

import argparse
import json
import math
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from random import Random

from hyssopvane._internal.policy.expert_maps import (
    ExpertMap,
    choose_map,
    measure_move,
    spread_evenly,
)
from hyssopvane._internal.policy.rebalancing import (
    GroupCosts,
    LoadEstimate,
    MoveRules,
    Rebalancer,
    RebalancerLimits,
    measure_step_skew,
)

INTERVAL_S = 60.0
DAY_S = 86_400.0
HALF_LIFE_S = 300.0
TOKENS_PER_RANK = 200.0
NOISE = 0.25
SEED = 7


@dataclass(frozen=True, slots=True)
class Size:
    """Describe the size of a group; `slots` is how many experts fit on a rank."""

    name: str
    ranks: int
    experts: int
    slots: int


SIZES = (Size("today", 8, 32, 6), Size("target", 64, 128, 4))


@dataclass(frozen=True, slots=True)
class Workload:
    """Describe how popularity drifts, and the rules from the service's table cells."""

    name: str
    rules: MoveRules
    phase_s: float
    """Time for which one set of experts is popular."""
    popular_share: float
    """Share of all tokens that goes to the popular experts."""


WORKLOADS = (
    # Surnames, by season and paperwork deadline: a slow and strong drift.
    Workload("registry", MoveRules(skew_worth=10.0, move_cost=1.0), 6 * 3600.0, 0.5),
    # Lots, by make and damage type: one new sale per hour; staff only during the day,
    # from 0 to 10 UTC.
    Workload(
        "tengerkhuv",
        MoveRules(skew_worth=1.0, move_cost=5.0, from_hour=0, to_hour=10),
        3600.0,
        0.35,
    ),
)


def make_costs(size: Size) -> GroupCosts:
    """Return the cost parameters of a group of the given size."""
    return GroupCosts(
        slots=size.slots,
        bytes_per_expert=300_000_000,
        store_bytes_per_s=1e9,
        base_step_s=0.0045,
        s_per_token=0.00001,
    )


class LoadDrift:
    """Generate the tokens of each expert per step, interval by interval."""

    def __init__(self, size: Size, workload: Workload, seed: int) -> None:
        self._size = size
        self._workload = workload
        self._random = Random(seed)
        base = [1 / (rank + 1) ** 0.5 for rank in range(size.experts)]
        self._random.shuffle(base)
        self._base = base
        self._popular = self._draw_popular()
        self._next = self._draw_popular()
        self._phase = 0

    def make_loads(self, now: float) -> tuple[list[float], list[float]]:
        """Return the true mean loads and one noisy sample of them."""
        phase, elapsed_s = divmod(now, self._workload.phase_s)
        if phase > self._phase:
            self._phase = int(phase)
            self._popular, self._next = self._next, self._draw_popular()
        progress = elapsed_s / self._workload.phase_s
        share = self._workload.popular_share
        total = TOKENS_PER_RANK * self._size.ranks
        base = sum(self._base)
        loads = [(1 - share) * one / base for one in self._base]
        for expert, weight in self._popular.items():
            loads[expert] += share * weight * (1 - progress)
        for expert, weight in self._next.items():
            loads[expert] += share * weight * progress
        true = [total * load for load in loads]
        noisy = [load * self._random.lognormvariate(0, NOISE) for load in true]
        return true, noisy

    def _draw_popular(self) -> dict[int, float]:
        count = max(2, self._size.experts // 16)
        experts = self._random.sample(range(self._size.experts), count)
        weights = [self._random.random() + 0.2 for _ in experts]
        total = sum(weights)
        return {e: w / total for e, w in zip(experts, weights, strict=True)}


class MapPolicy(ABC):
    """Choose the expert map of a group, once per interval."""

    def __init__(self, size: Size, workload: Workload) -> None:
        self.size = size
        self.rules = workload.rules
        self.costs = make_costs(size)
        self.current = spread_evenly(ranks=size.ranks, experts=size.experts)

    @abstractmethod
    def choose(self, loads: Sequence[float], now: float) -> ExpertMap | None:
        """Return a new map, or `None` to keep the current one."""


class NeverMove(MapPolicy):
    """Keep the initial map."""

    def choose(self, loads: Sequence[float], now: float) -> ExpertMap | None:
        return None


class MoveWheneverBetter(MapPolicy):
    """Switch to the best map for the last sample, regardless of the cost."""

    def choose(self, loads: Sequence[float], now: float) -> ExpertMap | None:
        candidate = choose_map(
            loads, slots=self.size.slots, current=self.current, keep=False
        )
        return candidate if self._is_better(candidate, loads) else None

    def _is_better(self, candidate: ExpertMap, loads: Sequence[float]) -> bool:
        return candidate.measure_skew(loads) < self.current.measure_skew(loads)


class GreedyWithoutCost(MoveWheneverBetter):
    """Switch to a better map for the mean loads, keeping experts in place."""

    def __init__(self, size: Size, workload: Workload) -> None:
        super().__init__(size, workload)
        self._estimate = LoadEstimate(size.experts, half_life_s=HALF_LIFE_S)

    def choose(self, loads: Sequence[float], now: float) -> ExpertMap | None:
        self._estimate.observe(loads, now)
        mean = self._estimate.loads
        candidate = choose_map(mean, slots=self.size.slots, current=self.current)
        return candidate if self._is_better(candidate, mean) else None


class CostAware(MapPolicy):
    """Compare the gain with the cost of a move, as the product does."""

    def __init__(self, size: Size, workload: Workload) -> None:
        super().__init__(size, workload)
        self._estimate = LoadEstimate(size.experts, half_life_s=HALF_LIFE_S)
        self._rebalancer = Rebalancer(
            self.costs, self.current, limits=RebalancerLimits()
        )

    def choose(self, loads: Sequence[float], now: float) -> ExpertMap | None:
        self._estimate.observe(loads, now)
        if not self._estimate.is_settled:
            return None
        hour = int(now % DAY_S // 3600)
        move = self._rebalancer.choose_move(
            self._estimate.loads, self.rules, now=now, hour=hour
        )
        if move is None:
            return None
        self._rebalancer.end(move.map, now=now)
        return move.map


POLICIES: dict[str, type[MapPolicy]] = {
    "never move": NeverMove,
    "whenever better": MoveWheneverBetter,
    "greedy, no cost": GreedyWithoutCost,
    "weighed": CostAware,
}


@dataclass(frozen=True, slots=True)
class Result:
    """Hold the results of one policy on one trace."""

    workload: str
    size: str
    policy: str
    skew_p50: float
    skew_p99: float
    moves: int
    moves_outside_hours: int
    gigabytes: float
    disturbed_steps: int
    cpu_ms_per_choice: float
    cpu_ms_worst_choice: float


def run_trace(
    workload: Workload, size: Size, policy: str, *, hours: float, seed: int
) -> Result:
    """Run one policy over one trace."""
    drift = LoadDrift(size, workload, seed)
    chooser = POLICIES[policy](size, workload)
    skews: list[float] = []
    times: list[float] = []
    moves = outside_hours = copies = 0
    for index in range(round(hours * 3600 / INTERVAL_S)):
        now = index * INTERVAL_S
        true, noisy = drift.make_loads(now)
        started_at = time.process_time()
        candidate = chooser.choose(noisy, now)
        times.append(time.process_time() - started_at)
        if candidate is not None:
            copies += measure_move(chooser.current, candidate).copies
            moves += 1
            outside_hours += not workload.rules.allows_hour(int(now % DAY_S // 3600))
            chooser.current = candidate
        skews.append(measure_step_skew(chooser.costs, chooser.current, true))
    skews.sort()
    moved = copies * chooser.costs.bytes_per_expert
    step_s = chooser.costs.base_step_s + chooser.costs.s_per_token * TOKENS_PER_RANK
    return Result(
        workload=workload.name,
        size=size.name,
        policy=policy,
        skew_p50=round(_get_quantile(skews, 0.5), 3),
        skew_p99=round(_get_quantile(skews, 0.99), 3),
        moves=moves,
        moves_outside_hours=outside_hours,
        gigabytes=round(moved / 1e9, 1),
        disturbed_steps=round(moved / chooser.costs.store_bytes_per_s / step_s),
        cpu_ms_per_choice=round(sum(times) / len(times) * 1000, 2),
        cpu_ms_worst_choice=round(max(times) * 1000, 1),
    )


def run_swapped_cells(hours: float, seed: int) -> list[Result]:
    """Run each trace with the rules of the other service; nothing else differs."""
    registry, tengerkhuv = WORKLOADS
    swapped = (
        replace(registry, name="registry+t", rules=tengerkhuv.rules),
        replace(tengerkhuv, name="tengerkhuv+r", rules=registry.rules),
    )
    return [
        run_trace(workload, SIZES[0], "weighed", hours=hours, seed=seed)
        for workload in swapped
    ]


def main(arguments: Sequence[str]) -> int:
    """Print a table, and write it as JSON if requested."""
    parser = argparse.ArgumentParser(prog="python -m bench maps")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--hours", type=float, default=24.0)
    parser.add_argument("--seed", type=int, default=SEED)
    options = parser.parse_args(arguments)
    results = [
        run_trace(workload, size, policy, hours=options.hours, seed=options.seed)
        for workload in WORKLOADS
        for size in SIZES
        for policy in POLICIES
    ]
    results += run_swapped_cells(options.hours, options.seed)
    _print_table(results)
    if options.json is not None:
        documents = [asdict(result) for result in results]
        options.json.write_text(json.dumps(documents, indent=2) + "\n")
    return 0


def _get_quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


def _print_table(results: Sequence[Result]) -> None:
    names = list(asdict(results[0]))
    rows = [[str(value) for value in asdict(result).values()] for result in results]
    widths = [max(map(len, column)) for column in zip(names, *rows, strict=True)]
    for row in [names, *rows]:
        cells = zip(row, widths, strict=True)
        print("  ".join(cell.ljust(width) for cell, width in cells).rstrip())
