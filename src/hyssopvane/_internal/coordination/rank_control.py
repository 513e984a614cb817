"""Define the interface through which an agent queries and controls a rank."""

from abc import ABC, abstractmethod
from enum import StrEnum

from hyssopvane._internal.state.group import Counts, ExpertsBySet
from hyssopvane._internal.state.ranks import RankOrder, RankReport


class OrderOutcome(StrEnum):
    """Report the outcome of an order."""

    DONE = "done"
    """The rank has started the order or is already in the requested state."""
    REFUSED = "refused"
    """The order does not fit the rank's state and will not be carried out."""
    UNKNOWN = "unknown"
    """There was no answer: the order may have been carried out or may still be."""


class RankError(Exception):
    """Report that a rank did not answer a query."""


class RankControl(ABC):
    """Query ranks and send orders to them."""

    @abstractmethod
    async def read_report(self, address: str) -> RankReport:
        """Return a rank's report; raise `RankError`."""

    @abstractmethod
    async def read_counts(self, address: str) -> Counts:
        """Return how often each expert was selected; raise `RankError`."""

    @abstractmethod
    async def read_experts(self, address: str) -> ExpertsBySet:
        """Return the experts on a rank, by set; raise `RankError`."""

    @abstractmethod
    async def send_order(self, address: str, order: RankOrder) -> OrderOutcome:
        """Send an order and return its outcome."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
