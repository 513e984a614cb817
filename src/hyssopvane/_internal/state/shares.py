"""Describe what entries tell each other about shares of customers' limits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """Ask for a part of a customer's limits, as a fraction of the whole."""

    customer: str
    sequence: int
    """Grows with each ask of one incarnation of an entry."""
    need: float
    """Wanted beyond the safe share."""
    held: float = 0.0
    """The grant in force; earlier ones are no longer used."""
    held_s: float = 0.0
    """Time that the grant in force still lasts."""


@dataclass(frozen=True, slots=True)
class ShareGrant:
    """Grant a part of a customer's limits for a time."""

    customer: str
    sequence: int
    amount: float
    lease_s: float
    """Counted from when the ask was sent."""
    retry_after_s: float
    """Time until it is of use to ask for more."""


@dataclass(frozen=True, slots=True)
class EntryId:
    """Name one incarnation of an entry."""

    vm: str
    incarnation: int
