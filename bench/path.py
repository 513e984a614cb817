"""Measure the overhead of the path per request and token over a direct call."""

import argparse
import json
import statistics
import tempfile
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import trio

from bench.client import Endpoint, Timings, measure_plain_calls, measure_streams
from bench.processes import Usage, read_usage
from tests.lib.installation import DRAFT, KEY, commit_table, wait_for_targets
from tests.lib.processes import Cluster, Process, open_cluster

_PLAIN_CALLS = 1_000
_PLAIN_CONCURRENCY = (1, 8)
_TOKENS = 200
_STREAMS = (1, 8, 32, 64)
_MICROSECONDS = 1_000_000
_MILLISECONDS = 1_000
_MEBIBYTE = 1024 * 1024
# The bench opens more concurrent streams than one replica usually accepts.
_TABLE_CELLS = (
    (DRAFT, "target_concurrency", "1000"),
    (DRAFT, "target_tokens", "10000000"),
)


@dataclass(frozen=True, slots=True)
class LoadRow:
    """Hold the results for one kind of load."""

    load: str
    units: int
    """Requests or tokens."""
    entry_us: float
    """Processor time of the entry per unit, in microseconds."""
    agent_us: float
    direct_ms: float
    """Median time of a call made directly to the target, in milliseconds."""
    path_ms: float
    gap_p95_ms: float
    """95th percentile of the time between tokens, in milliseconds."""
    failures: int


@dataclass(frozen=True, slots=True)
class Idle:
    """Hold the start time, memory and processor time of an idle process."""

    role: str
    start_s: float
    resident_mib: float
    processor_percent: float


class PathBench:
    """Run an entry, two agents and their targets, and measure their costs."""

    def __init__(self, cluster: Cluster, *, engine_options: Sequence[str] = ()) -> None:
        commit_table(cluster.platform, _TABLE_CELLS)
        self._engine, _ = cluster.start_standin(
            "engine_server", "--slots", "64", *engine_options
        )
        self._plain, _ = cluster.start_standin("plain_service")
        self._agents: dict[str, Process] = {}
        self.start_s: dict[str, float] = {}
        for service, target in (("draft", self._engine), ("check", self._plain)):
            started_at = time.monotonic()
            self._agents[service] = cluster.start_agent(
                f"{service}-1", service=service, target=target
            )
            self.start_s["agent"] = time.monotonic() - started_at
        started_at = time.monotonic()
        self._entry, self._callers = cluster.start_entry("entry-1")
        self.start_s["entry"] = time.monotonic() - started_at
        wait_for_targets(cluster, "entry-1", 2)

    def measure_idle(self) -> list[Idle]:
        """Measure memory and processor time of the entry and an agent without load."""
        pids = {"entry": self._entry.pid, "agent": self._agents["draft"].pid}
        before = {role: read_usage(pid) for role, pid in pids.items()}
        seconds = 5.0
        time.sleep(seconds)
        lines = []
        for role, pid in pids.items():
            after = read_usage(pid)
            lines.append(
                Idle(
                    role,
                    round(self.start_s[role], 2),
                    round(after.resident_bytes / _MEBIBYTE, 1),
                    round(100 * after.since(before[role]) / seconds, 2),
                )
            )
        return lines

    def measure_plain(self, concurrency: int) -> LoadRow:
        """Measure calls of the plain service, direct and through the path."""

        async def run(endpoint: Endpoint) -> Timings:
            return await measure_plain_calls(
                endpoint, "/lots/7", count=_PLAIN_CALLS, concurrency=concurrency
            )

        direct = trio.run(run, Endpoint(self._plain))
        before = self._read_usages("check")
        timings = trio.run(run, Endpoint(self._callers, "/check", KEY))
        return self._make_row(
            f"plain x{concurrency}",
            "check",
            before,
            direct,
            timings,
            units=_PLAIN_CALLS,
        )

    def measure_tokens(self, streams: int) -> LoadRow:
        """Measure streamed answers of the engine, direct and through the path."""

        async def run(endpoint: Endpoint) -> Timings:
            return await measure_streams(
                endpoint, tokens=_TOKENS, count=2 * streams, concurrency=streams
            )

        direct = trio.run(run, Endpoint(self._engine))
        before = self._read_usages("draft")
        timings = trio.run(run, Endpoint(self._callers, "/draft", KEY))
        return self._make_row(
            f"streams x{streams}",
            "draft",
            before,
            direct,
            timings,
            units=timings.tokens,
        )

    def get_endpoint(self, service: str) -> Endpoint:
        """Return the endpoint at which callers reach a service."""
        return Endpoint(self._callers, f"/{service}", KEY)

    def read_usage(self, role: str, *, service: str) -> Usage:
        """Return the resource usage of the entry, or of the agent of a service."""
        process = self._entry if role == "entry" else self._agents[service]
        return read_usage(process.pid)

    def _read_usages(self, service: str) -> tuple[Usage, Usage]:
        return (
            self.read_usage("entry", service=service),
            self.read_usage("agent", service=service),
        )

    def _make_row(
        self,
        load: str,
        service: str,
        before: tuple[Usage, Usage],
        direct: Timings,
        timings: Timings,
        *,
        units: int,
    ) -> LoadRow:
        entry, agent_usage = self._read_usages(service)
        gaps = sorted(timings.gaps_s)
        return LoadRow(
            load=load,
            units=units,
            entry_us=round(entry.since(before[0]) / units * _MICROSECONDS, 1),
            agent_us=round(agent_usage.since(before[1]) / units * _MICROSECONDS, 1),
            direct_ms=round(statistics.median(direct.total_s) * _MILLISECONDS, 2),
            path_ms=round(statistics.median(timings.total_s) * _MILLISECONDS, 2),
            gap_p95_ms=round(gaps[int(len(gaps) * 0.95)] * _MILLISECONDS, 2)
            if gaps
            else 0.0,
            failures=timings.failures,
        )


def main(arguments: Sequence[str]) -> int:
    """Measure, print the rows and write them as JSON if requested."""
    parser = argparse.ArgumentParser(prog="bench path", description=__doc__)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args(arguments)
    with (
        tempfile.TemporaryDirectory() as folder,
        open_cluster(Path(folder)) as cluster,
    ):
        bench = PathBench(cluster)
        idle = bench.measure_idle()
        lines = [bench.measure_plain(one) for one in _PLAIN_CONCURRENCY]
        lines += [bench.measure_tokens(one) for one in _STREAMS]
    rows: list[Idle | LoadRow] = [*idle, *lines]
    for row in rows:
        print("  ".join(f"{name}={value}" for name, value in asdict(row).items()))
    if options.json:
        document = {
            "idle": [asdict(one) for one in idle],
            "loads": [asdict(one) for one in lines],
        }
        options.json.write_text(json.dumps(document, indent=2) + "\n")
    return 0
