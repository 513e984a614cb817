"""Validate an operator's edit and apply it to pages of the table."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from hyssopvane._internal.coordination.service_era import FIRST_ERA
from hyssopvane._internal.coordination.table_pages import (
    Cell,
    Page,
    StoredRow,
    get_page_key,
)
from hyssopvane._internal.exceptions import EditConflict, TableError
from hyssopvane._internal.state.columns import RowId, RowKind, get_column
from hyssopvane._internal.state.table import CellId

_WHOLE_TABLE_COLUMNS = frozenset({"path_prefix", "key_sha256", "service"})
"""Columns whose cells must be consistent with other rows."""


@dataclass(frozen=True, slots=True)
class CellWrite:
    """Set one cell to a text."""

    cell: CellId
    text: str
    expected_revision: int | None = None
    """Cell revision that the operator saw; None uses the one at the first read."""


@dataclass(frozen=True, slots=True)
class TableEdit:
    """Hold changes of the table that are applied together or not at all."""

    edit_id: str
    writes: tuple[CellWrite, ...] = ()
    added: tuple[RowId, ...] = ()
    """Rows that must not exist yet."""
    ensured: tuple[RowId, ...] = ()
    """Rows that are added unless they exist."""
    removed: tuple[RowId, ...] = ()

    def get_rows(self) -> set[RowId]:
        """Return the rows that the edit writes, adds or removes."""
        rows = {write.cell.row for write in self.writes}
        return rows | {*self.added, *self.ensured, *self.removed}

    def needs_whole_table(self) -> bool:
        """Return whether the edit must be validated against other rows."""
        columns = {write.cell.column for write in self.writes}
        kinds = {row.kind for row in (*self.added, *self.ensured, *self.removed)}
        return bool(columns & _WHOLE_TABLE_COLUMNS) or RowKind.SERVICE in kinds


@dataclass(frozen=True, slots=True)
class EditBase:
    """Hold the cell and row revisions that an edit expects.

    They are read once, before the first write, and are the same for every retry.
    Suppose the answer to a write is lost and another operator then changes the cell. A
    retry on the current revisions would silently overwrite the accepted value of the
    other operator. With fixed revisions the retry is a conflict.
    """

    cells: Mapping[CellId, int]
    rows: Mapping[RowId, int]


Pages = Mapping[str, Page]


def check_edit(edit: TableEdit) -> None:
    """Raise `TableError` for an unknown column or an invalid value."""
    for write in edit.writes:
        column = get_column(write.cell.row.kind, write.cell.column)
        column.parse(write.text, row=write.cell.row)


def make_base(edit: TableEdit, pages: Pages) -> EditBase:
    """Return the revisions that an edit expects, given the current pages."""
    return EditBase(
        cells={
            write.cell: _get_cell_revision(pages, write.cell)
            if write.expected_revision is None
            else write.expected_revision
            for write in edit.writes
        },
        rows={row: _get_row_version(pages, row) for row in edit.removed},
    )


def apply_edit(
    edit: TableEdit, pages: Pages, base: EditBase, *, era: int = FIRST_ERA
) -> dict[str, Page]:
    """Return the changed pages; raise `TableError` or `EditConflict`."""
    _check_rows(edit, pages)
    _check_base(edit, pages, base)
    changed = {
        key: pages[key].begin_edit(edit.edit_id, era=era)
        for key in {get_page_key(row) for row in edit.get_rows()}
    }
    for row in (*edit.added, *edit.ensured):
        _add_row(changed, row)
    for write in edit.writes:
        _write_cell(changed, write)
    for row in edit.removed:
        key = get_page_key(row)
        changed[key] = changed[key].without_row(row)
    return changed


def renumber_edit(edit: TableEdit, pages: Pages, era: int) -> dict[str, Page]:
    """Return the pages of a committed edit with the revisions of a later era.

    An edit that was sent before its editor knew that the service was restored may have
    the revision of a lost edit. It would not come into force in processes that know the
    lost edit.
    """
    changed = {
        key: pages[key].begin_edit(edit.edit_id, era=era)
        for key in {get_page_key(row) for row in edit.get_rows()}
    }
    for row in {*edit.added, *edit.ensured}:
        stored = _find_row(changed, row)
        if stored is not None:
            key = get_page_key(row)
            added = replace(stored, revision=changed[key].sequence)
            changed[key] = changed[key].with_row(row, added)
    for write in edit.writes:
        stored = _find_row(changed, write.cell.row)
        cell = stored.cells.get(write.cell.column) if stored else None
        if cell is not None and cell.text == _format_text(write):
            _write_cell(changed, write)
    return changed


def _check_rows(edit: TableEdit, pages: Pages) -> None:
    for row in edit.added:
        if _find_row(pages, row) is not None:
            raise TableError(
                f"{row} is already in the table",
                hint="set its cells with `hyssopvane table set`; nothing was changed",
            )
    created = {*edit.added, *edit.ensured}
    needed = {write.cell.row for write in edit.writes} - created
    for row in sorted({*needed, *edit.removed}, key=str):
        if _find_row(pages, row) is None:
            raise TableError(
                f"{row} is not in the table",
                hint=f"add it with `hyssopvane table add {row}`, or correct the name; "
                "nothing was changed",
            )


def _check_base(edit: TableEdit, pages: Pages, base: EditBase) -> None:
    for write in edit.writes:
        found = _get_cell_revision(pages, write.cell)
        if found != base.cells[write.cell]:
            _raise_conflict(pages, write, base.cells[write.cell], found)
    for row in edit.removed:
        if _get_row_version(pages, row) != base.rows[row]:
            raise EditConflict(
                f"another operator changed {row} first",
                hint="read the row again and decide whether to remove it",
            )


def _raise_conflict(pages: Pages, write: CellWrite, expected: int, found: int) -> None:
    row, name = write.cell.row, write.cell.column
    stored = _find_row(pages, row)
    cell = stored.cells.get(name) if stored else None
    column = get_column(row.kind, name)
    value = cell.text if cell else f"{column.format(column.default)} (the default)"
    raise EditConflict(
        f"another operator changed {row} {name} first: it is {value}",
        context=f"expected cell revision {expected}, found {found}",
        hint=f"if {write.text} is still wanted, set it again with --expect {found}",
    )


def _add_row(pages: dict[str, Page], row: RowId) -> None:
    key = get_page_key(row)
    if row not in pages[key].rows:
        pages[key] = pages[key].with_row(row, StoredRow(pages[key].sequence))


def _write_cell(pages: dict[str, Page], write: CellWrite) -> None:
    row, name = write.cell.row, write.cell.column
    key = get_page_key(row)
    stored = pages[key].rows[row]
    cell = Cell(_format_text(write), pages[key].sequence)
    cells = {**stored.cells, name: cell}
    pages[key] = pages[key].with_row(row, replace(stored, cells=cells))


def _format_text(write: CellWrite) -> str:
    # The stored text is the canonical one, so equal values read alike everywhere.
    row = write.cell.row
    column = get_column(row.kind, write.cell.column)
    return column.format(column.parse(write.text, row=row))


def _find_row(pages: Pages, row: RowId) -> StoredRow | None:
    return pages[get_page_key(row)].rows.get(row)


def _get_cell_revision(pages: Pages, cell: CellId) -> int:
    stored = _find_row(pages, cell.row)
    return stored.get_cell_revision(cell.column) if stored else 0


def _get_row_version(pages: Pages, row: RowId) -> int:
    stored = _find_row(pages, row)
    if stored is None:
        return 0
    return max(stored.revision, *_get_revisions(stored.cells.values()))


def _get_revisions(cells: Iterable[Cell]) -> list[int]:
    return [0, *(cell.revision for cell in cells)]
