"""Simulate the ranks of a group: their reports, counts and orders over HTTP."""

import json
from random import Random
from typing import Any

import trio

from hyssopvane._internal.state.ranks import (
    Arm,
    Disarm,
    Hold,
    Prepare,
    RankOrder,
    Release,
)
from hyssopvane._internal.transport.asgi_messages import (
    read_body,
    send_json,
    serve_lifespan,
)
from tests.lib.rank_model import PASS_S, RANKS, Faults, GroupModel


class GroupStandIn:
    """Simulate the passes of a group, and answer HTTP calls for each of its ranks."""

    def __init__(self, name: str = "g") -> None:
        self.name = name
        self.model = GroupModel(Random(1), Faults())
        self.broken = False
        """Whether the group serves no requests until it is formed again."""

    async def make_passes(self) -> None:
        """Begin passes regularly; raise `MapsDiffer` when the maps differ."""
        while True:
            await trio.sleep(PASS_S)
            self.model.now = trio.current_time()
            self.model.next_pass_at = 0.0
            if not self.broken:
                self.model.begin_passes()

    def form(self) -> None:
        """Begin a new epoch with the initial map."""
        self.model.epoch += 1
        self.model.begin_epoch()
        self.broken = False

    def make_app(self, number: int) -> Any:
        """Return the ASGI application of one rank."""

        async def app(scope: Any, receive: Any, send: Any) -> None:
            if scope["type"] == "lifespan":
                await serve_lifespan(receive, send)
                return
            body = await read_body(receive, max_bytes=2**20)
            status, answer = self.answer(number, scope, body)
            await send_json(send, answer, status=status)

        return app

    def answer(self, number: int, scope: Any, body: bytes) -> tuple[int, object]:
        """Return status and document for one call to a rank."""
        rank = self.model.ranks[number]
        if scope["path"] == "/api/report":
            return 200, self._report(number)
        if scope["path"] == "/api/order":
            return self._handle_order(number, json.loads(body))
        if scope["query_string"]:
            experts = {"version": rank.map_version, "experts": [list(rank.experts)]}
            return 200, {"epoch": self.model.epoch, "expert-map": experts}
        counts = self.model.counts[number]
        return 200, {
            "step": self.model.step,
            "epoch": self.model.epoch,
            "counts": counts,
        }

    def _report(self, number: int) -> object:
        rank = self.model.ranks[number]
        armed = rank.armed and {"version": rank.armed[0], "step": rank.armed[1]}
        return {
            "group": {
                "name": self.name,
                "epoch": self.model.epoch,
                "rank": number,
                "state": "broken" if self.broken else "open",
            },
            "size": RANKS,
            "active": 3,
            "queued": 0,
            "step": self.model.step,
            "expert-map": rank.map_version,
            "prepared": rank.prepared or None,
            "armed": armed,
            "held": rank.held or None,
        }

    def _handle_order(self, number: int, document: Any) -> tuple[int, object]:
        accepted = self.model.ranks[number].carry_out(
            _read_order(document),
            step=self.model.step,
            epoch=self.model.epoch,
            now=trio.current_time(),
        )
        return (202, {}) if accepted else (409, {})


def _read_order(document: Any) -> RankOrder:
    match document["operation"]:
        case "prepare":
            experts = tuple(
                tuple(tuple(rank) for rank in one) for one in document["expert-map"]
            )
            return Prepare(document["epoch"], document["version"], experts)
        case "arm":
            return Arm(document["epoch"], document["version"], document["step"])
        case "disarm":
            return Disarm(document["epoch"], document["version"])
        case "hold":
            return Hold(document["epoch"], document["step"])
        case _:
            return Release(document["epoch"], document["step"])
