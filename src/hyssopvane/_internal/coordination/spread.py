"""Distribute the table from watchers to all processes and detect missing pages."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from random import Random

import trio

from hyssopvane._internal.coordination.key_value import KeyValue, KeyValueStore
from hyssopvane._internal.coordination.page_delta import (
    PageChange,
    apply_change,
    make_change,
    make_full_change,
)
from hyssopvane._internal.coordination.spread_messages import (
    Beat,
    Pages,
    decode_beat,
    decode_pages,
    decode_question,
    encode_beat,
    encode_pages,
    encode_question,
)
from hyssopvane._internal.coordination.table_store import (
    ErrorReport,
    PageUpdate,
    TableReader,
    ignore_error,
)
from hyssopvane._internal.exceptions import (
    KeyValueError,
    PeerLost,
    ProtocolError,
)
from hyssopvane._internal.policy.watchers import Duties, plan_duties
from hyssopvane._internal.state.store_position import StorePosition
from hyssopvane._internal.state.table import Table

# Control traffic at the target size: 25,000 changes a day are 0.29 per second, and a
# zone has 69 entries. Encoded sizes in bytes: 312 for a changed row, 144 for a beat and
# 88 for the heartbeat of a link. Each adds 56 for frame, TCP and IP; the first two also
# need an acknowledgement of 52.
#   for each receiver    0.29 * 420 changes + 2 * 0.5 * 252 beats      = 0.37 KB/s
#   for each link        2 * 144 heartbeats                            = 0.29 KB/s
#   watcher              6 receivers, 8 links: 2.2 + 2.3               = 4.5 KB/s sent
#   inner entry          4 receivers, 6 links: 1.5 + 1.7               = 3.2 KB/s sent
#   other entry          2 senders, 2 links                            = 0.6 KB/s sent
#   agent                own rows of 680 on the few days that they change; heartbeats
#                        carry the revision without extra messages     = 0
# A watcher also receives each changed page from the service: 11 KB, or 15 KB in base64,
# which is 4.3 KB/s. Forwarding whole pages would need 4.3 KB/s for each receiver.
PAGES_TOPIC = "table/pages"
QUESTION_TOPIC = "table/ask"
BEAT_TOPIC = "table/beat"

BEAT_INTERVAL_S = 2.0
"""Interval between two beats of a watcher.

A beat reports whether the watcher is in contact with the service, and reaches every
entry of the zone. After three missing beats an entry assumes that both watchers are
lost. This uses half of the 12 s within which a change must be in force everywhere.
"""

WATCHER_TIMEOUT_S = 3 * BEAT_INTERVAL_S

FALLBACK_INTERVAL_S = 4.0
"""Mean interval between two reads of the service by an entry without watchers.

960 entries that all lost their watchers make 240 reads per second, an eighth of the
capacity of the service.
"""

CATCH_UP_DELAY_S = 0.5
"""Delay before a page is requested that a peer has; it may still arrive unrequested."""

QUERY_TIMEOUT_S = 2.0
START_TIMEOUT_S = 3.0
START_PEERS = 3
"""Peers that a process queries at its start; one of them may be starting as well."""

MAX_ANSWER_BYTES = 1024 * 1024
"""Maximum bytes of pages in one message, except that one page always fits.

A frame holds up to 4 MiB.
"""


class Neighbours(ABC):
    """Send questions and notices to other entries."""

    @abstractmethod
    async def ask(self, vm: str, topic: str, body: bytes) -> bytes:
        """Return the answer of an entry; raise `PeerLost` when there is none."""

    @abstractmethod
    async def notify(self, vm: str, topic: str, body: bytes) -> None:
        """Send a notice to an entry; raise `PeerLost` when it can't be reached."""


class TableSpread:
    """Keep the table of one entry up to date and forward its changes to peers."""

    def __init__(
        self,
        store: KeyValueStore,
        neighbours: Neighbours,
        *,
        own_vm: str,
        incarnation: int,
        random: Random,
        observe: Callable[[Table], None],
        report: ErrorReport = ignore_error,
        get_vms_digest: Callable[[], int] = lambda: 0,
        compare_vms: Callable[[int], None] = lambda digest: None,
    ) -> None:
        self._store = store
        self._get_vms_digest = get_vms_digest
        self._compare_vms = compare_vms
        self._neighbours = neighbours
        self._own_vm = own_vm
        self._incarnation = incarnation
        self._random = random
        self._observe = observe
        self._report = report
        self.reader = TableReader(
            store, random=random, report=report, observe=self._forward_changes
        )
        self._duties = Duties()
        self._duties_known = trio.Event()
        self._duties_changed = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._is_catching_up = False
        self._started = False
        self._watcher_seen_at = 0.0
        self._last_beats: dict[str, tuple[int, int]] = {}

    @property
    def table(self) -> Table:
        """Return the table in force."""
        return self.reader.table

    @property
    def watches(self) -> bool:
        """Return whether this entry watches the service for its zone."""
        return self._duties.watches

    def update_entries(self, zones: Mapping[str, str]) -> None:
        """Update the duties of this entry from the live entries and their zones."""
        duties = plan_duties(self._own_vm, zones)
        if duties != self._duties:
            self._duties = duties
            self._duties_changed.set()
            self._duties_changed = trio.Event()
        self._duties_known.set()

    async def run(self) -> None:
        """Load the newest available table, then follow its changes without end."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._start()
            nursery.start_soon(self._send_beats)
            while True:
                changed = self._duties_changed
                async with trio.open_nursery() as duty:
                    duty.start_soon(
                        self._watch if self.watches else self._poll_while_silent
                    )
                    await changed.wait()
                    duty.cancel_scope.cancel()

    async def _start(self) -> None:
        # A process that starts while the service is down, or that gets a stale read,
        # would serve an older table than the process that it replaces. Its peers have
        # the table, so service and peers are both queried before a table is in force.
        with trio.move_on_after(START_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_service)
                nursery.start_soon(self._catch_up_from_neighbours)
        self._started = True
        if self.table.revision:
            self._observe(self.table)

    async def _catch_up_from_neighbours(self) -> None:
        await self._duties_known.wait()
        neighbours = self._duties.neighbours
        # The peers are chosen at random. Otherwise the 69 entries of a zone that start
        # together would all load the whole table of 0.7 MB from its two watchers.
        chosen = self._random.sample(neighbours, min(START_PEERS, len(neighbours)))
        async with trio.open_nursery() as nursery:
            for vm in chosen:
                nursery.start_soon(self._catch_up, vm)

    async def _read_service(self) -> None:
        try:
            await self.reader.refresh()
        except KeyValueError as error:
            self._report(error)

    async def _watch(self) -> None:
        sender, receiver = trio.open_memory_channel[Table](1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.reader.follow, sender)
            async for _ in receiver:
                pass

    async def _poll_while_silent(self) -> None:
        # Both watchers of a zone may fail at once, or lose contact with the service.
        # Without this fallback the entries would keep an old limit for good, and only
        # the customer with that limit would notice.
        self._watcher_seen_at = trio.current_time()
        while True:
            await trio.sleep(FALLBACK_INTERVAL_S * self._random.uniform(0.5, 1.5))
            if trio.current_time() - self._watcher_seen_at > WATCHER_TIMEOUT_S:
                await self._read_service()
                await self._catch_up_from_any_neighbour()

    async def _catch_up_from_any_neighbour(self) -> None:
        # When the service is down as well, a peer may have the missing pages. All
        # entries query then, so each picks a random peer: 68 questions to the same two
        # peers would be four times the traffic budget of these.
        if self._duties.neighbours:
            await self._catch_up(self._random.choice(self._duties.neighbours))

    async def _send_beats(self) -> None:
        sequence = 0
        while True:
            await trio.sleep(BEAT_INTERVAL_S)
            if self.watches:
                sequence += 1
                self._send_beat(self._make_beat(sequence))

    def _make_beat(self, sequence: int) -> Beat:
        silence_s = trio.current_time() - self.reader.last_contact_at
        return Beat(
            self._own_vm,
            self._incarnation,
            sequence,
            self.table.revision,
            self.reader.digest,
            in_touch=silence_s <= self.reader.refresh_s + BEAT_INTERVAL_S,
            vms_digest=self._get_vms_digest(),
            era=self.table.era,
        )

    def _send_beat(self, beat: Beat) -> None:
        self.send_to_receivers(BEAT_TOPIC, encode_beat(beat))

    def receive_beat(self, vm: str, body: bytes) -> None:
        """Record a beat of a watcher, and forward it within the zone of the watcher."""
        try:
            beat = decode_beat(body)
        except ProtocolError as error:
            self._report(error)
            return
        self.compare(vm, beat.position, beat.digest)
        last = self._last_beats.get(beat.origin)
        if last is not None and last[0] == beat.incarnation:
            if beat.sequence <= last[1]:
                return
        self._last_beats[beat.origin] = (beat.incarnation, beat.sequence)
        if beat.origin not in self._duties.members:
            return
        self._compare_vms(beat.vms_digest)
        if beat.in_touch:
            self._watcher_seen_at = trio.current_time()
        own = replace(
            beat,
            revision=self.table.revision,
            digest=self.reader.digest,
            vms_digest=self._get_vms_digest(),
            era=self.table.era,
        )
        self._send_beat(own)

    def receive_pages(self, vm: str, body: bytes) -> None:
        """Apply changes from a peer, and request pages of which a change is missing."""
        try:
            changes = decode_pages(body).changes
            if not self._apply(changes):
                self._start_catch_up(vm)
        except ProtocolError as error:
            self._report(error)

    async def answer_question(self, body: bytes) -> bytes:
        """Return the pages that a peer lacks, as many as fit into one message."""
        try:
            held = decode_question(body)
        except ProtocolError as error:
            self._report(error)
            return b""
        newer = [
            item
            for item in self.reader.get_pages()
            if item.revision > held.get((item.key, item.era), 0)
        ]
        chosen = _limit_size(sorted(newer, key=lambda item: item.position))
        changes = tuple(make_full_change(item) for item in chosen)
        return encode_pages(Pages(changes, more=len(chosen) < len(newer)))

    def compare(
        self, vm: str, position: StorePosition, digest: int | None = None
    ) -> None:
        """Request missing pages from a peer unless they arrive after a short delay.

        The position alone reveals neither a missing page that is older than the newest
        one, nor a page that the service has lost. The digest reveals both.
        """
        if position.era > self.table.era:
            self._store.end_watches(position.era)
        if self._is_behind(position, digest) and self._nursery is not None:
            self._nursery.start_soon(self._catch_up_if_behind, vm, position, digest)

    def _is_behind(self, position: StorePosition, digest: int | None) -> bool:
        if position != self.table.position:
            return position > self.table.position
        return digest is not None and digest != self.reader.digest

    async def _catch_up_if_behind(
        self, vm: str, position: StorePosition, digest: int | None
    ) -> None:
        if self._is_catching_up:
            return
        self._is_catching_up = True
        try:
            await trio.sleep(CATCH_UP_DELAY_S)
            if self._is_behind(position, digest):
                await self._catch_up(vm)
        finally:
            self._is_catching_up = False

    def _start_catch_up(self, vm: str) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._catch_up, vm)

    async def _catch_up(self, vm: str) -> None:
        more = True
        try:
            with trio.move_on_after(QUERY_TIMEOUT_S):
                while more:
                    question = encode_question(self.reader.get_held_positions())
                    answer = await self._neighbours.ask(vm, QUESTION_TOPIC, question)
                    if not answer:
                        return
                    pages = decode_pages(answer)
                    # When nothing new can be applied, the same question would get the
                    # same answer again.
                    more = self._apply(pages.changes) and pages.more
        except (PeerLost, ProtocolError) as error:
            self._report(error)

    def _apply(self, changes: Sequence[PageChange]) -> bool:
        """Apply newer changes; return False when the base of a change is missing."""
        items: list[KeyValue] = []
        whole = True
        for change in changes:
            before = self.reader.get_page(change.key, change.era)
            if before is not None and change.revision <= before.revision:
                continue
            item = apply_change(before, change)
            if item is None:
                whole = False
            else:
                items.append(item)
        self.reader.accept(items)
        return whole

    def _forward_changes(self, updates: Sequence[PageUpdate]) -> None:
        changes = tuple(make_change(update.before, update.after) for update in updates)
        for message in _split_changes(changes):
            self.send_to_receivers(PAGES_TOPIC, encode_pages(Pages(message)))
        if self._started:
            self._observe(self.table)

    def send_to_receivers(self, topic: str, body: bytes) -> None:
        """Send a notice to the entries that this one forwards changes to."""
        if self._nursery is not None:
            for vm in self._duties.receivers:
                self._nursery.start_soon(self._notify, vm, topic, body)

    async def _notify(self, vm: str, topic: str, body: bytes) -> None:
        try:
            await self._neighbours.notify(vm, topic, body)
        except PeerLost:
            # The beats of the other watcher show the entry which pages it lacks.
            return


def _limit_size(items: Sequence[KeyValue]) -> list[KeyValue]:
    size = 0
    chosen: list[KeyValue] = []
    for item in items:
        size += len(item.value)
        if chosen and size > MAX_ANSWER_BYTES:
            break
        chosen.append(item)
    return chosen


def _split_changes(changes: Sequence[PageChange]) -> list[tuple[PageChange, ...]]:
    """Split changes into messages that fit into a frame."""
    messages: list[tuple[PageChange, ...]] = []
    size = MAX_ANSWER_BYTES
    for change in changes:
        size += len(change.content)
        if size > MAX_ANSWER_BYTES:
            messages.append(())
            size = len(change.content)
        messages[-1] = (*messages[-1], change)
    return messages
