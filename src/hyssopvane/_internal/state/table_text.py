"""Format the table as text with aligned columns."""

from collections.abc import Sequence
from dataclasses import dataclass

from hyssopvane._internal.exceptions import TableError
from hyssopvane._internal.state.columns import (
    COLUMNS,
    CellType,
    Column,
    RowId,
    RowKind,
)
from hyssopvane._internal.state.table import CellId, Row, Table, format_cell

_GAP = "  "
_SHOWN_DIGITS = 8
"""Number of hash digits shown by `format_rows`; `format_row` shows all of them."""

_NUMBERS = frozenset({CellType.INTEGER, CellType.NUMBER})


@dataclass(frozen=True, slots=True)
class _TextColumn:
    """Hold the texts of one column, starting with its heading."""

    texts: tuple[str, ...]
    is_number: bool

    @property
    def width(self) -> int:
        return max(len(text) for text in self.texts)

    def pad(self, index: int) -> str:
        text = self.texts[index]
        return text.rjust(self.width) if self.is_number else text.ljust(self.width)


def format_rows(table: Table, kind: RowKind, *, width: int) -> list[str]:
    """Return the lines of all rows of a kind, sorted by name.

    Columns that do not fit in the width are put into further blocks of lines.
    """
    rows = [row for _, row in sorted(table.get_rows(kind).items())]
    if not rows:
        return [f"no {kind}s"]
    names = _TextColumn((f"{kind}", *(row.name for row in rows)), is_number=False)
    columns = [_make_column(rows, column) for column in COLUMNS[kind].values()]
    lines: list[str] = []
    for block in _split_into_blocks(names, columns, width):
        if lines:
            lines.append("")
        lines.extend(_format_block([names, *block]))
    return lines


def format_row(table: Table, row_id: RowId) -> list[str]:
    """Return the lines of one row: each cell with its revision, range and meaning."""
    row = table.get_rows(row_id.kind).get(row_id.name)
    if row is None:
        raise TableError(
            f"{row_id} is not in the table",
            hint=f"see all with `hyssopvane table show {row_id.kind}s`",
        )
    columns = list(COLUMNS[row_id.kind].values())
    revisions = [
        str(table.get_cell_revision(CellId(row_id, column.name))) for column in columns
    ]
    texts = [format_cell(row, row_id.kind, column.name) for column in columns]
    return _format_block(
        [
            _TextColumn(("column", *(column.name for column in columns)), False),
            _TextColumn(("value", *texts), False),
            _TextColumn(("revision", *revisions), True),
            _TextColumn(("allowed", *(c.describe_range() for c in columns)), False),
            _TextColumn(("meaning", *(column.meaning for column in columns)), False),
        ]
    )


def _make_column(rows: Sequence[Row], column: Column) -> _TextColumn:
    texts = [format_cell(row, column.kind, column.name) for row in rows]
    if column.type is CellType.SHA256:
        texts = [text[:_SHOWN_DIGITS] for text in texts]
    return _TextColumn(
        (column.name, *(text or "-" for text in texts)), column.type in _NUMBERS
    )


def _split_into_blocks(
    names: _TextColumn, columns: Sequence[_TextColumn], width: int
) -> list[list[_TextColumn]]:
    blocks: list[list[_TextColumn]] = []
    used = width + 1
    for column in columns:
        needed = len(_GAP) + column.width
        if used + needed > width:
            blocks.append([])
            used = names.width
        blocks[-1].append(column)
        used += needed
    return blocks


def _format_block(columns: Sequence[_TextColumn]) -> list[str]:
    count = len(columns[0].texts)
    return [
        _GAP.join(column.pad(index) for column in columns).rstrip()
        for index in range(count)
    ]
