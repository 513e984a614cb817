"""Stand-in for the platform's metadata store."""

import asyncio
import base64
import contextlib
import json
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from wire import Ended, Message, format_answer, read_message

ANSWER_S = 0.004
PAGE = 500
JSON = [("Content-Type", "application/json")]


class Store:
    """Serves items by revision; the operator and the replicas write to it directly."""

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._leases: dict[int, float] = {}
        self._lease_keys: dict[int, set[str]] = {}
        self.is_silent = False
        """Whether calls get no answer, as in an outage."""
        self._outages = 0

    def begin_outage(self) -> None:
        """Answer no call, and never those that wait now."""
        self.is_silent = True
        self._outages += 1

    def end_outage(self) -> None:
        """Answer new connections again."""
        self.is_silent = False

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def put(self, key: str, document: object) -> int:
        """Write an item as JSON; the return is the acknowledgement."""
        return self.put_value(key, json.dumps(document).encode())

    def put_value(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item."""
        self.revision += 1
        created = self.items[key]["created-at"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created-at": created,
            "lease": lease,
        }
        self.items[key] = item
        self._append(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append({"key": key, "revision": self.revision, "deleted": True})

    def _append(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(Ended, ConnectionError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                outages = self._outages
                status, document = 0, None
                if not self.is_silent:
                    status, document = await self._answer(request)
                    await asyncio.sleep(ANSWER_S)
                if self.is_silent or self._outages != outages:
                    # A connection on which an answer is lost returns nothing further.
                    await reader.read()
                    break
                body = json.dumps(document).encode()
                writer.write(format_answer(status, JSON, body))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query))
        self._expire()
        if url.path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item | {"at": self.revision})
        if url.path == "/api/kv-range":
            after = query.get("after", "")
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > after
            )
            items = [self.items[key] for key in keys[:PAGE]]
            more = len(keys) > PAGE
            return 200, {"items": items, "has-more": more, "at": self.revision}
        if url.path == "/api/kv-watch":
            return await self._watch(query)
        if url.path == "/api/kv-txn":
            return self._swap(json.loads(request.body))
        if url.path == "/api/kv-lease":
            lease = len(self._leases) + 1
            ttl_ms = max(1_000, int(json.loads(request.body)["ttl-ms"]))
            self._leases[lease] = asyncio.get_running_loop().time() + ttl_ms / 1_000
            self._lease_keys[lease] = set()
            return 200, {"lease": lease, "ttl-ms": ttl_ms}
        lease = int(url.path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if url.path.startswith("/api/kv-lease-end/"):
            self._end_lease(lease)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["wait-ms"]) / 1_000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(query["prefix"])
            ]
            left_s = until - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _swap(self, document: Any) -> tuple[int, Any]:
        for one in document["expected"]:
            item = self.items.get(one["key"])
            if (0 if item is None else item["revision"]) != one["revision"]:
                keys = [row["key"] for row in document["expected"]]
                found = [self.items[key] for key in keys if key in self.items]
                return 412, {"items": found}
        for put in document["puts"]:
            if put.get("lease") and put["lease"] not in self._leases:
                return 404, {}
        for put in document["puts"]:
            lease = put.get("lease") or 0
            self.put_value(put["key"], base64.b64decode(put["value"]), lease)
            if lease:
                self._lease_keys[lease].add(put["key"])
        for key in document["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease in [one for one, until in self._leases.items() if until <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key in self._lease_keys.pop(lease):
            if key in self.items and self.items[key]["lease"] == lease:
                self.remove(key)
