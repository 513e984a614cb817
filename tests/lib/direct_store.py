"""Stand in for the platform's metadata store, on loopback."""

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

import trio

from hyssopvane._internal.transport.asgi_messages import (
    read_body,
    send_json,
    serve_lifespan,
)

MAX_PAGE = 3


@dataclass(frozen=True)
class StoreCopy:
    """Hold the content of a store at one revision."""

    revision: int
    items: dict[str, tuple[bytes, int]]
    leases: frozenset[int]


@dataclass
class DirectStore:
    """Serve items by revision; a test changes them and injects faults."""

    revision: int = 10
    era: int = 0
    """Number of times that the store was restored from a copy."""
    era_header: bytes | None = None
    """Value of the era header; None sends the actual era."""
    hides_first_era: bool = False
    """Whether answers have no era header until the store was restored from a copy."""
    on_call: Callable[[str], None] = lambda path: None
    """Called with the path of each call before it is answered."""
    items: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    compacted_revision: int = 0
    """Revision up to which the history was dropped."""
    answer_status: int = 0
    """Status with which every call is rejected; 0 rejects none."""
    lose_answers: bool = False
    silent_watches: bool = False
    """Whether watches get no answer while all other calls are answered."""
    delay_s: float = 0.0
    """Time after which answers are sent."""
    calls: list[str] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)
    leases: set[int] = field(default_factory=set)

    def put(self, key: str, document: object) -> None:
        """Write a key, as an operator or a replica does."""
        value = json.dumps(document).encode()
        self.revision += 1
        self.items[key] = (value, self.revision)
        self._append_event(self._describe(key))

    def remove(self, key: str) -> None:
        """Delete a key; do nothing if it does not exist."""
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def compact_history(self) -> None:
        """Drop the history and end the watches."""
        self.compacted_revision = self.revision
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(self.revision, dict(self.items), frozenset(self.leases))

    def restore_from(self, copy: StoreCopy) -> None:
        """Restore a copy; later changes are lost and their revisions are reused."""
        self.era += 1
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.leases = set(copy.leases)
        self.history = [
            event for event in self.history if event["revision"] <= copy.revision
        ]
        self._notify_watches()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one call of the store's HTTP API."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = await read_body(receive, max_bytes=2**24)
        query = dict(parse_qsl(scope.get("query_string", b"").decode()))
        self.calls.append(scope["path"])
        self.on_call(scope["path"])
        if self.answer_status:
            await self._send(send, {}, status=self.answer_status)
            return
        status, answer = await self._answer(scope["path"], query, body)
        if self.lose_answers:
            await trio.sleep_forever()
        await trio.sleep(self.delay_s)
        await self._send(send, answer, status=status)

    async def _send(self, send: Any, answer: object, *, status: int) -> None:
        era = str(self.era).encode() if self.era_header is None else self.era_header
        headers: tuple[tuple[bytes, bytes], ...] = ((b"Store-Era", era),)
        if self.hides_first_era and not self.era:
            headers = ()
        await send_json(send, answer, status=status, headers=headers)

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        if path == "/api/kv-key":
            if query["key"] not in self.items:
                return 404, {}
            return 200, self._describe(query["key"]) | {"at": self.revision}
        if path == "/api/kv-range":
            return 200, self._list(query)
        if path == "/api/kv-watch":
            answer = await self._watch(query)
            if self.silent_watches:
                await trio.sleep_forever()
            return answer
        if path == "/api/kv-txn":
            return self._swap(json.loads(body))
        if path == "/api/kv-lease":
            self.leases.add(len(self.leases) + 1)
            return 200, {"lease": len(self.leases), "ttl-ms": 1000}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/api/kv-lease-end/"):
            self.leases.discard(lease)
        return (200, {}) if lease in self.leases else (404, {})

    def _list(self, query: dict[str, str]) -> object:
        after = query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(query["prefix"]) and key > after
        )
        items = [self._describe(key) for key in keys[:MAX_PAGE]]
        return {"items": items, "has-more": len(keys) > MAX_PAGE, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        after = int(query["after"])
        with trio.move_on_after(int(query["wait-ms"]) / 1_000):
            while True:
                if not self.compacted_revision <= after <= self.revision:
                    return 410, {}
                events = [
                    event
                    for event in self.history
                    if event["revision"] > after
                    and event["key"].startswith(query["prefix"])
                ]
                if events:
                    return 200, {"events": events, "at": self.revision}
                await self.changed.wait()
        return 200, {"events": [], "at": self.revision}

    def _swap(self, document: Any) -> tuple[int, object]:
        for one in document["expected"]:
            found = self.items.get(one["key"])
            if (0 if found is None else found[1]) != one["revision"]:
                known = [
                    e["key"] for e in document["expected"] if e["key"] in self.items
                ]
                return 412, {"items": [self._describe(key) for key in known]}
        for put in document["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in document["puts"]:
            self.items[put["key"]] = (base64.b64decode(put["value"]), self.revision)
            self._append_event(self._describe(put["key"]))
        for key in document["remove"]:
            self.items.pop(key, None)
        return 200, {"revision": self.revision}

    def _describe(self, key: str) -> dict[str, Any]:
        value, revision = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created-at": revision,
            "lease": 0,
        }

    def _append_event(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self.changed.set()
        self.changed = trio.Event()
