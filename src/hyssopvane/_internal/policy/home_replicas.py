"""Assign each replica of a zone to one entry, its home."""

from collections.abc import Iterable

from hyssopvane._internal.policy import rendezvous


class HomeReplicas:
    """Determine the replicas that an entry prefers: those that have it as their home.

    Many entries place requests by loads that are some tenths of a second old. Two of
    them can send to the same free slot, and the second request waits for a second
    behind the first. If only one entry prefers a replica, it knows the load there at
    any moment and keeps its connections open.
    """

    def __init__(self) -> None:
        self._own = ""
        self._seeds: dict[str, int] = {}
        self._own_seed = 0
        self._is_home: dict[str, bool] = {}
        self._scores: dict[str, float] = {}

    def update(self, own: str, others: Iterable[str]) -> None:
        """Set the entries of the zone by their addresses."""
        names = {own, *others}
        if own == self._own and names == self._seeds.keys():
            return
        self._own = own
        self._own_seed = rendezvous.hash_name(own)
        self._seeds = {name: rendezvous.hash_name(name) for name in names}
        self._is_home.clear()
        self._scores.clear()

    @property
    def own(self) -> str:
        """Return the address of this entry, empty if it is not known."""
        return self._own

    def is_home(self, replica: str) -> bool:
        """Return whether this entry is the home of a replica, given by its address."""
        known = self._is_home.get(replica)
        if known is None:
            first = rendezvous.rank(replica.encode(), self._seeds, count=1)
            known = self._is_home[replica] = first == [self._own]
        return known

    def measure_score(self, replica: str) -> float:
        """Return a number from 0 to 1 that orders the entries of all zones.

        Each replica, given by its address, has another order.
        """
        known = self._scores.get(replica)
        if known is None:
            score = rendezvous.score(replica.encode(), self._own_seed)
            known = self._scores[replica] = score / rendezvous.SCORES
        return known

    def remove(self, replica: str) -> None:
        """Drop the cached results of a replica that is gone."""
        self._is_home.pop(replica, None)
        self._scores.pop(replica, None)
