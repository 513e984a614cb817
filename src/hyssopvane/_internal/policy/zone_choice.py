"""Decide whether a request stays in the zone of its entry."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from hyssopvane._internal.policy.group_capacity import GroupCapacity
from hyssopvane._internal.policy.replica_load import ReplicaLoad
from hyssopvane._internal.policy.water_filling import find_water_level
from hyssopvane._internal.state.routing import EngineModel, Replica

OWN, OTHER_SOONER, OWN_FULL = "own", "other-sooner", "own-full"
"""Choices: the own zone; another one, as the first event would come too late in the own
one, or as this entry found no place there.
"""

TRANSFER_S = 0.001
"""Least time that sending to another zone and back takes; zones are 0.5 ms apart."""

SLACK_SHARE = 0.05
"""Part of the time that a request may still wait by which its first event may come
later in the own zone.

Within the objective a later event costs the caller nothing. But the own group is then
fuller than others, and each of its passes longer: of a request that has 0.2 s left, the
first event comes up to 10 ms later, and passes take up to 7 ms more.
"""

FIRST_EVENT_PASSES = 1.5
"""Passes until the first event on average: the rest of one, and one for the prompt."""


@dataclass(frozen=True, slots=True)
class GroupRoom:
    """Describe how full a group is."""

    group: GroupCapacity
    fullness: float
    """Part of the limit that is in use."""
    limit: float
    arrivals: float
    """Requests that all entries send to it until the next loads."""

    def estimate_pass_s(self, level: float, engine: EngineModel) -> float:
        """Return the duration of a pass once the group is as full as `level`."""
        added_s = self.group.passes.estimate_added_s(engine) * self.limit
        measured_s = self.group.passes.pass_s
        if measured_s:
            return measured_s + added_s * (level - self.fullness)
        return engine.steps_per_pass * engine.step_s + added_s * level


class ZoneChoice:
    """Prefer groups in the own zone where that costs the caller no objective.

    Load: demand moves through the zones in waves, and the groups of a service are in
    different zones. Harm prevented: bytes between zones are charged, and entries that
    choose among groups regardless of zones send two requests of three to others.
    """

    def __init__(self, availability_zone: str) -> None:
        self._zone = availability_zone
        self.is_enabled = True
        """Whether zones are regarded at all."""
        self._is_on = False
        """Whether the service has usable replicas in the own zone and in others."""
        self._is_later = False
        """Whether the own zone was passed over in the present choice as later."""
        self._counts: Counter[str] = Counter()
        self._inputs: dict[str, float] = {}

    def update(self, replicas: Iterable[ReplicaLoad]) -> None:
        """Set the replicas of the service."""
        own = {
            one.replica.availability_zone == self._zone
            for one in replicas
            if one.open_slots
        }
        self._is_on = self.is_enabled and bool(self._zone) and len(own) > 1

    def begin(self) -> None:
        """Begin the choice for one request."""
        self._is_later = False

    def mark_later(self) -> None:
        """Record that the first event would come too late in the own zone."""
        self._is_later = True

    def record(self, replica: Replica) -> None:
        """Count the choice of a replica."""
        if not self._is_on:
            return
        is_own = replica.availability_zone == self._zone
        other = OTHER_SOONER if self._is_later else OWN_FULL
        self._counts[OWN if is_own else other] += 1

    def take_counts(self) -> Counter[str]:
        """Return the choices by their reason since the last call."""
        counts, self._counts = self._counts, Counter()
        return counts

    def describe(self) -> dict[str, object]:
        """Return the inputs of the last choice among groups, for the log."""
        return {name: round(value, 3) for name, value in self._inputs.items()}

    def weigh(
        self, rooms: Sequence[GroupRoom], engine: EngineModel, *, left_s: float
    ) -> list[float] | None:
        """Return the weights of the groups in a draw for one that serves the own zone.

        Return None if groups are to be chosen regardless of zones: each has the same
        part of its slots in the own zone, or the first event would come there later
        than elsewhere by more than the slack. `left_s` is the time that the request may
        wait to be on time.

        Both are estimated for the levels that all entries reach until the next loads.
        The entries of a zone send to it what falls to its part of the slots.
        """
        if not self._is_on:
            return None
        parts = [one.group.measure_zone_part(self._zone) for one in rooms]
        limits = [one.limit for one in rooms]
        own_limits = [part * one.limit for part, one in zip(parts, rooms, strict=True)]
        if min(parts) == max(parts) or not any(own_limits):
            return None
        arrivals = max(1.0, sum(one.arrivals for one in rooms))
        own_arrivals = max(1.0, arrivals * sum(own_limits) / sum(limits))
        own_weights, own_pass_s = _fill(rooms, own_limits, own_arrivals, engine)
        _, pass_s = _fill(rooms, limits, arrivals, engine)
        later_s = FIRST_EVENT_PASSES * (own_pass_s - pass_s)
        slack_s = max(TRANSFER_S, SLACK_SHARE * left_s)
        self._inputs = {
            "own_pass_ms": own_pass_s * 1_000,
            "drawn_pass_ms": pass_s * 1_000,
            "later_ms": later_s * 1_000,
            "slack_ms": slack_s * 1_000,
        }
        if later_s > slack_s:
            self.mark_later()
            return None
        return own_weights


def _fill(
    rooms: Sequence[GroupRoom],
    limits: Sequence[float],
    arrivals: float,
    engine: EngineModel,
) -> tuple[list[float], float]:
    """Return the groups' parts of some arrivals, and the mean pass of these."""
    used = [(one, limit) for one, limit in zip(rooms, limits, strict=True) if limit]
    level = find_water_level(
        [one.fullness for one, _ in used], arrivals, [limit for _, limit in used]
    )
    weights = [
        limit * max(0.0, level - one.fullness)
        for one, limit in zip(rooms, limits, strict=True)
    ]
    total_s = sum(
        weight * one.estimate_pass_s(level, engine)
        for weight, one in zip(weights, rooms, strict=True)
        if weight
    )
    return weights, total_s / sum(weights)
