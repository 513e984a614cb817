"""Test that no caller is told that a request has not run, if it may have."""

import pytest
import trio

from hyssopvane._internal.transport.replica_client import ReplicaFailed
from tests.lib.direct_installation import HANG_S, open_direct
from tests.lib.direct_replica import STREAM_HEAD, chunk, make_answer, make_event

NOT_RUN = (("X-Not-Executed", "1"),)
RETRY_AFTER = (("Retry-After", "0.5"),)

SERVICES = {
    "/bids/7": "checks",
    "/status/7": "checks",
    "/once/7": "drafting",
    "/drafts/7": "drafting",
}
"""Paths of requests of all kinds, with their services."""


def make_replica_behavior(*answers):
    """Return a replica that gives these answers in turn, and then the last one."""
    left = list(answers)

    async def behave(replica, stream, request):
        status, headers = left.pop(0) if len(left) > 1 else left[0]
        if status is None:
            return False
        signed = ("X-Not-Executed", "1") not in headers and status != 421
        answer = make_answer(
            request, status=status, body=b"failed", headers=headers, signed=signed
        )
        await stream.send_all(answer)
        return True

    return behave


def call(path, behaviors):
    """Return the answer that a caller gets, None if it is broken off."""

    async def main():
        with trio.fail_after(HANG_S):
            async with open_direct() as site:
                for number, behave in enumerate(behaviors):
                    name = f"i-{number}"
                    await site.add_replica(name, behave, service=SERVICES[path])
                try:
                    return await site.call(path, deadline_ms=2_000)
                except ReplicaFailed:
                    return None

    return trio.run(main)


@pytest.mark.parametrize("headers", [(), RETRY_AFTER], ids=["plain", "retry-after"])
@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("path", SERVICES)
def test_status_of_a_replica_that_has_run_promises_nothing(path, status, headers):
    """Guard against callers that send a request again which a replica has run."""
    answer = call(path, [make_replica_behavior((status, headers))] * 2)
    assert answer.status == 502
    assert "x-response-signature" not in answer.headers


@pytest.mark.parametrize("last", [(503, NOT_RUN), (429, NOT_RUN), (421, ())])
@pytest.mark.parametrize("first", [(None, ()), (503, ()), (500, ()), (429, ())])
@pytest.mark.parametrize("path", ["/status/7", "/drafts/7"])
def test_refusal_after_an_attempt_that_may_have_run_promises_nothing(path, first, last):
    """Guard against a last attempt that hides what became of an earlier one."""
    replica = make_replica_behavior(first, last)
    answer = call(path, [replica] * 2)
    assert answer.status == (500 if first[0] == 500 else 502)


@pytest.mark.parametrize("status", [200, 204])
@pytest.mark.parametrize("path", SERVICES)
def test_success_that_claims_not_to_have_run_promises_nothing(path, status):
    """Guard against trust in an answer that contradicts itself."""
    answer = call(path, [make_replica_behavior((status, NOT_RUN))] * 2)
    assert answer.status == 502


@pytest.mark.parametrize("status", [400, 404, 408, 429, 500, 503])
def test_failure_after_the_begin_of_a_stream_cuts_it(status):
    """Guard against a second answer within a stream that was to be resumed."""
    failing = make_replica_behavior((status, ()))
    attempts = 0

    async def behave(replica, stream, request):
        nonlocal attempts
        attempts += 1
        if attempts > 1:
            return await failing(replica, stream, request)
        head = make_answer(request, body=b"", headers=STREAM_HEAD)
        await stream.send_all(head + chunk(make_event(1)))
        return False

    assert call("/drafts/7", [behave] * 2) is None
    assert attempts == 2
