"""Define the base class of commands that read or edit the table."""

import os
from abc import abstractmethod
from typing import TYPE_CHECKING

from cleo.helpers import option

from hyssopvane._internal.cli.base import BaseCommand
from hyssopvane._internal.cli.status_codes import StatusCode
from hyssopvane._internal.exceptions import HyssopvaneError, SettingsError

if TYPE_CHECKING:
    from hyssopvane._internal.coordination.key_value import KeyValueStore
    from hyssopvane._internal.coordination.table_edit import TableEdit
    from hyssopvane._internal.coordination.table_store import EditAccepted
    from hyssopvane._internal.state.table import Table

PLATFORM_VARIABLE = "HYSSOPVANE_PLATFORM"

PLATFORM_OPTION = option(
    "platform",
    None,
    f"IP address and port of the key-value service; default: {PLATFORM_VARIABLE}.",
    flag=False,
)

EDIT_ID_OPTION = option(
    "edit-id",
    None,
    "Id of an edit whose outcome is unknown, to retry it without applying it twice.",
    flag=False,
)


class TableCommand(BaseCommand):
    """Run a command with a client of the key-value service of the table."""

    @abstractmethod
    async def run_with_store(self, store: "KeyValueStore") -> None:
        """Run the command with a started store."""

    def run_command(self) -> StatusCode:
        import trio

        error = trio.run(self._run, self._get_platform())
        if error is not None:
            raise error
        return StatusCode.OK

    async def load_table(self, store: "KeyValueStore") -> "Table":
        """Return the current table from the key-value service."""
        from random import Random

        from hyssopvane._internal.coordination.table_store import TableReader

        return await TableReader(store, random=Random()).load()

    async def commit(self, store: "KeyValueStore", edit: "TableEdit") -> "EditAccepted":
        """Apply an edit exactly once."""
        from random import Random

        from hyssopvane._internal.coordination.table_store import TableEditor

        return await TableEditor(store, random=Random()).commit(edit)

    def get_edit_id(self) -> str:
        """Return the id given with --edit-id, or a new one."""
        import uuid6

        return self.option("edit-id") or str(uuid6.uuid7())

    async def _run(self, address: str) -> HyssopvaneError | None:
        import trio

        from hyssopvane._internal.coordination.etcd_key_value import EtcdKeyValueStore

        error: HyssopvaneError | None = None
        async with trio.open_nursery() as nursery:
            store = EtcdKeyValueStore(address)
            await store.start(nursery)
            try:
                await self.run_with_store(store)
            except HyssopvaneError as caught:
                # A nursery would wrap the error in an exception group.
                error = caught
            await store.close()
            nursery.cancel_scope.cancel()
        return error

    def _get_platform(self) -> str:
        address = self.option("platform") or os.environ.get(PLATFORM_VARIABLE, "")
        if not address:
            raise SettingsError(
                "the address of the key-value service is not known",
                hint=f"give --platform IP:PORT or set {PLATFORM_VARIABLE}",
            )
        return str(address)
