"""Test what callers of the path with agents get from targets in trouble."""

from functools import partial

import pytest
import trio

from tests.lib.answer_readers import HEAD
from tests.lib.direct_installation import HANG_S
from tests.lib.installation import KEY, commit_table, wait_for_targets
from tests.lib.leaving_callers import Http1Caller, Http2Caller
from tests.lib.processes import open_cluster
from tests.lib.raw_replica import RawAnswer, serve_raw

END = b"Content-Length: 5\r\n\r\nwhole"
WHOLE = HEAD % (b"200 OK", END)
STOPPED = HEAD % (b"200 OK", b"\r")
ANSWERS = {
    "whole": RawAnswer(WHOLE),
    "whole-reset": RawAnswer(WHOLE, is_reset=True),
    "ended-in-order": RawAnswer(HEAD % (b"200 OK", b"\r\nwhole")),
    "stopped": RawAnswer(STOPPED),
    "stopped-reset": RawAnswer(STOPPED, is_reset=True),
    "stopped-in-status": RawAnswer(WHOLE[:10]),
    "status": RawAnswer(HEAD % (b"600 OK", END)),
    "joined-line": RawAnswer(HEAD % (b"200 OK", b" X-Odd: b\r\n" + END)),
    "control-byte": RawAnswer(HEAD % (b"200 OK", b"X-Odd: \x01\r\n" + END)),
}
WHOLE_ANSWERS = {"whole", "whole-reset", "ended-in-order"}


def start_path(cluster, target):
    """Start an agent before the target, and an entry; return the entry's address."""
    commit_table(cluster.platform)
    cluster.start_agent("check-1", service="check", target=target)
    _, callers = cluster.start_entry("entry-1")
    wait_for_targets(cluster, "entry-1", 1)
    return callers


@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("kind", [Http1Caller, Http2Caller])
def test_only_whole_answers_with_valid_heads_reach_callers(tmp_path, kind, name):
    """Guard against a part of a target's answer that its callers get as whole."""

    async def main(cluster):
        with trio.fail_after(HANG_S):
            async with serve_raw(ANSWERS[name]) as target:
                start = partial(start_path, cluster, target.address)
                caller = await kind.open(await trio.to_thread.run_sync(start))
                headers = (("Host", "x"), ("Authorization", f"Bearer {KEY}"))
                await caller.send_request("/check/1", headers=headers)
                found = await caller.read_answer()
                assert target.received
                await trio.aclose_forcefully(caller.stream)
                return found

    with open_cluster(tmp_path) as cluster:
        status, body = trio.run(main, cluster)
    if name in WHOLE_ANSWERS:
        assert (status, body) == (200, b"whole")
    else:
        assert status == 502
