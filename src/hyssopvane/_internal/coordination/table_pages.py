"""Store the rows of the table in pages of the key-value service."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import xxhash

from hyssopvane._internal.coordination.key_value import MAX_VALUE_BYTES, KeyValue
from hyssopvane._internal.coordination.service_era import (
    FIRST_ERA,
    get_first_number,
)
from hyssopvane._internal.exceptions import TableError
from hyssopvane._internal.state.columns import COLUMNS, RowId, RowKind
from hyssopvane._internal.state.store_position import StorePosition
from hyssopvane._internal.state.table import (
    CustomerRow,
    Row,
    RowRevisions,
    ServiceRow,
    Table,
    TargetRow,
    build_row,
)
from hyssopvane._internal.utils.json_documents import (
    UnreadableDocument,
    parse_document,
    read_number,
)

PAGE_PREFIX = "table/page/"

PAGE_COUNT = 64
"""Number of pages of the table.

An edit rewrites one page and sends one page to each reader, so more pages make edits
cheaper. All pages must fit into one transaction, which etcd limits to 128 operations.
"""

MAX_PAGE_BYTES = MAX_VALUE_BYTES - 16 * 1024
"""Maximum size of a page; the remainder is for the service's own overhead."""

MAX_RECENT_EDITS = 32
"""Number of recent edit ids in a page, which resolve lost replies."""

_FORMAT = 1


@dataclass(frozen=True, slots=True)
class Cell:
    """Hold the text of one cell and the sequence number of the edit that set it."""

    text: str
    revision: int


@dataclass(frozen=True, slots=True)
class StoredRow:
    """Hold the cells of one row that an operator has set."""

    revision: int
    """Sequence number of the edit that added the row."""
    cells: Mapping[str, Cell] = field(default_factory=dict)

    def get_cell_revision(self, column: str) -> int:
        """Return the revision of a cell, or that of its row where it is not set."""
        cell = self.cells.get(column)
        return cell.revision if cell else self.revision

    def get_texts(self) -> dict[str, str]:
        """Return the texts of the set cells by column."""
        return {name: cell.text for name, cell in self.cells.items()}


@dataclass(frozen=True, slots=True)
class PageEra:
    """Hold the sequence number of a page at the start of an era of the service."""

    era: int
    copied_sequence: int


@dataclass(frozen=True, slots=True)
class Page:
    """Hold the rows and the edit history of one page.

    `sequence` counts the edits of the page and is the source of cell revisions. Pages
    are never deleted, so a row that is removed and added again has higher revisions
    than before. An edit that expects the old row therefore can't change the new one.
    """

    sequence: int = 0
    recent_edits: tuple[str, ...] = ()
    rows: Mapping[RowId, StoredRow] = field(default_factory=dict)
    eras: tuple[PageEra, ...] = ()
    """Eras of the service after the first one in which the page was edited."""

    def begin_edit(self, edit_id: str, *, era: int = FIRST_ERA) -> "Page":
        """Return the page with the next sequence number and the edit id recorded."""
        recent = (*self.recent_edits, edit_id)[-MAX_RECENT_EDITS:]
        sequence, eras = self.sequence, self.eras
        if not self.is_edited_in(era):
            eras = (*eras, PageEra(era, sequence))
            sequence = max(sequence, get_first_number(era))
        return replace(self, sequence=sequence + 1, recent_edits=recent, eras=eras)

    def is_edited_in(self, era: int) -> bool:
        """Return whether the page has an edit of this era or of a later one."""
        return era <= max([FIRST_ERA, *(one.era for one in self.eras)])

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
    """Format a page as JSON; raise `TableError` when it is too large."""
    rows = {
        str(row): [
            stored.revision,
            {
                name: [cell.text, cell.revision]
                for name, cell in sorted(stored.cells.items())
            },
        ]
        for row, stored in sorted(page.rows.items(), key=lambda item: str(item[0]))
    }
    document: dict[str, object] = {
        "format": _FORMAT,
        "sequence": page.sequence,
        "recent_edits": list(page.recent_edits),
    }
    if page.eras:
        document["eras"] = [[one.era, one.copied_sequence] for one in page.eras]
    document["rows"] = rows
    content = json.dumps(document, separators=(",", ":")).encode()
    if len(content) > MAX_PAGE_BYTES:
        raise TableError(
            f"the table is too large: one of its pages would have {len(content)} bytes",
            context=f"the key-value service accepts at most {MAX_PAGE_BYTES} per page",
            hint="remove rows that are no longer needed; nothing was changed",
        )
    return content


def parse_page(item: KeyValue) -> Page:
    """Parse a page; raise `TableError` when it is malformed."""
    try:
        return parse_document(item.value, _build_page)
    except UnreadableDocument as error:
        raise TableError(
            f"a page of the table can't be read: {error}",
            context=f"{item.key} at revision {item.revision}",
            hint="the last table stays in force; import the table again",
        ) from error


def _build_page(document: Any) -> Page:
    if document["format"] != _FORMAT:
        raise ValueError(f"unknown format {document['format']}")
    return Page(
        sequence=read_number(document["sequence"]),
        recent_edits=tuple(document["recent_edits"]),
        rows=dict(_parse_row(*pair) for pair in document["rows"].items()),
        eras=tuple(PageEra(*map(read_number, one)) for one in document.get("eras", ())),
    )


def read_page_prefix(value: bytes) -> bytes:
    """Return the bytes before the rows, which identify the last edit; empty if none."""
    head, rows, _ = value.partition(b',"rows":')
    return head if rows else b""


def _parse_row(name: str, document: list[object]) -> tuple[RowId, StoredRow]:
    kind, _, row_name = name.partition("/")
    revision, cells = document
    if not isinstance(revision, int) or not isinstance(cells, dict):
        raise TypeError(f"row {name}")
    parsed = {column: Cell(*values) for column, values in cells.items()}
    return RowId(RowKind(kind), row_name), StoredRow(revision, parsed)


@dataclass(frozen=True, slots=True)
class ParsedPage:
    """Hold the parsed rows of a page by kind.

    Joining all pages after a change of one of them then only copies references and
    parses nothing. A table of 10,000 targets changes every few seconds, and each
    process has a few per cent of a core for this.
    """

    revision: int
    customers: Mapping[str, CustomerRow]
    services: Mapping[str, ServiceRow]
    targets: Mapping[str, TargetRow]
    revisions: Mapping[RowId, RowRevisions]
    era: int = 0


def build_parsed_page(page: Page, revision: int, *, era: int = 0) -> ParsedPage:
    """Parse each row of a page; raise `TableError` for an invalid cell."""
    rows = [_build_known_cells(row, stored) for row, stored in page.rows.items()]
    return ParsedPage(
        revision=revision,
        customers={row.name: row for row in rows if isinstance(row, CustomerRow)},
        services={row.name: row for row in rows if isinstance(row, ServiceRow)},
        targets={row.name: row for row in rows if isinstance(row, TargetRow)},
        revisions={
            row: RowRevisions(
                stored.revision,
                {name: cell.revision for name, cell in stored.cells.items()},
            )
            for row, stored in page.rows.items()
        },
        era=era,
    )


def _build_known_cells(row: RowId, stored: StoredRow) -> Row:
    # During an upgrade of the fleet, a newer version may set a column that this version
    # does not support. Rejecting the page would block all of its other rows.
    known = COLUMNS[row.kind]
    texts = {name: text for name, text in stored.get_texts().items() if name in known}
    return build_row(row, texts)


def build_table(pages: Iterable[ParsedPage]) -> Table:
    """Join pages into the table; its position is the newest of theirs."""
    position = StorePosition(0, 0)
    customers: dict[str, CustomerRow] = {}
    services: dict[str, ServiceRow] = {}
    targets: dict[str, TargetRow] = {}
    revisions: dict[RowId, RowRevisions] = {}
    for page in pages:
        position = max(position, StorePosition(page.era, page.revision))
        customers.update(page.customers)
        services.update(page.services)
        targets.update(page.targets)
        revisions.update(page.revisions)
    return Table(
        position.revision, customers, services, targets, revisions, position.era
    )
