"""Define the interface of the platform's key-value service."""

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
"""Maximum size of a value in the service."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """Hold the value of one key at one revision of the service."""

    key: str
    value: bytes
    revision: int
    """Revision of the service at which this value was written."""
    era: int = field(compare=False)
    """Era of the service in which it was read; 0 if the service has no eras."""

    @property
    def position(self) -> StorePosition:
        """Return the position in the service's history that orders a key's values."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold the keys under a prefix at one revision of the service."""

    revision: int
    items: tuple[KeyValue, ...]
    era: int
    """Number of the era, higher after each restore from a copy; 0 without eras."""

    @property
    def position(self) -> StorePosition:
        """Return the position in the service's history at which the keys were read."""
        return StorePosition(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Swap:
    """Change one key if its revision, or the start of its value, is as expected."""

    key: str
    value: bytes | None
    """New value, or None to delete the key."""
    expected_revision: int
    lease: int = NO_LEASE
    expected_prefix: bytes = b""
    """First bytes that identify the expected value; never the whole value.

    They replace the revision in the comparison where they are set. A service that was
    restored from a copy assigns the same revisions again to other values.
    """


@dataclass(frozen=True, slots=True)
class Check:
    """Require that one key is unchanged, without writing it."""

    key: str
    expected_revision: int
    expected_prefix: bytes = b""


def get_value_prefix(value: bytes) -> bytes:
    """Return the prefix that a swap expects, which only this JSON value has."""
    return value[:-1]


@dataclass(frozen=True, slots=True)
class Swapped:
    """Report that every swap of a transaction was applied."""

    revision: int
    era: int = field(compare=False)


@dataclass(frozen=True, slots=True)
class SwapLost:
    """Report that no swap was applied, with the current values of the keys."""

    current: tuple[KeyValue, ...]
    era: int = field(compare=False)


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Report that a key was written, or deleted if the value is None."""

    key: str
    value: bytes | None
    revision: int
    era: int = field(compare=False)


class KeyValueStore(ABC):
    """Read and change the platform's key-value service.

    A call raises `KeyValueUnavailable` when it was certainly not applied,
    `KeyValueUnknown` when a write was sent but its answer was lost, and
    `KeyValueRefused` when the service rejects it. Whatever a call or a watch returns
    has the era of the answer that it comes from, and no answer of an earlier era is
    returned once a later one is known.
    """

    watch_s: float = 0.0
    """Seconds that a watch waits for a change before it polls again.

    A service that sends changes without polls leaves it unused.
    """

    @property
    @abstractmethod
    def era(self) -> int:
        """Return the era of the last answer; 0 if the service has no eras."""

    @abstractmethod
    async def wait_past_era(self, era: int) -> None:
        """Wait until an era has ended because the service was restored from a copy."""

    @abstractmethod
    async def start(self, nursery: trio.Nursery) -> None:
        """Prepare the store for calls; the nursery runs its background tasks."""

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
        """Apply all swaps in one transaction, or none if a key has changed.

        Raise `KeyValueUnknown` if an era has begun since the call was made: the service
        assigns the expected revisions again to other values.
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""

    @abstractmethod
    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; return False when it has expired."""

    @abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""

    @abstractmethod
    def end_watches(self, era: int) -> None:
        """End the watches that were opened before an era that a peer reported."""

    @abstractmethod
    def watch(
        self, prefix: str, start_revision: int, *, era: int = 0
    ) -> AbstractAsyncContextManager[trio.MemoryReceiveChannel[WatchEvent]]:
        """Receive the changes under a prefix from a revision on.

        The channel ends when the service closes the watch, no longer has the start
        revision, or was restored from a copy after the era. The caller then loads the
        prefix again.
        """
