"""Order what a key-value service has said."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """Name a point in the store's history; any point of a later era comes later."""

    era: int
    """Number of the era, higher after each return from a copy; 0 where not told."""
    revision: int
