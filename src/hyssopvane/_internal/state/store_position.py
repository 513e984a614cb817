"""Order states of a key-value service across its eras."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """Identify a point in the store's history; eras are compared before revisions."""

    era: int
    """Number of the era, raised by a restore from a copy; 0 if unknown."""
    revision: int


UNKNOWN = StorePosition(0, 0)
"""Position of a process that has not read the store."""
