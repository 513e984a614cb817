"""Track the platform's list of VMs, by polling it or through a watcher."""

from collections.abc import Awaitable, Callable
from random import Random

import trio
import xxhash

from hyssopvane._internal.coordination.spread_messages import (
    VmChanges,
    decode_vm_changes,
    encode_vm_changes,
)
from hyssopvane._internal.coordination.table_store import ErrorReport, ignore_error
from hyssopvane._internal.coordination.vm_list import VmRecord
from hyssopvane._internal.exceptions import HyssopvaneError, VmListError

VM_CHANGES_TOPIC = "vms/changes"

POLL_INTERVAL_S = 1.0
"""Interval between two reads of the list by a watcher.

Polling by all 960 entries would be 960 calls per second; 28 watchers make 28.
"""

MAX_LIST_AGE_S = 6.0
"""Time without a beat of a watcher that confirms this list, until the list is read."""

FALLBACK_INTERVAL_S = 2.0
"""Mean interval between two checks of an entry for a stale list."""

FetchVms = Callable[[], Awaitable[tuple[VmRecord, ...]]]


class VmSpread:
    """Keep the list of VMs of one entry up to date and forward its changes.

    The list has no revisions, so two watchers that read it at different times may
    contradict each other for a second; the last received change applies. An entry whose
    list differs from that of its watchers for several seconds reads the list itself.
    """

    def __init__(
        self,
        fetch: FetchVms,
        *,
        random: Random,
        watches: Callable[[], bool],
        send: Callable[[str, bytes], None],
        observe: Callable[[tuple[VmRecord, ...]], None],
        report: ErrorReport = ignore_error,
    ) -> None:
        self._fetch = fetch
        self._random = random
        self._watches = watches
        self._send = send
        self._observe = observe
        self._report = report
        self._records: dict[str, VmRecord] = {}
        self._has_list = False
        self._confirmed_at = 0.0
        self.digest = 0
        """Hash of the list; 0 before the first list is read."""

    async def run(self) -> None:
        """Read the list when it is due, without end."""
        while True:
            if self._is_due():
                await self._read()
            if self._watches() or not self._has_list:
                await trio.sleep(POLL_INTERVAL_S)
            else:
                await trio.sleep(FALLBACK_INTERVAL_S * self._random.uniform(0.5, 1.5))

    def receive_changes(self, body: bytes) -> None:
        """Apply changes of the list from a peer."""
        if not self._has_list:
            # Changes can't be applied before the whole list is known.
            return
        try:
            changes = decode_vm_changes(body)
        except HyssopvaneError as error:
            self._report(error)
            return
        records = {**self._records, **{one.name: one for one in changes.changed}}
        for name in changes.gone:
            records.pop(name, None)
        self._replace(records)

    def compare(self, digest: int) -> None:
        """Confirm this list when a peer reports the same digest."""
        if digest and digest == self.digest:
            self._confirmed_at = trio.current_time()

    def _is_due(self) -> bool:
        # A lost notice would leave a removed VM in this list, or keep a new one out of
        # it. The new agent would then get no work, without any visible error.
        stale = trio.current_time() - self._confirmed_at > MAX_LIST_AGE_S
        return self._watches() or not self._has_list or stale

    async def _read(self) -> None:
        try:
            records = await self._fetch()
        except VmListError as error:
            # The platform's list may be unavailable for long; the last one is kept.
            self._report(error)
            return
        self._has_list = True
        self._confirmed_at = trio.current_time()
        self._replace({record.name: record for record in records})

    def _replace(self, records: dict[str, VmRecord]) -> None:
        before, self._records = self._records, records
        changed = tuple(one for one in records.values() if before.get(one.name) != one)
        gone = tuple(sorted(before.keys() - records.keys()))
        if not changed and not gone and self.digest:
            return
        self.digest = _hash_records(records)
        self._observe(tuple(records.values()))
        if before:
            changes = VmChanges(changed, gone)
            self._send(VM_CHANGES_TOPIC, encode_vm_changes(changes))


def _hash_records(records: dict[str, VmRecord]) -> int:
    text = ";".join(repr(records[name]) for name in sorted(records))
    return xxhash.xxh3_64_intdigest(text.encode())
