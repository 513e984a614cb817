"""Hold a leader's state of a change of maps."""

from dataclasses import dataclass, field

from hyssopvane._internal.state.group import RankState
from hyssopvane._internal.state.ranks import ExpertLists, RankOrder


@dataclass(slots=True)
class KnownRank:
    """Hold the last received or queried state of a rank."""

    state: RankState
    received_at: float
    valid_at: float
    """Time at which the state was valid, as far as known: reports from other machines
    lag.
    """
    held_since: float
    """Time at which the rank was first known to hold the pass that it holds."""


@dataclass(slots=True)
class Change:
    """Hold a change of maps and its progress."""

    version: int
    experts: ExpertLists
    started_at: float
    copy_s: float
    step: int = 0
    holder: str = ""
    """Address of the replica whose rank holds the pass."""
    own_ordered_at: float = 0.0
    """Time at which the leader's own rank was ordered to arm, 0 before."""
    chosen_at: float = 0.0
    """Time at which the step was chosen."""
    sent_at: float = field(default=float("-inf"))
    prepared_at: float = field(default=float("-inf"))
    """Time of the last order to copy experts to ranks with silent agents."""
    order: RankOrder | None = None
    """Last order to the rank that holds the pass."""
    ordered_at: float = field(default=float("-inf"))
    hold_ordered_at: float = 0.0
    """Time of the first order to hold the step."""
    held_at: float | None = None
    """Time at which the leader learned that the pass is held."""
    queried_at: float = field(default=float("-inf"))
    """Time at which ranks were last queried since the pass is held."""
    is_abandoned: bool = False
    """Whether the pass is released without the change."""
    excused: int | None = None
    """Rank that can't be armed for the withdrawn change, although it is not heard."""
    disarmed_at: float = field(default=float("-inf"))
    """Time of the last orders to disarm."""


def get_progress(state: RankState) -> tuple[int, ...]:
    """Return the fields of a state that show a rank's progress in a change of maps."""
    return (
        state.map_version,
        state.prepared,
        state.armed_version,
        state.armed_step,
        state.held_step,
    )


def has_applied(state: RankState, change: Change, *, step: int) -> bool:
    """Return whether a rank has done what a sent change asks for: prepare, or arm."""
    return is_armed(state, change) if step else state.prepared == change.version


def is_armed(state: RankState, change: Change) -> bool:
    """Return whether a rank uses the change's map from the change's step on."""
    if state.map_version == change.version:
        return True
    return state.armed_version == change.version and state.armed_step == change.step


def is_withdrawn(state: RankState, version: int) -> bool:
    """Return whether a rank can't use any map older than a prepared version.

    It refuses to be armed for an older one, also by an order that arrives late.
    """
    if state.armed_step and state.armed_version < version:
        return False
    return state.prepared >= version


def is_superseded(state: RankState, change: Change) -> bool:
    """Return whether a rank has newer copies and so can't be armed for a change."""
    return state.prepared > change.version and not is_armed(state, change)
