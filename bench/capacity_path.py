"""Measure running entries and agents by number of requests, tokens and streams."""

import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path

import httpcore
import trio

from bench.client import Endpoint, measure_plain_calls, measure_streams
from bench.path import PathBench
from bench.slopes import Point, Slope, fit_slope
from tests.lib.processes import open_cluster

_MILLISECONDS = 1e3
_KIBIBYTE = 1024
_CALLS = (200, 400, 800, 1_600)
_CALL_CONCURRENCY = 8
_STREAMS = (8, 16, 32, 64)
_TOKENS = 200
_OPEN_STREAMS = (50, 100, 200, 400)
_SLOW_STEP_MS = "2000"


@contextmanager
def open_bench(*engine_options: str) -> Iterator[PathBench]:
    """Run one entry with its agents and targets."""
    with (
        tempfile.TemporaryDirectory() as folder,
        open_cluster(Path(folder)) as cluster,
    ):
        yield PathBench(cluster, engine_options=engine_options)


def measure_requests(role: str) -> Slope:
    """Measure a role's processor time by the number of plain requests."""
    points = []
    with open_bench() as bench:
        for count in (_CALLS[0], *_CALLS):
            before = bench.read_usage(role, service="check")
            trio.run(
                partial(
                    measure_plain_calls,
                    bench.get_endpoint("check"),
                    "/lots/7",
                    count=count,
                    concurrency=_CALL_CONCURRENCY,
                )
            )
            spent_s = bench.read_usage(role, service="check").since(before)
            points.append(Point(count, spent_s * _MILLISECONDS))
    # The first point only warms up the processes.
    return fit_slope(
        f"requests-{role}", points[1:], size_unit="request", value_unit="ms"
    )


def measure_tokens(role: str) -> Slope:
    """Measure processor time by number of tokens, at 15 per second and stream."""
    points = []
    with open_bench("--step-ms", "66") as bench:
        for streams in (_STREAMS[0], *_STREAMS):
            before = bench.read_usage(role, service="draft")
            timings = trio.run(
                partial(
                    measure_streams,
                    bench.get_endpoint("draft"),
                    tokens=_TOKENS,
                    count=streams,
                    concurrency=streams,
                )
            )
            spent_s = bench.read_usage(role, service="draft").since(before)
            points.append(Point(timings.tokens, spent_s * _MILLISECONDS))
    return fit_slope(f"tokens-{role}", points[1:], size_unit="token", value_unit="ms")


def measure_streams_memory(role: str) -> Slope:
    """Measure a role's memory by the number of open streams."""
    points = []
    for streams in _OPEN_STREAMS:
        with open_bench("--step-ms", _SLOW_STEP_MS, "--slots", "500") as bench:
            before = bench.read_usage(role, service="draft").resident_bytes
            trio.run(_hold_streams, bench.get_endpoint("draft"), streams)
            after = bench.read_usage(role, service="draft").resident_bytes
            points.append(Point(streams, (after - before) / _KIBIBYTE))
    return fit_slope(
        f"streams-{role}", points, size_unit="stream that was open", value_unit="KiB"
    )


async def _hold_streams(endpoint: Endpoint, streams: int) -> None:
    body = b'{"prompt": "surname", "max_tokens": 1000, "stream": true}'
    async with httpcore.AsyncConnectionPool(max_connections=streams) as pool:
        opened = 0

        async def hold() -> None:
            nonlocal opened
            async with pool.stream(
                "POST",
                f"http://{endpoint.address}{endpoint.prefix}/v1/completions",
                headers=endpoint.make_headers(),
                content=body,
            ) as answer:
                opened += answer.status == 200
                await trio.sleep_forever()

        async with trio.open_nursery() as nursery:
            for _ in range(streams):
                nursery.start_soon(hold)
            give_up_at = time.monotonic() + 30
            while opened < streams and time.monotonic() < give_up_at:
                await trio.sleep(0.1)
            if opened < streams:
                raise RuntimeError(f"only {opened} of {streams} streams opened")
            nursery.cancel_scope.cancel()


MEASURES = {
    f"{name}-{role}": partial(measure, role)
    for name, measure in (
        ("requests", measure_requests),
        ("tokens", measure_tokens),
        ("streams", measure_streams_memory),
    )
    for role in ("entry", "agent")
}
