"""Stand-in for the ranks of one group of model replicas."""

import asyncio
import contextlib
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

from store import Store
from wire import Ended, Message, format_answer, format_head, read_message

PASS_S = 0.06
SLOTS = 6
SETS, EXPERTS, PLACES, SPARE = 1, 36, 5, 2
EXPERT_MB, LINK_MBPS = 1.0, 1000.0
HOT_CHOICES, OTHER_CHOICES = 160, 5
LATE_FROM_S, LATE_TO_S = 2.0, 12.0
LATE_SHARE = 0.35
"""Share of the orders without an answer that are carried out late; the others never."""
JSON = [("Content-Type", "application/json")]

ENGINE = {
    "slots": SLOTS,
    "kv-capacity": 140_000,
    "stride": 4,
    "step_ms": 4.55,
    "per_seq_ms": 1.81,
    "context_per_k": 0.0366,
    "read_per_s": 61_400.0,
    "report_lag_ms": 200,
    "form_ms": 600,
    "expert-sets": SETS,
    "experts": EXPERTS,
    "placement": PLACES,
    "spare": SPARE,
    "expert-mb": EXPERT_MB,
    "expert-share": 0.85,
    "link-mbps": LINK_MBPS,
}

Experts = tuple[tuple[int, ...], ...]


@dataclass
class Rank:
    """The maps, holds and requests of one rank."""

    number: int
    address: tuple[str, int]
    zone: str
    experts: Experts = ()
    version: int = 0
    prepared: int = 0
    prepared_experts: Experts = ()
    copying: tuple[int, Experts] | None = None
    highest: int = 0
    """Highest version that it was ordered to prepare."""
    armed: tuple[int, int] | None = None
    held: int = 0
    sequence: int = 0
    counts: list[int] = field(default_factory=lambda: [0] * (SETS * EXPERTS))
    requests: dict[str, asyncio.Queue[bool]] = field(default_factory=dict)
    """Queues that get an item for each pass, by the id of the request."""


class RankGroup:
    """Makes the passes of a group, and answers the calls of its ranks."""

    def __init__(
        self,
        store: Store,
        addresses: list[tuple[str, int]],
        zones: list[str],
        *,
        service: str,
        record: Callable[[str], None],
        chance: random.Random,
    ) -> None:
        self.store = store
        self.service = service
        self.record = record
        self.chance = chance
        self.step = 0
        self.epoch = 1
        self.hot = 0
        self.observe_order: Callable[[dict[str, Any]], None] = lambda order: None
        """Called with each order as it arrives."""
        self.is_sender_dead = False
        """Whether the processes that sent the orders are killed, and get no answer."""
        self.violations: list[str] = []
        self.changes = 0
        self.ranks = [
            Rank(number, address, zone)
            for number, (address, zone) in enumerate(zip(addresses, zones, strict=True))
        ]
        for rank in self.ranks:
            one_set = tuple(range(rank.number, EXPERTS, len(self.ranks)))
            rank.experts = tuple(one_set for _ in range(SETS))
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen, register and make passes."""
        for rank in self.ranks:
            host, port = rank.address

            async def serve(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                rank: Rank = rank,
            ) -> None:
                await self._serve(rank, reader, writer)

            await asyncio.start_server(serve, host, port)
            document = {
                "service": self.service,
                "address": f"{host}:{port}",
                "zone": rank.zone,
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "cold-left-ms": 0,
                "seq": 1,
            }
            self.store.put(f"servers/i-rank{rank.number}", document)
        self._keep(self._make_passes())

    @property
    def active(self) -> int:
        """Return the number of requests of all ranks."""
        return sum(len(rank.requests) for rank in self.ranks)

    def describe(self) -> str:
        """Return the maps, armed versions and holds of all ranks."""
        maps: dict[int, list[int]] = {}
        for rank in self.ranks:
            maps.setdefault(rank.version, []).append(rank.number)
        armed = {one.number: one.armed for one in self.ranks if one.armed}
        held = {one.number: one.held for one in self.ranks if one.held}
        return (
            f"step {self.step}, {self.active} requests, ranks by map {maps}, "
            f"armed {armed or 'none'}, held {held or 'none'}"
        )

    def _keep(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _make_passes(self) -> None:
        while True:
            await asyncio.sleep(PASS_S)
            if not self.active or any(r.held == self.step + 1 for r in self.ranks):
                # An idle group makes no passes.
                continue
            self.step += 1
            switched = False
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] <= self.step:
                    rank.version, rank.experts = rank.armed[0], rank.prepared_experts
                    rank.armed = None
                    switched = True
            self.changes += switched
            versions = sorted({rank.version for rank in self.ranks})
            if switched or (len(versions) > 1 and not self.violations):
                self.record(f"pass {self.step} begins: {self.describe()}")
            if len(versions) > 1:
                self.violations.append(f"pass {self.step} begins with maps {versions}")
            for rank in self.ranks:
                for queue in rank.requests.values():
                    for expert in range(SETS * EXPERTS):
                        is_hot = expert % EXPERTS == self.hot
                        rank.counts[expert] += HOT_CHOICES if is_hot else OTHER_CHOICES
                    queue.put_nowait(True)

    async def _serve(
        self,
        rank: Rank,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while True:
                request = await read_message(reader)
                path = urlsplit(request.target).path
                if path == "/api/order":
                    answer = await self._take_order(rank, json.loads(request.body))
                    if answer is None:
                        # The order stays without an answer.
                        await reader.read()
                        break
                    writer.write(format_answer(answer, JSON, b"{}"))
                elif path.startswith("/api/"):
                    if path == "/api/report":
                        document = self._report(rank)
                    else:
                        document = self._pick(rank, request)
                    writer.write(format_answer(200, JSON, json.dumps(document).encode()))
                elif path == "/healthz":
                    replica = [("X-Replica-Id", f"i-rank{rank.number}")]
                    writer.write(format_answer(200, replica, b""))
                elif not await self._run(rank, request, reader, writer):
                    break
                await writer.drain()
        except (Ended, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    async def _run(
        self,
        rank: Rank,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Stream one event a pass; return whether the connection stays open."""
        request_id = request.get("x-request-id")
        echo = [("X-Request-Id", request_id)]
        expected = request.get("x-expect-instance", f"i-rank{rank.number}")
        if expected != f"i-rank{rank.number}":
            writer.write(format_answer(421, [*echo, ("X-Not-Executed", "1")], b""))
            return True
        if len(rank.requests) >= SLOTS:
            writer.write(format_answer(503, [*echo, ("X-Not-Executed", "1")], b""))
            return True
        queue: asyncio.Queue[bool] = asyncio.Queue()
        rank.requests[request_id] = queue
        self.record(f"rank {rank.number} gets {request_id}")
        first = int(request.get("last-event-id", "0")) + 1
        last = int(request.get("x-token-count", "40,40").split(",")[1])
        headers = [
            *echo,
            ("X-Response-Signature", f"rank{rank.number}.{request_id}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        leaves = asyncio.ensure_future(reader.read(1))
        try:
            for number in range(first, last + 1):
                turn = asyncio.ensure_future(queue.get())
                await asyncio.wait({turn, leaves}, return_when=asyncio.FIRST_COMPLETED)
                if not turn.done():
                    turn.cancel()
                    return False
                if number == first:
                    writer.write(format_head("HTTP/1.1 200 OK", headers))
                event = b"id: %d\ndata: token%d\n\n" % (number, number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record(f"rank {rank.number} ran {request_id} to its end")
            return False
        finally:
            leaves.cancel()
            del rank.requests[request_id]

    def _report(self, rank: Rank) -> dict[str, Any]:
        armed = rank.armed and {"version": rank.armed[0], "step": rank.armed[1]}
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": rank.copying is not None,
            "seq": rank.sequence,
            "queued": 0,
            "active": len(rank.requests),
            "kv-used": 1000 * len(rank.requests),
            "kv-total": 140_000,
            "handles": 0,
            "pace": 1.0,
            "group": {
                "name": "g0-0",
                "epoch": self.epoch,
                "rank": rank.number,
                "state": "open",
            },
            "size": len(self.ranks),
            "step": self.step,
            "expert-map": rank.version,
            "prepared": {"version": rank.prepared} if rank.prepared else None,
            "armed": armed,
            "held": rank.held or None,
        }

    def _pick(self, rank: Rank, request: Message) -> dict[str, Any]:
        if "lists" in urlsplit(request.target).query:
            experts = [list(one) for one in rank.experts]
            return {
                "epoch": self.epoch,
                "expert-map": {"version": rank.version, "experts": experts},
                "prepared": {"version": rank.prepared},
            }
        return {"step": self.step, "epoch": self.epoch, "counts": rank.counts}

    async def _take_order(self, rank: Rank, order: dict[str, Any]) -> int | None:
        name = f"{order['operation']} {order.get('version', '')} {order.get('step', '')}"
        self.observe_order(order)
        if self.is_sender_dead and self.chance.random() >= LATE_SHARE:
            self.record(f"rank {rank.number} never carries out order {name}")
            return None
        if self.is_sender_dead:
            late_s = self.chance.uniform(LATE_FROM_S, LATE_TO_S)
            self.record(f"rank {rank.number} gets order {name}, and nobody its answer")
            self._keep(self._carry_out_late(rank, order, name, late_s))
            return None
        status = self._carry_out(rank, order)
        self.record(f"rank {rank.number} answers order {name}: {status}")
        return status

    async def _carry_out_late(
        self, rank: Rank, order: dict[str, Any], name: str, late_s: float
    ) -> None:
        await asyncio.sleep(late_s)
        status = self._carry_out(rank, order)
        self.record(f"rank {rank.number} carries out late order {name}: {status}")

    def _carry_out(self, rank: Rank, order: dict[str, Any]) -> int:
        if order.get("epoch", self.epoch) != self.epoch:
            return 409
        operation, step = order["operation"], order.get("step", 0)
        if operation == "prepare":
            status = self._prepare(rank, order)
        elif operation == "arm":
            wanted = (order["version"], step)
            if rank.armed == wanted:
                status = 200
            elif order["version"] != rank.prepared or step <= self.step:
                status = 409
            else:
                rank.armed = wanted
                status = 202
        elif operation == "hold":
            if rank.held == step:
                status = 200
            elif step <= self.step or rank.held:
                status = 409
            else:
                rank.held = step
                status = 202
        elif operation == "go":
            status = 202 if rank.held == step else 200
            rank.held = 0 if rank.held == step else rank.held
        else:
            return 400
        rank.sequence += status == 202
        return status

    def _prepare(self, rank: Rank, order: dict[str, Any]) -> int:
        version = order["version"]
        is_copying = rank.copying is not None and rank.copying[0] == version
        if rank.prepared == version or is_copying:
            return 200
        if version <= rank.highest or rank.armed is not None:
            return 409
        experts = tuple(tuple(one_set[rank.number]) for one_set in order["expert-map"])
        new = [set(a) - set(b) for a, b in zip(experts, rank.experts, strict=True)]
        if any(len(one) > SPARE for one in new):
            return 409
        rank.highest = version
        rank.copying = (version, experts)
        copy_s = sum(map(len, new)) * EXPERT_MB * 8 / LINK_MBPS
        self._keep(self._copy(rank, version, copy_s))
        return 202

    async def _copy(self, rank: Rank, version: int, copy_s: float) -> None:
        await asyncio.sleep(copy_s)
        if rank.copying is not None and rank.copying[0] == version:
            rank.prepared, rank.prepared_experts = rank.copying
            rank.copying = None
