"""Name the keys whose claims a service that came back from a copy may have lost."""

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
from hyssopvane._internal.protocol.idempotency import CLOCK_ALLOWANCE_S
from hyssopvane._internal.state.claims import get_slice

FENCE_KEY = "claims/fence"

NO_FENCE = -1
"""Slice that is older than all keys."""


@dataclass(frozen=True, slots=True)
class _Fence:
    era: int
    slice: int


class ClaimFence:
    """Hold the newest slice of keys that may have been claimed before a return.

    A key of such a slice that has no claim may have run. Its first entry may have died,
    so nobody can tell, and it is never claimed again.
    """

    def __init__(self, store: KeyValueStore, *, clock: Callable[[], float]) -> None:
        self._store = store
        self._clock = clock
        self._known = _Fence(0, NO_FENCE)
        self._lock = trio.Lock()

    async def get_fenced_slice(self, era: int) -> int:
        """Return the newest slice that is fenced in an era; raise `KeyValueError`.

        Whoever is first in an era writes it. Keys of callers whose clocks run ahead
        were claimed in slices that are still to come.
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
                newest = get_slice(self._clock() + CLOCK_ALLOWANCE_S) + 1
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
