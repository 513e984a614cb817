"""Decide whether to move the experts of a group now."""

from collections.abc import Sequence
from dataclasses import dataclass

from hyssopvane._internal.policy.expert_maps import (
    ExpertMap,
    MoveSize,
    choose_map,
    list_improvements,
    measure_move,
)

_SECONDS_PER_HOUR = 3600.0
_HOURS_PER_DAY = 24

_FIRST_OBSERVATION_S = 1.0
"""Time that the first observation of an estimate is assumed to cover."""

_SETTLED_WEIGHT = 0.25
"""Weight at which an estimate counts as settled; reached after less than half of its
half-life.
"""

COPY_BUDGETS = (2, 4, 8, 16, 32, 64, 128)
"""Numbers of copies for which moves are evaluated; the move with the largest difference
of gain and cost is taken.
"""


@dataclass(frozen=True, slots=True)
class GroupCosts:
    """Describe the costs of a move and of a step in one group."""

    slots: int
    """Experts that fit on a rank."""
    bytes_per_expert: int
    """Weights of one expert in all layers."""
    store_bytes_per_s: float
    """Rate at which the weight store serves the whole group."""
    base_step_s: float
    """Time of a step without tokens."""
    s_per_token: float
    """Time that a token on the busiest rank adds to a step."""
    disturbed_share: float = 0.1
    """Slowdown of steps while weights are fetched, from 0 to 1."""


@dataclass(frozen=True, slots=True)
class MoveRules:
    """Hold the cells of a service's table row that decide when experts move."""

    skew_worth: float
    """Worth of one second of step time saved per hour of steps."""
    move_cost: float
    """Cost of one second of step time lost to a move."""
    from_hour: int = 0
    to_hour: int = 24

    def allows_hour(self, hour: int) -> bool:
        """Return whether moves are allowed in an hour of the day, in UTC."""
        if self.from_hour <= self.to_hour:
            return self.from_hour <= hour < self.to_hour
        # The range wraps around midnight, for example from 22 to 4.
        return hour >= self.from_hour or hour < self.to_hour


@dataclass(frozen=True, slots=True)
class MoveEvaluation:
    """Hold the gain and the cost of one move."""

    map: ExpertMap
    size: MoveSize
    gain: float
    """Worth of the step time saved until the loads have drifted."""
    cost: float
    """Cost of the step time lost while weights are fetched."""
    skew_before: float
    skew_after: float
    bytes_moved: int
    disturbed_steps: int


class LoadEstimate:
    """Estimate the tokens of each expert in a step by decayed averages.

    The tokens of a single step are noise of the requests that happen to run. A move
    after each fluctuation would fetch weights continuously. The half-life is much
    longer than a request and much shorter than a season or a sale.
    """

    def __init__(self, experts: int, *, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._loads = [0.0] * experts
        self._updated_at: float | None = None
        self._weight = 0.0

    def observe(self, loads: Sequence[float], now: float) -> None:
        """Add the mean tokens per step of each expert since the last call."""
        # The first call covers an unknown time. With full weight, the noise of that one
        # sample would dominate the estimate for a whole half-life.
        last = (
            now - _FIRST_OBSERVATION_S if self._updated_at is None else self._updated_at
        )
        keep = 0.5 ** ((now - last) / self._half_life_s)
        self._updated_at = now
        take = 1.0 - keep
        self._weight = self._weight * keep + take
        self._loads = [
            old * keep + new * take for old, new in zip(self._loads, loads, strict=True)
        ]

    @property
    def is_settled(self) -> bool:
        """Return whether enough was observed to base a move on the estimate."""
        return self._weight >= _SETTLED_WEIGHT

    @property
    def loads(self) -> tuple[float, ...]:
        """Return the estimate."""
        if not self._weight:
            return tuple(self._loads)
        return tuple(load / self._weight for load in self._loads)


@dataclass(frozen=True, slots=True)
class RebalancerLimits:
    """Limit how often experts move."""

    hysteresis: float = 1.5
    """Factor by which the gain must exceed the cost.

    If they are nearly equal, noise alone would move experts back and forth.
    """
    horizon_s: float = 900.0
    """Time over which a gain is counted; loads have drifted after that."""
    min_interval_s: float = 120.0
    """Least time between two moves, in which the effect of a move becomes visible."""
    min_skew: float = 1.03
    """Step-time skew below which no move is evaluated."""


class Rebalancer:
    """Decide when one group moves its experts, and to which map.

    Popularity drifts under steady load. A late move leaves a slow rank that delays
    every step. Frequent moves use up the bandwidth of the weight store, which all
    groups share, and slow down the steps that they should speed up.
    """

    def __init__(
        self,
        costs: GroupCosts,
        current: ExpertMap,
        *,
        limits: RebalancerLimits = RebalancerLimits(),
    ) -> None:
        self._costs = costs
        self._limits = limits
        self._moved_at: float | None = None
        self._is_moving = False
        self.current = current

    def choose_move(
        self, loads: Sequence[float], rules: MoveRules, *, now: float, hour: int
    ) -> MoveEvaluation | None:
        """Return the move to make now, or None."""
        if self._is_moving or not rules.allows_hour(hour % _HOURS_PER_DAY):
            return None
        if rules.skew_worth <= 0 or self._moved_lately(now):
            return None
        if measure_step_skew(self._costs, self.current, loads) < self._limits.min_skew:
            return None
        evaluated = self.evaluate_moves(loads, rules)
        best = max(evaluated, key=lambda one: one.gain - one.cost, default=None)
        if best is None or best.gain <= self._limits.hysteresis * best.cost:
            return None
        return best

    def evaluate_moves(
        self, loads: Sequence[float], rules: MoveRules
    ) -> list[MoveEvaluation]:
        """Evaluate moves of increasing size."""
        found = list_improvements(
            loads,
            slots=self._costs.slots,
            current=self.current,
            budgets=COPY_BUDGETS,
        )
        # Improvement by single changes can end at a map that no single change improves.
        found.append(choose_map(loads, slots=self._costs.slots, current=self.current))
        return [self._evaluate(one, loads, rules) for one in found]

    def begin(self) -> None:
        """Record that a move has begun; no other move begins until it ends."""
        self._is_moving = True

    def end(self, used: ExpertMap, *, now: float) -> None:
        """Record that a move has ended, and the map in use."""
        self._is_moving = False
        self._moved_at = now
        self.current = used

    def _moved_lately(self, now: float) -> bool:
        last = self._moved_at
        return last is not None and now - last < self._limits.min_interval_s

    def _evaluate(
        self, found: ExpertMap, loads: Sequence[float], rules: MoveRules
    ) -> MoveEvaluation:
        costs = self._costs
        size = measure_move(self.current, found)
        bytes_moved = size.copies * costs.bytes_per_expert
        before = measure_step_s(costs, self.current, loads)
        after = measure_step_s(costs, found, loads)
        fetch_s = bytes_moved / costs.store_bytes_per_s
        lost_s = fetch_s * costs.disturbed_share
        # The saving starts only after the weights have arrived.
        useful_s = max(0.0, self._limits.horizon_s - fetch_s)
        saved_s = useful_s * (before - after) / before
        return MoveEvaluation(
            map=found,
            size=size,
            gain=rules.skew_worth * saved_s,
            cost=rules.move_cost * lost_s,
            skew_before=measure_step_skew(costs, self.current, loads),
            skew_after=measure_step_skew(costs, found, loads),
            bytes_moved=bytes_moved,
            disturbed_steps=round(fetch_s / before),
        )


def measure_step_s(costs: GroupCosts, used: ExpertMap, loads: Sequence[float]) -> float:
    """Return the time of a step in seconds, which is that of the busiest rank."""
    return costs.base_step_s + costs.s_per_token * max(used.measure_ranks(loads))


def measure_step_skew(
    costs: GroupCosts, used: ExpertMap, loads: Sequence[float]
) -> float:
    """Return the step time of the busiest rank divided by the mean over the ranks."""
    mean = costs.base_step_s + costs.s_per_token * sum(loads) / used.ranks
    return measure_step_s(costs, used, loads) / mean
