"""Define the load of replicas as their agents report it."""

from dataclasses import dataclass, replace

from hyssopvane._internal.state.waiting import WaitingRow

SLOW_PACE = 1.5
"""Pace above which a replica counts as slow; replicas of a service differ by less."""


MAX_LOAD_AGE_S = 2.55
"""Age above which a message gives all loads the same age: it is sent in one byte."""


@dataclass(frozen=True, slots=True)
class Member:
    """Identify one incarnation of a replica."""

    address: str
    started_ms: int = 0
    """Start time that identifies the incarnation; 0 if not given."""


@dataclass(frozen=True, slots=True)
class EntryContact:
    """Hold the address and zone at which an entry receives messages."""

    address: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class Roster:
    """List the members of a group, so that load messages can omit their addresses.

    Addresses and start times rarely change, but loads are sent eight times a second. A
    load of 64 members takes 0.5 KB with positions in a roster, and 2.9 KB with
    addresses.
    """

    number: int
    """Digest of the group and its members, by which the receiver detects a mismatch."""
    group: str
    """Name of the group; empty for a replica in no group, which is the only member."""
    members: tuple[Member, ...]
    """Members in ascending order of rank."""
    entries: tuple[EntryContact, ...] = ()
    """Entries of the receiver's zone and a few of other zones."""
    relay: bool = False
    """Whether the receiver forwards it to the entries of its zone."""
    forward: str = ""
    """Address of the entry to which a receiving agent forwards it."""


@dataclass(frozen=True, slots=True)
class MemberLoad:
    """Hold the load of one member of a group."""

    active: int
    queued: int
    pace: float
    """Time the replica takes relative to its usual time; above 1 if it is slow."""
    age_s: float
    """Time since the replica's agent reported it; `MAX_LOAD_AGE_S` at most."""


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Hold the load of a group as its leader publishes it to the entries."""

    roster: int
    """Number of the roster that lists the members."""
    source: int
    """Identifier of the process that publishes this."""
    sequence: int
    """Number of loads that the process has published."""
    epoch: int
    ranks: int
    open: bool
    step: int
    """Last pass that was started."""
    pass_s: float
    """Mean duration of recent passes; 0 if none was observed."""
    entries: int
    """Number of entries that the leader receives messages from."""
    members: tuple[MemberLoad, ...]
    """Loads in the order of the roster's members."""
    relay: bool = False
    """Whether the receiver forwards it to the entries of its zone."""
    forward: str = ""
    """Address of the entry to which a receiving agent forwards it."""
    waiting: tuple[WaitingRow, ...] | None = None
    """What waits for the service at all entries; None if this does not tell."""
    reporting: int = 0
    """Number of entries that report to the leader what waits at them."""


@dataclass(frozen=True, slots=True)
class RankLoad:
    """Hold the load of one replica and the state of its group."""

    address: str
    """Address of the replica."""
    group: str
    ranks: int
    open: bool
    active: int
    queued: int
    step: int
    """Last pass that was started."""
    pass_s: float
    """Mean duration of recent passes; 0 if none was observed."""
    entries: int
    """Number of entries that receive this load."""
    pace: float = 1.0
    """Time the replica takes relative to its usual time; above 1 if it is slow."""
    started_ms: int = 0
    """Start time that identifies the replica's incarnation; 0 if not given."""
    epoch: int = 0
    """Number of times the group was formed."""

    def remove_request(self) -> "RankLoad":
        """Return the load with one active request less, at least 0."""
        return replace(self, active=max(0, self.active - 1))


def split_load(load: GroupLoad, roster: Roster) -> list[tuple[RankLoad, float]]:
    """Return the load of each member and its age in seconds."""
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
