"""Access the platform's key-value service through etcd's JSON gateway."""

import json
import math
import time
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass

import httpcore
import trio

from hyssopvane._internal.coordination.etcd_messages import (
    JsonObject,
    ServiceHeader,
    encode_bytes,
    encode_text,
    get_range_end,
    make_transaction,
    parse_event,
    parse_header,
    parse_items,
    parse_revision,
    parse_transaction,
)
from hyssopvane._internal.coordination.key_value import (
    ABSENT,
    Check,
    KeyValue,
    KeyValueStore,
    Snapshot,
    Swap,
    SwapLost,
    Swapped,
    WatchEvent,
)
from hyssopvane._internal.coordination.service_era import (
    ERA_KEY,
    FIRST_ERA,
    NO_CLUSTER,
    EraRecord,
    ServiceEra,
    format_record,
    make_era,
    parse_record,
    plan_record,
)
from hyssopvane._internal.exceptions import (
    KeyValueError,
    KeyValueRefused,
    KeyValueUnavailable,
    KeyValueUnknown,
)
from hyssopvane._internal.utils.bounded_backend import (
    AnswerTooLarge,
    iterate_body,
    make_bounded_pool,
    read_body,
)
from hyssopvane._internal.utils.json_documents import (
    UnreadableDocument,
    parse_document,
    reading_document,
)
from hyssopvane._internal.utils.logs import log_event

DEFAULT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 32

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Largest answer, or line of a watch, that is read."""

MAX_COMPARED_KEYS = 64
"""Maximum keys of a transaction, since each may need two comparisons of its value."""

MIN_CHECK_INTERVAL_S = 30.0
"""Minimum interval between two writes that distinguish a stale read from a restore."""

WATCH_BUFFER = 4096
"""Events buffered for a slow reader; a slower one loses its watch and loads again."""

_NOT_CARRIED_OUT = frozenset(
    {
        "etcdserver: no leader",
        "etcdserver: not capable",
        "etcdserver: too many requests",
    }
)
"""Errors of the service that mean that a write was not started."""

_CANCELED = frozenset({408, 499})
"""Statuses of an aborted call; a write may have been applied."""

_NEVER_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)


@dataclass(frozen=True, slots=True)
class _CallStart:
    """Hold the era and the highest revision that were known when a call began."""

    record: EraRecord | None
    revision: int


@dataclass(frozen=True, slots=True)
class _FoundRecord:
    """Hold the record of an era as it was read, with the header of the answer."""

    header: ServiceHeader
    revision: int
    record: EraRecord | None


class EtcdKeyValueStore(KeyValueStore):
    """Call the key-value service at one address."""

    def __init__(
        self,
        address: str,
        *,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._address = address
        self._wall_clock = wall_clock
        self._timeout_s = timeout_s
        self._pool = make_bounded_pool(max_connections=MAX_CONNECTIONS)
        self._nursery: trio.Nursery | None = None
        self._era = ServiceEra()
        self._era_lock = trio.Lock()
        self._highest_revision = 0
        """Highest revision in an answer of the era."""
        self._is_recorded = False
        """Whether the record of the era is in the service, or none is needed."""
        self._checked_at = -math.inf
        self._watches: dict[trio.CancelScope, int] = {}
        """Cancel scopes of the watches and the eras in which they were opened."""

    @property
    def era(self) -> int:
        return self._era.era

    async def wait_past_era(self, era: int) -> None:
        await self._era.wait_past(era)

    async def start(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery

    async def close(self) -> None:
        await self._pool.aclose()

    async def get(self, key: str) -> KeyValue | None:
        answer, era = await self._read({"key": encode_text(key)})
        with self._parsing(KeyValueUnavailable):
            items = parse_items(answer, era)
        return items[0] if items else None

    async def get_prefix(self, prefix: str, *, min_revision: int = 0) -> Snapshot:
        request = {
            "key": encode_text(prefix),
            "range_end": encode_bytes(get_range_end(prefix.encode())),
            "min_mod_revision": str(min_revision),
        }
        answer, era = await self._read(request)
        with self._parsing(KeyValueUnavailable):
            return Snapshot(parse_revision(answer), parse_items(answer, era), era)

    async def compare_and_swap(
        self, swaps: Sequence[Swap], *, checks: Sequence[Check] = ()
    ) -> Swapped | SwapLost:
        first = [] if self._is_recorded else await self._list_first_record()
        if first and len(swaps) + len(checks) >= MAX_COMPARED_KEYS:
            await self.compare_and_swap([])
            first = []
        start = self._begin_call()
        transaction = make_transaction([*swaps, *first], checks)
        answer = await self._send_transaction(transaction)
        era = await self._process_header(answer, start, KeyValueUnknown, writes=True)
        with self._parsing(KeyValueUnknown):
            result = parse_transaction(answer, era)
        if isinstance(result, Swapped):
            self._is_recorded = self._is_recorded or bool(first)
            return result
        if any(item.key == ERA_KEY for item in result.current):
            # Another process has written the record first; the swaps may still hold.
            self._is_recorded = True
            return await self.compare_and_swap(swaps, checks=checks)
        return result

    async def grant_lease(self, ttl_s: int) -> int:
        answer = await self._call("/v3/lease/grant", {"TTL": str(ttl_s)}, writes=True)
        with self._parsing(KeyValueUnknown):
            return int(answer["ID"])

    async def keep_lease(self, lease: int) -> bool:
        request = {"ID": str(lease)}
        answer = await self._call("/v3/lease/keepalive", request, writes=True)
        with self._parsing(KeyValueUnknown):
            return int(answer["result"].get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        await self._call("/v3/lease/revoke", {"ID": str(lease)}, writes=True)

    def end_watches(self, era: int) -> None:
        self._era.record_era(era)
        self._cancel_watches(era)

    def _cancel_watches(self, era: int) -> None:
        for scope, began_in in self._watches.items():
            if 0 < began_in < era:
                scope.cancel()

    @asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int, *, era: int = 0
    ) -> AsyncIterator[trio.MemoryReceiveChannel[WatchEvent]]:
        send, receive = trio.open_memory_channel[WatchEvent](WATCH_BUFFER)
        request = {
            "create_request": {
                "key": encode_text(prefix),
                "range_end": encode_bytes(get_range_end(prefix.encode())),
                "start_revision": str(start_revision),
            }
        }
        if self._nursery is None:
            raise RuntimeError("start the store before opening a watch")
        scope = trio.CancelScope()
        self._watches[scope] = era
        self._nursery.start_soon(self._read_watch, request, send, scope, era)
        try:
            yield receive
        finally:
            del self._watches[scope]
            scope.cancel()

    async def _read_watch(
        self,
        request: JsonObject,
        send: trio.MemorySendChannel[WatchEvent],
        scope: trio.CancelScope,
        era: int,
    ) -> None:
        with scope, send:
            if era and era != self.era:
                return
            cluster = self._era.cluster
            try:
                async with self._pool.stream(
                    "POST",
                    f"http://{self._address}/v3/watch",
                    content=json.dumps(request).encode(),
                    extensions={"timeout": {"connect": self._timeout_s}},
                ) as response:
                    if response.status != 200:
                        return
                    async for line in _split_lines(iterate_body(response)):
                        if not _send_events(line, send, era=era, cluster=cluster):
                            return
            except (httpcore.NetworkError, httpcore.ProtocolError, AnswerTooLarge):
                # The end of the channel shows the reader that the watch has ended.
                return
            except httpcore.TimeoutException:
                return

    async def _read(self, request: JsonObject) -> tuple[JsonObject, int]:
        """Return the answer of a read and its era."""
        start = self._begin_call()
        answer = await self._call("/v3/kv/range", request)
        era = await self._process_header(
            answer, start, KeyValueUnavailable, writes=False
        )
        return answer, era

    def _begin_call(self) -> _CallStart:
        return _CallStart(self._era.record, self._highest_revision)

    async def _send_transaction(self, transaction: JsonObject) -> JsonObject:
        return await self._call("/v3/kv/txn", transaction, writes=True)

    async def _process_header(
        self,
        answer: JsonObject,
        start: _CallStart,
        lost: type[KeyValueError],
        *,
        writes: bool,
    ) -> int:
        """Return the era of an answer; raise if it dates from before a restore."""
        with self._parsing(lost):
            header = parse_header(answer)
        if header.cluster == NO_CLUSTER:
            return 0
        async with self._era_lock:
            try:
                await self._follow_era(header, start, writes=writes)
            except KeyValueError as error:
                raise self._make_error(lost, "did not report its era") from error
        if self._era.is_current(header.cluster) and self._is_certain(start, writes):
            self._highest_revision = max(self._highest_revision, header.revision)
            return self.era
        raise self._make_error(lost, "was restored from a copy during the call")

    def _is_certain(self, start: _CallStart, writes: bool) -> bool:
        """Return whether an answer of the current cluster is of the current era."""
        if start.record is None or start.record == self._era.record:
            return True
        # A write that was based on an earlier era must be read back.
        same_cluster = start.record.cluster == self._era.cluster
        return not writes and not same_cluster

    async def _follow_era(
        self, header: ServiceHeader, start: _CallStart, *, writes: bool
    ) -> None:
        if self._era.is_past(header.cluster):
            return
        if not self._era.is_current(header.cluster):
            await self._find_era(header)
        elif header.revision < start.revision and start.record == self._era.record:
            await self._check_for_restore(start.revision, is_certain=writes)

    async def _find_era(self, header: ServiceHeader) -> None:
        while not self._era.is_current(header.cluster):
            found = await self._read_record()
            header = found.header
            due = plan_record(
                found.record, header.cluster, self._era.record, now=self._wall_clock()
            )
            is_first = found.record is None and self._era.record is None
            if due == found.record or is_first:
                self._is_recorded = not is_first
                self._adopt(due, header.revision)
            elif await self._write_record(due, found.revision):
                self._adopt(due, header.revision)

    async def _list_first_record(self) -> list[Swap]:
        """Return the record of the first era if the service has none yet.

        It is written together with the first other write. Each copy with data of this
        system then contains the id of the cluster that it was taken from.
        """
        async with self._era_lock:
            try:
                found = await self._read_record()
            except KeyValueError as error:
                # The next write retries this.
                log_event("warning", "store-era-unrecorded", why=error)
                return []
        cluster = found.header.cluster
        if cluster == NO_CLUSTER or found.record is not None:
            self._is_recorded = True
            return []
        if self._era.record is not None and not self._era.is_current(cluster):
            return []
        record = self._era.record or EraRecord(FIRST_ERA, cluster)
        return [Swap(ERA_KEY, format_record(record), ABSENT)]

    async def _check_for_restore(self, highest: int, *, is_certain: bool) -> None:
        """Begin a new era if a lower revision than before is caused by a restore.

        A service may be restored from a copy with its old cluster id. A read may be
        stale but a write never is, so a write without a change decides.
        """
        known = self._era.record
        assert known is not None
        found = await self._read_record()
        if found.record is not None and found.record.era > known.era:
            self._adopt(found.record, found.header.revision)
            return
        if not is_certain and not await self._is_behind(highest, found):
            return
        found = await self._read_record()
        due = EraRecord(make_era(known.era, self._wall_clock()), known.cluster)
        if await self._write_record(due, found.revision):
            self._adopt(due, found.header.revision)

    async def _is_behind(self, highest: int, found: _FoundRecord) -> bool:
        now = trio.current_time()
        if found.record is None or now - self._checked_at < MIN_CHECK_INTERVAL_S:
            return False
        self._checked_at = now
        swap = Swap(ERA_KEY, format_record(found.record), found.revision)
        answer = await self._send_transaction(make_transaction([swap], []))
        with self._parsing(KeyValueUnknown):
            result = parse_transaction(answer, 0)
        return isinstance(result, Swapped) and result.revision <= highest

    def _adopt(self, record: EraRecord, revision: int) -> None:
        if record != self._era.record:
            self._highest_revision = revision
        self._era.adopt(record)
        self._cancel_watches(record.era)

    async def _read_record(self) -> _FoundRecord:
        answer = await self._call("/v3/kv/range", {"key": encode_text(ERA_KEY)})
        with self._parsing(KeyValueUnavailable):
            header = parse_header(answer)
            items = parse_items(answer, 0)
            if not items:
                return _FoundRecord(header, ABSENT, None)
            record = parse_record(items[0].value)
            return _FoundRecord(header, items[0].revision, record)

    async def _write_record(self, record: EraRecord, expected_revision: int) -> bool:
        """Write a record; return whether it was written to the cluster it names."""
        swap = Swap(ERA_KEY, format_record(record), expected_revision)
        answer = await self._send_transaction(make_transaction([swap], []))
        with self._parsing(KeyValueUnknown):
            header = parse_header(answer)
            swapped = isinstance(parse_transaction(answer, 0), Swapped)
        is_there = swapped and header.cluster == record.cluster
        self._is_recorded = self._is_recorded or is_there
        return is_there

    async def _call(
        self, path: str, request: JsonObject, *, writes: bool = False
    ) -> JsonObject:
        """Send one call; distinguish a call that was not applied from a lost answer."""
        lost = KeyValueUnknown if writes else KeyValueUnavailable
        try:
            with trio.fail_after(self._timeout_s):
                async with self._pool.stream(
                    "POST",
                    f"http://{self._address}{path}",
                    content=json.dumps(request).encode(),
                    # The shorter timeout distinguishes a failed connection from a
                    # write without an answer.
                    extensions={"timeout": {"connect": self._timeout_s / 2}},
                ) as response:
                    content = await read_body(response, max_bytes=MAX_ANSWER_BYTES)
        except _NEVER_SENT as error:
            raise self._make_error(KeyValueUnavailable, "can't be reached") from error
        except trio.TooSlowError as error:
            raise self._make_error(lost, "did not answer in time") from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise self._make_error(lost, "closed the connection") from error
        except AnswerTooLarge as error:
            raise self._make_error(lost, f"sent an unusable answer: {error}") from error
        return self._read_answer(response.status, content, lost)

    def _read_answer(
        self, status: int, content: bytes, lost: type[KeyValueError]
    ) -> JsonObject:
        try:
            answer: object = parse_document(content)
        except UnreadableDocument as error:
            raise self._make_error(lost, "did not answer in JSON") from error
        if status == 200 and isinstance(answer, dict):
            return answer
        message = str(answer.get("error", "")) if isinstance(answer, dict) else ""
        if message in _NOT_CARRIED_OUT:
            raise self._make_error(KeyValueUnavailable, f"is not ready: {message}")
        if 400 <= status < 500 and status not in _CANCELED:
            raise self._make_error(KeyValueRefused, f"rejected the call: {message}")
        raise self._make_error(lost, f"failed with status {status}: {message}")

    @contextmanager
    def _parsing(self, lost: type[KeyValueError]) -> Iterator[None]:
        try:
            with reading_document():
                yield
        except UnreadableDocument as error:
            raise self._make_error(lost, f"sent a malformed answer: {error}") from error

    def _make_error(self, kind: type[KeyValueError], problem: str) -> KeyValueError:
        return kind(
            f"the key-value service {problem}",
            context=self._address,
            hint=_HINTS[kind],
        )


_HINTS: dict[type[KeyValueError], str] = {
    KeyValueUnavailable: "nothing was changed; try again when the service answers",
    KeyValueUnknown: "read the value back before trying again",
    KeyValueRefused: "nothing was changed; correct the call",
}


def _send_events(
    line: bytes,
    send: trio.MemorySendChannel[WatchEvent],
    *,
    era: int,
    cluster: int,
) -> bool:
    """Send the events of one line; return False when the watch has ended.

    A line holds whole transactions. Its events are sent without a checkpoint, so a
    reader that empties the channel never sees a part of a transaction.
    """
    try:
        with reading_document():
            result = json.loads(line)["result"]
            if era and parse_header(result).cluster != cluster:
                return False
            events = [parse_event(event, era) for event in result.get("events", [])]
            canceled = bool(result.get("canceled", False))
    except UnreadableDocument:
        return False
    try:
        for event in events:
            send.send_nowait(event)
    except trio.WouldBlock:
        return False
    return not canceled


async def _split_lines(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    rest = bytearray()
    async for chunk in chunks:
        *lines, last = chunk.split(b"\n")
        for line in lines:
            rest += line
            if rest.strip():
                yield bytes(rest)
            rest.clear()
        rest += last
        if len(rest) > MAX_ANSWER_BYTES:
            raise AnswerTooLarge(f"a line exceeds {MAX_ANSWER_BYTES} bytes")
