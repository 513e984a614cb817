"""Implement the key-value store on the platform's metadata store."""

import base64
import json
from collections.abc import AsyncIterator, Iterator, Mapping, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any
from urllib.parse import urlencode

import trio

from hyssopvane._internal.coordination.key_value import (
    Check,
    KeyValue,
    KeyValueStore,
    Snapshot,
    Swap,
    SwapLost,
    Swapped,
    WatchEvent,
)
from hyssopvane._internal.exceptions import (
    KeyValueError,
    KeyValueRefused,
    KeyValueUnavailable,
    KeyValueUnknown,
)
from hyssopvane._internal.platform.late_answers import PendingCalls, read_first
from hyssopvane._internal.policy.store_watch import (
    MAX_PENDING_POLLS,
    WATCH_S,
    list_repeats,
)
from hyssopvane._internal.transport.replica_client import (
    PartLimit,
    ReplicaClient,
    ReplicaFailed,
    ReplicaUnreachable,
)
from hyssopvane._internal.utils.json_documents import (
    UnreadableDocument,
    parse_document,
    read_number,
    reading_document,
)
from hyssopvane._internal.utils.logs import log_event

CALL_TIMEOUT_S = 1.0
"""Timeout of a call: the store answers in 4 ms, and in 0.3 s when it is slow."""

EVACUATION_LAG_S = 1.0
"""Part of the time in which an evacuation takes effect that is not for the store's
answer: the pause of a watch, and the requests on their way to replicas.
"""

AGENT_WATCH_S = 20.0
"""Time that an agent's watch waits for a change before it polls again.

An agent may learn of changes later than an entry, and each call has a cost. The store
allows 30 s.
"""

WATCH_PAUSE_S = 0.4
"""Pause of a watch after it has received changes, before it polls again.

Replicas that start register one by one for some seconds. Without a pause, a watch makes
a call for each registration in each process, and calls have a cost. The pause is a
fifth of the two seconds in which an accepted change must take effect.
"""

AGENT_WATCH_PAUSE_S = 5.0
"""Pause of an agent's watch: agents need the store only to find each other."""

SUSPECTS_WATCH_S = 15.0
"""Time that the watch of crashing requests waits for a change; each call has a cost."""

SUSPECTS_WATCH_PAUSE_S = 0.05
"""Pause of that watch after a change: callers repeat a request within tenths of a
second.
"""

_MAX_BODY_BYTES = 16 * 1024 * 1024
_JSON = (b"content-type", b"application/json")
_HOST = (b"host", b"store")
_ERA_HEADER = b"store-era"
_MAX_ERA_DIGITS = 18
_MILLISECONDS = 1_000
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_HISTORY_GONE = 410
_BUSY = frozenset({429, 503})


class _HistoryGone(Exception):
    """Report that the store no longer has the changes since a revision."""


@dataclass(frozen=True, slots=True)
class _Answer:
    """Hold the status, the decoded body and the era of an answer."""

    status: int
    document: Any
    era: int


class PlatformStore(KeyValueStore):
    """Call the platform's store over one pool of connections."""

    def __init__(
        self,
        *,
        address: str,
        watch_s: float = WATCH_S,
        pause_s: float = WATCH_PAUSE_S,
        max_timeout_s: float = CALL_TIMEOUT_S,
        bounded_prefix: str = "",
    ) -> None:
        self._address = address
        self._timeout_s = CALL_TIMEOUT_S
        """Timeout of a read, beyond the time that a watch waits."""
        self._max_timeout_s = max(CALL_TIMEOUT_S, max_timeout_s)
        """Limit to which the timeout is doubled while reads are not answered."""
        self._bounded_prefix = bounded_prefix
        """Prefix whose late answers are used, as its changes must be known in time."""
        self.watch_s = watch_s
        self._pause_s = pause_s
        self._client = ReplicaClient()
        self._era = 0
        """Number of the store's restores from older copies; 0 until it sends one."""
        self._was_answered = False
        """Whether the era is that of an answer."""
        self._era_changed = trio.Event()
        self._pending_watches: dict[trio.CancelScope, int] = {}
        """Cancel scopes of the watches in progress, with their eras."""

    @property
    def era(self) -> int:
        return self._era

    async def wait_past_era(self, era: int) -> None:
        while self._era <= era:
            await self._era_changed.wait()

    async def start(self, nursery: trio.Nursery) -> None:
        """Do nothing: connections are opened on demand."""

    async def close(self) -> None:
        await self._client.close()

    async def get(self, key: str) -> KeyValue | None:
        answer = await self._read("/api/kv-key", {"key": key})
        if answer.status == _NOT_FOUND:
            return None
        return _read_item(answer.document, answer.era)

    async def get_prefix(self, prefix: str, *, min_revision: int = 0) -> Snapshot:
        items: list[KeyValue] = []
        query: dict[str, object] = {"prefix": prefix}
        first: _Answer | None = None
        read = self._read_bounded if self._is_bounded(prefix) else self._read
        while True:
            answer = await read("/api/kv-range", query)
            first = first or answer
            if answer.era != first.era:
                raise KeyValueUnavailable(
                    "the store was restored from a copy between two pages",
                    context=prefix,
                )
            with _parsing(prefix):
                found = [
                    _read_item(one, answer.era) for one in answer.document["items"]
                ]
                has_more = bool(answer.document.get("has-more"))
            items += found
            if not has_more or not found:
                break
            query["after"] = items[-1].key
        recent = tuple(item for item in items if item.revision >= min_revision)
        # The pages are read one by one. The snapshot has the revision of the first one,
        # so a watch from there receives the changes made during the read once more.
        return Snapshot(_read_document_number(first, "at"), recent, first.era)

    async def compare_and_swap(
        self, swaps: Sequence[Swap], *, checks: Sequence[Check] = ()
    ) -> Swapped | SwapLost:
        conditions: list[Swap | Check] = [*swaps, *checks]
        expected = [
            {"key": one.key, "revision": one.expected_revision} for one in conditions
        ]
        puts = [
            {
                "key": swap.key,
                "value": base64.b64encode(swap.value).decode(),
                "lease": swap.lease,
            }
            for swap in swaps
            if swap.value is not None
        ]
        remove = [swap.key for swap in swaps if swap.value is None]
        expected_era, was_answered = self._era, self._was_answered
        answer = await self._write(
            "POST",
            "/api/kv-txn",
            {"expected": expected, "puts": puts, "remove": remove},
        )
        if answer.era != expected_era and was_answered:
            raise KeyValueUnknown(
                "the store was restored from a copy during the call",
                hint="read the keys back before writing them again",
            )
        if answer.status == _CONFLICT:
            with _parsing("items"):
                documents = answer.document["items"]
                items = [item for item in documents if item.get("value") is not None]
                current = tuple(_read_item(item, answer.era) for item in items)
            return SwapLost(current, answer.era)
        if answer.status == _NOT_FOUND:
            raise KeyValueRefused(
                "the lease of a key has expired or was revoked",
                hint="grant a new lease and retry",
            )
        return Swapped(_read_document_number(answer, "revision"), answer.era)

    async def grant_lease(self, ttl_s: int) -> int:
        body = {"ttl-ms": ttl_s * _MILLISECONDS}
        answer = await self._write("POST", "/api/kv-lease", body)
        return _read_document_number(answer, "lease")

    async def keep_lease(self, lease: int) -> bool:
        answer = await self._write("POST", f"/api/kv-keep/{lease}", {})
        return answer.status != _NOT_FOUND

    async def revoke_lease(self, lease: int) -> None:
        await self._write("DELETE", f"/api/kv-lease-end/{lease}", None)

    def end_watches(self, era: int) -> None:
        for scope, watch_era in self._pending_watches.items():
            if watch_era < era:
                scope.cancel()

    @asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int, *, era: int = 0
    ) -> AsyncIterator[trio.MemoryReceiveChannel[WatchEvent]]:
        send, receive = trio.open_memory_channel[WatchEvent](0)
        async with trio.open_nursery() as nursery, receive:
            nursery.start_soon(self._run_watch, prefix, start_revision, era, send)
            yield receive
            nursery.cancel_scope.cancel()

    async def _run_watch(
        self,
        prefix: str,
        start_revision: int,
        era: int,
        send: trio.MemorySendChannel[WatchEvent],
    ) -> None:
        # The store returns the changes after a revision; `watch` takes the first.
        after = start_revision - 1
        async with send:
            try:
                if self._is_bounded(prefix):
                    await self._overlap_polls(prefix, after, era, send)
                while True:
                    events, after = await self._poll_changes(prefix, after, era)
                    for event in events:
                        await send.send(event)
                    if events:
                        await trio.sleep(self._pause_s)
            except (_HistoryGone, KeyValueUnavailable, trio.BrokenResourceError):
                return

    def _is_bounded(self, prefix: str) -> bool:
        return bool(self._bounded_prefix) and prefix == self._bounded_prefix

    async def _overlap_polls(
        self,
        prefix: str,
        after: int,
        era: int,
        send: trio.MemorySendChannel[WatchEvent],
    ) -> None:
        """Watch until the history is gone; poll again while an answer is late.

        A change is known as late as the store's answer, and at most a second more: the
        first poll is kept, and the second one waits for what happens after its wait.
        """
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            errors = (_HistoryGone, KeyValueError)
            polls = PendingCalls[tuple[list[WatchEvent], int]](nursery, errors=errors)
            try:
                late_at = 0.0
                while True:
                    if polls.pending < MAX_PENDING_POLLS:
                        if trio.current_time() >= late_at:
                            if polls.pending:
                                log_event(
                                    "info",
                                    "store-late",
                                    prefix=prefix,
                                    after=after,
                                    pending=polls.pending,
                                )
                            polls.start(partial(self._poll_changes, prefix, after, era))
                            late_at = polls.started_at + self.watch_s + CALL_TIMEOUT_S
                        found = await polls.receive(until=late_at)
                    else:
                        found = await polls.receive()
                    if found is None:
                        continue
                    # Both polls may return the same change.
                    events = [one for one in found[0] if one.revision > after]
                    after = max(after, found[1])
                    for event in events:
                        await send.send(event)
                    if events and not polls.pending:
                        await trio.sleep(self._pause_s)
                    if events or not polls.pending:
                        # A poll that was sent before these changes were known does not
                        # wait: the store has answered it with them.
                        late_at = 0.0
            except (*errors, trio.BrokenResourceError) as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _poll_changes(
        self, prefix: str, after: int, era: int
    ) -> tuple[list[WatchEvent], int]:
        if era != self._era:
            raise _HistoryGone
        watch_s = self.watch_s
        query = {
            "prefix": prefix,
            "after": after,
            "wait-ms": int(watch_s * _MILLISECONDS),
        }
        answer: _Answer | None = None
        with trio.CancelScope() as scope:
            self._pending_watches[scope] = era
            try:
                answer = await self._read("/api/kv-watch", query, wait_s=watch_s)
            finally:
                del self._pending_watches[scope]
        # The store reuses revisions after a restore. The watch may have missed writes
        # at revisions that it had already passed in the previous era.
        if answer is None or answer.era != era or answer.status == _HISTORY_GONE:
            raise _HistoryGone
        with _parsing(prefix):
            events = [_read_event(event, era) for event in answer.document["events"]]
        return events, _read_document_number(answer, "at")

    async def _read(
        self, path: str, query: Mapping[str, object], *, wait_s: float = 0.0
    ) -> _Answer:
        target = f"{path}?{urlencode(query)}"
        is_bounded = self._is_bounded(str(query.get("prefix", "")))
        timeout_s = wait_s + (self._max_timeout_s if is_bounded else self._timeout_s)
        started_at = trio.current_time()
        try:
            answer = await self._call("GET", target, None, timeout_s=timeout_s)
        except KeyValueUnknown as error:
            if isinstance(error.__cause__, trio.TooSlowError):
                # Otherwise a store that needs longer could never be read.
                self._timeout_s = min(2 * self._timeout_s, self._max_timeout_s)
            # A read changes nothing, so it may be retried without an answer.
            raise KeyValueUnavailable(error.message, context=target) from error
        if not wait_s and trio.current_time() - started_at < CALL_TIMEOUT_S:
            self._timeout_s = CALL_TIMEOUT_S
        return answer

    async def _read_bounded(self, path: str, query: Mapping[str, object]) -> _Answer:
        """Read, and repeat a late call without giving it up."""
        repeats = list_repeats(self._timeout_s, limit_s=self._max_timeout_s)
        call = partial(self._read, path, query)
        return await read_first(call, repeats, errors=(KeyValueError,))

    async def _write(self, method: str, path: str, body: Any) -> _Answer:
        return await self._call(method, path, body, timeout_s=CALL_TIMEOUT_S)

    async def _call(
        self, method: str, target: str, document: Any, *, timeout_s: float
    ) -> _Answer:
        body = b"" if document is None else json.dumps(document).encode()
        length = (b"content-length", str(len(body)).encode())
        headers = (_HOST, _JSON, length) if body else (_HOST,)
        try:
            with trio.fail_after(timeout_s) as scope:
                async with self._client.call(
                    self._address,
                    method=method,
                    target=target.encode(),
                    headers=headers,
                    body=body,
                ) as response:
                    limit = PartLimit(scope, part_s=CALL_TIMEOUT_S)
                    answer = await response.read(max_bytes=_MAX_BODY_BYTES, limit=limit)
                    status = response.status
                    era_header = response.fields.get(_ERA_HEADER)
        except ReplicaUnreachable as error:
            raise KeyValueUnavailable(
                "the store can't be reached", context=str(error)
            ) from error
        except (ReplicaFailed, trio.TooSlowError) as error:
            raise KeyValueUnknown(
                "the store did not answer",
                context=f"{target}: {error!r}",
                hint="read the keys back before writing them again",
            ) from error
        era = self._update_era(era_header)
        if era < self._era:
            raise KeyValueUnknown(
                "the store was restored from a copy after this answer", context=target
            )
        return _Answer(status, _check_answer(status, answer, target), era)

    def _update_era(self, header: bytes | None) -> int:
        """Return the era of an answer; on a new era, end the watches of older ones."""
        self._was_answered = True
        if header is None or not header.isdigit() or len(header) > _MAX_ERA_DIGITS:
            return self._era
        era = int(header)
        if era > self._era:
            log_event("info", "store-era", era=era, before=self._era)
            self._era = era
            self._era_changed.set()
            self._era_changed = trio.Event()
            self.end_watches(era)
        return era


def _check_answer(status: int, answer: bytes, target: str) -> Any:
    """Return the JSON of an answer; raise `KeyValueError` if it is not usable."""
    if status in _BUSY:
        raise KeyValueUnavailable(f"the store answered {status}", context=target)
    if status not in {_OK, _NOT_FOUND, _CONFLICT, _HISTORY_GONE}:
        raise KeyValueRefused(
            f"the store answered {status}",
            context=target,
            hint="report this call to the platform's operators",
        )
    with _parsing(target):
        return parse_document(answer) if answer else {}


@contextmanager
def _parsing(target: str) -> Iterator[None]:
    """Raise `KeyValueUnknown` for what is wrong with a document of the store."""
    try:
        with reading_document():
            yield
    except UnreadableDocument as error:
        raise KeyValueUnknown(
            f"the store's answer is malformed: {error}", context=target
        ) from error


def _read_item(item: dict[str, Any], era: int) -> KeyValue:
    with _parsing("an item"):
        value = base64.b64decode(item["value"])
        return KeyValue(item["key"], value, read_number(item["revision"]), era)


def _read_event(event: dict[str, Any], era: int) -> WatchEvent:
    with _parsing("an event"):
        deleted = event.get("deleted", False)
        value = None if deleted else base64.b64decode(event["value"])
        return WatchEvent(event["key"], value, read_number(event["revision"]), era)


def _read_document_number(answer: "_Answer", name: str) -> int:
    with _parsing(name):
        return read_number(answer.document[name])
