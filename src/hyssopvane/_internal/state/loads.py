"""Describe the load of replicas as an agent beside them tells it."""

from dataclasses import dataclass, replace

SLOW_PACE = 1.5
"""Pace from which on a replica counts as slow; replicas of a service differ by less."""


@dataclass(frozen=True, slots=True)
class MemberLoad:
    """Hold the load of one replica of a group."""

    address: str
    active: int
    queued: int
    pace: float
    """Time the replica takes against its usual one; over 1 when it is slow."""
    age_s: float
    """Time since its own agent told it."""
    started_ms: int = 0
    """Names the start of the replica that the load is of; 0 where not told."""


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Hold what the leading agent of a group tells the entries."""

    group: str
    """Empty for a replica in no group, whose agent speaks for it alone."""
    epoch: int
    ranks: int
    open: bool
    step: int
    """The last pass that was begun."""
    pass_s: float
    """Mean time of a pass lately, 0 where none was seen."""
    entries: tuple[str, ...]
    """Addresses of the entries that are told."""
    members: tuple[MemberLoad, ...]


@dataclass(frozen=True, slots=True)
class RankLoad:
    """Hold the load of one replica, with what holds for its whole group."""

    address: str
    """Address of the replica."""
    group: str
    ranks: int
    open: bool
    active: int
    queued: int
    step: int
    """The last pass that was begun."""
    pass_s: float
    """Mean time of a pass lately, 0 where none was seen."""
    entries: tuple[str, ...]
    """Addresses of the entries that are told this load."""
    pace: float = 1.0
    """Time the replica takes against its usual one; over 1 when it is slow."""
    started_ms: int = 0
    """Names the start of the replica that the load is of; 0 where not told."""
    epoch: int = 0
    """Counts how often the group was formed."""

    def leave(self) -> "RankLoad":
        """Return the load without one of its requests."""
        return replace(self, active=max(0, self.active - 1))


def split_load(load: GroupLoad) -> list[tuple[RankLoad, float]]:
    """Return the load of each member, and its age in seconds."""
    return [
        (
            RankLoad(
                address=member.address,
                group=load.group,
                ranks=load.ranks,
                open=load.open,
                active=member.active,
                queued=member.queued,
                step=load.step,
                pass_s=load.pass_s,
                entries=load.entries,
                pace=member.pace,
                started_ms=member.started_ms,
                epoch=load.epoch,
            ),
            member.age_s,
        )
        for member in load.members
    ]
