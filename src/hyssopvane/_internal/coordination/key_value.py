"""Describe the platform's key-value service."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field

import trio

from hyssopvane._internal.state.store_position import StorePosition

ABSENT = 0
"""Revision of a key that does not exist."""

NO_LEASE = 0

MAX_VALUE_BYTES = 1024 * 1024
"""Largest value that the service takes."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """Hold one key as it was at one revision of the service."""

    key: str
    value: bytes
    revision: int
    """Revision of the service at which this value was written."""
    era: int = field(default=0, compare=False)
    """Era of the service in which it was read; 0 where not told."""

    @property
    def position(self) -> StorePosition:
        """Return the point of the service's history that orders the values of a key."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold the keys under a prefix as of one revision of the service."""

    revision: int
    items: tuple[KeyValue, ...]
    era: int = 0
    """Number of the era, higher after each return from a copy; 0 where not told."""

    @property
    def position(self) -> StorePosition:
        """Return the point of the service's history up to which the keys are known."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Swap:
    """Ask for one key to change if its revision is still the expected one."""

    key: str
    value: bytes | None
    """New value, or None to delete the key."""
    expected_revision: int
    lease: int = NO_LEASE
    expected_prefix: bytes = b""
    """First bytes of the expected value, where they name it; never the whole value.

    A service that has come back from a copy gives revisions out again, to other values.
    """


@dataclass(frozen=True, slots=True)
class Check:
    """Ask that one key is still at a revision, without changing it."""

    key: str
    expected_revision: int
    expected_prefix: bytes = b""


def get_value_prefix(value: bytes) -> bytes:
    """Return the first bytes that a swap expects of a JSON value and of no other."""
    return value[:-1]


@dataclass(frozen=True, slots=True)
class Swapped:
    """Tell that every swap of a transaction was carried out."""

    revision: int
    era: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class SwapLost:
    """Tell that no swap was carried out, and show the keys as they are."""

    current: tuple[KeyValue, ...]
    era: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Tell that a key was written, or deleted where the value is None."""

    key: str
    value: bytes | None
    revision: int
    era: int = field(default=0, compare=False)


class KeyValueStore(ABC):
    """Read and change the platform's key-value service.

    A call raises `KeyValueUnavailable` when it was certainly not carried out,
    `KeyValueUnknown` when a write was sent but its answer was lost, and
    `KeyValueRefused` when the service refuses it.
    """

    watch_s: float = 0.0
    """Seconds that a watch waits for a change before it is asked again; a service whose
    watches need no asking leaves it unused."""

    @property
    def era(self) -> int:
        """Return the era of the last answer; 0 where eras are not told."""
        return 0

    async def wait_past_era(self, era: int) -> None:
        """Wait until the service has come back from a copy since an era."""
        await trio.sleep_forever()

    @abstractmethod
    async def start(self, nursery: trio.Nursery) -> None:
        """Make the store ready for calls."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""

    @abstractmethod
    async def get(self, key: str) -> KeyValue | None:
        """Return the latest committed value of a key."""

    @abstractmethod
    async def get_prefix(self, prefix: str, *, min_revision: int = 0) -> Snapshot:
        """Return the keys under a prefix that were written at or after a revision."""

    @abstractmethod
    async def compare_and_swap(
        self, swaps: Sequence[Swap], *, checks: Sequence[Check] = ()
    ) -> Swapped | SwapLost:
        """Carry out all swaps in one transaction, or none when a key has changed."""

    @abstractmethod
    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""

    @abstractmethod
    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False when it has lapsed."""

    @abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""

    @abstractmethod
    def end_watches(self, era: int) -> None:
        """End the watches begun before an era, of which a peer has told."""

    @abstractmethod
    def watch(
        self, prefix: str, start_revision: int, *, era: int = 0
    ) -> AbstractAsyncContextManager[trio.MemoryReceiveChannel[WatchEvent]]:
        """Receive the changes under a prefix from a revision on.

        The channel ends when the service closes the watch, no longer has the start
        revision, or has come back from a copy since the era; the caller then loads the
        prefix again.
        """
