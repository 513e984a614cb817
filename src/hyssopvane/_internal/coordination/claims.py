"""Store the claims of idempotency keys in the key-value service."""

import time
from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from random import Random

import trio

from hyssopvane._internal.coordination.claim_fence import ClaimFence
from hyssopvane._internal.coordination.claim_pages import (
    ChangeResult,
    ChangeStatus,
    decode_page,
    encode_page,
    get_page_key,
    get_page_slice,
    read_page_prefix,
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
    restore_claims,
)
from hyssopvane._internal.utils.backoff import Backoff
from hyssopvane._internal.utils.logs import log_event

BATCH_INTERVAL_S = 0.04
"""Minimum seconds between two writes of one bucket.

It limits the eight buckets to 200 writes a second at any request rate; the service
handles several hundred a second in total. A claim in an idle bucket is written at once,
so only claims in a busy bucket wait.
"""

GIVE_UP_S = 4.0
"""Seconds after which a batch that is not confirmed is given up.

Until then a write whose answer was lost is read back.
"""

MAX_PAGES_PER_WRITE = 48
"""Maximum pages in one transaction; etcd accepts 128 changes.

When callers' clocks are off by a minute, the keys of one moment fall into about 16
slices. They still fit in one write.
"""

FLOOR_KEY = "claims/floor"
"""Key that holds the oldest slice whose pages have not been deleted."""

MAX_CONFLICT_DELAY_S = 0.01
"""Maximum delay in seconds after another entry wrote the page first."""

FAILURE_BACKOFF_S = 0.5
"""Seconds after a failed write during which the service is not tried again."""

SWEEP_SLICES = 6
"""Slices deleted at a time; more would not fit in one transaction."""

# At 24 bytes a claim, a page stays below the maximum value size of the service.
_MAX_CLAIMS_PER_PAGE = 40_000
_MAX_CACHED_PAGES = 64

_MAX_KNOWN_PAGES = 100
"""Pages kept to write them again if the service loses them; covers one key window."""

MAX_RESTORE_DELAY_S = 0.1
"""Maximum delay in seconds before a page is written again.

It spreads the writes of entries that detect a restore of the service at the same time.
"""

_WRITE_ID_BITS = 64

WallClock = Callable[[], float]


@dataclass(frozen=True, slots=True)
class _Stored:
    revision: int
    page: ClaimPage
    prefix: bytes = b""
    restored: bool = False
    """Whether the page includes claims that the service has lost."""


@dataclass(frozen=True, slots=True)
class _Floor:
    revision: int
    slice: int


@dataclass(eq=False, slots=True)
class _PendingChange:
    change: ClaimChange
    done: trio.Event = field(default_factory=trio.Event)
    result: ChangeResult = field(
        default_factory=lambda: ChangeResult(ChangeStatus.UNAVAILABLE)
    )

    def finish(self, result: ChangeResult) -> None:
        """Set the result and wake the waiting task."""
        self.result = result
        self.done.set()


class ClaimWriter:
    """Read claims and write them in batches, one batch per bucket at a time."""

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
        fence = ClaimFence(store, clock=clock)
        self._buckets = [
            _BucketWriter(
                store,
                fence=fence,
                random=random,
                get_initial_floor=self._get_oldest_slice,
                interval_s=interval_s,
                give_up_s=give_up_s,
            )
            for _ in range(BUCKET_COUNT)
        ]

    def start(self, nursery: trio.Nursery) -> None:
        """Start the writing tasks in a nursery that outlives the requests."""
        for bucket in self._buckets:
            bucket.start(nursery)

    async def find(self, key: ClaimKey) -> Claim | None:
        """Return the stored claim of a key; raise `KeyValueError`.

        Return a claim that the service has lost if this entry still knows it.
        """
        if self._buckets[key.bucket].is_failing:
            raise KeyValueUnavailable("the key-value service is out")
        page_key = get_page_key(key.slice, key.bucket)
        item = await self._store.get(page_key)
        claim = _decode_item(item).page.claims.get(key.key_hash)
        return claim or self._buckets[key.bucket].find_lost_claim(
            page_key, key.key_hash
        )

    async def change(self, change: ClaimChange) -> ChangeResult:
        """Write a change with the next batch of its bucket and return the result."""
        return await self._buckets[change.key.bucket].change(change)

    async def sweep(self) -> None:
        """Delete pages of keys that are older than the window.

        The same transaction raises the floor. A page is created only if the floor is
        unchanged since it was read. So an entry that was paused, or that has a wider
        window configured, can't create a deleted page again and run its keys twice.
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
        fence: ClaimFence,
        random: Random,
        get_initial_floor: Callable[[], int],
        interval_s: float,
        give_up_s: float,
    ) -> None:
        self._store = store
        self._fence = fence
        self._random = random
        self._get_initial_floor = get_initial_floor
        self._interval_s = interval_s
        self._give_up_s = give_up_s
        self._pending: deque[_PendingChange] = deque()
        self._retry_at: float | None = None
        self._writing = False
        self._cache: OrderedDict[str, _Stored] = OrderedDict()
        self._floor: _Floor | None = None
        self._has_pending = trio.Event()
        self._era = 0
        self._known_pages: OrderedDict[str, ClaimPage] = OrderedDict()
        """Pages as last written or read; kept during an outage of the service."""
        self._lost_pages: dict[str, ClaimPage] = {}
        """Pages from before a restore, until the service has their claims again."""

    def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._write_batches)
        nursery.start_soon(self._watch_era)

    @property
    def is_failing(self) -> bool:
        """Return whether the last write failed and other changes must not try now.

        It guards against a service that accepts every call and answers none. Otherwise
        each keyed request would wait for its timeout and callers would queue up. One
        write at a time tries the service; all other changes are refused at once.
        """
        return self._retry_at is not None and (
            self._writing or trio.current_time() < self._retry_at
        )

    async def change(self, change: ClaimChange) -> ChangeResult:
        if self.is_failing:
            return ChangeResult(ChangeStatus.UNAVAILABLE)
        pending = _PendingChange(change)
        self._pending.append(pending)
        self._has_pending.set()
        await pending.done.wait()
        return pending.result

    def find_lost_claim(self, page_key: str, key_hash: int) -> Claim | None:
        """Return a claim that the service has lost if this entry knows it."""
        self._handle_era_change()
        page = self._lost_pages.get(page_key)
        return None if page is None else page.claims.get(key_hash)

    async def _watch_era(self) -> None:
        while True:
            await self._store.wait_past_era(self._era)
            self._handle_era_change()
            is_done = False
            while not is_done:
                try:
                    is_done = await self._restore()
                except (KeyValueError, ProtocolError) as error:
                    log_event("warning", "claims-not-restored", why=error)
                    await trio.sleep(FAILURE_BACKOFF_S)

    async def _restore(self) -> bool:
        """Write lost claims of one page again; return whether none are left.

        The fence is written first, even if this entry has no lost claims, so that keys
        created after the fence can be claimed.
        """
        era = self._store.era
        fenced_slice = await self._fence.get_fenced_slice(era)
        if not self._lost_pages:
            return True
        await trio.sleep(self._random.uniform(0, MAX_RESTORE_DELAY_S))
        key = next(iter(self._lost_pages), "")
        if not key:
            return True
        stored = await self._load(key, fenced_slice)
        floor = await self._load_floor()
        if stored.revision == ABSENT and get_page_slice(key) < floor.slice:
            # No sweep deletes pages below the floor, so the page would stay forever.
            self._lost_pages.pop(key, None)
        elif stored.restored and self._store.era == era:
            swap = self._make_swap(key, stored, stored.page)
            result = await self._store.compare_and_swap([swap])
            if isinstance(result, Swapped):
                self._record_written([swap], {key: stored.page}, result.revision)
            else:
                self._record_current([swap], result.current)
        else:
            self._cache.pop(key, None)
        return not self._lost_pages

    def _handle_era_change(self) -> None:
        """Mark all known pages as lost when the service was restored from a copy."""
        if self._store.era == self._era:
            return
        if self._era:
            self._lost_pages.update(self._known_pages)
            self._known_pages.clear()
        self._era = self._store.era
        self._cache.clear()
        self._floor = None

    async def _write_batches(self) -> None:
        while True:
            while not self._pending:
                self._has_pending = trio.Event()
                await self._has_pending.wait()
            started_at = trio.current_time()
            batch = self._take_batch()
            self._writing = True
            await self._commit(batch)
            self._writing = False
            await trio.sleep_until(started_at + self._interval_s)

    def _take_batch(self) -> list[_PendingChange]:
        batch: list[_PendingChange] = []
        pages: set[int] = set()
        while self._pending and len(pages) < MAX_PAGES_PER_WRITE:
            one = self._pending.popleft()
            batch.append(one)
            pages.add(one.change.key.slice)
        return batch

    async def _commit(self, batch: list[_PendingChange]) -> None:
        """Retry a batch until its result is certain or the time is up."""
        give_up_at = trio.current_time() + self._give_up_s
        backoff = Backoff(self._random, first_s=0.005, longest_s=0.5)
        uncertain = False
        while True:
            try:
                done = await self._try_write(batch)
            except KeyValueUnknown:
                # The write may have been applied, or may still be. The next try reads
                # the pages back: it finds the attempts there, or its own write changes
                # the revision so that the late write fails.
                uncertain = True
                self._clear_cache()
            except (KeyValueError, ProtocolError):
                self._clear_cache()
                if not uncertain:
                    return self._give_up(batch, ChangeStatus.UNAVAILABLE)
            else:
                self._retry_at = None
                if done:
                    return
                if trio.current_time() < give_up_at:
                    # Another entry wrote first, and the answer contains its page. A
                    # longer delay would let another entry write first again.
                    await trio.sleep(self._random.uniform(0, MAX_CONFLICT_DELAY_S))
                    continue
            if trio.current_time() >= give_up_at:
                status = ChangeStatus.UNKNOWN if uncertain else ChangeStatus.UNAVAILABLE
                return self._give_up(batch, status)
            await trio.sleep(backoff.get_next_delay())

    def _give_up(self, batch: list[_PendingChange], status: ChangeStatus) -> None:
        self._retry_at = trio.current_time() + FAILURE_BACKOFF_S
        _finish(batch, status)

    async def _try_write(self, batch: list[_PendingChange]) -> bool:
        pages = _group_by_page(batch)
        era = self._store.era
        fenced_slice = await self._fence.get_fenced_slice(era)
        stored = {key: await self._load(key, fenced_slice) for key in pages}
        if self._store.era != era:
            return False
        for key, group in list(pages.items()):
            if group[0].change.key.slice <= fenced_slice:
                _finish_fenced(pages.pop(key), stored[key].page)
        if any(stored[key].revision == ABSENT for key in pages):
            floor = await self._load_floor()
            for key, group in list(pages.items()):
                if group[0].change.key.slice < floor.slice:
                    _finish(pages.pop(key), ChangeStatus.EXPIRED)
        changed = {
            key: stored[key].page.apply(one.change for one in group)
            for key, group in pages.items()
        }
        for key in [
            k for k, one in changed.items() if len(one.claims) > _MAX_CLAIMS_PER_PAGE
        ]:
            _finish(pages.pop(key), ChangeStatus.UNAVAILABLE)
            del changed[key]
        swaps = self._make_swaps(stored, changed)
        if swaps:
            if self._store.era != era:
                # Reading the floor revealed a restore of the service. The fence is of
                # the earlier era.
                return False
            result = await self._store.compare_and_swap(swaps)
            if not isinstance(result, Swapped):
                self._record_current(swaps, result.current)
                return False
            self._record_written(swaps, changed, result.revision)
        for key, group in pages.items():
            for one in group:
                claim = changed[key].claims.get(one.change.key.key_hash)
                one.finish(ChangeResult(ChangeStatus.KNOWN, claim))
        return True

    def _make_swaps(
        self, stored: Mapping[str, _Stored], changed: Mapping[str, ClaimPage]
    ) -> list[Swap]:
        swaps: list[Swap] = []
        creates = False
        for key, page in changed.items():
            if page != stored[key].page or stored[key].restored:
                swaps.append(self._make_swap(key, stored[key], page))
                creates = creates or stored[key].revision == ABSENT
        if creates and self._floor is not None:
            floor = self._floor
            swaps.append(Swap(FLOOR_KEY, str(floor.slice).encode(), floor.revision))
        return swaps

    def _make_swap(self, key: str, stored: _Stored, page: ClaimPage) -> Swap:
        write_id = self._random.getrandbits(_WRITE_ID_BITS) or 1
        value = encode_page(page, write_id=write_id)
        return Swap(key, value, stored.revision, expected_prefix=stored.prefix)

    def _record_written(
        self, swaps: list[Swap], changed: Mapping[str, ClaimPage], revision: int
    ) -> None:
        for swap in swaps:
            if swap.key == FLOOR_KEY:
                self._floor = None
            else:
                assert swap.value is not None
                self._lost_pages.pop(swap.key, None)
                prefix = read_page_prefix(swap.value)
                self._cache_page(swap.key, _Stored(revision, changed[swap.key], prefix))

    def _record_current(self, swaps: list[Swap], current: tuple[KeyValue, ...]) -> None:
        found = {item.key: item for item in current}
        self._floor = None
        for swap in swaps:
            if swap.key != FLOOR_KEY:
                self._cache_page(swap.key, _decode_item(found.get(swap.key)))

    async def _load(self, key: str, fenced_slice: int) -> _Stored:
        """Return a page, merged with its lost claims that this entry knows."""
        self._handle_era_change()
        if key not in self._cache:
            item = await self._store.get(key)
            self._handle_era_change()
            self._cache_page(key, _decode_item(item))
        stored = self._cache[key]
        lost = self._lost_pages.get(key)
        if lost is None:
            return stored
        page = restore_claims(
            stored.page, lost, prefer_lost=get_page_slice(key) <= fenced_slice
        )
        if page == stored.page:
            del self._lost_pages[key]
            return stored
        return replace(stored, page=page, restored=True)

    async def _load_floor(self) -> _Floor:
        if self._floor is None:
            self._floor = await _read_floor(self._store)
            if self._floor.revision == ABSENT:
                self._floor = _Floor(ABSENT, self._get_initial_floor())
        return self._floor

    def _cache_page(self, key: str, stored: _Stored) -> None:
        self._cache[key] = stored
        self._cache.move_to_end(key)
        while len(self._cache) > _MAX_CACHED_PAGES:
            self._cache.popitem(last=False)
        self._known_pages[key] = stored.page
        self._known_pages.move_to_end(key)
        while len(self._known_pages) > _MAX_KNOWN_PAGES:
            self._known_pages.popitem(last=False)

    def _clear_cache(self) -> None:
        self._handle_era_change()
        self._cache.clear()
        self._floor = None


def _group_by_page(batch: list[_PendingChange]) -> dict[str, list[_PendingChange]]:
    pages: dict[str, list[_PendingChange]] = {}
    for one in batch:
        if not one.done.is_set():
            key = get_page_key(one.change.key.slice, one.change.key.bucket)
            pages.setdefault(key, []).append(one)
    return pages


def _finish(batch: list[_PendingChange], status: ChangeStatus) -> None:
    for one in batch:
        if not one.done.is_set():
            one.finish(ChangeResult(status))


def _finish_fenced(batch: list[_PendingChange], page: ClaimPage) -> None:
    """Finish changes of keys that can no longer be claimed since a restore.

    A change can only join the attempt of another request. A claim with the change's own
    or expected attempt proves nothing: this entry may have written it before it
    detected the restore.
    """
    for one in batch:
        change = one.change
        claim = page.claims.get(change.key.key_hash)
        own = {change.claim.attempt, change.expected_attempt}
        if claim is None or claim.attempt in own:
            one.finish(ChangeResult(ChangeStatus.UNKNOWN))
        else:
            one.finish(ChangeResult(ChangeStatus.KNOWN, claim))


async def _read_floor(store: KeyValueStore) -> _Floor:
    item = await store.get(FLOOR_KEY)
    return _Floor(ABSENT, 0) if item is None else _Floor(item.revision, int(item.value))


def _decode_item(item: KeyValue | None) -> _Stored:
    if item is None:
        return _Stored(ABSENT, ClaimPage())
    value = item.value
    return _Stored(item.revision, decode_page(value), read_page_prefix(value))
