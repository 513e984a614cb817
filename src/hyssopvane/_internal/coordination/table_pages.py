"""Keep the table's rows in pages of the key-value service."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

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
    """Hold the text of one cell and the page's sequence at which it was set."""

    text: str
    revision: int


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
class PageEra:
    """Say how far a page had come when an era of the service began."""

    era: int
    copied_sequence: int


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
    eras: tuple[PageEra, ...] = ()
    """Later eras of the service in which the page was edited."""

    def begin_edit(self, edit_id: str, *, era: int = FIRST_ERA) -> "Page":
        """Return the page with its sequence raised and the edit remembered."""
        recent = (*self.recent_edits, edit_id)[-MAX_RECENT_EDITS:]
        sequence, eras = self.sequence, self.eras
        if not self.is_edited_in(era):
            eras = (*eras, PageEra(era, sequence))
            sequence = max(sequence, get_first_number(era))
        return replace(self, sequence=sequence + 1, recent_edits=recent, eras=eras)

    def is_edited_in(self, era: int) -> bool:
        """Tell whether an edit of this era, or of a later one, is in the page."""
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
    """Write a page as JSON; raise `TableError` when it is too large."""
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
            eras=tuple(PageEra(*map(int, one)) for one in document.get("eras", ())),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise TableError(
            f"a page of the table can't be read: {error!r}",
            context=f"{item.key} at revision {item.revision}",
            hint="the last table stays in force; import the table anew",
        ) from error


def read_page_prefix(value: bytes) -> bytes:
    """Return the first bytes of a page, which name its last edit; none where unread."""
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
    """Hold a page's rows as the rest of the system uses them.

    They are kept by kind, so that joining all pages after a change of one copies
    references and parses nothing: a table of 10,000 targets changes every few
    seconds, and each process has a few per cent of a core for it.
    """

    revision: int
    customers: Mapping[str, CustomerRow]
    services: Mapping[str, ServiceRow]
    targets: Mapping[str, TargetRow]
    revisions: Mapping[RowId, RowRevisions]
    era: int = 0


def build_parsed_page(page: Page, revision: int, *, era: int = 0) -> ParsedPage:
    """Parse each row of a page; raise `TableError` for a bad cell."""
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
    # While the fleet is upgraded, a newer operator may set a column that this
    # version does not know. Refusing the page would hold back every other row of it.
    known = COLUMNS[row.kind]
    texts = {name: text for name, text in stored.get_texts().items() if name in known}
    return build_row(row, texts)


def build_table(pages: Iterable[ParsedPage]) -> Table:
    """Join pages to the table; its mark is the last of theirs."""
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
