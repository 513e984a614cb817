"""Hold the keys, leases and history of the stand-in key-value service."""

import itertools
import operator
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

MAX_HISTORY = 100_000
"""Events retained for watches that start at a past revision."""


@dataclass(frozen=True, slots=True)
class StoredItem:
    """Hold one key with its value and the revisions that etcd reports for it."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class StoredEvent:
    """Hold one change; the item of a deletion has an empty value."""

    item: StoredItem
    is_delete: bool


@dataclass(frozen=True, slots=True)
class Compare:
    """Require a key to be at a revision; 0 requires it to be absent."""

    key: bytes
    mod_revision: int


class ValueResult(StrEnum):
    """List the comparisons of a stored value with a given one, as in etcd."""

    EQUAL = "EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"
    NOT_EQUAL = "NOT_EQUAL"


_VALUE_RESULTS = {
    ValueResult.EQUAL: operator.eq,
    ValueResult.GREATER: operator.gt,
    ValueResult.LESS: operator.lt,
    ValueResult.NOT_EQUAL: operator.ne,
}


@dataclass(frozen=True, slots=True)
class ValueCompare:
    """Require a key to exist and its value to satisfy a comparison."""

    key: bytes
    result: ValueResult
    value: bytes


@dataclass(frozen=True, slots=True)
class Put:
    """Represent the write of one key."""

    key: bytes
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Represent the deletion of one key."""

    key: bytes


@dataclass(slots=True)
class _Lease:
    ttl_s: int
    expires: float


class UnknownLease(Exception):
    """Report a lease that doesn't exist or has expired."""


_cluster_ids = itertools.count(1)


class KeyValueState:
    """Apply calls sequentially; each one that changes keys gets its own revision."""

    def __init__(
        self, clock: Callable[[], float], *, cluster_id: int | None = None
    ) -> None:
        self._clock = clock
        self.cluster_id = next(_cluster_ids) if cluster_id is None else cluster_id
        self._items: dict[bytes, StoredItem] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._history: deque[StoredEvent] = deque(maxlen=MAX_HISTORY)
        self.revision = 1

    def get_range(
        self, key: bytes, range_end: bytes = b"", min_mod_revision: int = 0
    ) -> list[StoredItem]:
        """Return one key, or the sorted keys from `key` up to before `range_end`."""
        self.expire_leases()
        if not range_end:
            found = [self._items[key]] if key in self._items else []
        else:
            found = sorted(
                (item for item in self._items.values() if key <= item.key < range_end),
                key=lambda item: item.key,
            )
        return [item for item in found if item.mod_revision >= min_mod_revision]

    def commit(
        self,
        compares: Iterable[Compare | ValueCompare],
        changes: Iterable[Put | Delete],
    ) -> bool:
        """Apply all changes at one revision if every compare holds."""
        self.expire_leases()
        if not all(self._holds(compare) for compare in compares):
            return False
        wanted = list(changes)
        for change in wanted:
            if isinstance(change, Put) and change.lease not in {0, *self._leases}:
                raise UnknownLease
        self._apply(wanted)
        return True

    def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = _Lease(ttl_s, self._clock() + ttl_s)
        return lease

    def keep_lease(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds, or 0 if expired."""
        self.expire_leases()
        held = self._leases.get(lease)
        if held is None:
            return 0
        held.expires = self._clock() + held.ttl_s
        return held.ttl_s

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.expire_leases()
        if self._leases.pop(lease, None) is None:
            raise UnknownLease
        self._delete_leased(lease)

    def expire_leases(self) -> None:
        """Remove expired leases and delete their keys."""
        now = self._clock()
        for lease in [k for k, held in self._leases.items() if held.expires <= now]:
            del self._leases[lease]
            self._delete_leased(lease)

    def get_next_expiry(self) -> float | None:
        """Return the clock time at which the next lease expires, if there is any."""
        return min((lease.expires for lease in self._leases.values()), default=None)

    @property
    def oldest_revision(self) -> int:
        """Return the oldest revision from which a watch can start."""
        if len(self._history) < MAX_HISTORY:
            return 0
        # Earlier events of the same revision may already have been dropped.
        return self._history[0].item.mod_revision + 1

    def get_events(
        self, start_revision: int, key: bytes, range_end: bytes
    ) -> list[StoredEvent]:
        """Return the changes of a range since a revision (inclusive), oldest first."""
        self.expire_leases()
        found: list[StoredEvent] = []
        for event in reversed(self._history):
            if event.item.mod_revision < start_revision:
                break
            if event.item.key == key or key <= event.item.key < range_end:
                found.append(event)
        found.reverse()
        return found

    def copy_items(self) -> "KeyValueState":
        """Return an independent copy of the items, without leases and history."""
        copy = KeyValueState(self._clock, cluster_id=self.cluster_id)
        copy._items = dict(self._items)
        copy.revision = self.revision
        return copy

    def copy_all(self) -> "KeyValueState":
        """Return a copy with leases and history, from which the service can resume."""
        copy = self.copy_items()
        copy._leases = {
            lease: _Lease(held.ttl_s, self._clock() + held.ttl_s)
            for lease, held in self._leases.items()
        }
        copy._next_lease = self._next_lease
        copy._history = self._history.copy()
        return copy

    def renew_cluster_id(self) -> None:
        """Change the cluster id, as a cluster restored from a copy does."""
        self.cluster_id += next(_cluster_ids)

    def _holds(self, compare: Compare | ValueCompare) -> bool:
        item = self._items.get(compare.key)
        if isinstance(compare, ValueCompare):
            matches = _VALUE_RESULTS[compare.result]
            return item is not None and bool(matches(item.value, compare.value))
        return (item.mod_revision if item else 0) == compare.mod_revision

    def _apply(self, changes: list[Put | Delete]) -> None:
        effective = [
            change
            for change in changes
            if isinstance(change, Put) or change.key in self._items
        ]
        if not effective:
            return
        self.revision += 1
        for change in effective:
            if isinstance(change, Put):
                self._put(change)
            else:
                self._delete(change.key)

    def _put(self, put: Put) -> None:
        old = self._items.get(put.key)
        item = StoredItem(
            key=put.key,
            value=put.value,
            create_revision=old.create_revision if old else self.revision,
            mod_revision=self.revision,
            version=old.version + 1 if old else 1,
            lease=put.lease,
        )
        self._items[put.key] = item
        self._history.append(StoredEvent(item, is_delete=False))

    def _delete(self, key: bytes) -> None:
        del self._items[key]
        deleted = StoredItem(key, b"", 0, self.revision, 0)
        self._history.append(StoredEvent(deleted, is_delete=True))

    def _delete_leased(self, lease: int) -> None:
        keys = [key for key, item in self._items.items() if item.lease == lease]
        self._apply([Delete(key) for key in keys])
