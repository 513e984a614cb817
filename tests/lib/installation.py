"""Edit the table of an installation, and read the state of its processes."""

import hashlib
import json
from collections.abc import Iterable
from random import Random

import trio

from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore
from hyssopvane._internal.coordination.table_edit import CellWrite, TableEdit
from hyssopvane._internal.coordination.table_store import TableEditor
from hyssopvane._internal.exceptions import KeyValueError
from hyssopvane._internal.state.columns import RowId, RowKind
from hyssopvane._internal.state.table import CellId
from tests.lib.http import request
from tests.lib.processes import TOKEN, Cluster, wait_until

KEY = "key-of-the-clerks"
EDIT_PAUSE_S = 0.1
OPERATOR = {"Authorization": f"Bearer {TOKEN}"}
CLERKS = RowId(RowKind.CUSTOMER, "clerks")
DRAFT = RowId(RowKind.SERVICE, "draft")
CHECK = RowId(RowKind.SERVICE, "check")


def make_table_edit(cells: Iterable[tuple[RowId, str, str]] = ()) -> TableEdit:
    """Return an edit that adds one customer and two services, and sets cells."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    writes = [CellWrite(CellId(CLERKS, "key_sha256"), digest)]
    writes += [CellWrite(CellId(row, column), text) for row, column, text in cells]
    return TableEdit("edit-1", added=(CLERKS, DRAFT, CHECK), writes=tuple(writes))


def commit_table(platform: str, cells: Iterable[tuple[RowId, str, str]] = ()) -> None:
    """Add one customer and two services to the table, and set cells."""

    async def commit() -> None:
        async with trio.open_nursery() as nursery:
            store = EtcdKeyValueStore(platform)
            await store.start(nursery)
            editor = TableEditor(store, random=Random(0))
            await editor.commit(make_table_edit(cells))
            await store.close()

    trio.run(commit)


async def commit_cell(
    platform: str, row: RowId, column: str, text: str, *, number: int
) -> int:
    """Set a cell, retry until the service is available, and return the revision."""
    edit = TableEdit(f"cell-{number}", writes=(CellWrite(CellId(row, column), text),))
    store = EtcdKeyValueStore(platform)
    editor = TableEditor(store, random=Random(number))
    async with trio.open_nursery() as nursery:
        await store.start(nursery)
        while True:
            try:
                accepted = await editor.commit(edit)
                break
            except KeyValueError:
                await trio.sleep(EDIT_PAUSE_S)
        await store.close()
    return accepted.table_revision


def read_in_force(cluster: Cluster, vm: str) -> dict[str, object]:
    """Return the state that a process reports as in force."""
    answer = request("GET", cluster.operators[vm], "/in-force", headers=OPERATOR)
    document: dict[str, object] = json.loads(answer.body)
    return document


def wait_for_targets(cluster: Cluster, vm: str, count: int) -> None:
    """Wait until an entry has a table and is connected to `count` targets."""

    def is_ready() -> bool:
        in_force = read_in_force(cluster, vm)
        targets = in_force["targets"]
        assert isinstance(targets, list)
        return bool(in_force["table_revision"]) and len(targets) == count

    wait_until(is_ready)
