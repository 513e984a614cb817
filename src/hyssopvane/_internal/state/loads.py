"""Describe the load of replicas as the agents beside them tell it."""

from dataclasses import dataclass, replace

SLOW_PACE = 1.5
"""Pace from which on a replica counts as slow; replicas of a service differ by less."""


@dataclass(frozen=True, slots=True)
class Member:
    """Name one start of a replica."""

    address: str
    started_ms: int = 0
    """Names the start; 0 where not told."""


@dataclass(frozen=True, slots=True)
class EntryContact:
    """Say where an entry takes messages."""

    address: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class Roster:
    """Name the members of a group once, so that each load need not.

    Addresses and starts change seldom and loads come eight times a second: a load of 64
    members has 0.5 KB with places in a roster, and 2.9 KB with addresses.
    """

    number: int
    """Digest of the group and its members: both ends agree, or the number differs."""
    group: str
    """Empty for a replica in no group, whose agent speaks for it alone."""
    members: tuple[Member, ...]
    """By rank, the lowest first."""
    entries: tuple[EntryContact, ...] = ()
    """Entries of the receiver's zone, and a few of the others."""
    relay: bool = False
    """Whether the receiver passes it on to the entries of its zone."""
    forward: str = ""
    """Entry to which an agent that gets this sends it on."""


@dataclass(frozen=True, slots=True)
class MemberLoad:
    """Hold the load of one replica of a group."""

    active: int
    queued: int
    pace: float
    """Time the replica takes against its usual one; over 1 when it is slow."""
    age_s: float
    """Time since its own agent told it."""


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Hold what the leading agent of a group tells the entries."""

    roster: int
    """Number of the roster that names the members."""
    source: int
    """Names the process that tells this."""
    sequence: int
    """Counts the loads that the process has told."""
    epoch: int
    ranks: int
    open: bool
    step: int
    """The last pass that was begun."""
    pass_s: float
    """Mean time of a pass lately, 0 where none was seen."""
    entries: int
    """Number of entries that the leader hears."""
    members: tuple[MemberLoad, ...]
    """In the order of the roster."""
    relay: bool = False
    """Whether the receiver passes it on to the entries of its zone."""
    forward: str = ""
    """Entry to which an agent that gets this sends it on."""


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
    entries: int
    """Number of entries that are told this load."""
    pace: float = 1.0
    """Time the replica takes against its usual one; over 1 when it is slow."""
    started_ms: int = 0
    """Names the start of the replica that the load is of; 0 where not told."""
    epoch: int = 0
    """Counts how often the group was formed."""

    def remove_request(self) -> "RankLoad":
        """Return the load without one of its requests."""
        return replace(self, active=max(0, self.active - 1))


def split_load(load: GroupLoad, roster: Roster) -> list[tuple[RankLoad, float]]:
    """Return the load of each member, and its age in seconds."""
    return [
        (
            RankLoad(
                address=member.address,
                group=roster.group,
                ranks=load.ranks,
                open=load.open,
                active=one.active,
                queued=one.queued,
                step=load.step,
                pass_s=load.pass_s,
                entries=load.entries,
                pace=one.pace,
                started_ms=member.started_ms,
                epoch=load.epoch,
            ),
            one.age_s,
        )
        for member, one in zip(roster.members, load.members, strict=True)
    ]
