"""Select the table rows that an agent needs, and keep them at the agent."""

from collections.abc import Mapping, Sequence

from hyssopvane._internal.coordination.spread_messages import OwnRow, OwnRows
from hyssopvane._internal.coordination.table_pages import get_page_key
from hyssopvane._internal.state.columns import COLUMNS, RowId, RowKind
from hyssopvane._internal.state.store_position import StorePosition
from hyssopvane._internal.state.table import (
    Row,
    ServiceRow,
    Table,
    TargetRow,
    build_row,
    format_cell,
)

OWN_ROWS_TOPIC = "table/own-rows"
LISTED_TOPIC = "vms/listed"
"""Topic that reports to an agent whether the platform lists its VM as leaving."""
LEAVING = b"leaving"
STAYING = b"staying"


def select_own_rows(
    table: Table,
    positions: Mapping[str, Sequence[StorePosition]],
    *,
    vm: str,
    service: str,
) -> OwnRows:
    """Return the rows of an agent's target and service with their pages' positions.

    An agent needs no other row. Sending the whole table to each of 10,000 agents would
    cost 10,000 times the traffic of one entry, for rows that the agents never use.
    """
    rows = (RowId(RowKind.TARGET, vm), RowId(RowKind.SERVICE, service))
    return OwnRows(
        table.revision,
        tuple(_describe(table, positions, row) for row in rows),
        table.era,
    )


def _describe(
    table: Table, positions: Mapping[str, Sequence[StorePosition]], row: RowId
) -> OwnRow:
    found = table.get_rows(row.kind).get(row.name)
    newest, *lost = positions.get(get_page_key(row), (StorePosition(0, 0),))
    return OwnRow(
        str(row),
        newest.revision,
        _format_cells(found, row.kind),
        newest.era,
        sum(position.revision for position in lost),
    )


def _format_cells(row: Row | None, kind: RowKind) -> dict[str, str] | None:
    if row is None:
        return None
    return {column: format_cell(row, kind, column) for column in COLUMNS[kind]}


class HeldRows:
    """Hold the rows of this agent and reject older versions of them."""

    def __init__(self, *, vm: str, service: str) -> None:
        self.position = StorePosition(0, 0)
        """Newest table position that an entry reported, whose rows are held here."""
        self.target = TargetRow(vm)
        self.service = ServiceRow(service)
        self._orders: dict[str, tuple[StorePosition, int]] = {}

    @property
    def revision(self) -> int:
        """Return the revision of the table's position."""
        return self.position.revision

    @property
    def takes_work(self) -> bool:
        """Return whether the operators allow new work on the target."""
        return self.target.in_service and self.target.weight > 0

    def accept(self, rows: OwnRows) -> None:
        """Apply rows that are newer; raise `TableError` for an invalid cell."""
        for row in rows.rows:
            # Several entries send the rows, and one of them may lag behind. Applying
            # its older row would return a target to service that an operator removed
            # from service.
            known = self._orders.get(row.row)
            if known is None or row.order > known:
                self._apply_row(row)
        self.update_position(StorePosition(rows.table_era, rows.table_revision))

    def update_position(self, position: StorePosition) -> None:
        """Record the position of the table that an entry has.

        An entry sends changed rows before the heartbeat with their revision, on the
        same connection. A heartbeat therefore never refers to rows that are missing.
        """
        self.position = max(self.position, position)

    def describe(self) -> dict[str, object]:
        """Return the cells of the rows in force as text."""
        return {
            "service": _format_cells(self.service, RowKind.SERVICE),
            "target": _format_cells(self.target, RowKind.TARGET),
        }

    def _apply_row(self, row: OwnRow) -> None:
        kind, _, name = row.row.partition("/")
        row_id = RowId(RowKind(kind), name)
        # A newer entry may send a column that this version does not support.
        known = COLUMNS[row_id.kind]
        cells = {
            column: text
            for column, text in (row.cells or {}).items()
            if column in known
        }
        built = build_row(row_id, cells)
        if isinstance(built, TargetRow) and name == self.target.name:
            self.target = built
        elif isinstance(built, ServiceRow) and name == self.service.name:
            self.service = built
        self._orders[row.row] = row.order
