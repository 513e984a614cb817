"""Compare the path from an entry directly to a replica with that through an agent."""

import argparse
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path

import trio

from bench.client import run_calls
from bench.path import PathBench
from bench.processes import Usage, read_usage
from hyssopvane._internal.transport.asgi_server import serve_asgi
from hyssopvane._internal.transport.replica_client import ReplicaClient
from tests.lib.direct_installation import HOST, KEY, make_configuration
from tests.lib.direct_replica import (
    STREAM_HEAD,
    DirectReplica,
    Received,
    answer_whole,
    chunk,
    make_answer,
    make_event,
)
from tests.lib.direct_store import DirectStore
from tests.lib.processes import open_cluster

_CALLS = 1_000
_CONCURRENCY = 8
_STREAMS = 16
_EVENTS = 200
_MICROSECONDS = 1_000_000
_MEBIBYTE = 1024 * 1024


async def answer_stream(
    replica: DirectReplica, stream: trio.SocketStream, request: Received
) -> bool:
    """Send events one at a time, as an engine does."""
    await stream.send_all(make_answer(request, body=b"", headers=STREAM_HEAD))
    for number in range(1, _EVENTS + 1):
        await stream.send_all(chunk(make_event(number)))
        await trio.sleep(0.005)
    await stream.send_all(b"0\r\n\r\n")
    return True


async def call(client: ReplicaClient, address: str, path: bytes) -> None:
    """Send one request as a caller and read the answer."""
    async with client.call(
        address,
        method="POST",
        target=path,
        headers=(
            (b"host", HOST.encode()),
            (b"x-request-id", b"bench"),
            (b"authorization", f"Bearer {KEY}".encode()),
            (b"content-length", b"0"),
        ),
    ) as response:
        await response.read(max_bytes=2**24)


class DirectBench:
    """Run a store and replicas in this process, and an entry as a separate one."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._store = DirectStore()
        self._client = ReplicaClient()

    async def run(self) -> None:
        """Measure the direct path and print the results."""
        async with trio.open_nursery() as nursery:
            store = await nursery.start(
                partial(
                    serve_asgi,
                    self._store,
                    bind="127.0.0.1:0",
                    graceful_timeout_s=1.0,
                    shutdown=trio.Event(),
                )
            )
            self._store.put("op/config", make_configuration(1))
            for replica_id, handler, service in (
                ("i-1", answer_whole, "checks"),
                ("i-2", answer_stream, "drafting"),
            ):
                replica = DirectReplica(replica_id, handler)
                await nursery.start(replica.serve)
                registration = {"service": service, "address": replica.address}
                registration |= {"state": "ready", "slots": 64, "zone": "a"}  # type: ignore[dict-item]
                self._store.put(f"servers/{replica_id}", registration)
            await self._measure_entry(store)
            nursery.cancel_scope.cancel()

    async def _measure_entry(self, store: str) -> None:
        settings = self._folder / "entry.json"
        ports = {name: "127.0.0.1:0" for name in ("callers", "readiness", "messages")}
        ports |= {name: "127.0.0.1:0" for name in ("metrics", "beliefs")}
        identity = {"role": "direct-entry", "vm": "e", "availability_zone": "a"}
        endpoints = {"store": store, "entry_port": 0, "agent_port": 9}
        settings.write_text(json.dumps(ports | identity | endpoints))
        started_at = time.monotonic()
        command = [sys.executable, "-m", "hyssopvane", "run", "direct-entry"]
        with subprocess.Popen(
            [*command, str(settings)], stdout=subprocess.PIPE
        ) as entry:
            address = await trio.to_thread.run_sync(_read_address, entry)
            print(f"start_s={time.monotonic() - started_at:.2f}")
            await trio.sleep(1)
            await self._measure_loads(entry.pid, address)
            entry.terminate()

    async def _measure_loads(self, pid: int, address: str) -> None:
        idle = read_usage(pid)
        print(f"resident_mib={idle.resident_bytes / _MEBIBYTE:.1f}")
        for path, count, concurrency, units in (
            (b"/status/7", _CALLS, _CONCURRENCY, _CALLS),
            (b"/drafts/7", 2 * _STREAMS, _STREAMS, 2 * _STREAMS * _EVENTS),
        ):
            before = read_usage(pid)
            work = partial(call, self._client, address, path)
            await run_calls(work, count=count, concurrency=concurrency)
            _print_line(path, units, read_usage(pid), before)


def _print_line(path: bytes, units: int, after: Usage, before: Usage) -> None:
    entry_us = after.since(before) / units * _MICROSECONDS
    print(f"direct  path={path.decode()}  units={units}  entry_us={entry_us:.1f}")


def _read_address(entry: "subprocess.Popen[bytes]") -> str:
    assert entry.stdout is not None
    for line in entry.stdout:
        for pair in line.decode().split():
            if pair.startswith("callers="):
                return pair.removeprefix("callers=")
    raise RuntimeError("the entry exited before it reported its address")


def main(arguments: Sequence[str]) -> int:
    """Measure both paths in one run."""
    argparse.ArgumentParser(prog="bench direct_path", description=__doc__).parse_args(
        arguments
    )
    with tempfile.TemporaryDirectory() as folder:
        trio.run(DirectBench(Path(folder)).run)
        with open_cluster(Path(folder)) as cluster:
            bench = PathBench(cluster)
            for idle in bench.measure_idle():
                print(idle)
            print(bench.measure_plain(_CONCURRENCY))
            print(bench.measure_tokens(_STREAMS))
    return 0
