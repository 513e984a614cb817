"""Measure the time from an accepted edit until it is in force at all entries."""

import json
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random

import trio

from bench.output import parse_options, print_table, write_json
from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore
from hyssopvane._internal.coordination.table_edit import CellWrite, TableEdit
from hyssopvane._internal.coordination.table_store import TableEditor
from hyssopvane._internal.state.table import CellId
from tests.lib.http import request
from tests.lib.installation import CLERKS, OPERATOR, commit_table, wait_for_targets
from tests.lib.processes import Cluster, open_cluster, wait_until

_ENTRIES = (3, 4, 5, 6)
_ROUNDS = 30
_TIMEOUT_S = 30.0
_MILLISECONDS = 1_000
_WATCHERS = 2


@dataclass(frozen=True, slots=True)
class SpreadRow:
    """Hold the times in milliseconds for one number of entries."""

    entries: int
    rounds: int
    median_ms: float
    p95_ms: float
    worst_ms: float
    not_in_force: int
    """Rounds in which the edit was not in force at every entry within 30 s."""


async def _edit_and_wait(cluster: Cluster, vms: Sequence[str], number: int) -> float:
    async with trio.open_nursery() as nursery:
        store = EtcdKeyValueStore(cluster.platform)
        await store.start(nursery)
        write = CellWrite(CellId(CLERKS, "weight"), str(number + 1), None)
        editor = TableEditor(store, random=Random(number))
        accepted = await editor.commit(
            TableEdit(f"bench-{len(vms)}-{number}", writes=(write,))
        )
        accepted_at = time.perf_counter()
        await store.close()
        nursery.cancel_scope.cancel()
    return _wait_in_force(cluster, vms, accepted.table_revision, accepted_at)


def _wait_in_force(
    cluster: Cluster, vms: Sequence[str], revision: int, accepted_at: float
) -> float:
    """Return the seconds until all entries have the revision, or infinity."""
    pending = list(vms)
    while pending:
        elapsed_s = time.perf_counter() - accepted_at
        if elapsed_s > _TIMEOUT_S:
            return float("inf")
        pending = [vm for vm in pending if _read_revision(cluster, vm) < revision]
    return time.perf_counter() - accepted_at


def _read_revision(cluster: Cluster, vm: str) -> int:
    answer = request("GET", cluster.operators[vm], "/in-force", headers=OPERATOR)
    return int(json.loads(answer.body)["table_revision"])


def _has_all_watchers(cluster: Cluster, vms: Sequence[str]) -> bool:
    watching = 0
    for vm in vms:
        answer = request("GET", cluster.operators[vm], "/in-force", headers=OPERATOR)
        watching += bool(json.loads(answer.body)["watches"])
    return watching == _WATCHERS


def _measure(entries: int) -> SpreadRow:
    with (
        tempfile.TemporaryDirectory() as folder,
        open_cluster(Path(folder)) as cluster,
    ):
        commit_table(cluster.platform)
        vms = [f"entry-{number}" for number in range(entries)]
        for vm in vms:
            cluster.start_entry(vm)
        for vm in vms:
            wait_for_targets(cluster, vm, 0)
        wait_until(lambda: _has_all_watchers(cluster, vms))
        times = [
            trio.run(_edit_and_wait, cluster, vms, number) for number in range(_ROUNDS)
        ]
    finite_times = sorted(one * _MILLISECONDS for one in times if one != float("inf"))
    return SpreadRow(
        entries,
        _ROUNDS,
        round(statistics.median(finite_times), 1),
        round(finite_times[int(0.95 * (len(finite_times) - 1))], 1),
        round(finite_times[-1], 1),
        len(times) - len(finite_times),
    )


def main(arguments: Sequence[str]) -> int:
    """Measure three to six entries in one zone, and print a row for each number."""
    options = parse_options("spread", arguments)
    lines = [_measure(entries) for entries in _ENTRIES]
    print_table(lines)
    write_json(
        options.json,
        [{name: getattr(one, name) for name in SpreadRow.__slots__} for one in lines],
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
