"""Run the direct-entry role."""

from hyssopvane._internal.cli.run_base import RunCommand


class RunDirectEntryCommand(RunCommand):
    """Run an entry that calls replicas directly, until SIGTERM."""

    name = "run direct-entry"
    description = "Run an entry that calls replicas directly, until SIGTERM."
    role = "direct-entry"
