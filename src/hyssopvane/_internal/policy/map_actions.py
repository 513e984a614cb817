"""Name what an agent that leads a group may do next."""

from dataclasses import dataclass

from hyssopvane._internal.state.group import MapChange
from hyssopvane._internal.state.ranks import Hold, RankOrder, Release


@dataclass(frozen=True, slots=True)
class SendMapChange:
    """Tell the agents of all ranks what to bring about."""

    change: MapChange
    to: tuple[str, ...]
    """Addresses of the agents that are told."""


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Give an order to one rank directly."""

    replica: str
    order: RankOrder


@dataclass(frozen=True, slots=True)
class DelegateOrder:
    """Let the agent beside a rank give it an order."""

    agent: str
    """Address of the agent."""
    order: Hold | Release


@dataclass(frozen=True, slots=True)
class QueryAgent:
    """Let the agent beside a rank look at it now and tell what it sees."""

    agent: str
    """Address of the agent."""


@dataclass(frozen=True, slots=True)
class QueryRank:
    """Read the report of a rank whose own agent is silent."""

    replica: str


Action = SendMapChange | SendOrder | DelegateOrder | QueryAgent | QueryRank
