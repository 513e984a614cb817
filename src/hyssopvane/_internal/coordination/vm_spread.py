"""Follow the platform's list of VMs, from the platform or from a watcher."""

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
"""Time between two readings of the list by a watcher.

960 entries that read it each second would be 960 calls a second; 28 watchers make 28.
"""

MAX_LIST_AGE_S = 6.0
"""Time without news of a watcher, or with another list than it has, until a reading."""

FALLBACK_INTERVAL_S = 2.0
"""Mean time in which an entry looks whether its list is stale."""

FetchVms = Callable[[], Awaitable[tuple[VmRecord, ...]]]


class VmSpread:
    """Hold the list of VMs of one entry, and pass its changes on.

    The list has no revisions, so two watchers that see it at different times may
    contradict each other for a second; the last word counts. Whoever has another list
    than its watchers for several seconds reads it itself.
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
        """Hash of the list; 0 while there is none."""

    async def run(self) -> None:
        """Follow the list without end."""
        while True:
            if self._is_due():
                await self._read()
            if self._watches() or not self._has_list:
                await trio.sleep(POLL_INTERVAL_S)
            else:
                await trio.sleep(FALLBACK_INTERVAL_S * self._random.uniform(0.5, 1.5))

    def receive_changes(self, body: bytes) -> None:
        """Take over what a peer passes on."""
        if not self._has_list:
            # Changes alone are no list.
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
        """Take note of the list that a peer has."""
        if digest and digest == self.digest:
            self._confirmed_at = trio.current_time()

    def _is_due(self) -> bool:
        # A notice that was lost would leave a VM in this list that is gone, or keep one
        # out that has come: an agent without work, and nobody would notice.
        stale = trio.current_time() - self._confirmed_at > MAX_LIST_AGE_S
        return self._watches() or not self._has_list or stale

    async def _read(self) -> None:
        try:
            records = await self._fetch()
        except VmListError as error:
            # The platform's list may be out for long; the last one stays in use.
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
