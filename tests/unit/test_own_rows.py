"""Test the selection and the update of an agent's rows."""

import pytest

from hyssopvane._internal.coordination.own_rows import HeldRows, select_own_rows
from hyssopvane._internal.coordination.spread_messages import (
    OwnRow,
    OwnRows,
    decode_own_rows,
    encode_own_rows,
)
from hyssopvane._internal.coordination.table_pages import get_page_key
from hyssopvane._internal.exceptions import TableError
from hyssopvane._internal.state.columns import RowId, RowKind
from hyssopvane._internal.state.store_position import StorePosition
from hyssopvane._internal.state.table import ServiceRow, Table, TargetRow

PAGE = get_page_key(RowId(RowKind.TARGET, "t-1"))


def send_rows(held, revision, *, in_service=True, weight=100, table_revision=20):
    """Encode the rows of a table as an entry does, and pass them to the agent."""
    table = Table(
        table_revision,
        services={"draft": ServiceRow("draft", deadline_s=7.0)},
        targets={"t-1": TargetRow("t-1", "draft", weight, in_service=in_service)},
    )
    positions = {PAGE: (StorePosition(0, revision),)}
    rows = select_own_rows(table, positions, vm="t-1", service="draft")
    held.accept(decode_own_rows(encode_own_rows(rows)))


@pytest.mark.parametrize(
    ("cells", "takes_work"),
    [({}, True), ({"in_service": False}, False), ({"weight": 0}, False)],
)
def test_rows_come_into_force(cells, takes_work):
    held = HeldRows(vm="t-1", service="draft")
    assert held.takes_work
    send_rows(held, 5, **cells)
    assert held.takes_work is takes_work
    assert held.service.deadline_s == 7.0
    assert held.revision == 20


def test_lagging_entry_does_not_restore_an_old_row():
    """Guard against a target that takes work again after its removal from service.

    Four entries send the agent its rows, and one of them has an old table.
    """
    held = HeldRows(vm="t-1", service="draft")
    send_rows(held, 9, in_service=False)
    send_rows(held, 8, in_service=True, table_revision=8)
    assert not held.takes_work
    assert held.revision == 20
    send_rows(held, 10, in_service=True)
    assert held.takes_work


def test_removed_row_has_its_defaults():
    held = HeldRows(vm="t-1", service="draft")
    send_rows(held, 9, in_service=False)
    held.accept(OwnRows(21, (OwnRow("target/t-1", 10, None),)))
    assert held.takes_work


def test_unknown_column_is_ignored_and_an_invalid_cell_keeps_the_row():
    """A newer entry sends a column that this version does not support."""
    held = HeldRows(vm="t-1", service="draft")
    row = OwnRow("target/t-1", 5, {"weight": "0", "colour": "red"})
    held.accept(OwnRows(5, (row,)))
    assert not held.takes_work
    with pytest.raises(TableError):
        held.accept(OwnRows(6, (OwnRow("target/t-1", 6, {"weight": "x"}),)))
    assert not held.takes_work
