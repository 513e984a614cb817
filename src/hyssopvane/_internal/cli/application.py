"""Build the cleo application from the registry of commands."""

from collections.abc import Callable
from importlib import import_module

from cleo.application import Application
from cleo.commands.command import Command
from cleo.io.inputs.argv_input import ArgvInput
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from hyssopvane import __version__
from hyssopvane._internal.cli.registry import COMMANDS, CommandEntry

_COMMANDS_PACKAGE = "hyssopvane._internal.commands"


class HyssopvaneApplication(Application):
    """Run commands and return their exit codes."""

    def run_arguments(self, arguments: list[str]) -> int:
        """Run the command given by the arguments and return its exit code."""
        return int(self.run(ArgvInput(["hyssopvane", *arguments])))


def build_application() -> HyssopvaneApplication:
    """Create the application with all commands of the registry."""
    application = HyssopvaneApplication("hyssopvane", __version__)
    application.auto_exits(False)
    application.set_command_loader(
        FactoryCommandLoader(
            {name: _make_factory(entry) for name, entry in COMMANDS.items()}
        )
    )
    return application


def _make_factory(entry: CommandEntry) -> Callable[[], Command]:
    def create() -> Command:
        module = import_module(f"{_COMMANDS_PACKAGE}.{entry.module}")
        command: Command = getattr(module, entry.class_name)()
        return command

    return create
