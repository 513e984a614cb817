"""Hold what a leader knows of the change of maps that it brings about."""

from dataclasses import dataclass, field

from hyssopvane._internal.state.group import RankState
from hyssopvane._internal.state.ranks import ExpertLists, RankOrder


@dataclass(slots=True)
class KnownRank:
    """Hold the state of a rank as it was told or read last."""

    state: RankState
    received_at: float
    valid_at: float
    """Time at which the rank was so, as far as known: reports from afar lag."""


@dataclass(slots=True)
class Change:
    """Hold a change of maps and how far it has come."""

    version: int
    experts: ExpertLists
    started_at: float
    copy_s: float
    step: int = 0
    holder: str = ""
    """Address of the replica whose rank holds the group."""
    own_ordered_at: float = 0.0
    """Time at which the leader's own rank was armed, 0 before."""
    chosen_at: float = 0.0
    """Time at which the step was chosen."""
    sent_at: float = field(default=float("-inf"))
    prepared_at: float = field(default=float("-inf"))
    """Time at which ranks with silent agents were ordered last to copy experts."""
    order: RankOrder | None = None
    """Last order to the rank that holds."""
    ordered_at: float = field(default=float("-inf"))
    queried_at: float = field(default=float("-inf"))
    """Time at which the rank that holds was read last."""


def get_progress(state: RankState) -> tuple[int, ...]:
    """Return what a rank's part in a change of maps depends on."""
    return (
        state.map_version,
        state.prepared,
        state.armed_version,
        state.armed_step,
        state.held_step,
    )


def has_applied(state: RankState, change: Change, *, step: int) -> bool:
    """Tell whether a rank has done what an announcement asks for."""
    return is_armed(state, change) if step else state.prepared == change.version


def is_armed(state: RankState, change: Change) -> bool:
    """Tell whether a rank uses the change's map from its step on."""
    if state.map_version == change.version:
        return True
    return state.armed_version == change.version and state.armed_step == change.step


def is_superseded(state: RankState, change: Change) -> bool:
    """Tell whether a rank has newer copies and so can't be armed for a change."""
    return state.prepared > change.version and not is_armed(state, change)
