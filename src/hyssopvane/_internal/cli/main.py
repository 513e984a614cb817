"""Define the entry point of the command line."""

import gc
import os
import signal
import sys
from collections.abc import Sequence

_RUN = "run"
_DIRECT_ROLES = ("direct-entry", "rank-agent")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given[:1] == [_RUN]:
        # Loading a role takes a second. A SIGHUP that asks for a reload of the settings
        # in that time would end the process by its default action. Ignoring it loses
        # nothing, since the settings are read after that.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # Loading creates no garbage, and collection takes a seventh of the time to load
        # an entry. Callers wait for that after a failure of all VMs. The process of the
        # role enables collection again.
        gc.disable()

    from hyssopvane._internal.cli.role_process import is_plain_run, run_plain

    if is_plain_run(given):
        if given[1] in _DIRECT_ROLES:
            _prepare_start(given[1])
        return run_plain(given[1], given[2])

    from hyssopvane._internal.cli.application import build_application

    return build_application().run_arguments(given)


def _prepare_start(role: str) -> None:
    from hyssopvane._internal.utils.deferred_modules import defer_modules

    # Loguru would prepare a log in colours, which the role replaces at once.
    os.environ.setdefault("LOGURU_AUTOINIT", "False")
    defer_modules()

    from hyssopvane._internal.utils.code_cache import get_cache_path, load_code_cache

    load_code_cache(get_cache_path(role)).start()
