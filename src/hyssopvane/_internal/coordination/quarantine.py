"""Share crash suspects and quarantined bodies on a page of the key-value service."""

import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from random import Random

import trio

from hyssopvane._internal.coordination.key_value import (
    ABSENT,
    KeyValue,
    KeyValueStore,
    Swap,
    Swapped,
    get_value_prefix,
)
from hyssopvane._internal.exceptions import HyssopvaneError, KeyValueError
from hyssopvane._internal.policy.suspect_rules import (
    SuspectRules,
    choose_evicted,
    combine,
)
from hyssopvane._internal.policy.suspects import SuspectTracker
from hyssopvane._internal.protocol.suspect_pages import format_page, parse_page
from hyssopvane._internal.state.store_position import StorePosition
from hyssopvane._internal.state.suspects import SuspectId, SuspectRecord
from hyssopvane._internal.utils.backoff import Backoff
from hyssopvane._internal.utils.logs import log_event

PAGE_PREFIX = "quarantine/"
PAGE_KEY = "quarantine/page"
# A crash must be published before the caller's next try, which follows a backoff of at
# least tens of milliseconds. Nothing is written while nothing crashes.
FLUSH_INTERVAL_S = 0.02
# The page is also read at this interval because a watch may silently stop. 960 entries
# then cause 32 reads a second, of the 2000 that the service handles.
REFRESH_S = 30.0

SuspectRecords = Mapping[SuspectId, SuspectRecord]


class QuarantineSync:
    """Synchronize the suspect tracker of one entry with the shared page.

    Otherwise each entry would have to observe two crashes itself, and a caller that
    sends a body through all entries would crash two targets for each entry. During an
    outage of the service, each entry continues with the records that it has.
    """

    def __init__(
        self,
        store: KeyValueStore,
        tracker: SuspectTracker,
        *,
        random: Random,
        get_quarantine_s: Callable[[str], float],
        report: Callable[[HyssopvaneError], None],
        wall_clock: Callable[[], float] = time.time,
        refresh_s: float = REFRESH_S,
        flush_interval_s: float = FLUSH_INTERVAL_S,
        observe: Callable[[SuspectId], None] = lambda body: None,
        observe_page: Callable[[StorePosition], None] = lambda position: None,
        count: Callable[[str], None] = lambda event: None,
    ) -> None:
        self._store = store
        self._tracker = tracker
        self._random = random
        self._get_quarantine_s = get_quarantine_s
        self._report = report
        self._wall_clock = wall_clock
        self._refresh_s = refresh_s
        self._flush_interval_s = flush_interval_s
        self._observe = observe
        """Called with a body of which another entry reports further crashes."""
        self._observe_page = observe_page
        """Called with the position of each page that is read or written."""
        self._count = count
        """Called with the name of each event that operators may want to monitor."""
        self._can_read = False
        self._can_write = True
        self._has_loaded = False
        self._position = StorePosition(0, ABSENT)
        self._prefix = b""
        """First bytes of the page at this position."""
        self._shared: SuspectRecords = {}
        self._replace_from = 0.0
        """Time from which on a page that can't be decoded is replaced at once."""

    @property
    def is_connected(self) -> bool:
        """Return whether the last read and the last write of the page succeeded."""
        return self._can_read and self._can_write

    @property
    def has_loaded(self) -> bool:
        """Return whether the page was read since the start."""
        return self._has_loaded

    async def run(self) -> None:
        """Read and write the page until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_page)
            nursery.start_soon(self._flush_changes)

    async def _follow_page(self) -> None:
        backoff = Backoff(self._random)
        while True:
            try:
                await self._load_and_watch()
                backoff.reset()
            except KeyValueError as error:
                self._can_read = False
                self._report(error)
            await trio.sleep(backoff.get_next_delay())

    async def _load_and_watch(self) -> None:
        snapshot = await self._store.get_prefix(PAGE_PREFIX)
        self._handle_era_change(snapshot.era)
        for item in snapshot.items:
            self._accept(item)
        self._can_read = self._has_loaded = True
        start, era = snapshot.revision + 1, snapshot.era
        async with self._store.watch(PAGE_PREFIX, start, era=era) as events:
            with trio.move_on_after(self._refresh_s * self._random.uniform(0.8, 1.2)):
                async for event in events:
                    if event.value is not None:
                        self._accept(
                            KeyValue(event.key, event.value, event.revision, event.era)
                        )
                    elif event.key == PAGE_KEY:
                        self._share_again()

    async def _flush_changes(self) -> None:
        backoff = Backoff(self._random, first_s=0.02)
        while True:
            # All entries that lost connections to one replica would write at once.
            jitter = self._random.uniform(0.5, 1.5)
            await trio.sleep(self._flush_interval_s * jitter)
            changes = self._tracker.take_changes()
            if not changes:
                continue
            try:
                await self._write(changes)
                self._can_write = True
                backoff.reset()
            except KeyValueError as error:
                self._can_write = False
                self._report(error)
                await trio.sleep(backoff.get_next_delay())

    async def _write(self, bodies: frozenset[SuspectId]) -> None:
        """Write changed records; they remain changed if that fails."""
        unshared = set(bodies)
        try:
            await self._write_page(unshared)
        except KeyValueError:
            # A write whose reply was lost is repeated. Adding the same crash or
            # removing the same record twice changes nothing.
            self._tracker.return_changes(unshared)
            raise

    async def _write_page(self, bodies: set[SuspectId]) -> None:
        """Write records, and those that must be shared again after a restore."""
        while True:
            if self._store.era > self._position.era:
                # The store assigns revisions of earlier eras again to other values.
                await self._read_page()
                bodies |= self._tracker.take_changes()
            changes = {body: self._tracker.get_record(body) for body in bodies}
            records = _merge_changes(
                self._shared,
                changes,
                rules=self._tracker.rules,
                max_records=self._tracker.max_records,
                now=trio.current_time(),
            )
            if records == self._shared:
                return
            content = format_page(records, offset=self._get_offset())
            swap = Swap(
                PAGE_KEY, content, self._position.revision, expected_prefix=self._prefix
            )
            result = await self._store.compare_and_swap([swap])
            if isinstance(result, Swapped):
                position = StorePosition(result.era, result.revision)
                # The watch may have brought a later page before this answer.
                if position > self._position:
                    self._adopt_page(position, content, records, source="own")
                return
            # The answer contains the current page, also after the service was restored
            # from a copy.
            self._handle_era_change(result.era)
            self._record_page(StorePosition(result.era, ABSENT))
            for item in result.current:
                self._accept(item)
            bodies |= self._tracker.take_changes()
            await trio.sleep(self._random.uniform(0.0, self._flush_interval_s))

    async def _read_page(self) -> None:
        item = await self._store.get(PAGE_KEY)
        self._handle_era_change(self._store.era)
        if item is not None:
            self._accept(item)

    def _handle_era_change(self, era: int) -> None:
        """Share records again that the service may have lost in a restore."""
        if era <= self._position.era:
            return
        self._share_again()
        self._record_page(StorePosition(era, ABSENT))

    def _share_again(self) -> None:
        """Write all records again, as the store has no page that holds them."""
        records = self._tracker.list_records(now=trio.current_time())
        self._tracker.return_changes(records)
        self._shared = {}

    def _record_page(self, position: StorePosition, value: bytes = b"") -> None:
        self._position = position
        self._prefix = get_value_prefix(value)

    def _accept(self, item: KeyValue) -> None:
        """Merge a newer page into the tracker."""
        if item.key != PAGE_KEY or item.position == self._position:
            return
        if item.position < self._position:
            self._record_dropped(item.position)
            return
        self._handle_era_change(item.era)
        now, offset = trio.current_time(), self._get_offset()
        try:
            records = parse_page(item.value, offset=offset)
        except ValueError as error:
            # The records of this entry remain valid, and replace the page.
            self._report(
                HyssopvaneError(
                    "the page of quarantined bodies can't be decoded",
                    context=f"{item.key} at revision {item.revision}: {error}",
                    hint="no action is needed unless this error repeats",
                )
            )
            self._record_page(item.position, item.value)
            if now >= self._replace_from:
                # Otherwise two releases would replace each other's pages all the time.
                self._replace_from = now + self._refresh_s
                self._share_again()
            return
        records = {
            body: self._limit_expiry(body, record, now)
            for body, record in records.items()
        }
        has_room = len(records) < self._tracker.max_records
        for body in self._shared.keys() - records.keys():
            self._tracker.handle_missing(body, has_room=has_room, now=now)
        for body, record in records.items():
            quarantine_s = self._get_quarantine_s(body.service)
            if self._tracker.merge(body, record, quarantine_s=quarantine_s, now=now):
                self._observe(body)
        self._adopt_page(item.position, item.value, records, source="store")

    def _adopt_page(
        self,
        position: StorePosition,
        value: bytes,
        records: SuspectRecords,
        *,
        source: str,
    ) -> None:
        self._shared = records
        self._record_page(position, value)
        self._observe_page(position)
        log_event(
            "info",
            "suspects-page",
            era=position.era,
            revision=position.revision,
            records=len(records),
            refused=sum(record.quarantined for record in records.values()),
            source=source,
        )

    def _record_dropped(self, position: StorePosition) -> None:
        self._count("suspects-page-dropped")
        log_event(
            "warning",
            "suspects-page-dropped",
            era=position.era,
            revision=position.revision,
            known_era=self._position.era,
            known_revision=self._position.revision,
        )

    def _limit_expiry(
        self, body: SuspectId, record: SuspectRecord, now: float
    ) -> SuspectRecord:
        """Return a record of the page with the expiry that it is believed to have."""
        known = self._shared.get(body)
        if known is not None and replace(record, until=known.until) == known:
            return known
        quarantine_s = self._get_quarantine_s(body.service)
        return self._tracker.limit_expiry(
            body, record, quarantine_s=quarantine_s, now=now
        )

    def _get_offset(self) -> float:
        """Return the offset from this process's clock to the wall clock, in seconds."""
        return self._wall_clock() - trio.current_time()


def _merge_changes(
    shared: SuspectRecords,
    changes: Mapping[SuspectId, SuspectRecord | None],
    *,
    rules: SuspectRules,
    max_records: int,
    now: float,
) -> dict[SuspectId, SuspectRecord]:
    records = {
        body: record
        for body, record in shared.items()
        if record.until + _get_probation_s(body, record, rules) > now
    }
    for body, record in changes.items():
        known = records.get(body)
        if record is None:
            if known is not None and not known.quarantined:
                del records[body]
        elif known is not None:
            records[body] = combine(known, record, rules.select(body))
        elif record.crashes:
            records[body] = record
    # The page must fit the maximum value size of the service.
    for body in choose_evicted(records, max_records):
        del records[body]
    return records


def _get_probation_s(
    body: SuspectId, record: SuspectRecord, rules: SuspectRules
) -> float:
    return rules.select(body).probation_s if record.quarantined else 0.0
