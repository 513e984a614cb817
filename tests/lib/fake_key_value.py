"""Fake the key-value service in memory, with injected faults."""

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from enum import StrEnum

import trio

from hyssopvane._internal.coordination.etcd_messages import (
    get_range_end,
    list_value_bounds,
)
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
from hyssopvane._internal.coordination.service_era import (
    ERA_KEY,
    ServiceEra,
    format_record,
    parse_record,
    plan_record,
)
from hyssopvane._internal.exceptions import KeyValueUnavailable, KeyValueUnknown
from hyssopvane._internal.standins.key_value_state import (
    Compare,
    Delete,
    KeyValueState,
    Put,
    StoredItem,
    ValueCompare,
    ValueResult,
)

LATE_WRITE_DELAY_S = 0.5


class Fault(StrEnum):
    """Define the fault of one call."""

    NONE = "none"
    DOWN = "down"
    LOST_REPLY = "lost reply"
    LOST_WRITE = "lost write"
    LATE_WRITE = "late write"
    STALE_READ = "stale read"


def choose_no_fault() -> Fault:
    return Fault.NONE


class FakeKeyValueStore(KeyValueStore):
    """Apply calls to a state that several stores may share."""

    def __init__(
        self,
        state: KeyValueState,
        nursery: trio.Nursery,
        *,
        choose_fault: Callable[[], Fault] = choose_no_fault,
        choose_delay: Callable[[], float] = lambda: 0.0,
        older: KeyValueState | None = None,
    ) -> None:
        self._state = state
        self._ended = False
        self._era = ServiceEra()
        self._is_recorded = False
        self.calls = 0
        self._nursery = nursery
        self._choose_fault = choose_fault
        self._choose_delay = choose_delay
        self._older = older or state.copy_items()

    @property
    def state(self) -> KeyValueState:
        """Return the current state of the service."""
        return self._state

    @state.setter
    def state(self, state: KeyValueState) -> None:
        """Restore the service from a copy; the restored cluster gets a new id."""
        used = self._era.is_past(state.cluster_id)
        if state is not self._state and (
            used or state.cluster_id == self._state.cluster_id
        ):
            state.renew_cluster_id()
        self._state = state

    @property
    def era(self) -> int:
        return self._era.era

    async def wait_past_era(self, era: int) -> None:
        await self._era.wait_past(era)

    async def start(self, nursery: trio.Nursery) -> None:
        pass

    async def close(self) -> None:
        pass

    async def get(self, key: str) -> KeyValue | None:
        state, era = await self._read()
        items = [to_key_value(item, era) for item in state.get_range(key.encode())]
        return items[0] if items else None

    async def get_prefix(self, prefix: str, *, min_revision: int = 0) -> Snapshot:
        state, era = await self._read()
        key = prefix.encode()
        found = state.get_range(key, get_range_end(key), min_revision)
        items = tuple(to_key_value(item, era) for item in found)
        return Snapshot(state.revision, items, era)

    async def compare_and_swap(
        self, swaps: Sequence[Swap], *, checks: Sequence[Check] = ()
    ) -> Swapped | SwapLost:
        fault = await self._begin()
        if fault is Fault.LATE_WRITE:
            self._nursery.start_soon(self._swap_late, swaps, checks)
        elif fault is not Fault.LOST_WRITE:
            before = self.era
            swapped = self._swap(swaps, checks)
            if before not in {0, self.era}:
                raise KeyValueUnknown(
                    "the service was restored from a copy during the call"
                )
            if fault is not Fault.LOST_REPLY:
                return swapped
        assert fault not in {Fault.NONE, Fault.STALE_READ}, (
            "the call must return an answer"
        )
        raise KeyValueUnknown("the reply was lost")

    async def grant_lease(self, ttl_s: int) -> int:
        return self.state.grant_lease(ttl_s)

    async def keep_lease(self, lease: int) -> bool:
        return self.state.keep_lease(lease) > 0

    async def revoke_lease(self, lease: int) -> None:
        self.state.revoke_lease(lease)

    def end_watches(self, era: int) -> None:
        self._era.record_era(era)

    @asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int, *, era: int = 0
    ) -> AsyncIterator[trio.MemoryReceiveChannel[WatchEvent]]:
        fault = await self._begin()
        send, receive = trio.open_memory_channel[WatchEvent](10_000)
        scope = trio.CancelScope()
        # A watch with a fault stays open and sends nothing.
        if fault is Fault.NONE:
            arguments = (prefix, start_revision, send, scope, era, self.state)
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
        era: int,
        state: KeyValueState,
    ) -> None:
        key = prefix.encode()
        with scope, send:
            while self.state is state:
                for event in self.state.get_events(start, key, get_range_end(key)):
                    item = to_key_value(event.item, era)
                    value = None if event.is_delete else item.value
                    send.send_nowait(WatchEvent(item.key, value, item.revision, era))
                start = max(start, self.state.revision + 1)
                await trio.sleep(0.01)

    def end(self) -> None:
        """Stop answering calls, as if the process had died."""
        self._ended = True

    async def _begin(self) -> Fault:
        self.calls += 1
        if self._ended:
            await trio.sleep_forever()
        fault = self._choose_fault()
        await trio.sleep(self._choose_delay())
        if fault is Fault.DOWN:
            raise KeyValueUnavailable("the service is down")
        return fault

    async def _read(self) -> tuple[KeyValueState, int]:
        if await self._begin() is Fault.STALE_READ:
            if self._era.is_past(self._older.cluster_id):
                raise KeyValueUnavailable("the service was restored from a copy")
            return self._older, self._find_era(self._older)
        copy = self.state.copy_items()
        self._older = copy
        return copy, self._find_era(self.state)

    def _find_era(self, state: KeyValueState, *, writes: bool = False) -> int:
        """Track the era as the real client does, with calls that never fail."""
        is_current = self._era.is_current(state.cluster_id)
        if is_current and (not writes or self._is_recorded):
            return self.era
        items = state.get_range(ERA_KEY.encode())
        found = parse_record(items[0].value) if items else None
        known = self._era.record
        due = known
        if due is None or not is_current:
            now = trio.current_time()
            due = plan_record(found, state.cluster_id, known, now=now)
        if due != found and (writes or found is not None or known is not None):
            self.state.commit([], [Put(ERA_KEY.encode(), format_record(due))])
            found = due
        self._is_recorded = found == due
        self._era.adopt(due)
        return self.era

    async def _swap_late(self, swaps: Sequence[Swap], checks: Sequence[Check]) -> None:
        await trio.sleep(LATE_WRITE_DELAY_S)
        self._swap(swaps, checks)

    def _swap(
        self, swaps: Sequence[Swap], checks: Sequence[Check]
    ) -> Swapped | SwapLost:
        self._find_era(self.state, writes=True)
        compared: tuple[Swap | Check, ...] = (*swaps, *checks)
        compares = [one for item in compared for one in make_compares(item)]
        changes = [
            Delete(s.key.encode())
            if s.value is None
            else Put(s.key.encode(), s.value, s.lease)
            for s in swaps
        ]
        if self.state.commit(compares, changes):
            return Swapped(self.state.revision, self.era)
        keys = [item.key.encode() for item in compared]
        found = [item for key in keys for item in self.state.get_range(key)]
        return SwapLost(tuple(to_key_value(item, self.era) for item in found), self.era)


def make_compares(item: Swap | Check) -> list[Compare | ValueCompare]:
    key, prefix = item.key.encode(), item.expected_prefix
    if not prefix:
        return [Compare(key, item.expected_revision)]
    return [
        ValueCompare(key, ValueResult(result), bound)
        for result, bound in list_value_bounds(prefix)
    ]


def to_key_value(item: StoredItem, era: int) -> KeyValue:
    return KeyValue(item.key.decode(), item.value, item.mod_revision, era)
