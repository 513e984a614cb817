"""Check a settings file."""

from cleo.helpers import argument

from hyssopvane._internal.cli.base import BaseCommand
from hyssopvane._internal.cli.status_codes import StatusCode


class CheckCommand(BaseCommand):
    """Check a settings file without starting anything."""

    name = "check"
    description = "Check a settings file without starting anything."
    arguments = [argument("file", "The settings file, in JSON.")]

    def run_command(self) -> StatusCode:
        from hyssopvane._internal.models.settings import load_settings

        settings = load_settings(self.argument("file"))
        self.line(f"ok: settings of {settings.vm} ({settings.role}) can be used")
        return StatusCode.OK
