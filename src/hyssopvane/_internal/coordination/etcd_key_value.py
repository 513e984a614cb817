"""Speak etcd's JSON gateway to the platform's key-value service."""

import json
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from typing import Any, TypeAlias

import httpcore
import trio

from hyssopvane._internal.coordination.key_value import (
    NO_LEASE,
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

JsonObject: TypeAlias = dict[str, Any]

DEFAULT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 32
WATCH_BUFFER = 4096
"""Events that wait for a slow reader; one that falls further behind loads anew."""

_NOT_CARRIED_OUT = frozenset(
    {
        "etcdserver: no leader",
        "etcdserver: not capable",
        "etcdserver: too many requests",
    }
)
"""Errors by which the service says that it did not even start on a write."""

_CANCELED = frozenset({408, 499})
"""Statuses of a call that was given up; a write may have been carried out."""

_NEVER_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)


_MALFORMED = (ValueError, KeyError, TypeError, AttributeError)


class EtcdKeyValueStore(KeyValueStore):
    """Call the key-value service at one address."""

    def __init__(self, address: str, *, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS)
        self._nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery

    async def close(self) -> None:
        await self._pool.aclose()

    async def get(self, key: str) -> KeyValue | None:
        answer = await self._call("/v3/kv/range", {"key": _encode(key)})
        with self._parsing(KeyValueUnavailable):
            items = _parse_items(answer)
        return items[0] if items else None

    async def get_prefix(self, prefix: str, *, min_revision: int = 0) -> Snapshot:
        request = {
            "key": _encode(prefix),
            "range_end": _encode_bytes(get_range_end(prefix.encode())),
            "min_mod_revision": str(min_revision),
        }
        answer = await self._call("/v3/kv/range", request)
        with self._parsing(KeyValueUnavailable):
            return Snapshot(_parse_revision(answer), _parse_items(answer))

    async def compare_and_swap(
        self, swaps: Sequence[Swap], *, checks: Sequence[Check] = ()
    ) -> Swapped | SwapLost:
        transaction = _make_transaction(swaps, checks)
        answer = await self._call("/v3/kv/txn", transaction, writes=True)
        with self._parsing(KeyValueUnknown):
            return _parse_transaction(answer)

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
        """Do nothing: this service tells no era."""

    @asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int, *, era: int = 0
    ) -> AsyncIterator[trio.MemoryReceiveChannel[WatchEvent]]:
        send, receive = trio.open_memory_channel[WatchEvent](WATCH_BUFFER)
        request = {
            "create_request": {
                "key": _encode(prefix),
                "range_end": _encode_bytes(get_range_end(prefix.encode())),
                "start_revision": str(start_revision),
            }
        }
        if self._nursery is None:
            raise RuntimeError("start the store before a watch")
        scope = trio.CancelScope()
        self._nursery.start_soon(self._read_watch, request, send, scope)
        try:
            yield receive
        finally:
            scope.cancel()

    async def _read_watch(
        self,
        request: JsonObject,
        send: trio.MemorySendChannel[WatchEvent],
        scope: trio.CancelScope,
    ) -> None:
        with scope, send:
            try:
                async with self._pool.stream(
                    "POST",
                    f"http://{self._address}/v3/watch",
                    content=json.dumps(request).encode(),
                    extensions={"timeout": {"connect": self._timeout_s}},
                ) as response:
                    if response.status != 200:
                        return
                    async for line in _split_lines(response.aiter_stream()):
                        if not _send_events(line, send):
                            return
            except (httpcore.NetworkError, httpcore.ProtocolError):
                # The end of the channel tells the reader that the watch is gone.
                return
            except httpcore.TimeoutException:
                return

    async def _call(
        self, path: str, request: JsonObject, *, writes: bool = False
    ) -> JsonObject:
        """Send one call; tell a call that was not carried out from a lost answer."""
        lost = KeyValueUnknown if writes else KeyValueUnavailable
        try:
            with trio.fail_after(self._timeout_s):
                response = await self._pool.request(
                    "POST",
                    f"http://{self._address}{path}",
                    content=json.dumps(request).encode(),
                    # The shorter limit lets a connection that can't be opened be
                    # told from a write whose answer does not come.
                    extensions={"timeout": {"connect": self._timeout_s / 2}},
                )
        except _NEVER_SENT as error:
            raise self._describe(KeyValueUnavailable, "can't be reached") from error
        except trio.TooSlowError as error:
            raise self._describe(lost, "did not answer in time") from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise self._describe(lost, "closed the connection") from error
        return self._read_answer(response, lost)

    def _read_answer(
        self, response: httpcore.Response, lost: type[KeyValueError]
    ) -> JsonObject:
        try:
            answer = json.loads(response.content)
        except ValueError as error:
            raise self._describe(lost, "did not answer in JSON") from error
        if response.status == 200 and isinstance(answer, dict):
            return answer
        message = str(answer.get("error", "")) if isinstance(answer, dict) else ""
        if message in _NOT_CARRIED_OUT:
            raise self._describe(KeyValueUnavailable, f"is not ready: {message}")
        if 400 <= response.status < 500 and response.status not in _CANCELED:
            raise self._describe(KeyValueRefused, f"refused the call: {message}")
        raise self._describe(lost, f"failed with status {response.status}: {message}")

    @contextmanager
    def _parsing(self, lost: type[KeyValueError]) -> Iterator[None]:
        try:
            yield
        except _MALFORMED as error:
            raise self._describe(lost, f"gave a malformed answer: {error!r}") from error

    def _describe(self, kind: type[KeyValueError], problem: str) -> KeyValueError:
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


def get_range_end(prefix: bytes) -> bytes:
    """Return the first key after every key with the prefix."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes([prefix[index] + 1])
    return b"\0"


def _make_transaction(swaps: Sequence[Swap], checks: Sequence[Check]) -> JsonObject:
    compared: tuple[Swap | Check, ...] = (*swaps, *checks)
    return {
        "compare": [
            {
                "key": _encode(item.key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(item.expected_revision),
            }
            for item in compared
        ],
        "success": [_make_change(swap) for swap in swaps],
        "failure": [{"request_range": {"key": _encode(item.key)}} for item in compared],
    }


def _make_change(swap: Swap) -> JsonObject:
    if swap.value is None:
        return {"request_delete_range": {"key": _encode(swap.key)}}
    put = {"key": _encode(swap.key), "value": _encode_bytes(swap.value)}
    if swap.lease != NO_LEASE:
        put["lease"] = str(swap.lease)
    return {"request_put": put}


def _send_events(line: bytes, send: trio.MemorySendChannel[WatchEvent]) -> bool:
    """Send the events of one line; return False when the watch has ended.

    A line holds whole transactions. Its events are sent without giving way, so a
    reader that empties the channel never sees half of a transaction.
    """
    try:
        result = json.loads(line)["result"]
        events = [_parse_event(event) for event in result.get("events", [])]
        canceled = bool(result.get("canceled", False))
    except _MALFORMED:
        return False
    try:
        for event in events:
            send.send_nowait(event)
    except trio.WouldBlock:
        return False
    return not canceled


def _parse_event(event: JsonObject) -> WatchEvent:
    item = _parse_item(event["kv"])
    value = None if event.get("type") == "DELETE" else item.value
    return WatchEvent(item.key, value, item.revision)


def _parse_transaction(answer: JsonObject) -> Swapped | SwapLost:
    if answer.get("succeeded", False):
        return Swapped(_parse_revision(answer))
    current: list[KeyValue] = []
    for response in answer["responses"]:
        current.extend(_parse_items(response["response_range"]))
    return SwapLost(tuple(current))


async def _split_lines(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    rest = b""
    async for chunk in chunks:
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            if line.strip():
                yield line


def _parse_revision(answer: JsonObject) -> int:
    return int(answer["header"]["revision"])


def _parse_items(answer: JsonObject) -> tuple[KeyValue, ...]:
    return tuple(_parse_item(item) for item in answer.get("kvs", []))


def _parse_item(item: JsonObject) -> KeyValue:
    return KeyValue(
        key=b64decode(item["key"]).decode(),
        value=b64decode(item.get("value", "")),
        revision=int(item.get("mod_revision", 0)),
    )


def _encode(text: str) -> str:
    return _encode_bytes(text.encode())


def _encode_bytes(value: bytes) -> str:
    return b64encode(value).decode()
