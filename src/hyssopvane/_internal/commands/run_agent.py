"""Run the agent role."""

from hyssopvane._internal.cli.run_base import RunCommand


class RunAgentCommand(RunCommand):
    """Run an agent until SIGTERM."""

    name = "run agent"
    description = "Run an agent until SIGTERM."
    role = "agent"
