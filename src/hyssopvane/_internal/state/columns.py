"""Define the columns of the operators' table: types, ranges and defaults."""

import re
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from hyssopvane._internal.exceptions import TableError

CellValue: TypeAlias = str | int | float | bool

NAME_PATTERN = r"[a-z0-9][a-z0-9-]{0,62}"
_NAME = re.compile(NAME_PATTERN)


class RowKind(StrEnum):
    """Enumerate the kinds of row; the values appear in row ids."""

    CUSTOMER = "customer"
    SERVICE = "service"
    TARGET = "target"


class CellType(StrEnum):
    """Enumerate the types of cell; the values appear in error messages."""

    INTEGER = "integer"
    NUMBER = "number"
    BOOLEAN = "yes/no"
    NAME = "name"
    SHA256 = "sha256"
    PATH = "path"


@dataclass(frozen=True, slots=True)
class RowId:
    """Identify one row of the table."""

    kind: RowKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


@dataclass(frozen=True, slots=True)
class Column:
    """Describe a column: the type, range and meaning of its cells."""

    kind: RowKind
    name: str
    type: CellType
    default: CellValue
    meaning: str
    unit: str = ""
    low: int | float | None = None
    high: int | float | None = None

    def parse(self, text: str, *, row: RowId) -> CellValue:
        """Parse a cell; raise `TableError` if the text is not a value in range."""
        value = _PARSERS[self.type](text.strip())
        if value is None or not self._is_in_range(value):
            raise TableError(
                f"{row}: column {self.name} has invalid value {text!r}",
                context=f"allowed: {self.describe_range()}",
                hint=f"set {self.name} to a value in this range; nothing was changed",
            )
        return value

    def format(self, value: CellValue) -> str:
        """Return the text of a value, which `parse` turns back into the same value."""
        if isinstance(value, bool):
            return "yes" if value else "no"
        return str(value)

    def describe_range(self) -> str:
        """Describe the allowed values in words."""
        words = _RANGES.get(self.type)
        if words is None:
            words = f"{self.type} from {self.low} to {self.high}"
        return f"{words} {self.unit}".strip()

    def _is_in_range(self, value: CellValue) -> bool:
        if isinstance(value, str | bool):
            return True
        low = self.low if self.low is not None else float("-inf")
        high = self.high if self.high is not None else float("inf")
        # Comparisons with NaN are false, so NaN is refused.
        return low <= value <= high


def parse_row_id(text: str) -> RowId:
    """Parse a row id such as customer/alice; raise `TableError` if it is invalid."""
    kind, _, name = text.strip().partition("/")
    if kind not in {str(known) for known in RowKind}:
        raise TableError(
            f"row id {text!r} has an unknown kind",
            context="kinds: customer, service, target",
            hint="name a row as in customer/alice",
        )
    return RowId(RowKind(kind), check_name(name))


def check_name(name: str) -> str:
    """Return a row's name unchanged; raise `TableError` if it is invalid."""
    if _NAME.fullmatch(name) is None:
        raise TableError(
            f"row name {name!r} is invalid",
            context="allowed: 1 to 63 of a-z, 0-9 and -, not starting with -",
            hint="choose a name of these characters; nothing was changed",
        )
    return name


def get_column(kind: RowKind, name: str) -> Column:
    """Return a column; raise `TableError` if rows of this kind do not have it."""
    column = COLUMNS[kind].get(name)
    if column is None:
        raise TableError(
            f"a {kind} has no column {name!r}",
            context=f"columns: {', '.join(COLUMNS[kind])}",
            hint="name one of these columns; nothing was changed",
        )
    return column


def _parse_integer(text: str) -> int | None:
    return int(text) if re.fullmatch(r"-?[0-9]{1,15}", text) else None


def _parse_number(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _parse_boolean(text: str) -> bool | None:
    return {"yes": True, "true": True, "no": False, "false": False}.get(text.lower())


def _parse_name(text: str) -> str | None:
    return text if text == "" or _NAME.fullmatch(text) else None


def _parse_sha256(text: str) -> str | None:
    return text.lower() if re.fullmatch(r"([0-9a-fA-F]{64})?", text) else None


def _parse_path(text: str) -> str | None:
    return text if re.fullmatch(r"(/[A-Za-z0-9._~/-]{0,254})?", text) else None


_PARSERS = {
    CellType.INTEGER: _parse_integer,
    CellType.NUMBER: _parse_number,
    CellType.BOOLEAN: _parse_boolean,
    CellType.NAME: _parse_name,
    CellType.SHA256: _parse_sha256,
    CellType.PATH: _parse_path,
}

_RANGES = {
    CellType.BOOLEAN: "yes or no",
    CellType.NAME: "the name of a row, 1 to 63 of a-z, 0-9 and -, or empty",
    CellType.SHA256: "64 hexadecimal digits, or empty",
    CellType.PATH: "a path that starts with /, at most 255 characters, or empty",
}


def _make_integer(
    kind: RowKind,
    name: str,
    default: int,
    limits: tuple[int, int],
    meaning: str,
    unit: str = "",
) -> Column:
    low, high = limits
    return Column(kind, name, CellType.INTEGER, default, meaning, unit, low, high)


def _make_number(
    kind: RowKind,
    name: str,
    default: float,
    limits: tuple[float, float],
    meaning: str,
    unit: str = "",
) -> Column:
    low, high = limits
    return Column(kind, name, CellType.NUMBER, default, meaning, unit, low, high)


_C, _S, _T = RowKind.CUSTOMER, RowKind.SERVICE, RowKind.TARGET
_MILLION = 1_000_000
_BILLION = 1_000_000_000

_ALL_COLUMNS = (
    Column(_C, "key_sha256", CellType.SHA256, "", "SHA-256 of the customer's API key"),
    _make_integer(
        _C, "weight", 100, (1, 10_000), "share of the service under load, to the others"
    ),
    _make_integer(_C, "priority", 5, (0, 9), "0 is the most urgent"),
    _make_number(
        _C, "rate_limit", 0.0, (0, _MILLION), "new requests; 0 is no limit", "1/s"
    ),
    _make_integer(
        _C, "rate_burst", 0, (0, _MILLION), "requests above the rate", "requests"
    ),
    _make_integer(
        _C,
        "concurrency_limit",
        0,
        (0, _MILLION),
        "requests at one time; 0 is no limit",
        "requests",
    ),
    _make_integer(
        _C,
        "token_limit",
        0,
        (0, _BILLION),
        "tokens in flight; 0 is no limit",
        "tokens",
    ),
    Column(_S, "path_prefix", CellType.PATH, "", "paths that go to the service"),
    Column(_S, "repeatable", CellType.BOOLEAN, False, "calls may be sent again"),
    Column(_S, "key_required", CellType.BOOLEAN, False, "calls need Idempotency-Key"),
    _make_integer(
        _S,
        "idempotency_window_s",
        600,
        (60, 3600),
        "time in which a key counts",
        "s",
    ),
    _make_number(
        _S, "deadline_s", 60.0, (0.1, 86_400), "time until an answer starts", "s"
    ),
    _make_integer(
        _S, "queue_limit", 1000, (0, _MILLION), "requests that wait per entry"
    ),
    _make_integer(
        _S,
        "queue_token_limit",
        2_000_000,
        (0, _BILLION),
        "tokens that wait per entry",
        "tokens",
    ),
    _make_integer(
        _S,
        "target_concurrency",
        32,
        (1, 100_000),
        "requests at one time per target",
        "requests",
    ),
    _make_integer(
        _S,
        "target_tokens",
        100_000,
        (1, _BILLION),
        "tokens in flight per target",
        "tokens",
    ),
    _make_integer(_S, "retry_budget", 10, (0, 100), "retries to fresh requests", "%"),
    _make_integer(_S, "max_ejected", 30, (0, 100), "targets set aside as slow", "%"),
    _make_integer(
        _S,
        "quarantine_s",
        3600,
        (0, 604_800),
        "time that a request which crashes targets is refused",
        "s",
    ),
    _make_number(_S, "skew_worth", 0.0, (0, _MILLION), "worth of less step-time skew"),
    _make_number(_S, "move_cost", 1.0, (0, _MILLION), "cost of moving experts"),
    _make_integer(_S, "move_from_hour", 0, (0, 24), "start of moves, UTC", "h"),
    _make_integer(_S, "move_to_hour", 24, (0, 24), "end of moves, UTC", "h"),
    Column(
        _S,
        "checks_fence",
        CellType.BOOLEAN,
        False,
        "the target itself refuses old fencing numbers",
    ),
    Column(_T, "service", CellType.NAME, "", "service that the target belongs to"),
    _make_integer(
        _T, "weight", 100, (0, 10_000), "share of the work; 0 gets no new work"
    ),
    _make_integer(
        _T,
        "concurrency_limit",
        0,
        (0, 100_000),
        "requests at one time; 0 is the service's",
        "requests",
    ),
    Column(_T, "in_service", CellType.BOOLEAN, True, "no drains the target"),
)

COLUMNS: dict[RowKind, dict[str, Column]] = {
    kind: {column.name: column for column in _ALL_COLUMNS if column.kind is kind}
    for kind in RowKind
}
