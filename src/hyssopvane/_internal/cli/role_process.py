"""Run the process of a role without loading the command line's library.

There is a process beside each replica, and after a loss of power callers wait for each
entry's start. The library that reads arguments and prints help costs time and some
megabytes of each, and a role needs nothing of it.
"""

import sys
from collections.abc import Sequence

from hyssopvane._internal.cli.status_codes import StatusCode, get_status
from hyssopvane._internal.exceptions import HyssopvaneError, SettingsError

ROLES = ("entry", "agent", "direct-entry", "rank-agent")

_RUN = "run"


def is_plain_run(arguments: Sequence[str]) -> bool:
    """Tell whether the arguments name a role and its settings file, and no option."""
    match arguments:
        case [command, role, path]:
            return command == _RUN and role in ROLES and not path.startswith("-")
    return False


def run_plain(role: str, path: str) -> int:
    """Run a role and return the exit code, like the command of that name."""
    try:
        return int(run_role(role, path))
    except HyssopvaneError as error:
        print(f"error: {error}", file=sys.stderr)
        return int(get_status(error))


def run_role(role: str, path: str) -> StatusCode:
    """Run a role by its settings file until SIGTERM; raise `SettingsError`."""
    from hyssopvane._internal.assembly import run_process
    from hyssopvane._internal.models.settings import load_settings

    settings = load_settings(path)
    if settings.role != role:
        raise SettingsError(
            f"these are settings of an {settings.role}",
            context=path,
            hint=f"use `hyssopvane run {settings.role}`",
        )
    drained = run_process(settings, path=path)
    return StatusCode.OK if drained else StatusCode.DRAIN_TIMEOUT
