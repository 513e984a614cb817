"""Test that entries learn of crashing requests in any state of the store."""

from functools import partial

import pytest
import trio

from tests.lib.crash_sharing import CASES, check_sharing


@pytest.mark.parametrize("name", CASES)
def test_crashing_request_is_refused_by_entries_that_never_ran_it(tmp_path, name):
    """Guard against entries that don't take in what others know of a request."""
    trio.run(partial(check_sharing, tmp_path, CASES[name], by_part=False))
