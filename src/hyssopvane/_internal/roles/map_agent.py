"""Reconcile the rank on an agent's VM with the record of its group."""

import json
from abc import ABC, abstractmethod
from contextlib import suppress
from random import Random
from typing import Any

import trio

from hyssopvane._internal.coordination.key_value import KeyValueStore
from hyssopvane._internal.coordination.map_records import (
    format_answer,
    parse_order,
)
from hyssopvane._internal.coordination.map_switch import MapSwitchStore
from hyssopvane._internal.exceptions import (
    HyssopvaneError,
    KeyValueError,
    MapSwitchError,
)
from hyssopvane._internal.models.settings import AgentSettings
from hyssopvane._internal.protocol.messages import Headers
from hyssopvane._internal.state.map_switch import (
    EngineOrder,
    OrderKind,
    OrderRefusal,
    RankAnswer,
    RankSwitchPlanner,
    RankView,
    make_answer,
)
from hyssopvane._internal.transport.peer_connection import PeerConnection
from hyssopvane._internal.transport.target_client import (
    TargetClient,
    TargetFailed,
    TargetUnreachable,
)
from hyssopvane._internal.utils.json_documents import (
    UnreadableDocument,
    parse_document,
    read_number,
    reading_document,
)
from hyssopvane._internal.utils.logs import log_event
from hyssopvane._internal.utils.metrics import Metrics

MAP_ORDER_TOPIC = "map-order"

POLL_INTERVAL_S = 0.5
"""Interval between polls of the engine, which is on the same VM as the agent.

The key-value service is read only while the rank is held or armed, or holds staged
weights. With 64 ranks in a group that is 128 reads a second for the seconds between
arming and decision.
"""

POLLS_PER_STAGED_READ = 10
"""Polls per read of the key-value service while weights are staged but none armed."""

ABORT_AFTER_S = 3.0
"""Time a rank waits at the armed step before its agent writes the abort.

The coordinator may be dead, and the whole group is stalled with this rank. The time is
longer than a slow answer of the key-value service, so that a live coordinator decides
first.
"""

_ORDER_TIMEOUT_S = 5.0
_STAGE_TIMEOUT_S = 900.0
"""Long, since fetching weights waits for its share of the weight store's rate."""

_MAX_ORDERS = 8
"""Maximum number of orders in one pass; a restarted rank needs five."""

_REFUSED = 300
"""Lowest status of an order that the engine refuses."""

_JSON_HEADERS: Headers = ((b"content-type", b"application/json"),)


def make_map_agent(
    settings: AgentSettings,
    *,
    target: TargetClient,
    store: KeyValueStore,
    metrics: Metrics,
) -> "MapAgent":
    """Return the map agent for the rank on an agent's VM."""
    return MapAgent(
        rank=settings.vm,
        group=settings.group,
        engine=TargetRank(target),
        store=MapSwitchStore(store, service=settings.service, group=settings.group),
        metrics=metrics,
        random=Random(settings.vm),
    )


class EngineRank(ABC):
    """Query and order the engine of a rank."""

    @abstractmethod
    async def get_view(self) -> RankView:
        """Return the engine's state; raise `MapSwitchError` when it doesn't answer."""

    @abstractmethod
    async def send(self, order: EngineOrder) -> str:
        """Send an order; return the engine's refusal, or an empty string."""


class TargetRank(EngineRank):
    """Query and order the engine through the agent's connections to its target."""

    def __init__(self, target: TargetClient) -> None:
        self._target = target

    async def get_view(self) -> RankView:
        _, document = await self._call("GET", b"/rank", b"", _ORDER_TIMEOUT_S)
        try:
            with reading_document():
                return _build_view(document)
        except UnreadableDocument as error:
            raise MapSwitchError(
                "the engine's state of its expert map is malformed",
                context=str(error),
                hint="check the engine; its agent polls it again",
            ) from error

    async def send(self, order: EngineOrder) -> str:
        payload = {
            "value": order.name,
            "step": order.step,
            "weights_bytes": order.weights_bytes,
        }
        document = {"kind": order.kind, "fence": order.fence, "payload": payload}
        stages = order.kind is OrderKind.STAGE
        status, answer = await self._call(
            "POST",
            b"/orders",
            json.dumps(document).encode(),
            _STAGE_TIMEOUT_S if stages else _ORDER_TIMEOUT_S,
        )
        if status < _REFUSED:
            return ""
        return str(answer.get("error", status) if isinstance(answer, dict) else status)

    async def _call(
        self, method: str, path: bytes, body: bytes, timeout_s: float
    ) -> tuple[int, Any]:
        headers = (*_JSON_HEADERS, (b"content-length", str(len(body)).encode()))
        try:
            with trio.fail_after(timeout_s):
                async with self._target.call(
                    method=method, path=path, headers=headers, body=body
                ) as response:
                    content = await response.aread()
            return response.status, parse_document(content)
        except (
            TargetUnreachable,
            TargetFailed,
            trio.TooSlowError,
            ValueError,
        ) as error:
            raise MapSwitchError(
                "the engine did not answer a request about its expert map",
                context=f"{type(error).__name__}: {error}",
                hint="check the engine; its agent polls it again",
            ) from error


def _build_view(document: Any) -> RankView:
    armed = document["armed"] or {"map": "", "step": 0, "decided": False}
    return RankView(
        step=read_number(document["step"]),
        map=str(document["map"]),
        staged=frozenset(map(str, document["staged"])),
        armed=str(armed["map"]),
        armed_step=read_number(armed["step"]),
        armed_decided=bool(armed["decided"]),
    )


class MapAgent:
    """Execute coordinators' orders, and reconcile the rank also without them."""

    def __init__(
        self,
        *,
        rank: str,
        group: str,
        engine: EngineRank,
        store: MapSwitchStore,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self._rank = rank
        self._group = group
        self._engine = engine
        self._store = store
        self._metrics = metrics
        self._random = random
        self._planner = RankSwitchPlanner()
        # Two concurrent passes could send the engine orders from different records.
        self._lock = trio.Lock()
        self._waiting_since: float | None = None

    async def run(self) -> None:
        """Poll and reconcile the rank until cancelled."""
        polls = 0
        while True:
            await trio.sleep(POLL_INTERVAL_S * self._random.uniform(0.8, 1.2))
            polls += 1
            try:
                async with self._lock:
                    await self._poll(reads_staged=polls % POLLS_PER_STAGED_READ == 0)
            except HyssopvaneError as error:
                log_event("debug", "map-not-checked", why=error)

    async def answer_order(self, peer: PeerConnection, body: bytes) -> bytes:
        """Execute a coordinator's order if the store confirms it, and answer."""
        group, fence = parse_order(body)
        if group != self._group:
            return format_answer(self._refuse(fence, OrderRefusal.UNKNOWN_FENCE))
        async with self._lock:
            return format_answer(await self._execute_order(fence))

    async def _execute_order(self, fence: int) -> RankAnswer:
        if fence < self._planner.highest_fence:
            return self._refuse(fence, OrderRefusal.OLD_FENCE)
        if not await self._read_record():
            return self._refuse(fence, OrderRefusal.NO_SERVICE)
        refusal = self._planner.find_refusal(fence)
        if refusal is not None:
            return self._refuse(fence, refusal)
        try:
            engine_refusal = await self._reconcile(is_fresh=True)
            view = await self._engine.get_view()
        except MapSwitchError:
            return self._refuse(fence, OrderRefusal.NO_ENGINE)
        if engine_refusal:
            return RankAnswer(self._rank, fence, engine_refusal=engine_refusal)
        return make_answer(self._planner.known.record, self._rank, view)

    def _refuse(self, fence: int, refusal: OrderRefusal) -> RankAnswer:
        self._metrics.count_event(f"map-order-refused-{refusal}")
        return RankAnswer(self._rank, fence, refusal=refusal)

    async def _poll(self, *, reads_staged: bool) -> None:
        view = await self._engine.get_view()
        undecided = bool(view.armed) and not view.armed_decided
        if not (view.is_held or undecided or (view.staged and reads_staged)):
            self._waiting_since = None
            return
        is_fresh = await self._read_record()
        await self._reconcile(is_fresh=is_fresh)
        await self._abort_if_overdue(await self._engine.get_view())

    async def _reconcile(self, *, is_fresh: bool) -> str:
        """Send the missing orders; return the engine's refusal of the open proposal."""
        for _ in range(_MAX_ORDERS):
            view = await self._engine.get_view()
            if self._planner.needs_confirmation(view):
                await self._confirm()
            order = self._planner.plan(view, is_fresh=is_fresh)
            if order is None:
                return ""
            refusal = await self._engine.send(order)
            self._planner.record_order(order, view)
            log_event(
                "info",
                "map-order",
                order=order.kind,
                map=order.name,
                step=order.step,
                fence=order.fence,
                refused=refusal or "no",
            )
            if refusal:
                self._metrics.count_event(f"map-engine-refused-{order.kind}")
                proposal = self._planner.known.record.open_proposal
                is_proposed = proposal is not None and proposal.name == order.name
                return refusal if is_proposed else ""
        return ""

    async def _confirm(self) -> None:
        # While the key-value service is unavailable, the rank stays held. The group may
        # wait, but two maps must never be used in one step.
        with suppress(KeyValueError):
            self._planner.confirm(await self._store.confirm_for_restart())
            self._metrics.count_event("map-restart-confirmed")

    async def _abort_if_overdue(self, view: RankView) -> None:
        if not view.waits:
            self._waiting_since = None
            return
        now = trio.current_time()
        if self._waiting_since is None:
            self._waiting_since = now
            self._metrics.count_event("map-waiting")
            log_event("warning", "map-waiting", map=view.armed, step=view.armed_step)
            return
        proposal = self._planner.known.record.open_proposal
        if now - self._waiting_since < ABORT_AFTER_S or proposal is None:
            return
        why = f"{self._rank} waited too long for a decision"
        try:
            aborted = await self._store.abort(proposal.fence, why)
        except KeyValueError:
            return
        if aborted is not None:
            self._metrics.count_event("map-aborted-by-agent")
        self._planner.learn(self._store.known)

    async def _read_record(self) -> bool:
        try:
            self._planner.learn(await self._store.read())
        except KeyValueError:
            return False
        return True
