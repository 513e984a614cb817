"""Divide the replicas of a zone among its entries."""

from collections.abc import Iterable

from hyssopvane._internal.policy import rendezvous


class HomeReplicas:
    """Name the replicas that an entry goes to first.

    Made for many entries that place requests by loads of some tenths of a second ago:
    two of them send to the same free slot, and the second request waits for a second
    behind the first. Of replicas that one entry alone goes to first it knows the load
    at any moment, and it keeps its connections there.
    """

    def __init__(self) -> None:
        self._own = ""
        self._seeds: dict[str, int] = {}
        self._is_home: dict[str, bool] = {}

    def update(self, own: str, others: Iterable[str]) -> None:
        """Learn the entries of the zone by their addresses."""
        names = {own, *others}
        if own == self._own and names == self._seeds.keys():
            return
        self._own = own
        self._seeds = {name: rendezvous.hash_name(name) for name in names}
        self._is_home.clear()

    def is_home(self, replica: str) -> bool:
        """Tell whether this entry goes to a replica first, by the replica's address."""
        known = self._is_home.get(replica)
        if known is None:
            first = rendezvous.rank(replica.encode(), self._seeds, count=1)
            known = self._is_home[replica] = first == [self._own]
        return known

    def remove(self, replica: str) -> None:
        """Drop what is kept of a replica that is gone."""
        self._is_home.pop(replica, None)
