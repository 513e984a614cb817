"""Fake the key-value service in memory, with faults that a test chooses."""

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from enum import StrEnum

import trio

from hyssopvane._internal.coordination.etcd_key_value import get_range_end
from hyssopvane._internal.coordination.key_value import (
    Check,
    KeyValue,
    KeyValueStore,
    Snapshot,
    Swap,
    SwapLost,
    Swapped,
    WatchEvent,
)
from hyssopvane._internal.exceptions import KeyValueUnavailable, KeyValueUnknown
from hyssopvane._internal.standins.key_value_state import (
    Compare,
    Delete,
    KeyValueState,
    Put,
    StoredItem,
)

LATE_S = 0.5


class Fault(StrEnum):
    """Name what goes wrong with one call."""

    NONE = "none"
    DOWN = "down"
    LOST_REPLY = "lost reply"
    LOST_WRITE = "lost write"
    LATE_WRITE = "late write"
    STALE_READ = "stale read"


def choose_no_fault() -> Fault:
    return Fault.NONE


class FakeKeyValueStore(KeyValueStore):
    """Carry out calls on a state that several stores may share."""

    def __init__(
        self,
        state: KeyValueState,
        nursery: trio.Nursery,
        *,
        choose_fault: Callable[[], Fault] = choose_no_fault,
        choose_delay: Callable[[], float] = lambda: 0.0,
        older: KeyValueState | None = None,
    ) -> None:
        self.state = state
        self.calls = 0
        self._nursery = nursery
        self._choose_fault = choose_fault
        self._choose_delay = choose_delay
        self._older = older or state.copy_items()

    async def start(self, nursery: trio.Nursery) -> None:
        pass

    async def close(self) -> None:
        pass

    async def get(self, key: str) -> KeyValue | None:
        state = await self._read()
        items = [to_key_value(item) for item in state.get_range(key.encode())]
        return items[0] if items else None

    async def get_prefix(self, prefix: str, *, min_revision: int = 0) -> Snapshot:
        state = await self._read()
        key = prefix.encode()
        items = state.get_range(key, get_range_end(key), min_revision)
        return Snapshot(state.revision, tuple(to_key_value(item) for item in items))

    async def compare_and_swap(
        self, swaps: Sequence[Swap], *, checks: Sequence[Check] = ()
    ) -> Swapped | SwapLost:
        fault = await self._begin()
        if fault is Fault.LATE_WRITE:
            self._nursery.start_soon(self._swap_late, swaps, checks)
        elif fault is not Fault.LOST_WRITE:
            swapped = self._swap(swaps, checks)
            if fault is not Fault.LOST_REPLY:
                return swapped
        assert fault not in {Fault.NONE, Fault.STALE_READ}, "an answer is due"
        raise KeyValueUnknown("the reply was lost")

    async def grant_lease(self, ttl_s: int) -> int:
        return self.state.grant_lease(ttl_s)

    async def keep_lease(self, lease: int) -> bool:
        return self.state.keep_lease(lease) > 0

    async def revoke_lease(self, lease: int) -> None:
        self.state.revoke_lease(lease)

    def end_watches(self, era: int) -> None:
        pass

    @asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int, *, era: int = 0
    ) -> AsyncIterator[trio.MemoryReceiveChannel[WatchEvent]]:
        fault = await self._begin()
        send, receive = trio.open_memory_channel[WatchEvent](10_000)
        scope = trio.CancelScope()
        # A watch with a fault stays open and silent.
        if fault is Fault.NONE:
            arguments = (prefix, start_revision, send, scope)
            self._nursery.start_soon(self._send_changes, *arguments)
        try:
            yield receive
        finally:
            scope.cancel()

    async def _send_changes(
        self,
        prefix: str,
        start: int,
        send: trio.MemorySendChannel[WatchEvent],
        scope: trio.CancelScope,
    ) -> None:
        key = prefix.encode()
        with scope:
            while True:
                for event in self.state.get_events(start, key, get_range_end(key)):
                    item = to_key_value(event.item)
                    value = None if event.is_delete else item.value
                    send.send_nowait(WatchEvent(item.key, value, item.revision))
                start = max(start, self.state.revision + 1)
                await trio.sleep(0.01)

    async def _begin(self) -> Fault:
        self.calls += 1
        fault = self._choose_fault()
        await trio.sleep(self._choose_delay())
        if fault is Fault.DOWN:
            raise KeyValueUnavailable("the service is down")
        return fault

    async def _read(self) -> KeyValueState:
        if await self._begin() is Fault.STALE_READ:
            return self._older
        copy = self.state.copy_items()
        self._older = copy
        return copy

    async def _swap_late(self, swaps: Sequence[Swap], checks: Sequence[Check]) -> None:
        await trio.sleep(LATE_S)
        self._swap(swaps, checks)

    def _swap(
        self, swaps: Sequence[Swap], checks: Sequence[Check]
    ) -> Swapped | SwapLost:
        compared: tuple[Swap | Check, ...] = (*swaps, *checks)
        compares = [Compare(c.key.encode(), c.expected_revision) for c in compared]
        changes = [
            Delete(s.key.encode())
            if s.value is None
            else Put(s.key.encode(), s.value, s.lease)
            for s in swaps
        ]
        if self.state.commit(compares, changes):
            return Swapped(self.state.revision)
        found = [item for c in compares for item in self.state.get_range(c.key)]
        return SwapLost(tuple(to_key_value(item) for item in found))


def to_key_value(item: StoredItem) -> KeyValue:
    return KeyValue(item.key.decode(), item.value, item.mod_revision)
