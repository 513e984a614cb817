"""Keep edits in force that the service lost when it was restored from a copy."""

from collections.abc import Mapping
from itertools import zip_longest

from hyssopvane._internal.coordination.table_pages import Cell, Page, StoredRow
from hyssopvane._internal.state.columns import RowId


def merge_versions(versions: Mapping[int, Page]) -> Page:
    """Merge the last versions of a page, one for each era, into one page.

    Each cell has the value that was written last, in the newest version or in a lost
    one.
    """
    (*lost_eras, newest) = sorted(versions)
    merged = versions[newest]
    for era in lost_eras:
        lost = versions[era]
        shared = find_shared_sequence(lost, versions[newest])
        if lost.sequence > shared:
            merged = _restore_rows(merged, lost, shared)
    return merged


def find_shared_sequence(one: Page, other: Page) -> int:
    """Return the last sequence number up to which two versions have the same edits."""
    for own, others in zip_longest(one.eras, other.eras):
        if own != others:
            ends = (
                one.sequence if own is None else own.copied_sequence,
                other.sequence if others is None else others.copied_sequence,
            )
            return min(ends)
    return min(one.sequence, other.sequence)


def _restore_rows(page: Page, lost: Page, shared: int) -> Page:
    rows: dict[RowId, StoredRow] = {}
    for row in page.rows.keys() | lost.rows.keys():
        found = _restore_row(page.rows.get(row), lost.rows.get(row), shared)
        if found is not None:
            rows[row] = found
    return Page(page.sequence, page.recent_edits, rows, page.eras)


def _restore_row(
    row: StoredRow | None, lost: StoredRow | None, shared: int
) -> StoredRow | None:
    if row is None:
        # A row that both versions had was removed since the service was restored.
        return lost if lost is not None and lost.revision > shared else None
    if lost is None:
        # A row that both versions had was removed by a lost edit.
        newest = max(row.revision, *(one.revision for one in row.cells.values()), 0)
        return row if newest > shared else None
    added = max(row.revision, lost.revision)
    cells: dict[str, Cell] = {}
    for name in row.cells.keys() | lost.cells.keys():
        found = [one.cells[name] for one in (row, lost) if name in one.cells]
        cell = max(found, key=lambda one: one.revision)
        if cell.revision >= added:
            cells[name] = cell
    return StoredRow(added, cells)
