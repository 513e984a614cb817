"""Load the example tables that are included in the package."""

import hashlib
from dataclasses import replace
from importlib import resources

import uuid6

from hyssopvane._internal.coordination.table_csv import parse_csv
from hyssopvane._internal.coordination.table_edit import CellWrite, TableEdit
from hyssopvane._internal.state.columns import RowKind
from hyssopvane._internal.state.table import CellId

_EXAMPLES_PACKAGE = "hyssopvane._internal.examples"


def read_example(name: str) -> str:
    """Return the CSV text of an example table."""
    return (resources.files(_EXAMPLES_PACKAGE) / f"{name}.csv").read_text("utf-8")


def read_example_edit(name: str, *, key: str) -> TableEdit:
    """Return the edit that imports an example and sets its first customer's key."""
    edit = parse_csv(read_example(name), source=name, edit_id=str(uuid6.uuid7()))
    first = next(row for row in edit.ensured if row.kind is RowKind.CUSTOMER)
    digest = hashlib.sha256(key.encode()).hexdigest()
    write = CellWrite(CellId(first, "key_sha256"), digest)
    return replace(edit, writes=(*edit.writes, write))
