"""Read and change the record of one group in the key-value service."""

from collections.abc import Callable, Sequence
from dataclasses import replace

import trio

from hyssopvane._internal.coordination.key_value import (
    ABSENT,
    NO_LEASE,
    KeyValue,
    KeyValueStore,
    Swap,
    SwapLost,
    Swapped,
    get_value_prefix,
)
from hyssopvane._internal.coordination.map_records import (
    format_map,
    format_record,
    get_coordinator_key,
    get_map_key,
    get_record_key,
    parse_map,
    parse_record,
)
from hyssopvane._internal.coordination.service_era import get_first_number
from hyssopvane._internal.exceptions import KeyValueUnknown
from hyssopvane._internal.policy.expert_maps import ExpertMap
from hyssopvane._internal.state.map_switch import (
    GroupRecord,
    VersionedRecord,
    abort,
    confirm_for_restart,
    decide,
    fix_step,
    propose,
)

MAX_ATTEMPTS = 20
"""Maximum attempts at one change.

A failed attempt means that another process has changed the record, which happens a few
times in a switch. More failures mean that the service gives wrong answers.
"""

Change = Callable[[GroupRecord], GroupRecord | None]


class MapSwitchStore:
    """Read and change the record of one group by compare-and-swap."""

    def __init__(self, store: KeyValueStore, *, service: str, group: str) -> None:
        self._store = store
        self._service = service
        self._group = group
        self._key = get_record_key(service, group)
        self._map_prefix = get_map_key(service, group, "")
        self.known = VersionedRecord()
        """Newest record that was read or written.

        Its position is that of the record in the service, which is an older one if the
        service has lost the newest.
        """
        self._is_lost = False

    async def read(self) -> VersionedRecord:
        """Read the record; ignore a state that is older than the known one."""
        item = await self._store.get(self._key)
        self._accept_newer(parse_record(item, era=self._store.era))
        if self._is_lost:
            await self._restore()
        return self.known

    async def _restore(self) -> None:
        """Overwrite the older record in the service with the lost one.

        Ranks already follow the lost record. Continuing with the older one would repeat
        a decision, and two ranks could use different maps in the same step.
        """
        result = await self._swap(self.known.record)
        if not isinstance(result, Swapped):
            await self._accept_current(result)

    async def _swap(
        self, record: GroupRecord, others: Sequence[Swap] = ()
    ) -> Swapped | SwapLost:
        value = format_record(record)
        known = self.known
        swap = Swap(self._key, value, known.revision, expected_prefix=known.prefix)
        result = await self._store.compare_and_swap([swap, *others])
        if isinstance(result, Swapped):
            self.known = VersionedRecord(
                record, result.revision, result.era, get_value_prefix(value)
            )
            self._is_lost = False
        return result

    async def read_map(self, name: str) -> ExpertMap | None:
        """Return a map by the name that engines use, or None if it is not stored."""
        key = get_map_key(self._service, self._group, name)
        item = await self._store.get(key)
        return parse_map(item) if item else None

    async def propose(
        self, name: str, expert_map: ExpertMap, *, weights_bytes: int = 0
    ) -> VersionedRecord | None:
        """Open a proposal, or return None while another one is open."""
        maps = (await self._store.get_prefix(self._map_prefix)).items

        def change(record: GroupRecord) -> GroupRecord | None:
            min_fence = get_first_number(self._store.era)
            return propose(
                record, name, weights_bytes=weights_bytes, least_fence=min_fence
            )

        def list_swaps(record: GroupRecord) -> list[Swap]:
            assert record.proposal is not None
            key = f"{self._map_prefix}{record.proposal.name}"
            # Delete maps that no rank can still use. Otherwise each proposal would
            # leave a map in the service.
            used = {f"{self._map_prefix}{one.name}" for one in record.switches[-2:]}
            return [Swap(key, format_map(expert_map), ABSENT)] + [
                Swap(item.key, None, item.revision)
                for item in maps
                if item.key not in used
            ]

        return await self._change(change, list_swaps)

    async def fix_step(self, fence: int, step: int) -> VersionedRecord | None:
        """Fix the step of a staged proposal; return None when that is not allowed."""
        return await self._change(lambda record: fix_step(record, fence, step))

    async def decide(self, fence: int) -> VersionedRecord | None:
        """Decide an armed proposal; return None when it has already ended."""
        return await self._change(lambda record: decide(record, fence))

    async def abort(self, fence: int, why: str) -> VersionedRecord | None:
        """Abort an open proposal; return None when it has already ended."""
        return await self._change(lambda record: abort(record, fence, why))

    async def confirm_for_restart(self) -> VersionedRecord:
        """Write the record for a restarted rank before it executes a step.

        When the answer is lost, it is unknown whether the record was written. A read
        can't show it either: a record written unchanged looks the same as that of
        another process. So it is written again.
        """
        while True:
            written = await self._change(confirm_for_restart, reads_back=False)
            if written is not None:
                return written

    async def acquire_coordinator_lock(self, holder: str, lease: int) -> bool:
        """Make a process the coordinator under its lease; return whether it succeeded.

        The lease only prevents two coordinators from doing the same work. A coordinator
        that was paused beyond its lease may still act. The compare-and-swap of the
        record makes that harmless.
        """
        key = get_coordinator_key(self._service, self._group)
        swap = Swap(key, holder.encode(), ABSENT, lease)
        try:
            result = await self._store.compare_and_swap([swap])
        except KeyValueUnknown:
            item = await self._store.get(key)
            return item is not None and item.value == holder.encode()
        return isinstance(result, Swapped)

    async def release_coordinator_lock(self, lease: int) -> None:
        """Release the coordinator lock by revoking its lease."""
        if lease != NO_LEASE:
            await self._store.revoke_lease(lease)

    async def watch(self, changed: trio.MemorySendChannel[VersionedRecord]) -> None:
        """Send the known record and then each newer one until the watch ends."""
        await self.read()
        await changed.send(self.known)
        start, era = self.known.revision + 1, self.known.era
        async with self._store.watch(self._key, start, era=era) as events:
            async for event in events:
                if event.value is None:
                    continue
                item = KeyValue(event.key, event.value, event.revision, event.era)
                if self._accept_newer(parse_record(item)):
                    await changed.send(self.known)

    async def _change(
        self,
        change: Change,
        list_swaps: Callable[[GroupRecord], Sequence[Swap]] = lambda record: (),
        *,
        reads_back: bool = True,
    ) -> VersionedRecord | None:
        """Retry a change until it is written or no longer allowed.

        When an answer is lost, the record is read back. It shows whether the change was
        written; if not, the change is retried on the current record. A retry is safe:
        a late write fails because the revision is newer, and each change applies to one
        fence and phase only.
        """
        for _ in range(MAX_ATTEMPTS):
            before = self.known.position
            changed = change(self.known.record)
            if changed is None:
                if (await self.read()).position == before:
                    return None
                continue
            try:
                result = await self._swap(changed, list_swaps(changed))
            except KeyValueUnknown:
                if await self._was_written(changed) and reads_back:
                    return self.known
                continue
            if isinstance(result, Swapped):
                return self.known
            await self._accept_current(result)
        return None

    async def _was_written(self, changed: GroupRecord) -> bool:
        before = self.known.position
        read = await self.read()
        return read.position > before and read.record == changed

    async def _accept_current(self, lost: SwapLost) -> None:
        for item in lost.current:
            if item.key == self._key:
                self._accept_newer(parse_record(item))
                return
        await self.read()

    def _accept_newer(self, read: VersionedRecord) -> bool:
        if read.position <= self.known.position:
            return False
        store_returned = 0 < self.known.era < read.era
        if (store_returned or self._is_lost) and self.known.record.is_ahead_of(
            read.record
        ):
            self._is_lost = True
            self.known = replace(read, record=self.known.record)
            return False
        self._is_lost = False
        self.known = read
        return True
