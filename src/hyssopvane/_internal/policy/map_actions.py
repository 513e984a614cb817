"""Define the actions of an agent that leads a group."""

from dataclasses import dataclass

from hyssopvane._internal.state.group import MapChange
from hyssopvane._internal.state.ranks import Hold, RankOrder, Release


@dataclass(frozen=True, slots=True)
class SendMapChange:
    """Send a change of maps to agents of the group."""

    change: MapChange
    to: tuple[str, ...]
    """Addresses of the receiving agents."""


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to one rank directly."""

    replica: str
    order: RankOrder


@dataclass(frozen=True, slots=True)
class DelegateOrder:
    """Have the agent on a rank's machine give the order."""

    agent: str
    """Address of the agent."""
    order: Hold | Release


@dataclass(frozen=True, slots=True)
class QueryAgent:
    """Have the agent on a rank's machine poll the rank now and send its state."""

    agent: str
    """Address of the agent."""


@dataclass(frozen=True, slots=True)
class PingAgent:
    """Have an agent send its presence at once, without polling its rank."""

    agent: str
    """Address of the agent."""


@dataclass(frozen=True, slots=True)
class QueryRank:
    """Read the report of a rank whose own agent is silent."""

    replica: str


Action = SendMapChange | SendOrder | DelegateOrder | QueryAgent | PingAgent | QueryRank
