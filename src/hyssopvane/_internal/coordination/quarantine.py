"""Share crash suspects and quarantined bodies by one page of the key-value service."""

import json
import time
from collections.abc import Callable, Mapping
from random import Random

import trio

from hyssopvane._internal.coordination.key_value import (
    ABSENT,
    KeyValue,
    KeyValueStore,
    Swap,
    Swapped,
    take_prefix,
)
from hyssopvane._internal.exceptions import HyssopvaneError, KeyValueError
from hyssopvane._internal.policy.suspects import (
    MAX_RECORDS,
    BodyId,
    Crash,
    SuspectRecord,
    SuspectTracker,
    combine,
)
from hyssopvane._internal.state.store_position import StorePosition
from hyssopvane._internal.utils.backoff import Backoff

PAGE_PREFIX = "quarantine/"
PAGE_KEY = "quarantine/page"
# Word of a crash must be out before the caller's next try, which comes after a backoff
# of tens of milliseconds at the earliest. Nothing is written while nothing crashes.
_FLUSH_INTERVAL_S = 0.02
# A watch may go silent. 960 entries that ask once in this time add 32 reads a second
# to the two thousand that the service gives.
REFRESH_S = 30.0
_FORMAT = 1

SuspectRecords = Mapping[BodyId, SuspectRecord]


class QuarantineSync:
    """Keep one entry's suspect book and the shared page alike.

    Without it each entry would have to see two crashes for itself, and a caller that
    sends a body through every entry would crash two targets for each of them. While
    the service is out, each entry goes on with what it knows.
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
    ) -> None:
        self._store = store
        self._tracker = tracker
        self._random = random
        self._get_quarantine_s = get_quarantine_s
        self._report = report
        self._wall_clock = wall_clock
        self._refresh_s = refresh_s
        self._position = StorePosition(0, ABSENT)
        self._prefix = b""
        """First bytes of the page at the mark."""
        self._shared: SuspectRecords = {}

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
                self._report(error)
            await trio.sleep(backoff.get_next_delay())

    async def _load_and_watch(self) -> None:
        snapshot = await self._store.get_prefix(PAGE_PREFIX)
        self._follow_era(snapshot.era)
        for item in snapshot.items:
            self._accept(item)
        start, era = snapshot.revision + 1, snapshot.era
        async with self._store.watch(PAGE_PREFIX, start, era=era) as events:
            with trio.move_on_after(self._refresh_s * self._random.uniform(0.8, 1.2)):
                async for event in events:
                    if event.value is not None:
                        self._accept(
                            KeyValue(event.key, event.value, event.revision, event.era)
                        )

    async def _flush_changes(self) -> None:
        backoff = Backoff(self._random, first_s=0.02)
        while True:
            await trio.sleep(_FLUSH_INTERVAL_S)
            changes = self._tracker.take_changes()
            if not changes:
                continue
            try:
                await self._write(changes)
                backoff.reset()
            except KeyValueError as error:
                # A write whose reply was lost is sent again: to add the same crash or
                # to drop the same case twice changes nothing.
                self._tracker.return_changes(changes)
                self._report(error)
                await trio.sleep(backoff.get_next_delay())

    async def _write(self, bodies: frozenset[BodyId]) -> None:
        while True:
            changes = {body: self._tracker.get_record(body) for body in bodies}
            records = _merge_changes(self._shared, changes, now=trio.current_time())
            if records == self._shared:
                return
            content = format_page(records, offset=self._get_offset())
            swap = Swap(
                PAGE_KEY, content, self._position.revision, expected_prefix=self._prefix
            )
            result = await self._store.compare_and_swap([swap])
            if isinstance(result, Swapped):
                self._record_page(StorePosition(result.era, result.revision), content)
                self._shared = records
                return
            # The answer shows the page as it is, also after a return to an older one.
            self._follow_era(result.era)
            self._record_page(StorePosition(result.era, ABSENT))
            for item in result.current:
                self._accept(item)
            # What this entry shares again after a return goes with the next try.
            bodies |= self._tracker.take_changes()

    def _follow_era(self, era: int) -> None:
        """Share again what the service may have lost by coming back from a copy."""
        if era <= self._position.era:
            return
        if self._position.era:
            self._tracker.return_changes(self._shared)
            self._shared = {}
        self._record_page(StorePosition(era, ABSENT))

    def _record_page(self, position: StorePosition, value: bytes = b"") -> None:
        self._position = position
        self._prefix = take_prefix(value)

    def _accept(self, item: KeyValue) -> None:
        """Take over a newer page."""
        if item.key != PAGE_KEY or item.position <= self._position:
            return
        self._follow_era(item.era)
        now, offset = trio.current_time(), self._get_offset()
        try:
            records = parse_page(item.value, offset=offset)
        except ValueError as error:
            # What this entry knows stays in force; the next write replaces the page.
            self._report(
                HyssopvaneError(
                    "the page of quarantined bodies can't be read",
                    context=f"{item.key} at revision {item.revision}: {error}",
                    hint="nothing to do unless it comes again",
                )
            )
            self._record_page(item.position, item.value)
            return
        for body in self._shared.keys() - records.keys():
            self._tracker.drop(body)
        for body, record in records.items():
            quarantine_s = self._get_quarantine_s(body.service)
            self._tracker.merge(body, record, quarantine_s=quarantine_s, now=now)
        self._shared = records
        self._record_page(item.position, item.value)

    def _get_offset(self) -> float:
        """Return what turns clock values of this process into shared times."""
        return self._wall_clock() - trio.current_time()


def _merge_changes(
    shared: SuspectRecords,
    changes: Mapping[BodyId, SuspectRecord | None],
    *,
    now: float,
) -> dict[BodyId, SuspectRecord]:
    records = {body: record for body, record in shared.items() if record.until > now}
    for body, record in changes.items():
        known = records.get(body)
        if record is None:
            if known is not None and not known.quarantined:
                del records[body]
        else:
            records[body] = combine(known, record) if known else record
    # The page must stay within the service's value. Those that end soonest go first.
    kept = sorted(
        records, key=lambda body: (records[body].quarantined, records[body].until)
    )
    return {body: records[body] for body in kept[-MAX_RECORDS:]}


def format_page(records: SuspectRecords, *, offset: float) -> bytes:
    """Write cases as JSON, with times of the wall clock."""
    document = {
        "format": _FORMAT,
        "cases": [
            {
                "service": body.service,
                "digest": body.digest.hex(),
                "crashes": [
                    [crash.target, crash.incarnation, round(crash.at + offset, 3)]
                    for crash in record.crashes
                ],
                "quarantined": record.quarantined,
                "until": round(record.until + offset, 3),
            }
            for body, record in records.items()
        ],
    }
    return json.dumps(document, separators=(",", ":")).encode()


def parse_page(content: bytes, *, offset: float) -> dict[BodyId, SuspectRecord]:
    """Read cases; raise `ValueError` when the page is not one."""
    try:
        document = json.loads(content)
        if document["format"] != _FORMAT:
            raise ValueError(f"unknown format {document['format']}")
        return dict(_parse_record(one, offset) for one in document["cases"])
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"unreadable page: {error!r}") from error


def _parse_record(
    document: dict[str, object], offset: float
) -> tuple[BodyId, SuspectRecord]:
    crashes = document["crashes"]
    until = document["until"]
    if not isinstance(crashes, list) or not isinstance(until, int | float):
        raise TypeError("crashes or until")
    body = BodyId(str(document["service"]), bytes.fromhex(str(document["digest"])))
    return body, SuspectRecord(
        crashes=tuple(
            Crash(str(target), int(incarnation), float(at) - offset)
            for target, incarnation, at in crashes
        ),
        quarantined=bool(document["quarantined"]),
        until=until - offset,
    )
