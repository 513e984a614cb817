"""Divide the free slots of a replica among the entries that see them.

Many entries see the same free slots, and none sees what the others have just sent.
Loads show that some tenths of a second later, or not at all while a link is congested.
A replica that is empty for a moment is the best one for all of them, and the requests
beyond its slots wait there, where they can be neither ordered nor sent elsewhere.

So each free slot has an owner. The first one belongs to the replica's home entry, and
the others to entries that follow from a hash of their name and the replica's. No
message is needed, and the same entry owns a slot until it is taken.
"""

from math import ceil


def find_position(score: float, *, is_home: bool, entries: float) -> float:
    """Return the position of an entry in the order of a replica's owners.

    It is 0 for the home entry, and from 1 to the number of entries for others, which
    are ordered by their scores for the replica.
    """
    if is_home or entries <= 1:
        return 0.0
    return 1.0 + score * (entries - 1.0)


def count_own_slots(free: int, position: float, *, entries: float) -> int:
    """Return how many of the free slots belong to the entry at a position."""
    return max(0, ceil((free - position) / max(1.0, entries)))
