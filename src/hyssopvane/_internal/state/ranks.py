"""Define the reports of a group's ranks and the orders that change their map."""

from dataclasses import dataclass

ExpertLists = tuple[tuple[tuple[int, ...], ...], ...]
"""Numbers of the experts on each rank, indexed by set and rank."""


@dataclass(frozen=True, slots=True)
class RankReport:
    """Hold the state that a rank reports at one moment."""

    group: str
    """Name of the group; empty if the replica is in no group."""
    epoch: int
    """Number of times the group was formed; orders of an earlier epoch are refused."""
    rank: int
    ranks: int
    open: bool
    """Whether the group serves requests."""
    active: int
    queued: int
    pace: float
    """Time the replica takes relative to its usual time; above 1 if it is slow."""
    step: int
    """Last pass that was started."""
    map_version: int
    prepared: int
    """Version of the map whose experts have been copied; 0 if none."""
    armed_version: int
    armed_step: int
    held_step: int
    """Pass that does not start until it is released; 0 if none."""
    busy: bool
    """Whether an order is still being executed."""
    sequence: int
    """Number of orders accepted since the replica started."""
    started_ms: int = 0
    """Start of the replica by its own clock, in Unix milliseconds; 0 if not given.

    It identifies the incarnation. Clocks can jump, so a later start may have a smaller
    number. Compare it only for equality.
    """


@dataclass(frozen=True, slots=True)
class Prepare:
    """Order a rank to copy the experts of a map that it does not have yet."""

    epoch: int
    version: int
    experts: ExpertLists


@dataclass(frozen=True, slots=True)
class Arm:
    """Order a rank to use a map from the start of a pass."""

    epoch: int
    version: int
    step: int


@dataclass(frozen=True, slots=True)
class Disarm:
    """Order a rank not to use a map for which it is armed."""

    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Order a rank to prevent its group from starting a pass."""

    epoch: int
    step: int


@dataclass(frozen=True, slots=True)
class Release:
    """Order a rank to let a held pass start."""

    epoch: int
    step: int


RankOrder = Prepare | Arm | Disarm | Hold | Release
