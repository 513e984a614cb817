"""Define the base class of commands that query an entry's operators' listener."""

import os
from abc import abstractmethod
from typing import TYPE_CHECKING, Any

from cleo.helpers import option

from hyssopvane._internal.cli.base import BaseCommand
from hyssopvane._internal.cli.status_codes import StatusCode
from hyssopvane._internal.exceptions import SettingsError

if TYPE_CHECKING:
    from hyssopvane._internal.models.settings import AgentSettings, EntrySettings

ENTRY_VARIABLE = "HYSSOPVANE_ENTRY"
TOKEN_VARIABLE = "HYSSOPVANE_TOKEN"

OPERATOR_OPTIONS = [
    option(
        "entry",
        None,
        "IP address and port of an entry's operators' listener; "
        f"default: {ENTRY_VARIABLE}, or the address in the settings.",
        flag=False,
    ),
    option(
        "settings",
        None,
        f"Settings file with the token; default: {TOKEN_VARIABLE}.",
        flag=False,
    ),
]


class OperatorCommand(BaseCommand):
    """Query one entry, which collects the answers of the other processes."""

    @abstractmethod
    def show(self) -> StatusCode:
        """Query a page and print it."""

    def run_command(self) -> StatusCode:
        return self.show()

    def read_page(self, path: str) -> Any:
        """Return the decoded JSON of a page of the entry; raise `HyssopvaneError`."""
        from hyssopvane._internal.transport.operator_client import read_operators_page

        settings = self._load_settings()
        address = self._get_address(settings)
        return read_operators_page(address, path, token=self._get_token(settings))

    def _load_settings(self) -> "EntrySettings | AgentSettings | None":
        from hyssopvane._internal.models.settings import (
            DirectEntrySettings,
            RankAgentSettings,
            load_settings,
        )

        path = self.option("settings")
        if not path:
            return None
        settings = load_settings(path)
        if isinstance(settings, DirectEntrySettings | RankAgentSettings):
            raise SettingsError(
                f"a {settings.role} has no operators' listener",
                context=str(path),
                hint="read its log and its metrics address",
            )
        return settings

    def _get_address(self, settings: "EntrySettings | AgentSettings | None") -> str:
        address = self.option("entry") or os.environ.get(ENTRY_VARIABLE, "")
        if not address and settings is not None and settings.role == "entry":
            address = settings.operators
        # For port 0 the kernel chooses a port, which is only in the log.
        if not address or address.endswith(":0"):
            raise SettingsError(
                "the address of an entry's operators' listener is not known",
                hint=f"give --entry IP:PORT or set {ENTRY_VARIABLE}; "
                "an entry logs the address as operators= at its start",
            )
        return str(address)

    def _get_token(self, settings: "EntrySettings | AgentSettings | None") -> str:
        token = settings.token if settings else os.environ.get(TOKEN_VARIABLE, "")
        if not token:
            raise SettingsError(
                "the operators' token is not known",
                hint=f"give the settings file of the VM with --settings, or set "
                f"{TOKEN_VARIABLE}",
            )
        return token
