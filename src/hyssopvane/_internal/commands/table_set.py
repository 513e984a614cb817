"""Set one cell of the table."""

from typing import TYPE_CHECKING

from cleo.helpers import argument, option

from hyssopvane._internal.cli.table_base import (
    EDIT_ID_OPTION,
    PLATFORM_OPTION,
    TableCommand,
)
from hyssopvane._internal.exceptions import TableError

if TYPE_CHECKING:
    from hyssopvane._internal.coordination.key_value import KeyValueStore


class TableSetCommand(TableCommand):
    """Set one cell, unless its revision differs from the expected one."""

    name = "table set"
    description = "Set one cell of the table."
    arguments = [
        argument("row", "The row, such as customer/alice."),
        argument("column", "The column, such as weight."),
        argument("value", "The new value."),
    ]
    options = [
        option(
            "expect",
            None,
            "Fail if the cell has a different revision; see `table show ROW`.",
            flag=False,
        ),
        EDIT_ID_OPTION,
        PLATFORM_OPTION,
    ]

    async def run_with_store(self, store: "KeyValueStore") -> None:
        from hyssopvane._internal.coordination.table_edit import CellWrite, TableEdit
        from hyssopvane._internal.state.columns import parse_row_id
        from hyssopvane._internal.state.table import CellId

        row, column = parse_row_id(self.argument("row")), self.argument("column")
        value = self.argument("value")
        write = CellWrite(CellId(row, column), value, self._get_expected_revision())
        edit = TableEdit(self.get_edit_id(), writes=(write,))
        accepted = await self.commit(store, edit)
        self.line(
            f"accepted: {row} {column} = {value} "
            f"(table revision {accepted.table_revision})"
        )

    def _get_expected_revision(self) -> int | None:
        text = self.option("expect")
        if text is None:
            return None
        if not text.isdecimal():
            raise TableError(
                f"--expect {text!r} is not a cell revision",
                hint="use the number that `hyssopvane table show ROW` prints; "
                "nothing was changed",
            )
        return int(text)
