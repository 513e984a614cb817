"""Serve model and expert weights at a limited rate."""

from dataclasses import dataclass
from functools import partial

import trio

from hyssopvane._internal.standins.asgi import Request, Responder, Router
from hyssopvane._internal.standins.filler import CHUNK, generate_filler
from hyssopvane._internal.standins.process import (
    parse_options,
    run_process,
    serve_app,
)


@dataclass(frozen=True, slots=True)
class WeightStoreConfig:
    """Configure a weight store."""

    bytes_per_s: float = 100e6
    """Total rate, shared by all readers."""
    object_bytes: int = 10_000_000
    """Response length if the query has no `bytes` parameter."""


class TokenBucket:
    """Limit the rate of bytes, allowing bursts of limited size."""

    def __init__(self, rate: float, burst: float, *, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._refilled_at = now

    def reserve(self, amount: int, now: float) -> float:
        """Reserve an amount and return the seconds to wait before using it."""
        refill = (now - self._refilled_at) * self._rate
        self._level = min(self._burst, self._level + refill) - amount
        self._refilled_at = now
        return max(0.0, -self._level / self._rate)


class WeightStore:
    """Answer `GET /weights/NAME?bytes=N` at a rate shared by all readers."""

    def __init__(self, config: WeightStoreConfig) -> None:
        self.app = Router({}, fallback=self._answer)
        self._config = config
        self._bucket = TokenBucket(
            config.bytes_per_s, len(CHUNK), now=trio.current_time()
        )

    async def _answer(self, request: Request, responder: Responder) -> None:
        if request.method != "GET" or not request.path.startswith("/weights/"):
            await responder.send_json(404, {"error": "ask for GET /weights/NAME"})
            return
        length = int(request.query.get("bytes", self._config.object_bytes))
        await responder.run_while_connected(partial(self._send, length, responder))

    async def _send(self, length: int, responder: Responder) -> None:
        await responder.start_bytes(200, length)
        for chunk in generate_filler(length):
            wait_s = self._bucket.reserve(len(chunk), trio.current_time())
            await trio.sleep(wait_s)
            await responder.send_chunk(chunk)
        await responder.send_chunk(b"", more=False)


async def serve_weight_store(
    config: WeightStoreConfig,
    *,
    bind: str,
    shutdown: trio.Event,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a weight store until shutdown."""
    await serve_app(
        WeightStore(config).app, bind=bind, shutdown=shutdown, task_status=task_status
    )


def main() -> None:
    """Run a weight store as a separate process."""
    options, config = parse_options(WeightStoreConfig)
    run_process(partial(serve_weight_store, config), bind=options.bind)


if __name__ == "__main__":
    main()
