"""Define the messages by which entries divide customers' limits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """Request a share of a customer's limits, as a fraction of the whole."""

    customer: str
    sequence: int
    """Number that grows with each request of one incarnation of an entry."""
    need: float
    """Fraction needed in addition to the safe share."""
    held: float = 0.0
    """Fraction of the grant in force; earlier grants are no longer used."""
    held_s: float = 0.0
    """Remaining time of the grant in force."""


@dataclass(frozen=True, slots=True)
class ShareGrant:
    """Grant a share of a customer's limits for a limited time."""

    customer: str
    sequence: int
    amount: float
    lease_s: float
    """Duration of the grant, from the time at which the request was sent."""
    retry_after_s: float
    """Time after which requesting more can succeed."""


@dataclass(frozen=True, slots=True)
class EntryId:
    """Identify one incarnation of an entry."""

    vm: str
    incarnation: int
