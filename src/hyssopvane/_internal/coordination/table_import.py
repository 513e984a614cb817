"""Read the example tables that ship with the program."""

import csv
import hashlib
import io
from importlib import resources

import uuid6

from hyssopvane._internal.coordination.table_edit import CellWrite, TableEdit
from hyssopvane._internal.state.columns import RowId, RowKind
from hyssopvane._internal.state.table import CellId

_EXAMPLES_PACKAGE = "hyssopvane._internal.examples"


def read_example_edit(name: str, *, key: str) -> TableEdit:
    """Return the edit that imports an example; its first customer gets the key."""
    text = (resources.files(_EXAMPLES_PACKAGE) / f"{name}.csv").read_text("utf-8")
    cells = [
        CellWrite(
            CellId(RowId(RowKind(line["kind"]), line["name"]), line["column"]),
            line["value"],
        )
        for line in csv.DictReader(io.StringIO(text))
    ]
    rows = dict.fromkeys(write.cell.row for write in cells)
    first = next(row for row in rows if row.kind is RowKind.CUSTOMER)
    digest = hashlib.sha256(key.encode()).hexdigest()
    cells.append(CellWrite(CellId(first, "key_sha256"), digest))
    return TableEdit(str(uuid6.uuid7()), writes=tuple(cells), ensured=tuple(rows))
