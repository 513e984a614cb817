"""Define the base class of commands that run a role."""

from cleo.helpers import argument

from hyssopvane._internal.cli.base import BaseCommand
from hyssopvane._internal.cli.role_process import run_role
from hyssopvane._internal.cli.status_codes import StatusCode


class RunCommand(BaseCommand):
    """Run one role until SIGTERM."""

    role: str
    arguments = [argument("file", "The settings file, in JSON.")]

    def run_command(self) -> StatusCode:
        return run_role(self.role, self.argument("file"))
