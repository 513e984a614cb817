"""Remove one row of the table."""

from typing import TYPE_CHECKING

from cleo.helpers import argument

from hyssopvane._internal.cli.table_base import (
    EDIT_ID_OPTION,
    PLATFORM_OPTION,
    TableCommand,
)

if TYPE_CHECKING:
    from hyssopvane._internal.coordination.key_value import KeyValueStore


class TableRemoveCommand(TableCommand):
    """Remove one row with its cells."""

    name = "table remove"
    description = "Remove one row with its cells."
    arguments = [argument("row", "The row, such as customer/alice.")]
    options = [EDIT_ID_OPTION, PLATFORM_OPTION]

    async def run_with_store(self, store: "KeyValueStore") -> None:
        from hyssopvane._internal.coordination.table_edit import TableEdit
        from hyssopvane._internal.state.columns import parse_row_id

        row = parse_row_id(self.argument("row"))
        accepted = await self.commit(
            store, TableEdit(self.get_edit_id(), removed=(row,))
        )
        self.line(f"accepted: removed {row} (table revision {accepted.table_revision})")
