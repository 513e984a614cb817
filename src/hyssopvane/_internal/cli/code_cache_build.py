"""Write the code cache of a role when a release is built; run with `python -m`."""

import sys
from collections.abc import Sequence
from importlib import import_module

from hyssopvane._internal.utils.code_cache import (
    CodeCache,
    get_cache_path,
    write_code_cache,
)
from hyssopvane._internal.utils.deferred_modules import Deferral

_SHARED = (
    "hyssopvane._internal.assembly",
    "hyssopvane._internal.platform.store",
    "hyssopvane._internal.platform.wire",
)
MODULES = {
    "direct-entry": (*_SHARED, "hyssopvane._internal.roles.direct_entry"),
    "rank-agent": (
        *_SHARED,
        "hyssopvane._internal.roles.rank_agent",
        "hyssopvane._internal.platform.ranks",
    ),
}
"""Modules that the start of a role imports, by role."""


def main(arguments: Sequence[str]) -> int:
    """Define all classes of a role as its start does, and write their code."""
    (role,) = arguments
    cache = CodeCache()
    cache.start()
    Deferral().start()
    for module in MODULES[role]:
        import_module(module)
    write_code_cache(cache, get_cache_path(role))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
