"""Simulate a plain HTTP service, such as an auction with lots and bids."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from functools import partial

import trio

from hyssopvane._internal.standins.asgi import (
    BYTES_TYPE,
    Request,
    Responder,
    Router,
)
from hyssopvane._internal.standins.filler import generate_filler
from hyssopvane._internal.standins.journal import Caller, Journal, RunEvent
from hyssopvane._internal.standins.process import (
    parse_options,
    run_process,
    serve_app,
)


@dataclass(frozen=True, slots=True)
class PlainServiceConfig:
    """Configure a plain service."""

    delay_ms: float = 0.0
    """Response delay if the query has no `delay_ms` parameter."""


@dataclass(frozen=True, slots=True)
class Bid:
    """Hold a confirmed bid."""

    confirmation: int
    lot: str
    bidder: str
    amount: int


class PlainService:
    """Answer requests for lots, bids and any other path, and record each run."""

    def __init__(
        self, config: PlainServiceConfig, journal: Journal | None = None
    ) -> None:
        self.journal = journal or Journal()
        self.bids: list[Bid] = []
        self.app = Router(
            {
                ("GET", "/journal"): self._get_journal,
                ("POST", "/bids"): partial(self._run, self._confirm_bid),
            },
            fallback=partial(self._run, self._answer_any),
        )
        self._config = config
        self._next_run = 1

    async def _run(
        self,
        handle: Callable[[Request, Responder], Awaitable[None]],
        request: Request,
        responder: Responder,
    ) -> None:
        number = self._next_run
        self._next_run += 1
        caller = Caller.from_headers(request.headers)
        self.journal.record(RunEvent.STARTED, number, caller)
        delay_ms = request.query.get("delay_ms", self._config.delay_ms)

        async def work() -> None:
            await trio.sleep(float(delay_ms) / 1000)
            await handle(request, responder)

        finished = False
        try:
            finished = await responder.run_while_connected(work)
        finally:
            event = RunEvent.FINISHED if finished else RunEvent.CANCELLED
            self.journal.record(event, number, caller)

    async def _confirm_bid(self, request: Request, responder: Responder) -> None:
        document = request.read_json()
        bid = Bid(
            confirmation=len(self.bids) + 1,
            lot=str(document["lot"]),
            bidder=str(document["bidder"]),
            amount=int(document["amount"]),
        )
        self.bids.append(bid)
        await responder.send_json(201, asdict(bid))

    async def _answer_any(self, request: Request, responder: Responder) -> None:
        status = int(request.query.get("status", "200"))
        if "body_bytes" in request.query:
            await _send_filler(int(request.query["body_bytes"]), responder, status)
        elif request.method == "GET" and request.path.startswith("/lots/"):
            await self._send_lot(request, responder, status)
        else:
            await _send_echo(request, responder, status)

    async def _send_lot(
        self, request: Request, responder: Responder, status: int
    ) -> None:
        lot = request.path.removeprefix("/lots/")
        amounts = [bid.amount for bid in self.bids if bid.lot == lot]
        answer = {"lot": lot, "status": "open", "highest_bid": max(amounts, default=0)}
        await responder.send_json(status, answer)

    async def _get_journal(self, request: Request, responder: Responder) -> None:
        await responder.send_json(200, self.journal.describe())


async def serve_plain_service(
    config: PlainServiceConfig,
    *,
    bind: str,
    shutdown: trio.Event,
    journal: Journal | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a plain service until shutdown."""
    await serve_app(
        PlainService(config, journal).app,
        bind=bind,
        shutdown=shutdown,
        task_status=task_status,
    )


async def _send_filler(length: int, responder: Responder, status: int) -> None:
    await responder.start_bytes(status, length)
    for chunk in generate_filler(length):
        await responder.send_chunk(chunk)
    await responder.send_chunk(b"", more=False)


async def _send_echo(request: Request, responder: Responder, status: int) -> None:
    await responder.send_bytes(
        status,
        request.body,
        content_type=request.headers.get("content-type", BYTES_TYPE),
        headers=_make_echo_headers(request),
    )


def _make_echo_headers(request: Request) -> dict[str, str]:
    headers = {"x-echo-method": request.method, "x-echo-path": request.path}
    if "retry_after" in request.query:
        headers["retry-after"] = request.query["retry_after"]
    return headers


def main() -> None:
    """Run a plain service as a separate process."""
    options, config = parse_options(PlainServiceConfig)
    serve = partial(serve_plain_service, config, journal=options.make_journal())
    run_process(serve, bind=options.bind)


if __name__ == "__main__":
    main()
