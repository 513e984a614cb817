"""Keep the claims of idempotency keys in the key-value service."""

import time
from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

import trio

from hyssopvane._internal.coordination.claim_pages import (
    ChangeResult,
    ChangeStatus,
    decode_page,
    encode_page,
    get_page_key,
)
from hyssopvane._internal.coordination.key_value import (
    ABSENT,
    KeyValue,
    KeyValueStore,
    Swap,
    Swapped,
)
from hyssopvane._internal.exceptions import (
    KeyValueError,
    KeyValueUnavailable,
    KeyValueUnknown,
    ProtocolError,
)
from hyssopvane._internal.state.claims import (
    BUCKET_COUNT,
    Claim,
    ClaimChange,
    ClaimKey,
    ClaimPage,
    get_slice,
)
from hyssopvane._internal.utils.backoff import Backoff

BATCH_INTERVAL_S = 0.04
"""Least time between two writes of one bucket.

Eight buckets then cost at most 200 writes a second, of the several hundred that the
service takes for everything, at any number of requests. A claim that finds its bucket
idle is written at once, so only a busy bucket waits.
"""

GIVE_UP_S = 4.0
"""Time for which a write whose answer was lost is read back."""

MAX_PAGES_PER_WRITE = 48
"""Pages in one transaction, in which etcd takes 128 changes.

Callers' clocks that are off by a minute spread the keys of one moment over some 16
slices; they still go as one write.
"""

FLOOR_KEY = "claims/floor"
"""Holds the oldest slice whose pages have not been deleted."""

CONFLICT_DELAY_S = 0.01
"""Longest wait after a write that was lost to another entry's."""

FAILING_S = 0.5
"""Time after a failed write in which the service is not tried again."""

SWEEP_SLICES = 6
"""Slices deleted at a time; more would not fit in one transaction."""

# They stay below the service's largest value, at 24 bytes each.
_MAX_CLAIMS = 40_000
_MAX_CACHED_PAGES = 64

WallClock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class _Stored:
    revision: int
    page: ClaimPage


@dataclass(frozen=True, slots=True)
class _Floor:
    revision: int
    slice: int


@dataclass(eq=False, slots=True)
class _Waiting:
    change: ClaimChange
    done: trio.Event = field(default_factory=trio.Event)
    result: ChangeResult = field(
        default_factory=lambda: ChangeResult(ChangeStatus.UNAVAILABLE)
    )

    def settle(self, result: ChangeResult) -> None:
        """Tell whoever waits how the change ended."""
        self.result = result
        self.done.set()


class ClaimWriter:
    """Write claims in batches, a bucket at a time, and read them."""

    def __init__(
        self,
        store: KeyValueStore,
        *,
        random: Random,
        window_s: Callable[[], float],
        clock: WallClock = time.time,
        interval_s: float = BATCH_INTERVAL_S,
        give_up_s: float = GIVE_UP_S,
    ) -> None:
        self._store = store
        self._window_s = window_s
        self._clock = clock
        self._buckets = [
            _BucketWriter(
                store,
                random=random,
                first_floor=self._get_oldest_slice,
                interval_s=interval_s,
                give_up_s=give_up_s,
            )
            for _ in range(BUCKET_COUNT)
        ]

    def start(self, nursery: trio.Nursery) -> None:
        """Run the writes in a nursery that outlives the requests."""
        for bucket in self._buckets:
            bucket.start(nursery)

    async def find(self, key: ClaimKey) -> Claim | None:
        """Return the claim of a key as the service has it; raise `KeyValueError`."""
        if self._buckets[key.bucket].failing:
            raise KeyValueUnavailable("the key-value service is out")
        item = await self._store.get(get_page_key(key.slice, key.bucket))
        return None if item is None else _parse(item).page.claims.get(key.key_hash)

    async def change(self, change: ClaimChange) -> ChangeResult:
        """Make a change with the next batch of its bucket."""
        return await self._buckets[change.key.bucket].change(change)

    async def sweep(self) -> None:
        """Delete pages of keys that are older than the window.

        The floor rises in the same transaction. A page is created only together with
        the floor as it was read; so an entry that was paused, or that knows a wider
        window, can't start a deleted page anew and run its keys once more.
        """
        floor = await _read_floor(self._store)
        oldest = min(self._get_oldest_slice(), floor.slice + SWEEP_SLICES)
        if floor.revision == ABSENT or oldest <= floor.slice:
            return
        swaps = [Swap(FLOOR_KEY, str(oldest).encode(), floor.revision)]
        for number in range(floor.slice, oldest):
            prefix = get_page_key(number, 0).rpartition("/")[0] + "/"
            pages = await self._store.get_prefix(prefix)
            swaps += [Swap(one.key, None, one.revision) for one in pages.items]
        await self._store.compare_and_swap(swaps)

    def _get_oldest_slice(self) -> int:
        return get_slice(self._clock() - self._window_s()) - 1


class _BucketWriter:
    def __init__(
        self,
        store: KeyValueStore,
        *,
        random: Random,
        first_floor: Callable[[], int],
        interval_s: float,
        give_up_s: float,
    ) -> None:
        self._store = store
        self._random = random
        self._first_floor = first_floor
        self._interval_s = interval_s
        self._give_up_s = give_up_s
        self._waiting: deque[_Waiting] = deque()
        self._failing_until: float | None = None
        self._writing = False
        self._cache: OrderedDict[str, _Stored] = OrderedDict()
        self._floor: _Floor | None = None
        self._filled = trio.Event()

    def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._write_batches)

    @property
    def failing(self) -> bool:
        """Tell whether the service was out a moment ago and is not tried now.

        Made for a service that takes every call and answers none. Without this each
        keyed request would wait for its timeout, and callers would wait behind them;
        one write at a time tries the service, all others are refused at once.
        """
        return self._failing_until is not None and (
            self._writing or trio.current_time() < self._failing_until
        )

    async def change(self, change: ClaimChange) -> ChangeResult:
        if self.failing:
            return ChangeResult(ChangeStatus.UNAVAILABLE)
        waiting = _Waiting(change)
        self._waiting.append(waiting)
        self._filled.set()
        await waiting.done.wait()
        return waiting.result

    async def _write_batches(self) -> None:
        while True:
            while not self._waiting:
                self._filled = trio.Event()
                await self._filled.wait()
            started_at = trio.current_time()
            batch = self._take_batch()
            self._writing = True
            await self._commit(batch)
            self._writing = False
            await trio.sleep_until(started_at + self._interval_s)

    def _take_batch(self) -> list[_Waiting]:
        batch: list[_Waiting] = []
        pages: set[int] = set()
        while self._waiting and len(pages) < MAX_PAGES_PER_WRITE:
            one = self._waiting.popleft()
            batch.append(one)
            pages.add(one.change.key.slice)
        return batch

    async def _commit(self, batch: list[_Waiting]) -> None:
        """Try until it is certain which claims are in the pages."""
        give_up_at = trio.current_time() + self._give_up_s
        backoff = Backoff(self._random, first_s=0.005, longest_s=0.5)
        uncertain = False
        while True:
            try:
                done = await self._try(batch)
            except KeyValueUnknown:
                # The write may have been carried out, or may still be. The next try
                # reads the pages back, finds the attempts there, or takes the revision
                # away from under the late write.
                uncertain = True
                self._forget()
            except (KeyValueError, ProtocolError):
                self._forget()
                if not uncertain:
                    return self._give_up(batch, ChangeStatus.UNAVAILABLE)
            else:
                self._failing_until = None
                if done:
                    return
                if trio.current_time() < give_up_at:
                    # Another entry wrote first, and its page came with the answer. To
                    # wait longer would lose the next race as well.
                    await trio.sleep(self._random.uniform(0, CONFLICT_DELAY_S))
                    continue
            if trio.current_time() >= give_up_at:
                status = ChangeStatus.UNKNOWN if uncertain else ChangeStatus.UNAVAILABLE
                return self._give_up(batch, status)
            await trio.sleep(backoff.get_next_delay())

    def _give_up(self, batch: list[_Waiting], status: ChangeStatus) -> None:
        self._failing_until = trio.current_time() + FAILING_S
        _settle(batch, status)

    async def _try(self, batch: list[_Waiting]) -> bool:
        pages = _group(batch)
        stored = {key: await self._load(key) for key in pages}
        if any(one.revision == ABSENT for one in stored.values()):
            floor = await self._load_floor()
            for key, group in list(pages.items()):
                if group[0].change.key.slice < floor.slice:
                    _settle(pages.pop(key), ChangeStatus.EXPIRED)
        changed = {
            key: stored[key].page.apply(one.change for one in group)
            for key, group in pages.items()
        }
        for key in [k for k, one in changed.items() if len(one.claims) > _MAX_CLAIMS]:
            _settle(pages.pop(key), ChangeStatus.UNAVAILABLE)
            del changed[key]
        swaps = self._make_swaps(stored, changed)
        if swaps:
            result = await self._store.compare_and_swap(swaps)
            if not isinstance(result, Swapped):
                self._take_current(swaps, result.current)
                return False
            self._take_written(swaps, changed, result.revision)
        for key, group in pages.items():
            for one in group:
                claim = changed[key].claims.get(one.change.key.key_hash)
                one.settle(ChangeResult(ChangeStatus.SEEN, claim))
        return True

    def _make_swaps(
        self, stored: Mapping[str, _Stored], changed: Mapping[str, ClaimPage]
    ) -> list[Swap]:
        swaps: list[Swap] = []
        creates = False
        for key, page in changed.items():
            if page != stored[key].page:
                swaps.append(Swap(key, encode_page(page), stored[key].revision))
                creates = creates or stored[key].revision == ABSENT
        if creates and self._floor is not None:
            floor = self._floor
            swaps.append(Swap(FLOOR_KEY, str(floor.slice).encode(), floor.revision))
        return swaps

    def _take_written(
        self, swaps: list[Swap], changed: Mapping[str, ClaimPage], revision: int
    ) -> None:
        for swap in swaps:
            if swap.key == FLOOR_KEY:
                self._floor = None
            else:
                self._keep(swap.key, _Stored(revision, changed[swap.key]))

    def _take_current(self, swaps: list[Swap], current: tuple[KeyValue, ...]) -> None:
        found = {item.key: item for item in current}
        self._floor = None
        for swap in swaps:
            item = found.get(swap.key)
            if swap.key == FLOOR_KEY:
                continue
            if item is None:
                self._keep(swap.key, _Stored(ABSENT, ClaimPage()))
            else:
                self._keep(swap.key, _parse(item))

    async def _load(self, key: str) -> _Stored:
        if key in self._cache:
            return self._cache[key]
        item = await self._store.get(key)
        stored = _Stored(ABSENT, ClaimPage()) if item is None else _parse(item)
        self._keep(key, stored)
        return stored

    async def _load_floor(self) -> _Floor:
        if self._floor is None:
            self._floor = await _read_floor(self._store)
            if self._floor.revision == ABSENT:
                self._floor = _Floor(ABSENT, self._first_floor())
        return self._floor

    def _keep(self, key: str, stored: _Stored) -> None:
        self._cache[key] = stored
        self._cache.move_to_end(key)
        while len(self._cache) > _MAX_CACHED_PAGES:
            self._cache.popitem(last=False)

    def _forget(self) -> None:
        self._cache.clear()
        self._floor = None


def _group(batch: list[_Waiting]) -> dict[str, list[_Waiting]]:
    pages: dict[str, list[_Waiting]] = {}
    for one in batch:
        if not one.done.is_set():
            key = get_page_key(one.change.key.slice, one.change.key.bucket)
            pages.setdefault(key, []).append(one)
    return pages


def _settle(batch: list[_Waiting], status: ChangeStatus) -> None:
    for one in batch:
        if not one.done.is_set():
            one.settle(ChangeResult(status))


async def _read_floor(store: KeyValueStore) -> _Floor:
    item = await store.get(FLOOR_KEY)
    return _Floor(ABSENT, 0) if item is None else _Floor(item.revision, int(item.value))


def _parse(item: KeyValue) -> _Stored:
    return _Stored(item.revision, decode_page(item.value))
