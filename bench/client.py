"""Call a service repeatedly and measure the response times."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import httpcore
import trio


@dataclass(slots=True)
class Timings:
    """Collect the times in seconds and the counts measured by the calls of one run."""

    first_byte_s: list[float] = field(default_factory=list)
    total_s: list[float] = field(default_factory=list)
    gaps_s: list[float] = field(default_factory=list)
    tokens: int = 0
    failures: int = 0


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Hold the address and path prefix of a service and the customer's API key."""

    address: str
    prefix: str = ""
    key: str = ""

    def make_headers(self) -> list[tuple[str, str]]:
        """Return the request headers."""
        headers = [("Host", self.address)]
        if self.key:
            headers.append(("Authorization", f"Bearer {self.key}"))
        return headers


async def run_calls(
    call: Callable[[], Awaitable[None]], *, count: int, concurrency: int
) -> None:
    """Run `count` calls, at most `concurrency` of them in parallel."""
    remaining = count

    async def work() -> None:
        nonlocal remaining
        while remaining:
            remaining -= 1
            await call()

    async with trio.open_nursery() as nursery:
        for _ in range(concurrency):
            nursery.start_soon(work)


async def measure_plain_calls(
    endpoint: Endpoint, path: str, *, count: int, concurrency: int
) -> Timings:
    """Call a plain service and return the times of its answers."""
    timings = Timings()
    async with httpcore.AsyncConnectionPool(max_connections=concurrency) as pool:

        async def call() -> None:
            started_at = trio.current_time()
            answer = await pool.request(
                "GET",
                f"http://{endpoint.address}{endpoint.prefix}{path}",
                headers=endpoint.make_headers(),
            )
            timings.total_s.append(trio.current_time() - started_at)
            timings.failures += answer.status != 200

        await run_calls(call, count=count, concurrency=concurrency)
    return timings


async def measure_streams(
    endpoint: Endpoint, *, tokens: int, count: int, concurrency: int
) -> Timings:
    """Call a model engine and return the times of its streamed tokens."""
    timings = Timings()
    async with httpcore.AsyncConnectionPool(max_connections=concurrency) as pool:
        call = partial(_read_stream, pool, endpoint, tokens, timings)
        await run_calls(call, count=count, concurrency=concurrency)
    return timings


async def _read_stream(
    pool: httpcore.AsyncConnectionPool,
    endpoint: Endpoint,
    tokens: int,
    timings: Timings,
) -> None:
    body = {"prompt": "surname " * 20, "max_tokens": tokens, "stream": True}
    started_at = trio.current_time()
    last_at = started_at
    token_count = 0
    async with pool.stream(
        "POST",
        f"http://{endpoint.address}{endpoint.prefix}/v1/completions",
        headers=endpoint.make_headers(),
        content=json.dumps(body).encode(),
    ) as answer:
        async for chunk in answer.aiter_stream():
            now = trio.current_time()
            if token_count:
                timings.gaps_s.append(now - last_at)
            else:
                timings.first_byte_s.append(now - started_at)
            last_at = now
            token_count += chunk.count(b'data: {"index"')
    timings.tokens += token_count
    timings.failures += token_count != tokens
    timings.total_s.append(trio.current_time() - started_at)
