"""Define the base class of all commands."""

from abc import abstractmethod

from cleo.commands.command import Command as CleoCommand

from hyssopvane._internal.cli.status_codes import StatusCode, get_status
from hyssopvane._internal.exceptions import HyssopvaneError


class BaseCommand(CleoCommand):
    """Convert a `HyssopvaneError` to a message and an exit code."""

    @abstractmethod
    def run_command(self) -> StatusCode:
        """Run the command and return its exit code."""

    def handle(self) -> int:
        try:
            return int(self.run_command())
        except HyssopvaneError as error:
            self.line_error(f"error: {error}")
            return int(get_status(error))
