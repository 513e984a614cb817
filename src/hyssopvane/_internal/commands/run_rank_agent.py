"""Run the rank-agent role."""

from hyssopvane._internal.cli.run_base import RunCommand


class RunRankAgentCommand(RunCommand):
    """Run the agent of a replica on the direct path, until SIGTERM."""

    name = "run rank-agent"
    description = "Run the agent of a replica on the direct path, until SIGTERM."
    role = "rank-agent"
