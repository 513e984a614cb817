"""Start the command that the arguments name."""

import sys
from collections.abc import Sequence


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    from hyssopvane._internal.cli.application import build_application

    return build_application().run_arguments(
        list(sys.argv[1:] if arguments is None else arguments)
    )
