"""Describe what agents of one group tell each other about its expert map."""

from dataclasses import dataclass

from hyssopvane._internal.state.ranks import ExpertLists

ExpertsBySet = tuple[tuple[int, ...], ...]

Counts = tuple[int, ...]
"""Choices of each expert, one set behind the other."""


@dataclass(frozen=True, slots=True)
class EntryState:
    """Tell that an entry lives and how new its beliefs are."""

    address: str
    """Where it takes datagrams."""
    beliefs: str
    """Where it gives what it has learnt from the store."""
    configuration_version: int
    """Version of the configuration in force; 0 where none is."""
    replicas_revision: int
    """Revision of the store up to which it knows the registrations."""
    availability_zone: str = ""
    store_returned_s: float | None = None
    """Time since the store's last return from a silence, for some seconds after it."""
    lacks_load: bool = False
    """Whether it has no fresh load of the group of the agent that gets this."""
    via: str = ""
    """Agent that passes this on to its leader; empty where the entry itself does."""
    replicas_era: int = 0
    """Era of the store that the revision belongs to."""


@dataclass(frozen=True, slots=True)
class Presence:
    """Tell that the agent of a rank lives, and may lead its group."""

    messages: str
    """Address of the agent."""
    group: str
    epoch: int
    rank: int
    leads: bool = False
    """Whether it leads: it has not heard of a lower rank for a while."""


@dataclass(frozen=True, slots=True)
class RankState:
    """Hold what one rank's agent knows of its rank."""

    messages: str
    """Address of the agent; empty in a short word, as are the next two."""
    replica: str
    """Address of the rank's replica."""
    group: str
    epoch: int
    rank: int
    ranks: int
    open: bool
    active: int
    queued: int
    step: int
    map_version: int
    prepared: int
    armed_version: int
    armed_step: int
    held_step: int
    experts: ExpertsBySet = ()
    """Experts of the map in use that are on this rank, by set."""
    pace: float = 1.0
    """Time the replica takes against its usual one; over 1 when it is slow."""
    counts: Counts = ()
    """How often this rank's requests chose each expert since its last such word."""
    started_ms: int = 0
    """Names the start of the replica that this is of; 0 where not told."""


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """Ask the agent beside a rank to hold or release a pass, or only to look at it."""

    group: str
    epoch: int
    step: int = 0
    """Pass that is held or released; 0 to look only."""
    release: bool = False


@dataclass(frozen=True, slots=True)
class MapChange:
    """Ask the agents of a group to bring their ranks to a map."""

    group: str
    epoch: int
    version: int
    experts: ExpertLists
    step: int = 0
    """Pass from which on the map is used; 0 while its experts are being copied."""
    forward: tuple[str, ...] = ()
    """Agents to which the one who gets this passes it on."""
