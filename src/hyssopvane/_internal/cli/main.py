"""Start the command that the arguments name."""

import gc
import signal
import sys
from collections.abc import Sequence

_RUN = "run"


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given[:1] == [_RUN]:
        # Loading a role takes a second. The default action of SIGHUP would end a
        # process that is told meanwhile to read its settings, which it will do anyway.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # Nothing that is loaded becomes garbage, and looking for it is a seventh of the
        # time that loading an entry takes. After a failure of all VMs callers wait for
        # that. The role turns it on again.
        gc.disable()

    from hyssopvane._internal.cli.role_process import is_plain_run, run_plain

    if is_plain_run(given):
        return run_plain(given[1], given[2])

    from hyssopvane._internal.cli.application import build_application

    return build_application().run_arguments(given)
