"""Parse and format the table as CSV with one line per cell."""

import csv
import io
from collections.abc import Iterator

from hyssopvane._internal.coordination.table_edit import (
    CellWrite,
    TableEdit,
    check_edit,
)
from hyssopvane._internal.exceptions import TableError
from hyssopvane._internal.state.columns import RowId, RowKind, parse_row_id
from hyssopvane._internal.state.table import CellId, Table, format_cell

FIELDS = ("kind", "name", "column", "value")
"""Fields of a line; a line without a column adds a row with only defaults."""


def parse_csv(text: str, *, source: str, edit_id: str) -> TableEdit:
    """Return the edit that imports all lines; raise `TableError` for an invalid one."""
    reader = csv.reader(io.StringIO(text))
    if tuple(next(reader, ())) != FIELDS:
        raise TableError(
            "the first line is not the heading of a table",
            context=source,
            hint=f"start the file with {','.join(FIELDS)}; nothing was changed",
        )
    rows: dict[RowId, None] = {}
    writes: dict[CellId, CellWrite] = {}
    for fields in reader:
        if not fields:
            continue
        place = f"{source}, line {reader.line_num}"
        row, write = _parse_line(fields, place=place)
        rows[row] = None
        if write is None:
            continue
        if write.cell in writes:
            raise TableError(
                f"{row} {write.cell.column} is given twice",
                context=place,
                hint="keep one of the lines; nothing was changed",
            )
        writes[write.cell] = write
    return TableEdit(edit_id, writes=tuple(writes.values()), ensured=tuple(rows))


def format_csv(table: Table) -> str:
    """Format the cells that were set and the rows that have only defaults."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(FIELDS)
    for kind in (RowKind.SERVICE, RowKind.CUSTOMER, RowKind.TARGET):
        writer.writerows(_list_lines(table, kind))
    return output.getvalue()


def _parse_line(fields: list[str], *, place: str) -> tuple[RowId, CellWrite | None]:
    if len(fields) != len(FIELDS):
        raise TableError(
            f"a line has {len(fields)} fields instead of {len(FIELDS)}",
            context=place,
            hint=f"write {','.join(FIELDS)}; nothing was changed",
        )
    kind, name, column, value = (field.strip() for field in fields)
    try:
        row = parse_row_id(f"{kind}/{name}")
        if not column:
            return row, None
        write = CellWrite(CellId(row, column), value)
        check_edit(TableEdit("", writes=(write,)))
    except TableError as error:
        context = f"{place}; {error.context}" if error.context else place
        raise TableError(error.message, context=context, hint=error.hint) from error
    return row, write


def _list_lines(table: Table, kind: RowKind) -> Iterator[tuple[str, str, str, str]]:
    for name, row in sorted(table.get_rows(kind).items()):
        columns = sorted(table.revisions[RowId(kind, name)].cells)
        if not columns:
            yield str(kind), name, "", ""
        for column in columns:
            yield str(kind), name, column, format_cell(row, kind, column)
