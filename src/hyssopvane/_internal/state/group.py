"""Define the messages that entries and the agents of a group exchange."""

from dataclasses import dataclass

from hyssopvane._internal.state.ranks import ExpertLists
from hyssopvane._internal.state.store_position import UNKNOWN, StorePosition
from hyssopvane._internal.state.waiting import WaitingRow

ExpertsBySet = tuple[tuple[int, ...], ...]

Counts = tuple[int, ...]
"""Number of times each expert was chosen, with the sets concatenated."""


@dataclass(frozen=True, slots=True)
class EntryState:
    """Report that an entry is alive and how recent its view of the store is."""

    address: str
    """Address at which it receives datagrams."""
    beliefs: str
    """Address at which it serves its snapshot of the store; empty if it serves none."""
    configuration_version: int
    """Version of the configuration in force; 0 if there is none."""
    replicas_revision: int
    """Revision of the store up to which its replica registrations are complete."""
    availability_zone: str = ""
    store_returned_s: float | None = None
    """Time since the store became reachable again; set for some seconds after that."""
    lacks_load: bool = False
    """Whether it has no recent load of the receiving agent's group."""
    via: str = ""
    """Agent that forwards this to its leader; empty if the entry sent it directly."""
    replicas_era: int = 0
    """Era of the store in which `replicas_revision` is valid."""
    unreported_requests: int | None = None
    """Requests that it has for services whose replicas report no load.

    Those that wait are included; None if it does not tell.
    """
    evacuations_changed_at: StorePosition = UNKNOWN
    """Position of the last change of evacuations; zero if it follows none."""
    waiting: tuple[WaitingRow, ...] | None = None
    """What waits at it for the receiving agent's service; None if it does not tell."""


@dataclass(frozen=True, slots=True)
class Presence:
    """Report that the agent of a rank is alive, and whether it leads its group."""

    messages: str
    """Address at which the agent receives messages."""
    group: str
    epoch: int
    rank: int
    leads: bool = False
    """Whether it leads because all lower ranks have been silent for some time."""


@dataclass(frozen=True, slots=True)
class RankState:
    """Report the state of a rank as its agent knows it."""

    messages: str
    """Address of the agent.

    An abbreviated report leaves this, `replica` and `group` empty, because the report
    before it contains them.
    """
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
    """Experts that the map in use places on this rank, by set."""
    pace: float = 1.0
    """Time the replica takes relative to its usual time; above 1 if it is slow."""
    counts: Counts = ()
    """How often this rank's requests chose each expert since its last such report."""
    started_ms: int = 0
    """Start time that identifies the replica's incarnation; 0 if not given."""


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """Ask a rank's agent to hold or release a pass, or only for a word of it."""

    group: str
    epoch: int
    step: int = 0
    """Pass to hold or release; 0 to request the state or the agent's presence."""
    release: bool = False
    """Whether to release the pass; without one, whether the presence is enough."""


@dataclass(frozen=True, slots=True)
class MapChange:
    """Ask the agents of a group to apply an expert map to their ranks."""

    group: str
    epoch: int
    version: int
    experts: ExpertLists
    step: int = 0
    """First pass that uses the map; 0 while its experts are being copied."""
    forward: tuple[str, ...] = ()
    """Addresses of agents to which the receiver forwards this."""
