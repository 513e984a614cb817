"""Run the entry role."""

from hyssopvane._internal.cli.run_base import RunCommand


class RunEntryCommand(RunCommand):
    """Run an entry until SIGTERM."""

    name = "run entry"
    description = "Run an entry until SIGTERM."
    role = "entry"
