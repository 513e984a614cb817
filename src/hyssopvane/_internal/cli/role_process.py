"""Run the process of a role without importing the command-line library.

The library costs each process start-up time and some megabytes, and a role does not
need it. There is a process on the machine of each replica, and callers wait for the
start of each entry after a power failure.
"""

import sys
from collections.abc import Sequence

from hyssopvane._internal.cli.status_codes import StatusCode, get_status
from hyssopvane._internal.exceptions import HyssopvaneError, SettingsError

ROLES = ("entry", "agent", "direct-entry", "rank-agent")

_RUN = "run"


def is_plain_run(arguments: Sequence[str]) -> bool:
    """Return whether the arguments are `run ROLE FILE` without options."""
    match arguments:
        case [command, role, path]:
            return command == _RUN and role in ROLES and not path.startswith("-")
    return False


def run_plain(role: str, path: str) -> int:
    """Run a role; print errors and return the exit code as its command does."""
    try:
        return int(run_role(role, path))
    except HyssopvaneError as error:
        print(f"error: {error}", file=sys.stderr)
        return int(get_status(error))


def run_role(role: str, path: str) -> StatusCode:
    """Run a role with its settings file until SIGTERM; raise `SettingsError`."""
    from hyssopvane._internal.assembly import run_process
    from hyssopvane._internal.models.settings import load_settings

    settings = load_settings(path)
    if settings.role != role:
        raise SettingsError(
            f"the settings are for the role {settings.role}",
            context=path,
            hint=f"use `hyssopvane run {settings.role}`",
        )
    drained = run_process(settings, path=path)
    return StatusCode.OK if drained else StatusCode.DRAIN_TIMEOUT
