"""Define the operators' table as one process has read it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from hyssopvane._internal.exceptions import TableError
from hyssopvane._internal.state.columns import (
    COLUMNS,
    CellValue,
    RowId,
    RowKind,
    get_column,
)
from hyssopvane._internal.state.store_position import StorePosition


@dataclass(frozen=True, slots=True)
class CustomerRow:
    """Hold the weight and the limits of one customer."""

    name: str
    key_sha256: str = ""
    """SHA-256 of the customer's API key in hexadecimal; empty if there is none."""
    weight: int = 100
    priority: int = 5
    rate_limit: float = 0.0
    rate_burst: int = 0
    concurrency_limit: int = 0
    token_limit: int = 0


@dataclass(frozen=True, slots=True)
class ServiceRow:
    """Hold the limits and rules of one service."""

    name: str
    path_prefix: str = ""
    """Path prefix of the service; `/NAME` unless set."""
    repeatable: bool = False
    key_required: bool = False
    idempotency_window_s: int = 600
    deadline_s: float = 60.0
    queue_limit: int = 1000
    queue_token_limit: int = 2_000_000
    target_concurrency: int = 32
    target_tokens: int = 100_000
    retry_budget: int = 10
    """Maximum number of retries, in percent of new requests."""
    max_ejected: int = 30
    """Maximum share of targets that may be ejected as slow, in percent."""
    quarantine_s: int = 3600
    skew_worth: float = 0.0
    move_cost: float = 1.0
    move_from_hour: int = 0
    move_to_hour: int = 24
    checks_fence: bool = False

    def __post_init__(self) -> None:
        if not self.path_prefix:
            object.__setattr__(self, "path_prefix", f"/{self.name}")


@dataclass(frozen=True, slots=True)
class TargetRow:
    """Hold the weight and the limits of one target."""

    name: str
    service: str = ""
    weight: int = 100
    concurrency_limit: int = 0
    in_service: bool = True


Row = CustomerRow | ServiceRow | TargetRow

ROW_TYPES: Mapping[RowKind, type[CustomerRow] | type[ServiceRow] | type[TargetRow]] = {
    RowKind.CUSTOMER: CustomerRow,
    RowKind.SERVICE: ServiceRow,
    RowKind.TARGET: TargetRow,
}


@dataclass(frozen=True, slots=True)
class CellId:
    """Identify one cell of the table."""

    row: RowId
    column: str


@dataclass(frozen=True, slots=True)
class RowRevisions:
    """Hold the revisions of one row's cells."""

    row: int
    """Revision at which the row was added, which also applies to unset cells."""
    cells: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Table:
    """Hold all rows as of one revision of the key-value service."""

    revision: int = 0
    customers: Mapping[str, CustomerRow] = field(
        default_factory=lambda: MappingProxyType({})
    )
    services: Mapping[str, ServiceRow] = field(
        default_factory=lambda: MappingProxyType({})
    )
    targets: Mapping[str, TargetRow] = field(
        default_factory=lambda: MappingProxyType({})
    )
    revisions: Mapping[RowId, RowRevisions] = field(
        default_factory=lambda: MappingProxyType({})
    )
    era: int = 0
    """Era of the service in which the revision is valid."""

    @property
    def position(self) -> StorePosition:
        """Return the position in the service's history that the table reflects."""
        return StorePosition(self.era, self.revision)

    def get_rows(self, kind: RowKind) -> Mapping[str, Row]:
        """Return the rows of one kind by name."""
        rows: dict[RowKind, Mapping[str, Row]] = {
            RowKind.CUSTOMER: self.customers,
            RowKind.SERVICE: self.services,
            RowKind.TARGET: self.targets,
        }
        return rows[kind]

    def get_cell_revision(self, cell: CellId) -> int:
        """Return the revision of a cell; 0 if its row does not exist."""
        row = self.revisions.get(cell.row)
        return row.cells.get(cell.column, row.row) if row else 0


def build_row(row: RowId, cells: Mapping[str, str]) -> Row:
    """Parse the given cells into a row; the other cells get their defaults.

    Raise `TableError` if a column is unknown or a value is invalid.
    """
    values = {
        name: get_column(row.kind, name).parse(text, row=row)
        for name, text in cells.items()
    }
    return _make_row(row, values)


def _make_row(row: RowId, values: Mapping[str, CellValue]) -> Row:
    # Parsing has checked the type of each value, so the fields' types match.
    return ROW_TYPES[row.kind](row.name, **values)  # type: ignore[arg-type]


def get_cell(row: Row, kind: RowKind, column: str) -> CellValue:
    """Return the value of one cell, which is the default if the cell is not set.

    Raise `TableError` if rows of this kind do not have the column.
    """
    get_column(kind, column)
    value: CellValue = getattr(row, column)
    return value


def format_cell(row: Row, kind: RowKind, column: str) -> str:
    """Return the text of one cell, which parses back to its value."""
    return COLUMNS[kind][column].format(get_cell(row, kind, column))


def check_references(table: Table) -> None:
    """Raise `TableError` if a target's service is missing or a value is not unique."""
    for target in table.targets.values():
        if target.service and target.service not in table.services:
            raise TableError(
                f"target/{target.name} belongs to service {target.service!r}, "
                "which is not in the table",
                context=f"services: {', '.join(sorted(table.services)) or 'none'}",
                hint="add the service first, or give the target another; "
                "nothing was changed",
            )
    _check_unique(
        "path_prefix",
        {f"service/{row.name}": row.path_prefix for row in table.services.values()},
    )
    _check_unique(
        "key_sha256",
        {
            f"customer/{row.name}": row.key_sha256
            for row in table.customers.values()
            if row.key_sha256
        },
    )


def _check_unique(column: str, values: Mapping[str, str]) -> None:
    owners: dict[str, str] = {}
    for row, value in values.items():
        other = owners.setdefault(value, row)
        if other != row:
            raise TableError(
                f"{row} and {other} have the same {column} {value!r}",
                hint=f"give each its own {column}; nothing was changed",
            )
