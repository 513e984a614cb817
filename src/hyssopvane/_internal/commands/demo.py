"""Run an installation with stand-ins of services in one process on loopback."""

from cleo.helpers import argument

from hyssopvane._internal.cli.base import BaseCommand
from hyssopvane._internal.cli.status_codes import StatusCode
from hyssopvane._internal.exceptions import SettingsError


class DemoCommand(BaseCommand):
    """Run a small installation on loopback until Ctrl-C."""

    name = "demo"
    description = "Run a small installation on loopback until Ctrl-C."
    arguments = [
        argument(
            "installation",
            "The example to run: registry or tengerkhuv.",
            optional=True,
            default="registry",
        )
    ]

    def run_command(self) -> StatusCode:
        import trio

        from hyssopvane._internal.standins.demo import run_demo
        from hyssopvane._internal.standins.installation import PLANS

        name = self.argument("installation")
        if name not in PLANS:
            raise SettingsError(
                f"there is no example {name!r}", hint=f"use one of {', '.join(PLANS)}"
            )
        trio.run(run_demo, PLANS[name], self.line)
        return StatusCode.OK
