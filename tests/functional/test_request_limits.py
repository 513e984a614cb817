"""Test requests to a replica that reports a request limit, over real sockets."""

import time

import pytest
import trio

from hyssopvane._internal.policy.limit_shares import PROBE_S
from tests.lib.direct_installation import HANG_S, open_direct
from tests.lib.direct_replica import answer_whole, make_answer

CALLS = 12


def answer_with_limit(value):
    async def behave(replica, stream, request):
        await stream.send_all(make_answer(request, headers=(("Server-Limit", value),)))
        return True

    return behave


def run(test):
    async def main():
        with trio.fail_after(2 * HANG_S):
            async with open_direct() as site:
                await test(site)

    trio.run(main)


def test_callers_are_refused_at_once_with_retry_after_when_the_limit_is_zero():
    """Guard against waiting for, and requests to, an overloaded replica.

    The only replica of a service is overloaded and accepts no requests. Callers that
    wait would exceed their deadlines, and each request sent would add to the overload.
    """

    async def test(site):
        replica = await site.add_replica("i-1", answer_with_limit("0"))
        start = time.monotonic()
        assert (await site.call("/status/1")).status == 200
        answers = [await site.call(f"/status/{number}") for number in range(CALLS)]
        elapsed_s = time.monotonic() - start
        refused = [one for one in answers if one.status == 503]
        assert len(replica.received) <= 2 + elapsed_s / PROBE_S
        assert len(refused) + len(replica.received) == CALLS + 1
        assert all(float(one.headers["retry-after"]) > 0 for one in refused)

    run(test)


def test_other_replica_serves_requests_above_the_limit():
    async def test(site):
        limited = await site.add_replica("i-1", answer_with_limit("0"))
        sound = await site.add_replica("i-2", answer_whole)
        start = time.monotonic()
        for number in range(4 * CALLS):
            assert (await site.call(f"/status/{number}")).status == 200
        elapsed_s = time.monotonic() - start
        assert len(limited.received) <= 2 + elapsed_s / PROBE_S
        assert len(limited.received) + len(sound.received) == 4 * CALLS

    run(test)


@pytest.mark.parametrize("value", ["", "-1", "many", "nan", "1, 2"])
def test_unreadable_limit_does_not_fail_requests(value):
    async def test(site):
        replica = await site.add_replica("i-1", answer_with_limit(value))
        for number in range(CALLS):
            assert (await site.call(f"/status/{number}")).status == 200
        assert len(replica.received) == CALLS

    run(test)
