"""Keep the table's rows in pages of the key-value service."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

import xxhash

from hyssopvane._internal.coordination.key_value import MAX_VALUE_BYTES, KeyValue
from hyssopvane._internal.exceptions import TableError
from hyssopvane._internal.state.columns import COLUMNS, RowId, RowKind
from hyssopvane._internal.state.table import (
    CellId,
    CustomerRow,
    Row,
    ServiceRow,
    Table,
    TargetRow,
    build_row,
)

PAGE_PREFIX = "table/page/"

PAGE_COUNT = 64
"""Pages of the table.

An edit rewrites one page and a reader is sent one page, so more pages make an edit
cheaper. All of them must fit in one transaction, in which etcd takes 128 changes.
"""

MAX_PAGE_BYTES = MAX_VALUE_BYTES - 16 * 1024
"""Largest page, with room for the service's own overhead."""

MAX_RECENT_EDITS = 32
"""Edit ids that a page remembers, to resolve a reply that was lost."""

_FORMAT = 1


@dataclass(frozen=True, slots=True)
class Cell:
    """Hold the text of one cell and the edit that set it."""

    text: str
    revision: int
    edit_id: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """Hold the cells of one row that were set."""

    revision: int
    """Revision at which the row was added."""
    cells: Mapping[str, Cell] = field(default_factory=dict)

    def get_cell_revision(self, column: str) -> int:
        """Return the revision of a cell."""
        cell = self.cells.get(column)
        return cell.revision if cell else self.revision

    def get_texts(self) -> dict[str, str]:
        """Return the texts of the cells that were set."""
        return {name: cell.text for name, cell in self.cells.items()}


@dataclass(frozen=True, slots=True)
class Page:
    """Hold the rows of one page.

    `sequence` counts the page's edits and gives cells their revisions. Pages are
    never deleted, so a row that is removed and added again has higher revisions
    than before, and an edit that expects the old row can't hit the new one.
    """

    sequence: int = 0
    recent_edits: tuple[str, ...] = ()
    rows: Mapping[RowId, StoredRow] = field(default_factory=dict)

    def begin_edit(self, edit_id: str) -> "Page":
        """Return the page with its sequence raised and the edit remembered."""
        recent = (*self.recent_edits, edit_id)[-MAX_RECENT_EDITS:]
        return replace(self, sequence=self.sequence + 1, recent_edits=recent)

    def with_row(self, row: RowId, stored: StoredRow) -> "Page":
        """Return the page with one row replaced."""
        return replace(self, rows={**self.rows, row: stored})

    def without_row(self, row: RowId) -> "Page":
        """Return the page with one row removed."""
        rows = {other: stored for other, stored in self.rows.items() if other != row}
        return replace(self, rows=rows)


def get_page_key(row: RowId) -> str:
    """Return the key of the page that holds a row."""
    number = xxhash.xxh64_intdigest(str(row).encode()) % PAGE_COUNT
    return f"{PAGE_PREFIX}{number:02d}"


def format_page(page: Page) -> bytes:
    """Write a page as JSON; raise `TableError` when it is too large."""
    rows = {
        str(row): {
            "revision": stored.revision,
            "cells": {
                name: [cell.text, cell.revision, cell.edit_id]
                for name, cell in sorted(stored.cells.items())
            },
        }
        for row, stored in sorted(page.rows.items(), key=lambda item: str(item[0]))
    }
    document = {
        "format": _FORMAT,
        "sequence": page.sequence,
        "recent_edits": list(page.recent_edits),
        "rows": rows,
    }
    content = json.dumps(document, separators=(",", ":")).encode()
    if len(content) > MAX_PAGE_BYTES:
        raise TableError(
            f"the table is too large: one of its pages would have {len(content)} bytes",
            context=f"the key-value service takes {MAX_PAGE_BYTES} a page",
            hint="remove rows that are no longer needed; nothing was changed",
        )
    return content


def parse_page(item: KeyValue) -> Page:
    """Read a page; raise `TableError` when it is not one."""
    try:
        document = json.loads(item.value)
        if document["format"] != _FORMAT:
            raise ValueError(f"unknown format {document['format']}")
        return Page(
            sequence=int(document["sequence"]),
            recent_edits=tuple(document["recent_edits"]),
            rows=dict(_parse_row(*pair) for pair in document["rows"].items()),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise TableError(
            f"a page of the table can't be read: {error!r}",
            context=f"{item.key} at revision {item.revision}",
            hint="the last table stays in force; import the table anew",
        ) from error


def _parse_row(name: str, document: dict[str, object]) -> tuple[RowId, StoredRow]:
    kind, _, row_name = name.partition("/")
    cells = document["cells"]
    if not isinstance(cells, dict):
        raise TypeError(f"cells of {name}")
    revision = document["revision"]
    if not isinstance(revision, int):
        raise TypeError(f"revision of {name}")
    stored = StoredRow(
        revision=revision,
        cells={column: Cell(*values) for column, values in cells.items()},
    )
    return RowId(RowKind(kind), row_name), stored


@dataclass(frozen=True, slots=True)
class ParsedPage:
    """Hold a page with its rows as the rest of the system uses them."""

    revision: int
    page: Page
    rows: Mapping[RowId, Row]


def build_parsed_page(page: Page, revision: int) -> ParsedPage:
    """Parse each row of a page; raise `TableError` for a bad cell."""
    rows = {row: _build_known_cells(row, s) for row, s in page.rows.items()}
    return ParsedPage(revision, page, rows)


def _build_known_cells(row: RowId, stored: StoredRow) -> Row:
    # While the fleet is upgraded, a newer operator may set a column that this
    # version does not know. Refusing the page would hold back every other row of it.
    known = COLUMNS[row.kind]
    texts = {name: text for name, text in stored.get_texts().items() if name in known}
    return build_row(row, texts)


def build_table(pages: Iterable[ParsedPage]) -> Table:
    """Join pages to the table; its revision is the highest of theirs."""
    revision = 0
    customers: dict[str, CustomerRow] = {}
    services: dict[str, ServiceRow] = {}
    targets: dict[str, TargetRow] = {}
    cell_revisions: dict[CellId, int] = {}
    row_revisions: dict[RowId, int] = {}
    for parsed in pages:
        revision = max(revision, parsed.revision)
        for row in parsed.rows.values():
            if isinstance(row, CustomerRow):
                customers[row.name] = row
            elif isinstance(row, ServiceRow):
                services[row.name] = row
            else:
                targets[row.name] = row
        for row_id, stored in parsed.page.rows.items():
            row_revisions[row_id] = stored.revision
            for name, cell in stored.cells.items():
                cell_revisions[CellId(row_id, name)] = cell.revision
    return Table(
        revision=revision,
        customers=dict(sorted(customers.items())),
        services=dict(sorted(services.items())),
        targets=dict(sorted(targets.items())),
        cell_revisions=cell_revisions,
        row_revisions=row_revisions,
    )
