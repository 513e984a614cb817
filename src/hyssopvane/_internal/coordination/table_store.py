"""Commit edits of the table to the key-value service, and follow its changes."""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

import trio
import xxhash

from hyssopvane._internal.coordination.key_value import (
    ABSENT,
    Check,
    KeyValue,
    KeyValueStore,
    Swap,
    Swapped,
    WatchEvent,
)
from hyssopvane._internal.coordination.lost_edits import merge_versions
from hyssopvane._internal.coordination.table_edit import (
    EditBase,
    Pages,
    TableEdit,
    apply_edit,
    check_edit,
    make_base,
    renumber_edit,
)
from hyssopvane._internal.coordination.table_pages import (
    PAGE_COUNT,
    PAGE_PREFIX,
    Page,
    ParsedPage,
    build_parsed_page,
    build_table,
    format_page,
    get_page_key,
    parse_page,
    read_page_prefix,
)
from hyssopvane._internal.exceptions import (
    HyssopvaneError,
    KeyValueError,
    KeyValueUnavailable,
    KeyValueUnknown,
    TableError,
)
from hyssopvane._internal.state.store_position import StorePosition
from hyssopvane._internal.state.table import Table, check_references
from hyssopvane._internal.utils.backoff import Backoff

GIVE_UP_S = 15.0
"""Time limit for committing an edit; most of it is for reading back lost replies."""

REFRESH_S = 5.0
"""Time without changes after which a reader checks that its watch still works.

A watch on a dead connection looks like a table without edits, so an edit would never
come into force here. A change must be in force everywhere within 12 s; one such check
and its timeout must fit into that.
"""

MAX_TRANSACTION_BYTES = 1_400_000
"""Maximum size of all pages in a transaction; etcd's 1.5 MiB includes overhead."""

ErrorReport = Callable[[HyssopvaneError], None]


@dataclass(frozen=True, slots=True)
class EditAccepted:
    """Report that an edit is committed."""

    table_revision: int
    """Revision of the table that contains the edit."""


@dataclass(frozen=True, slots=True)
class _PagesRead:
    """Hold pages that were read together, with their revisions."""

    pages: Pages
    revisions: Mapping[str, int]
    prefixes: Mapping[str, bytes]
    """First bytes of each page that exists, up to its rows."""
    era: int

    def find_edit(self, keys: set[str], edit_id: str) -> int | None:
        """Return the revision of a page that lists the edit, or None."""
        for key in keys:
            if edit_id in self.pages[key].recent_edits:
                return self.revisions[key]
        return None


class TableEditor:
    """Commit edits by compare-and-swap."""

    def __init__(
        self, store: KeyValueStore, *, random: Random, give_up_s: float = GIVE_UP_S
    ) -> None:
        self._store = store
        self._random = random
        self._give_up_s = give_up_s

    async def commit(self, edit: TableEdit) -> EditAccepted:
        """Apply an edit exactly once, or raise an error.

        Raise `TableError` for an invalid edit, `EditConflict` when another operator
        changed the cell first, `KeyValueUnavailable` when the service is unavailable
        and nothing was changed, and `KeyValueUnknown` when the outcome is unknown.
        """
        check_edit(edit)
        return await _Commit(self._store, edit, self._random).run(self._give_up_s)


class _Commit:
    """Retry one edit until its outcome is certain or the time limit is reached."""

    def __init__(self, store: KeyValueStore, edit: TableEdit, random: Random) -> None:
        self._store = store
        self._edit = edit
        self._backoff = Backoff(random, first_s=0.02, longest_s=1.0)
        self._keys = {get_page_key(row) for row in edit.get_rows()}
        self._base: EditBase | None = None
        self._seen: dict[str, KeyValue] = {}
        self._sent_in_era: int | None = None
        """Era of the service in which the last write was prepared."""
        self._lost_reply: KeyValueUnknown | None = None

    async def run(self, give_up_s: float) -> EditAccepted:
        deadline = trio.current_time() + give_up_s
        while True:
            try:
                accepted = await self._try()
            except KeyValueUnknown as error:
                # The write may have been applied. In that case the next attempt finds
                # the id of the edit in the pages.
                self._lost_reply = error
            except KeyValueError as error:
                if self._lost_reply is None:
                    raise
                if not isinstance(error, KeyValueUnavailable):
                    raise self._make_unknown() from error
            else:
                if accepted is not None:
                    return accepted
            if trio.current_time() >= deadline:
                raise self._make_timeout_error()
            await trio.sleep(self._backoff.get_next_delay())

    async def _try(self) -> EditAccepted | None:
        read = await self._read_pages()
        found = read.find_edit(self._keys, self._edit.edit_id)
        if found is not None:
            if self._sent_in_era in {None, read.era}:
                return EditAccepted(found)
            return await self._swap(
                read, renumber_edit(self._edit, read.pages, read.era)
            )
        if self._base is None:
            self._base = make_base(self._edit, read.pages)
        changed = apply_edit(self._edit, read.pages, self._base, era=read.era)
        if self._edit.needs_whole_table():
            _check_whole_table(read, changed)
        return await self._swap(read, changed)

    async def _swap(
        self, read: _PagesRead, changed: Mapping[str, Page]
    ) -> EditAccepted | None:
        swaps = [
            Swap(
                key,
                format_page(page),
                read.revisions[key],
                expected_prefix=read.prefixes.get(key, b""),
            )
            for key, page in sorted(changed.items())
        ]
        _check_size(swaps)
        self._sent_in_era = read.era
        result = await self._store.compare_and_swap(
            swaps, checks=self._make_checks(read, changed)
        )
        if isinstance(result, Swapped):
            return EditAccepted(result.revision)
        self._record_seen(result.current)
        return None

    def _make_checks(
        self, read: _PagesRead, changed: Mapping[str, Page]
    ) -> list[Check]:
        # Two edits of different pages can be valid alone but not together: one removes
        # a service while the other assigns a target to it, and the target would get no
        # work. With these checks the second write fails on a changed page. The checks
        # also stop a delayed write whose reply was lost and whose edit has been refused
        # since, so a refusal is final.
        if not self._edit.needs_whole_table():
            return []
        others = sorted(read.revisions.keys() - changed.keys())
        return [
            Check(key, read.revisions[key], read.prefixes.get(key, b""))
            for key in others
        ]

    async def _read_pages(self) -> _PagesRead:
        while True:
            before = self._store.era
            await self._load_pages()
            era = self._store.era
            if before in {0, era}:
                break
            # Positions from before a restore can't be compared with current pages.
            self._seen.clear()
        keys = {*_get_page_keys(), *self._keys}
        seen = self._seen
        return _PagesRead(
            {key: parse_page(seen[key]) if key in seen else Page() for key in keys},
            {key: seen[key].revision if key in seen else ABSENT for key in keys},
            {key: read_page_prefix(item.value) for key, item in seen.items()},
            era,
        )

    async def _load_pages(self) -> None:
        if self._edit.needs_whole_table():
            self._record_seen((await self._store.get_prefix(PAGE_PREFIX)).items)
            return
        for key in sorted(self._keys):
            item = await self._store.get(key)
            self._record_seen([item] if item else [])

    def _record_seen(self, items: Sequence[KeyValue]) -> None:
        # A stale read must not replace a newer page that a failed swap returned.
        for item in items:
            known = self._seen.get(item.key)
            if known is None or item.position > known.position:
                self._seen[item.key] = item

    def _make_timeout_error(self) -> HyssopvaneError:
        if self._lost_reply is not None:
            return self._make_unknown()
        return TableError(
            "too many operators edit this part of the table at the same time",
            hint="nothing was changed; try again",
        )

    def _make_unknown(self) -> KeyValueUnknown:
        return KeyValueUnknown(
            "the reply to the edit was lost, and the table can't be read back to see "
            "whether the edit was applied",
            context=f"edit id {self._edit.edit_id}",
            hint=f"run the same command again with {self._describe_repeat()}: "
            "it is not applied twice",
        )

    def _describe_repeat(self) -> str:
        """Return the options that make it safe to run the command again.

        A page drops an edit's id after some further edits. The expected revision then
        still prevents the edit from overwriting the value of another operator.
        """
        options = f"--edit-id {self._edit.edit_id}"
        if self._base is not None and len(self._base.cells) == 1:
            (revision,) = self._base.cells.values()
            options += f" --expect {revision}"
        return options


def _get_page_keys() -> list[str]:
    return [f"{PAGE_PREFIX}{number:02d}" for number in range(PAGE_COUNT)]


def _check_size(swaps: list[Swap]) -> None:
    size = sum(len(swap.value or b"") for swap in swaps)
    if size > MAX_TRANSACTION_BYTES:
        raise TableError(
            f"the edit is too large for one transaction: {size} bytes",
            context=f"the key-value service accepts at most {MAX_TRANSACTION_BYTES}",
            hint="import fewer rows at a time; nothing was changed",
        )


def _check_whole_table(read: _PagesRead, changed: Mapping[str, Page]) -> None:
    pages = {**read.pages, **changed}
    parsed = [build_parsed_page(page, ABSENT) for page in pages.values()]
    check_references(build_table(parsed))


def ignore_error(error: HyssopvaneError) -> None:
    """Ignore an error; the default for callers without error reports."""


@dataclass(frozen=True, slots=True)
class PageUpdate:
    """Hold a page that came into force, and the version before it in the same era."""

    before: KeyValue | None
    after: KeyValue


PagesObserver = Callable[[Sequence[PageUpdate]], None]


def ignore_pages(updates: Sequence[PageUpdate]) -> None:
    """Ignore updated pages; the default for readers without an observer."""


class TableReader:
    """Read the table and follow its changes, without reverting to an older page."""

    def __init__(
        self,
        store: KeyValueStore,
        *,
        random: Random,
        report: ErrorReport = ignore_error,
        refresh_s: float = REFRESH_S,
        observe: PagesObserver = ignore_pages,
    ) -> None:
        self._store = store
        self._backoff = Backoff(random)
        self._report = report
        self.refresh_s = refresh_s
        self._observe = observe
        self._pages: dict[str, ParsedPage] = {}
        self._versions: dict[str, dict[int, KeyValue]] = {}
        """Last version of each page by the era of the service.

        Versions of earlier eras are kept while they have edits that the service lost.
        """
        self._read_position = StorePosition(0, 0)
        self.last_contact_at = -math.inf
        """Clock time in seconds of the last answer or event of the service."""
        self.digest = 0
        """Hash of the positions of all page versions that are held."""
        self.table = Table()
        """Last accepted table; it stays in force while the service is down."""

    async def load(self) -> Table:
        """Read the table from the service and return it; raise `KeyValueError`."""
        await self._load()
        return self.table

    async def follow(self, send: trio.MemorySendChannel[Table]) -> None:
        """Send the table and each later version of it, without end."""
        while True:
            try:
                await self._load_and_watch(send)
            except KeyValueError as error:
                self._report(error)
            await trio.sleep(self._backoff.get_next_delay())

    async def _load_and_watch(self, send: trio.MemorySendChannel[Table]) -> None:
        if await self._load():
            await send.send(self.table)
        start, era = self._read_position.revision + 1, self._read_position.era
        async with self._store.watch(PAGE_PREFIX, start, era=era) as events:
            while True:
                items: list[KeyValue] | None = None
                with trio.move_on_after(self.refresh_s):
                    items = await _receive_items(events)
                if items is None:
                    if not await self.refresh():
                        self._backoff.reset()
                        continue
                    # The watch missed a change, so it no longer works.
                    await send.send(self.table)
                    return
                if not items:
                    # The back-off is not reset here. If watches end at once while reads
                    # work, every reader would load the table many times a second.
                    return
                self._backoff.reset()
                self._record_read(max(item.position for item in items))
                if self.accept(items):
                    await send.send(self.table)

    async def _load(self) -> bool:
        snapshot = await self._store.get_prefix(PAGE_PREFIX)
        self._record_read(snapshot.position)
        return self.accept(snapshot.items)

    async def refresh(self) -> bool:
        """Read pages that changed since the last read; raise `KeyValueError`.

        Return whether there were any.
        """
        # The read starts at the last read revision, not at that of the table. A peer
        # may have forwarded the newest page while an older change of another page is
        # still missing here. Starting at the table's revision would never read that
        # change, and a cell would be in force without one that was set before it.
        snapshot = await self._store.get_prefix(
            PAGE_PREFIX, min_revision=self._read_position.revision + 1
        )
        if snapshot.era != self._read_position.era and self._read_position.era:
            # The service was restored from a copy, where all revisions may be lower.
            await self._load()
            return True
        self._record_read(snapshot.position)
        self.accept(snapshot.items)
        return bool(snapshot.items)

    def _record_read(self, position: StorePosition) -> None:
        # A stale read has an earlier revision than one that was already read.
        self._read_position = max(self._read_position, position)
        self.last_contact_at = trio.current_time()

    def get_page(self, key: str, era: int) -> KeyValue | None:
        """Return the last version of a page in an era, or None."""
        return self._versions.get(key, {}).get(era)

    def get_revisions(self) -> dict[str, int]:
        """Return the revision of each page in force."""
        return {key: page.revision for key, page in self._pages.items()}

    def get_held_positions(self) -> dict[str, tuple[StorePosition, ...]]:
        """Return the positions of all versions held of each page, newest first."""
        return {
            key: tuple(
                sorted((item.position for item in versions.values()), reverse=True)
            )
            for key, versions in self._versions.items()
        }

    def get_pages(self, *, min_revision: int = 0) -> tuple[KeyValue, ...]:
        """Return the held versions from a revision on, to forward them to peers."""
        return tuple(
            item
            for versions in self._versions.values()
            for item in versions.values()
            if item.revision >= min_revision
        )

    def accept(self, items: Sequence[KeyValue]) -> bool:
        """Apply newer pages of the service or a peer; return whether there were any."""
        updates: list[PageUpdate] = []
        for item in items:
            known = self.get_page(item.key, item.era)
            # A stale read or a watch from an earlier revision returns older pages.
            # Applying one would restore a limit that an operator has replaced.
            if known is not None and item.revision <= known.revision:
                continue
            versions = {**self._versions.get(item.key, {}), item.era: item}
            try:
                kept, page = _merge(versions)
            except TableError as error:
                # An unreadable page must not block the other pages.
                self._report(error)
                continue
            if item.era not in kept:
                # Later versions already contain all of its edits.
                continue
            updates.append(PageUpdate(known, item))
            self._versions[item.key] = kept
            self._pages[item.key] = page
        if updates:
            self.table = build_table(self._pages.values())
            self.digest = _hash_positions(self.get_held_positions())
            self._observe(updates)
        return bool(updates)


def _merge(versions: Mapping[int, KeyValue]) -> tuple[dict[int, KeyValue], ParsedPage]:
    """Return the versions that are still needed and the merged page in force."""
    newest = versions[max(versions)]
    pages = {era: parse_page(item) for era, item in versions.items()}
    merged = merge_versions(pages)
    kept = dict(versions)
    for era in sorted(versions.keys() - {newest.era}):
        rest = {other: pages[other] for other in kept if other != era}
        if merge_versions(rest) == merged:
            del kept[era]
    return kept, build_parsed_page(merged, newest.revision, era=newest.era)


def _hash_positions(positions: Mapping[str, Sequence[StorePosition]]) -> int:
    text = ",".join(
        f"{key}={position.era}.{position.revision}"
        for key in sorted(positions)
        for position in positions[key]
    )
    return xxhash.xxh3_64_intdigest(text.encode())


async def _receive_items(
    events: trio.MemoryReceiveChannel[WatchEvent],
) -> list[KeyValue]:
    """Wait for changes and return all available ones, or none when the watch ended."""
    items: list[KeyValue] = []
    try:
        event = await events.receive()
        while True:
            # Pages are never deleted. If one disappears, its last state stays.
            if event.value is not None:
                items.append(
                    KeyValue(event.key, event.value, event.revision, event.era)
                )
            event = events.receive_nowait()
    except (trio.EndOfChannel, trio.WouldBlock):
        return items
