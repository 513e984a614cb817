"""Fence the keys whose claims may be lost when the service is restored from a copy."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from hyssopvane._internal.coordination.key_value import (
    ABSENT,
    KeyValueStore,
    Swap,
    Swapped,
)
from hyssopvane._internal.coordination.service_era import FIRST_ERA
from hyssopvane._internal.protocol.idempotency import MAX_CLOCK_SKEW_S
from hyssopvane._internal.state.claims import get_slice

FENCE_KEY = "claims/fence"

NO_FENCE = -1
"""Slice number that is older than the slice of any key."""


@dataclass(frozen=True, slots=True)
class _Fence:
    era: int
    slice: int


class ClaimFence:
    """Hold the newest slice of keys that may have been claimed before a restore.

    A key in a fenced slice that has no claim may still have run: the restore may have
    lost its claim, and the entry that wrote it may have died. Such a key is never
    claimed again.
    """

    def __init__(self, store: KeyValueStore, *, clock: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._known = _Fence(0, NO_FENCE)
        self._lock = trio.Lock()

    async def get_fenced_slice(self, era: int) -> int:
        """Return the newest slice that is fenced in an era; raise `KeyValueError`.

        The first entry that asks in an era writes the fence. The fence includes future
        slices, because keys of callers whose clocks run ahead are claimed there.
        """
        if era <= FIRST_ERA:
            return NO_FENCE
        async with self._lock:
            await self._update(era)
        return self._known.slice

    async def _update(self, era: int) -> None:
        while self._known.era < era:
            item = await self._store.get(FENCE_KEY)
            found = _Fence(0, NO_FENCE) if item is None else _parse(item.value)
            if found.era < era:
                newest = get_slice(self._clock() + MAX_CLOCK_SKEW_S) + 1
                new_fence = _Fence(era, max(found.slice, newest))
                revision = ABSENT if item is None else item.revision
                swap = Swap(
                    FENCE_KEY, f"{new_fence.era} {new_fence.slice}".encode(), revision
                )
                if not isinstance(await self._store.compare_and_swap([swap]), Swapped):
                    continue
                found = new_fence
            self._known = found


def _parse(value: bytes) -> _Fence:
    era, number = value.split()
    return _Fence(int(era), int(number))
