"""Stand-in for the replicas of a plain service."""

import asyncio
import contextlib
import secrets
from collections.abc import Callable

from store import Store
from wire import Ended, Message, format_answer, read_message, reset

HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
QUEUE = 24


class Crash(Exception):
    """Ends the replica that runs a request."""


class Replica:
    """Runs requests at one address; each start has a new id."""

    def __init__(
        self,
        store: Store,
        address: tuple[str, int],
        *,
        service: str,
        zone: str,
        record: Callable[[str], None],
        crashes_on: Callable[[Message], bool] = lambda request: False,
        slots: int = 6,
        work_s: float = 0.0225,
        back_after_s: float = 3.0,
    ) -> None:
        self.store = store
        self.address = address
        self.service = service
        self.zone = zone
        self.record = record
        self.crashes_on = crashes_on
        self.slots = slots
        self.work_s = work_s
        self.back_after_s = back_after_s
        self.id = ""
        self.arrivals: list[tuple[float, str, Message]] = []
        """Time, id of the replica, and request of each arrival that it takes."""
        self.cut_off: list[str] = []
        """Ids of the requests that were running as the replica crashed."""
        self._writers: set[asyncio.StreamWriter] = set()
        self._running: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen and register."""
        self.id = f"i-{secrets.token_hex(5)}"
        self._places = asyncio.Semaphore(self.slots)
        self._taken = 0
        self._server = await asyncio.start_server(
            self._serve, *self.address, backlog=200
        )
        self.register("ready")
        self.record(f"replica {self.id} starts at {self.address[0]}:{self.address[1]}")

    def register(self, state: str) -> None:
        """Write the replica's entry."""
        document = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold-left-ms": 0,
            "seq": 1,
        }
        self.store.put(f"servers/{self.id}", document)

    def crash(self, why: str) -> None:
        """End as a killed process does, and come back later."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        self.cut_off += sorted(self._running)
        self._running.clear()
        lost, self.id = self.id, ""
        self.record(f"replica {lost} crashes: {why}; cut off {len(self.cut_off)} so far")
        for writer in list(self._writers):
            reset(writer)
        self._writers.clear()
        self._keep(self._expire(lost))
        self._keep(self._come_back())

    @property
    def is_running(self) -> bool:
        """Return whether it works on a request."""
        return bool(self._running)

    def leave_unannounced(self) -> None:
        """Take the entry away, and serve on until `exit` is called."""
        self.store.remove(f"servers/{self.id}")
        self.record(f"the store accepts that replica {self.id} is gone; it serves on")

    def exit(self) -> None:
        """End for good."""
        assert self._server is not None
        self._server.close()
        self._server = None
        self.cut_off += sorted(self._running)
        self.record(f"replica {self.id} exits; cut off {len(self.cut_off)}")
        self.id = ""
        for writer in list(self._writers):
            reset(writer)

    async def _expire(self, lost: str) -> None:
        await asyncio.sleep(SILENT_HEARTBEATS * HEARTBEAT_S)
        self.store.remove(f"servers/{lost}")

    async def _come_back(self) -> None:
        await asyncio.sleep(self.back_after_s)
        await self.start()

    def _keep(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        start = self.id
        self._writers.add(writer)
        try:
            while self.id == start:
                request = await read_message(reader)
                writer.write(await self._answer(request, start))
                await writer.drain()
        except (Ended, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer(self, request: Message, start: str) -> bytes:
        request_id = request.get("x-request-id")
        echo = [("X-Request-Id", request_id), ("Keep-Alive", "timeout=5")]
        if request.target == "/healthz":
            return format_answer(200, [*echo, ("X-Replica-Id", start)], b"")
        refused = [*echo, ("X-Not-Executed", "1")]
        if not request_id:
            return format_answer(400, refused, b"")
        if request.get("x-expect-instance", start) != start:
            return format_answer(421, [*refused, ("At-Server", start)], b"")
        if self._taken >= self.slots + QUEUE:
            return format_answer(503, refused, b"")
        self.arrivals.append((asyncio.get_running_loop().time(), start, request))
        self.record(f"replica {start} gets {request_id} {request.target}")
        self._taken += 1
        try:
            async with self._places:
                if self.id != start:
                    raise Ended("crashed")
                self._running.add(request_id)
                await asyncio.sleep(self.work_s)
                if self.id != start:
                    raise Ended("crashed")
                if self.crashes_on(request):
                    self.crash(f"it ran {request_id}")
                    raise Ended("crashed")
                self._running.discard(request_id)
        finally:
            self._taken -= 1
        self.record(f"replica {start} ran {request_id}")
        signature = f"{start}.{request_id}"
        headers = [*echo, ("X-Response-Signature", signature)]
        return format_answer(200, headers, f"answer to {request_id}".encode())
