"""Track the live entries and choose the aggregator of each customer's demand."""

from collections.abc import Iterable

from hyssopvane._internal.policy import rendezvous
from hyssopvane._internal.policy.share_limits import ENTRY_RETENTION_S


class EntryView:
    """Track the live entries and those that left recently."""

    def __init__(self, *, own_vm: str) -> None:
        self._own_vm = own_vm
        self._seen_at: dict[str, float] = {}
        self._seeds: dict[str, int] = {}

    @property
    def live(self) -> int:
        """Return the number of live entries; 0 before the first list."""
        return len(self._seeds)

    def update(self, others: Iterable[str], *, now: float) -> bool:
        """Apply a list of the other live entries; return whether the set changed."""
        names = {self._own_vm, *others}
        # Entries that have just left count as seen until now, because they worked until
        # this update, however long ago they were listed.
        self._seen_at.update(dict.fromkeys(names | self._seeds.keys(), now))
        if names == self._seeds.keys():
            return False
        self._seeds = {name: rendezvous.hash_name(name) for name in names}
        return True

    def count_known(self, *, now: float) -> int:
        """Return the number of entries that are working or may still be working."""
        for name, seen_at in list(self._seen_at.items()):
            if name not in self._seeds and now - seen_at > ENTRY_RETENTION_S:
                del self._seen_at[name]
        return max(1, len(self._seen_at))

    def find_aggregator(self, customer: str) -> str:
        """Return the entry that distributes the shares of a customer's limits."""
        key = customer.encode()
        return max(
            self._seeds, key=lambda name: rendezvous.score(key, self._seeds[name])
        )
