"""Run the project's programs against small stand-ins on loopback.

Only the standard library is used. A case starts the programs with the commands of the
deploy file, with a store, replicas and clients of this module around them.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
TENANT = "hule930"
KEY = "n2ctnfzs989anu6wsjnb"
WATCH_MAX_S = 30.0


def now_ms() -> int:
    """Return milliseconds of the monotonic clock."""
    return round(time.monotonic() * 1_000)


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP on loopback."""
    ports: list[int] = []
    held: list[socket.socket] = []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind(("127.0.0.1", 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(type=socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        ports.append(port)
    for one in held:
        one.close()
    return ports


class Record:
    """Write what was sent, answered and run, in order."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._start = now_ms()

    def add(self, text: str) -> None:
        """Add a line with the milliseconds since the start."""
        self._file.write(f"{now_ms() - self._start:7d} ms  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Message:
    """Hold the head and the body of an HTTP/1.1 message."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(" ")[1])

    @property
    def id(self) -> str:
        """Return the ID of the request."""
        return self.headers.get("x-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin1").strip("\r\n").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a chunked body; raise `IncompleteReadError` if it is cut."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return body
        body += part[:-2]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a request or an answer with its whole body, None at the end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def make_answer(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Return an answer with its length."""
    lines = [f"HTTP/1.1 {status} Status"]
    fields = (headers or {}) | {"Content-Length": str(len(body))}
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Serve HTTP/1.1 connections on a loopback port."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.address = f"127.0.0.1:{port}"
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", self.port, limit=2**22
        )

    async def stop(self) -> None:
        """Stop to listen, and drop all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Store(Server):
    """Stand in for the platform's metadata store."""

    def __init__(self, port: int) -> None:
        super().__init__(port)
        self.revision = 100
        self.items: dict[str, tuple[bytes, int]] = {}
        self.events: list[dict[str, object]] = []
        self.calls: list[str] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Write a key as the operator or a replica does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = (data, self.revision)
        self.events.append(self._describe(key))
        self._notify()

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append({"key": key, "revision": self.revision, "deleted": True})
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _describe(self, key: str) -> dict[str, object]:
        value, revision = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created-at": revision,
            "lease": 0,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_message(reader)) is not None:
            method, target, _ = request.first.split(" ")
            self.calls.append(f"{method} {target}")
            status, document = await self._answer(method, target, request.body)
            body = json.dumps(document).encode()
            writer.write(make_answer(status, {"Content-Type": "application/json"}, body))
            await writer.drain()

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, dict[str, object]]:
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        if parts.path == "/api/kv-key":
            if query["key"] not in self.items:
                return 404, {}
            return 200, self._describe(query["key"]) | {"at": self.revision}
        if parts.path == "/api/kv-range":
            found = [
                self._describe(key)
                for key in sorted(self.items)
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            ]
            return 200, {"items": found, "has-more": False, "at": self.revision}
        if parts.path == "/api/kv-watch":
            return await self._watch(query)
        if parts.path == "/api/kv-txn":
            return self._change(json.loads(body))
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        until = time.monotonic() + min(int(query["wait-ms"]) / 1_000, WATCH_MAX_S)
        after, prefix = int(query["after"]), query["prefix"]
        while True:
            found = [
                one
                for one in self.events
                if int(str(one["revision"])) > after
                and str(one["key"]).startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except (TimeoutError, asyncio.TimeoutError):
                pass

    def _change(self, document: dict[str, list[dict[str, object]]]) -> tuple[int, dict]:
        for one in document["expected"]:
            known = self.items.get(str(one["key"]))
            if (0 if known is None else known[1]) != one["revision"]:
                keys = [str(e["key"]) for e in document["expected"]]
                return 412, {
                    "items": [self._describe(key) for key in keys if key in self.items]
                }
        self.revision += 1
        for put in document.get("puts", []):
            key = str(put["key"])
            value = base64.b64decode(str(put["value"]))
            self.items[key] = (value, self.revision)
            self.events.append(self._describe(key))
        for removed in document.get("remove", []):
            if self.items.pop(str(removed), None) is not None:
                self.events.append(
                    {"key": removed, "revision": self.revision, "deleted": True}
                )
        self._notify()
        return 200, {"revision": self.revision}


class Programs:
    """Start programs of the deploy file, and end just these."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._running: list[subprocess.Popen[bytes]] = []
        # A case that is ended from outside ends its programs, too.
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))

    def start(self, role: str, name: str, settings: dict[str, object]) -> subprocess.Popen[bytes]:
        """Start a program with its settings; its log stands in the folder."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HYSSOPVANE_SETTINGS": str(path),
        }
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                ["python3", "-S", "-m", "hyssopvane", "run", role, str(path)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._running.append(process)
        return process

    def read_log(self, name: str) -> str:
        """Return what a program has written."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """End all programs that were started, and remove their folder."""
        for process in self._running:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def make_entry_settings(
    store: str, ports: list[int], *, zone: str = "stvincent-st", node: str = "edge-1"
) -> dict[str, object]:
    """Return settings as the template of the deploy file fills them in.

    The ports are those of the callers, the readiness checks, the control address, the
    datagrams and the metrics.
    """
    callers, ready, control, messages, metrics = ports[:5]
    return {
        "role": "direct-entry",
        "vm": node,
        "availability_zone": zone,
        "store": store,
        "callers": f"127.0.0.1:{callers}",
        "readiness": f"127.0.0.1:{ready}",
        "messages": f"127.0.0.1:{messages}",
        "beliefs": f"127.0.0.1:{control}",
        "seeds": [f"127.0.0.1:{control}"],
        "entry_port": messages,
        "agent_port": ports[5] if len(ports) > 5 else 9,
        "metrics": f"127.0.0.1:{metrics}",
        "fleet_repeat_slack": 90,
        "stall_s": 1500e-3,
        "regions": {zone: "trinidad-north"},
        "features": [
            "base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
            "tenants", "platform", "experts",
        ],
        "pressure": {"memory_limit_mb": 300, "link_mbps": 1000.0},
        "grace_s": 8,
    }


def make_route(name: str, kind: str, service: str, **changes: object) -> dict[str, object]:
    """Return a route under the prefix of its name."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 8000 if kind == "streaming" else 600,
        "target-latency-ms": 502 if kind == "streaming" else 127,
        "priority": 1 if kind == "streaming" else 2,
        "service": service,
        "max-attempts": 1 if kind == "non_idempotent" else 2,
        "public": False,
    } | changes


def make_configuration(
    version: int,
    routes: list[dict[str, object]],
    services: list[dict[str, object]],
    **changes: object,
) -> dict[str, object]:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
    } | changes


def make_service(name: str, **changes: object) -> dict[str, object]:
    """Return a plain service of the configuration."""
    return {
        "name": name,
        "health-check": "/healthz",
        "max-connections": 100,
        "protocol": "h1",
        "tls": False,
    } | changes


def make_registration(
    service: str, address: str, *, state: str = "ready", seq: int = 1, zone: str = "stvincent-st"
) -> dict[str, object]:
    """Return what a replica writes to the store."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 6,
        "state": state,
        "cold-left-ms": 0,
        "seq": seq,
    }


async def wait_ready(ready_port: int, *, limit_s: float = 20.0) -> bool:
    """Wait until an entry reports that it is ready."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", ready_port)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            answer = await read_message(reader)
            writer.close()
            if answer is not None and answer.status == 200:
                return True
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    return False


def make_request(
    method: str,
    path: str,
    request_id: str,
    *,
    deadline_ms: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return a client's request."""
    fields = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    } | (headers or {})
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Client:
    """Send requests on one kept connection, opened anew when it ends."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(self, request: bytes, *, limit_s: float) -> Message | str:
        """Return the answer, or how the connection ended without one."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                "127.0.0.1", self._port, limit=2**22
            )
        reader, writer = self._streams
        try:
            writer.write(request)
            await writer.drain()
            answer = await asyncio.wait_for(read_message(reader), limit_s)
        except (TimeoutError, asyncio.TimeoutError):
            self.close()
            return "no answer in time"
        except (ConnectionError, asyncio.IncompleteReadError):
            self.close()
            return "connection ended"
        if answer is None:
            self.close()
            return "connection ended"
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
