"""Describe the ranks of a group and the orders that change their expert map."""

from dataclasses import dataclass

ExpertLists = tuple[tuple[tuple[int, ...], ...], ...]
"""Experts by set and rank."""


@dataclass(frozen=True, slots=True)
class RankReport:
    """Hold what a rank says of itself at one moment."""

    group: str
    """Empty where the replica is in no group."""
    epoch: int
    """Counts how often the group was formed; orders of an earlier one are refused."""
    rank: int
    ranks: int
    open: bool
    """Whether the group serves requests."""
    active: int
    queued: int
    pace: float
    """Time the replica takes against its usual one; over 1 when it is slow."""
    step: int
    """The last pass that was begun."""
    map_version: int
    prepared: int
    """Version whose experts have been copied, 0 for none."""
    armed_version: int
    armed_step: int
    held_step: int
    """Pass that does not begin until it is released, 0 for none."""
    busy: bool
    """Whether an order is still being carried out."""
    sequence: int
    """Orders that were accepted since the replica's start."""
    started_ms: int = 0
    """Start of the replica by its own clock, in Unix milliseconds; 0 where not told.

    It names one start among others. Clocks jump, so a later start may have a smaller
    number; only equal and different mean anything.
    """


@dataclass(frozen=True, slots=True)
class Prepare:
    """Ask a rank to copy the experts of a map that are new to it."""

    epoch: int
    version: int
    experts: ExpertLists


@dataclass(frozen=True, slots=True)
class Arm:
    """Ask a rank to use a map from the beginning of a pass on."""

    epoch: int
    version: int
    step: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Ask a rank to keep its group from beginning a pass."""

    epoch: int
    step: int


@dataclass(frozen=True, slots=True)
class Release:
    """End the hold of a pass."""

    epoch: int
    step: int


RankOrder = Prepare | Arm | Hold | Release
