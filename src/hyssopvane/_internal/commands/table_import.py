"""Import rows and cells from CSV."""

from pathlib import Path
from typing import TYPE_CHECKING

from cleo.helpers import argument

from hyssopvane._internal.cli.table_base import (
    EDIT_ID_OPTION,
    PLATFORM_OPTION,
    TableCommand,
)
from hyssopvane._internal.exceptions import TableError

if TYPE_CHECKING:
    from hyssopvane._internal.coordination.key_value import KeyValueStore


class TableImportCommand(TableCommand):
    """Apply all lines of a CSV file to the table, or none."""

    name = "table import"
    description = "Import all lines of a CSV file, or none."
    arguments = [argument("file", "Lines of kind,name,column,value.")]
    options = [EDIT_ID_OPTION, PLATFORM_OPTION]

    async def run_with_store(self, store: "KeyValueStore") -> None:
        from hyssopvane._internal.coordination.table_csv import parse_csv

        path = Path(self.argument("file"))
        text = _read_text(path)
        edit = parse_csv(text, source=str(path), edit_id=self.get_edit_id())
        accepted = await self.commit(store, edit)
        self.line(
            f"accepted: {len(edit.ensured)} rows, {len(edit.writes)} cells "
            f"(table revision {accepted.table_revision})"
        )


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise TableError(
            f"the file can't be read: {error}",
            context=str(path),
            hint="give a readable CSV file; nothing was changed",
        ) from error
