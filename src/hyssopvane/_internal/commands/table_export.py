"""Export the table as CSV."""

from typing import TYPE_CHECKING

from cleo.io.outputs.output import Type

from hyssopvane._internal.cli.table_base import PLATFORM_OPTION, TableCommand

if TYPE_CHECKING:
    from hyssopvane._internal.coordination.key_value import KeyValueStore


class TableExportCommand(TableCommand):
    """Write the cells that were set as CSV, in the format of `table import`."""

    name = "table export"
    description = "Write the table as CSV, in the format of `table import`."
    options = [PLATFORM_OPTION]

    async def run_with_store(self, store: "KeyValueStore") -> None:
        from hyssopvane._internal.coordination.table_csv import format_csv

        text = format_csv(await self.load_table(store))
        self.io.write(text, type=Type.RAW)
