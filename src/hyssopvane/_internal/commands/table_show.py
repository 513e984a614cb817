"""Show the table as text."""

import shutil
from typing import TYPE_CHECKING

from cleo.helpers import argument

from hyssopvane._internal.cli.table_base import PLATFORM_OPTION, TableCommand
from hyssopvane._internal.exceptions import TableError

if TYPE_CHECKING:
    from hyssopvane._internal.coordination.key_value import KeyValueStore
    from hyssopvane._internal.state.table import Table

_MIN_WIDTH = 80


class TableShowCommand(TableCommand):
    """Show the table, the rows of one kind, or one row with its cells' revisions."""

    name = "table show"
    description = "Show the table, the rows of one kind, or one row."
    arguments = [
        argument(
            "what", "customers, services, targets, or a row as customer/alice.", True
        )
    ]
    options = [PLATFORM_OPTION]

    async def run_with_store(self, store: "KeyValueStore") -> None:
        table = await self.load_table(store)
        for line in self._format(table, self.argument("what") or ""):
            self.line(line)

    def _format(self, table: "Table", what: str) -> list[str]:
        from hyssopvane._internal.state.columns import RowKind, parse_row_id
        from hyssopvane._internal.state.table_text import format_row, format_rows

        if "/" in what:
            return format_row(table, parse_row_id(what))
        kinds = [kind for kind in RowKind if what in {"", f"{kind}s", str(kind)}]
        if not kinds:
            raise TableError(
                f"the table has no kind or row {what!r}",
                context="kinds: customers, services, targets",
                hint="use one of these, or a row as in customer/alice",
            )
        width = max(_MIN_WIDTH, shutil.get_terminal_size().columns)
        lines = [f"table revision {table.revision}"]
        for kind in kinds:
            lines += ["", *format_rows(table, kind, width=width)]
        return lines
