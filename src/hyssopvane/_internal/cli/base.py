"""Share the behaviour of every command."""

from abc import abstractmethod

from cleo.commands.command import Command as CleoCommand

from hyssopvane._internal.cli.status_codes import StatusCode
from hyssopvane._internal.exceptions import (
    EditConflict,
    HyssopvaneError,
    KeyValueError,
    SettingsError,
)

_STATUS_BY_ERROR: tuple[tuple[type[HyssopvaneError], StatusCode], ...] = (
    (SettingsError, StatusCode.BAD_SETTINGS),
    (EditConflict, StatusCode.CONFLICT),
    (KeyValueError, StatusCode.UNAVAILABLE),
    (HyssopvaneError, StatusCode.ERROR),
)


class BaseCommand(CleoCommand):
    """Turn a typed error into a message and an exit code."""

    @abstractmethod
    def run_command(self) -> StatusCode:
        """Carry out the command."""

    def handle(self) -> int:
        try:
            return int(self.run_command())
        except HyssopvaneError as error:
            self.line_error(f"error: {error}")
            return int(get_status(error))


def get_status(error: HyssopvaneError) -> StatusCode:
    """Return the exit code for an error."""
    for kind, status in _STATUS_BY_ERROR:
        if isinstance(error, kind):
            return status
    return StatusCode.ERROR
