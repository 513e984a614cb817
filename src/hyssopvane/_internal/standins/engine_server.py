"""Serve a simulated model engine over HTTP."""

import json
import os
from dataclasses import asdict
from functools import partial

import trio

from hyssopvane._internal.standins.asgi import (
    EVENT_STREAM_TYPE,
    Request,
    Responder,
    Router,
)
from hyssopvane._internal.standins.engine import (
    Completion,
    Engine,
    EngineConfig,
    Token,
)
from hyssopvane._internal.standins.expert_rank import Order, OrderKind
from hyssopvane._internal.standins.journal import Caller, Journal
from hyssopvane._internal.standins.process import (
    parse_options,
    run_process,
    serve_app,
)

CRASH_EXIT_CODE = 70


class EngineServer:
    """Answer HTTP requests with an engine and run the engine's steps."""

    def __init__(self, config: EngineConfig, journal: Journal | None = None) -> None:
        self.engine = Engine(config, now=trio.current_time(), journal=journal)
        self.app = Router(
            {
                ("POST", "/v1/completions"): self._complete,
                ("GET", "/load"): self._get_load,
                ("GET", "/cache-events"): self._get_cache_events,
                ("POST", "/orders"): self._post_order,
                ("GET", "/orders"): self._get_orders,
                ("GET", "/rank"): self._get_rank,
                ("GET", "/journal"): self._get_journal,
            }
        )
        self._work_submitted = trio.Event()
        self._receivers: dict[int, trio.MemorySendChannel[Token]] = {}

    async def run_steps(self) -> None:
        """Run the engine's steps as they become due until the engine crashes."""
        while not self.engine.crashed:
            if not self.engine.has_work:
                self._work_submitted = trio.Event()
                await self._work_submitted.wait()
            await trio.sleep_until(self.engine.next_step_at)
            for token in self.engine.advance(trio.current_time()):
                self._receivers[token.run].send_nowait(token)

    async def _complete(self, request: Request, responder: Responder) -> None:
        document = request.read_json()
        completion = Completion(
            prompt=str(document["prompt"]),
            max_tokens=int(document.get("max_tokens", 16)),
            resume_from=int(document.get("resume_from", 0)),
            priority=int(document.get("priority", 0)),
        )
        # A channel that can hold the complete answer keeps a slow reader from
        # blocking the engine.
        sender, receiver = trio.open_memory_channel[Token](completion.max_tokens)
        caller = Caller.from_headers(request.headers)
        run = self.engine.submit(completion, caller, trio.current_time())
        self._receivers[run] = sender
        self._work_submitted.set()
        send = _send_stream if document.get("stream", False) else _send_complete
        try:
            await responder.run_while_connected(partial(send, receiver, responder))
        finally:
            del self._receivers[run]
            self.engine.cancel(run, trio.current_time())

    async def _get_load(self, request: Request, responder: Responder) -> None:
        load = self.engine.get_load(trio.current_time())
        await responder.send_json(200, asdict(load))

    async def _get_cache_events(self, request: Request, responder: Responder) -> None:
        since = int(request.query.get("since", "0"))
        events = self.engine.get_cache_events(since, trio.current_time())
        await responder.send_json(200, [asdict(event) for event in events])

    async def _post_order(self, request: Request, responder: Responder) -> None:
        document = request.read_json()
        payload = document.get("payload", {})
        order = Order(
            kind=OrderKind(document["kind"]),
            fence=int(document["fence"]),
            value=str(payload["value"]),
            weights_bytes=int(payload.get("weights_bytes", 0)),
            step=int(payload.get("step", 0)),
        )
        refusal = self.engine.apply_order(order, trio.current_time())
        rank = self.engine.rank
        answer = {"highest_fence": rank.highest_fence, "step": rank.step}
        if refusal is None:
            await responder.send_json(200, answer)
        else:
            await responder.send_json(409, {"error": refusal} | answer)

    async def _get_orders(self, request: Request, responder: Responder) -> None:
        rank = self.engine.rank
        accepted = [asdict(order) for order in rank.accepted]
        answer = {"accepted": accepted, "loaded": rank.loaded}
        await responder.send_json(200, answer)

    async def _get_rank(self, request: Request, responder: Responder) -> None:
        step = self.engine.get_step(trio.current_time())
        rank = self.engine.rank
        answer = {
            "step": step,
            "map": rank.map,
            "staged": sorted(rank.staged),
            "armed": asdict(rank.armed) if rank.armed else None,
        }
        await responder.send_json(200, answer)

    async def _get_journal(self, request: Request, responder: Responder) -> None:
        await responder.send_json(200, self.engine.journal.describe())


async def serve_engine(
    config: EngineConfig,
    *,
    bind: str,
    shutdown: trio.Event,
    journal: Journal | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> bool:
    """Serve an engine until shutdown or a crash; return whether it crashed.

    A crash drops all connections and closes the port. Call it again on the same
    address to restart; a journal passed in by the caller keeps its entries.
    """
    server = EngineServer(config, journal)
    async with trio.open_nursery() as nursery:

        async def run_steps() -> None:
            await server.run_steps()
            nursery.cancel_scope.cancel()

        nursery.start_soon(run_steps)
        await serve_app(
            server.app, bind=bind, shutdown=shutdown, task_status=task_status
        )
        nursery.cancel_scope.cancel()
    return server.engine.crashed


async def _send_stream(
    receiver: trio.MemoryReceiveChannel[Token], responder: Responder
) -> None:
    await responder.start(200, content_type=EVENT_STREAM_TYPE)
    while True:
        tokens = await _receive_available(receiver)
        await responder.send_chunk(b"".join(map(_format_event, tokens)))
        if tokens[-1].last:
            break
    await responder.send_chunk(b"data: [DONE]\n\n", more=False)


async def _send_complete(
    receiver: trio.MemoryReceiveChannel[Token], responder: Responder
) -> None:
    tokens: list[Token] = []
    while not (tokens and tokens[-1].last):
        tokens += await _receive_available(receiver)
    text = "".join(token.text for token in tokens)
    await responder.send_json(200, {"text": text, "tokens": len(tokens)})


async def _receive_available(receiver: trio.MemoryReceiveChannel[Token]) -> list[Token]:
    tokens = [await receiver.receive()]
    while True:
        try:
            tokens.append(receiver.receive_nowait())
        except trio.WouldBlock:
            return tokens


def _format_event(token: Token) -> bytes:
    document = json.dumps({"index": token.index, "text": token.text})
    return f"data: {document}\n\n".encode()


def main() -> None:
    """Run an engine as a separate process that exits immediately on a crash."""
    options, config = parse_options(EngineConfig)

    async def serve(
        *, bind: str, shutdown: trio.Event, task_status: trio.TaskStatus[str]
    ) -> None:
        crashed = await serve_engine(
            config,
            bind=bind,
            shutdown=shutdown,
            journal=options.make_journal(),
            task_status=task_status,
        )
        if crashed:
            os._exit(CRASH_EXIT_CODE)

    run_process(serve, bind=options.bind)


if __name__ == "__main__":
    main()
